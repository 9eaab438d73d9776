//! Changes of resources in the order in which replay accepted them.
//!
//! The view holds the newest revision of each resource only, so two changes between two looks at it
//! would show as one. The journal keeps an entry for every accepted change. It does not reach back
//! further than the records that this process replayed; whoever asks for an older change is told so
//! and never gets a list with a gap.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use snafu::Snafu;
use trefoil_core::{ResourceName, Revision, UnixMillis};
use trefoil_log::View;

/// Changes that are kept: about a day's at full scale. An entry takes about 100 bytes.
const CHANGES_MAX: usize = 65_536;

/// An accepted change of a resource.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Revision of the resource since this change.
    pub revision: Revision,
    /// The resource.
    pub name: ResourceName,
    /// Wall clock of the operator that published it.
    pub accepted: UnixMillis,
}

/// The journal does not reach back to a revision.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("changes up to revision {since} are no longer known"))]
pub struct Forgotten {
    /// Revision above which all changes are known.
    pub since: Revision,
}

#[derive(Debug, Default)]
struct State {
    since: Revision,
    through: Revision,
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

    /// Notes that replay accepted a record, which led to `view`.
    pub fn record(&self, revision: Revision, view: &View) {
        let mut state = self.lock();
        state.through = revision;
        // A record that is not a resource left no resource with its revision.
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

    /// Notes that a view was published. If records led to it that were not noted one by one, as
    /// after a snapshot, the journal begins anew.
    pub fn on_publish(&self, revision: Revision) {
        let mut state = self.lock();
        if revision > state.through {
            (state.since, state.through) = (revision, revision);
            state.changes.clear();
        }
    }

    /// At most `max` changes above a revision, in their order.
    ///
    /// # Errors
    ///
    /// Fails if changes above the revision are no longer known.
    pub fn changes_after(&self, from: Revision, max: usize) -> Result<Vec<Change>, Forgotten> {
        let state = self.lock();
        if from < state.since {
            return Err(Forgotten { since: state.since });
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
