//! Recent changes of the directory, which are told to the other hosts.
//!
//! A change is repeated in digests for some time, because datagrams are lost. Only the newest change
//! of each upstream counts, so there are at most as many as upstreams have changed in that time.

use std::collections::BTreeMap;
use std::time::Duration;

use trefoil_core::{Tick, UpstreamName};

use crate::message::ChangeItem;

/// Time for which digests repeat a change of the directory.
pub(crate) const REPEAT: Duration = Duration::from_millis(900);

/// The newest change of each upstream that has changed recently.
#[derive(Debug, Default)]
pub(crate) struct RecentChanges {
    newest: BTreeMap<UpstreamName, (Tick, ChangeItem)>,
}

impl RecentChanges {
    /// Adds a change, which replaces earlier ones of the same upstream.
    pub(crate) fn add(&mut self, now: Tick, item: ChangeItem) {
        let name = match &item {
            ChangeItem::Set(registration) => &registration.incarnation.name,
            ChangeItem::Gone(removal) => &removal.incarnation.name,
        };
        self.newest.insert(name.clone(), (now, item));
    }

    /// Drops the changes that are not repeated any more.
    pub(crate) fn expire(&mut self, now: Tick) {
        self.newest.retain(|_, (at, _)| now.since(*at) <= REPEAT);
    }

    /// The changes, by upstream.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &ChangeItem> {
        self.newest.values().map(|(_, item)| item)
    }

    /// Returns `true` if there is no change.
    pub(crate) fn is_empty(&self) -> bool {
        self.newest.is_empty()
    }

    /// Number of changes.
    pub(crate) fn len(&self) -> usize {
        self.newest.len()
    }
}
