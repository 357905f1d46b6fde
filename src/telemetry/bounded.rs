//! Log writer with a bounded buffer that a background thread writes to standard output.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FormatFunction};
use log::Record;

use super::line::write_line;

/// Holds the lines of several seconds at full load.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;
/// Lines are written in batches, since each write costs a system call and a wake-up.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct LineBuffer {
    lines: Vec<u8>,
    dropped: u64,
}

#[derive(Debug, Default)]
struct SharedBuffer {
    buffer: Mutex<LineBuffer>,
    not_empty: Condvar,
    // Held from taking lines out of the buffer until they are written, so that they keep their order.
    output: Mutex<()>,
}

/// Buffers lines until its thread writes them to standard output.
#[derive(Debug)]
pub(super) struct BoundedWriter {
    shared: Arc<SharedBuffer>,
}

impl BoundedWriter {
    pub(super) fn start() -> io::Result<Self> {
        let shared = Arc::new(SharedBuffer::default());
        let thread_shared = Arc::clone(&shared);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || thread_shared.run())?;
        Ok(Self { shared })
    }
}

impl SharedBuffer {
    fn lock(&self) -> MutexGuard<'_, LineBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self) {
        loop {
            let mut buffer = self.lock();
            while buffer.lines.is_empty() {
                buffer = self
                    .not_empty
                    .wait(buffer)
                    .unwrap_or_else(PoisonError::into_inner);
            }
            drop(buffer);
            thread::sleep(WRITE_INTERVAL);
            // If standard output is closed, there is no other place to report the error.
            let _ = self.flush_lines();
        }
    }

    fn flush_lines(&self) -> io::Result<()> {
        let _output_guard = self.output.lock().unwrap_or_else(PoisonError::into_inner);
        let LineBuffer { lines, dropped } = std::mem::take(&mut *self.lock());
        let mut output = io::stdout().lock();
        output.write_all(&lines)?;
        if dropped > 0 {
            writeln!(output, "level=warn event=log_lines_dropped count={dropped}")?;
        }
        output.flush()
    }

    fn push(&self, line: &[u8]) {
        let mut buffer = self.lock();
        if buffer.lines.len() + line.len() > MAX_BUFFERED_BYTES {
            buffer.dropped += 1;
            return;
        }
        let was_empty = buffer.lines.is_empty();
        buffer.lines.extend_from_slice(line);
        drop(buffer);
        if was_empty {
            self.not_empty.notify_one();
        }
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        write_line(&mut line, now, record)?;
        line.push(b'\n');
        self.shared.push(&line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        self.shared.flush_lines()
    }

    fn format(&mut self, _format: FormatFunction) {}
}
