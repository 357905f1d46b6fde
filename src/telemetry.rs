//! Logging to standard error or standard output, and statsd metrics over UDP.
//!
//! An event is logged with the macros of the `log` crate and structured keys, for example
//! `log::info!(event = "listening", address:% = address; "")`.

mod bounded;
mod line;

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::time::Duration;

use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use flexi_logger::{Logger, LoggerHandle, WriteMode};

use crate::error::{MeshError, Result};

const DEFAULT_LEVELS: &str = "info";
// Lines are buffered, since a system call and a wake-up of the writer thread per line cost more than formatting it.
const LOG_BUFFER_BYTES: usize = 32 * 1024;
const FLUSH_PERIOD: Duration = Duration::from_millis(50);
// Bounds the memory that queued metrics take while the network is stalled. Further metrics are dropped.
const MAX_QUEUED_METRICS: usize = 4_096;

/// Keeps the log writer running. Dropping it flushes the buffered lines and shuts the writer down.
pub struct LogGuard {
    handle: LoggerHandle,
}

impl std::fmt::Debug for LogGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("LogGuard")
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.handle.flush();
        self.handle.shutdown();
    }
}

/// Starts logging to standard error, at the levels in `RUST_LOG` or by default at `info` and above.
pub fn start_logging() -> Result<LogGuard> {
    let failed = |error: flexi_logger::FlexiLoggerError| {
        MeshError::io("cannot start logging", std::io::Error::other(error))
    };
    let handle = Logger::try_with_env_or_str(DEFAULT_LEVELS)
        .map_err(failed)?
        .log_to_stderr()
        .format(line::write_line)
        .use_utc()
        .write_mode(WriteMode::BufferAndFlushWith(
            LOG_BUFFER_BYTES,
            FLUSH_PERIOD,
        ))
        .start()
        .map_err(failed)?;
    Ok(LogGuard { handle })
}

/// Starts logging to standard output. If the reader is too slow, lines are dropped and counted, so that logging never
/// blocks the process.
pub fn start_bounded_logging() -> Result<LogGuard> {
    let failed = |error: flexi_logger::FlexiLoggerError| {
        MeshError::io("cannot start logging", std::io::Error::other(error))
    };
    let writer = bounded::BoundedWriter::start()
        .map_err(|source| MeshError::io("cannot start the log writer", source))?;
    let handle = Logger::try_with_env_or_str(DEFAULT_LEVELS)
        .map_err(failed)?
        .log_to_writer(Box::new(writer))
        .format(line::write_line)
        .use_utc()
        .start()
        .map_err(failed)?;
    Ok(LogGuard { handle })
}

/// Creates a statsd client that sends to `address`, or discards all metrics if there is none.
pub fn metrics_client(prefix: &str, address: Option<SocketAddr>) -> Result<StatsdClient> {
    let Some(address) = address else {
        return Ok(StatsdClient::from_sink(prefix, NopMetricSink));
    };
    let failed = |source| MeshError::io("cannot open the metrics socket", source);
    let local: IpAddr = if address.is_ipv4() {
        Ipv4Addr::UNSPECIFIED.into()
    } else {
        Ipv6Addr::UNSPECIFIED.into()
    };
    let socket = UdpSocket::bind((local, 0)).map_err(failed)?;
    socket.set_nonblocking(true).map_err(failed)?;
    let sink = UdpMetricSink::from(address, socket)
        .map_err(|error| failed(std::io::Error::other(error)))?;
    let queue = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
    Ok(StatsdClient::from_sink(prefix, queue))
}
