//! Heavy hitters in bounded memory.
//!
//! [`HotKeys`] is a space-saving sketch with at most `capacity` counters. A key without a counter
//! takes over the smallest counter and inherits its count as the maximum error. With total weight
//! `W`, an estimate is never below the true weight and exceeds it by at most `W / capacity`, and
//! every key heavier than `W / capacity` has a counter.
//!
//! Sketches of several hosts can be merged without loss of these bounds. [`HotKeys::decay`] at the
//! end of a window removes the counters of keys that were hot in earlier windows. Weights are
//! integers and the decay rounds the bounds outwards, so they hold exactly.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use trefoil_core::KeyHash;

/// Denominator of the factor that is passed to [`HotKeys::decay`].
pub const DECAY_UNIT: u64 = 256;

/// An estimate of the weight of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotKey {
    /// The key.
    pub key: KeyHash,
    /// Upper bound of the weight.
    pub count: u64,
    /// Width of the estimate: the lower bound of the weight is `count - error`.
    pub error: u64,
}

/// A space-saving sketch of the hottest keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(from = "Parts", into = "Parts")]
pub struct HotKeys {
    capacity: usize,
    total: u64,
    /// Upper bound of the weight of a key without a counter while counters are free. It is greater
    /// than zero after a merge with a full sketch of smaller capacity.
    base: u64,
    /// Binary min-heap by (count, key).
    heap: Vec<HotKey>,
    /// Position of each key in `heap`.
    positions: HashMap<KeyHash, usize>,
}

/// The serialized form of [`HotKeys`], without the index.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Parts {
    capacity: usize,
    total: u64,
    base: u64,
    entries: Vec<HotKey>,
}

impl From<Parts> for HotKeys {
    fn from(parts: Parts) -> Self {
        Self::from_entries(parts.capacity, parts.total, parts.base, parts.entries)
    }
}

impl From<HotKeys> for Parts {
    fn from(sketch: HotKeys) -> Self {
        Self {
            capacity: sketch.capacity,
            total: sketch.total,
            base: sketch.base,
            entries: sketch.heap,
        }
    }
}

impl HotKeys {
    /// Creates an empty sketch with the given number of counters, at least 1.
    pub fn new(capacity: usize) -> Self {
        Self::from_entries(capacity, 0, 0, Vec::new())
    }

    fn from_entries(capacity: usize, total: u64, base: u64, mut entries: Vec<HotKey>) -> Self {
        let capacity = capacity.max(1);
        entries.sort_unstable_by_key(|e| (Reverse(e.count), e.key));
        entries.truncate(capacity);
        // An ascending list is a valid min-heap.
        entries.reverse();
        let positions = entries
            .iter()
            .enumerate()
            .map(|(i, e)| (e.key, i))
            .collect();
        Self {
            capacity,
            total,
            base,
            heap: entries,
            positions,
        }
    }

    /// Returns the largest number of counters.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the weight of all observations after decay.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the upper bound of the weight of a key that has no counter.
    pub fn floor(&self) -> u64 {
        match self.heap.first() {
            Some(least) if self.heap.len() >= self.capacity => least.count,
            _ => self.base,
        }
    }

    /// Adds the weight of an observation to a key, in time logarithmic in the capacity.
    pub fn observe(&mut self, key: KeyHash, weight: u64) {
        self.total = self.total.saturating_add(weight);
        let index = match self.positions.get(&key) {
            Some(&index) => index,
            None if self.heap.len() < self.capacity => {
                let fresh = HotKey {
                    key,
                    count: self.base,
                    error: self.base,
                };
                self.heap.push(fresh);
                self.positions.insert(key, self.heap.len() - 1);
                self.sift_up(self.heap.len() - 1)
            }
            None => {
                let least = &mut self.heap[0];
                self.positions.remove(&least.key);
                least.error = least.count;
                least.key = key;
                self.positions.insert(key, 0);
                0
            }
        };
        let entry = &mut self.heap[index];
        entry.count = entry.count.saturating_add(weight);
        self.sift_down(index);
    }

    /// Returns the `n` hottest keys, hottest first; keys with equal counts in ascending order.
    pub fn top(&self, n: usize) -> Vec<HotKey> {
        let mut entries = self.heap.clone();
        entries.sort_unstable_by_key(|e| (Reverse(e.count), e.key));
        entries.truncate(n);
        entries
    }

    /// Returns the estimate of a key that has a counter.
    pub fn get(&self, key: KeyHash) -> Option<HotKey> {
        self.positions.get(&key).map(|&i| self.heap[i])
    }

    /// Multiplies all weights by `keep / DECAY_UNIT`.
    pub fn decay(&mut self, keep: u64) {
        let keep = keep.min(DECAY_UNIT);
        let entries = self.heap.iter().map(|e| {
            let low = scale(e.count - e.error, keep, 0);
            let count = scale(e.count, keep, DECAY_UNIT - 1);
            HotKey {
                key: e.key,
                count,
                error: count - low,
            }
        });
        // A counter is kept while its upper bound is greater than zero.
        let entries = entries.filter(|e| e.count > 0).collect();
        let total = scale(self.total, keep, DECAY_UNIT - 1);
        let base = scale(self.floor(), keep, DECAY_UNIT - 1);
        *self = Self::from_entries(self.capacity, total, base, entries);
    }

    /// Adds the observations of another sketch. The capacity of `self` does not change.
    pub fn merge(&mut self, other: &Self) {
        let (floor, other_floor) = (self.floor(), other.floor());
        let mut merged: BTreeMap<KeyHash, HotKey> = BTreeMap::new();
        for e in &self.heap {
            let known = other.get(e.key);
            let add = known.map_or((other_floor, other_floor), |o| (o.count, o.error));
            merged.insert(e.key, add_bounds(e, add));
        }
        for e in &other.heap {
            merged
                .entry(e.key)
                .or_insert_with(|| add_bounds(e, (floor, floor)));
        }
        let total = self.total.saturating_add(other.total);
        let entries = merged.into_values().collect();
        *self = Self::from_entries(self.capacity, total, floor + other_floor, entries);
    }

    fn is_less(&self, a: usize, b: usize) -> bool {
        let rank = |i: usize| (self.heap[i].count, self.heap[i].key);
        rank(a) < rank(b)
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.heap.swap(a, b);
        self.positions.insert(self.heap[a].key, a);
        self.positions.insert(self.heap[b].key, b);
    }

    fn sift_up(&mut self, mut index: usize) -> usize {
        while index > 0 && self.is_less(index, (index - 1) / 2) {
            self.swap(index, (index - 1) / 2);
            index = (index - 1) / 2;
        }
        index
    }

    fn sift_down(&mut self, mut index: usize) {
        loop {
            let children = [2 * index + 1, 2 * index + 2];
            let present = children.into_iter().filter(|&c| c < self.heap.len());
            let least = present.min_by_key(|&c| (self.heap[c].count, self.heap[c].key));
            match least {
                Some(child) if self.is_less(child, index) => {
                    self.swap(child, index);
                    index = child;
                }
                _ => return,
            }
        }
    }
}

fn add_bounds(entry: &HotKey, (count, error): (u64, u64)) -> HotKey {
    HotKey {
        key: entry.key,
        count: entry.count.saturating_add(count),
        error: entry.error.saturating_add(error),
    }
}

/// Returns `value * keep / DECAY_UNIT`, rounded down if `round` is 0 and up if it is
/// `DECAY_UNIT - 1`.
fn scale(value: u64, keep: u64, round: u64) -> u64 {
    let exact = u128::from(value) * u128::from(keep) + u128::from(round);
    u64::try_from(exact / u128::from(DECAY_UNIT)).unwrap_or(u64::MAX)
}
