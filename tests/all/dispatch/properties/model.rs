//! Model that applies random steps to an [`Admission`] and checks every result.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use trefoil_core::{Outcome, Revision, Shard, Slots, Tick, UnixMillis};
use trefoil_dispatch::mechanism::Mechanism;
use trefoil_dispatch::ownership::GRANT_VALIDITY;
use trefoil_dispatch::{
    Access, Actions, Admission, Cancelled, Cause, Decision, Digest, Handover, Origin, Proof,
    Report, Request, ShardState, Ticket, TicketId, WallClock,
};

use crate::dispatch::{ms, v7};

const MARGIN: Duration = Duration::from_millis(50);
const QUEUE: u32 = 5;
const MEMORY: usize = 12;
pub(super) const SHARDS: u32 = 2;

#[derive(Debug, Clone)]
pub(super) enum Step {
    Offer {
        shard: u32,
        deadline: u64,
        id: Option<u64>,
        digest: u128,
        idempotent: bool,
    },
    Advance(u64),
    Finish(usize, Cause),
    Cancel(usize),
    Access(u8),
    Revoke(u32),
    Assign(u32),
    Receive(u32),
    Renew,
}

/// Expected state of one admitted request.
#[derive(Debug)]
struct Admitted {
    request: Request,
    /// True if an attempt may have run.
    may_have_run: bool,
    queued: bool,
}

pub(super) struct Model {
    now: Tick,
    admission: Admission,
    slots: usize,
    tickets: BTreeMap<TicketId, Ticket>,
    admitted: BTreeMap<TicketId, Admitted>,
    /// Ticks until which the upstream may work on unanswered attempts, with their shard.
    lingering: Vec<(Tick, Shard)>,
    /// Ids of non-idempotent requests that were started and may have run.
    ran: BTreeSet<String>,
    /// Ids of non-idempotent requests whose callers received "not run".
    not_run: BTreeSet<String>,
    proof: Proof,
    /// True if a mechanism is off.
    reduced: bool,
    /// Tick of the last grant that named a shard.
    granted: BTreeMap<Shard, Tick>,
    /// Shards with an unanswered attempt since their last release.
    unanswered: BTreeSet<Shard>,
    revision: u64,
    /// Names of the decisions that occurred.
    pub(super) seen: BTreeSet<String>,
}

impl Model {
    pub(super) fn new(slots: u32, proof: Proof, without: Option<Mechanism>) -> Self {
        let wall = WallClock {
            tick: Tick::default(),
            unix: UnixMillis(0),
        };
        let mut builder = Admission::builder(wall)
            .slots(Slots(slots))
            .queue(QUEUE)
            .margin(MARGIN)
            .memory(MEMORY)
            .proof(proof);
        if let Some(mechanism) = without {
            builder = builder.without(mechanism);
        }
        let mut admission = builder.build().expect("the crate's charts load");
        for shard in 0..SHARDS {
            let assigned = admission.assign(Tick::default(), Shard(shard), Origin::New);
            assigned.expect("a new shard");
        }
        Self {
            now: ms(5000),
            admission,
            slots: usize::try_from(slots).expect("a small number"),
            tickets: BTreeMap::new(),
            admitted: BTreeMap::new(),
            lingering: Vec::new(),
            ran: BTreeSet::new(),
            not_run: BTreeSet::new(),
            proof,
            reduced: without.is_some(),
            granted: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            revision: 0,
            seen: BTreeSet::new(),
        }
    }

    pub(super) fn apply(&mut self, step: &Step) {
        match *step {
            Step::Offer {
                shard,
                deadline,
                id,
                digest,
                idempotent,
            } => {
                let deadline = self.now.after(Duration::from_millis(deadline));
                let mut request = Request::new(Shard(shard), deadline);
                if let Some(number) = id {
                    // Ids of several ages, all after the start of service plus one second.
                    request = request.id(v7(2000 + number * 100, number), Digest(digest));
                }
                if idempotent {
                    request = request.idempotent();
                }
                self.offer(&request);
            }
            Step::Advance(by) => {
                self.now = self.now.after(Duration::from_millis(by));
                let actions = self.admission.poll(self.now);
                self.carry_out(actions);
            }
            Step::Finish(pick, cause) => {
                let ids: Vec<TicketId> = self.tickets.keys().copied().collect();
                if let Some(&id) = ids.get(pick % ids.len().max(1)) {
                    self.finish(id, cause);
                }
            }
            Step::Cancel(pick) => {
                let ids: Vec<TicketId> = self.admitted.keys().copied().collect();
                if let Some(&id) = ids.get(pick % ids.len().max(1)) {
                    match self
                        .admission
                        .cancel(self.now, id)
                        .expect("an admitted request")
                    {
                        Cancelled::Removed(dropped) => {
                            self.carry_out(Actions {
                                dropped: [dropped].into_iter().collect(),
                                ..Actions::default()
                            });
                        }
                        Cancelled::Close => self.finish(id, Cause::Abandoned),
                        Cancelled::Continues => {
                            assert!(!self.admitted[&id].request.is_idempotent());
                        }
                    }
                }
            }
            Step::Access(kind) => {
                let access = match kind {
                    0 => Access::Closed,
                    1 => Access::Draining(self.now.after(Duration::from_millis(30))),
                    _ => Access::Open,
                };
                let actions = self.admission.set_access(self.now, access);
                self.carry_out(actions);
            }
            Step::Revoke(shard) => {
                self.revision += 1;
                let to = "other".parse().expect("a name");
                let (now, revision) = (self.now, Revision(self.revision));
                if let Ok(dropped) = self.admission.revoke(now, Shard(shard), to, revision) {
                    self.carry_out(Actions {
                        dropped,
                        ..Actions::default()
                    });
                }
            }
            Step::Renew => self.renew_grant(),
            // Both may fail because of the state of the shard.
            Step::Assign(shard) => {
                let origin = Origin::Owner(Revision(self.revision));
                let _ = self.admission.assign(self.now, Shard(shard), origin);
            }
            Step::Receive(shard) => {
                let (now, revision) = (self.now, Revision(self.revision));
                let handover = Handover {
                    since: UnixMillis(u64::try_from(now.0.as_millis()).expect("a short run")),
                    records: Vec::new(),
                };
                if let Ok(actions) =
                    self.admission
                        .receive_release(now, Shard(shard), revision, handover)
                {
                    self.carry_out(actions);
                }
            }
        }
        self.check();
    }

    fn renew_grant(&mut self) {
        for shard in self.admission.renew_grant(self.now) {
            self.granted.insert(shard, self.now);
        }
    }

    fn offer(&mut self, request: &Request) {
        let admitted = |queued| Admitted {
            request: request.clone(),
            may_have_run: false,
            queued,
        };
        let decision = self.admission.offer(self.now, request.clone());
        self.seen.insert(match &decision {
            Decision::Start(_) => "start".to_owned(),
            Decision::Queued(_) => "queued".to_owned(),
            Decision::Shed(why, _) => why.to_string(),
            Decision::Duplicate(_) => "repeat".to_owned(),
            Decision::InFlight => "in flight".to_owned(),
            Decision::Conflict => "conflict".to_owned(),
        });
        match decision {
            Decision::Start(ticket) => {
                self.admitted.insert(ticket.id(), admitted(true));
                self.on_start(ticket);
            }
            Decision::Queued(id) => {
                self.admitted.insert(id, admitted(true));
            }
            Decision::Shed(why, outcome) => {
                let ran = request
                    .request_id()
                    .is_some_and(|id| self.ran.contains(id.as_str()));
                let truth = !why.is_final() || outcome != Outcome::NotRun || !ran;
                assert!(truth, "a copy is answered not-run and ran");
                assert_ne!(outcome, Outcome::Done);
                if why.is_final() {
                    self.record_answer(request, outcome);
                }
            }
            Decision::Duplicate(_) | Decision::InFlight | Decision::Conflict => {}
        }
    }

    fn record_answer(&mut self, request: &Request, outcome: Outcome) {
        match request.request_id() {
            Some(id) if outcome == Outcome::NotRun && !request.is_idempotent() => {
                self.not_run.insert(id.to_string());
            }
            _ => {}
        }
    }

    fn on_start(&mut self, ticket: Ticket) {
        let id = ticket.id();
        let admitted = self.admitted.get_mut(&id).expect("an admitted request");
        assert!(admitted.queued, "{id} started twice at once");
        admitted.queued = false;
        let request = admitted.request.clone();
        let earlier = self.admitted.values().filter(|l| {
            let serving =
                self.admission.ownership().state(l.request.shard()) == ShardState::Serving;
            l.queued && serving && l.request.deadline() < request.deadline()
        });
        assert_eq!(earlier.count(), 0, "{id} overtook an earlier deadline");
        self.tickets.insert(id, ticket);
    }

    fn carry_out(&mut self, actions: Actions) {
        for dropped in actions.dropped {
            let admitted = self
                .admitted
                .remove(&dropped.id)
                .expect("an admitted request");
            self.seen.insert(dropped.reason.to_string());
            assert!(admitted.queued);
            let truth = dropped.outcome != Outcome::NotRun || !admitted.may_have_run;
            assert!(truth, "{} is answered not-run and ran", dropped.id);
            assert_ne!(dropped.outcome, Outcome::Done);
            if dropped.reason.is_final() {
                self.record_answer(&admitted.request, dropped.outcome);
            }
        }
        // Requests that start together are checked against the queue without each other.
        for ticket in &actions.started {
            assert!(self.admitted[&ticket.id()].queued);
        }
        for ticket in actions.started {
            self.on_start(ticket);
        }
        for id in actions.close {
            self.finish(id, Cause::TimedOut);
        }
        for release in actions.releases {
            self.seen.insert("release".to_owned());
            let shard = release.shard;
            let open = self.tickets.keys().map(|id| &self.admitted[id].request);
            let open = open.filter(|r| r.shard() == shard);
            let unanswered = self.unanswered.remove(&shard);
            match self.proof {
                Proof::Deadline => {
                    let alive = open.filter(|r| r.deadline().after(MARGIN) > self.now);
                    assert_eq!(alive.count(), 0, "released with a request in flight");
                    let lingering = self.lingering.iter();
                    let alive = lingering.filter(|&&(end, s)| s == shard && end > self.now);
                    assert_eq!(alive.count(), 0, "released with an unanswered request");
                }
                Proof::Grant => {
                    let granted = self.granted.get(&shard).copied();
                    let valid = granted.is_some_and(|at| self.now.since(at) < GRANT_VALIDITY);
                    let idle = open.count() == 0 && !unanswered;
                    assert!(idle || !valid, "released under a valid grant");
                }
            }
        }
    }

    fn finish(&mut self, id: TicketId, cause: Cause) {
        let ticket = self.tickets.remove(&id).expect("a running request");
        let admitted = self.admitted.get_mut(&id).expect("an admitted request");
        let request = admitted.request.clone();
        let verdict = cause.verdict();
        admitted.may_have_run |= verdict.outcome == Outcome::Unknown;
        if verdict.outcome != Outcome::NotRun
            && !request.is_idempotent()
            && let Some(id) = request.request_id()
        {
            assert!(self.ran.insert(id.to_string()), "{id} ran twice");
            assert!(
                !self.not_run.contains(id.as_str()),
                "{id} ran after not-run"
            );
        }
        if verdict.may_linger {
            let end = request.deadline().after(MARGIN);
            self.lingering.push((end, request.shard()));
            self.unanswered.insert(request.shard());
        }
        let finished = self.admission.finish(self.now, ticket, cause);
        let finished = finished.expect("a ticket of this admission");
        match finished.report {
            Report::Retry(again) => {
                assert_eq!(again, id);
                assert!(request.is_idempotent());
                admitted.queued = true;
                self.seen.insert("retry".to_owned());
            }
            Report::Answer(record) => {
                let truth = record.outcome != Outcome::NotRun || !admitted.may_have_run;
                assert!(truth, "{id} is answered not-run and ran");
                self.admitted.remove(&id);
                self.record_answer(&request, record.outcome);
            }
        }
        self.carry_out(finished.actions);
    }

    fn check(&mut self) {
        let now = self.now;
        self.lingering.retain(|&(end, _)| end > now);
        let occupied = self.tickets.len() + self.lingering.len();
        assert!(occupied <= self.slots, "{occupied} of {} slots", self.slots);
        assert!((1..=self.slots).contains(&(self.admission.limit().0 as usize)));
        assert_eq!(self.admission.running(), self.tickets.len());
        assert_eq!(
            self.admission.queued() + self.tickets.len(),
            self.admitted.len()
        );
        assert!(self.admission.memory().len() <= MEMORY);
        if self.reduced {
            // The counts below depend on the mechanism that is off.
            return;
        }
        assert_eq!(self.admission.occupied(now), occupied);
        let ids = |l: &&Admitted| l.request.request_id().is_some();
        let in_flight = self.admitted.values().filter(ids).count();
        assert_eq!(self.admission.memory().in_flight(), in_flight);
        for (id, ticket) in &self.tickets {
            let state = self
                .admission
                .ownership()
                .state(self.admitted[id].request.shard());
            let held = matches!(state, ShardState::Serving | ShardState::Releasing);
            assert!(held || self.admission.check_write(now, ticket).is_err());
        }
    }

    /// Advances the time until all requests have ended.
    pub(super) fn finish_all(&mut self) {
        for _ in 0..20 {
            self.apply(&Step::Advance(100));
        }
        assert!(self.admitted.is_empty(), "requests are left over");
    }
}
