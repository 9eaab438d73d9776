//! Seeded discrete-event model of callers, dispatchers and upstreams on manual time.
//!
//! Upstreams execute a request even if the dispatcher no longer waits for it, and count every
//! execution. The [`Checker`] compares the outcomes that callers received with the executions.

mod setup;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use trefoil_core::{Outcome, RequestId, Revision, Shard, Slots, Tick, UnixMillis};
use trefoil_dispatch::{
    Actions, Admission, Cause, Decision, Digest, Origin, Refusal, Report, Request, Status, Ticket,
    TicketId, WallClock,
};

use self::setup::MEAN;
pub(super) use self::setup::{Checker, Setup};
use super::v7;

/// Wall clock time at tick zero.
const EPOCH: u64 = 1_000_000;

/// Margin of the upstreams' deadlines, the default of the builder.
const MARGIN: Duration = Duration::from_millis(500);

/// Time until a lost dispatcher is replaced.
const LEASE: Duration = Duration::from_millis(1500);

/// Index of a caller's request.
type Call = usize;

#[derive(Debug, Clone)]
struct Sent {
    node: usize,
    deadline: Tick,
    idempotent: bool,
    id: RequestId,
    arrived: Tick,
    outcome: Option<Outcome>,
    answered: Option<Tick>,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive {
        node: usize,
    },
    Copy {
        call: Call,
    },
    Break {
        node: usize,
        incarnation: u32,
        ticket: TicketId,
    },
    Complete {
        node: usize,
        incarnation: u32,
        ticket: TicketId,
        call: Call,
        begun: Tick,
        deadline: Tick,
        answers: bool,
    },
    Takeover,
    Successor,
    Move,
}

#[derive(Debug)]
struct Node {
    admission: Admission,
    slots: usize,
    tickets: BTreeMap<TicketId, Ticket>,
    calls: BTreeMap<TicketId, Call>,
    /// Number of the dispatcher, so that events of its predecessor find no ticket.
    incarnation: u32,
    executing: usize,
}

#[derive(Debug)]
pub(super) struct Sim {
    setup: Setup,
    rng: StdRng,
    now: Tick,
    serial: u64,
    events: BTreeMap<(Tick, u64), Event>,
    nodes: Vec<Node>,
    calls: Vec<Sent>,
    /// Tick at which upstream 1 began to serve the shards of upstream 0.
    served_since: Option<Tick>,
    check: Checker,
}

fn admission(setup: &Setup, slots: u32, now: Tick) -> Admission {
    let unix = UnixMillis(EPOCH + u64::try_from(now.0.as_millis()).expect("a short run"));
    let mut builder = Admission::builder(WallClock { tick: now, unix }).slots(Slots(slots));
    if let Some(mechanism) = setup.without {
        builder = builder.without(mechanism);
    }
    builder.build().expect("the crate's charts load")
}

impl Sim {
    pub(super) fn run(setup: Setup) -> Checker {
        let mut sim = Self {
            rng: StdRng::seed_from_u64(setup.seed),
            now: Tick::default(),
            serial: 0,
            events: BTreeMap::new(),
            nodes: Vec::new(),
            calls: Vec::new(),
            served_since: None,
            check: Checker::default(),
            setup,
        };
        for (node, &slots) in sim.setup.slots.iter().enumerate() {
            let mut admission = admission(&sim.setup, slots, sim.now);
            let origin = match sim.setup.moved {
                Some(_) if node == 1 => Origin::Owner(Revision(2)),
                _ => Origin::New,
            };
            admission
                .assign(sim.now, Shard(0), origin)
                .expect("a new shard");
            sim.nodes.push(Node {
                admission,
                slots: usize::try_from(slots).expect("a small number"),
                tickets: BTreeMap::new(),
                calls: BTreeMap::new(),
                incarnation: 0,
                executing: 0,
            });
            sim.check.good.push(0);
            sim.check.latencies.push(Vec::new());
        }
        for node in 0..sim.nodes.len() {
            sim.schedule(Duration::ZERO, Event::Arrive { node });
        }
        for (at, event) in [
            (sim.setup.takeover, Event::Takeover),
            (sim.setup.moved, Event::Move),
        ] {
            if let Some(at) = at {
                sim.schedule(Duration::from_millis(at), event);
            }
        }
        sim.drive();
        sim.check_outcomes();
        sim.check
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.serial += 1;
        self.events
            .insert((self.now.after(after), self.serial), event);
    }

    fn drive(&mut self) {
        let end = Tick(Duration::from_secs(self.setup.seconds));
        loop {
            let event = self.events.keys().next().map(|&(at, _)| at);
            let wakes = self.nodes.iter().enumerate();
            let wake = wakes
                .filter_map(|(n, node)| Some((node.admission.next_wake(self.now)?, n)))
                .min();
            match (event, wake) {
                (at, Some((wake, node))) if at.is_none_or(|at| wake <= at) => {
                    self.now = self.now.max(wake);
                    let actions = self.nodes[node].admission.poll(self.now);
                    self.carry_out(node, actions);
                }
                (Some(at), _) => {
                    self.now = at;
                    let (_, event) = self.events.pop_first().expect("an event");
                    self.handle(event, end);
                }
                _ => break,
            }
        }
    }

    fn handle(&mut self, event: Event, end: Tick) {
        match event {
            Event::Arrive { node } if self.now < end => self.arrive(node),
            Event::Arrive { .. } => {}
            Event::Copy { call } => self.offer(call),
            Event::Break {
                node,
                incarnation,
                ticket,
            } => {
                self.finish(node, incarnation, ticket, Cause::NoAnswer);
            }
            Event::Complete {
                node,
                incarnation,
                ticket,
                call,
                begun,
                deadline,
                answers,
            } => {
                self.nodes[node].executing -= 1;
                self.check_owner(call, node, begun);
                let cause = match self.now {
                    now if now > deadline => Cause::AnsweredLate(Status(200)),
                    _ => Cause::Answered(Status(200)),
                };
                if answers {
                    self.finish(node, incarnation, ticket, cause);
                }
            }
            Event::Takeover => {
                self.replace_dispatcher();
                self.schedule(LEASE, Event::Successor);
            }
            Event::Successor => {
                self.replace_dispatcher();
                let until = self.now.after(Duration::from_secs(1));
                let origin = Origin::Predecessor(until);
                let assigned = self.nodes[0].admission.assign(self.now, Shard(0), origin);
                assigned.expect("a new shard");
            }
            Event::Move => {
                let to = "b".parse().expect("a name");
                let now = self.now;
                let revoked = self.nodes[0]
                    .admission
                    .revoke(now, Shard(0), to, Revision(2));
                let dropped = revoked.expect("a served shard");
                let actions = Actions {
                    dropped,
                    ..Actions::default()
                };
                self.carry_out(0, actions);
            }
        }
    }

    /// Replaces the dispatcher of upstream 0 by one without state. Until shards are assigned, it
    /// hands every request back.
    fn replace_dispatcher(&mut self) {
        let node = &mut self.nodes[0];
        node.admission = admission(&self.setup, self.setup.slots[0], self.now);
        node.incarnation += 1;
        node.tickets.clear();
        node.calls.clear();
    }

    /// Checks that no execution on upstream 0 ends after upstream 1 began to serve its shards.
    fn check_owner(&mut self, call: Call, node: usize, begun: Tick) {
        if node == 0 && self.served_since.is_some_and(|since| self.now > since) {
            let id = &self.calls[call].id;
            let text = format!("{id} began at {begun} and ran after the shard moved");
            self.check.violations.insert(text);
        }
    }

    fn arrive(&mut self, node: usize) {
        let rate = self.setup.load * f64::from(self.setup.slots[node]) / MEAN;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrive { node });
        let call = self.calls.len();
        let unix = EPOCH + u64::try_from(self.now.0.as_millis()).expect("a short run");
        self.calls.push(Sent {
            node,
            deadline: self
                .now
                .after(Duration::from_millis(self.rng.random_range(50..500))),
            idempotent: self.rng.random_bool(0.5),
            id: v7(unix, u64::try_from(call).expect("a short run")),
            arrived: self.now,
            outcome: None,
            answered: None,
        });
        if self.rng.random_bool(self.setup.duplicates) {
            let after = Duration::from_millis(self.rng.random_range(0..4000));
            self.schedule(after, Event::Copy { call });
        }
        self.offer(call);
    }

    fn offer(&mut self, call: Call) {
        let sent = &self.calls[call];
        // A copy has its own deadline.
        let deadline = match sent.deadline {
            deadline if self.now == sent.arrived => deadline,
            deadline => deadline.max(self.now.after(Duration::from_millis(200))),
        };
        let mut request = Request::new(Shard(0), deadline).id(sent.id.clone(), Digest(1));
        if sent.idempotent {
            request = request.idempotent();
        }
        let node = match self.setup.moved {
            Some(at) if self.now >= Tick(Duration::from_millis(at)) => 1,
            _ => sent.node,
        };
        match self.nodes[node].admission.offer(self.now, request) {
            Decision::Start(ticket) => {
                self.nodes[node].calls.insert(ticket.id(), call);
                self.send(node, ticket);
            }
            Decision::Queued(id) => {
                self.nodes[node].calls.insert(id, call);
            }
            Decision::Shed(why, _) if !why.is_final() => {}
            other => self.answer(call, other.outcome().expect("not admitted")),
        }
    }

    fn answer(&mut self, call: Call, outcome: Outcome) {
        *self.check.outcomes.entry(outcome).or_default() += 1;
        let sent = &mut self.calls[call];
        let runs = self.check.runs.get(&sent.id).copied().unwrap_or_default();
        if outcome == Outcome::NotRun && runs > 0 {
            let text = format!("the outcome of {} was not-run after it had run", sent.id);
            self.check.violations.insert(text);
        }
        // The strongest outcome is checked: "not run" must hold for every copy.
        if sent.outcome != Some(Outcome::NotRun) {
            sent.outcome = Some(outcome);
        }
        if outcome == Outcome::Done && sent.answered.is_none() {
            sent.answered = Some(self.now);
            let node = sent.node;
            let time = self.now.since(sent.arrived).as_secs_f64() * 1000.0;
            // Answers after the end of the load do not count.
            let end = Tick(Duration::from_secs(self.setup.seconds));
            self.check.good[node] += u64::from(self.now <= sent.deadline.min(end));
            self.check.latencies[node].push(time);
        }
    }

    fn carry_out(&mut self, node: usize, actions: Actions) {
        for dropped in actions.dropped {
            let call = self.nodes[node].calls.remove(&dropped.id);
            if dropped.reason.is_final() || dropped.outcome != Outcome::NotRun {
                self.answer(call.expect("a queued call"), dropped.outcome);
            }
        }
        for ticket in actions.started {
            self.send(node, ticket);
        }
        for id in actions.expired {
            let call = self.nodes[node].calls[&id];
            self.answer(call, Outcome::Unknown);
        }
        let incarnation = self.nodes[node].incarnation;
        for id in actions.close {
            self.finish(node, incarnation, id, Cause::TimedOut);
        }
        for release in actions.releases {
            self.served_since = Some(self.now);
            let admission = &mut self.nodes[1].admission;
            let received = admission.receive_release(
                self.now,
                release.shard,
                release.revision,
                release.handover,
            );
            self.carry_out(1, received.expect("an awaited shard"));
        }
    }

    /// Writes a started request and draws what happens to it.
    fn send(&mut self, node: usize, ticket: Ticket) {
        let id = ticket.id();
        let incarnation = self.nodes[node].incarnation;
        let call = self.nodes[node].calls[&id];
        let admission = &self.nodes[node].admission;
        let allowed = admission.check_write(self.now, &ticket);
        let deadline = admission
            .request(&ticket)
            .map_or(self.now, Request::deadline);
        self.nodes[node].tickets.insert(id, ticket);
        let draw: f64 = self.rng.random();
        let (unwritten, refusals) = (self.setup.unwritten, self.setup.refusals);
        if allowed.is_err() || draw < unwritten {
            return self.finish(node, incarnation, id, Cause::NothingWritten);
        }
        if draw < unwritten + refusals {
            return self.finish(node, incarnation, id, Cause::Refused(Refusal::Overload));
        }
        // Upstreams keep to deadlines: they stop at the deadline plus the margin, even after a
        // freeze.
        let last = deadline.after(MARGIN).since(self.now);
        let time = self.draw_service_time(node);
        self.check.drawn.push(time.as_secs_f64());
        let answers = time < last;
        let time = time.min(last.saturating_sub(Duration::from_micros(1)));
        let complete = Event::Complete {
            node,
            incarnation,
            ticket: id,
            call,
            begun: self.now,
            deadline,
            answers,
        };
        if self.rng.random_bool(self.setup.breaks) {
            let event = Event::Break {
                node,
                incarnation,
                ticket: id,
            };
            self.schedule(time.mul_f64(0.5), event);
        }
        self.schedule(time, complete);
        let request = self.calls[call].id.clone();
        let runs = self.check.runs.entry(request.clone()).or_default();
        *runs += 1;
        if *runs > 1 && !self.calls[call].idempotent {
            let text = format!("{request} is not idempotent and ran twice");
            self.check.violations.insert(text);
        }
        let at = &mut self.nodes[node];
        at.executing += 1;
        self.check.peak = self.check.peak.max(at.executing);
        if at.executing > at.slots {
            let text = format!("upstream {node} executed more requests than it has slots");
            self.check.violations.insert(text);
        }
    }

    /// Draws the time until the upstream has executed a request that begins now.
    fn draw_service_time(&mut self, node: usize) -> Duration {
        let millis = if self.rng.random_bool(0.02) {
            self.rng.random_range(40.0..60.0)
        } else {
            self.rng.random_range(5.0..15.0)
        };
        let time = Duration::from_secs_f64(millis / 1000.0);
        match self.setup.frozen {
            Some((from, to)) if node == 0 => {
                let [from, to] = [from, to].map(|t| Tick(Duration::from_millis(t)));
                let reaches = self.now.after(time) > from && self.now < to;
                let extra = if reaches {
                    to.since(self.now.max(from))
                } else {
                    Duration::ZERO
                };
                time + extra
            }
            _ => time,
        }
    }

    fn finish(&mut self, node: usize, incarnation: u32, id: TicketId, cause: Cause) {
        let at = &mut self.nodes[node];
        let ticket = if at.incarnation == incarnation {
            at.tickets.remove(&id)
        } else {
            None
        };
        // No ticket: the connection was closed before, or belonged to the previous dispatcher.
        let Some(ticket) = ticket else {
            return;
        };
        let finished = at.admission.finish(self.now, ticket, cause);
        let finished = finished.expect("a ticket of this admission");
        if let Report::Answer(record) = finished.report {
            let call = at.calls.remove(&id).expect("a running call");
            self.answer(call, record.outcome);
        }
        self.carry_out(node, finished.actions);
    }

    /// Compares the outcomes that callers received with the executions.
    fn check_outcomes(&mut self) {
        for sent in &self.calls {
            let runs = self.check.runs.get(&sent.id).copied().unwrap_or_default();
            // After a takeover, an idempotent request whose outcome was "not run" runs if a copy
            // arrives.
            if sent.outcome == Some(Outcome::NotRun) && runs > 0 && !sent.idempotent {
                let text = format!("the outcome of {} was not-run and it ran later", sent.id);
                self.check.violations.insert(text);
            }
            if sent.outcome == Some(Outcome::Done) && runs == 0 {
                let text = format!("the outcome of {} was done and it did not run", sent.id);
                self.check.violations.insert(text);
            }
        }
        for (node, at) in self.nodes.iter().enumerate() {
            let left = at.tickets.len() + at.admission.running() + at.admission.queued();
            if left > 0 {
                let text = format!("upstream {node} has {left} requests left over");
                self.check.violations.insert(text);
            }
        }
    }
}
