//! Queue of admitted requests, ordered by deadline.
//!
//! Earliest deadline first meets every deadline if any order does. Its weakness is overload:
//! without admission control it spends the slots on requests that are about to expire. Admission
//! therefore sheds a request that would expire itself or would make an admitted one expire, see
//! [`crate::admission`].
//!
//! Requests for shards that await their release are held apart from the ready ones and count
//! towards the same bound.

use std::collections::{BTreeMap, HashMap};

use trefoil_core::{Shard, Tick};

use crate::{Request, TicketId};

/// Position of a request in the queue: its deadline, and its id among equal deadlines.
type QueueKey = (Tick, TicketId);

/// A queued request.
#[derive(Debug)]
pub(crate) struct Queued {
    pub(crate) request: Request,
    pub(crate) prior_run: PriorRun,
}

/// Possible earlier execution of a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PriorRun {
    /// The request has not run.
    None,
    /// The outcome memory does not cover its id, so another copy may have run. A dispatcher that
    /// receives the request next decides again.
    Copy,
    /// An attempt or copy under this dispatcher ended unknown, which must stay recorded.
    Attempt,
}

#[derive(Debug, Default)]
pub(crate) struct Queue {
    ready: BTreeMap<QueueKey, Queued>,
    held: BTreeMap<QueueKey, Queued>,
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
        let key = (queued.request.deadline, id);
        self.deadlines.insert(id, key.0);
        let queue = if held {
            &mut self.held
        } else {
            &mut self.ready
        };
        queue.insert(key, queued);
    }

    /// Removes the ready request with the earliest deadline.
    pub(crate) fn pop(&mut self) -> Option<(TicketId, Queued)> {
        let ((_, id), queued) = self.ready.pop_first()?;
        self.deadlines.remove(&id);
        Some((id, queued))
    }

    pub(crate) fn remove(&mut self, id: TicketId) -> Option<Queued> {
        let key = (self.deadlines.remove(&id)?, id);
        self.ready.remove(&key).or_else(|| self.held.remove(&key))
    }

    pub(crate) fn get_mut(&mut self, id: TicketId) -> Option<&mut Queued> {
        let key = (*self.deadlines.get(&id)?, id);
        let held = &mut self.held;
        self.ready.get_mut(&key).or_else(|| held.get_mut(&key))
    }

    /// Returns the deadlines of the ready requests, earliest first.
    pub(crate) fn deadlines(&self) -> impl Iterator<Item = Tick> {
        self.ready.keys().map(|&(deadline, _)| deadline)
    }

    /// Removes a request whose deadline has passed.
    pub(crate) fn pop_expired(&mut self, now: Tick) -> Option<(TicketId, Queued)> {
        let first = self.first()?;
        (first.0 <= now).then(|| self.remove(first.1).map(|q| (first.1, q)))?
    }

    /// Returns the earliest deadline of all requests.
    pub(crate) fn first_deadline(&self) -> Option<Tick> {
        self.first().map(|(deadline, _)| deadline)
    }

    fn first(&self) -> Option<QueueKey> {
        let firsts = [&self.ready, &self.held].map(|q| q.keys().next().copied());
        firsts.into_iter().flatten().min()
    }

    /// Returns the ids of the queued requests of a shard, or of all shards, earliest deadline
    /// first.
    pub(crate) fn ids(&self, shard: Option<Shard>) -> Vec<TicketId> {
        let all = self.ready.iter().chain(&self.held);
        let wanted = all.filter(|(_, q)| shard.is_none_or(|s| q.request.shard == s));
        let mut keys: Vec<QueueKey> = wanted.map(|(&key, _)| key).collect();
        keys.sort_unstable();
        keys.into_iter().map(|(_, id)| id).collect()
    }

    /// Makes the held requests of a shard ready.
    pub(crate) fn make_ready(&mut self, shard: Shard) {
        let opened = self.held.extract_if(.., |_, q| q.request.shard == shard);
        self.ready.extend(opened);
    }
}
