//! The log tailer, the schedule of snapshots, and records of operators.

use std::sync::Arc;
use std::time::Duration;

use trefoil_core::{Clock, Offset, Revision};
use trefoil_daemon::Shared;
use trefoil_daemon::shared::ReplayState;
use trefoil_daemon::snapshots::{self, Policy, SnapshotMonitor};
use trefoil_log::snapshot::split_view_with_max;
use trefoil_log::{Body, Log, SignedRecord, Verdict, View};
use trefoil_standin::StoreFault;

use super::{Simulation, record, revision};
use crate::log::{envelope, routing, signed};

const POLICY: Policy = Policy {
    records: 10,
    interval: Duration::from_mins(1),
};

/// Guards against a tailer that stops at a transient fault: the host serves its current view while
/// the log is down, is not ready while records are missing, and recovers from both by itself.
#[test]
fn the_tailer_recovers_from_faults_of_the_log() {
    let mut sim = Simulation::new();
    let first = sim.publish(0);
    let host = sim.start_reader(1);
    assert!(sim.run_until(|| host.is_ready()));

    sim.set_fault(StoreFault::Down);
    assert!(sim.run_until(|| matches!(host.replay_state(), ReplayState::LogUnavailable(_))));
    assert!(host.is_ready(), "the host serves its current view");
    let second = sim.publish(first);
    let third = sim.publish(second);
    let view = sim.replayed();
    sim.log.truncate(Offset(2));
    sim.set_fault(StoreFault::None);
    assert!(sim.run_until(|| matches!(host.replay_state(), ReplayState::RecordsMissing(_))));
    assert!(!host.is_ready(), "a host that misses records is not ready");

    for (sequence, part) in (1..).zip(split_view_with_max(&view, 100).expect("the view splits")) {
        let part = envelope(50, sequence, Body::Snapshot(part));
        sim.append(signed(&part, &sim.keys.host));
    }
    assert!(sim.run_until(|| host.is_ready()), "{}", host.replay_state());
    assert_eq!(revision(&host), Revision(third));
}

/// Guards against a host that still serves after a record that it cannot replay: it applies the
/// records before it, is not ready and drains.
#[test]
fn a_host_stops_at_a_record_of_a_newer_version() {
    let mut sim = Simulation::new();
    let host = sim.start_reader(1);
    assert!(sim.run_until(|| host.is_ready()));
    // All three records may be in one batch.
    let first = sim.publish(0);
    sim.write(Body::FormatLevel { format: 2 });
    sim.publish(first);
    assert!(sim.run_until(|| matches!(host.replay_state(), ReplayState::Stopped(_))));
    assert_eq!(revision(&host), Revision(first));
    assert!(!host.is_ready() && host.is_draining());
    sim.advance(Duration::from_secs(5));
    assert_eq!(revision(&host), Revision(first), "replay does not continue");
}

fn submit(sim: &Simulation, to: &Arc<Shared>, data: &bytes::Bytes) -> Verdict {
    let (to, data) = (Arc::clone(to), data.clone());
    let until = sim.clock.now().after(Duration::from_secs(5));
    let sent = async move { to.submit(data, until).await };
    let task = sim.executor.spawn(sent);
    assert!(sim.run_until(|| task.is_finished()));
    smol::block_on(task).expect("a verdict")
}

/// Guards against a retry of an operator that is answered only with "duplicate", or that appends
/// copies to the log.
#[test]
fn a_repeated_record_gets_the_first_verdict() {
    let sim = Simulation::new();
    let (host, other) = (sim.start_reader(1), sim.start_reader(2));
    assert!(sim.run_until(|| host.is_ready() && other.is_ready()));
    let body = Body::Config(Box::new(routing("r", "u", 1, 0)));
    let data = signed(&envelope(1, 1, body), &sim.keys.operator);
    let first = submit(&sim, &host, &data);
    assert!(matches!(first, Verdict::Accepted { .. }), "{first:?}");
    assert_eq!(submit(&sim, &host, &data), first);
    assert!(sim.run_until(|| revision(&other) == revision(&host)));
    assert_eq!(submit(&sim, &other, &data), first);
    assert_eq!(sim.replayed().next, Offset(1), "no copy was appended");

    // A host that has not replayed the first copy appends another one.
    sim.set_fault(StoreFault::Down);
    let late = sim.start_reader(3);
    sim.advance(Duration::from_secs(1));
    let sent = {
        let (late, data) = (Arc::clone(&late), data.clone());
        let until = sim.clock.now().after(Duration::from_secs(20));
        sim.executor
            .spawn(async move { late.submit(data, until).await })
    };
    sim.advance(Duration::from_secs(1));
    sim.set_fault(StoreFault::None);
    assert!(sim.run_until(|| sent.is_finished()));
    assert_eq!(smol::block_on(sent).expect("a verdict"), first);
}

/// Guards against a view that is replaced by an older one: the tailer and the catch-up from other
/// hosts publish independently.
#[test]
fn an_older_view_is_not_published() {
    let mut sim = Simulation::new();
    let host = sim.start_reader(1);
    let old = View::clone(&host.view());
    sim.publish(0);
    assert!(sim.run_until(|| revision(&host) == Revision(1)));
    host.publish(old, []);
    assert_eq!(revision(&host), Revision(1));
}

/// Guards against a snapshot that is never due, that is due while another host writes one, or that
/// is due again immediately because its own records are counted.
#[test]
fn a_snapshot_is_due_by_records_or_time() {
    let mut sim = Simulation::new();
    let host = sim.start_reader(1);
    let mut base = 0;
    for _ in 0..9 {
        base = sim.publish(base);
    }
    assert!(sim.run_until(|| revision(&host) == Revision(9)));
    let mut watch = SnapshotMonitor::new(POLICY, sim.clock.now());
    let mut due = |sim: &Simulation| watch.is_due(&host.view(), &*sim.clock);
    assert!(!due(&sim), "nine records");
    sim.publish(base);
    assert!(sim.run_until(|| revision(&host) == Revision(10)));
    assert!(due(&sim), "ten records");

    let parts = split_view_with_max(&host.view(), 30).expect("the view splits");
    assert!(parts.len() > 10, "more records than the limit");
    let write = |index: usize| {
        let sequence = 1 + u64::try_from(index).expect("small");
        let mut part = envelope(50, sequence, Body::Snapshot(parts[index].clone()));
        part.time = sim.clock.unix();
        let next = sim.append(signed(&part, &sim.keys.host)).next();
        assert!(sim.run_until(|| host.view().next == next));
    };
    write(0);
    assert!(!due(&sim), "another host writes");
    sim.advance(Duration::from_secs(7));
    assert!(due(&sim), "the other host has abandoned its snapshot");
    (1..parts.len()).for_each(write);
    assert!(!due(&sim), "the snapshot is complete");
    sim.advance(POLICY.interval);
    assert!(due(&sim), "a quarter of the retention has passed");
}

/// Guards against hosts that all write the same snapshot, and against a snapshot that is not
/// usable.
#[test]
fn one_host_writes_a_snapshot() {
    let mut sim = Simulation::new();
    let hosts: Vec<_> = (1..=3).map(|n| sim.start_reader(n)).collect();
    for number in 1..=3 {
        sim.write(Body::Joined(record(number)));
    }
    let mut base = 0;
    for _ in 0..20 {
        base = sim.publish(base);
    }
    for host in &hosts {
        let run = snapshots::run(Arc::clone(host), POLICY);
        sim.executor.spawn(run).detach();
    }
    assert!(sim.run_until(|| hosts[0].view().snapshot_progress.newest_revision == Revision(base)));
    sim.advance(Duration::from_secs(10));
    let batch = smol::block_on(sim.log.read(Offset(0), 1_000, Duration::ZERO));
    let records = batch.expect("a batch").records;
    let is_part = |data: &[u8]| {
        let envelope = SignedRecord::decode(data).and_then(|s| s.envelope());
        matches!(envelope.expect("a record").body, Body::Snapshot(_))
    };
    let parts = records.iter().filter(|r| is_part(&r.data)).count();
    assert_eq!(parts, 1, "one snapshot of one part");

    sim.log.truncate(Offset(23));
    let late = sim.start_reader(4);
    assert!(sim.run_until(|| late.is_ready()), "{}", late.replay_state());
    assert_eq!(late.view(), hosts[0].view());
}
