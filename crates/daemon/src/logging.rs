//! Logging in lines of key=value pairs, one line per event.

mod limit;

use std::fmt;
use std::io::Write;
use std::sync::{Mutex, PoisonError, mpsc};
use std::thread;
use std::time::Duration;

use slog::{Drain, KV, Key, Level, Logger, OwnedKVList, Record, Serializer, o};
use trefoil_core::{Clock, SystemClock};

pub use limit::{Limited, LostLines};

/// A drain that writes lines of key=value pairs.
#[derive(Debug)]
pub struct KeyValueDrain<W> {
    out: Mutex<W>,
}

impl<W> KeyValueDrain<W> {
    /// Creates a drain that writes to `out`.
    pub fn new(out: W) -> Self {
        Self {
            out: Mutex::new(out),
        }
    }
}

/// The formatted pairs of a line.
#[derive(Default)]
struct Line(Vec<String>);

impl Line {
    fn push_pair(&mut self, key: &str, value: &str) {
        let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
        self.0.push(match value {
            "" => format!("{key}=\"\""),
            _ if value.chars().all(plain) => format!("{key}={value}"),
            // Debug escapes quotes and control characters, so that an untrusted value cannot inject
            // a line.
            _ => format!("{key}={value:?}"),
        });
    }
}

impl Serializer for Line {
    fn emit_arguments(&mut self, key: Key, val: &fmt::Arguments<'_>) -> slog::Result {
        self.push_pair(key, &val.to_string());
        Ok(())
    }
}

impl<W> Drain for KeyValueDrain<W>
where
    W: Write,
{
    type Ok = ();
    type Err = std::io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Self::Err> {
        let mut line = Line::default();
        line.push_pair("ts", &SystemClock.unix().to_string());
        line.push_pair("level", &record.level().as_str().to_ascii_lowercase());
        line.push_pair("event", &record.msg().to_string());
        // slog passes the pairs in reverse order.
        let mut pairs = Line::default();
        let failed = record.kv().serialize(record, &mut pairs).is_err();
        if failed || values.serialize(record, &mut pairs).is_err() {
            pairs.0.insert(0, "incomplete=true".to_owned());
        }
        line.0.extend(pairs.0.into_iter().rev());
        let mut out = self.out.lock().unwrap_or_else(PoisonError::into_inner);
        writeln!(out, "{}", line.0.join(" "))
    }
}

/// Capacity of the queue to the writer, in lines.
const QUEUE_LINES: usize = 512;

/// Timeout for the writer at the end of the process. A reader that does not drain its pipe must not
/// keep the process from exiting.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Flushes queued lines when it is dropped, with a timeout.
pub struct Flush(Option<slog_async::AsyncGuard>);

impl Drop for Flush {
    fn drop(&mut self) {
        let Some(guard) = self.0.take() else { return };
        let (done, flushed) = mpsc::channel();
        let flushing = thread::Builder::new().spawn(move || {
            drop(guard);
            // The receiver is gone after the timeout.
            let _ = done.send(());
        });
        if flushing.is_ok() {
            // Lines that are not written in time are lost.
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl fmt::Debug for Flush {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Flush")
    }
}

/// Creates a logger to standard error. A separate thread writes the lines, so that a slow terminal
/// or pipe does not block the process. Lines that do not fit into its queue are dropped and
/// counted.
pub fn stderr(level: Level) -> (Logger, Flush) {
    let (logger, flush, _) = logger(std::io::stderr(), level, u32::MAX);
    (logger, flush)
}

/// Creates a logger to standard output like [`stderr`], with at most `max_lines` lines per second
/// of each event. Also returns the counters of lines that were not written.
pub fn stdout(level: Level, max_lines: u32) -> (Logger, Flush, LostLines) {
    logger(std::io::stdout(), level, max_lines)
}

fn logger<W>(out: W, level: Level, max_lines: u32) -> (Logger, Flush, LostLines)
where
    W: Write + Send + 'static,
{
    let writer = KeyValueDrain::new(out).ignore_res();
    let (queue, guard) = slog_async::AsyncCore::custom(writer)
        .chan_size(QUEUE_LINES)
        .build_with_guard();
    let lost = LostLines::default();
    let limited = Limited::new(queue, max_lines, SystemClock, lost.clone());
    let drain = slog::LevelFilter::new(limited, level).ignore_res();
    let logger = Logger::root(drain, o!());
    (logger, Flush(Some(guard)), lost)
}
