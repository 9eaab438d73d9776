//! Queue of admitted requests, ordered by deadline.
//!
//! Earliest deadline first meets every deadline whenever some order does. Its weakness is overload:
//! without admission control it spends the slots on requests that are about to expire. Admission
//! therefore sheds a request that would expire itself or would make an admitted one expire, see
//! [`crate::admission`].
//!
//! Requests for shards that wait for their release are held apart and count towards the bound.

use std::collections::{BTreeMap, HashMap};

use trefoil_core::{Shard, Tick};

use crate::{Request, TicketId};

type Order = (Tick, TicketId);

/// A queued request.
#[derive(Debug)]
pub(crate) struct Queued {
    pub(crate) request: Request,
    pub(crate) doubt: Doubt,
}

/// Why a queued request may have run before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Doubt {
    /// It has not.
    None,
    /// The outcome memory does not cover its id, so another copy may have run. Whoever receives the
    /// request next decides anew.
    Copy,
    /// An attempt or copy under this dispatcher ended unknown, which must stay on record.
    Attempt,
}

#[derive(Debug, Default)]
pub(crate) struct Queue {
    ready: BTreeMap<Order, Queued>,
    held: BTreeMap<Order, Queued>,
    deadlines: HashMap<TicketId, Tick>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.deadlines.len()
    }

    pub(crate) fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    pub(crate) fn push(&mut self, id: TicketId, queued: Queued, held: bool) {
        let order = (queued.request.deadline, id);
        self.deadlines.insert(id, order.0);
        let queue = if held {
            &mut self.held
        } else {
            &mut self.ready
        };
        queue.insert(order, queued);
    }

    /// Takes out the startable request with the earliest deadline.
    pub(crate) fn pop(&mut self) -> Option<(TicketId, Queued)> {
        let ((_, id), queued) = self.ready.pop_first()?;
        self.deadlines.remove(&id);
        Some((id, queued))
    }

    pub(crate) fn remove(&mut self, id: TicketId) -> Option<Queued> {
        let order = (self.deadlines.remove(&id)?, id);
        self.ready
            .remove(&order)
            .or_else(|| self.held.remove(&order))
    }

    pub(crate) fn get_mut(&mut self, id: TicketId) -> Option<&mut Queued> {
        let order = (*self.deadlines.get(&id)?, id);
        let held = &mut self.held;
        self.ready.get_mut(&order).or_else(|| held.get_mut(&order))
    }

    /// Deadlines of the startable requests, earliest first.
    pub(crate) fn deadlines(&self) -> impl Iterator<Item = Tick> {
        self.ready.keys().map(|&(deadline, _)| deadline)
    }

    /// Takes out a request whose deadline has come.
    pub(crate) fn pop_expired(&mut self, now: Tick) -> Option<(TicketId, Queued)> {
        let first = self.first()?;
        (first.0 <= now).then(|| self.remove(first.1).map(|q| (first.1, q)))?
    }

    /// Earliest deadline of all requests.
    pub(crate) fn first_deadline(&self) -> Option<Tick> {
        self.first().map(|(deadline, _)| deadline)
    }

    fn first(&self) -> Option<Order> {
        let firsts = [&self.ready, &self.held].map(|q| q.keys().next().copied());
        firsts.into_iter().flatten().min()
    }

    /// Ids of the queued requests of a shard, or of all shards, earliest deadline first.
    pub(crate) fn ids(&self, shard: Option<Shard>) -> Vec<TicketId> {
        let all = self.ready.iter().chain(&self.held);
        let wanted = all.filter(|(_, q)| shard.is_none_or(|s| q.request.shard == s));
        let mut orders: Vec<Order> = wanted.map(|(&order, _)| order).collect();
        orders.sort_unstable();
        orders.into_iter().map(|(_, id)| id).collect()
    }

    /// Makes the held requests of a shard startable.
    pub(crate) fn unhold(&mut self, shard: Shard) {
        let opened = self.held.extract_if(.., |_, q| q.request.shard == shard);
        self.ready.extend(opened);
    }
}
