//! Spans that the proof of ownership rests on.

use std::time::Duration;

use trefoil_core::Tick;

/// How much slower an upstream's clock may run than ours. The platform states 2%.
const DRIFT: f64 = 0.02;

/// Spans that the proof of ownership rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time for which a grant holds, from its arrival. An upstream that falls silent keeps its keys
    /// for this long.
    pub ttl: Duration,
    /// The same while the store is away. Nothing can change owner then, and no other host can take
    /// over, so a longer hold only keeps the keys served.
    pub long_ttl: Duration,
    /// Time between two grants of the same range.
    pub renew_interval: Duration,
    /// Hold of the grant that only bars older ones.
    pub fencing_ttl: Duration,
    /// Time for which a steward may send grants after its term was confirmed.
    pub term_ttl: Duration,
    /// Longest time that a grant travels.
    pub max_delay: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(4),
            long_ttl: Duration::from_secs(8),
            renew_interval: Duration::from_millis(1200),
            fencing_ttl: Duration::from_millis(300),
            term_ttl: Duration::from_millis(2500),
            max_delay: Duration::from_millis(400),
        }
    }
}

impl Timing {
    /// The tick from which a grant with `hold` that was sent at `sent` cannot be valid.
    pub fn grant_expiry(&self, sent: Tick, ttl: Duration) -> Tick {
        sent.after(ttl.mul_f64(1.0 + DRIFT)).after(self.max_delay)
    }

    /// The tick from which no grant of a steward can be valid that sends none after `stopped`.
    pub fn last_expiry(&self, stopped: Tick) -> Tick {
        self.grant_expiry(stopped, self.ttl.max(self.long_ttl))
    }

    /// The tick from which no grant of an earlier steward can be valid, if its term cannot have
    /// been confirmed after `deposed`.
    pub fn earlier_expiry(&self, deposed: Tick) -> Tick {
        self.last_expiry(deposed.after(self.term_ttl))
    }
}
