//! Admission of requests to one upstream.
//!
//! The dispatcher is the only process that sends to its upstream, so this is the one place where the
//! slots of the upstream can be counted. [`Admission`] combines the parts that decide about a
//! request: the outcome memory, the ownership of its shard, the queue, the adaptive limit and the
//! retry budget. It performs no I/O. Its driver offers requests, sends the started ones, reports
//! what happened, and calls [`Admission::poll`] at [`Admission::next_wake`].
//!
//! # Slots
//!
//! At its deadline a running request is named in [`Actions::expired`], and its caller is told
//! "unknown". Its connection stays open for the declared margin, because a late answer frees the
//! slot and settles the outcome; to close the connection at once would leave both open.
//!
//! An attempt that was written and not answered may still occupy the upstream, so its slot is not
//! free when the connection breaks or is closed. It *lingers* until the request's deadline plus the
//! margin. Running and lingering attempts together never exceed the slots; running attempts alone
//! also keep to the adaptive [`Limit`]. Counting lingering attempts against the limit as well would
//! stop a cold upstream, whose limit is 1, for a whole deadline after a single broken connection.
//!
//! # Shedding
//!
//! A request is shed at once if it cannot meet its deadline, or if it would make a request that is
//! already queued miss its own. The wait is the mean service time for each request ahead, divided
//! by the limit; the request itself is given [`ServiceTime::tail`]. Being cautious is cheap under
//! overload, where the queue only needs to be long enough to keep the slots occupied, and it
//! leaves started requests enough time to finish. A request whose time has become too short while
//! it was queued is shed instead of started. Where no other request waits for the slot, the mean
//! service time is enough: a request that will probably be answered is better than an idle slot.
//!
//! The estimate is ignored for a request that finds the upstream idle after [`STALE_AFTER`] without an
//! observation. Otherwise one slow period could raise the estimate above every deadline, and no
//! request would ever lower it again. Ignoring it for every request that finds the upstream idle
//! would let callers with hopeless deadlines occupy slots for the margin.
//!
//! # Truth of "not run"
//!
//! A queued request was not started, so dropping it is "not run". From the moment of its start a
//! request is judged by its [`Cause`] alone. [`Admission::check_write`] must succeed immediately
//! before the first byte is handed to a connection: between start and write the deadline may pass,
//! the shard may be released or the upstream may be lost.
//!
//! # Leaving and lost upstreams
//!
//! A draining upstream gets no new requests. What is already queued may start within
//! [`DRAIN_QUEUE_TIME`], less than the 3 s after which a leaving upstream must receive nothing new. A
//! lost upstream starts nothing and its queue is handed back, see [`Admission::set_access`].

mod access;
mod builder;
mod shards;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use snafu::OptionExt;
use trefoil_core::{Outcome, Slots, Tick};

pub use self::access::{Access, DRAIN_QUEUE_TIME};
pub use self::builder::AdmissionBuilder;
use crate::limit::Sample;
use crate::mechanism::{Disabled, Mechanism};
use crate::memory::Lookup;
use crate::queue::{Doubt, Queue, Queued};
use crate::ticket::{Issuer, NotFoundSnafu};
use crate::{
    Actions, Cause, ConnectionBudget, Decision, Dropped, Finished, Limit, OutcomeMemory, Ownership,
    Record, Refusal, Report, Request, RetryBudget, ServiceTime, ShardState, ShedReason, Signal,
    Ticket, TicketError, TicketId, Verdict, WallClock, WriteError,
};

/// Time without an observation after which the estimated service time is tried out again.
pub const STALE_AFTER: Duration = Duration::from_secs(1);

/// Shortest time after which a timeout counts against the upstream, however fast it usually is. It
/// is well above a probe (6 ms) and a new connection (1 ms).
const PATIENCE_MIN: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Running {
    request: Request,
    started: Tick,
    doubt: bool,
    /// Whether the driver was told that the deadline has passed.
    expired: bool,
    /// Whether the driver was told to close the connection.
    closing: bool,
}

/// Admission of requests to one upstream.
#[derive(Debug)]
pub struct Admission {
    slots: Slots,
    queue_max: usize,
    margin: Duration,
    wall: WallClock,
    access: Access,
    limit: Limit,
    service: ServiceTime,
    retries: RetryBudget,
    connections: ConnectionBudget,
    queue: Queue,
    running: BTreeMap<TicketId, Running>,
    /// Ends of the attempts that the upstream may still work on.
    lingering: BinaryHeap<Reverse<Tick>>,
    next: u64,
    issuer: Issuer,
    memory: OutcomeMemory,
    ownership: Ownership,
    disabled: Disabled,
}

impl Admission {
    /// Settings of an admission of a tenure that begins at `wall`.
    pub fn builder(wall: WallClock) -> AdmissionBuilder {
        AdmissionBuilder::new(wall)
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of slots that the upstream may be using: running and lingering attempts.
    pub fn occupied(&self, now: Tick) -> usize {
        let lingering = self.lingering.iter().filter(|&&Reverse(end)| end > now);
        self.running.len() + lingering.count()
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// The present concurrency limit.
    pub fn limit(&self) -> Slots {
        self.limit.current()
    }

    /// The observed service time.
    pub fn service_time(&self) -> &ServiceTime {
        &self.service
    }

    /// The outcome memory.
    pub fn memory(&self) -> &OutcomeMemory {
        &self.memory
    }

    /// The connection budget.
    pub fn connections(&mut self) -> &mut ConnectionBudget {
        &mut self.connections
    }

    /// A running request.
    pub fn request(&self, ticket: &Ticket) -> Option<&Request> {
        self.running.get(&ticket.id).map(|r| &r.request)
    }

    /// Decides about a request.
    pub fn offer(&mut self, now: Tick, request: Request) -> Decision {
        let state = self.ownership.state(request.shard);
        let since = self.ownership.serving_since(request.shard);
        let owned = matches!(state, ShardState::Serving | ShardState::Awaiting);
        match self.memory.look_up(now, &request, since) {
            // Repeats are answered whoever owns the shard by now.
            Lookup::Finished(record) => Decision::Duplicate(record),
            Lookup::InFlight => Decision::InFlight,
            Lookup::Conflict => Decision::Conflict,
            _ if self.access != Access::Open => {
                Decision::Shed(ShedReason::Unavailable, ShedReason::Unavailable.outcome())
            }
            _ if !owned => Decision::Shed(ShedReason::Moved, ShedReason::Moved.outcome()),
            Lookup::MintedInFuture => {
                Decision::Shed(ShedReason::NotCovered, ShedReason::NotCovered.outcome())
            }
            Lookup::NotCovered if !request.idempotent => {
                Decision::Shed(ShedReason::NotCovered, ShedReason::NotCovered.outcome())
            }
            known => {
                let doubt = match known {
                    Lookup::Retriable => Doubt::Attempt,
                    Lookup::NotCovered => Doubt::Copy,
                    // Until the release arrives, only the previous owner knows of other copies.
                    _ if state == ShardState::Awaiting && request.id.is_some() => Doubt::Copy,
                    _ => Doubt::None,
                };
                let held = state == ShardState::Awaiting;
                self.admit(now, Queued { request, doubt }, held)
            }
        }
    }

    fn admit(&mut self, now: Tick, queued: Queued, held: bool) -> Decision {
        self.free_lingering(now);
        let idle = !held && !self.queue.has_ready() && self.has_capacity(now);
        let deadline = queued.request.deadline;
        let shed = match () {
            () if deadline <= now => Some(ShedReason::Expired),
            () if queued.request.id.is_some() && self.memory.is_full() => {
                Some(ShedReason::MemoryFull)
            }
            () if !idle && self.queue.len() >= self.queue_max => Some(ShedReason::QueueFull),
            () if !self.can_meet(now, deadline) => Some(ShedReason::TooLate),
            () => None,
        };
        let id = TicketId(self.next);
        self.next += 1;
        // Also for a request that is shed, so that a delayed copy of it does not run either.
        self.memory.begin(&queued.request);
        if let Some(why) = shed {
            let dropped = self.settle(now, id, &queued, why);
            return Decision::Shed(why, dropped.outcome);
        }
        self.retries.deposit();
        if idle {
            return Decision::Start(self.start(now, id, queued));
        }
        self.queue.push(id, queued, held);
        Decision::Queued(id)
    }

    /// Whether a request with `deadline` can be added to the queue so that it and all queued
    /// requests that could meet their deadline still can.
    fn can_meet(&self, now: Tick, deadline: Tick) -> bool {
        let idle = self.running.is_empty() && !self.queue.has_ready();
        if idle && self.service.is_stale(now) || self.disabled.has(Mechanism::Shedding) {
            return true;
        }
        let lanes = self.limit.current().0.max(1);
        let (mean, tail) = (self.service.mean(), self.service.tail());
        if self.has_capacity(now) && !self.queue.has_ready() {
            return now.after(mean) <= deadline;
        }
        let meets = |ahead: u32, deadline| {
            let wait = mean * (ahead + 1) / lanes;
            now.after(wait + tail) <= deadline
        };
        let mut ahead = 0;
        for (position, queued) in (0..).zip(self.queue.deadlines()) {
            match queued {
                queued if queued <= deadline => ahead = position + 1,
                queued if meets(position, queued) && !meets(position + 1, queued) => return false,
                _ => {}
            }
        }
        meets(ahead, deadline)
    }

    fn has_capacity(&self, now: Tick) -> bool {
        let slots = usize::try_from(self.slots.0).unwrap_or(usize::MAX);
        let limit = usize::try_from(self.limit.current().0).unwrap_or(usize::MAX);
        let open = match self.access {
            Access::Open => true,
            Access::Draining(end) => now < end,
            Access::Closed => false,
        };
        open && self.running.len() < limit && self.running.len() + self.lingering.len() < slots
    }

    fn start(&mut self, now: Tick, id: TicketId, queued: Queued) -> Ticket {
        let request = queued.request;
        let until = request.deadline.after(self.margin);
        self.ownership.begin(request.shard, until);
        let running = Running {
            request,
            started: now,
            doubt: queued.doubt != Doubt::None,
            expired: false,
            closing: false,
        };
        self.running.insert(id, running);
        Ticket {
            id,
            issuer: self.issuer,
        }
    }

    fn start_ready(&mut self, now: Tick, actions: &mut Actions) {
        while let Some((id, queued)) = self.queue.pop_expired(now) {
            actions
                .dropped
                .push(self.settle(now, id, &queued, ShedReason::Expired));
        }
        while self.has_capacity(now) {
            let Some((id, queued)) = self.queue.pop() else {
                break;
            };
            let need = if self.queue.has_ready() {
                self.service.tail()
            } else {
                self.service.mean()
            };
            let short = now.after(need) > queued.request.deadline;
            let trial = self.running.is_empty() && self.service.is_stale(now);
            if short && !trial && !self.disabled.has(Mechanism::Shedding) {
                actions
                    .dropped
                    .push(self.settle(now, id, &queued, ShedReason::TooLate));
            } else {
                actions.started.push(self.start(now, id, queued));
            }
        }
    }

    /// Decides the outcome of a request that has left the queue without being started.
    fn settle(&mut self, now: Tick, id: TicketId, queued: &Queued, why: ShedReason) -> Dropped {
        let outcome = match why.outcome() {
            Outcome::NotRun if queued.doubt == Doubt::Attempt => Outcome::Unknown,
            Outcome::NotRun if queued.doubt == Doubt::Copy && why.is_final() => Outcome::Unknown,
            outcome => outcome,
        };
        if why.is_final() || queued.doubt == Doubt::Attempt {
            self.memory
                .finish(now, &queued.request, Record::of(outcome));
        } else {
            self.memory.forget(&queued.request);
        }
        Dropped {
            id,
            reason: why,
            outcome,
        }
    }

    fn drop_queued(&mut self, now: Tick, id: TicketId, why: ShedReason) -> Option<Dropped> {
        let queued = self.queue.remove(id)?;
        Some(self.settle(now, id, &queued, why))
    }

    /// Checks that a started request may be handed to a connection. It must be called immediately
    /// before the first byte is written.
    ///
    /// # Errors
    ///
    /// Says why the request must not be written. The driver then finishes the ticket with
    /// [`Cause::NothingWritten`].
    pub fn check_write(&self, now: Tick, ticket: &Ticket) -> Result<(), WriteError> {
        let running = self.running.get(&ticket.id);
        let shard = running.map(|r| r.request.shard);
        match self.access {
            Access::Closed => Err(WriteError::Unavailable),
            Access::Draining(end) if now >= end => Err(WriteError::Unavailable),
            _ if running.is_none_or(|r| r.request.deadline <= now) => Err(WriteError::Deadline),
            _ if shard.is_some_and(|s| !self.ownership.check_write(s)) => Err(WriteError::Released),
            _ => Ok(()),
        }
    }

    /// Takes in the end of an attempt, and starts queued requests on the slots that became free.
    ///
    /// # Errors
    ///
    /// Fails if the ticket comes from another admission.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "consuming the ticket makes a second finish impossible"
    )]
    pub fn finish(
        &mut self,
        now: Tick,
        ticket: Ticket,
        cause: Cause,
    ) -> Result<Finished, TicketError> {
        let Ticket { id, issuer } = ticket;
        let own = issuer == self.issuer;
        let run = own.then(|| self.running.remove(&id)).flatten();
        let run = run.context(NotFoundSnafu { id })?;
        let attempt = cause.verdict();
        let verdict = attempt.with_prior_run(run.doubt);
        let until = run.request.deadline.after(self.margin).max(now);
        if attempt.may_linger {
            if !self.disabled.has(Mechanism::Linger) {
                self.lingering.push(Reverse(until));
            }
            self.ownership.end_unanswered(run.request.shard, until);
        } else {
            self.ownership.end(run.request.shard);
        }
        let signal = self.observe(now, &run, cause);
        let report = self.conclude(now, id, run, &verdict);
        let mut actions = Actions::default();
        self.free_lingering(now);
        self.start_ready(now, &mut actions);
        Ok(Finished {
            report,
            verdict: Verdict { signal, ..verdict },
            actions,
        })
    }

    fn conclude(&mut self, now: Tick, id: TicketId, run: Running, verdict: &Verdict) -> Report {
        let request = run.request;
        let useful = verdict.retry
            && request.idempotent
            && !run.closing
            && now < request.deadline
            && self.access == Access::Open
            && self.ownership.state(request.shard) == ShardState::Serving
            && self.can_meet(now, request.deadline);
        if useful && self.retries.withdraw() {
            let doubt = match verdict.outcome {
                Outcome::Unknown if !self.disabled.has(Mechanism::PriorRun) => Doubt::Attempt,
                _ => Doubt::None,
            };
            self.queue.push(id, Queued { request, doubt }, false);
            return Report::Retry(id);
        }
        let record = Record {
            outcome: verdict.outcome,
            status: verdict.status,
        };
        self.memory.finish(now, &request, record);
        Report::Answer(record)
    }

    /// Learns from an attempt and returns what it says about the upstream.
    fn observe(&mut self, now: Tick, run: &Running, cause: Cause) -> Signal {
        let verdict = cause.verdict();
        let time = now.since(run.started);
        let patience = (self.service.mean() * 2).max(PATIENCE_MIN);
        if verdict.signal == Signal::Answer || cause == Cause::TimedOut {
            self.service.observe(now, time);
        }
        let late = now > run.request.deadline;
        let sample = match (verdict.signal, verdict.status) {
            // A deadline that was too short says nothing about the upstream.
            _ if cause == Cause::TimedOut && time < patience => return Signal::None,
            // Neither does a missing grant about its load.
            _ if cause == Cause::Refused(Refusal::Fence) => return verdict.signal,
            (Signal::None, _) => return Signal::None,
            (Signal::Answer, Some(status)) if status.is_success() && !late => Sample::Success(time),
            (Signal::Answer, _) => Sample::Answer(time),
            (Signal::Refusal | Signal::Failure, _) => Sample::Overload,
        };
        self.limit.observe(now, run.started, sample);
        verdict.signal
    }

    /// Expires and starts queued requests, names running requests whose deadline has passed, and
    /// completes releases.
    pub fn poll(&mut self, now: Tick) -> Actions {
        let mut actions = Actions::default();
        self.free_lingering(now);
        if matches!(self.access, Access::Draining(end) if now >= end) {
            actions.dropped.extend(self.drop_all(now));
        }
        self.start_ready(now, &mut actions);
        for (&id, run) in &mut self.running {
            let deadline = run.request.deadline;
            if !run.expired && deadline <= now {
                run.expired = true;
                actions.expired.push(id);
            }
            if !run.closing && deadline.after(self.margin) <= now {
                run.closing = true;
                actions.close.push(id);
            }
        }
        actions.releases = self.releases(now);
        actions
    }

    /// The tick at which [`Admission::poll`] is to be called next, which may have passed already.
    pub fn next_wake(&self, now: Tick) -> Option<Tick> {
        let at_once = (self.queue.has_ready() && self.has_capacity(now)).then_some(now);
        let linger = self.lingering.peek().map(|&Reverse(end)| end);
        let queued = self.queue.has_ready();
        let drain = match self.access {
            Access::Draining(end) if self.queue.len() > 0 => Some(end),
            _ => None,
        };
        let due = |run: &Running| match run.request.deadline {
            _ if run.closing => None,
            deadline if run.expired => Some(deadline.after(self.margin)),
            deadline => Some(deadline),
        };
        let wakes = [
            at_once,
            linger.filter(|_| queued),
            self.queue.first_deadline(),
            self.running.values().filter_map(due).min(),
            drain,
            self.ownership.next_wake(),
        ];
        wakes.into_iter().flatten().min()
    }

    fn free_lingering(&mut self, now: Tick) {
        while self
            .lingering
            .peek()
            .is_some_and(|&Reverse(end)| end <= now)
        {
            self.lingering.pop();
        }
    }
}
