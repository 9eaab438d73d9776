//! A shard that is moved twice before any dispatcher has replayed the first move.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use trefoil_core::{Clock, Offset, Revision, SystemClock, WriterId};
use trefoil_log::{Body, Envelope, FORMAT, Log, Placement, Signed};
use trefoil_placement::{Change, Move, ReplicaSet, Table};
use trefoil_standin::faults::Fault;

use super::cluster::{Cluster, served_by, settle, start};
use super::world::{service, upstream};
use crate::process::deployment::send;
use trefoil_soak::eventually;

/// A measurement window that does not end during the test, so that no balancing plan moves shards.
const WINDOW: Duration = Duration::from_hours(24);

/// Execution time of a request at an upstream.
const WORK: Duration = Duration::from_millis(300);

/// Tolerance for the time between the end of an execution and the arrival of its answer at the
/// caller.
const SLACK: Duration = Duration::from_millis(100);

/// Time within which a read of the log that was started before the outage has ended.
const READ: Duration = Duration::from_millis(1200);

/// Time in which the moves of all shards complete.
const MOVES: Duration = Duration::from_secs(3);

/// Moves all shards of one upstream to another.
fn moves(table: &mut Table, from: &str, to: &str) -> Change {
    let member = |name| table.member(&upstream(name)).expect("a member");
    let (from, to) = (member(from), member(to));
    let replica_sets = (0..)
        .zip(table.replica_sets())
        .filter(|(_, s)| s.owner == from);
    let replicas = ReplicaSet {
        owner: to,
        standby: from,
    };
    let moves = replica_sets.map(|(shard, _)| Move {
        shard: trefoil_core::Shard(shard),
        replicas,
    });
    let change = Change::Moves {
        moves: moves.collect(),
    };
    table.apply(&change).expect("it applies");
    change
}

/// Appends a move record to the log directly, while the nodes cannot read it. Returns the revision
/// of the placement.
fn append(cluster: &Cluster, base: Revision, change: Change) -> Revision {
    let envelope = Envelope {
        format: FORMAT,
        writer: WriterId::random(),
        sequence: 1,
        base,
        time: SystemClock.unix(),
        body: Body::Placement(Placement {
            changes: vec![(service(), change)],
            assignments: Vec::new(),
        }),
    };
    let record = Signed::new(&envelope, &cluster.host).and_then(|s| s.encode());
    let appended = smol::block_on(cluster.log.append(record.expect("the record encodes")));
    let Offset(offset) = appended.expect("the log takes it");
    Revision(offset + 1)
}

/// The time of an answer and the upstream that sent it.
struct Served {
    at: Instant,
    upstream: String,
}

fn caller(address: SocketAddr, key: u64, stop: &AtomicBool) -> Vec<Served> {
    let mut all = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let request = Request::post(format!("/offers/customer-{key}"));
        let answer =
            send(address, request.body(Bytes::new()).expect("a request")).expect("an answer");
        assert_eq!(answer.outcome, "done", "{answer:?}");
        all.push(Served {
            at: Instant::now(),
            upstream: answer
                .field("upstream")
                .as_str()
                .unwrap_or_default()
                .to_owned(),
        });
    }
    all
}

/// Guards against a third upstream that serves a key while the first still executes a request for
/// it. This comes about if two moves of a shard are replayed at once and the second owner, which
/// never received the shard, reports to the third one that no upstream owns it.
#[test]
fn a_shard_that_is_moved_twice_at_once_has_one_owner() {
    let cluster = smol::block_on(start(WINDOW, WORK));
    settle(&cluster);
    let addresses: Vec<_> = cluster.nodes.iter().map(|n| n.addresses().caller).collect();
    let is_first = |key: &u64| served_by(addresses[0], *key) == "offers-1";
    let key = (0..64)
        .find(is_first)
        .expect("the first upstream owns a key");
    let stop = AtomicBool::new(false);
    let served: Vec<Vec<Served>> = std::thread::scope(|scope| {
        let stop = &stop;
        let callers: Vec<_> = addresses
            .iter()
            .map(|&address| scope.spawn(move || caller(address, key, stop)))
            .collect();
        cluster.faults.set(Fault::Down);
        std::thread::sleep(READ);
        let view = cluster.nodes[0].shared().view();
        let mut table = Table::clone(&view.tables[&service()]);
        let first = moves(&mut table, "offers-1", "offers-2");
        let second = moves(&mut table, "offers-2", "offers-3");
        let base = append(&cluster, view.placement, first);
        let last = append(&cluster, base, second);
        cluster.faults.set(Fault::None);
        eventually("the moves are in force", || {
            let is_new = |n: &trefoil_daemon::Node| n.shared().view().placement >= last;
            cluster.nodes.iter().all(is_new).then_some(())
        });
        std::thread::sleep(MOVES);
        stop.store(true, Ordering::SeqCst);
        let join = |t: std::thread::ScopedJoinHandle<'_, _>| t.join().expect("a caller");
        callers.into_iter().map(join).collect()
    });
    let all = || served.iter().flatten();
    let old = all()
        .filter(|s| s.upstream == "offers-1")
        .map(|s| s.at)
        .max();
    let new = all()
        .filter(|s| s.upstream == "offers-3")
        .map(|s| s.at)
        .min();
    let (old, new) = (old.expect("served before"), new.expect("served after"));
    let gap = new.saturating_duration_since(old);
    println!(
        "first answer of the new owner {} ms after the last of the old",
        gap.as_millis()
    );
    assert!(gap + SLACK >= WORK, "{gap:?}");
}
