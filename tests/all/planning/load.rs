//! Counting and collection of load.

use std::time::Duration;

use trefoil_core::{KeyHash, Shard, Tick, UnixMillis};
use trefoil_daemon::load::{
    Collector, Counter, HOT_KEYS, SHARDS_MAX, UPSTREAMS_MAX, UpstreamLoad, Window,
    truncate_to_frame,
};
use trefoil_placement::HotKey;

use super::world::{FOUR, World, service, upstream};

const LENGTH: Duration = Duration::from_secs(10);

fn reply(world: &World, name: &str, each: u32) -> UpstreamLoad {
    let member = world.table().member(&upstream(name));
    let replica_sets = (0..).map(Shard).zip(world.table().replica_sets());
    let own = replica_sets.filter(|(_, s)| Some(s.owner) == member);
    UpstreamLoad {
        upstream: upstream(name),
        service: service(),
        shards: own.map(|(shard, _)| (shard, each)).collect(),
        hot: Vec::new(),
        unavailable: 0,
    }
}

/// Guards against requests that are counted in two windows or in none, and against queries that
/// return different counts for one window.
#[test]
fn a_request_counts_in_one_window() {
    let counter = Counter::new(UnixMillis(1_000), LENGTH);
    let names = (&upstream("offers-1"), &service());
    counter.record_request(UnixMillis(9_999), Shard(3), KeyHash(7));
    counter.record_request(UnixMillis(10_000), Shard(4), KeyHash(8));
    let times = |ms: u64| (Tick(Duration::from_millis(ms)), UnixMillis(ms));
    counter.record_availability(times(10_500), true);
    counter.record_availability(times(12_000), false);
    let closed = |now, window| counter.window_load(UnixMillis(now), Window(window), names);
    assert_eq!(closed(12_000, 1), None, "the window is still open");
    for _ in 0..2 {
        let load = closed(12_000, 0).expect("closed");
        assert_eq!((load.shards, load.unavailable), (vec![(Shard(3), 1)], 0));
    }
    let load = closed(20_000, 1).expect("closed");
    assert_eq!(
        (load.shards, load.unavailable),
        (vec![(Shard(4), 1)], 1_500)
    );
    let load = closed(40_000, 3).expect("a window without requests");
    assert_eq!(load.shards, Vec::new());
}

/// Guards against shards that count as idle because the host of their dispatcher does not answer.
#[test]
fn shards_of_a_silent_host_keep_their_load() {
    let world = World::placed(64, &FOUR);
    let mut collector = Collector::default();
    let names = ["offers-1", "offers-2", "offers-3", "offers-4"];
    let all = names.map(|n| reply(&world, n, 20));
    collector.close_window(&world.view, &all);
    let closed = collector
        .close_window(&world.view, &all[..3])
        .remove(&service());
    let closed = closed.expect("three dispatchers answered");
    assert_eq!(closed.silent, [upstream("offers-4")]);
    assert!(closed.load.shards.iter().all(|l| (l - 20.0).abs() < 1e-9));
    assert!(collector.close_window(&world.view, &[]).is_empty());
}

/// Guards against a reply above the frame limit, which the peer would reject as a whole.
#[test]
fn the_largest_reply_fits_a_frame() {
    let name = "u".repeat(63);
    let hot = HotKey {
        key: KeyHash(u64::MAX),
        count: u64::MAX,
        error: u64::MAX,
    };
    let load = UpstreamLoad {
        upstream: upstream(&name),
        service: name.parse().expect("a name"),
        shards: (0..1_000)
            .map(|s| (Shard(u32::MAX - s), u32::MAX))
            .collect(),
        hot: vec![hot; 2 * HOT_KEYS],
        unavailable: u32::MAX,
    };
    let cut = truncate_to_frame(vec![load; 2 * UPSTREAMS_MAX]);
    assert_eq!(cut.len(), UPSTREAMS_MAX);
    assert!(cut.iter().map(|l| l.shards.len()).sum::<usize>() <= SHARDS_MAX);
    let size = trefoil_wire::encode(&cut).expect("it fits").len();
    println!("largest reply: {size} bytes");
}
