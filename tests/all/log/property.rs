//! Replay of random records in random order. The seed is fixed, so all runs are equal.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use trefoil_core::{ManualClock, Offset, ResourceName, Revision, UnixMillis};
use trefoil_log::snapshot::split_view_with_max;
use trefoil_log::{Body, Keyring, Log, MemoryLog, Verdict, View, recover};

use super::{Keys, envelope, routing, signed};

const OPERATORS: u128 = 3;
const HOSTS: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    /// An operator changes a resource, based on the revision in a host's view, or on 0.
    Change {
        operator: u128,
        resource: usize,
        seen_by: usize,
        fresh: bool,
    },
    /// An earlier record is appended again.
    Repeat(prop::sample::Index),
    /// A host replays up to `batches` batches of size `batch`.
    Read {
        host: usize,
        batch: usize,
        batches: usize,
    },
    /// A host writes the first `parts` parts of a snapshot, or all if that is 0.
    Snapshot { host: usize, parts: usize },
    /// Retention drops records that some host has read, if a usable snapshot remains.
    Drop(prop::sample::Index),
    /// A host restarts without its view.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let change = (0..OPERATORS, 0..2usize, 0..HOSTS, prop::bool::weighted(0.2)).prop_map(
        |(operator, resource, seen_by, fresh)| Step::Change {
            operator,
            resource,
            seen_by,
            fresh,
        },
    );
    let read = (0..HOSTS, 1..5usize, 1..5usize).prop_map(|(host, batch, batches)| Step::Read {
        host,
        batch,
        batches,
    });
    let snapshot = (0..HOSTS, 0..20usize).prop_map(|(host, parts)| Step::Snapshot { host, parts });
    prop_oneof![
        6 => change,
        2 => any::<prop::sample::Index>().prop_map(Step::Repeat),
        6 => read,
        1 => snapshot,
        1 => any::<prop::sample::Index>().prop_map(Step::Drop),
        1 => (0..HOSTS).prop_map(Step::Restart),
    ]
}

struct Simulation {
    keys: Keys,
    ring: Keyring,
    log: MemoryLog,
    first: Offset,
    views: Vec<View>,
    written: Vec<bytes::Bytes>,
    sequence: u64,
    /// Verdicts by offset, from the first host that replayed the record.
    verdicts: BTreeMap<Offset, Verdict>,
    /// Base revisions of changes, by record.
    bases: BTreeMap<bytes::Bytes, Revision>,
    /// Revision of the accepted change for each base.
    winners: BTreeMap<(ResourceName, Revision), Revision>,
}

impl Simulation {
    fn new() -> Self {
        let keys = Keys::new();
        let clock = Arc::new(ManualClock::new(UnixMillis(0)));
        Self {
            ring: keys.ring(),
            keys,
            log: MemoryLog::new(clock, 100_000),
            first: Offset(0),
            views: vec![View::default(); HOSTS],
            written: Vec::new(),
            sequence: 0,
            verdicts: BTreeMap::new(),
            bases: BTreeMap::new(),
            winners: BTreeMap::new(),
        }
    }

    fn append(&mut self, data: bytes::Bytes) {
        smol::block_on(self.log.append(data)).expect("the record is appended");
    }

    fn change(&mut self, operator: u128, resource: usize, seen_by: usize, fresh: bool) {
        let name = ["one", "two"][resource];
        let known = self.views[seen_by]
            .resources
            .get(&name.parse().expect("a name"));
        let base = known.filter(|_| !fresh).map_or(0, |r| r.revision.0);
        self.sequence += 1;
        let port = 1 + u16::try_from(resource).expect("small");
        let upstream = format!("u{}-{}", resource, self.sequence);
        let body = Body::Config(Box::new(routing(name, &upstream, port, base)));
        // The counter is shared by the operators, which keeps the sequence of each increasing.
        let data = signed(
            &envelope(operator + 1, self.sequence, body),
            &self.keys.operator,
        );
        self.written.push(data.clone());
        self.bases.insert(data.clone(), Revision(base));
        self.append(data);
    }

    /// Replays records and compares every verdict with those of the other hosts.
    fn read(&mut self, host: usize, batch: usize, batches: usize) {
        for _ in 0..batches {
            let next = self.views[host].next;
            if next < self.first {
                let loaded = recover::load_snapshot(&self.log, &self.ring, self.first);
                match smol::block_on(loaded).expect("the log is read") {
                    Some(view) => self.views[host] = view,
                    None => return,
                }
            }
            let view = &mut self.views[host];
            let read = self.log.read(view.next, batch, Duration::ZERO);
            for record in smol::block_on(read).expect("a batch").records {
                let before = view.clone();
                let verdict = view.apply(record.offset, &record.data, &self.ring);
                let verdict = verdict.expect("replay");
                assert!(view.revision >= before.revision, "revisions only grow");
                let first = self
                    .verdicts
                    .entry(record.offset)
                    .or_insert(verdict.clone());
                assert_eq!(*first, verdict, "hosts agree on {}", record.offset);
                let base = self.bases.get(&record.data).copied();
                check(&before, view, &verdict, base, &mut self.winners);
            }
        }
    }

    fn snapshot(&mut self, host: usize, parts: usize) {
        let all = split_view_with_max(&self.views[host], 256).expect("the view splits");
        let writer = 100 + u128::try_from(host).expect("small");
        for part in all
            .into_iter()
            .take(if parts == 0 { usize::MAX } else { parts })
        {
            self.sequence += 1;
            let record = envelope(writer, self.sequence, Body::Snapshot(part));
            let data = signed(&record, &self.keys.host);
            self.append(data);
        }
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Change {
                operator,
                resource,
                seen_by,
                fresh,
            } => self.change(operator, resource, seen_by, fresh),
            Step::Repeat(ref index) if !self.written.is_empty() => {
                let data = index.get(&self.written).clone();
                self.append(data);
            }
            Step::Repeat(_) => {}
            Step::Read {
                host,
                batch,
                batches,
            } => self.read(host, batch, batches),
            Step::Snapshot { host, parts } => self.snapshot(host, parts),
            Step::Drop(ref index) => {
                let read = self.views.iter().map(|v| v.next).max().unwrap_or_default();
                let to = Offset(
                    u64::try_from(index.index(1 + usize::try_from(read.0).expect("small")))
                        .expect("small"),
                );
                // Without a usable snapshot the records would be lost for good. Retention that
                // covers two snapshots rules this out.
                let kept = recover::load_snapshot(&self.log, &self.ring, to.max(self.first));
                if smol::block_on(kept).expect("the log is read").is_some() {
                    self.first = self.first.max(to);
                    self.log.truncate(self.first);
                }
            }
            Step::Restart(host) => self.views[host] = View::default(),
        }
    }
}

/// Checks that an accepted change is based on the revision in force, that it is the only one with
/// this base, and that no other record changes a resource.
fn check(
    before: &View,
    after: &View,
    verdict: &Verdict,
    base: Option<Revision>,
    winners: &mut BTreeMap<(ResourceName, Revision), Revision>,
) {
    let names: BTreeSet<_> = before
        .resources
        .keys()
        .chain(after.resources.keys())
        .collect();
    for name in names {
        let old = before.resources.get(name);
        let new = after.resources.get(name).expect("a resource stays");
        if old == Some(new) {
            continue;
        }
        let present = old.map_or(Revision(0), |r| r.revision);
        let revision = new.revision;
        assert_eq!(*verdict, Verdict::Accepted { revision });
        assert!(revision > present, "{name} does not revert");
        let base = base.expect("only a change of configuration changes a resource");
        assert_eq!(
            base, present,
            "a change of {name} is based on the revision in force"
        );
        let winner = *winners.entry((name.clone(), base)).or_insert(revision);
        assert_eq!(
            winner, revision,
            "one change based on {base} of {name} is accepted"
        );
    }
}

/// Guards against hosts that reach different views under different batch sizes, duplicates,
/// restarts, complete and incomplete snapshots, and retention. Revisions only grow, accepted
/// configuration never reverts, and exactly one change is accepted for each base revision.
#[test]
fn all_hosts_reach_the_same_view() {
    let mut runner = TestRunner::new(Config {
        cases: 200,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x006c_6f67),
        failure_persistence: None,
        ..Config::default()
    });
    let (accepted, refused) = (Cell::new(0), Cell::new(0));
    let steps = prop::collection::vec(step(), 1..80);
    let result = runner.run(&steps, |steps| {
        let mut sim = Simulation::new();
        for step in &steps {
            sim.run(step);
        }
        for host in 0..HOSTS {
            sim.read(host, 100, 100);
        }
        let same = sim.views.iter().all(|v| *v == sim.views[0]);
        prop_assert!(same, "the hosts' views differ");
        let wins = |v: &&Verdict| matches!(v, Verdict::Accepted { .. });
        accepted.set(accepted.get() + sim.verdicts.values().filter(wins).count());
        let loses = |v: &&Verdict| matches!(v, Verdict::Conflict { .. } | Verdict::Duplicate);
        refused.set(refused.get() + sim.verdicts.values().filter(loses).count());
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
    let (accepted, refused) = (accepted.get(), refused.get());
    assert!(
        accepted > 500 && refused > 500,
        "{accepted} accepted, {refused} refused"
    );
}
