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
    pub hold: Duration,
    /// The same while the store is away. Nothing can change owner then, and no other host can take
    /// over, so a longer hold only keeps the keys served.
    pub long_hold: Duration,
    /// Time between two grants of the same range.
    pub renew: Duration,
    /// Hold of the grant that only bars older ones.
    pub bar: Duration,
    /// Time for which a steward may send grants after its term was confirmed.
    pub term: Duration,
    /// Longest time that a grant travels.
    pub travel: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(4),
            long_hold: Duration::from_secs(8),
            renew: Duration::from_millis(1200),
            bar: Duration::from_millis(300),
            term: Duration::from_millis(2500),
            travel: Duration::from_millis(400),
        }
    }
}

impl Timing {
    /// The tick from which a grant with `hold` that was sent at `sent` cannot be valid.
    pub fn end_of(&self, sent: Tick, hold: Duration) -> Tick {
        sent.after(hold.mul_f64(1.0 + DRIFT)).after(self.travel)
    }

    /// The tick from which no grant of a steward can be valid that sends none after `stopped`.
    pub fn end_of_stopped(&self, stopped: Tick) -> Tick {
        self.end_of(stopped, self.hold.max(self.long_hold))
    }

    /// The tick from which no grant of an earlier steward can be valid, if its term cannot have
    /// been confirmed after `deposed`.
    pub fn end_of_earlier(&self, deposed: Tick) -> Tick {
        self.end_of_stopped(deposed.after(self.term))
    }
}
