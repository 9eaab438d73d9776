//! The load that a plan is made for.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use trefoil_core::{KeyHash, Shard};

use crate::sketch::HotKeys;

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

/// Difference from the smoothed load at which a count is taken as a change, in standard deviations.
/// Chance exceeds 4 in one of 16,000 counts, which is one shard in 16 windows of 1,024 shards.
const CHANGE: f64 = 4.0;

/// Measures the load of one service: a counter for each shard and a sketch of the hot keys.
///
/// Each host counts the requests that it sees. At the end of a measure window the planner merges
/// the meters of all hosts and [ends](Meter::end_window) the window.
///
/// A shard of a small service has few requests in a window, and a planner that takes their noise
/// for load moves shards that have no more load than others. The load of a shard is therefore
/// smoothed over windows, unless it changes by more than chance explains: the hottest keys change
/// within minutes, and the load follows at once.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Meter {
    history_weight: f64,
    /// Requests of this window.
    fresh: Vec<u64>,
    sketch: HotKeys,
    /// Counts and smoothed load of the keys that have entries.
    entries: BTreeMap<KeyHash, Counter>,
    /// Smoothed load of earlier windows; empty before the first.
    smooth: Vec<f64>,
}

/// Counter of one key.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct Counter {
    fresh: u64,
    smooth: Option<f64>,
}

impl Meter {
    /// A meter for a number of shards, with a number of counters for hot keys. `history_weight` is the part
    /// of the smoothed load that is kept from window to window, from 0 to 1.
    pub fn new(shards: u32, counters: usize, history_weight: f64) -> Self {
        Self {
            history_weight: history_weight.clamp(0.0, 1.0),
            fresh: vec![0; shards as usize],
            sketch: HotKeys::new(counters),
            entries: BTreeMap::new(),
            smooth: Vec::new(),
        }
    }

    /// Counts the keys that have entries exactly. Keys that are not given any more are forgotten.
    ///
    /// The sketch alone is not enough: a key that cooled down leaves it, and would then count as
    /// load of its shard's owner while another member serves it.
    pub fn track_keys<I>(&mut self, keys: I)
    where
        I: IntoIterator<Item = KeyHash>,
    {
        let old = std::mem::take(&mut self.entries);
        let known = |key| (key, old.get(&key).copied().unwrap_or_default());
        self.entries = keys.into_iter().map(known).collect();
    }

    /// Counts work for a key.
    pub fn observe(&mut self, key: KeyHash, weight: u64) {
        let count = u32::try_from(self.fresh.len()).unwrap_or(u32::MAX).max(1);
        let shard = key.shard(count).0 as usize;
        if let Some(sum) = self.fresh.get_mut(shard) {
            *sum = sum.saturating_add(weight);
        }
        match self.entries.get_mut(&key) {
            Some(counter) => counter.fresh = counter.fresh.saturating_add(weight),
            None => self.sketch.observe(key, weight),
        }
    }

    /// Counts work for a shard whose keys are counted elsewhere. Shards beyond those of the meter
    /// are ignored.
    pub fn observe_shard(&mut self, shard: Shard, weight: u64) {
        if let Some(sum) = self.fresh.get_mut(shard.0 as usize) {
            *sum = sum.saturating_add(weight);
        }
    }

    /// Adds what another host has counted in the same window. Shards beyond those of `self` are
    /// ignored.
    pub fn merge(&mut self, other: &Self) {
        for (sum, more) in self.fresh.iter_mut().zip(&other.fresh) {
            *sum = sum.saturating_add(*more);
        }
        for (key, more) in &other.entries {
            if let Some(counter) = self.entries.get_mut(key) {
                counter.fresh = counter.fresh.saturating_add(more.fresh);
            }
        }
        self.sketch.merge(&other.sketch);
    }

    /// Ends a window. Returns the load with the tracked keys and the `keys` hottest other ones.
    pub fn end_window(&mut self, keys: usize) -> Load {
        if self.smooth.is_empty() {
            self.smooth = self.fresh.iter().map(|&s| to_f64(s)).collect();
        }
        for (old, &now) in self.smooth.iter_mut().zip(&self.fresh) {
            *old = smooth(*old, to_f64(now), self.history_weight);
        }
        let mut hot = Vec::new();
        for (&key, counter) in &mut self.entries {
            let now = to_f64(std::mem::take(&mut counter.fresh));
            let load = smooth(counter.smooth.unwrap_or(now), now, self.history_weight);
            counter.smooth = Some(load);
            hot.push(KeyLoad { key, load });
        }
        let found = self.sketch.top(keys).into_iter().map(|e| KeyLoad {
            key: e.key,
            // The lower bound: an overestimated key would be moved for nothing.
            load: to_f64(e.count - e.error),
        });
        // A host that did not track a key yet has it in its sketch.
        hot.extend(found.filter(|h| h.load > 0.0 && !self.entries.contains_key(&h.key)));
        let load = Load {
            shards: self.smooth.clone(),
            hot,
        };
        self.fresh.fill(0);
        self.sketch.decay(0);
        load
    }
}

/// The smoothed load after a count.
fn smooth(old: f64, now: f64, history_weight: f64) -> f64 {
    // The standard deviation of a count is the root of its mean.
    let is_change = (now - old).abs() > CHANGE * old.max(1.0).sqrt();
    let history_weight = if is_change { 0.0 } else { history_weight };
    old * history_weight + now * (1.0 - history_weight)
}

fn to_f64(count: u64) -> f64 {
    crate::objective::to_f64(usize::try_from(count).unwrap_or(usize::MAX))
}
