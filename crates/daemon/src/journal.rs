//! A journal of resource changes in the order in which replay accepted them.
//!
//! The view holds only the newest revision of each resource, so a reader that polls it would see
//! two changes between two polls as one. The journal has an entry for every accepted change. It
//! starts with the first record that this process replayed and keeps a bounded number of entries. A
//! query for older changes fails, so that no reader gets a list with a gap.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use snafu::Snafu;
use trefoil_core::{ResourceName, Revision, UnixMillis};
use trefoil_log::View;

/// Maximum number of entries, about the changes of a day at full scale. An entry takes about 100
/// bytes.
const CHANGES_MAX: usize = 65_536;

/// An accepted change of a resource.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Revision of the resource after the change.
    pub revision: Revision,
    /// The resource.
    pub name: ResourceName,
    /// Wall clock of the operator who published it.
    pub accepted: UnixMillis,
}

/// An error for a query of changes that the journal no longer has.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("changes up to revision {since} are no longer known"))]
pub struct HistoryTruncated {
    /// Revision above which the journal is complete.
    pub since: Revision,
}

#[derive(Debug, Default)]
struct State {
    since: Revision,
    replayed: Revision,
    changes: VecDeque<Change>,
}

/// The journal of a process.
#[derive(Debug, Default)]
pub struct Journal {
    state: Mutex<State>,
}

impl Journal {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that replay accepted a record, which resulted in `view`.
    pub fn record(&self, revision: Revision, view: &View) {
        let mut state = self.lock();
        state.replayed = revision;
        // No resource has the revision of a record of another kind.
        let Some(resource) = view.resources.values().find(|r| r.revision == revision) else {
            return;
        };
        state.changes.push_back(Change {
            revision,
            name: resource.name.clone(),
            accepted: resource.accepted,
        });
        if state.changes.len() > CHANGES_MAX {
            let dropped = state.changes.pop_front();
            state.since = dropped.map_or(state.since, |c| c.revision);
        }
    }

    /// Handles the publication of a view. If the view includes records that were not recorded one
    /// by one, for example after a snapshot was loaded, the journal is cleared and starts at
    /// `revision`.
    pub fn on_publish(&self, revision: Revision) {
        let mut state = self.lock();
        if revision > state.replayed {
            (state.since, state.replayed) = (revision, revision);
            state.changes.clear();
        }
    }

    /// Returns at most `max` changes above a revision, in order.
    ///
    /// # Errors
    ///
    /// Fails if the journal no longer has all changes above the revision.
    pub fn changes_after(
        &self,
        from: Revision,
        max: usize,
    ) -> Result<Vec<Change>, HistoryTruncated> {
        let state = self.lock();
        if from < state.since {
            return Err(HistoryTruncated { since: state.since });
        }
        let first = state.changes.partition_point(|c| c.revision <= from);
        Ok(state
            .changes
            .iter()
            .skip(first)
            .take(max)
            .cloned()
            .collect())
    }
}
