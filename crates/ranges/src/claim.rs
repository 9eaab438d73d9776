//! Claims of coordinators to a service, and how they survive a store that has lost records.
//!
//! The epochs of a store order the coordinators only within one [`Era`]. If the store comes back
//! from an older copy, it does not know the newest table, and neither which coordinator wrote it.
//! Two cases are distinguished:
//!
//! - A coordinator whose term was confirmed in the earlier era writes its own table, which is newer
//!   than the copy. It renews the grants of the owners that it knows, under the same fences. A
//!   successor that it does not know of may have moved their ranges, but then these owners have
//!   seen higher fences.
//! - Another host that takes over knows nothing about the newest owners and grants nothing.
//!
//! In both cases nothing changes owner until every grant has expired that a coordinator of an
//! earlier era can have sent. Then all entries get fences above those that were used.

use std::net::SocketAddr;

use trefoil_core::{Era, Fence, HostId, Tick};

use crate::coordinator::Coordinator;
use crate::table::{Author, Table};
use crate::timing::Timing;

/// Most versions of a table that can have been written without the knowledge of any host, before
/// the store came back from a copy that lacks them.
const UNKNOWN_VERSIONS: u64 = 100_000;

/// Highest fence that is derived from a term. Fences travel as JSON numbers, which are exact below
/// 2^53.
const FENCE_FROM_TERM_MAX: u64 = (1 << 53) - (1 << 32);

/// Claim of a coordinator to a service, by the number of its term and the era in which the store has
/// confirmed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Host of the coordinator.
    pub host: HostId,
    /// Its address for datagrams, if others can reach it there.
    pub address: Option<SocketAddr>,
    /// Number of the term.
    pub term: u64,
    /// Era of the store.
    pub era: Era,
}

/// What a host finds when it takes over a service.
#[derive(Debug, Clone)]
pub struct Takeover {
    /// The table in the store, or an empty one.
    pub table: Table,
    /// If the store has lost the newest table, since when the host knows of its present era. All
    /// grants that the table does not list were sent by coordinators of earlier eras.
    pub lost_since: Option<Tick>,
    /// Highest version of the table that any host has reported.
    pub known_version: u64,
    /// From this tick no grant of an earlier coordinator can be valid, according to the table.
    pub earlier: Tick,
}

impl Claim {
    /// The first table of a new term, and the tick from which no grant of an earlier coordinator can
    /// be valid. No order may be sent before the table is in the store.
    pub fn take_over(&self, now: Tick, timing: &Timing, takeover: Takeover) -> (Table, Tick) {
        let Takeover {
            mut table,
            lost_since,
            known_version,
            earlier,
        } = takeover;
        let listed = table.author.map(|author| now.after(author.unlisted_grants));
        let (earlier, unlisted) = match lost_since {
            Some(since) => {
                self.exceed_unknown(&mut table, known_version);
                // Builds that know no era may have sent grants in every one.
                let since = match table.era {
                    Era(0) => now,
                    _ => since.min(now),
                };
                let end = timing.earlier_expiry(since);
                (end, end)
            }
            None => (earlier, listed.unwrap_or(now)),
        };
        match lost_since {
            // No wait is left after which all entries would get new fences.
            Some(_) if unlisted <= now => table.refence_all(),
            _ => {
                table.refence_moves();
            }
        }
        self.sign(now, &mut table, earlier, unlisted);
        (table, earlier)
    }

    /// The table with which a coordinator goes on in a new era.
    pub fn reestablish(&self, now: Tick, coordinator: &Coordinator, known_version: u64) -> Table {
        let mut table = coordinator.table().clone();
        self.exceed_unknown(&mut table, known_version);
        let unlisted = coordinator.timing().earlier_expiry(now);
        self.sign(now, &mut table, coordinator.earlier_until(), unlisted);
        table
    }

    /// Marks a changed table as written by the holder of this claim.
    pub fn sign_change(&self, now: Tick, table: &mut Table, coordinator: &Coordinator) {
        let unlisted = coordinator.unlisted_until().unwrap_or(now);
        self.sign(now, table, coordinator.earlier_until(), unlisted);
    }

    fn sign(&self, now: Tick, table: &mut Table, earlier: Tick, unlisted: Tick) {
        table.version += 1;
        table.era = self.era;
        table.author = Some(Author {
            host: self.host,
            term: self.term,
            earlier_grants: earlier.since(now),
            resigned: false,
            unlisted_grants: unlisted.since(now),
            address: self.address,
        });
    }

    /// Raises the version and the fences of a table above those that can have been used since.
    fn exceed_unknown(&self, table: &mut Table, known_version: u64) {
        table.version = table.version.max(known_version) + UNKNOWN_VERSIONS;
        table.raise_fences(Fence(self.term.min(FENCE_FROM_TERM_MAX)));
    }
}
