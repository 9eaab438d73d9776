//! Return of the store from an older copy.
//!
//! The store tells in every answer how often that has happened. Few hosts of a failure domain read
//! the store, so hosts also tell each other. Everything that a host has read before the return may
//! be missing in the store, and its offsets may be given out again:
//!
//! - [`crate::follow`] reads the newest records anew, because a position of an earlier era may lie
//!   beyond the end or point at other records.
//! - The configuration in force stays, because it was confirmed. Only a higher version replaces it,
//!   or one that has the same number and was read in a later era, which is the one that counts now.
//! - The directory keeps upstreams that are missing in the copy for the time in which they register
//!   again, and does not take a registration of the copy for a return of an upstream that has left,
//!   see [`Directory::on_registry_restored`](trefoil_directory::Directory::on_registry_restored).
//! - [`crate::discovery`] registers the host again if its record is missing.

use derive_more::Display;
use slog::warn;
use trefoil_store::Era;

use crate::host::Host;

/// Where a host has learned the era of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum EraSource {
    /// An answer of the store.
    #[display("store")]
    Store,
    /// Told by another host.
    #[display("host")]
    Host,
}

impl Host {
    /// Records the era of the store. A rise of a known era is a return from an older copy.
    pub(crate) fn record_era(&self, era: Era, source: EraSource) {
        let before = self.store_era.get();
        if before >= Some(era) {
            return;
        }
        self.store_era.set(Some(era));
        let gauge = &self.metrics.store_era;
        gauge.set(i64::try_from(era.0).unwrap_or(i64::MAX));
        let Some(before) = before else {
            return;
        };
        warn!(self.log, "store came back from an older copy"; "era" => era.0,
            "before" => before.0, "source" => %source);
        let now = self.now();
        self.directory.borrow_mut().on_registry_restored(now);
        self.events.store_restored.notify(usize::MAX);
    }

    /// Records the era of the answers to this host's calls. Before the first answer it is unknown.
    pub(crate) fn record_answered_era(&self) {
        let era = self.store.era();
        if era > Era::default() {
            self.record_era(era, EraSource::Store);
        }
    }
}
