//! Request ids in flight and recent outcomes.
//!
//! A non-idempotent request runs at most once, so the dispatcher must recognise a repeat. It
//! remembers each id from its admission until [`RETENTION`] after its outcome, and at most [`CAPACITY`]
//! ids. Ids in flight are never forgotten: they are at most half of the capacity, and a request
//! above that is shed. The other half always has room for the outcome of a request that is shed.
//!
//! # Not-run outcomes are recorded too
//!
//! It looks attractive to forget an id whose request did not run, so that the caller can repeat it
//! under the same id. But two copies of a request can be on their way at once. If the second copy
//! is shed, the caller is told "not run"; if the first copy then arrives late and runs, that
//! statement was untrue. So the record stays, and a caller that was told "not run" repeats the
//! request under a new id. Requests that are passed to another owner got no final answer and are
//! forgotten with [`OutcomeMemory::forget`].
//!
//! # Ids the memory cannot know
//!
//! A `UUIDv7` id says when it was minted. An id that is not in the memory is new only if the memory
//! would still hold it had it been seen. It is answered unknown and not run if it was minted
//! - before the tenure began plus [`CLOCK_SKEW_MAX`]: a predecessor may have run it;
//! - at or before the latest mint time among the ids that were evicted; or
//! - more than [`RETENTION`] ago.
//!
//! The tenure is that of this dispatcher *over the shard at this upstream*. A shard that moves from
//! another upstream brings ids that only the previous dispatcher knows. If its tenure began with the
//! move, every non-idempotent request whose id was minted before would be answered unknown. The
//! release of a shard therefore carries a [`Handover`]: the records of the shard and the time since
//! which they are complete. The new owner continues the tenure of the old one. A handover of more
//! than [`HANDOVER_MAX`] records is left empty, and the tenure begins anew.
//!
//! The rule assumes that the wall clocks of callers and hosts differ by less than [`CLOCK_SKEW_MAX`]. A
//! dispatcher whose clock is further behind would take ids for new that its predecessor may have run,
//! so the driver must not start a tenure while its clock disagrees with those of its peers.
//!
//! An id minted more than [`CLOCK_SKEW_MAX`] in the future is answered unknown too. Once evicted, it
//! would raise the bound above the present and cause every request of every caller to be answered
//! unknown.
//!
//! The rule keeps non-idempotent requests from running. An idempotent request with such an id runs,
//! since a second execution does no harm and an unknown answer after each takeover would. But it is
//! admitted with a doubt: if it is shed or refused, its caller is told "unknown", because an earlier
//! copy may have run under a predecessor.
//!
//! # Repeats
//!
//! A repeat of an id in flight is answered at once as in flight. Waiting for the first copy would
//! need an unbounded list of waiters and a copy of the answer for each of them. A repeat of a
//! finished id gets its [`Record`], which has the status but not the body of the answer: bodies of
//! up to 8 MiB for 65,536 ids do not fit a host. The exception is an idempotent request whose outcome
//! is unknown: it runs again, since retries under one id must remain possible after the loss of an
//! upstream, whose records go to the standby. An id that comes with another digest is a conflict
//! and is refused. Ids are compared as text, so two spellings of one UUID are two ids.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use trefoil_core::{Outcome, RequestId, Shard, Tick, UnixMillis};

use crate::mechanism::{Disabled, Mechanism};
use crate::{Digest, Record, Request};

/// Most ids that are remembered for one upstream.
pub const CAPACITY: usize = 65_536;

/// Longest time for which an outcome is remembered.
pub const RETENTION: Duration = Duration::from_mins(10);

/// Largest difference between the wall clocks of a caller and a dispatcher that the rule for
/// `UUIDv7` ids covers.
pub const CLOCK_SKEW_MAX: Duration = Duration::from_secs(1);

/// A wall clock time at a tick, from which the wall clock time of other ticks follows. A jump of
/// the wall clock during the tenure does not change what the memory covers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WallClock {
    /// The tick.
    pub tick: Tick,
    /// The wall clock time at that tick.
    pub unix: UnixMillis,
}

impl WallClock {
    /// The wall clock time at `tick`; that of the origin for an earlier tick.
    pub fn at(self, tick: Tick) -> UnixMillis {
        self.unix + millis(tick.since(self.tick))
    }
}

fn millis(span: Duration) -> UnixMillis {
    UnixMillis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}

/// Most records in a handover, so that it fits one frame of 1 MiB.
pub const HANDOVER_MAX: usize = 4096;

/// What the new owner of a shard learns about the shard's ids.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The records are complete for ids minted at least [`CLOCK_SKEW_MAX`] after this time.
    pub since: UnixMillis,
    /// Ids that were seen, and what became of them.
    pub records: Vec<(RequestId, Digest, Record)>,
}

/// What the memory knows of a request.
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
    /// A request with this id may have run: the memory does not cover it.
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
    /// Latest mint time of an id that was evicted.
    evicted: Option<UnixMillis>,
    disabled: Disabled,
}

impl OutcomeMemory {
    /// An empty memory of a tenure that began at `wall`.
    pub fn new(wall: WallClock) -> Self {
        Self::with_capacity(wall, CAPACITY)
    }

    /// A memory for fewer ids than [`CAPACITY`]; at least 2.
    pub fn with_capacity(wall: WallClock, capacity: usize) -> Self {
        Self {
            entries: HashMap::new(),
            finished: VecDeque::new(),
            capacity: capacity.clamp(2, CAPACITY),
            wall,
            evicted: None,
            disabled: Disabled::default(),
        }
    }

    pub(crate) fn disable(&mut self, disabled: Disabled) {
        self.disabled = disabled;
    }

    /// Number of remembered ids.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of ids in flight.
    pub fn in_flight(&self) -> usize {
        self.entries.len() - self.finished.len()
    }

    /// What is known of `request`, whose shard this dispatcher has served here since `tenure`. While
    /// the shard waits for its release, there is no tenure yet, and the driver asks
    /// [`OutcomeMemory::covers`] when the release arrives.
    pub fn look_up(&mut self, now: Tick, request: &Request, tenure: Option<UnixMillis>) -> Lookup {
        self.expire(now);
        if self.disabled.has(Mechanism::Memory) {
            return Lookup::New;
        }
        let Some(id) = &request.id else {
            return Lookup::New;
        };
        let known = self.entries.get(id);
        match known.map(|e| (e.digest == request.digest, e.record)) {
            Some((false, _)) => Lookup::Conflict,
            Some((true, Some(record)))
                if record.outcome == Outcome::Unknown && request.idempotent =>
            {
                Lookup::Retriable
            }
            Some((true, Some(record))) => Lookup::Finished(record),
            Some((true, None)) => Lookup::InFlight,
            None if self.is_future(now, id) => Lookup::MintedInFuture,
            None if !self.covers(now, id, tenure) => Lookup::NotCovered,
            None => Lookup::New,
        }
    }

    /// Whether as many ids are in flight as may be. The other half of the capacity is for outcomes.
    pub fn is_full(&self) -> bool {
        self.in_flight() >= self.capacity / 2
    }

    fn is_future(&self, now: Tick, id: &RequestId) -> bool {
        let latest = self.wall.at(now) + millis(CLOCK_SKEW_MAX);
        id.minted_at().is_some_and(|minted| minted > latest)
    }

    /// Whether the memory would know `id` if it had been seen before. Ids that are not `UUIDv7`
    /// count as covered, since nothing is known of their age.
    pub fn covers(&self, now: Tick, id: &RequestId, tenure: Option<UnixMillis>) -> bool {
        let off = self.disabled.has(Mechanism::MintRule);
        id.minted_at().is_none_or(|minted| {
            let served = tenure.is_none_or(|began| minted >= began + millis(CLOCK_SKEW_MAX));
            let kept = self.evicted.is_none_or(|latest| minted > latest);
            let recent = minted + millis(RETENTION) >= self.wall.at(now);
            off || served && kept && recent
        })
    }

    /// Remembers the id of a request that is admitted.
    pub fn begin(&mut self, request: &Request) {
        let on = !self.disabled.has(Mechanism::Memory);
        if let Some(id) = request.id.as_ref().filter(|_| on) {
            self.make_room();
            let entry = Entry {
                shard: request.shard,
                digest: request.digest,
                record: None,
            };
            if self.entries.insert(id.clone(), entry).is_some() {
                // An idempotent request runs again after an unknown outcome, which is rare enough
                // for a search.
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

    /// Forgets the id of a request in flight that did not run here and got no final answer.
    pub fn forget(&mut self, request: &Request) {
        if let Some(id) = &request.id
            && self.entries.get(id).is_some_and(|e| e.record.is_none())
        {
            self.entries.remove(id);
        }
    }

    /// The records of a shard that has been served here since `since`.
    ///
    /// A request that is still open has been waited out, and its outcome is unknown.
    pub fn export(&self, now: Tick, shard: Shard, since: UnixMillis) -> Handover {
        let evicted = self.evicted.map_or(0, |latest| latest.0 + 1);
        let kept = UnixMillis(evicted.saturating_sub(millis(CLOCK_SKEW_MAX).0));
        let on = !self.disabled.has(Mechanism::Handover);
        let entries = self.entries.iter().filter(|(_, e)| e.shard == shard && on);
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
            since: since.max(kept),
            records,
        }
    }

    /// Takes in the records of a shard. The record of an id that is in flight here becomes final,
    /// and the driver of this memory must not start its request.
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

    /// The final record of a request's id, and whether it is of the same request.
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

    /// Forgets the oldest outcome, and says whether there was one.
    fn evict(&mut self) -> bool {
        let Some((_, id)) = self.finished.pop_front() else {
            return false;
        };
        self.entries.remove(&id);
        self.evicted = self.evicted.max(id.minted_at());
        true
    }
}
