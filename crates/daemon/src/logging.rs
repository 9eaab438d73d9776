//! Log lines of key=value pairs, one line an event.

use std::fmt::{self, Write as _};
use std::io::Write;
use std::sync::{Mutex, PoisonError};

use slog::{Drain, KV, Key, Level, Logger, OwnedKVList, Record, Serializer, o};
use trefoil_core::{Clock, SystemClock};

/// A drain that writes lines of key=value pairs.
#[derive(Debug)]
pub struct KeyValue<W> {
    out: Mutex<W>,
}

impl<W> KeyValue<W> {
    /// Writes to `out`.
    pub fn new(out: W) -> Self {
        Self {
            out: Mutex::new(out),
        }
    }
}

struct Line(String);

impl Line {
    fn pair(&mut self, key: &str, value: &str) {
        let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
        let separator = if self.0.is_empty() { "" } else { " " };
        // Writing to a string cannot fail.
        let _ = match value {
            "" => write!(self.0, "{separator}{key}=\"\""),
            _ if value.chars().all(plain) => write!(self.0, "{separator}{key}={value}"),
            // Debug escapes quotes and control characters, so that a value from outside cannot
            // begin a line of its own.
            _ => write!(self.0, "{separator}{key}={value:?}"),
        };
    }
}

impl Serializer for Line {
    fn emit_arguments(&mut self, key: Key, val: &fmt::Arguments<'_>) -> slog::Result {
        self.pair(key, &val.to_string());
        Ok(())
    }
}

impl<W> Drain for KeyValue<W>
where
    W: Write,
{
    type Ok = ();
    type Err = std::io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Self::Err> {
        let mut line = Line(String::new());
        line.pair("ts", &SystemClock.unix().to_string());
        line.pair("level", &record.level().as_str().to_ascii_lowercase());
        line.pair("event", &record.msg().to_string());
        let failed = record.kv().serialize(record, &mut line).is_err();
        if failed || values.serialize(record, &mut line).is_err() {
            line.pair("incomplete", "true");
        }
        let mut out = self.out.lock().unwrap_or_else(PoisonError::into_inner);
        writeln!(out, "{}", line.0)
    }
}

/// Writes outstanding lines when it is dropped.
pub struct Flush(#[expect(dead_code, reason = "held for its drop")] slog_async::AsyncGuard);

/// A logger to standard error. Writing happens on a thread of its own, so that a slow terminal or
/// pipe does not stop the process; lines that do not fit its buffer are dropped and counted.
pub fn stderr(level: Level) -> (Logger, Flush) {
    logger(std::io::stderr(), level)
}

/// A logger to standard output, as [`stderr`].
pub fn stdout(level: Level) -> (Logger, Flush) {
    logger(std::io::stdout(), level)
}

fn logger<W>(out: W, level: Level) -> (Logger, Flush)
where
    W: Write + Send + 'static,
{
    let drain = slog::LevelFilter::new(KeyValue::new(out), level).ignore_res();
    let (drain, guard) = slog_async::Async::new(drain).build_with_guard();
    (Logger::root(drain.ignore_res(), o!()), Flush(guard))
}

impl fmt::Debug for Flush {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Flush")
    }
}
