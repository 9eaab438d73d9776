//! What is known of the load of one upstream.

use std::time::Duration;

use trefoil_core::{Slots, Tick};

use crate::estimate::Estimate;

/// Time after which a number that was told counts no longer. Each is repeated several times a second
/// for as long as it is not zero.
const TOLD_AGE: Duration = Duration::from_millis(700);

/// Failures in a row after which an upstream is passed over.
const FAILURES: u32 = 2;

/// How long an upstream is passed over at first. It doubles with each further failure.
const PAUSE: Duration = Duration::from_millis(500);

/// Longest time for which an upstream is passed over.
const PAUSE_MAX: Duration = Duration::from_secs(4);

/// Requests of other hosts at an upstream, as far as this host was told.
#[derive(Debug, Clone, Copy, Default)]
struct Told {
    open: u32,
    at: Tick,
}

impl Told {
    fn fresh(self, now: Tick) -> u32 {
        if now.since(self.at) < TOLD_AGE {
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
    Dropped,
}

/// What is known of the load of one upstream.
#[derive(Debug, Clone)]
pub struct Load {
    slots: Slots,
    own: u32,
    time: Estimate,
    /// Requests of the other hosts of this failure domain.
    near: Told,
    /// Requests of the hosts of other failure domains.
    far: Told,
    /// The estimate of all hosts together.
    shared: Estimate,
    failures: u32,
    paused: Tick,
    /// Share of recent requests that failed or were refused.
    trouble: f64,
    /// The upstream is slow until this tick, because it has just started.
    cold: Tick,
}

/// Weight of one request in the share of failed ones.
const TROUBLE_WEIGHT: f64 = 0.1;

impl Load {
    /// An upstream of which nothing is known but its slots, and that is slow until `cold`.
    pub fn new(slots: Slots, cold: Tick) -> Self {
        Self {
            slots,
            own: 0,
            time: Estimate::default(),
            near: Told::default(),
            far: Told::default(),
            shared: Estimate::default(),
            failures: 0,
            paused: Tick::default(),
            trouble: 0.0,
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
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Requests that all hosts have open.
    pub fn open(&self, now: Tick) -> u32 {
        self.own + self.near.fresh(now) + self.far.fresh(now)
    }

    /// Whether the upstream has just started.
    pub fn is_cold(&self, now: Tick) -> bool {
        now < self.cold
    }

    /// Whether requests are better sent elsewhere.
    pub fn is_paused(&self, now: Tick) -> bool {
        now < self.paused
    }

    /// Share of recent requests that failed or were refused.
    pub fn trouble(&self) -> f64 {
        self.trouble
    }

    /// This host's estimate of the time that the upstream works on a request.
    pub fn own_time(&self, now: Tick) -> Estimate {
        self.time.at(now)
    }

    /// The estimate of all hosts, or this host's own if it is worth more.
    pub fn time(&self, now: Tick) -> Estimate {
        let (own, shared) = (self.time.at(now), self.shared.at(now));
        if shared.weight() > own.weight() {
            shared
        } else {
            own
        }
    }

    /// Requests that the other hosts of this failure domain have open.
    pub fn set_near(&mut self, now: Tick, open: u32) {
        self.near = Told { open, at: now };
    }

    /// Requests that the hosts of other failure domains have open.
    pub fn set_far(&mut self, now: Tick, open: u32) {
        self.far = Told { open, at: now };
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
        let bad = match outcome {
            Outcome::Dropped => return,
            Outcome::Answered => {
                let queued = f64::from((open + 1).saturating_sub(self.slots.0));
                let share = 1.0 + queued / f64::from(self.slots.0.max(1));
                self.time.observe(now, took.div_f64(share));
                0.0
            }
            Outcome::Refused | Outcome::Failed => 1.0,
        };
        self.trouble += TROUBLE_WEIGHT * (bad - self.trouble);
        if outcome == Outcome::Failed {
            self.failures += 1;
            if self.failures >= FAILURES {
                let doublings = (self.failures - FAILURES).min(8);
                let pause = PAUSE.saturating_mul(1 << doublings).min(PAUSE_MAX);
                self.paused = now.after(pause);
            }
        } else {
            self.failures = 0;
            self.paused = Tick::default();
        }
    }
}
