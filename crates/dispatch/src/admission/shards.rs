//! Steps of ownership that also concern queued requests.

use smallvec::SmallVec;
use trefoil_core::{Revision, Shard, Tick, UpstreamName};

use super::Admission;
use crate::{Actions, Dropped, Hold, Origin, Ownership, OwnershipError, Request, Shed};

impl Admission {
    /// Ownership of shards at this upstream.
    pub fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Gives a shard to this upstream, see [`Ownership::assign`].
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

    /// Takes in the release of a shard by its previous owner, see [`Ownership::receive`]. Requests
    /// that were held for it become startable, but for non-idempotent ones whose ids the outcome
    /// memory turns out not to cover.
    ///
    /// # Errors
    ///
    /// Fails if the shard does not wait for this release.
    pub fn receive(
        &mut self,
        now: Tick,
        shard: Shard,
        revision: Revision,
    ) -> Result<Actions, OwnershipError> {
        let unix = self.wall.at(now);
        let mut actions = Actions::default();
        if self.ownership.receive(unix, shard, revision)? == Hold::Serving {
            let since = self.ownership.serving_since(shard);
            for id in self.queue.ids(Some(shard)) {
                let covered = |r: &Request| {
                    let covers = |id| self.memory.covers(now, id, since);
                    r.id.as_ref().is_none_or(covers)
                };
                match self.queue.get_mut(id) {
                    Some(queued) if covered(&queued.request) => queued.doubt = false,
                    Some(queued) if queued.request.idempotent => {}
                    _ => actions
                        .dropped
                        .extend(self.drop_queued(now, id, Shed::Forgotten)),
                }
            }
            self.queue.unhold(shard);
            self.start_ready(now, &mut actions);
        }
        Ok(actions)
    }

    /// Stops admissions for a shard that goes to another upstream, see [`Ownership::revoke`]. Its
    /// queued requests are handed back as [`Shed::Moved`]; its running requests finish.
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
        let moved = |id| self.drop_queued(now, id, Shed::Moved);
        Ok(queued.into_iter().filter_map(moved).collect())
    }

    /// The shards that the grant sent at `now` names, see [`Ownership::renew`].
    pub fn renew(&mut self, now: Tick) -> Vec<Shard> {
        self.ownership.renew(now)
    }
}
