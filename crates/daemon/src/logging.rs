//! Log lines of key=value pairs, one line an event.

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
    /// Writes to `out`.
    pub fn new(out: W) -> Self {
        Self {
            out: Mutex::new(out),
        }
    }
}

/// Pairs of a line, each as it is written.
#[derive(Default)]
struct Line(Vec<String>);

impl Line {
    fn push_pair(&mut self, key: &str, value: &str) {
        let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
        self.0.push(match value {
            "" => format!("{key}=\"\""),
            _ if value.chars().all(plain) => format!("{key}={value}"),
            // Debug escapes quotes and control characters, so that a value from outside cannot
            // begin a line of its own.
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
        // slog hands the pairs over from the last to the first.
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

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 512;

/// Longest wait for the writer at the end of the process. A reader that has stopped reading its pipe
/// must not keep the process from ending.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Writes outstanding lines when it is dropped, unless that takes too long.
pub struct Flush(Option<slog_async::AsyncGuard>);

impl Drop for Flush {
    fn drop(&mut self) {
        let Some(guard) = self.0.take() else { return };
        let (done, flushed) = mpsc::channel();
        let flushing = thread::Builder::new().spawn(move || {
            drop(guard);
            // Nobody waits any more if this took too long.
            let _ = done.send(());
        });
        if flushing.is_ok() {
            // Lines that are not written by then are lost with the process.
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl fmt::Debug for Flush {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Flush")
    }
}

/// A logger to standard error. Writing happens on a thread of its own, so that a slow terminal or
/// pipe does not stop the process; lines that do not fit its buffer are dropped and counted.
pub fn stderr(level: Level) -> (Logger, Flush) {
    let (logger, flush, _) = logger(std::io::stderr(), level, u32::MAX);
    (logger, flush)
}

/// A logger to standard output, as [`stderr`], with at most `most` lines a second of each event.
/// Also returns the counts of lines that are not written.
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
