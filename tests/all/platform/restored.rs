//! A store that comes back from an older copy.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::Value;
use trefoil_core::{Offset, SystemClock};
use trefoil_http::{Limits, Server};
use trefoil_platform::StoreClient;
use trefoil_soak::{Fleet, LinkMode, eventually, upstream_spec};
use trefoil_standin::{StoreServer, test_config};
use trefoil_store::{
    Append, Era, MemoryStore, Newest, PartitionId, Read, Store, StoreError, Topic,
};

/// Time within which a configuration must be in force, as in the settings of the users' sites.
const CONFIG_BOUND: Duration = Duration::from_secs(2);

/// Time for which the store is away before it comes back from a copy.
const AWAY: Duration = Duration::from_millis(300);

const PARTITION: PartitionId = PartitionId::first(Topic::fixed("keyed.x"));

fn read_from(offset: u64) -> Read {
    Read {
        partition: PARTITION,
        from: Offset(offset),
        wait: Duration::ZERO,
    }
}

/// Guards against a client that does not notice that the store has lost acknowledged records, or
/// that takes a late answer of an older era for one of the newest.
#[test]
fn every_answer_carries_the_era_of_the_store() {
    let clock = Arc::new(SystemClock);
    let memory = Arc::new(MemoryStore::new(Arc::<SystemClock>::clone(&clock)));
    let service = Arc::new(StoreServer::new(Arc::<MemoryStore>::clone(&memory)));
    smol::block_on(async {
        let listener = smol::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a port");
        let address = listener.local_addr().expect("an address");
        let _server = Server::serve(listener, Limits::default(), service);
        let client = StoreClient::new(address, clock);
        let record = || Append::new(PARTITION, Bytes::from_static(b"\x01kv"));
        let appended = client.append(record()).await.expect("appended");
        assert_eq!((appended.era, client.era()), (Era(0), Era(0)));
        let copy = memory.copy();
        client.append(record()).await.expect("appended");
        let lost = memory.restore(copy);
        assert_eq!(lost, [record()]);
        // A refusal carries the era as well.
        let beyond = client.read(read_from(2)).await;
        let first = Offset(0);
        assert_eq!(beyond, Err(StoreError::Truncated { first }));
        assert_eq!(client.era(), Era(1));
        let again = client.append(record()).await.expect("appended");
        assert_eq!((again.offset, again.era), (Offset(1), Era(1)));
        let batch = client.read(read_from(0)).await.expect("read");
        assert_eq!((batch.records.len(), batch.era), (2, Era(1)));
        let newest = Newest {
            partition: PARTITION,
            after: None,
        };
        let page = client.newest(newest).await.expect("read");
        assert_eq!((page.items.len(), page.era), (1, Era(1)));
    });
}

/// Hosts of one failure domain in front of two plain upstreams, which know each other.
fn fleet_of(hosts: usize) -> Fleet {
    let specs = ["p1", "p2"].map(|name| upstream_spec(name, "plain"));
    let mut fleet = Fleet::new(super::program(), specs.to_vec());
    for _ in 0..hosts {
        fleet.start_host();
    }
    let count = f64::from(u32::try_from(hosts).expect("a small number"));
    for host in &fleet.hosts {
        eventually("the hosts know each other", || {
            (host.sum_metric("trefoil_hosts", "") + 0.5 > count).then_some(())
        });
    }
    fleet
}

/// The test configuration with one more route, to `/NAME/`.
fn with_route(version: u64, name: &str) -> Value {
    let mut config = test_config(version);
    config["routes"][name] = config["routes"]["read"].clone();
    config["routes"][name]["pathPrefix"] = format!("/{name}/").into();
    config
}

fn write_config(fleet: &Fleet, config: &Value) -> Instant {
    let written = fleet.control_plane.write_config(config);
    written.expect("the store accepts the configuration");
    Instant::now()
}

fn status(fleet: &Fleet, host: usize, path: &str) -> Option<u16> {
    let answer = fleet.hosts[host].get("probe", path, "");
    answer.map(|answer| answer.status)
}

/// Waits until all hosts serve a path, and returns the time since `begun` that the last one took.
fn time_to_serve(fleet: &Fleet, path: &str, begun: Instant) -> Duration {
    for host in 0..fleet.hosts.len() {
        eventually(path, || {
            (status(fleet, host, path) == Some(200)).then_some(())
        });
    }
    begun.elapsed()
}

/// Checks for some time that all hosts serve a path.
fn assert_served(fleet: &Fleet, path: &str, span: Duration) {
    let begun = Instant::now();
    while begun.elapsed() < span {
        for host in 0..fleet.hosts.len() {
            let found = status(fleet, host, path);
            assert_eq!(found, Some(200), "host {host} after {:?}", begun.elapsed());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Cuts hosts off from the store, or connects them again.
fn set_links(fleet: &Fleet, hosts: std::ops::Range<usize>, mode: LinkMode) {
    for host in &fleet.hosts[hosts] {
        host.store_link().set_mode(mode);
    }
}

/// Writes an entry of an upstream that does not exist, which nobody renews.
fn write_entry(fleet: &Fleet, name: &str, sequence: u64) {
    let entry = format!(
        r#"{{"service":"other","address":"192.0.2.1:80","zone":"a","version":"1","slots":4,
        "state":"ready","warmupLeftMs":0,"sequence":{sequence},"born":1}}"#
    );
    let written = fleet.control_plane.write_registration(name, &entry);
    written.expect("the store accepts the entry");
}

/// Number of log lines of a host about a change of an upstream.
fn changes(fleet: &Fleet, host: usize, upstream: &str, change: &str) -> usize {
    let entries = fleet.hosts[host].log_entries("upstream", upstream);
    entries.iter().filter(|e| e["change"] == change).count()
}

fn wait_for_change(fleet: &Fleet, upstream: &str, change: &str) {
    for host in 0..fleet.hosts.len() {
        eventually(change, || {
            (changes(fleet, host, upstream, change) > 0).then_some(())
        });
    }
}

/// Guards against a confirmed configuration that is not in force while the store lacks it, and
/// against an older one that comes back with the copy.
#[test]
fn a_confirmed_configuration_outlasts_its_loss() {
    let fleet = fleet_of(3);
    let copy = fleet.copy_store();
    let written = write_config(&fleet, &with_route(3, "added"));
    time_to_serve(&fleet, "/added/x", written);
    let lost = fleet.restore_store(copy, AWAY);
    assert_served(&fleet, "/added/x", Duration::from_secs(3));
    fleet.control_plane.write_again(lost).expect("written");
    assert_served(&fleet, "/added/x", Duration::from_secs(1));
    let written = write_config(&fleet, &with_route(5, "later"));
    let took = time_to_serve(&fleet, "/later/x", written);
    assert!(took < CONFIG_BOUND, "in force after {took:?}");
}

/// Guards against a configuration that is never read because its offset is below the position that
/// a host has from before the restore.
#[test]
fn a_configuration_at_an_offset_that_was_read_before_is_read() {
    let fleet = fleet_of(2);
    let copy = fleet.copy_store();
    for version in 2..=3 {
        let written = write_config(&fleet, &with_route(version, "added"));
        time_to_serve(&fleet, "/added/x", written);
    }
    set_links(&fleet, 0..2, LinkMode::Reset);
    fleet.restore_store(copy, AWAY);
    write_config(&fleet, &with_route(3, "added"));
    let written = write_config(&fleet, &with_route(4, "later"));
    set_links(&fleet, 0..2, LinkMode::Forward);
    let took = time_to_serve(&fleet, "/later/x", written);
    assert!(took < CONFIG_BOUND, "in force after {took:?}");
}

/// Guards against a wait for the next configuration that outlasts the return of the store, because
/// its answer was lost and nothing else of the host fails.
#[test]
fn a_wait_for_the_next_configuration_ends_with_the_era() {
    let fleet = fleet_of(1);
    let copy = fleet.copy_store();
    let written = write_config(&fleet, &with_route(2, "added"));
    time_to_serve(&fleet, "/added/x", written);
    let labels = "topic=\"keyed.servers\"";
    let reads = || fleet.hosts[0].sum_metric("trefoil_store_calls_total", labels);
    let before = reads();
    eventually("a read", || (reads() > before + 0.5).then_some(()));
    set_links(&fleet, 0..1, LinkMode::Blackhole);
    let lost = fleet.restore_store(copy, Duration::ZERO);
    fleet.control_plane.write_again(lost).expect("written");
    let written = write_config(&fleet, &with_route(3, "later"));
    std::thread::sleep(Duration::from_millis(50));
    set_links(&fleet, 0..1, LinkMode::Forward);
    let took = time_to_serve(&fleet, "/later/x", written);
    assert!(took < CONFIG_BOUND, "in force after {took:?}");
}

/// Guards against hosts that stay with a configuration that was lost, if another one got its number.
#[test]
fn another_configuration_with_a_lost_number_is_taken() {
    let fleet = fleet_of(4);
    let copy = fleet.copy_store();
    let written = write_config(&fleet, &with_route(2, "lost"));
    time_to_serve(&fleet, "/lost/x", written);
    fleet.restore_store(copy, AWAY);
    let written = write_config(&fleet, &with_route(2, "kept"));
    let took = time_to_serve(&fleet, "/kept/x", written);
    assert!(took < CONFIG_BOUND, "in force after {took:?}");
    for host in 0..4 {
        assert_eq!(status(&fleet, host, "/lost/x"), Some(404), "host {host}");
    }
}

/// Guards against a new process that serves the older configuration of the copy, although the other
/// hosts have the confirmed one.
#[test]
fn a_host_that_starts_with_the_copy_has_the_confirmed_configuration() {
    let mut fleet = fleet_of(2);
    let copy = fleet.copy_store();
    let written = write_config(&fleet, &with_route(3, "added"));
    time_to_serve(&fleet, "/added/x", written);
    let lost = fleet.restore_store(copy, AWAY);
    fleet.start_host();
    assert_served(&fleet, "/added/x", Duration::from_secs(1));
    fleet.hosts[0].signal(nix::sys::signal::Signal::SIGKILL);
    fleet.hosts[0].wait_for_exit();
    fleet.restart_host(0);
    let host = &fleet.hosts[0];
    eventually("the host is ready", || host.is_ready().then_some(()));
    assert_served(&fleet, "/added/x", Duration::from_secs(1));
    fleet.control_plane.write_again(lost).expect("written");
    let written = write_config(&fleet, &with_route(5, "later"));
    let took = time_to_serve(&fleet, "/later/x", written);
    assert!(took < CONFIG_BOUND, "in force after {took:?}");
}

/// Guards against hosts that miss a configuration because they learn of the return at different
/// moments, and against a second return that is taken for the first.
#[test]
fn hosts_follow_two_returns_that_they_notice_at_different_moments() {
    let fleet = fleet_of(4);
    let copy = fleet.copy_store();
    let written = write_config(&fleet, &with_route(3, "added"));
    time_to_serve(&fleet, "/added/x", written);
    set_links(&fleet, 0..2, LinkMode::Reset);
    fleet.restore_store(copy.clone(), AWAY);
    write_config(&fleet, &with_route(3, "added"));
    fleet.hosts[3].wait_for_entry("era", "1");
    let lost = fleet.restore_store(copy, AWAY);
    assert_served(&fleet, "/added/x", Duration::from_millis(500));
    fleet.control_plane.write_again(lost).expect("written");
    set_links(&fleet, 0..2, LinkMode::Forward);
    let written = write_config(&fleet, &with_route(7, "later"));
    let took = time_to_serve(&fleet, "/later/x", written);
    assert!(took < CONFIG_BOUND, "in force after {took:?}");
    for host in &fleet.hosts {
        eventually("the return is logged", || {
            let entries = host.log_entries("event", "store came back from an older copy");
            entries.iter().any(|e| e["era"] == "2").then_some(())
        });
        let era = host.sum_metric("trefoil_store_era", "");
        assert!((era - 2.0).abs() < 0.5, "era {era}");
    }
}

/// Guards against live upstreams that lose their requests because the copy is older than their
/// registration.
#[test]
fn an_upstream_that_is_missing_in_the_copy_has_time_to_return() {
    let fleet = fleet_of(3);
    let copy = fleet.copy_store();
    write_entry(&fleet, "late-1", 5);
    wait_for_change(&fleet, "late-1", "joined");
    let lost = fleet.restore_store(copy, AWAY);
    std::thread::sleep(Duration::from_millis(1_200));
    fleet.control_plane.write_again(lost).expect("written");
    std::thread::sleep(Duration::from_millis(2_500));
    for host in 0..3 {
        let gone = changes(&fleet, host, "late-1", "gone");
        assert_eq!(gone, 0, "host {host}");
    }
}

/// Guards against an upstream that has left and gets requests again, because the copy lists it with
/// a newer registration than a host knows of that had left the reading to others.
#[test]
fn an_upstream_that_has_left_does_not_return_with_the_copy() {
    let fleet = fleet_of(3);
    write_entry(&fleet, "old-1", 1);
    wait_for_change(&fleet, "old-1", "joined");
    write_entry(&fleet, "old-1", 9);
    let copy = fleet.copy_store();
    let removed = fleet.control_plane.remove_registration("old-1");
    removed.expect("written");
    wait_for_change(&fleet, "old-1", "gone");
    set_links(&fleet, 0..2, LinkMode::Reset);
    let lost = fleet.restore_store(copy, AWAY);
    std::thread::sleep(Duration::from_millis(1_500));
    fleet.control_plane.write_again(lost).expect("written");
    set_links(&fleet, 0..2, LinkMode::Forward);
    std::thread::sleep(Duration::from_millis(2_500));
    for host in 0..3 {
        let joined = changes(&fleet, host, "old-1", "joined");
        assert_eq!(joined, 1, "host {host}");
    }
    // A later registration is a sign of life.
    write_entry(&fleet, "old-1", 10);
    for host in 0..3 {
        eventually("it has returned", || {
            (changes(&fleet, host, "old-1", "joined") == 2).then_some(())
        });
    }
}

/// Guards against hosts that a new one never meets, because the copy is older than their records.
#[test]
fn hosts_that_are_missing_in_the_copy_register_again() {
    let mut fleet = fleet_of(1);
    let copy = fleet.copy_store();
    for _ in 0..3 {
        fleet.start_host();
    }
    eventually("all hosts are known", || {
        (fleet.hosts[0].sum_metric("trefoil_hosts", "") > 3.5).then_some(())
    });
    fleet.restore_store(copy, AWAY);
    let listed = || {
        let newest = Newest {
            partition: PartitionId::first(Topic::fixed("keyed.trefoil-hosts")),
            after: None,
        };
        let page = smol::block_on(fleet.store.newest(newest)).expect("read");
        (page.items.len() == 4).then_some(())
    };
    eventually("all hosts are listed", listed);
}
