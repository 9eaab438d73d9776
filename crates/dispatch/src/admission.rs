//! Admission of requests to one upstream.
//!
//! The dispatcher is the only process that sends to its upstream, so its slots can be counted here.
//! [`Admission`] combines the parts that decide about a request: outcome memory, shard ownership,
//! queue, adaptive limit and retry budget. Its driver offers requests, sends the started ones,
//! reports results, and calls [`Admission::poll`] at [`Admission::next_wake`]. It performs no I/O.
//!
//! # Slots
//!
//! When the deadline of a running request passes, [`Actions::expired`] lists it and its caller
//! receives "unknown". Its connection stays open for the declared margin, because a late answer
//! frees the slot and settles the outcome; closing the connection at once would leave both open.
//!
//! An attempt that was written and not answered may still occupy the upstream, so its slot is not
//! free when the connection breaks or is closed. It *lingers* until the request's deadline plus the
//! margin. Running and lingering attempts together never exceed the slots; running attempts alone
//! also keep to the adaptive [`Limit`]. If lingering attempts counted against the limit as well, a
//! single broken connection would stop a cold upstream, whose limit is 1, for a whole deadline.
//!
//! # Shedding
//!
//! A request is shed at once if it cannot meet its deadline, or if it would make a queued request
//! miss its own. The wait is the mean service time for each request ahead, divided by the limit;
//! the request itself is allowed [`ServiceTime::tail`]. A cautious estimate costs little under
//! overload, where the queue only needs to keep the slots occupied, and it leaves started requests
//! enough time to finish. A queued request with too little time left is shed instead of started. If
//! no other request waits for the slot, the mean service time is enough: a request that will
//! probably be answered is better than an idle slot.
//!
//! The estimate is ignored for a request that finds the upstream idle after [`STALE_AFTER`] without
//! an observation. Otherwise one slow period could raise the estimate above every deadline, and no
//! request would ever lower it again. If every request that finds the upstream idle were exempt,
//! callers with deadlines that cannot be met could occupy slots for the margin.
//!
//! # Proof of "not run"
//!
//! A queued request that is dropped did not run. A started one is judged by its [`Cause`] alone.
//! [`Admission::check_write`] must succeed immediately before the first byte is written: since the
//! start, the deadline may have passed, the shard been released or the upstream been lost.
//!
//! # Leaving and lost upstreams
//!
//! A draining upstream receives no new requests. Queued requests may start within
//! [`DRAIN_QUEUE_TIME`], less than the 3 s after which a leaving upstream must receive nothing new.
//! A lost upstream starts nothing and its queue is handed back, see [`Admission::set_access`].

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
use crate::queue::{PriorRun, Queue, Queued};
use crate::ticket::{Issuer, NotFoundSnafu};
use crate::{
    Actions, Cause, ConnectionBudget, Decision, Dropped, Finished, Limit, OutcomeMemory, Ownership,
    Record, Refusal, Report, Request, RetryBudget, ServiceTime, ShardState, ShedReason, Signal,
    Ticket, TicketError, TicketId, Verdict, WallClock, WriteError,
};

/// Time without an observation after which one request ignores the estimated service time.
pub const STALE_AFTER: Duration = Duration::from_secs(1);

/// Minimum time that a timed-out attempt must have taken to count against the upstream, however
/// fast it usually is. It is well above a probe (6 ms) and a new connection (1 ms).
const COUNTED_TIMEOUT_MIN: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Running {
    request: Request,
    started: Tick,
    may_have_run: bool,
    /// True once [`Actions::expired`] has listed the request.
    expired: bool,
    /// True once the driver has been instructed to close the connection.
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
    service_time: ServiceTime,
    retries: RetryBudget,
    connections: ConnectionBudget,
    queue: Queue,
    running: BTreeMap<TicketId, Running>,
    /// Ticks until which the upstream may still work on unanswered attempts.
    lingering: BinaryHeap<Reverse<Tick>>,
    next_id: u64,
    issuer: Issuer,
    memory: OutcomeMemory,
    ownership: Ownership,
    disabled: Disabled,
}

impl Admission {
    /// Returns a builder for the admission of a dispatcher that takes over the upstream at `wall`.
    pub fn builder(wall: WallClock) -> AdmissionBuilder {
        AdmissionBuilder::new(wall)
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of slots that the upstream may be using for running and lingering
    /// attempts.
    pub fn occupied(&self, now: Tick) -> usize {
        let lingering = self.lingering.iter().filter(|&&Reverse(end)| end > now);
        self.running.len() + lingering.count()
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self) -> Slots {
        self.limit.current()
    }

    /// Returns the observed service time.
    pub fn service_time(&self) -> &ServiceTime {
        &self.service_time
    }

    /// Returns the outcome memory.
    pub fn memory(&self) -> &OutcomeMemory {
        &self.memory
    }

    /// Returns the connection budget.
    pub fn connections(&mut self) -> &mut ConnectionBudget {
        &mut self.connections
    }

    /// Returns a running request.
    pub fn request(&self, ticket: &Ticket) -> Option<&Request> {
        self.running.get(&ticket.id).map(|r| &r.request)
    }

    /// Decides whether a request is started, queued, shed or answered as a duplicate.
    pub fn offer(&mut self, now: Tick, request: Request) -> Decision {
        let state = self.ownership.state(request.shard);
        let since = self.ownership.serving_since(request.shard);
        let owned = matches!(state, ShardState::Serving | ShardState::Awaiting);
        match self.memory.look_up(now, &request, since) {
            // Duplicates are answered even if another upstream owns the shard by now.
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
            lookup => {
                let prior_run = match lookup {
                    Lookup::Retriable => PriorRun::Attempt,
                    Lookup::NotCovered => PriorRun::Copy,
                    // Until the release arrives, only the previous owner has records of copies.
                    _ if state == ShardState::Awaiting && request.id.is_some() => PriorRun::Copy,
                    _ => PriorRun::None,
                };
                let held = state == ShardState::Awaiting;
                self.admit(now, Queued { request, prior_run }, held)
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
        let id = TicketId(self.next_id);
        self.next_id += 1;
        // A shed request is recorded too, so that a delayed copy of it does not run either.
        self.memory.begin(&queued.request);
        if let Some(reason) = shed {
            let dropped = self.discard(now, id, &queued, reason);
            return Decision::Shed(reason, dropped.outcome);
        }
        self.retries.deposit();
        if idle {
            return Decision::Start(self.start(now, id, queued));
        }
        self.queue.push(id, queued, held);
        Decision::Queued(id)
    }

    /// Returns true if a request with `deadline` can meet it and does not make a queued request
    /// miss a deadline that it could meet.
    fn can_meet(&self, now: Tick, deadline: Tick) -> bool {
        let idle = self.running.is_empty() && !self.queue.has_ready();
        if idle && self.service_time.is_stale(now) || self.disabled.has(Mechanism::Shedding) {
            return true;
        }
        let lanes = self.limit.current().0.max(1);
        let (mean, tail) = (self.service_time.mean(), self.service_time.tail());
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
        self.ownership.count_started(request.shard, until);
        let running = Running {
            request,
            started: now,
            may_have_run: queued.prior_run != PriorRun::None,
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
                .push(self.discard(now, id, &queued, ShedReason::Expired));
        }
        while self.has_capacity(now) {
            let Some((id, queued)) = self.queue.pop() else {
                break;
            };
            let need = if self.queue.has_ready() {
                self.service_time.tail()
            } else {
                self.service_time.mean()
            };
            let short = now.after(need) > queued.request.deadline;
            let trial = self.running.is_empty() && self.service_time.is_stale(now);
            if short && !trial && !self.disabled.has(Mechanism::Shedding) {
                actions
                    .dropped
                    .push(self.discard(now, id, &queued, ShedReason::TooLate));
            } else {
                actions.started.push(self.start(now, id, queued));
            }
        }
    }

    /// Determines and records the outcome of a request that is not started.
    fn discard(&mut self, now: Tick, id: TicketId, queued: &Queued, reason: ShedReason) -> Dropped {
        let outcome = match reason.outcome() {
            Outcome::NotRun if queued.prior_run == PriorRun::Attempt => Outcome::Unknown,
            Outcome::NotRun if queued.prior_run == PriorRun::Copy && reason.is_final() => {
                Outcome::Unknown
            }
            outcome => outcome,
        };
        if reason.is_final() || queued.prior_run == PriorRun::Attempt {
            self.memory
                .finish(now, &queued.request, Record::of(outcome));
        } else {
            self.memory.forget(&queued.request);
        }
        Dropped {
            id,
            reason,
            outcome,
        }
    }

    fn drop_queued(&mut self, now: Tick, id: TicketId, reason: ShedReason) -> Option<Dropped> {
        let queued = self.queue.remove(id)?;
        Some(self.discard(now, id, &queued, reason))
    }

    /// Checks that a started request may be written. The driver calls it right before the first
    /// byte.
    ///
    /// # Errors
    ///
    /// Fails if the request must not be written. The driver then finishes the ticket with
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

    /// Records the end of an attempt, and starts queued requests on the slots that became free.
    ///
    /// # Errors
    ///
    /// Fails if the ticket comes from another admission.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "consuming the ticket prevents a second call for the same request"
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
        let verdict = attempt.with_prior_run(run.may_have_run);
        let until = run.request.deadline.after(self.margin).max(now);
        if attempt.may_linger {
            if !self.disabled.has(Mechanism::Linger) {
                self.lingering.push(Reverse(until));
            }
            self.ownership.count_unanswered(run.request.shard, until);
        } else {
            self.ownership.count_ended(run.request.shard);
        }
        let signal = self.observe_attempt(now, &run, cause);
        let report = self.resolve(now, id, run, &verdict);
        let mut actions = Actions::default();
        self.free_lingering(now);
        self.start_ready(now, &mut actions);
        Ok(Finished {
            report,
            verdict: Verdict { signal, ..verdict },
            actions,
        })
    }

    fn resolve(&mut self, now: Tick, id: TicketId, run: Running, verdict: &Verdict) -> Report {
        let request = run.request;
        let may_retry = verdict.retry
            && request.idempotent
            && !run.closing
            && now < request.deadline
            && self.access == Access::Open
            && self.ownership.state(request.shard) == ShardState::Serving
            && self.can_meet(now, request.deadline);
        if may_retry && self.retries.withdraw() {
            let prior_run = match verdict.outcome {
                Outcome::Unknown if !self.disabled.has(Mechanism::PriorRun) => PriorRun::Attempt,
                _ => PriorRun::None,
            };
            self.queue.push(id, Queued { request, prior_run }, false);
            return Report::Retry(id);
        }
        let record = Record {
            outcome: verdict.outcome,
            status: verdict.status,
        };
        self.memory.finish(now, &request, record);
        Report::Answer(record)
    }

    /// Adds an attempt to the service time and the limit, and returns its signal.
    fn observe_attempt(&mut self, now: Tick, run: &Running, cause: Cause) -> Signal {
        let verdict = cause.verdict();
        let time = now.since(run.started);
        let counted_after = (self.service_time.mean() * 2).max(COUNTED_TIMEOUT_MIN);
        if verdict.signal == Signal::Answer || cause == Cause::TimedOut {
            self.service_time.observe(now, time);
        }
        let late = now > run.request.deadline;
        let sample = match (verdict.signal, verdict.status) {
            // The deadline was too short for the timeout to be a sign of a fault.
            _ if cause == Cause::TimedOut && time < counted_after => return Signal::None,
            // A missing grant is no sign of overload.
            _ if cause == Cause::Refused(Refusal::Fence) => return verdict.signal,
            (Signal::None, _) => return Signal::None,
            (Signal::Answer, Some(status)) if status.is_success() && !late => Sample::Success(time),
            (Signal::Answer, _) => Sample::Answer(time),
            (Signal::Refusal | Signal::Failure, _) => Sample::Overload,
        };
        self.limit.observe(now, run.started, sample);
        verdict.signal
    }

    /// Drops and starts queued requests, lists expired running ones, and completes releases.
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

    /// Returns the tick, possibly in the past, at which [`Admission::poll`] is to be called next.
    pub fn next_wake(&self, now: Tick) -> Option<Tick> {
        let immediate = (self.queue.has_ready() && self.has_capacity(now)).then_some(now);
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
            immediate,
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
