//! What is known of the load of one upstream.

use std::time::Duration;

use trefoil_core::{Slots, Tick};

use crate::estimate::Estimate;

/// Time after which a number that was told counts no longer. Each is repeated several times a second
/// for as long as it is not zero.
const REPORT_AGE_MAX: Duration = Duration::from_millis(700);

/// Failures in a row after which an upstream is passed over.
const FAILURES_MIN: u32 = 2;

/// How long an upstream is passed over at first. It doubles with each further failure.
const BACKOFF: Duration = Duration::from_millis(500);

/// Longest time for which an upstream is passed over.
const BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Requests of other hosts at an upstream, as far as this host was told.
#[derive(Debug, Clone, Copy, Default)]
struct Reported {
    open: u32,
    at: Tick,
}

impl Reported {
    fn open_at(self, now: Tick) -> u32 {
        if now.since(self.at) < REPORT_AGE_MAX {
            self.open
        } else {
            0
        }
    }
}

/// How a request at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// The upstream refused it: it is alive and has too much work.
    Refused,
    /// The upstream failed to answer, or its connection broke.
    Failed,
    /// It was given up by this host, which says nothing about the upstream.
    Abandoned,
}

/// What is known of the load of one upstream.
#[derive(Debug, Clone)]
pub struct Load {
    slots: Slots,
    own: u32,
    time: Estimate,
    /// Requests of the other hosts of this failure domain.
    local: Reported,
    /// Requests of the hosts of other failure domains.
    remote: Reported,
    /// The estimate of all hosts together.
    shared: Estimate,
    failures: u32,
    backoff_until: Tick,
    /// Share of recent requests that failed or were refused.
    failure_rate: f64,
    /// The upstream is slow until this tick, because it has just started.
    cold: Tick,
}

/// Weight of one request in the share of failed ones.
const FAILURE_WEIGHT: f64 = 0.1;

impl Load {
    /// An upstream of which nothing is known but its slots, and that is slow until `cold`.
    pub fn new(slots: Slots, cold: Tick) -> Self {
        Self {
            slots,
            own: 0,
            time: Estimate::default(),
            local: Reported::default(),
            remote: Reported::default(),
            shared: Estimate::default(),
            failures: 0,
            backoff_until: Tick::default(),
            failure_rate: 0.0,
            cold,
        }
    }

    /// Takes in what the upstream says of itself.
    pub fn update(&mut self, slots: Slots, cold: Tick) {
        self.slots = slots;
        self.cold = cold;
    }

    /// Requests that the upstream works on at once.
    pub fn slots(&self) -> Slots {
        self.slots
    }

    /// Requests that this host has open.
    pub fn own_open(&self) -> u32 {
        self.own
    }

    /// Requests that all hosts have open.
    pub fn open(&self, now: Tick) -> u32 {
        self.own + self.local.open_at(now) + self.remote.open_at(now)
    }

    /// Whether the upstream has just started.
    pub fn is_cold(&self, now: Tick) -> bool {
        now < self.cold
    }

    /// Whether requests are better sent elsewhere.
    pub fn is_backed_off(&self, now: Tick) -> bool {
        now < self.backoff_until
    }

    /// Share of recent requests that failed or were refused.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// This host's estimate of the time that the upstream works on a request.
    pub fn own_estimate(&self, now: Tick) -> Estimate {
        self.time.at(now)
    }

    /// The estimate of all hosts, or this host's own if it is worth more.
    pub fn estimate(&self, now: Tick) -> Estimate {
        let (own, shared) = (self.time.at(now), self.shared.at(now));
        if shared.weight() > own.weight() {
            shared
        } else {
            own
        }
    }

    /// Requests that the other hosts of this failure domain have open.
    pub fn set_local(&mut self, now: Tick, open: u32) {
        self.local = Reported { open, at: now };
    }

    /// Requests that the hosts of other failure domains have open.
    pub fn set_remote(&mut self, now: Tick, open: u32) {
        self.remote = Reported { open, at: now };
    }

    /// The estimate of all hosts, this one included.
    pub fn set_shared(&mut self, time: Estimate) {
        self.shared = time;
    }

    /// A request is sent.
    pub fn begin(&mut self) {
        self.own += 1;
    }

    /// A request that was sent when `open` requests were open has ended after `took`.
    pub fn end(&mut self, now: Tick, outcome: Outcome, open: u32, took: Duration) {
        self.own = self.own.saturating_sub(1);
        let failed = match outcome {
            Outcome::Abandoned => return,
            Outcome::Answered => {
                let queued = f64::from((open + 1).saturating_sub(self.slots.0));
                let share = 1.0 + queued / f64::from(self.slots.0.max(1));
                self.time.observe(now, took.div_f64(share));
                0.0
            }
            Outcome::Refused | Outcome::Failed => 1.0,
        };
        self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate);
        if outcome == Outcome::Failed {
            self.failures += 1;
            if self.failures >= FAILURES_MIN {
                let doublings = (self.failures - FAILURES_MIN).min(8);
                let backoff = BACKOFF.saturating_mul(1 << doublings).min(BACKOFF_MAX);
                self.backoff_until = now.after(backoff);
            }
        } else {
            self.failures = 0;
            self.backoff_until = Tick::default();
        }
    }
}
