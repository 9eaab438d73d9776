//! Spans that the proof of ownership rests on.

use std::time::Duration;

use trefoil_core::Tick;

/// How much slower an upstream's clock may run than ours. The platform states 2%.
const DRIFT: f64 = 0.02;

/// Spans that the proof of ownership rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time for which a grant holds, from its arrival.
    pub hold: Duration,
    /// Time between two grants of the same range.
    pub renew: Duration,
    /// Time after which a grant without an answer counts as failed.
    pub answer: Duration,
    /// Time after which a release without an answer counts as failed.
    pub release: Duration,
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
            renew: Duration::from_millis(1200),
            answer: Duration::from_millis(600),
            release: Duration::from_secs(3),
            bar: Duration::from_millis(300),
            term: Duration::from_secs(15),
            travel: Duration::from_millis(400),
        }
    }
}

impl Timing {
    /// The tick from which a grant with `hold` that was sent at `sent` cannot be valid.
    pub fn end_of(&self, sent: Tick, hold: Duration) -> Tick {
        sent.after(hold.mul_f64(1.0 + DRIFT)).after(self.travel)
    }

    /// The tick from which no grant of a former steward can be valid, if its term cannot have been
    /// confirmed after `deposed`.
    pub fn end_of_former(&self, deposed: Tick) -> Tick {
        self.end_of(deposed.after(self.term), self.hold)
    }
}
