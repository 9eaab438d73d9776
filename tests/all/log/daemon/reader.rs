//! The log reader, snapshots that are due, and records of operators.

use std::sync::Arc;
use std::time::Duration;

use trefoil_core::{Clock, Offset, Revision};
use trefoil_daemon::Shared;
use trefoil_daemon::shared::ReplayState;
use trefoil_daemon::snapshots::{self, Policy, SnapshotMonitor};
use trefoil_log::snapshot::split_view_with_max;
use trefoil_log::{Body, Log, SignedRecord, Verdict, View};
use trefoil_standin::StoreFault;

use super::{World, record, revision};
use crate::log::{envelope, routing, signed};

const POLICY: Policy = Policy {
    records: 10,
    interval: Duration::from_mins(1),
};

/// Guards against a reader that ends at a transient fault: it serves what it has while the log is
/// down, is not ready while records are missing, and goes on by itself after both.
#[test]
fn the_reader_outlives_faults_of_the_log() {
    let mut world = World::new();
    let first = world.publish(0);
    let host = world.reader(1);
    assert!(world.comes(|| host.is_ready()));

    world.fault(StoreFault::Down);
    assert!(world.comes(|| matches!(host.replay_state(), ReplayState::LogUnavailable(_))));
    assert!(host.is_ready(), "the host serves what it has");
    let second = world.publish(first);
    let third = world.publish(second);
    let view = world.replayed();
    world.log.truncate(Offset(2));
    world.fault(StoreFault::None);
    assert!(world.comes(|| matches!(host.replay_state(), ReplayState::RecordsMissing(_))));
    assert!(!host.is_ready(), "a host that misses records is not ready");

    for (sequence, part) in (1..).zip(split_view_with_max(&view, 100).expect("the view splits")) {
        let part = envelope(50, sequence, Body::Snapshot(part));
        world.append(signed(&part, &world.keys.host));
    }
    assert!(world.comes(|| host.is_ready()), "{}", host.replay_state());
    assert_eq!(revision(&host), Revision(third));
}

/// Guards against a host that goes on serving after a record which it cannot replay: it keeps what
/// came before the record, is not ready and drains.
#[test]
fn a_host_stops_at_a_record_of_a_newer_version() {
    let mut world = World::new();
    let host = world.reader(1);
    assert!(world.comes(|| host.is_ready()));
    // All three can be in one batch.
    let first = world.publish(0);
    world.write(Body::FormatLevel { format: 2 });
    world.publish(first);
    assert!(world.comes(|| matches!(host.replay_state(), ReplayState::Stopped(_))));
    assert_eq!(revision(&host), Revision(first));
    assert!(!host.is_ready() && host.is_draining());
    world.pass(Duration::from_secs(5));
    assert_eq!(revision(&host), Revision(first), "it does not go past it");
}

fn submit(world: &World, to: &Arc<Shared>, data: &bytes::Bytes) -> Verdict {
    let (to, data) = (Arc::clone(to), data.clone());
    let until = world.clock.now().after(Duration::from_secs(5));
    let sent = async move { to.submit(data, until).await };
    let task = world.executor.spawn(sent);
    assert!(world.comes(|| task.is_finished()));
    smol::block_on(task).expect("a verdict")
}

/// Guards against an operator's repeat that is told only "duplicate", or that fills the log.
#[test]
fn a_repeated_record_gets_the_first_verdict() {
    let world = World::new();
    let (host, other) = (world.reader(1), world.reader(2));
    assert!(world.comes(|| host.is_ready() && other.is_ready()));
    let body = Body::Config(Box::new(routing("r", "u", 1, 0)));
    let data = signed(&envelope(1, 1, body), &world.keys.operator);
    let first = submit(&world, &host, &data);
    assert!(matches!(first, Verdict::Accepted { .. }), "{first:?}");
    assert_eq!(submit(&world, &host, &data), first);
    assert!(world.comes(|| revision(&other) == revision(&host)));
    assert_eq!(submit(&world, &other, &data), first);
    assert_eq!(world.replayed().next, Offset(1), "no copy was appended");

    // A host that has not read the first copy yet appends another.
    world.fault(StoreFault::Down);
    let late = world.reader(3);
    world.pass(Duration::from_secs(1));
    let sent = {
        let (late, data) = (Arc::clone(&late), data.clone());
        let until = world.clock.now().after(Duration::from_secs(20));
        world
            .executor
            .spawn(async move { late.submit(data, until).await })
    };
    world.pass(Duration::from_secs(1));
    world.fault(StoreFault::None);
    assert!(world.comes(|| sent.is_finished()));
    assert_eq!(smol::block_on(sent).expect("a verdict"), first);
}

/// Guards against a view that is replaced by an older one: the reader and the catch-up from other
/// hosts publish independently.
#[test]
fn an_older_view_is_not_published() {
    let mut world = World::new();
    let host = world.reader(1);
    let old = View::clone(&host.view());
    world.publish(0);
    assert!(world.comes(|| revision(&host) == Revision(1)));
    host.publish(old, []);
    assert_eq!(revision(&host), Revision(1));
}

/// Guards against a snapshot that is never due, due while another host writes one, or due again at
/// once because its own records count.
#[test]
fn a_snapshot_is_due_by_records_or_time() {
    let mut world = World::new();
    let host = world.reader(1);
    let mut base = 0;
    for _ in 0..9 {
        base = world.publish(base);
    }
    assert!(world.comes(|| revision(&host) == Revision(9)));
    let mut watch = SnapshotMonitor::new(POLICY, world.clock.now());
    let mut due = |world: &World| watch.is_due(&host.view(), &*world.clock);
    assert!(!due(&world), "nine records");
    world.publish(base);
    assert!(world.comes(|| revision(&host) == Revision(10)));
    assert!(due(&world), "ten records");

    let parts = split_view_with_max(&host.view(), 30).expect("the view splits");
    assert!(parts.len() > 10, "more records than the limit");
    let write = |index: usize| {
        let sequence = 1 + u64::try_from(index).expect("small");
        let mut part = envelope(50, sequence, Body::Snapshot(parts[index].clone()));
        part.time = world.clock.unix();
        let next = world.append(signed(&part, &world.keys.host)).next();
        assert!(world.comes(|| host.view().next == next));
    };
    write(0);
    assert!(!due(&world), "another host writes");
    world.pass(Duration::from_secs(7));
    assert!(due(&world), "the other host has stopped half-way");
    (1..parts.len()).for_each(write);
    assert!(!due(&world), "the snapshot is complete");
    world.pass(POLICY.interval);
    assert!(due(&world), "a quarter of the retention has passed");
}

/// Guards against hosts that all write the same snapshot, and against a snapshot that nobody can
/// use.
#[test]
fn one_host_writes_a_snapshot() {
    let mut world = World::new();
    let hosts: Vec<_> = (1..=3).map(|n| world.reader(n)).collect();
    for number in 1..=3 {
        world.write(Body::Joined(record(number)));
    }
    let mut base = 0;
    for _ in 0..20 {
        base = world.publish(base);
    }
    for host in &hosts {
        let run = snapshots::run(Arc::clone(host), POLICY);
        world.executor.spawn(run).detach();
    }
    assert!(world.comes(|| hosts[0].view().snapshot_progress.newest_revision == Revision(base)));
    world.pass(Duration::from_secs(10));
    let batch = smol::block_on(world.log.read(Offset(0), 1_000, Duration::ZERO));
    let records = batch.expect("a batch").records;
    let is_part = |data: &[u8]| {
        let envelope = SignedRecord::decode(data).and_then(|s| s.envelope());
        matches!(envelope.expect("a record").body, Body::Snapshot(_))
    };
    let parts = records.iter().filter(|r| is_part(&r.data)).count();
    assert_eq!(parts, 1, "one snapshot of one part");

    world.log.truncate(Offset(23));
    let late = world.reader(4);
    assert!(world.comes(|| late.is_ready()), "{}", late.replay_state());
    assert_eq!(late.view(), hosts[0].view());
}
