//! What is known of the load of one upstream.

use std::time::Duration;

use smallvec::SmallVec;
use trefoil_core::{HostId, Slots, Tick};

use crate::estimate::Estimate;

/// Time after which what another host has said counts no longer. Reports come several times a
/// second.
const REPORT_AGE: Duration = Duration::from_millis(1500);

/// Failures in a row after which an upstream is passed over.
const FAILURES: u32 = 2;

/// How long an upstream is passed over at first. It doubles with each further failure.
const PAUSE: Duration = Duration::from_millis(500);

/// Longest time for which an upstream is passed over.
const PAUSE_MAX: Duration = Duration::from_secs(4);

/// What another host says of its own requests at an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Report {
    /// Requests that it has open.
    Open(u32),
    /// Time that the upstream worked on its requests.
    Time(Estimate),
}

/// What another host has said last.
#[derive(Debug, Clone, Copy, Default)]
struct Heard {
    open: u32,
    time: Estimate,
    at: Tick,
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
    reports: SmallVec<[(HostId, Heard); 4]>,
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
            reports: SmallVec::new(),
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
        let fresh = self.reports.iter().filter(|(_, r)| is_fresh(now, r));
        self.own + fresh.map(|(_, r)| r.open).sum::<u32>()
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

    /// The estimate of all hosts.
    pub fn time(&self, now: Tick) -> Estimate {
        let reports = self.reports.iter().filter(|(_, r)| is_fresh(now, r));
        reports.fold(self.time.at(now), |sum, (_, r)| sum.plus(r.time.at(now)))
    }

    /// Another host has no requests open here, until it reports some.
    pub fn clear_open(&mut self, from: HostId) {
        for (host, heard) in &mut self.reports {
            if *host == from {
                heard.open = 0;
            }
        }
    }

    /// Takes in what another host says.
    pub fn report(&mut self, now: Tick, from: HostId, report: Report) {
        self.reports.retain(|(_, heard)| is_fresh(now, heard));
        let index = self.reports.iter().position(|(host, _)| *host == from);
        let index = index.unwrap_or_else(|| {
            self.reports.push((from, Heard::default()));
            self.reports.len() - 1
        });
        let heard = &mut self.reports[index].1;
        heard.at = now;
        match report {
            Report::Open(open) => heard.open = open,
            Report::Time(time) => heard.time = time,
        }
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

fn is_fresh(now: Tick, heard: &Heard) -> bool {
    now.since(heard.at) < REPORT_AGE
}
