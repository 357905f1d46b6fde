//! What a process uses of its surroundings: the clock, connections to control replicas and random numbers. Tests replace it,
//! to run a whole control plane and its nodes in one process.

use std::sync::Arc;

use tonic::transport::{Channel, Endpoint};
use uuid::Uuid;

use crate::clock::TickClock;

/// Opens connections to control replicas.
pub trait ChannelOpener: std::fmt::Debug + Send + Sync {
    /// Returns a channel that connects on the first call.
    fn open(&self, endpoint: &Endpoint) -> Channel;
}

/// Opens TCP connections.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpOpener;

impl ChannelOpener for TcpOpener {
    fn open(&self, endpoint: &Endpoint) -> Channel {
        endpoint.connect_lazy()
    }
}

/// Surroundings of a process.
#[derive(Debug, Clone)]
pub struct ProcessEnvironment {
    pub(crate) clock: TickClock,
    pub(crate) opener: Arc<dyn ChannelOpener>,
    pub(crate) seed: u64,
}

impl ProcessEnvironment {
    /// Creates an environment whose time is that of the runtime.
    pub fn with_runtime_clock(opener: Arc<dyn ChannelOpener>, seed: u64) -> Self {
        Self {
            clock: TickClock::start_in_runtime(),
            opener,
            seed,
        }
    }
}

impl Default for ProcessEnvironment {
    fn default() -> Self {
        Self {
            clock: TickClock::start(),
            opener: Arc::new(TcpOpener),
            seed: Uuid::new_v4().as_u128() as u64,
        }
    }
}
