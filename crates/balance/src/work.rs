//! Service times of the priorities of one service, relative to its mean.

use std::collections::BTreeMap;
use std::time::Duration;

use trefoil_core::Tick;
use trefoil_route::Priority;

use crate::estimate::Estimate;

/// Observations below which a priority counts as average.
const WEIGHT_MIN: f64 = 3.0;

/// Range of the relative service times. One outlier must not exclude a class from all upstreams.
const SHARE_MIN: f64 = 0.1;
const SHARE_MAX: f64 = 10.0;

/// Service times by priority, relative to the mean of the service.
#[derive(Debug, Default)]
pub(crate) struct Works {
    /// Seconds for each second of the mean.
    shares: BTreeMap<Priority, Estimate>,
}

impl Works {
    /// Relative service time of a priority.
    pub(crate) fn share(&self, now: Tick, priority: Priority) -> f64 {
        let known = self.shares.get(&priority).map(|share| share.at(now));
        let share = known.filter(|share| share.weight() >= WEIGHT_MIN);
        let mean = share.and_then(|share| share.mean());
        mean.map_or(1.0, |mean| mean.as_secs_f64().clamp(SHARE_MIN, SHARE_MAX))
    }

    /// Adds a service time of `own` seconds where the mean is `mean`. A single one can be negative if
    /// the request has waited less than estimated.
    pub(crate) fn observe(&mut self, now: Tick, priority: Priority, own: f64, mean: Duration) {
        let known = self.shares.entry(priority).or_default();
        known.observe_sum(now, own / mean.as_secs_f64().max(f64::EPSILON), 1.0);
    }
}
