//! The load that a plan is made for.

use serde::{Deserialize, Serialize};
use trefoil_core::KeyHash;

use crate::sketch::{DECAY_UNIT, HotKeys};

/// Load of one hot key.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct KeyLoad {
    /// The key.
    pub key: KeyHash,
    /// Its load, in the unit of [`Load::shards`].
    pub load: f64,
}

/// Load of the shards and hot keys of one service in a measure window.
///
/// The unit is free, for example requests per second; only ratios matter.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Load of each shard, including its hot keys with or without entries.
    pub shards: Vec<f64>,
    /// The hottest keys. Keys of the table's entries that are missing here count as idle.
    pub hot: Vec<KeyLoad>,
}

impl Load {
    /// Equal load on all shards.
    pub fn even(shards: u32) -> Self {
        Self {
            shards: vec![1.0; shards as usize],
            hot: Vec::new(),
        }
    }
}

/// Measures the load of one service: a counter for each shard and a sketch of the hot keys.
///
/// Each host counts the requests that it sees. At the end of a measure window the planner merges
/// the meters of all hosts, reads the [`Load`] and lets old windows decay.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Meter {
    shards: Vec<u64>,
    sketch: HotKeys,
}

impl Meter {
    /// A meter for a number of shards, with a number of counters for hot keys.
    pub fn new(shards: u32, counters: usize) -> Self {
        Self {
            shards: vec![0; shards as usize],
            sketch: HotKeys::new(counters),
        }
    }

    /// Counts work for a key.
    pub fn observe(&mut self, key: KeyHash, weight: u64) {
        let count = u32::try_from(self.shards.len()).unwrap_or(u32::MAX).max(1);
        let shard = key.shard(count).0 as usize;
        if let Some(sum) = self.shards.get_mut(shard) {
            *sum = sum.saturating_add(weight);
        }
        self.sketch.observe(key, weight);
    }

    /// Adds what another host has counted. Shards beyond those of `self` are ignored.
    pub fn merge(&mut self, other: &Self) {
        for (sum, more) in self.shards.iter_mut().zip(&other.shards) {
            *sum = sum.saturating_add(*more);
        }
        self.sketch.merge(&other.sketch);
    }

    /// The load, with the `keys` hottest keys.
    pub fn load(&self, keys: usize) -> Load {
        let hot = self.sketch.top(keys).into_iter().map(|e| KeyLoad {
            key: e.key,
            // The lower bound: an overestimated key would be moved for nothing.
            load: float(e.count - e.error),
        });
        Load {
            shards: self.shards.iter().map(|&s| float(s)).collect(),
            hot: hot.filter(|h| h.load > 0.0).collect(),
        }
    }

    /// Multiplies all counts by `keep / DECAY_UNIT`, rounded down for shards.
    pub fn decay(&mut self, keep: u64) {
        for sum in &mut self.shards {
            let scaled = u128::from(*sum) * u128::from(keep.min(DECAY_UNIT));
            *sum = u64::try_from(scaled / u128::from(DECAY_UNIT)).unwrap_or(u64::MAX);
        }
        self.sketch.decay(keep);
    }
}

fn float(count: u64) -> f64 {
    crate::objective::float(usize::try_from(count).unwrap_or(usize::MAX))
}
