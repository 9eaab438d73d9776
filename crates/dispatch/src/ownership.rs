//! Ownership of shards at one upstream.
//!
//! A shard moves between upstreams in this order: revoked at the old owner, proof that nothing is
//! in flight there, `Released` sent, served at the new owner. Each step is a transition of the
//! chart in `ownership.yaml`. [`Ownership::poll`] returns the shards for which `Released` may be
//! sent, and [`Ownership::receive_release`] permits serving at the new owner.
//!
//! # Proof
//!
//! [`Proof::Deadline`], for upstreams that do not check fences: every request was answered or
//! proved not run, or the latest deadline plus the declared margin has passed. The bound also
//! covers requests that are still open here, so a request that is never finished cannot hold a
//! shard forever. A write after the bound is impossible: [`Admission::check_write`] refuses it.
//!
//! [`Proof::Grant`], for upstreams that check fences: every request was answered or proved not run,
//! or the last grant that named the shard has expired. A shard that is being released stays in the
//! grant while it has open requests, so that a planned move interrupts none of them. It leaves the
//! grant when the upstream is lost ([`Ownership::stop_grants`]) or when one of its requests was not
//! answered, since only the end of the grant proves that such a request has stopped.
//!
//! The end of a grant is counted from the moment its renewal was *sent*, whether or not it was
//! acknowledged, and extended by the largest difference of clock rates. This is a proof only if the
//! upstream counts the validity from a moment at or before the sending: a frozen upstream finds
//! unread renewals in its socket buffers when it resumes, and if it counted from then, it would
//! serve at the same time as its standby. The grant must therefore carry its end as an absolute
//! time, or answer a request of the upstream from which the upstream counts.
//!
//! # Revisions
//!
//! A release names the placement revision of its move, and the new owner accepts only the release
//! that it awaits. A delayed copy of an earlier release of the same shard is ignored.
//!
//! A shard that is revoked again while it awaits its release becomes *relaying*: the next owner
//! must not start before the release of the previous one has arrived here. A shard cannot be
//! assigned again while it is being released; the driver applies the assignment after the release.
//!
//! [`Admission::check_write`]: crate::Admission::check_write

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use snafu::{OptionExt, Snafu};
use trefoil_core::chart::ChartError;
use trefoil_core::{Revision, Shard, StateChart, Tick, UnixMillis, UpstreamName};

use crate::memory::Handover;

/// Validity of a grant.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(1500);

/// Time between renewals of a grant. Two renewals can be lost before the grant expires.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Time after the sending of a renewal at which its grant has certainly expired: [`GRANT_VALIDITY`]
/// plus 2% for the difference of clock rates, as for leases.
pub const GRANT_VALIDITY_MAX: Duration = Duration::from_millis(1530);

const CHART: &str = include_str!("ownership.yaml");

/// State of one shard at one upstream.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, serde::Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum ShardState {
    /// Not owned here.
    Released,
    /// Assigned here by the log; the previous owner has not released it yet.
    Awaiting,
    /// Requests are admitted.
    Serving,
    /// Revoked before the previous owner released it.
    Relaying,
    /// No new admissions; waits until nothing is in flight.
    Releasing,
}

/// Event that changes the state of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum ShardEvent {
    /// The log assigns the shard to this upstream.
    Assigned,
    /// The previous owner's release has arrived, or there is no previous owner.
    Received,
    /// The shard moves to another upstream.
    Revoked,
    /// Proof exists that nothing is in flight.
    Proven,
}

/// Proof that an upstream no longer works on a request that it did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// The upstream checks fences: the grant has expired.
    Grant,
    /// The upstream does not check fences: the deadline plus the declared margin has passed.
    Deadline,
}

/// Previous owner of an assigned shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// No upstream owned it before.
    New,
    /// Another upstream owns it, and its release at this revision has not arrived yet.
    Owner(Revision),
    /// This upstream owned it under an earlier dispatcher, whose requests may still be in flight
    /// until the given tick (the start of this dispatcher plus the longest deadline plus the
    /// margin).
    Predecessor(Tick),
}

/// A release that may be sent to the new owner's dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// The shard.
    pub shard: Shard,
    /// The new owner.
    pub to: UpstreamName,
    /// Revision of the placement that moves the shard.
    pub revision: Revision,
    /// Records of the shard's ids for the new owner.
    pub handover: Handover,
}

/// Error of a change of ownership.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum OwnershipError {
    /// The chart has no such transition.
    #[snafu(display("shard {shard} is {state}, which has no transition for {event}"))]
    NoTransition {
        /// The shard.
        shard: Shard,
        /// Its state.
        state: ShardState,
        /// The event.
        event: ShardEvent,
    },
    /// The release has been applied before. The sender did not receive the acknowledgement, so it
    /// is to be acknowledged again.
    #[snafu(display("the release of shard {shard} at revision {revision} was received before"))]
    DuplicateRelease {
        /// The shard.
        shard: Shard,
        /// Revision of the release.
        revision: Revision,
    },
    /// The release is not of the revision that the shard awaits.
    #[snafu(display("shard {shard} awaits another release, not that of revision {revision}"))]
    OtherRelease {
        /// The shard.
        shard: Shard,
        /// Revision of the release.
        revision: Revision,
    },
}

#[derive(Debug)]
struct Entry {
    state: ShardState,
    /// Revision of the release that the shard awaits.
    awaited: Revision,
    /// New owner, and the revision of the move.
    to: Option<(UpstreamName, Revision)>,
    served_since: UnixMillis,
    /// Number of requests that were started and have not ended.
    open: u32,
    /// Tick until which an unanswered request may still run.
    unanswered_until: Tick,
    /// Tick until which any request, answered or not, may still run.
    open_until: Tick,
    /// True after a request was not answered, so that only the end of the grant is a proof.
    unanswered: bool,
    /// Tick at which the last grant that names the shard ends.
    granted_until: Tick,
}

/// Ownership of shards at one upstream.
#[derive(Debug)]
pub struct Ownership {
    chart: StateChart<ShardState, ShardEvent>,
    proof: Proof,
    shards: BTreeMap<Shard, Entry>,
    /// The shards in [`ShardState::Releasing`], so that a poll does not visit all shards.
    releasing: BTreeSet<Shard>,
    grants_stopped: bool,
    proof_needed: bool,
}

impl Ownership {
    /// Creates the ownership of an upstream without any shard.
    ///
    /// # Errors
    ///
    /// Fails if `ownership.yaml` does not load.
    pub fn new(proof: Proof) -> Result<Self, ChartError> {
        Ok(Self {
            chart: StateChart::parse(CHART)?,
            proof,
            shards: BTreeMap::new(),
            releasing: BTreeSet::new(),
            grants_stopped: false,
            proof_needed: true,
        })
    }

    /// Releases shards without proof. Only for tests that show the violations that it prevents.
    pub(crate) fn skip_proof(&mut self) {
        self.proof_needed = false;
    }

    /// Returns the state of a shard.
    pub fn state(&self, shard: Shard) -> ShardState {
        self.shards
            .get(&shard)
            .map_or(self.chart.initial(), |e| e.state)
    }

    /// Returns true if no shard is owned here or moving to or from here.
    pub fn is_empty(&self) -> bool {
        let initial = self.chart.initial();
        self.shards.values().all(|e| e.state == initial)
    }

    /// Returns the upstream to which a shard was or is being released.
    pub fn successor(&self, shard: Shard) -> Option<&UpstreamName> {
        let (to, _) = self.shards.get(&shard)?.to.as_ref()?;
        Some(to)
    }

    /// Returns the time since which the ids of a shard that is served here are recorded.
    pub fn serving_since(&self, shard: Shard) -> Option<UnixMillis> {
        let entry = self.shards.get(&shard)?;
        (entry.state == ShardState::Serving).then_some(entry.served_since)
    }

    fn transition(
        &mut self,
        shard: Shard,
        event: ShardEvent,
    ) -> Result<&mut Entry, OwnershipError> {
        let initial = self.chart.initial();
        let entry = self.shards.entry(shard).or_insert(Entry {
            state: initial,
            awaited: Revision::default(),
            to: None,
            served_since: UnixMillis::default(),
            open: 0,
            unanswered_until: Tick::default(),
            open_until: Tick::default(),
            unanswered: false,
            granted_until: Tick::default(),
        });
        let state = entry.state;
        entry.state = self.chart.next(state, &event).context(NoTransitionSnafu {
            shard,
            state,
            event,
        })?;
        match entry.state {
            ShardState::Releasing => self.releasing.insert(shard),
            _ => self.releasing.remove(&shard),
        };
        Ok(entry)
    }

    /// Assigns a shard to this upstream. `unix` is the current wall clock time, since which the ids
    /// of the shard are recorded if it is served immediately.
    ///
    /// # Errors
    ///
    /// Fails if the shard is owned here already or is being released.
    pub fn assign(
        &mut self,
        now: Tick,
        unix: UnixMillis,
        shard: Shard,
        origin: Origin,
    ) -> Result<(), OwnershipError> {
        let entry = self.transition(shard, ShardEvent::Assigned)?;
        entry.to = None;
        match origin {
            Origin::Owner(revision) => entry.awaited = revision,
            Origin::New => {
                self.transition(shard, ShardEvent::Received)?.served_since = unix;
            }
            Origin::Predecessor(until) => {
                let entry = self.transition(shard, ShardEvent::Received)?;
                entry.served_since = unix;
                entry.unanswered_until = entry.unanswered_until.max(until);
                entry.open_until = entry.open_until.max(until);
                entry.unanswered = true;
                // The predecessor sent its last grant before its lease ended, which is before now.
                entry.granted_until = entry.granted_until.max(now.after(GRANT_VALIDITY_MAX));
            }
        }
        Ok(())
    }

    /// Applies the release of a shard whose ids are recorded since `since`. The shard may be served
    /// if the result is [`ShardState::Serving`].
    ///
    /// A standby may receive the release of a lost owner before the log assigns the shard. The
    /// driver checks the recorded standby and calls [`Ownership::assign`] first.
    ///
    /// # Errors
    ///
    /// Fails if the shard does not await this release, or has received it before.
    pub fn receive_release(
        &mut self,
        shard: Shard,
        revision: Revision,
        since: UnixMillis,
    ) -> Result<ShardState, OwnershipError> {
        match self.shards.get(&shard) {
            Some(e) if e.awaited != revision => OtherReleaseSnafu { shard, revision }.fail(),
            Some(e) if !matches!(e.state, ShardState::Awaiting | ShardState::Relaying) => {
                DuplicateReleaseSnafu { shard, revision }.fail()
            }
            _ => {
                let entry = self.transition(shard, ShardEvent::Received)?;
                entry.served_since = since;
                Ok(entry.state)
            }
        }
    }

    /// Stops admissions for a shard that moves to `to` under the placement of `revision`.
    ///
    /// # Errors
    ///
    /// Fails if the shard is not owned here.
    pub fn revoke(
        &mut self,
        shard: Shard,
        to: UpstreamName,
        revision: Revision,
    ) -> Result<(), OwnershipError> {
        self.transition(shard, ShardEvent::Revoked)?.to = Some((to, revision));
        Ok(())
    }

    /// Counts a request that is started. `until` is its deadline plus the declared margin.
    pub(crate) fn count_started(&mut self, shard: Shard, until: Tick) {
        if let Some(entry) = self.shards.get_mut(&shard) {
            entry.open += 1;
            entry.open_until = entry.open_until.max(until);
        }
    }

    /// Counts a request that was answered or proved not run.
    pub(crate) fn count_ended(&mut self, shard: Shard) {
        if let Some(entry) = self.shards.get_mut(&shard) {
            entry.open = entry.open.saturating_sub(1);
        }
    }

    /// Counts a request that ended unanswered, on which the upstream may work until `until`.
    pub(crate) fn count_unanswered(&mut self, shard: Shard, until: Tick) {
        self.count_ended(shard);
        if let Some(entry) = self.shards.get_mut(&shard) {
            entry.unanswered_until = entry.unanswered_until.max(until);
            entry.unanswered = true;
        }
    }

    /// Returns true if a started request of the shard may be handed to a connection now.
    pub(crate) fn check_write(&self, shard: Shard) -> bool {
        matches!(
            self.state(shard),
            ShardState::Serving | ShardState::Releasing
        )
    }

    /// Returns the shards of the grant that is sent at `now`, none while grants are stopped.
    pub fn renew_grant(&mut self, now: Tick) -> Vec<Shard> {
        if self.grants_stopped {
            return Vec::new();
        }
        let named = self.shards.iter_mut().filter(|(_, e)| match e.state {
            ShardState::Serving => true,
            ShardState::Releasing => e.open > 0 && !e.unanswered,
            ShardState::Released | ShardState::Awaiting | ShardState::Relaying => false,
        });
        named
            .map(|(&shard, entry)| {
                entry.granted_until = now.after(GRANT_VALIDITY_MAX);
                shard
            })
            .collect()
    }

    /// Stops grants, because the upstream is lost.
    pub fn stop_grants(&mut self) {
        self.grants_stopped = true;
    }

    /// Resumes grants.
    pub fn resume_grants(&mut self) {
        self.grants_stopped = false;
    }

    /// Completes the releases for which proof exists, without their records. Each is to be sent
    /// until the new owner's dispatcher acknowledges it.
    pub fn poll(&mut self, now: Tick) -> Vec<Release> {
        let ready: Vec<Shard> = self
            .releasing()
            .filter(|&(_, e)| self.proven_at(e) <= now)
            .map(|(shard, _)| shard)
            .collect();
        let release = |shard| {
            let entry = self.transition(shard, ShardEvent::Proven).ok()?;
            let (to, revision) = entry.to.clone()?;
            entry.unanswered = false;
            Some(Release {
                shard,
                to,
                revision,
                handover: Handover {
                    since: entry.served_since,
                    records: Vec::new(),
                },
            })
        };
        ready.into_iter().filter_map(release).collect()
    }

    /// Returns the earliest tick at which [`Ownership::poll`] may complete a release without
    /// another event.
    pub fn next_wake(&self) -> Option<Tick> {
        self.releasing().map(|(_, e)| self.proven_at(e)).min()
    }

    fn releasing(&self) -> impl Iterator<Item = (Shard, &Entry)> {
        let shards = self.releasing.iter();
        shards.filter_map(|shard| Some((*shard, self.shards.get(shard)?)))
    }

    /// Returns the tick at which proof exists if no further request is answered.
    fn proven_at(&self, entry: &Entry) -> Tick {
        match self.proof {
            _ if !self.proof_needed => Tick::default(),
            Proof::Deadline if entry.open == 0 => entry.unanswered_until,
            Proof::Deadline => entry.open_until,
            Proof::Grant if entry.open == 0 && !entry.unanswered => Tick::default(),
            Proof::Grant => entry.granted_until,
        }
    }
}
