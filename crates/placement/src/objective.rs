//! The objective that a plan minimizes.
//!
//! `w_u * unavailable + w_c * churn + w_i * imbalance`, with the weights of the routing resource.
//! The terms are shares without a unit, so that the weights mean the same at every size:
//!
//! - *unavailable*: the share of the load whose owner is lost or leaving, plus [`EXPOSURE_WEIGHT`]
//!   times the share that has no usable standby in another failure domain.
//! - *churn*: half the share of the keys plus half the share of the load that changes its owner.
//!   Keys approximate the state that moves, load the requests in flight that a move puts at risk.
//! - *imbalance*: the variance of the members' utilization relative to the mean utilization,
//!   weighted by capacity. The variance is used instead of the peak because it is a sum with one
//!   term for each member, so the gain of a move depends only on the two members it involves.
//!
//! A planned move makes its load unavailable during the handover, for [`HANDOVER_WINDOWS`] of a
//! measure window. This is part of the price of a move; without it the weight of unavailable time
//! had no effect on balance.
//!
//! Churn is paid once, while imbalance and unavailability are paid in each measure window until
//! the load changes. Both are therefore multiplied by [`Objective::horizon`], the number of windows
//! over which a move has to pay off.

use serde::{Deserialize, Serialize};
use trefoil_config::Weights;

/// Weight of load without a usable standby, relative to load that is unavailable now. It is small
/// because a server is lost only about once in 170 days (110 of 19,000 a day), and it only has to
/// be above zero because a change of standby costs no churn.
pub const EXPOSURE_WEIGHT: f64 = 0.01;

/// Fraction of a measure window during which the load of a planned move is unavailable: 0.1 s of
/// 10 s, an estimate of the time for requests in flight to finish and for the release to cross
/// failure domains twice.
pub const HANDOVER_WINDOWS: f64 = 0.01;

/// Churn of moving one hot key, as a share of the keys of a shard. An entry covers only one key,
/// but a table has few entries and every host stores them, so an entry costs more than its key.
pub const HOT_KEY_SHARE: f64 = 0.125;

/// Weights and horizon of the objective.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// The weights.
    pub weights: Weights,
    /// Measure windows over which a move has to pay off.
    pub horizon: f64,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            weights: Weights::default(),
            // About 20 minutes with windows of 10 s. The hottest keys change faster, but most of
            // the load is on other keys. A horizon of 32 windows with the weights of Brekkestad
            // left more imbalance than greedy least-loaded does (docs/experiments.md, round 5).
            horizon: 128.0,
        }
    }
}

/// The terms of the objective, without weights.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Share of the load that is unavailable.
    pub unavailable: f64,
    /// Share of keys and load that changes its owner.
    pub churn: f64,
    /// Variance of relative utilization.
    pub imbalance: f64,
}

impl Objective {
    /// Returns the weighted sum of the terms.
    pub fn value(&self, cost: &Cost) -> f64 {
        let Weights {
            unavailable,
            churn,
            imbalance,
        } = self.weights;
        let lasting = unavailable * cost.unavailable + imbalance * cost.imbalance;
        lasting * self.horizon + churn * cost.churn
    }

    /// Returns the cost of a move: its churn, and the unavailability of its load during the
    /// handover. `keys` and `load` are shares of the service's totals.
    pub fn price(&self, keys: f64, load: f64) -> f64 {
        self.weights.churn * churn(keys, load) + self.weights.unavailable * HANDOVER_WINDOWS * load
    }

    /// Returns the decrease of the imbalance term if `load` moves from one member to another.
    ///
    /// A member with load `x` and capacity `c`, both shares, contributes `x² / c` to the term.
    pub fn gain(&self, load: f64, from: Utilization, to: Utilization) -> f64 {
        let less = 2.0 * load * (from.ratio() - to.ratio());
        let more = load * load * (1.0 / from.capacity + 1.0 / to.capacity);
        self.weights.imbalance * self.horizon * (less - more)
    }

    /// Returns the difference of utilization up to which no move can gain more than it costs.
    ///
    /// This is the bound for a unit whose load is far above its share of the keys.
    pub fn dead_band(&self) -> f64 {
        let price = self.weights.churn / 2.0 + self.weights.unavailable * HANDOVER_WINDOWS;
        price / (2.0 * self.weights.imbalance * self.horizon)
    }
}

/// Returns the churn of a move. `keys` and `load` are shares of the service's totals.
pub fn churn(keys: f64, load: f64) -> f64 {
    f64::midpoint(keys, load)
}

/// Load and capacity of one member, as shares of the service's totals.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Utilization {
    /// Share of the load.
    pub load: f64,
    /// Share of the capacity.
    pub capacity: f64,
}

impl Utilization {
    /// Returns the utilization divided by the mean utilization of all members.
    pub fn ratio(&self) -> f64 {
        self.load / self.capacity
    }
}

/// Returns the capacity-weighted variance of the utilization relative to its mean. Members without
/// capacity are ignored.
pub fn imbalance<I>(utilizations: I) -> f64
where
    I: IntoIterator<Item = Utilization>,
{
    let open = utilizations.into_iter().filter(|s| s.capacity > 0.0);
    open.map(|s| s.capacity * (s.ratio() - 1.0).powi(2)).sum()
}

/// Converts a count to a float.
pub(crate) fn to_f64(count: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^53")]
    let to_f64 = count as f64;
    to_f64
}
