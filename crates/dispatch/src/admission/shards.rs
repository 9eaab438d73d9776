//! Ownership changes that also affect queued requests.

use smallvec::SmallVec;
use trefoil_core::{Outcome, Revision, Shard, Tick, UpstreamName};

use super::Admission;
use crate::memory::Handover;
use crate::queue::PriorRun;
use crate::{
    Actions, Dropped, Origin, Ownership, OwnershipError, Release, ShardState, ShedReason, TicketId,
};

impl Admission {
    /// Returns the ownership of shards at this upstream.
    pub fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Assigns a shard to this upstream, see [`Ownership::assign`].
    ///
    /// # Errors
    ///
    /// Fails if the shard is owned here already or is being released.
    pub fn assign(
        &mut self,
        now: Tick,
        shard: Shard,
        origin: Origin,
    ) -> Result<(), OwnershipError> {
        self.ownership.assign(now, self.wall.at(now), shard, origin)
    }

    /// Applies the release of a shard by its previous owner, see [`Ownership::receive_release`].
    ///
    /// Requests that were held for it become ready, except those whose ids the previous owner has
    /// recorded and non-idempotent ones whose ids the outcome memory does not cover.
    ///
    /// # Errors
    ///
    /// Fails if the shard does not await this release.
    pub fn receive_release(
        &mut self,
        now: Tick,
        shard: Shard,
        revision: Revision,
        handover: Handover,
    ) -> Result<Actions, OwnershipError> {
        let state = self
            .ownership
            .receive_release(shard, revision, handover.since)?;
        self.memory.import(now, shard, handover.records);
        let mut actions = Actions::default();
        if state == ShardState::Serving {
            for id in self.queue.ids(Some(shard)) {
                actions.dropped.extend(self.recheck(now, id));
            }
            self.queue.make_ready(shard);
            self.start_ready(now, &mut actions);
        }
        Ok(actions)
    }

    /// Looks up a held request in the outcome memory again after the release of its shard has
    /// arrived.
    fn recheck(&mut self, now: Tick, id: TicketId) -> Option<Dropped> {
        let queued = self.queue.get_mut(id)?;
        let request = &queued.request;
        let since = self.ownership.serving_since(request.shard);
        let covered = match &request.id {
            Some(id) => self.memory.covers(now, id, since),
            None => true,
        };
        match self.memory.record(request) {
            // The previous owner recorded it as unknown, for example when its upstream was lost.
            Some((record, true)) if record.outcome == Outcome::Unknown && request.idempotent => {
                self.memory.begin(request);
                queued.prior_run = PriorRun::Attempt;
                None
            }
            // A record with another digest is no evidence about this request.
            Some((record, same)) => {
                self.queue.remove(id);
                let reason = ShedReason::Duplicate;
                let outcome = if same {
                    record.outcome
                } else {
                    reason.outcome()
                };
                Some(Dropped {
                    id,
                    reason,
                    outcome,
                })
            }
            None if !covered && !request.idempotent => {
                self.drop_queued(now, id, ShedReason::NotCovered)
            }
            None if covered && queued.prior_run == PriorRun::Copy => {
                queued.prior_run = PriorRun::None;
                None
            }
            None => None,
        }
    }

    /// Returns the releases for which proof exists, with the records of their shards.
    pub(super) fn releases(&mut self, now: Tick) -> Vec<Release> {
        let mut releases = self.ownership.poll(now);
        for release in &mut releases {
            let since = release.handover.since;
            release.handover = self.memory.export(now, release.shard, since);
        }
        releases
    }

    /// Stops admissions for a shard that moves to another upstream, see [`Ownership::revoke`]. Its
    /// queued requests are handed back as [`ShedReason::Moved`]; its running requests finish.
    ///
    /// # Errors
    ///
    /// Fails if the shard is not owned here.
    pub fn revoke(
        &mut self,
        now: Tick,
        shard: Shard,
        to: UpstreamName,
        revision: Revision,
    ) -> Result<SmallVec<[Dropped; 4]>, OwnershipError> {
        self.ownership.revoke(shard, to, revision)?;
        let queued = self.queue.ids(Some(shard));
        let moved = |id| self.drop_queued(now, id, ShedReason::Moved);
        Ok(queued.into_iter().filter_map(moved).collect())
    }

    /// Returns the shards of the grant that is sent at `now`, see [`Ownership::renew_grant`].
    pub fn renew_grant(&mut self, now: Tick) -> Vec<Shard> {
        self.ownership.renew_grant(now)
    }
}
