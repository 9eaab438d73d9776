//! Timing of grants and terms, which exclusive ownership relies on.

use std::time::Duration;

use trefoil_core::Tick;

/// Relative clock drift allowed between an upstream and a host. The platform guarantees 2%.
const DRIFT: f64 = 0.02;

/// Durations that exclusive ownership relies on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Validity of a grant, counted from its arrival. An upstream that stops answering keeps its
    /// keys for this long.
    pub ttl: Duration,
    /// Validity of a grant while the store is unavailable. No key can change owner then, and no
    /// other host can take over, so a longer validity costs nothing and keeps the keys served.
    pub long_ttl: Duration,
    /// Interval between two grants of the same range.
    pub renew_interval: Duration,
    /// Validity of a fencing grant.
    pub fencing_ttl: Duration,
    /// Time for which a coordinator may send grants after its term was confirmed.
    pub term_ttl: Duration,
    /// Maximum network delay of a grant.
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
    /// The tick from which a grant with validity `ttl`, sent at `sent`, cannot be valid.
    pub fn grant_expiry(&self, sent: Tick, ttl: Duration) -> Tick {
        sent.after(ttl.mul_f64(1.0 + DRIFT)).after(self.max_delay)
    }

    /// The tick from which no grant of a coordinator can be valid that sends none after `stopped`.
    pub fn last_expiry(&self, stopped: Tick) -> Tick {
        self.grant_expiry(stopped, self.ttl.max(self.long_ttl))
    }

    /// The tick from which no grant arrives, given the tick from which none can be valid. Assumes the
    /// usual validity: with a longer one, the last grant arrived even earlier.
    pub fn last_arrival(&self, expiry: Tick) -> Tick {
        let validity = self.ttl.mul_f64(1.0 + DRIFT);
        Tick(expiry.0.saturating_sub(validity))
    }

    /// The tick from which no grant arrives of an earlier coordinator whose term cannot have been
    /// confirmed after `deposed`.
    pub fn earlier_arrival(&self, deposed: Tick) -> Tick {
        deposed.after(self.term_ttl).after(self.max_delay)
    }

    /// The tick from which a coordinator whose term was last confirmed by a call sent at `confirmed`
    /// must not go on after the store has lost records. A successor that it does not know of may
    /// then have moved ranges whose owners it could not fence, see [`Self::earlier_expiry`].
    pub fn continuation_end(&self, confirmed: Tick) -> Tick {
        self.last_expiry(confirmed)
    }

    /// The tick from which no grant of an earlier coordinator can be valid whose term cannot have
    /// been confirmed after `deposed`.
    pub fn earlier_expiry(&self, deposed: Tick) -> Tick {
        self.last_expiry(deposed.after(self.term_ttl))
    }
}
