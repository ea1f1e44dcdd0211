//! Non-blocking log on standard output: a dedicated thread writes the lines from a bounded queue.

use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::process_metrics::PROCESS_METRICS;

/// Queue size in bytes beyond which further lines are dropped and counted.
const MAX_QUEUED_BYTES: usize = 128 << 10;

/// Time for which lines are collected before they are written in one batch.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of sampled lines in one write interval.
const MAX_ROUTINE_LINES: u32 = 4;

#[derive(Default)]
struct LogQueue {
    bytes: Vec<u8>,
    dropped: u64,
    routine_lines: u32,
    /// The queued lines are to be written without a delay.
    flush_requested: bool,
    is_writing: bool,
}

impl LogQueue {
    fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.dropped == 0
    }
}

#[derive(Default)]
struct LogWriter {
    queue: Mutex<LogQueue>,
    /// Signals the first line of a batch, or a requested flush.
    not_empty: Condvar,
    /// Signals that a batch was written.
    written: Condvar,
}

impl LogWriter {
    fn lock(&self) -> MutexGuard<'_, LogQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

static WRITER: OnceLock<Arc<LogWriter>> = OnceLock::new();

/// Starts the writer thread. Later calls have no effect. Lines logged before the first call are
/// discarded.
pub fn start(output: impl std::io::Write + Send + 'static) {
    let writer = Arc::new(LogWriter::default());
    if WRITER.set(Arc::clone(&writer)).is_err() {
        return;
    }
    std::thread::spawn(move || write_lines(&writer, output));
}

fn write_lines(writer: &LogWriter, mut output: impl std::io::Write) {
    loop {
        let queue = writer.lock();
        let queue = writer.not_empty.wait_while(queue, |queue| queue.is_empty());
        let queue = queue.unwrap_or_else(PoisonError::into_inner);
        let collecting = writer
            .not_empty
            .wait_timeout_while(queue, WRITE_INTERVAL, |queue| !queue.flush_requested);
        let (mut queue, _) = collecting.unwrap_or_else(PoisonError::into_inner);
        queue.flush_requested = false;
        queue.is_writing = true;
        let mut bytes = std::mem::take(&mut queue.bytes);
        let dropped = std::mem::take(&mut queue.dropped);
        queue.routine_lines = 0;
        drop(queue);
        if dropped > 0 {
            let _ = writeln!(bytes, "level=warn event=log_lines_dropped count={dropped}");
        }
        // A closed standard output must not end the process, and there is nowhere to report the error.
        let _ = output.write_all(&bytes);
        let _ = output.flush();
        writer.lock().is_writing = false;
        writer.written.notify_all();
    }
}

/// Waits until the queued lines are written. A process calls it before it exits; the limit keeps a
/// blocked standard output from holding up the exit.
pub fn flush(limit: Duration) {
    let Some(writer) = WRITER.get() else { return };
    let mut queue = writer.lock();
    queue.flush_requested = !queue.is_empty();
    writer.not_empty.notify_one();
    let is_pending = |queue: &mut LogQueue| queue.is_writing || !queue.is_empty();
    let _ = writer.written.wait_timeout_while(queue, limit, is_pending);
}

/// Level of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineLevel {
    /// Sampled, for frequent events such as successful requests.
    Routine,
    Info,
    Warn,
}

/// Queues one line; `fields` holds key=value pairs.
pub fn write(level: LineLevel, event: &str, fields: fmt::Arguments<'_>) {
    let Some(writer) = WRITER.get() else { return };
    let mut queue = writer.lock();
    if level == LineLevel::Routine {
        queue.routine_lines += 1;
        if queue.routine_lines > MAX_ROUTINE_LINES {
            return;
        }
    }
    if queue.bytes.len() >= MAX_QUEUED_BYTES {
        queue.dropped += 1;
        PROCESS_METRICS.log_lines_dropped.inc();
        return;
    }
    PROCESS_METRICS.log_lines.inc();
    let name = match level {
        LineLevel::Routine => "debug",
        LineLevel::Info => "info",
        LineLevel::Warn => "warn",
    };
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut line = String::with_capacity(160);
    let _ = writeln!(line, "time={:.3} level={name} event={event} {fields}", time.as_secs_f64());
    let was_empty = queue.bytes.is_empty();
    queue.bytes.extend_from_slice(line.as_bytes());
    drop(queue);
    if was_empty {
        writer.not_empty.notify_one();
    }
}

/// Queues an `info` line.
#[macro_export]
macro_rules! log_info {
    ($event:expr, $($fields:tt)*) => {
        $crate::fleet::event_log::write(
            $crate::fleet::event_log::LineLevel::Info, $event, format_args!($($fields)*))
    };
}

/// Queues a `warn` line.
#[macro_export]
macro_rules! log_warn {
    ($event:expr, $($fields:tt)*) => {
        $crate::fleet::event_log::write(
            $crate::fleet::event_log::LineLevel::Warn, $event, format_args!($($fields)*))
    };
}

/// Queues a `debug` line, which is sampled.
#[macro_export]
macro_rules! log_routine {
    ($event:expr, $($fields:tt)*) => {
        $crate::fleet::event_log::write(
            $crate::fleet::event_log::LineLevel::Routine, $event, format_args!($($fields)*))
    };
}
