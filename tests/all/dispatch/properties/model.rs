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

/// One admitted request as the model sees it.
#[derive(Debug)]
struct Live {
    request: Request,
    /// Whether an attempt may have run.
    touched: bool,
    queued: bool,
}

pub(super) struct Model {
    now: Tick,
    admission: Admission,
    slots: usize,
    tickets: BTreeMap<TicketId, Ticket>,
    live: BTreeMap<TicketId, Live>,
    /// Ends of attempts that the upstream may still work on, with their shard.
    lingering: Vec<(Tick, Shard)>,
    /// Ids of non-idempotent requests that were started and may have run.
    ran: BTreeSet<String>,
    /// Ids of non-idempotent requests whose callers were told "not run".
    denied: BTreeSet<String>,
    proof: Proof,
    /// Whether a mechanism is off.
    reduced: bool,
    /// Last grant that named a shard.
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
            live: BTreeMap::new(),
            lingering: Vec::new(),
            ran: BTreeSet::new(),
            denied: BTreeSet::new(),
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
                    // Ids of several ages, all after the start of the tenure plus one second.
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
                self.act(actions);
            }
            Step::Finish(pick, cause) => {
                let ids: Vec<TicketId> = self.tickets.keys().copied().collect();
                if let Some(&id) = ids.get(pick % ids.len().max(1)) {
                    self.finish(id, cause);
                }
            }
            Step::Cancel(pick) => {
                let ids: Vec<TicketId> = self.live.keys().copied().collect();
                if let Some(&id) = ids.get(pick % ids.len().max(1)) {
                    match self.admission.cancel(self.now, id).expect("a live request") {
                        Cancelled::Removed(dropped) => {
                            self.act(Actions {
                                dropped: [dropped].into_iter().collect(),
                                ..Actions::default()
                            });
                        }
                        Cancelled::Close => self.finish(id, Cause::Abandoned),
                        Cancelled::Continues => {
                            assert!(!self.live[&id].request.is_idempotent());
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
                self.act(actions);
            }
            Step::Revoke(shard) => {
                self.revision += 1;
                let to = "other".parse().expect("a name");
                let (now, revision) = (self.now, Revision(self.revision));
                if let Ok(dropped) = self.admission.revoke(now, Shard(shard), to, revision) {
                    self.act(Actions {
                        dropped,
                        ..Actions::default()
                    });
                }
            }
            Step::Renew => self.renew(),
            // Both fail if the shard is in another state.
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
                    self.act(actions);
                }
            }
        }
        self.check();
    }

    fn renew(&mut self) {
        for shard in self.admission.renew_grant(self.now) {
            self.granted.insert(shard, self.now);
        }
    }

    fn offer(&mut self, request: &Request) {
        let live = |queued| Live {
            request: request.clone(),
            touched: false,
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
                self.live.insert(ticket.id(), live(true));
                self.started(ticket);
            }
            Decision::Queued(id) => {
                self.live.insert(id, live(true));
            }
            Decision::Shed(why, outcome) => {
                let ran = request
                    .request_id()
                    .is_some_and(|id| self.ran.contains(id.as_str()));
                let truth = !why.is_final() || outcome != Outcome::NotRun || !ran;
                assert!(truth, "a copy is told not-run and ran");
                assert_ne!(outcome, Outcome::Done);
                if why.is_final() {
                    self.tell(request, outcome);
                }
            }
            Decision::Duplicate(_) | Decision::InFlight | Decision::Conflict => {}
        }
    }

    fn tell(&mut self, request: &Request, outcome: Outcome) {
        match request.request_id() {
            Some(id) if outcome == Outcome::NotRun && !request.is_idempotent() => {
                self.denied.insert(id.to_string());
            }
            _ => {}
        }
    }

    fn started(&mut self, ticket: Ticket) {
        let id = ticket.id();
        let live = self.live.get_mut(&id).expect("an admitted request");
        assert!(live.queued, "{id} started twice at once");
        live.queued = false;
        let request = live.request.clone();
        let earlier = self.live.values().filter(|l| {
            let serving =
                self.admission.ownership().state(l.request.shard()) == ShardState::Serving;
            l.queued && serving && l.request.deadline() < request.deadline()
        });
        assert_eq!(earlier.count(), 0, "{id} overtook an earlier deadline");
        self.tickets.insert(id, ticket);
    }

    fn act(&mut self, actions: Actions) {
        for dropped in actions.dropped {
            let live = self.live.remove(&dropped.id).expect("an admitted request");
            self.seen.insert(dropped.reason.to_string());
            assert!(live.queued);
            let truth = dropped.outcome != Outcome::NotRun || !live.touched;
            assert!(truth, "{} is told not-run and ran", dropped.id);
            assert_ne!(dropped.outcome, Outcome::Done);
            if dropped.reason.is_final() {
                self.tell(&live.request, dropped.outcome);
            }
        }
        // Requests that start together are checked against the queue without each other.
        for ticket in &actions.started {
            assert!(self.live[&ticket.id()].queued);
        }
        for ticket in actions.started {
            self.started(ticket);
        }
        for id in actions.close {
            self.finish(id, Cause::TimedOut);
        }
        for release in actions.releases {
            self.seen.insert("release".to_owned());
            let shard = release.shard;
            let open = self.tickets.keys().map(|id| &self.live[id].request);
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
        let live = self.live.get_mut(&id).expect("an admitted request");
        let request = live.request.clone();
        let verdict = cause.verdict();
        live.touched |= verdict.outcome == Outcome::Unknown;
        if verdict.outcome != Outcome::NotRun
            && !request.is_idempotent()
            && let Some(id) = request.request_id()
        {
            assert!(self.ran.insert(id.to_string()), "{id} ran twice");
            assert!(!self.denied.contains(id.as_str()), "{id} ran after not-run");
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
                live.queued = true;
                self.seen.insert("retry".to_owned());
            }
            Report::Answer(record) => {
                let truth = record.outcome != Outcome::NotRun || !live.touched;
                assert!(truth, "{id} is told not-run and ran");
                self.live.remove(&id);
                self.tell(&request, record.outcome);
            }
        }
        self.act(finished.actions);
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
            self.live.len()
        );
        assert!(self.admission.memory().len() <= MEMORY);
        if self.reduced {
            // The counts below belong to the mechanism that is off.
            return;
        }
        assert_eq!(self.admission.occupied(now), occupied);
        let ids = |l: &&Live| l.request.request_id().is_some();
        let in_flight = self.live.values().filter(ids).count();
        assert_eq!(self.admission.memory().in_flight(), in_flight);
        for (id, ticket) in &self.tickets {
            let state = self
                .admission
                .ownership()
                .state(self.live[id].request.shard());
            let held = matches!(state, ShardState::Serving | ShardState::Releasing);
            assert!(held || self.admission.check_write(now, ticket).is_err());
        }
    }

    /// Lets everything end.
    pub(super) fn settle(&mut self) {
        for _ in 0..20 {
            self.apply(&Step::Advance(100));
        }
        assert!(self.live.is_empty(), "requests are left over");
    }
}
