//! An exponentially decaying mean.

use std::time::Duration;

use trefoil_core::Tick;

/// Time in which the weight of an observation falls to 1/e. It is shorter than a slow period of an
/// upstream and longer than the time that a few answers take.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// A mean of durations in which observations decay with age.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    /// Weighted sum in seconds.
    sum: f64,
    weight: f64,
    at: Tick,
}

impl Estimate {
    /// Creates an estimate from a mean that was computed elsewhere and received at `at`.
    pub fn from_mean(at: Tick, mean: Duration, weight: f64) -> Self {
        Self {
            sum: mean.as_secs_f64() * weight,
            weight,
            at,
        }
    }

    /// Adds an observation.
    pub fn observe(&mut self, now: Tick, time: Duration) {
        *self = self.at(now);
        self.sum += time.as_secs_f64();
        self.weight += 1.0;
    }

    /// Adds the sum of `weight` observations.
    pub(crate) fn observe_sum(&mut self, now: Tick, seconds: f64, weight: f64) {
        *self = self.at(now);
        self.sum += seconds;
        self.weight += weight;
    }

    /// The estimate after decay until `now`.
    #[must_use]
    pub fn at(self, now: Tick) -> Self {
        let age = now.since(self.at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        let left = (-age).exp();
        Self {
            sum: self.sum * left,
            weight: self.weight * left,
            at: now,
        }
    }

    /// Combines two estimates that were decayed to the same tick.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        Self {
            sum: self.sum + other.sum,
            weight: self.weight + other.weight,
            at: self.at,
        }
    }

    /// Number of fresh observations that the estimate is equivalent to.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// The mean, or nothing without observations.
    pub fn mean(&self) -> Option<Duration> {
        let mean = (self.weight > f64::EPSILON).then(|| self.sum / self.weight)?;
        Duration::try_from_secs_f64(mean).ok()
    }
}
