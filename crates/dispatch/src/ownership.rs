//! Ownership of shards at one upstream.
//!
//! A shard moves between upstreams in the order *revoked at the old owner, proof that nothing is in
//! flight there, `Released` sent, served at the new owner*. Each step is a transition of the chart
//! in `ownership.yaml`. The module says when [`Ownership::poll`] permits `Released` to be sent and,
//! on the other side, when [`Ownership::receive_release`] permits serving.
//!
//! # Proof
//!
//! [`Proof::Deadline`], for upstreams that do not check fences: every request was answered or proved
//! not run, or the latest deadline plus the declared margin has passed. The bound also covers
//! requests that are still open here, so a request that is never finished cannot hold a shard
//! forever. A write after the bound is impossible: [`Admission::check_write`] refuses it.
//!
//! [`Proof::Grant`], for upstreams that check fences: every request was answered or proved not run,
//! or the last grant that named the shard has expired. A shard that is being released stays in the
//! grant while it has open requests, so that a planned move interrupts none of them. It leaves the
//! grant when the upstream is lost ([`Ownership::stop_grants`]) or when one of its requests went
//! unanswered, since that request can be waited out only through the grant.
//!
//! The end of a grant is counted from the moment its renewal was *sent*, whether or not it was
//! acknowledged, and lengthened by the clock rate error. This is a proof only if the upstream
//! counts the validity from a moment at or before the sending: a frozen upstream finds unread
//! renewals in its socket buffers when it resumes, and if it counted from then, it would serve
//! beside its standby. The grant must therefore carry its end as an absolute time, or answer a
//! request of the upstream that it counts from.
//!
//! # Revisions
//!
//! A release names the placement revision of its move, and the new owner accepts only the release
//! it waits for. A delayed copy of an earlier release of the same shard is ignored.
//!
//! A shard that is revoked again while it waits for its release becomes *relaying*: the next owner
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

/// Time after sending a renewal at which its grant has certainly expired: [`GRANT_VALIDITY`] plus 2% for the
/// difference of clock rates, the same as for leases.
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
    /// Owned here according to the log; the previous owner has not released it yet.
    Awaiting,
    /// Requests are admitted.
    Serving,
    /// Revoked before the previous owner released it.
    Relaying,
    /// No new admissions; waits until nothing is in flight.
    Releasing,
}

/// What moves a shard between states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum ShardEvent {
    /// The log gives the shard to this upstream.
    Assigned,
    /// The previous owner's release has arrived, or there is no previous owner.
    Received,
    /// The shard goes to another upstream.
    Revoked,
    /// Proof exists that nothing is in flight.
    Proven,
}

/// What proves that an upstream does not work on a request any more, if it did not answer it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proof {
    /// The upstream checks fences: the grant has expired.
    Grant,
    /// The upstream does not check fences: the deadline plus the declared margin has passed.
    Deadline,
}

/// Where an assigned shard comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// No upstream owned it before.
    New,
    /// Another upstream owns it, and its release at this revision has not arrived yet.
    Owner(Revision),
    /// This upstream owned it under an earlier dispatcher, whose requests may still be in flight
    /// until the given tick (the start of the tenure plus the longest deadline plus the margin).
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
    /// What the new owner must know about the shard's ids.
    pub handover: Handover,
}

/// Why a step of a shard is not possible.
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
    /// The release has been taken in before. The sender did not receive the acknowledgement, so it is
    /// to be acknowledged again.
    #[snafu(display("the release of shard {shard} at revision {revision} is a repeat"))]
    DuplicateRelease {
        /// The shard.
        shard: Shard,
        /// Revision of the release.
        revision: Revision,
    },
    /// A release names another revision than the one the shard waits for.
    #[snafu(display("shard {shard} waits for another release than that of revision {revision}"))]
    OtherRelease {
        /// The shard.
        shard: Shard,
        /// Revision of the release.
        revision: Revision,
    },
}

#[derive(Debug)]
struct Holding {
    state: ShardState,
    awaits: Revision,
    to: Option<(UpstreamName, Revision)>,
    since: UnixMillis,
    open: u32,
    /// An unanswered request may still run until this tick.
    doubt: Tick,
    /// Any request, answered or not, may still run until this tick at the latest.
    horizon: Tick,
    /// Whether a request went unanswered, which only the end of the grant can settle.
    unanswered: bool,
    /// When the last grant that names the shard ends.
    granted: Tick,
}

/// Ownership of shards at one upstream.
#[derive(Debug)]
pub struct Ownership {
    chart: StateChart<ShardState, ShardEvent>,
    proof: Proof,
    shards: BTreeMap<Shard, Holding>,
    /// The shards in [`ShardState::Releasing`], so that a poll does not visit all shards.
    releasing: BTreeSet<Shard>,
    stopped: bool,
    wait: bool,
}

impl Ownership {
    /// Ownership without any shard.
    ///
    /// # Errors
    ///
    /// Fails if the crate's own chart does not load.
    pub fn new(proof: Proof) -> Result<Self, ChartError> {
        Ok(Self {
            chart: StateChart::parse(CHART)?,
            proof,
            shards: BTreeMap::new(),
            releasing: BTreeSet::new(),
            stopped: false,
            wait: true,
        })
    }

    /// Releases shards without proof. Only for tests that show what the proof prevents.
    pub(crate) fn skip_wait(&mut self) {
        self.wait = false;
    }

    /// The state of a shard.
    pub fn state(&self, shard: Shard) -> ShardState {
        self.shards
            .get(&shard)
            .map_or(self.chart.initial(), |h| h.state)
    }

    /// Whether no shard is owned here or on its way here or away.
    pub fn is_empty(&self) -> bool {
        let initial = self.chart.initial();
        self.shards.values().all(|h| h.state == initial)
    }

    /// The upstream that a shard was or is being released to.
    pub fn successor(&self, shard: Shard) -> Option<&UpstreamName> {
        let (to, _) = self.shards.get(&shard)?.to.as_ref()?;
        Some(to)
    }

    /// Since when the shard has been served here under this dispatcher, if it is.
    pub fn serving_since(&self, shard: Shard) -> Option<UnixMillis> {
        let holding = self.shards.get(&shard)?;
        (holding.state == ShardState::Serving).then_some(holding.since)
    }

    fn step(&mut self, shard: Shard, event: ShardEvent) -> Result<&mut Holding, OwnershipError> {
        let initial = self.chart.initial();
        let holding = self.shards.entry(shard).or_insert(Holding {
            state: initial,
            awaits: Revision::default(),
            to: None,
            since: UnixMillis::default(),
            open: 0,
            doubt: Tick::default(),
            horizon: Tick::default(),
            unanswered: false,
            granted: Tick::default(),
        });
        let state = holding.state;
        holding.state = self.chart.next(state, &event).context(NoTransitionSnafu {
            shard,
            state,
            event,
        })?;
        match holding.state {
            ShardState::Releasing => self.releasing.insert(shard),
            _ => self.releasing.remove(&shard),
        };
        Ok(holding)
    }

    /// Gives a shard to this upstream. `unix` is the current wall clock time, from which ids are
    /// covered if the shard is served at once.
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
        let holding = self.step(shard, ShardEvent::Assigned)?;
        holding.to = None;
        match origin {
            Origin::Owner(revision) => holding.awaits = revision,
            Origin::New => {
                self.step(shard, ShardEvent::Received)?.since = unix;
            }
            Origin::Predecessor(until) => {
                let holding = self.step(shard, ShardEvent::Received)?;
                holding.since = unix;
                holding.doubt = holding.doubt.max(until);
                holding.horizon = holding.horizon.max(until);
                holding.unanswered = true;
                // The predecessor sent its last grant before its lease ended, that is before now.
                holding.granted = holding.granted.max(now.after(GRANT_VALIDITY_MAX));
            }
        }
        Ok(())
    }

    /// Takes in the release of a shard whose ids are covered from `since`. The shard may be served
    /// if the result is [`ShardState::Serving`].
    ///
    /// A standby may receive the release of a lost owner before the log assigns the shard. The
    /// driver checks the recorded standby and calls [`Ownership::assign`] first.
    ///
    /// # Errors
    ///
    /// Fails if the shard does not wait for this release, or has taken it in before.
    pub fn receive_release(
        &mut self,
        shard: Shard,
        revision: Revision,
        since: UnixMillis,
    ) -> Result<ShardState, OwnershipError> {
        match self.shards.get(&shard) {
            Some(h) if h.awaits != revision => OtherReleaseSnafu { shard, revision }.fail(),
            Some(h) if !matches!(h.state, ShardState::Awaiting | ShardState::Relaying) => {
                DuplicateReleaseSnafu { shard, revision }.fail()
            }
            _ => {
                let holding = self.step(shard, ShardEvent::Received)?;
                holding.since = since;
                Ok(holding.state)
            }
        }
    }

    /// Stops admissions for a shard that goes to `to` under the placement of `revision`.
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
        self.step(shard, ShardEvent::Revoked)?.to = Some((to, revision));
        Ok(())
    }

    /// Counts a request that is started. `until` is its deadline plus the declared margin.
    pub(crate) fn begin(&mut self, shard: Shard, until: Tick) {
        if let Some(holding) = self.shards.get_mut(&shard) {
            holding.open += 1;
            holding.horizon = holding.horizon.max(until);
        }
    }

    /// Counts a request that was answered or proved not run.
    pub(crate) fn end(&mut self, shard: Shard) {
        if let Some(holding) = self.shards.get_mut(&shard) {
            holding.open = holding.open.saturating_sub(1);
        }
    }

    /// Counts a request that the upstream may still work on until `until`.
    pub(crate) fn end_unanswered(&mut self, shard: Shard, until: Tick) {
        self.end(shard);
        if let Some(holding) = self.shards.get_mut(&shard) {
            holding.doubt = holding.doubt.max(until);
            holding.unanswered = true;
        }
    }

    /// Whether a started request of the shard may be handed to a connection now.
    pub(crate) fn check_write(&self, shard: Shard) -> bool {
        matches!(
            self.state(shard),
            ShardState::Serving | ShardState::Releasing
        )
    }

    /// The shards that the grant sent at `now` names. Empty while grants are stopped.
    pub fn renew_grant(&mut self, now: Tick) -> Vec<Shard> {
        if self.stopped {
            return Vec::new();
        }
        let named = self.shards.iter_mut().filter(|(_, h)| match h.state {
            ShardState::Serving => true,
            ShardState::Releasing => h.open > 0 && !h.unanswered,
            ShardState::Released | ShardState::Awaiting | ShardState::Relaying => false,
        });
        named
            .map(|(&shard, holding)| {
                holding.granted = now.after(GRANT_VALIDITY_MAX);
                shard
            })
            .collect()
    }

    /// Sends no more grants, because the upstream is lost.
    pub fn stop_grants(&mut self) {
        self.stopped = true;
    }

    /// Sends grants again.
    pub fn resume_grants(&mut self) {
        self.stopped = false;
    }

    /// Completes the releases for which proof exists, without their records. Each is to be sent
    /// until the new owner's dispatcher acknowledges it.
    pub fn poll(&mut self, now: Tick) -> Vec<Release> {
        let ready: Vec<Shard> = self
            .releasing()
            .filter(|&(_, h)| self.proven_at(h) <= now)
            .map(|(shard, _)| shard)
            .collect();
        let release = |shard| {
            let holding = self.step(shard, ShardEvent::Proven).ok()?;
            let (to, revision) = holding.to.clone()?;
            holding.unanswered = false;
            Some(Release {
                shard,
                to,
                revision,
                handover: Handover {
                    since: holding.since,
                    records: Vec::new(),
                },
            })
        };
        ready.into_iter().filter_map(release).collect()
    }

    /// The earliest tick at which [`Ownership::poll`] may complete a release without another event.
    pub fn next_wake(&self) -> Option<Tick> {
        self.releasing().map(|(_, h)| self.proven_at(h)).min()
    }

    fn releasing(&self) -> impl Iterator<Item = (Shard, &Holding)> {
        let shards = self.releasing.iter();
        shards.filter_map(|shard| Some((*shard, self.shards.get(shard)?)))
    }

    /// When proof exists if no further request is answered.
    fn proven_at(&self, holding: &Holding) -> Tick {
        match self.proof {
            _ if !self.wait => Tick::default(),
            Proof::Deadline if holding.open == 0 => holding.doubt,
            Proof::Deadline => holding.horizon,
            Proof::Grant if holding.open == 0 && !holding.unanswered => Tick::default(),
            Proof::Grant => holding.granted,
        }
    }
}
