//! Rate limit of log lines, per event.
//!
//! A host that refuses a thousand requests per second must not write a thousand lines per second:
//! they cost processor time and hide other lines. Lines above the limit of their event are counted
//! instead of written, and the first line of a later window is followed by one with that count.

use std::collections::BTreeMap;
use std::fmt::{self, Debug};
use std::sync::{Mutex, PoisonError};

use prometheus_client::metrics::counter::Counter;
use slog::{Drain, Level, OwnedKVList, Record, b, record};
use trefoil_core::{Clock, Tick};

/// Length of the window in which lines are counted, in milliseconds.
const WINDOW_MS: u128 = 1000;

/// Event name for lines whose message is formatted at run time.
const OTHER_EVENTS: &str = "other";

/// Counts of lines of one event in a window.
#[derive(Debug, Default, Clone, Copy)]
struct Lines {
    written: u32,
    limited: u64,
}

#[derive(Debug, Default)]
struct Counts {
    since: Tick,
    lines: BTreeMap<&'static str, Lines>,
    dropped: u64,
}

/// Log lines that were not written.
#[derive(Debug, Clone, Default)]
pub struct LostLines {
    /// Lines above the limit of their event.
    pub limited: Counter,
    /// Lines that did not fit into the queue.
    pub dropped: Counter,
}

/// A drain that forwards a limited number of lines per second of each event, and counts lines that
/// the inner drain does not accept.
pub struct Limited<D, C> {
    inner: D,
    max_lines: u32,
    clock: C,
    counts: Mutex<Counts>,
    lost: LostLines,
}

impl<D, C> Debug for Limited<D, C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Limited")
            .field("most", &self.max_lines)
            .finish_non_exhaustive()
    }
}

impl<D, C> Limited<D, C>
where
    D: Drain,
    C: Clock,
{
    /// Creates a drain that forwards at most `max_lines` lines per second of each event.
    pub fn new(inner: D, max_lines: u32, clock: C, lost: LostLines) -> Self {
        Self {
            inner,
            max_lines,
            clock,
            counts: Mutex::default(),
            lost,
        }
    }

    /// Counts a line. Returns whether it may be written, and the counts of the previous window if
    /// the line begins a new one.
    fn count_line(&self, event: &'static str) -> (bool, Option<Counts>) {
        let now = self.clock.now();
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let over = now.since(counts.since).as_millis() >= WINDOW_MS;
        let ended = over.then(|| {
            std::mem::replace(
                &mut *counts,
                Counts {
                    since: now,
                    ..Counts::default()
                },
            )
        });
        let lines = counts.lines.entry(event).or_default();
        let passes = lines.written < self.max_lines;
        if passes {
            lines.written += 1;
        } else {
            lines.limited += 1;
            self.lost.limited.inc();
        }
        (passes, ended)
    }

    fn write(&self, record: &Record<'_>, values: &OwnedKVList) {
        if self.inner.log(record, values).is_err() {
            self.lost.dropped.inc();
            let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
            counts.dropped += 1;
        }
    }

    fn report_lost(&self, ended: &Counts, values: &OwnedKVList) {
        for (event, lines) in &ended.lines {
            if lines.limited > 0 {
                let kv = b!("of" => *event, "count" => lines.limited, "limit" => self.max_lines);
                let args = format_args!("lines left out");
                self.write(&record!(Level::Warning, "", &args, kv), values);
            }
        }
        if ended.dropped > 0 {
            let kv = b!("count" => ended.dropped);
            let args = format_args!("lines dropped");
            self.write(&record!(Level::Warning, "", &args, kv), values);
        }
    }
}

impl<D, C> Drain for Limited<D, C>
where
    D: Drain,
    C: Clock,
{
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let event = record.msg().as_str().unwrap_or(OTHER_EVENTS);
        let (passes, ended) = self.count_line(event);
        if passes {
            self.write(record, values);
        }
        if let Some(ended) = ended {
            self.report_lost(&ended, values);
        }
        Ok(())
    }
}
