//! Counts of failed requests, and their sums over hosts.
//!
//! With dozens of hosts and hundreds of upstreams, one host sends an upstream a request in many
//! seconds. Only the sum over the hosts shows within a second or two that an upstream fails.

use std::collections::BTreeMap;
use std::time::Duration;

use trefoil_core::Tick;

use crate::Tag;
use crate::limits::Window;

/// Age at which reports expire. They are repeated several times per second.
pub(crate) const REPORT_AGE_MAX: Duration = Duration::from_millis(700);

/// Steps of 250 ms in which ended requests count, so at least the last 2 s.
const STEPS: usize = 9;

/// Requests to one upstream that have ended in the last 2 s.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Those that failed.
    pub failed: u32,
    /// Those that failed and those that were answered.
    pub total: u32,
}

impl Counts {
    /// Adds the counts of other hosts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            failed: self.failed.saturating_add(other.failed),
            total: self.total.saturating_add(other.total),
        }
    }

    /// Removes counts that the sum contains. The sum may be older than they are.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            failed: self.failed.saturating_sub(other.failed),
            total: self.total.saturating_sub(other.total),
        }
    }

    /// Share of the requests that failed, 0 to 1.
    pub fn share(self) -> f64 {
        f64::from(self.failed) / f64::from(self.total.max(self.failed).max(1))
    }
}

/// Counts of other hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Others {
    /// Hosts of the own failure domain.
    pub domain: Counts,
    /// Hosts of all domains, the own one included.
    pub all: Counts,
}

/// This host's requests to one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Answers {
    failed: Window<STEPS>,
    total: Window<STEPS>,
}

impl Answers {
    pub(crate) fn add(&mut self, now: Tick, failed: bool) {
        self.total.add(now);
        if failed {
            self.failed.add(now);
        }
    }

    pub(crate) fn counts(&mut self, now: Tick) -> Counts {
        Counts {
            failed: self.failed.sum(now),
            total: self.total.sum(now),
        }
    }
}

/// Sums the counts of several sources, each identified by a `K`.
#[derive(Debug)]
pub struct HealthTally<K> {
    reports: BTreeMap<(K, Tag), (Counts, Tick)>,
}

impl<K> Default for HealthTally<K> {
    fn default() -> Self {
        Self {
            reports: BTreeMap::new(),
        }
    }
}

impl<K> HealthTally<K>
where
    K: Ord,
{
    /// Replaces the counts of a source for an upstream.
    pub fn set(&mut self, now: Tick, source: K, tag: Tag, counts: Counts) {
        self.reports.insert((source, tag), (counts, now));
    }

    /// Removes the counts that were not repeated for a while.
    pub fn expire(&mut self, now: Tick) {
        self.reports
            .retain(|_, (_, at)| now.since(*at) < REPORT_AGE_MAX);
    }

    /// Sums over all sources.
    pub fn sums(&self) -> BTreeMap<Tag, Counts> {
        let mut sums: BTreeMap<Tag, Counts> = BTreeMap::new();
        for ((_, tag), (counts, _)) in &self.reports {
            let sum = sums.entry(*tag).or_default();
            *sum = sum.plus(*counts);
        }
        sums
    }
}
