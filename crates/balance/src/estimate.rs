//! A mean that forgets.

use std::time::Duration;

use trefoil_core::Tick;

/// Time after which an observation has lost all but a third of its weight. Shorter than a slow
/// period of an upstream, longer than the time that a few answers take.
const MEMORY: Duration = Duration::from_secs(4);

/// A mean of durations in which older ones count less.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimate {
    /// Weighted sum in seconds.
    sum: f64,
    weight: f64,
    at: Tick,
}

impl Estimate {
    /// An estimate that was made elsewhere and arrived at `at`.
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

    /// The estimate as it is worth at `now`.
    #[must_use]
    pub fn at(self, now: Tick) -> Self {
        let age = now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        let left = (-age).exp();
        Self {
            sum: self.sum * left,
            weight: self.weight * left,
            at: now,
        }
    }

    /// Both estimates together, at the same time.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        Self {
            sum: self.sum + other.sum,
            weight: self.weight + other.weight,
            at: self.at,
        }
    }

    /// How many observations the estimate is worth.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// The mean, or nothing without an observation.
    pub fn mean(&self) -> Option<Duration> {
        let mean = (self.weight > f64::EPSILON).then(|| self.sum / self.weight)?;
        Duration::try_from_secs_f64(mean).ok()
    }
}
