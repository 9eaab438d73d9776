//! Adaptive concurrency limit and observed service time.
//!
//! The declared slots are an upper bound that an upstream may not reach when it is cold, shares its
//! host with another load or recovers from a fault. The [`Limit`] moves between 1 and the slots and
//! follows only observations of requests: health and load endpoints lag, and a limit that follows
//! them grows into an overload that they do not report yet.
//!
//! - Growth: one slot for every [`SUCCESSES_PER_SLOT`] successful answers in time. The cold start
//!   uses the same rule and begins at 1.
//! - Decrease: one slot when more than an eighth of the recent attempts were refused or failed,
//!   which takes three of them close together, and one when the recent latency exceeds twice the
//!   baseline. A single refusal is weak evidence, and an upstream above its capacity refuses a
//!   whole share of the attempts. After a decrease, attempts that were started before it are
//!   ignored: they report the load that the decrease already answered.
//!
//! With 2 to 4 slots a multiplicative decrease would be a reset, so the limit moves by one. The
//! baseline latency follows a rise slowly (1/256 for each answer) and a fall quickly (1/8), so a
//! permanent change of the work becomes the new baseline and does not hold the limit down
//! permanently.

use std::collections::VecDeque;
use std::time::Duration;

use trefoil_core::{Slots, Tick};

use crate::admission::STALE_AFTER;

/// Successful answers that raise the limit by one slot.
pub const SUCCESSES_PER_SLOT: u32 = 8;

/// Ratio of recent to baseline latency above which the limit is lowered.
const SLOWDOWN_RATIO: f64 = 2.0;

/// Share of refused or failed attempts above which the limit is lowered.
const REFUSED_SHARE_MAX: f64 = 1.0 / 8.0;

/// Weight of one attempt in the share of refused ones.
const REFUSED_WEIGHT: f64 = 1.0 / 16.0;

/// Answers that are needed before latency can lower the limit; the mean of fewer is too uncertain.
const LATENCY_ANSWERS_MIN: u32 = 32;

/// Number of observations that the service time covers.
const WINDOW: usize = 256;

/// Number of observations of a full window that may exceed the tail: 2 of 256.
const ABOVE_TAIL: usize = 2;

/// Service time over the last 256 observations.
#[derive(Debug, Clone, Default)]
pub struct ServiceTime {
    times: VecDeque<Duration>,
    sorted: Vec<Duration>,
    sum: Duration,
    latest: Tick,
}

impl ServiceTime {
    /// Adds an observation. The time until a timeout counts too: it is a lower bound of the service
    /// time, and without it a slow upstream would appear fast.
    pub fn observe(&mut self, now: Tick, time: Duration) {
        if self.is_stale(now) {
            // Otherwise the mean would need many observations to recover from a slow period.
            *self = Self::default();
        }
        self.latest = now;
        if self.times.len() >= WINDOW
            && let Some(oldest) = self.times.pop_front()
        {
            let index = self.sorted.partition_point(|&t| t < oldest);
            self.sorted.remove(index);
            self.sum -= oldest;
        }
        self.times.push_back(time);
        let index = self.sorted.partition_point(|&t| t < time);
        self.sorted.insert(index, time);
        self.sum += time;
    }

    /// Returns true if nothing has been observed for [`STALE_AFTER`].
    pub fn is_stale(&self, now: Tick) -> bool {
        self.times.is_empty() || now.since(self.latest) >= STALE_AFTER
    }

    /// Returns the mean, or zero before the first observation.
    pub fn mean(&self) -> Duration {
        let count = u32::try_from(self.times.len()).unwrap_or(u32::MAX);
        self.sum.checked_div(count).unwrap_or_default()
    }

    /// Returns a service time that few requests exceed, about the 99th percentile. A quantile is
    /// used and not a multiple of the deviation, because the times of one upstream often have two
    /// modes.
    pub fn tail(&self) -> Duration {
        let above = ABOVE_TAIL * self.sorted.len() / WINDOW;
        let index = self.sorted.len().checked_sub(above + 1);
        index.map_or(Duration::ZERO, |i| self.sorted[i])
    }
}

/// Observation of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// A successful answer in time, and its service time.
    Success(Duration),
    /// An answer that was late or reports an error of the upstream, and its service time. It does
    /// not raise the limit. A late answer does not by itself lower it either: with deadlines close
    /// to the service time some answers are late at any load.
    Answer(Duration),
    /// A refusal or a failure.
    Overload,
}

/// Concurrency limit of one upstream.
#[derive(Debug, Clone)]
pub struct Limit {
    slots: u32,
    current: u32,
    successes: u32,
    answers: u32,
    recent_latency: f64,
    baseline_latency: f64,
    refused_share: f64,
    lowered_at: Option<Tick>,
}

impl Limit {
    /// Creates the limit of a cold upstream with `slots` slots (at least 1).
    pub fn new(slots: Slots) -> Self {
        Self {
            slots: slots.0.max(1),
            current: 1,
            successes: 0,
            answers: 0,
            recent_latency: 0.0,
            baseline_latency: 0.0,
            refused_share: 0.0,
            lowered_at: None,
        }
    }

    /// Returns the number of requests that may run at once.
    pub fn current(&self) -> Slots {
        Slots(self.current)
    }

    /// Resets the limit to that of a cold upstream.
    pub fn reset(&mut self) {
        *self = Self::new(Slots(self.slots));
    }

    /// Adds the observation of an attempt that was started at `started`.
    pub fn observe(&mut self, now: Tick, started: Tick, sample: Sample) {
        match sample {
            _ if self.lowered_at.is_some_and(|at| started < at) => {}
            Sample::Overload => {
                self.refused_share += REFUSED_WEIGHT * (1.0 - self.refused_share);
                if self.refused_share > REFUSED_SHARE_MAX {
                    self.lower(now);
                }
            }
            Sample::Answer(time) => {
                self.track_latency(time);
                self.adapt(now);
            }
            Sample::Success(time) => {
                self.track_latency(time);
                self.successes += 1;
                self.adapt(now);
            }
        }
    }

    fn adapt(&mut self, now: Tick) {
        if self.answers >= LATENCY_ANSWERS_MIN
            && self.recent_latency > SLOWDOWN_RATIO * self.baseline_latency
        {
            self.lower(now);
        } else if self.successes >= SUCCESSES_PER_SLOT {
            self.successes = 0;
            self.current = (self.current + 1).min(self.slots);
        }
    }

    fn track_latency(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        self.refused_share -= REFUSED_WEIGHT * self.refused_share;
        self.answers = self.answers.saturating_add(1);
        let weight = f64::from(self.answers).recip().max(1.0 / 16.0);
        self.recent_latency += weight * (time - self.recent_latency);
        let rise = match self.answers {
            n if n <= LATENCY_ANSWERS_MIN => weight,
            _ if self.recent_latency < self.baseline_latency => 1.0 / 8.0,
            _ => 1.0 / 256.0,
        };
        self.baseline_latency += rise * (self.recent_latency - self.baseline_latency);
    }

    fn lower(&mut self, now: Tick) {
        self.current = self.current.saturating_sub(1).max(1);
        self.successes = 0;
        self.refused_share = 0.0;
        self.lowered_at = Some(now);
    }
}
