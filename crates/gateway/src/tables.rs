//! Routes of keyed services, as this host knows them.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use trefoil_core::{Key, KeyRange, ServiceName, UpstreamName};

/// Revision of routes. A greater one is newer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{version}/{term}/{serial}")]
pub struct Revision {
    /// Version of the table.
    pub version: u64,
    /// Term of the coordinator.
    pub term: u64,
    /// Serial number of the routes within the term.
    pub serial: u64,
}

/// Owners of the keys of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Routes {
    /// Revision of these routes.
    pub revision: Revision,
    /// First key of each range and its owner, in the order of the keys.
    pub ranges: Vec<(Key, Option<UpstreamName>)>,
}

impl Routes {
    /// Builds routes from ranges that cover every key once, in order.
    pub fn new<'a, I>(revision: Revision, ranges: I) -> Self
    where
        I: IntoIterator<Item = (KeyRange, Option<&'a UpstreamName>)>,
    {
        let mut merged: Vec<(Key, Option<UpstreamName>)> = Vec::new();
        for (range, owner) in ranges {
            if merged.last().is_none_or(|(_, last)| last.as_ref() != owner) {
                merged.push((range.first(), owner.cloned()));
            }
        }
        Self {
            revision,
            ranges: merged,
        }
    }

    /// The ranges with their owners, in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (KeyRange, Option<&UpstreamName>)> {
        // Routes of another host may be in any order.
        let lasts = self.ranges.iter().skip(1);
        let lasts = lasts.map(|(first, _)| first.0.saturating_sub(1));
        let lasts = lasts.chain([u16::MAX]);
        let ranges = self.ranges.iter().zip(lasts);
        ranges.filter_map(|((first, owner), last)| {
            let range = KeyRange::new(*first, Key(last)).ok()?;
            Some((range, owner.as_ref()))
        })
    }

    /// Ranges whose owner differs from that in `before`.
    pub fn changes_since(&self, before: &Self) -> Vec<(KeyRange, Option<UpstreamName>)> {
        let firsts = |r: &Self| r.ranges.iter().map(|(first, _)| *first).collect::<Vec<_>>();
        let mut firsts = [firsts(self), firsts(before)].concat();
        firsts.sort_unstable();
        firsts.dedup();
        let lasts = firsts.iter().skip(1).map(|first| first.0 - 1);
        let lasts: Vec<u16> = lasts.chain([u16::MAX]).collect();
        let pieces = firsts.iter().zip(lasts);
        let changed = pieces.filter_map(|(first, last)| {
            let range = KeyRange::new(*first, Key(last)).ok()?;
            let owner = self.owner(*first);
            (owner != before.owner(*first)).then(|| (range, owner.cloned()))
        });
        changed.collect()
    }

    /// Returns these routes with changes applied.
    #[must_use]
    pub fn apply_changes(
        &self,
        revision: Revision,
        changes: &[(KeyRange, Option<UpstreamName>)],
    ) -> Self {
        let mut pieces: Vec<(KeyRange, Option<&UpstreamName>)> = Vec::new();
        for (range, owner) in self.iter() {
            let mut rest = Some(range);
            for (changed, new) in changes {
                let (Some(left), Some(part)) = (rest, range.intersection(*changed)) else {
                    continue;
                };
                if let Some(before) = part.first().0.checked_sub(1).map(Key)
                    && let Ok(untouched) = KeyRange::new(left.first(), before)
                {
                    pieces.push((untouched, owner));
                }
                pieces.push((part, new.as_ref()));
                let after = part.last().0.checked_add(1).map(Key);
                rest = after.and_then(|after| KeyRange::new(after, range.last()).ok());
            }
            pieces.extend(rest.map(|rest| (rest, owner)));
        }
        Self::new(revision, pieces)
    }

    /// The owner of a key, or `None` while it has none.
    pub fn owner(&self, key: Key) -> Option<&UpstreamName> {
        let after = self.ranges.partition_point(|(first, _)| *first <= key);
        self.ranges[..after].last()?.1.as_ref()
    }
}

/// Routes of all keyed services.
#[derive(Debug, Default)]
pub struct Tables {
    services: BTreeMap<ServiceName, Routes>,
}

impl Tables {
    /// Routes of a service, if any are known.
    pub fn get(&self, service: &ServiceName) -> Option<&Routes> {
        self.services.get(service)
    }

    /// Revision of the known routes of a service.
    pub fn revision(&self, service: &ServiceName) -> Revision {
        self.get(service).map(|r| r.revision).unwrap_or_default()
    }

    /// Replaces the routes of a service if the new ones have a greater revision. Returns whether it
    /// did.
    pub fn update(&mut self, service: &ServiceName, routes: Routes) -> bool {
        let newer = self
            .get(service)
            .is_none_or(|known| known.revision < routes.revision);
        if newer {
            self.services.insert(service.clone(), routes);
        }
        newer
    }
}
