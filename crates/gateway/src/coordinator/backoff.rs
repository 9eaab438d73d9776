//! Wait of a host between campaigns that it loses to others.

use std::time::Duration;

/// Mean wait after the first loss.
const FIRST_WAIT: Duration = Duration::from_millis(500);

/// Number of losses after which the wait does not grow any more, at 4 s on average.
const GROWTH_MAX: u32 = 3;

/// Length of a term after which earlier losses do not count.
const STABLE_TERM: Duration = Duration::from_secs(10);

/// Wait of a host that loses a service to another one which it may not know. Without it, hosts that
/// cannot hear of each other would depose each other as fast as the store answers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Backoff {
    losses: u32,
}

impl Backoff {
    /// Returns the wait after a term of this length was lost, with a random `draw` below 1. A
    /// takeover that another host has prevented is a term of length 0.
    pub fn after_loss(&mut self, term: Duration, draw: f64) -> Duration {
        if term >= STABLE_TERM {
            self.losses = 0;
        }
        let mean = FIRST_WAIT * (1 << self.losses.min(GROWTH_MAX));
        self.losses = self.losses.saturating_add(1);
        mean.mul_f64(0.5 + draw)
    }
}
