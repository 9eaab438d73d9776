//! Leases and dispatcher assignments that the log records.
//!
//! [`Records`] is the part of a host's replayed view that this crate reads. It only advances:
//! generations and terms increase by one, and a dead host never returns. The safety argument
//! depends on this, because a witness drops its entry for a lease that the records no longer
//! contain, and must not encounter that lease again.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use trefoil_core::{HostId, Rank, Term, Token, UpstreamName};

/// Counter of the witness sets of one incarnation.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    FromStr,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl Generation {
    /// The generation of a host's first lease record.
    pub const FIRST: Self = Self(1);

    /// The generation after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Index of a witness in its lease record.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct WitnessIndex(pub u8);

/// One witness of a lease: the recorded incarnation and the address that it serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WitnessSlot {
    /// Incarnation that may promise, close and attest.
    pub host: HostId,
    /// Address at which a later incarnation may attest in its place.
    pub address: SocketAddr,
}

/// Most witnesses of a lease.
pub const WITNESSES_MAX: usize = 5;

/// Returns the smallest majority of `count` witnesses.
///
/// For no witnesses this is 1, which no set of verdicts reaches: the lease of a host without
/// witnesses cannot be attested as expired.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}

/// The `Lease` record: one generation of a host's witness set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Incarnation that holds the lease.
    pub holder: HostId,
    /// Counter of the witness set.
    pub generation: Generation,
    /// Witnesses, at most [`WITNESSES_MAX`].
    pub witnesses: SmallVec<[WitnessSlot; 5]>,
}

impl Lease {
    /// Returns true if the witnesses are distinct, not too many, and do not include the holder.
    fn is_valid(&self) -> bool {
        let hosts: BTreeSet<_> = self.witnesses.iter().map(|s| s.host).collect();
        let addresses: BTreeSet<_> = self.witnesses.iter().map(|s| s.address).collect();
        let count = self.witnesses.len();
        let distinct = hosts.len() == count && addresses.len() == count;
        distinct && count <= WITNESSES_MAX && !hosts.contains(&self.holder)
    }

    /// Returns the witnesses with their indices.
    pub fn indexed(&self) -> impl Iterator<Item = (WitnessIndex, &WitnessSlot)> {
        (0..=u8::MAX).map(WitnessIndex).zip(&self.witnesses)
    }

    /// Returns the index of the witness that was recorded as this incarnation.
    pub fn index_of(&self, host: HostId) -> Option<WitnessIndex> {
        self.indexed().find(|(_, s)| s.host == host).map(|(i, _)| i)
    }

    /// Returns the index of the witness that was recorded at this address.
    pub fn index_at(&self, address: SocketAddr) -> Option<WitnessIndex> {
        let mut witnesses = self.indexed();
        witnesses
            .find(|(_, s)| s.address == address)
            .map(|(i, _)| i)
    }
}

/// The lease records of one incarnation that may still be in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostLeases {
    /// The newest recorded generation.
    pub current: Lease,
    /// The generation before it, which the holder may still rely on.
    pub previous: Option<Lease>,
}

impl HostLeases {
    /// Returns the lease of a generation, if it may still be in use.
    pub fn get(&self, generation: Generation) -> Option<&Lease> {
        let mut leases = [Some(&self.current), self.previous.as_ref()]
            .into_iter()
            .flatten();
        leases.find(|l| l.generation == generation)
    }
}

/// The record that assigns the dispatcher role of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Upstream whose dispatcher is assigned.
    pub upstream: UpstreamName,
    /// Counter of the upstream's assignments.
    pub term: Term,
    /// Hosts in the order of succession: rank 0, 1 and 2.
    pub hosts: SmallVec<[HostId; 3]>,
    /// Hosts that were ranked in an earlier term and are not recorded as dead.
    ///
    /// Such a host may not have read this record. It can act under its old term until it has
    /// renounced that term or its lease has expired.
    pub prior: SmallVec<[HostId; 3]>,
}

impl Assignment {
    /// Returns the rank of a host in this term.
    pub fn rank(&self, host: HostId) -> Option<Rank> {
        let mut ranked = (0..=u8::MAX).map(Rank).zip(&self.hosts);
        ranked.find(|&(_, &h)| h == host).map(|(rank, _)| rank)
    }

    /// Returns the token with which a host acts in this term.
    pub fn token(&self, host: HostId) -> Option<Token> {
        let term = self.term;
        self.rank(host).map(|rank| Token { term, rank })
    }

    /// Returns true if the host is ranked in this term or remains from an earlier one.
    pub fn includes(&self, host: HostId) -> bool {
        self.hosts.contains(&host) || self.prior.contains(&host)
    }
}

/// The current leases and assignments.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    leases: BTreeMap<HostId, HostLeases>,
    assignments: BTreeMap<UpstreamName, Assignment>,
    dead: BTreeSet<HostId>,
}

impl Records {
    /// Applies a `Lease` record and returns true if it was accepted.
    ///
    /// A record is accepted if its generation follows the newest one of a host that is not dead,
    /// and its witnesses are distinct hosts at distinct addresses other than the holder. A process
    /// that is recorded twice would otherwise count twice towards a majority.
    pub fn apply_lease(&mut self, lease: Lease) -> bool {
        let holder = lease.holder;
        let expected = self
            .leases
            .get(&holder)
            .map_or(Generation::FIRST, |t| t.current.generation.next());
        if lease.generation != expected || !lease.is_valid() || self.dead.contains(&holder) {
            return false;
        }
        let previous = self.leases.remove(&holder).map(|t| t.current);
        let leases = HostLeases {
            current: lease,
            previous,
        };
        self.leases.insert(holder, leases);
        true
    }

    /// Applies an assignment of the dispatcher role of `upstream` to `hosts`, in a new term.
    ///
    /// Returns the assignment, which also lists the hosts that remain from earlier terms. Hosts
    /// without a recorded lease, such as dead ones, are not ranked: a ranked dead host would have
    /// no witnesses to attest its loss, and its successors would wait for ever.
    pub fn apply_assignment<H>(&mut self, upstream: &UpstreamName, hosts: H) -> &Assignment
    where
        H: IntoIterator<Item = HostId>,
    {
        let old = self.assignments.remove(upstream);
        let term = Term(old.as_ref().map_or(1, |a| a.term.0 + 1));
        let mut prior: SmallVec<[HostId; 3]> = old
            .into_iter()
            .flat_map(|a| a.hosts.into_iter().chain(a.prior))
            .filter(|h| !self.dead.contains(h))
            .collect();
        prior.sort_unstable();
        prior.dedup();
        let assignment = Assignment {
            upstream: upstream.clone(),
            term,
            hosts: hosts
                .into_iter()
                .filter(|h| self.leases.contains_key(h))
                .collect(),
            prior,
        };
        let entry = self.assignments.entry(upstream.clone());
        entry.insert_entry(assignment).into_mut()
    }

    /// Applies the record of a host's expiry. The incarnation can hold no lease again.
    pub fn apply_expiry(&mut self, host: HostId) {
        self.leases.remove(&host);
        for assignment in self.assignments.values_mut() {
            assignment.prior.retain(|h| *h != host);
        }
        self.dead.insert(host);
        // A dead host is kept only while a term ranks it. After that, only a record that it wrote
        // before its death could bring it back, because generations start at FIRST.
        let assignments = &self.assignments;
        let ranked = |h: &HostId| assignments.values().any(|a| a.hosts.contains(h));
        self.dead.retain(|h| *h == host || ranked(h));
    }

    /// Returns the leases of an incarnation.
    pub fn leases_of(&self, holder: HostId) -> Option<&HostLeases> {
        self.leases.get(&holder)
    }

    /// Returns all leases that may still be in use, each with true if it is the newest of its
    /// holder.
    pub fn leases(&self) -> impl Iterator<Item = (&Lease, bool)> {
        let hosts = self.leases.values();
        hosts.flat_map(|t| {
            std::iter::once((&t.current, true)).chain(t.previous.iter().map(|l| (l, false)))
        })
    }

    /// Returns the assignment of an upstream's dispatcher role.
    pub fn assignment(&self, upstream: &UpstreamName) -> Option<&Assignment> {
        self.assignments.get(upstream)
    }

    /// Returns the assignments of all upstreams.
    pub fn assignments(&self) -> impl Iterator<Item = &Assignment> {
        self.assignments.values()
    }

    /// Returns true if the log records the expiry of this incarnation.
    pub fn is_dead(&self, host: HostId) -> bool {
        self.dead.contains(&host)
    }

    /// Returns the hosts that need the verdicts on `holder`: all that share an assignment with it.
    pub fn successors(&self, holder: HostId) -> BTreeSet<HostId> {
        let shared = self.assignments.values().filter(|a| a.includes(holder));
        let hosts = shared.flat_map(|a| a.hosts.iter().copied());
        hosts.filter(|h| *h != holder).collect()
    }
}
