//! Request ids in flight and recent outcomes.
//!
//! A non-idempotent request runs at most once, so the dispatcher must recognise a duplicate. It
//! remembers each id from its admission until [`RETENTION`] after its outcome, and at most
//! [`CAPACITY`] ids. Ids in flight are never evicted. They may take half of the capacity; a request
//! beyond that is shed. The other half always has room for the outcome of a request that is shed.
//!
//! # Not-run outcomes are recorded too
//!
//! An id whose request did not run could be removed, so that the caller can retry under the same
//! id. This is unsafe, because two copies of a request can be in transit at once. If the second
//! copy is shed, the caller receives "not run"; if the first copy then arrives late and runs, that
//! answer was false. The record therefore stays, and a caller that received "not run" retries under
//! a new id. Requests that are passed to another owner got no final answer and are removed with
//! [`OutcomeMemory::forget`].
//!
//! # Ids that the memory does not cover
//!
//! A `UUIDv7` id contains the time at which it was minted. An id that is not in the memory is new
//! only if the memory would still hold it had it been seen. The request is not run and its outcome
//! is unknown if the id was minted
//!
//! - before the start of service plus [`CLOCK_SKEW_MAX`]: a predecessor may have run it;
//! - at or before the latest mint time among the ids that were evicted; or
//! - more than [`RETENTION`] ago.
//!
//! The start of service is the time since which the ids of the *shard at this upstream* are
//! recorded. A shard that moves from another upstream has ids that only the previous dispatcher has
//! recorded. If its service started with the move, every non-idempotent request whose id was minted
//! before would get an unknown outcome. The release of a shard therefore carries a [`Handover`]:
//! the records of the shard and the time since which they are complete. The new owner continues
//! from that time. A handover of more than [`HANDOVER_MAX`] records is left empty, and service
//! starts with the move.
//!
//! The rule assumes that the wall clocks of callers and hosts differ by less than
//! [`CLOCK_SKEW_MAX`]. A dispatcher whose clock is further behind would take ids for new that its
//! predecessor may have run, so the driver must not take over an upstream while its clock disagrees
//! with those of its peers.
//!
//! An id minted more than [`CLOCK_SKEW_MAX`] in the future gets an unknown outcome too. Once
//! evicted, it would raise the bound above the present and make the outcome of every request of
//! every caller unknown.
//!
//! The rule keeps non-idempotent requests from running. An idempotent request with such an id runs:
//! a second execution does no harm, and an unknown outcome after each takeover would. But its
//! earlier execution is not ruled out, so if it is shed or refused its caller receives "unknown".
//!
//! # Duplicates
//!
//! A duplicate of an id in flight is answered immediately as in flight. Waiting for the first copy
//! would need an unbounded list of waiters and a copy of the answer for each of them. A duplicate
//! of a finished id gets its [`Record`], which has the status but not the body of the answer:
//! bodies of up to 8 MiB for 65,536 ids do not fit a host. The exception is an idempotent request
//! whose outcome is unknown: it runs again, since retries under one id must remain possible after
//! the loss of an upstream, whose records go to the standby. An id that arrives with another digest
//! is a conflict and is refused. Ids are compared as text, so two spellings of one UUID are two
//! ids.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use trefoil_core::{Outcome, RequestId, Shard, Tick, UnixMillis};

use crate::mechanism::{Disabled, Mechanism};
use crate::{Digest, Record, Request};

/// Maximum number of ids that are remembered for one upstream.
pub const CAPACITY: usize = 65_536;

/// Maximum time for which an outcome is remembered.
pub const RETENTION: Duration = Duration::from_mins(10);

/// Largest difference between the wall clocks of a caller and a dispatcher that the rule for
/// `UUIDv7` ids covers.
pub const CLOCK_SKEW_MAX: Duration = Duration::from_secs(1);

/// Wall clock time at one tick, from which that of other ticks is derived. A jump of the wall clock
/// after that tick does not change the ids that the memory covers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WallClock {
    /// The tick.
    pub tick: Tick,
    /// The wall clock time at that tick.
    pub unix: UnixMillis,
}

impl WallClock {
    /// Returns the wall clock time at `tick`, or at the origin if `tick` is earlier.
    pub fn at(self, tick: Tick) -> UnixMillis {
        self.unix + millis(tick.since(self.tick))
    }
}

fn millis(span: Duration) -> UnixMillis {
    UnixMillis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}

/// Maximum number of records in a handover, so that it fits one frame of 1 MiB.
pub const HANDOVER_MAX: usize = 4096;

/// Records of a shard's ids, passed to the new owner of the shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The records are complete for ids minted at least [`CLOCK_SKEW_MAX`] after this time.
    pub since: UnixMillis,
    /// Recorded ids with their digests and outcomes.
    pub records: Vec<(RequestId, Digest, Record)>,
}

/// Result of [`OutcomeMemory::look_up`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lookup {
    /// The request has no id, or its id was certainly not seen before.
    New,
    /// A request with this id is queued or running.
    InFlight,
    /// A request with this id has finished.
    Finished(Record),
    /// An idempotent request with this id may have run, and can run again.
    Retriable,
    /// Another request was seen under this id.
    Conflict,
    /// The memory does not cover the id, so a request with it may have run.
    NotCovered,
    /// The id was minted in the future and must not be recorded.
    MintedInFuture,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    shard: Shard,
    digest: Digest,
    record: Option<Record>,
}

/// Ids in flight and recent outcomes at one upstream.
#[derive(Debug)]
pub struct OutcomeMemory {
    entries: HashMap<RequestId, Entry>,
    finished: VecDeque<(Tick, RequestId)>,
    capacity: usize,
    wall: WallClock,
    /// Latest mint time of an evicted id.
    evicted_mint: Option<UnixMillis>,
    disabled: Disabled,
}

impl OutcomeMemory {
    /// Creates an empty memory for a dispatcher that takes over at `wall`.
    pub fn new(wall: WallClock) -> Self {
        Self::with_capacity(wall, CAPACITY)
    }

    /// Creates a memory for at most `capacity` ids, limited to 2 to [`CAPACITY`].
    pub fn with_capacity(wall: WallClock, capacity: usize) -> Self {
        Self {
            entries: HashMap::new(),
            finished: VecDeque::new(),
            capacity: capacity.clamp(2, CAPACITY),
            wall,
            evicted_mint: None,
            disabled: Disabled::default(),
        }
    }

    pub(crate) fn disable(&mut self, disabled: Disabled) {
        self.disabled = disabled;
    }

    /// Returns the number of remembered ids.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of ids in flight.
    pub fn in_flight(&self) -> usize {
        self.entries.len() - self.finished.len()
    }

    /// Looks up `request`, whose shard is served here since `served_since`. While the shard awaits
    /// its release, that time is not known, and the driver calls [`OutcomeMemory::covers`] when the
    /// release arrives.
    pub fn look_up(
        &mut self,
        now: Tick,
        request: &Request,
        served_since: Option<UnixMillis>,
    ) -> Lookup {
        self.expire(now);
        if self.disabled.has(Mechanism::Memory) {
            return Lookup::New;
        }
        let Some(id) = &request.id else {
            return Lookup::New;
        };
        let entry = self.entries.get(id);
        match entry.map(|e| (e.digest == request.digest, e.record)) {
            Some((false, _)) => Lookup::Conflict,
            Some((true, Some(record)))
                if record.outcome == Outcome::Unknown && request.idempotent =>
            {
                Lookup::Retriable
            }
            Some((true, Some(record))) => Lookup::Finished(record),
            Some((true, None)) => Lookup::InFlight,
            None if self.is_future(now, id) => Lookup::MintedInFuture,
            None if !self.covers(now, id, served_since) => Lookup::NotCovered,
            None => Lookup::New,
        }
    }

    /// Returns true if half of the capacity is in flight. The other half is reserved for outcomes.
    pub fn is_full(&self) -> bool {
        self.in_flight() >= self.capacity / 2
    }

    fn is_future(&self, now: Tick, id: &RequestId) -> bool {
        let latest = self.wall.at(now) + millis(CLOCK_SKEW_MAX);
        id.minted_at().is_some_and(|minted| minted > latest)
    }

    /// Returns true if the memory would hold `id` had it been seen before. Ids that are not
    /// `UUIDv7` count as covered, since their age is unknown.
    pub fn covers(&self, now: Tick, id: &RequestId, served_since: Option<UnixMillis>) -> bool {
        let disabled = self.disabled.has(Mechanism::MintRule);
        id.minted_at().is_none_or(|minted| {
            let served = served_since.is_none_or(|start| minted >= start + millis(CLOCK_SKEW_MAX));
            let kept = self.evicted_mint.is_none_or(|latest| minted > latest);
            let recent = minted + millis(RETENTION) >= self.wall.at(now);
            disabled || served && kept && recent
        })
    }

    /// Records the id of an admitted request as in flight.
    pub fn begin(&mut self, request: &Request) {
        let enabled = !self.disabled.has(Mechanism::Memory);
        if let Some(id) = request.id.as_ref().filter(|_| enabled) {
            self.make_room();
            let entry = Entry {
                shard: request.shard,
                digest: request.digest,
                record: None,
            };
            if self.entries.insert(id.clone(), entry).is_some() {
                // A rerun of an idempotent request after an unknown outcome. It is rare enough for
                // a linear search.
                self.finished.retain(|(_, other)| other != id);
            }
        }
    }

    /// Records the outcome of a request in flight. Requests without an id have no record.
    pub fn finish(&mut self, now: Tick, request: &Request, record: Record) {
        let entry = request.id.as_ref().and_then(|id| self.entries.get_mut(id));
        match (entry, &request.id) {
            (Some(entry), Some(id)) if entry.record.is_none() => {
                entry.record = Some(record);
                self.finished.push_back((now, id.clone()));
            }
            _ => {}
        }
    }

    /// Removes the id of a request in flight that did not run here and got no final answer.
    pub fn forget(&mut self, request: &Request) {
        if let Some(id) = &request.id
            && self.entries.get(id).is_some_and(|e| e.record.is_none())
        {
            self.entries.remove(id);
        }
    }

    /// Returns the records of a shard that has been served here since `since`.
    ///
    /// A request without an outcome can no longer run, and its outcome is exported as unknown.
    pub fn export(&self, now: Tick, shard: Shard, since: UnixMillis) -> Handover {
        let evicted = self.evicted_mint.map_or(0, |latest| latest.0 + 1);
        let complete = UnixMillis(evicted.saturating_sub(millis(CLOCK_SKEW_MAX).0));
        let enabled = !self.disabled.has(Mechanism::Handover);
        let entries = self
            .entries
            .iter()
            .filter(|(_, e)| e.shard == shard && enabled);
        let unknown = Record::of(Outcome::Unknown);
        let mut records: Vec<_> = entries
            .map(|(id, e)| (id.clone(), e.digest, e.record.unwrap_or(unknown)))
            .take(HANDOVER_MAX + 1)
            .collect();
        if records.len() > HANDOVER_MAX {
            return Handover {
                since: self.wall.at(now),
                records: Vec::new(),
            };
        }
        records.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        Handover {
            since: since.max(complete),
            records,
        }
    }

    /// Adds the records of a shard. The record of an id that is in flight here becomes final, and
    /// the driver of this memory must not start its request.
    pub fn import(&mut self, now: Tick, shard: Shard, records: Vec<(RequestId, Digest, Record)>) {
        for (id, digest, record) in records {
            if self.entries.get(&id).is_some_and(|e| e.record.is_some()) {
                continue;
            }
            self.make_room();
            let entry = Entry {
                shard,
                digest,
                record: Some(record),
            };
            self.entries.insert(id.clone(), entry);
            self.finished.push_back((now, id));
        }
    }

    /// Returns the final record of a request's id, with true if the digests are equal.
    pub fn record(&self, request: &Request) -> Option<(Record, bool)> {
        let entry = self.entries.get(request.id.as_ref()?)?;
        Some((entry.record?, entry.digest == request.digest))
    }

    fn make_room(&mut self) {
        while self.entries.len() >= self.capacity && self.evict() {}
    }

    fn expire(&mut self, now: Tick) {
        while self
            .finished
            .front()
            .is_some_and(|&(at, _)| now.since(at) >= RETENTION)
        {
            self.evict();
        }
    }

    /// Removes the oldest outcome and returns true if there was one.
    fn evict(&mut self) -> bool {
        let Some((_, id)) = self.finished.pop_front() else {
            return false;
        };
        self.entries.remove(&id);
        self.evicted_mint = self.evicted_mint.max(id.minted_at());
        true
    }
}
