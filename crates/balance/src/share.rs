//! Part of the room of a service that one host may use.
//!
//! Hosts learn of each other's requests 150 to 400 ms late. If each sends until it hears that the
//! room is used, all together send several times as much as there is room for, and then nothing
//! until the queues are empty. So in a service whose classes compete, a host keeps to its part of
//! the room: what it had open itself divided by what all had open at about the same time. The parts
//! of all hosts add up to one, whatever the age of the reports.

use std::time::Duration;

use trefoil_core::Tick;

use crate::load::Load;

/// Time over which a host's own open requests are averaged. It is the mean age of the reports of
/// other hosts, so that both are of about the same time.
const REPORT_AGE: Duration = Duration::from_millis(275);

/// Weight of the reports of one upstream in the estimate of its load, beside the mean of all. About
/// as many requests begin and end within the age of a report as an upstream has slots.
const REPORT_WEIGHT: f64 = 0.25;

/// Reaction to a difference between upstreams for which a difference that is heard of after
/// [`REPORT_AGE`] is removed without an overshoot: 1/e, rounded up.
const GAIN: f64 = 0.4;

/// Number of hosts that may use all free slots at the same time. Most bursts reach few hosts; if
/// they reach all, the excess is this many times the free slots.
const FREE_USERS: f64 = 4.0;

/// Use of the upstreams of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Occupancy {
    /// Open requests of this host.
    pub own: u32,
    /// Open requests of the other hosts, as far as known.
    pub others: u32,
    /// Free slots, as far as known.
    pub free: u32,
    /// All slots.
    pub slots: u32,
    /// Requests a second that all slots together complete.
    pub pace: f64,
    /// Open requests up to which the upstreams may be filled.
    pub target: f64,
}

/// Part of the slots in use from which the room of a service is shared out. Below it there are free
/// slots for all hosts, and the fastest upstreams serve callers best.
const SCARCE_PART: f64 = 0.75;

impl Occupancy {
    /// Returns `true` if so many slots are in use that hosts must keep to their parts of the room.
    pub fn is_scarce(&self) -> bool {
        f64::from(self.own.saturating_add(self.others)) >= SCARCE_PART * f64::from(self.slots)
    }

    /// Leaves room for requests that wait on other hosts, but no slot idle.
    #[must_use]
    pub fn reserve(self, requests: u32) -> Self {
        Self {
            target: (self.target - f64::from(requests)).max(self.target.min(self.slots.into())),
            ..self
        }
    }

    /// Open requests of other hosts at an upstream with these slots and this service time if the
    /// wait was the same at all upstreams.
    fn even(&self, slots: f64, time: Duration) -> f64 {
        let (others, all) = (f64::from(self.others), f64::from(self.slots.max(1)));
        if others <= all {
            return slots * others / all;
        }
        let wait = (others - all) / self.pace;
        slots + slots / time.as_secs_f64() * wait
    }

    /// Estimate of the open requests of all hosts at an upstream.
    pub(crate) fn estimate_open(&self, load: &Load, now: Tick, time: Duration) -> f64 {
        let (slots, own) = (f64::from(load.slots().0), f64::from(load.own_open()));
        let reported = f64::from(load.open(now)) - own;
        own + REPORT_WEIGHT * reported + (1.0 - REPORT_WEIGHT) * self.even(slots, time)
    }

    /// Draws a number for an upstream; that with the lowest one is chosen. Without differences the
    /// probability of each is in proportion to the requests a second that it completes. One with
    /// more open requests than the mean is chosen less often, but not so much less that it has too
    /// few by the time that the hosts hear of it.
    pub(crate) fn draw(&self, load: &Load, now: Tick, time: Duration, random: f64) -> Duration {
        let (slots, own) = (f64::from(load.slots().0), f64::from(load.own_open()));
        let reported = f64::from(load.open(now)) - own;
        let excess = (reported - self.even(slots, time)) / slots;
        let gain = (GAIN * time.as_secs_f64() / REPORT_AGE.as_secs_f64()).min(1.0);
        let rate = slots / time.as_secs_f64() * (-gain * excess).exp();
        // The first of several exponential delays belongs to each rate in proportion.
        let drawn = (own - (1.0 - random).ln()) / rate;
        Duration::try_from_secs_f64(drawn).unwrap_or(Duration::MAX / 4)
    }
}

/// Open requests of all hosts above which none is added, as a multiple of the target. A class whose
/// target is lower than that of another one must not fill the parts of hosts that use less.
const EXCESS_MAX: f64 = 1.1;

/// Recent mean of the open requests of this host.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Share {
    mean: f64,
    at: Tick,
}

impl Share {
    /// Returns `true` if this host, one of `hosts`, may send one more request.
    pub(crate) fn has_room(&mut self, now: Tick, use_: Occupancy, hosts: u32) -> bool {
        let own = f64::from(use_.own);
        let age = now.since(self.at).as_secs_f64() / REPORT_AGE.as_secs_f64();
        self.mean = own + (self.mean - own) * (-age).exp();
        self.at = now;
        let hosts = f64::from(hosts.max(1));
        if own + f64::from(use_.others) > use_.target * EXCESS_MAX {
            return false;
        }
        // One more for each host lets those with none take part.
        let part = (self.mean + 1.0) / (self.mean + f64::from(use_.others) + hosts);
        let free = f64::from(use_.free) * (FREE_USERS / hosts).min(1.0);
        own < (part * use_.target).max(self.mean.min(1.0) + free).max(1.0)
    }
}
