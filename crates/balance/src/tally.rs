//! Sums of the load reports of several sources.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use trefoil_core::Tick;

use crate::Tag;
use crate::estimate::Estimate;

/// Age at which the reports of a source expire. Sources report several times per second.
const SOURCE_AGE_MAX: Duration = Duration::from_millis(1500);

/// Weight below which an estimate is forgotten, in observations. It has no influence on a sum.
const WEIGHT_MIN: f64 = 0.001;

#[derive(Debug, Default)]
struct Source {
    at: Tick,
    open: Vec<(Tag, u32)>,
    times: HashMap<Tag, Estimate>,
}

/// Sums the open requests and service times reported by several sources, each identified by a `K`.
#[derive(Debug)]
pub struct Tally<K> {
    sources: BTreeMap<K, Source>,
}

impl<K> Default for Tally<K> {
    fn default() -> Self {
        Self {
            sources: BTreeMap::new(),
        }
    }
}

impl<K> Tally<K>
where
    K: Ord,
{
    /// Replaces the open requests of a source.
    pub fn set_open(&mut self, now: Tick, source: K, open: Vec<(Tag, u32)>) {
        let source = self.sources.entry(source).or_default();
        source.at = now;
        source.open = open;
    }

    /// Adds the service times of a source, replacing earlier ones of the same upstreams.
    pub fn add_times(&mut self, now: Tick, source: K, times: Vec<(Tag, Estimate)>) {
        let source = self.sources.entry(source).or_default();
        source.at = now;
        source.times.extend(times);
        source
            .times
            .retain(|_, time| time.at(now).weight() >= WEIGHT_MIN);
    }

    /// Removes the sources for which `gone` returns true.
    pub fn forget<F>(&mut self, gone: F)
    where
        F: Fn(&K) -> bool,
    {
        self.sources.retain(|source, _| !gone(source));
    }

    /// Removes the sources that have not reported for a while.
    pub fn expire(&mut self, now: Tick) {
        self.sources.retain(|_, s| now.since(s.at) < SOURCE_AGE_MAX);
    }

    /// Open requests by upstream, over all sources.
    pub fn open(&self) -> BTreeMap<Tag, u32> {
        let mut sums = BTreeMap::new();
        for (tag, open) in self.sources.values().flat_map(|s| &s.open) {
            let sum: &mut u32 = sums.entry(*tag).or_default();
            *sum = sum.saturating_add(*open);
        }
        sums
    }

    /// Service times by upstream, over all sources.
    pub fn times(&self, now: Tick) -> BTreeMap<Tag, Estimate> {
        let mut sums: BTreeMap<Tag, Estimate> = BTreeMap::new();
        for (tag, time) in self.sources.values().flat_map(|s| &s.times) {
            let sum = sums
                .entry(*tag)
                .or_insert_with(|| Estimate::default().at(now));
            *sum = sum.merge(time.at(now));
        }
        sums
    }
}
