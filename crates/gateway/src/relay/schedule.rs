//! Times at which hosts report and relays send digests.
//!
//! Loads are sent at each tick, and all else more rarely. In a large failure domain ticks are further
//! apart, so that the datagrams that a relay handles do not grow with its domain.

use std::time::Duration;

use trefoil_core::Tick;

/// Time between two reports or digests in a failure domain of up to [`TICK_HOSTS`] hosts.
const TICK: Duration = Duration::from_millis(75);

/// Longest time between two reports or digests. Loads that are older let hosts choose the same
/// upstreams at once, and some of those never answer what they cannot queue.
const TICK_MAX: Duration = Duration::from_millis(100);

/// Hosts of a failure domain for which its relay sends and receives datagrams at each [`TICK`]. In a
/// larger domain the time between them grows with the number of hosts, so that a relay handles as
/// many.
const TICK_HOSTS: u32 = 24;

/// Time between two reports to the second relay and between two transmissions of time estimates.
const SLOW_INTERVAL: Duration = Duration::from_millis(600);

/// Time between two probes and removals of silent hosts.
const RARE_INTERVAL: Duration = Duration::from_millis(1200);

/// Time between two exchanges with relays of other domains.
const REMOTE_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two reports or digests in a failure domain with this many hosts.
pub fn tick_interval(hosts: u32) -> Duration {
    (TICK * hosts / TICK_HOSTS).clamp(TICK, TICK_MAX)
}

/// What is due at a tick besides loads.
#[derive(Debug, Clone, Copy)]
pub(super) struct Due {
    /// Reports to the second relay, and time estimates.
    pub(super) slow: bool,
    /// Probes and removals of silent hosts.
    pub(super) rare: bool,
    /// Exchanges with other domains.
    pub(super) remote: bool,
}

/// When what is not sent at each tick is due next.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    slow: Tick,
    rare: Tick,
    remote: Tick,
}

impl Schedule {
    /// Takes what is due at this tick, where the next one follows after `interval`. What is due
    /// before half of that has passed is taken early rather than late.
    pub(super) fn take_due(&mut self, now: Tick, interval: Duration) -> Due {
        let take = |next: &mut Tick, every| {
            let is_due = now.after(interval / 2) >= *next;
            if is_due {
                *next = now.after(every);
            }
            is_due
        };
        let slow = take(&mut self.slow, SLOW_INTERVAL);
        Due {
            slow,
            rare: take(&mut self.rare, RARE_INTERVAL),
            remote: take(&mut self.remote, REMOTE_INTERVAL) || slow,
        }
    }
}
