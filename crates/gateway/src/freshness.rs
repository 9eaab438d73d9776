//! Age of the directory.
//!
//! A complete read of the registry shows the directory to be current as of the moment at which the
//! read was sent. A host that does not read learns it by comparison: if its directory has the
//! content of another host's, it is at least as current. The age thus covers changes that were lost
//! on the way, which the health of the hosts that read cannot show.

use std::time::Duration;

use derive_more::Display;
use slog::info;
use trefoil_core::Tick;

use crate::host::Host;
use crate::message::{DirectoryStatus, SyncStatus};
use crate::peers::whole_millis;
use crate::request_log::age_ms;

/// Where a host has learned of a change of the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Source {
    /// Read from the registry.
    #[display("registry")]
    Registry,
    /// Told by a relay.
    #[display("digest")]
    Digest,
    /// Copied from the directory of another host.
    #[display("copy")]
    Copy,
    /// Told by an upstream.
    #[display("upstream")]
    Upstream,
}

impl Host {
    /// Records that the directory contains every change that the registry had accepted at `as_of`.
    pub(crate) fn confirm_directory(&self, as_of: Tick) {
        let known = self.directory_as_of.get();
        self.directory_as_of.set(known.max(Some(as_of)));
    }

    /// Takes over the age of another host's directory if this host's has the same content.
    pub(crate) fn compare_directory(&self, now: Tick, status: SyncStatus) {
        let Some(other) = status.directory else {
            return;
        };
        if other.digest == self.directory.borrow().digest() {
            let age = Duration::from_millis(other.age_ms.into());
            self.confirm_directory(Tick(now.0.saturating_sub(age)));
        }
    }

    /// Content and age of the directory, once they are known.
    pub(crate) fn directory_status(&self, now: Tick) -> Option<DirectoryStatus> {
        let as_of = self.directory_as_of.get()?;
        Some(DirectoryStatus {
            digest: self.directory.borrow().digest(),
            age_ms: whole_millis(now.since(as_of)),
        })
    }

    /// Logs that this host begins or ceases to read the registry.
    pub(crate) fn log_reading(&self, now: Tick, reads: bool) {
        if self.was_reading.replace(reads) != reads {
            info!(self.log, "registry reader"; "reads" => reads,
                "position" => self.peers.borrow().position(now),
                "directory_age_ms" => age_ms(now, self.directory_as_of.get()));
        }
    }
}
