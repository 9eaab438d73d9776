//! Interpreter of the scenario files.
//!
//! A scenario drives one [`Admission`] on manual time; times are in milliseconds. Ids written as
//! `v1000-7` are `UUIDv7` ids minted at Unix time 1000 ms. `REWRITE=1` updates the expected output.

mod health;

use std::collections::BTreeMap;
use std::time::Duration;

use datadriven::{TestCase, walk};
use trefoil_core::{Outcome, Revision, Shard, Slots, Tick, UnixMillis};
use trefoil_dispatch::mechanism::Mechanism;
use trefoil_dispatch::{
    Access, Actions, Admission, Cause, Decision, Digest, Dropped, Finished, Handover, Origin,
    Proof, Record, Refusal, Report, Request, Status, Ticket, WallClock,
};

use super::{ms, v7};

/// Runs every scenario file.
#[test]
fn scenarios() {
    walk("tests/all/dispatch/scenarios", |file| {
        let mut session = Session::default();
        file.run(|case| session.run(case));
    });
}

#[derive(Default)]
struct Session {
    now: Tick,
    admission: Option<Admission>,
    tickets: BTreeMap<String, Ticket>,
    health: health::Script,
}

fn take<T>(case: &mut TestCase, name: &str, default: T) -> T
where
    T: std::str::FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.try_take_arg(name)
        .expect("a valid argument")
        .unwrap_or(default)
}

fn cause(text: &str) -> Cause {
    match text.split_once('.').unwrap_or((text, "200")) {
        ("not-connected", _) => Cause::NotConnected,
        ("nothing-written", _) => Cause::NothingWritten,
        ("partially-written", _) => Cause::PartiallyWritten,
        ("no-answer", _) => Cause::NoAnswer,
        ("timed-out", _) => Cause::TimedOut,
        ("abandoned", _) => Cause::Abandoned,
        ("overload", _) => Cause::Refused(Refusal::Overload),
        ("fence", _) => Cause::Refused(Refusal::Fence),
        ("answered", status) => Cause::Answered(Status(status.parse().expect("a status"))),
        ("late", status) => Cause::AnsweredLate(Status(status.parse().expect("a status"))),
        ("cut-off", _) => Cause::CutOff,
        _ => panic!("unknown cause {text}"),
    }
}

fn mechanism(text: &str) -> Mechanism {
    match text {
        "memory" => Mechanism::Memory,
        "mint-rule" => Mechanism::MintRule,
        "handover" => Mechanism::Handover,
        "release-wait" => Mechanism::ReleaseWait,
        "linger" => Mechanism::Linger,
        "shedding" => Mechanism::Shedding,
        "prior-run" => Mechanism::PriorRun,
        _ => panic!("unknown mechanism {text}"),
    }
}

fn request_id(text: &str) -> trefoil_core::RequestId {
    match text.strip_prefix('v').and_then(|t| t.split_once('-')) {
        Some((at, number)) => v7(
            at.parse().expect("a time"),
            number.parse().expect("a number"),
        ),
        None => text.parse().expect("a request id"),
    }
}

impl Session {
    fn run(&mut self, case: &mut TestCase) -> String {
        let name = case.directive.clone();
        if name == "new" {
            self.new_admission(case);
            return String::new();
        }
        if let Some(part) = name.strip_prefix("health-") {
            return self.health.run(part, case);
        }
        let mut admission = self.admission.take().expect("`new` comes first");
        let text = match name.as_str() {
            "offer" => self.offer(&mut admission, case),
            "finish" => self.finish(&mut admission, case),
            "until" => self.until(&mut admission, ms(take(case, "t", 0))),
            "repeat" => {
                // Idempotent requests, each answered after 10 ms.
                for _ in 0..take(case, "times", 1) {
                    let deadline = self.now.after(Duration::from_mins(1));
                    let request = Request::new(Shard(0), deadline).idempotent();
                    let Decision::Start(ticket) = admission.offer(self.now, request) else {
                        panic!("the upstream is idle");
                    };
                    self.now = self.now.after(Duration::from_millis(10));
                    let answered = Cause::Answered(Status(200));
                    let finished = admission.finish(self.now, ticket, answered);
                    finished.expect("the ticket is of this admission");
                }
                String::new()
            }
            "check" => {
                let ticket = &self.tickets[&take(case, "n", String::new())];
                match admission.check_write(self.now, ticket) {
                    Ok(()) => "write\n".to_owned(),
                    Err(stop) => format!("stop: {stop}\n"),
                }
            }
            "cancel" => {
                let ticket = &self.tickets[&take(case, "n", String::new())];
                format!("{:?}\n", admission.cancel(self.now, ticket.id()))
            }
            "access" => {
                let access = match take(case, "to", String::new()).as_str() {
                    "open" => Access::Open,
                    "closed" => Access::Closed,
                    _ => Access::Draining(ms(take(case, "until", 0))),
                };
                let actions = admission.set_access(self.now, access);
                self.actions(actions)
            }
            "state" => format!(
                "running {} occupied {} queued {} limit {} remembered {}\n",
                admission.running(),
                admission.occupied(self.now),
                admission.queued(),
                admission.limit(),
                admission.memory().len(),
            ),
            _ => self.shard(&mut admission, case),
        };
        self.admission = Some(admission);
        case.expect_empty().expect("known arguments");
        text
    }

    fn new_admission(&mut self, case: &mut TestCase) {
        self.now = ms(take(case, "t", 0));
        self.tickets.clear();
        let wall = WallClock {
            tick: self.now,
            unix: UnixMillis(take(case, "unix", 0)),
        };
        let proof = match take(case, "proof", "deadline".to_owned()).as_str() {
            "grant" => Proof::Grant,
            _ => Proof::Deadline,
        };
        let mut builder = Admission::builder(wall)
            .slots(Slots(take(case, "slots", 2)))
            .queue(take(case, "queue", 256))
            .margin(Duration::from_millis(take(case, "margin", 500)))
            .memory(take(case, "memory", 65_536))
            .proof(proof);
        let off = take(case, "without", String::new());
        if !off.is_empty() {
            builder = builder.without(mechanism(&off));
        }
        let mut admission = builder.build().expect("the crate's charts load");
        if !case.take_flag("unassigned").expect("a flag") {
            let assigned = admission.assign(self.now, Shard(0), Origin::New);
            assigned.expect("a new shard");
        }
        self.admission = Some(admission);
    }

    fn offer(&mut self, admission: &mut Admission, case: &mut TestCase) -> String {
        let shard = Shard(take(case, "shard", 0));
        let mut request = Request::new(shard, ms(take(case, "deadline", 1_000_000)));
        let id = take(case, "id", String::new());
        if !id.is_empty() {
            request = request.id(request_id(&id), Digest(take(case, "digest", 1)));
        }
        if case.take_flag("idempotent").expect("a flag") {
            request = request.idempotent();
        }
        match admission.offer(self.now, request) {
            Decision::Start(ticket) => self.start(ticket),
            Decision::Queued(id) => format!("queued {id}\n"),
            Decision::Shed(why, outcome) => format!("shed ({why}): {outcome}\n"),
            Decision::Duplicate(record) => format!("repeat: {}\n", record.outcome),
            Decision::InFlight => "in flight\n".to_owned(),
            Decision::Conflict => "conflict\n".to_owned(),
        }
    }

    fn finish(&mut self, admission: &mut Admission, case: &mut TestCase) -> String {
        let number: String = take(case, "n", String::new());
        let ticket = self.tickets.remove(&number).expect("a started request");
        let reason = cause(&take(case, "cause", "answered".to_owned()));
        let finished = admission.finish(self.now, ticket, reason);
        let Finished {
            report, actions, ..
        } = finished.expect("the ticket is of this admission");
        let report = match report {
            Report::Answer(record) => format!("{number}: {}\n", record.outcome),
            Report::Retry(id) => format!("retry {id}\n"),
        };
        report + &self.actions(actions)
    }

    fn start(&mut self, ticket: Ticket) -> String {
        let id = ticket.id().to_string();
        let text = format!("start {id}\n");
        self.tickets.insert(id, ticket);
        text
    }

    fn actions(&mut self, actions: Actions) -> String {
        let drop = |d: Dropped| format!("drop {} ({}): {}\n", d.id, d.reason, d.outcome);
        let mut text: String = actions.dropped.into_iter().map(drop).collect();
        text.extend(actions.started.into_iter().map(|t| self.start(t)));
        text.extend(
            actions
                .expired
                .into_iter()
                .map(|id| format!("expire {id}\n")),
        );
        text.extend(actions.close.into_iter().map(|id| format!("close {id}\n")));
        let release = |r: trefoil_dispatch::Release| {
            let (records, since) = (r.handover.records.len(), r.handover.since);
            let covers = format!("{records} records since {since}");
            format!(
                "release {} to {} at {}, {covers}\n",
                r.shard, r.to, r.revision
            )
        };
        text.extend(actions.releases.into_iter().map(release));
        text
    }

    /// Polls at every wake until `end`.
    fn until(&mut self, admission: &mut Admission, end: Tick) -> String {
        let mut text = String::new();
        let mut rounds = 0;
        while let Some(wake) = admission.next_wake(self.now).filter(|&at| at <= end) {
            self.now = self.now.max(wake);
            let actions = admission.poll(self.now);
            let lines = self.actions(actions);
            text.extend(lines.lines().map(|l| format!("{}: {l}\n", self.now)));
            rounds += 1;
            assert!(rounds < 1000, "poll at {} does not settle", self.now);
        }
        self.now = end;
        text
    }

    fn shard(&mut self, admission: &mut Admission, case: &mut TestCase) -> String {
        let shard = Shard(take(case, "shard", 0));
        let revision = Revision(take(case, "revision", 1));
        let result = match case.directive.as_str() {
            "renew" => return format!("{:?}\n", admission.renew_grant(self.now)),
            "assign" => {
                let until = take(case, "predecessor", 0);
                let origin = match () {
                    () if until > 0 => Origin::Predecessor(ms(until)),
                    () if case.take_flag("new").expect("a flag") => Origin::New,
                    () => Origin::Owner(revision),
                };
                admission
                    .assign(self.now, shard, origin)
                    .map(|()| String::new())
            }
            "receive" => {
                let since = UnixMillis(take(case, "since", 0));
                // Records are written as `id.digest`, followed by `.unknown` if they are not done.
                let record = |text: String| {
                    let (id, rest) = text.split_once('.').expect("an id and a digest");
                    let (digest, outcome) = match rest.strip_suffix(".unknown") {
                        Some(digest) => (digest, Outcome::Unknown),
                        None => (rest, Outcome::Done),
                    };
                    let digest = Digest(digest.parse().expect("a digest"));
                    (request_id(id), digest, Record::of(outcome))
                };
                let records = case.try_take_args::<String>("records").expect("records");
                let records = records.into_iter().flatten().map(record).collect();
                let handover = Handover { since, records };
                let received = admission.receive_release(self.now, shard, revision, handover);
                received.map(|a| self.actions(a))
            }
            "revoke" => {
                let to = take(case, "to", "other".to_owned());
                let to = to.parse().expect("an upstream's name");
                let dropped = admission.revoke(self.now, shard, to, revision);
                dropped.map(|dropped| {
                    self.actions(Actions {
                        dropped,
                        ..Actions::default()
                    })
                })
            }
            other => panic!("unknown directive {other}"),
        };
        let state = admission.ownership().state(shard);
        match result {
            Ok(text) => format!("{text}shard {shard}: {state}\n"),
            Err(error) => format!("error: {error}\n"),
        }
    }
}
