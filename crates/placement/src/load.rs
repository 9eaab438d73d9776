//! Load of the shards and hot keys of a service, and its measurement.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use trefoil_core::{KeyHash, Shard};

use crate::sketch::HotKeys;

/// The load of one hot key.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct KeyLoad {
    /// The key.
    pub key: KeyHash,
    /// The load, in the unit of [`Load::shards`].
    pub load: f64,
}

/// Load of the shards and hot keys of one service in a measure window.
///
/// Any unit can be used, for example requests per second; only ratios matter.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Load of each shard, including all its hot keys, whether they have entries or not.
    pub shards: Vec<f64>,
    /// Load of the hottest keys. A key that has an entry in the table but is missing here counts as
    /// idle.
    pub hot: Vec<KeyLoad>,
}

impl Load {
    /// Returns equal load on all shards.
    pub fn even(shards: u32) -> Self {
        Self {
            shards: vec![1.0; shards as usize],
            hot: Vec::new(),
        }
    }
}

/// Deviation from the smoothed load, in standard deviations, above which a count is treated as a
/// change of load. Random variation exceeds 4 standard deviations in one of 16,000 counts, which is
/// one shard in 16 windows of 1,024 shards.
const CHANGE: f64 = 4.0;

/// Measures the load of one service with a counter for each shard and a sketch of the hot keys.
///
/// Each host counts the requests that it handles. At the end of a measure window the planner merges
/// the meters of all hosts and [ends](Meter::end_window) the window.
///
/// A shard of a small service has few requests in a window, and a planner that treats random
/// variation as load moves shards that have no more load than others. The load of a shard is
/// therefore smoothed over windows, unless it changes by more than random variation explains: the
/// hottest keys change within minutes, and the load must follow in the next window.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Meter {
    history_weight: f64,
    /// Requests of each shard in the current window.
    current: Vec<u64>,
    sketch: HotKeys,
    /// Counts and smoothed load of the keys that have entries.
    entries: BTreeMap<KeyHash, Counter>,
    /// Smoothed load of each shard; empty before the end of the first window.
    smoothed: Vec<f64>,
}

/// Counter of one key.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct Counter {
    current: u64,
    smoothed: Option<f64>,
}

impl Meter {
    /// Creates a meter for a number of shards, with a number of counters for hot keys.
    /// `history_weight` is the weight of the smoothed load of earlier windows against the current
    /// count, from 0 to 1.
    pub fn new(shards: u32, counters: usize, history_weight: f64) -> Self {
        Self {
            history_weight: history_weight.clamp(0.0, 1.0),
            current: vec![0; shards as usize],
            sketch: HotKeys::new(counters),
            entries: BTreeMap::new(),
            smoothed: Vec::new(),
        }
    }

    /// Sets the keys that are counted exactly: those that have entries. The counts of all other
    /// keys are dropped.
    ///
    /// The sketch alone is not enough: it evicts a key whose load has decreased, and the load of
    /// that key would count as load of the shard's owner although another member serves it.
    pub fn track_keys<I>(&mut self, keys: I)
    where
        I: IntoIterator<Item = KeyHash>,
    {
        let old = std::mem::take(&mut self.entries);
        let known = |key| (key, old.get(&key).copied().unwrap_or_default());
        self.entries = keys.into_iter().map(known).collect();
    }

    /// Counts requests for a key.
    pub fn observe(&mut self, key: KeyHash, weight: u64) {
        let count = u32::try_from(self.current.len()).unwrap_or(u32::MAX).max(1);
        let shard = key.shard(count).0 as usize;
        if let Some(sum) = self.current.get_mut(shard) {
            *sum = sum.saturating_add(weight);
        }
        match self.entries.get_mut(&key) {
            Some(counter) => counter.current = counter.current.saturating_add(weight),
            None => self.sketch.observe(key, weight),
        }
    }

    /// Counts requests for a shard whose keys are counted elsewhere. Shards that the meter does not
    /// have are ignored.
    pub fn observe_shard(&mut self, shard: Shard, weight: u64) {
        if let Some(sum) = self.current.get_mut(shard.0 as usize) {
            *sum = sum.saturating_add(weight);
        }
    }

    /// Adds the counts of another host for the same window. Shards that `self` does not have are
    /// ignored.
    pub fn merge(&mut self, other: &Self) {
        for (sum, more) in self.current.iter_mut().zip(&other.current) {
            *sum = sum.saturating_add(*more);
        }
        for (key, more) in &other.entries {
            if let Some(counter) = self.entries.get_mut(key) {
                counter.current = counter.current.saturating_add(more.current);
            }
        }
        self.sketch.merge(&other.sketch);
    }

    /// Ends a window. Returns the load of the shards, of the tracked keys and of the `keys` hottest
    /// other keys.
    pub fn end_window(&mut self, keys: usize) -> Load {
        if self.smoothed.is_empty() {
            self.smoothed = self.current.iter().map(|&s| to_f64(s)).collect();
        }
        for (old, &now) in self.smoothed.iter_mut().zip(&self.current) {
            *old = smooth(*old, to_f64(now), self.history_weight);
        }
        let mut hot = Vec::new();
        for (&key, counter) in &mut self.entries {
            let now = to_f64(std::mem::take(&mut counter.current));
            let load = smooth(counter.smoothed.unwrap_or(now), now, self.history_weight);
            counter.smoothed = Some(load);
            hot.push(KeyLoad { key, load });
        }
        let from_sketch = self.sketch.top(keys).into_iter().map(|e| KeyLoad {
            key: e.key,
            // The lower bound is used because an overestimated key would be moved without need.
            load: to_f64(e.count - e.error),
        });
        // A host that does not track a key yet has counted it in its sketch.
        hot.extend(from_sketch.filter(|h| h.load > 0.0 && !self.entries.contains_key(&h.key)));
        let load = Load {
            shards: self.smoothed.clone(),
            hot,
        };
        self.current.fill(0);
        self.sketch.decay(0);
        load
    }
}

/// Returns the smoothed load after a count.
fn smooth(old: f64, now: f64, history_weight: f64) -> f64 {
    // The standard deviation of a Poisson count is the square root of its mean.
    let is_change = (now - old).abs() > CHANGE * old.max(1.0).sqrt();
    let history_weight = if is_change { 0.0 } else { history_weight };
    old * history_weight + now * (1.0 - history_weight)
}

fn to_f64(count: u64) -> f64 {
    crate::objective::to_f64(usize::try_from(count).unwrap_or(usize::MAX))
}
