//! Load of one upstream.

use std::time::Duration;

use trefoil_core::{Slots, Tick};

use crate::estimate::Estimate;

/// Age at which a reported number expires. A host repeats its reports several times per second as
/// long as the number is not zero.
const REPORT_AGE_MAX: Duration = Duration::from_millis(700);

/// Time by which the end of one warm-up may seem to be later in a later registration. Registrations
/// wait in the registry for the next read, several hundred milliseconds at most by default.
pub(crate) const WARMUP_ERROR: Duration = Duration::from_millis(400);

/// Open requests of other hosts, as reported by them.
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

/// End of a request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered.
    Answered,
    /// The upstream refused the request: it is alive and overloaded.
    Refused,
    /// The upstream did not answer, its connection broke, or it answered that the request failed.
    Failed,
    /// This host abandoned the request, which says nothing about the upstream.
    Abandoned,
}

/// Load of one upstream, as known to this host.
#[derive(Debug, Clone)]
pub struct Load {
    slots: Slots,
    own: u32,
    time: Estimate,
    /// Open requests of the other hosts in this failure domain.
    local: Reported,
    /// Open requests of the hosts in other failure domains.
    remote: Reported,
    /// Service time estimated from the observations of all hosts.
    shared: Estimate,
    /// Moving average of the share of requests that were refused.
    refusal_rate: f64,
    /// The upstream is warming up until this tick.
    cold_until: Tick,
    /// End of the warm-up in the last registration that was a change of the directory, which all
    /// hosts learn of.
    told_until: Tick,
    /// The upstream is presumed to warm up until this tick, whatever it registers.
    presumed_until: Tick,
    /// Since when this host has an idle connection to the upstream.
    idle_since: Option<Tick>,
    /// What the upstream has stated last in an answer to this host.
    stated: Option<Stated>,
}

/// Load that an upstream has stated.
#[derive(Debug, Clone, Copy)]
struct Stated {
    /// Requests at the upstream.
    open: u32,
    /// Present duration of work as a multiple of the usual one.
    pace: f64,
    at: Tick,
}

/// Age at which a stated load expires. By then the requests that it counts have ended, and the
/// reports of the other hosts are as current.
const STATED_AGE_MAX: Duration = Duration::from_millis(200);

/// Largest pace that is believed. A statement must not exclude an upstream for good.
const PACE_MAX: f64 = 10.0;

/// Smallest pace that is believed. With one of 0, an upstream would look free however many requests
/// it has.
const PACE_MIN: f64 = 0.1;

/// Most stated requests that are believed, as a multiple of the slots. Upstreams refuse requests
/// long before.
const STATED_OPEN_FACTOR: u32 = 10;

/// Weight of the newest request in the refusal rate.
const REFUSAL_WEIGHT: f64 = 0.1;

impl Load {
    /// Creates the load of an upstream without any requests, which warms up until
    /// `cold_until`.
    pub fn new(slots: Slots, cold_until: Tick) -> Self {
        Self {
            slots,
            own: 0,
            time: Estimate::default(),
            local: Reported::default(),
            remote: Reported::default(),
            shared: Estimate::default(),
            refusal_rate: 0.0,
            cold_until,
            told_until: cold_until,
            presumed_until: Tick::default(),
            idle_since: None,
            stated: None,
        }
    }

    /// Records that this host keeps an idle connection to the upstream.
    pub fn record_idle(&mut self, now: Tick) {
        self.idle_since = Some(now);
    }

    /// Records that this host has taken its newest idle connection to the upstream.
    pub fn take_idle(&mut self) {
        self.idle_since = None;
    }

    /// Returns whether this host has a connection to the upstream that has been idle for less than
    /// `max`.
    pub fn has_idle(&self, now: Tick, max: Duration) -> bool {
        self.idle_since.is_some_and(|at| now.since(at) < max)
    }

    /// Records the load that the upstream states: the requests that it has, without the answered
    /// one, and the present duration of work in hundredths of the usual one.
    pub fn record_stated(&mut self, now: Tick, open: u32, pace: u32) {
        self.stated = Some(Stated {
            open: open.min(self.slots.0.saturating_mul(STATED_OPEN_FACTOR)),
            pace: (f64::from(pace) / 100.0).clamp(PACE_MIN, PACE_MAX),
            at: now,
        });
    }

    fn stated(&self, now: Tick) -> Option<Stated> {
        self.stated
            .filter(|stated| now.since(stated.at) < STATED_AGE_MAX)
    }

    /// Present duration of work at the upstream as a multiple of the usual one.
    pub fn pace(&self, now: Tick) -> f64 {
        self.stated(now).map_or(1.0, |stated| stated.pace)
    }

    /// Updates the values that the upstream registered.
    pub fn update(&mut self, slots: Slots, cold_until: Tick) {
        self.slots = slots;
        self.cold_until = cold_until;
        self.told_until = cold_until;
    }

    /// Records the end of the warm-up in a later registration that the other hosts do not learn of.
    pub(crate) fn extend_warmup(&mut self, until: Tick) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Requests that the upstream processes concurrently.
    pub fn slots(&self) -> Slots {
        self.slots
    }

    /// Requests that this host has open.
    pub fn own_open(&self) -> u32 {
        self.own
    }

    /// Requests that all hosts have open.
    pub fn open(&self, now: Tick) -> u32 {
        let others = self
            .local
            .open_at(now)
            .saturating_add(self.remote.open_at(now));
        let known = self.own.saturating_add(others);
        // Reports are late, so a request that they miss is at most added. Those that they still
        // count may have been replaced by others since.
        known.max(self.stated(now).map_or(0, |stated| stated.open))
    }

    /// Presumes that the upstream warms up until a tick, because its registration may not say so
    /// yet.
    pub fn presume_cold(&mut self, until: Tick) {
        self.presumed_until = until;
    }

    /// Ends the presumption of [`presume_cold`](Self::presume_cold).
    pub fn confirm_warm(&mut self) {
        self.presumed_until = Tick::default();
    }

    /// End of the warm-up that all hosts have learned of.
    pub(crate) fn told_until(&self) -> Tick {
        self.told_until
    }

    /// Returns whether the upstream is warming up, or is presumed to.
    pub fn is_cold(&self, now: Tick) -> bool {
        now < self.cold_until.max(self.presumed_until)
    }

    /// Returns whether requests need a permit if the warm-ups of the service are limited. Another
    /// host may know an end of the warm-up that is later by up to `WARMUP_ERROR`.
    pub fn needs_permit(&self, now: Tick) -> bool {
        let is_told = self.told_until > Tick::default();
        self.is_cold(now) || (is_told && now < self.told_until.after(WARMUP_ERROR))
    }

    /// Share of recent requests that were refused.
    pub fn refusal_rate(&self) -> f64 {
        self.refusal_rate
    }

    /// Service time estimated from this host's own observations.
    pub fn own_estimate(&self, now: Tick) -> Estimate {
        self.time.at(now)
    }

    /// Service time estimated from the observations of all hosts, or from this host's own if these
    /// have more weight.
    pub fn estimate(&self, now: Tick) -> Estimate {
        let (own, shared) = (self.time.at(now), self.shared.at(now));
        if shared.weight() > own.weight() {
            shared
        } else {
            own
        }
    }

    /// Sets the open requests of the other hosts in this failure domain.
    pub fn set_local(&mut self, now: Tick, open: u32) {
        self.local = Reported { open, at: now };
    }

    /// Sets the open requests of the hosts in other failure domains.
    pub fn set_remote(&mut self, now: Tick, open: u32) {
        self.remote = Reported { open, at: now };
    }

    /// Sets the service time estimated from the observations of all hosts, this one included.
    pub fn set_shared(&mut self, time: Estimate) {
        self.shared = time;
    }

    /// Counts a request as open.
    pub fn begin(&mut self) {
        self.own += 1;
    }

    /// Records the end of a request that took `took` and was sent when `open` requests were open.
    pub fn end(&mut self, now: Tick, outcome: Outcome, open: u32, took: Duration) {
        self.own = self.own.saturating_sub(1);
        let refused = match outcome {
            // Failures are counted over all hosts, see `crate::outlier`.
            Outcome::Abandoned | Outcome::Failed => return,
            Outcome::Answered => {
                let queued = f64::from(open.saturating_add(1).saturating_sub(self.slots.0));
                let share = 1.0 + queued / f64::from(self.slots.0.max(1));
                self.time.observe(now, took.div_f64(share));
                0.0
            }
            Outcome::Refused => 1.0,
        };
        self.refusal_rate += REFUSAL_WEIGHT * (refused - self.refusal_rate);
    }
}
