//! Requests to upstreams that leave.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use trefoil_standin::{StoreFault, test_config};

use trefoil_soak::{Fleet, LinkMode, eventually, upstream_spec};

/// Time within which a leaving upstream must stop getting new requests, as in the fleet's settings.
const DRAIN: Duration = Duration::from_secs(2);

/// Hosts of one failure domain in front of two plain upstreams. They know each other and have
/// settled on the two that read the registry.
fn fleet_of(hosts: usize) -> Fleet {
    let specs = ["p1", "p2"].map(|name| upstream_spec(name, "plain"));
    let mut fleet = Fleet::new(super::program(), specs.to_vec());
    for _ in 0..hosts {
        fleet.start_host();
    }
    let known = |host: usize| fleet.hosts[host].sum_metric("trefoil_hosts", "");
    for host in 0..hosts {
        eventually("the hosts know each other", || {
            (known(host) + 0.5 > wide(hosts)).then_some(())
        });
    }
    std::thread::sleep(Duration::from_millis(1_500));
    fleet
}

fn wide(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("a small number"))
}

/// Replaces the drain bound of all hosts.
fn set_bound(fleet: &Fleet, drain_ms: u64) {
    for host in &fleet.hosts {
        let bound = format!("drain-ms: {drain_ms}");
        host.edit_settings(|text| text.replace("drain-ms: 2000", &bound));
        host.signal(Signal::SIGHUP);
        host.wait_for_entry("event", "settings reloaded");
    }
}

/// Waits until a host has just read the registry. A change that follows is noticed as late as it
/// can be.
fn wait_for_read(fleet: &Fleet, host: usize) {
    let labels = "topic=\"keyed.servers\"";
    let reads = || fleet.hosts[host].sum_metric("trefoil_store_calls_total", labels);
    let before = reads();
    eventually("a read", || (reads() > before + 0.5).then_some(()));
}

/// Cuts the first `count` hosts, which read the registry, off from the store.
fn cut_off(fleet: &Fleet, count: usize) {
    for relay in &fleet.hosts[..count] {
        relay.store_link().set_mode(LinkMode::Reset);
    }
}

/// Waits until a host has logged a change of the upstream `p1`, and returns the time since `begun`.
fn time_to_notice(fleet: &Fleet, host: usize, change: (&str, &str), begun: Instant) -> Duration {
    eventually(change.1, || {
        let entries = fleet.hosts[host].log_entries("upstream", "p1");
        let found = entries
            .iter()
            .any(|e| e.get(change.0).is_some_and(|v| v == change.1));
        found.then_some(())
    });
    begun.elapsed()
}

/// Guards against requests to an upstream that is draining or was removed from the registry, and
/// against taking an invalid entry for an upstream.
#[test]
fn upstreams_that_leave_get_no_requests() {
    let mut fleet = fleet_of(1);
    let foreign = [r#"{"service":"plain"}"#, "not JSON", r#"{"state":"odd"}"#];
    for (number, entry) in foreign.iter().enumerate() {
        fleet
            .control_plane
            .write_registration(&format!("foreign-{number}"), entry)
            .expect("written");
    }
    fleet.upstream("p1").drain();
    fleet.hosts[0].wait_for_entry("phase", "draining");
    let before = fleet.recorder.runs().len();
    for number in 0..10 {
        let id = format!("d{number}");
        let answer = fleet.hosts[0].get(&id, "/read/x", "").expect("an answer");
        assert_eq!(answer.body, format!("p2 ran {id}"));
    }
    assert_eq!(fleet.recorder.runs().len(), before + 10);
    fleet.start_upstream(upstream_spec("p3", "plain"));
    fleet.hosts[0].wait_for_entry("upstream", "p3");
    fleet.upstream("p2").crash();
    fleet
        .control_plane
        .remove_registration("p2")
        .expect("written");
    eventually("p2 is gone", || {
        let events = fleet.hosts[0].log_entries("upstream", "p2");
        events.iter().any(|e| e["change"] == "gone").then_some(())
    });
    let answer = fleet.hosts[0]
        .get("late", "/read/x", "")
        .expect("an answer");
    assert_eq!(answer.body, "p3 ran late");
}

/// Guards against requests to a leaving upstream by hosts that learn of it too late, because the
/// hosts that read the registry for their domain are cut off from the store.
#[test]
fn a_leaving_upstream_is_noticed_without_the_relays() {
    for cut in 1..=2 {
        let fleet = fleet_of(4);
        wait_for_read(&fleet, 0);
        cut_off(&fleet, cut);
        let begun = Instant::now();
        fleet.upstream("p1").drain();
        let took = time_to_notice(&fleet, 3, ("phase", "draining"), begun);
        assert!(took < DRAIN, "{cut} cut off: noticed after {took:?}");
    }
}

/// Guards against hosts of a larger domain that take over the reading one after the other, so that
/// the last ones notice a leaving upstream seconds late.
#[test]
fn every_host_of_a_domain_notices_a_leaving_upstream_in_time() {
    let fleet = fleet_of(9);
    wait_for_read(&fleet, 0);
    cut_off(&fleet, 2);
    let begun = Instant::now();
    fleet.upstream("p1").drain();
    let times: Vec<Duration> = (2..9)
        .map(|host| time_to_notice(&fleet, host, ("phase", "draining"), begun))
        .collect();
    assert!(times.iter().all(|t| *t < DRAIN), "noticed after {times:?}");
}

/// Guards against hosts that miss a configuration because the hosts that read it for their domain
/// are cut off from the store.
#[test]
fn every_host_of_a_domain_has_the_newest_configuration_in_time() {
    let fleet = fleet_of(9);
    cut_off(&fleet, 2);
    let begun = Instant::now();
    let written = fleet.control_plane.write_config(&test_config(7));
    written.expect("written");
    let times: Vec<Duration> = (2..9)
        .map(|host| {
            fleet.hosts[host].wait_for_entry("version", "7");
            begun.elapsed()
        })
        .collect();
    // As in the settings of the users' sites.
    let bound = Duration::from_secs(2);
    assert!(times.iter().all(|t| *t < bound), "in force after {times:?}");
}

/// Guards against an upstream that is kept after its removal because a host that starts to read
/// takes the silence of the relays before it for an outage of the store.
#[test]
fn a_new_reader_does_not_keep_a_removed_upstream() {
    for drain_ms in [2_500, 4_000] {
        let fleet = fleet_of(5);
        set_bound(&fleet, drain_ms);
        std::thread::sleep(Duration::from_secs(1));
        fleet.upstream("p1").crash();
        wait_for_read(&fleet, 0);
        cut_off(&fleet, 2);
        let begun = Instant::now();
        let removed = fleet.control_plane.remove_registration("p1");
        removed.expect("written");
        for host in 2..5 {
            let took = time_to_notice(&fleet, host, ("change", "gone"), begun);
            let bound = Duration::from_millis(drain_ms);
            assert!(
                took < bound,
                "host {host}: noticed after {took:?}, bound {bound:?}"
            );
        }
    }
}

/// Guards against a reader that waits for its next turn after the store has deleted the records
/// that it was about to read, so that changes among them are noticed a whole interval late.
#[test]
fn deleted_records_are_read_anew_at_once() {
    let fleet = fleet_of(1);
    set_bound(&fleet, 5_000);
    fleet.store.set_fault(StoreFault::Truncated);
    std::thread::sleep(Duration::from_secs(2));
    // The registry is read every 1.5 s; the rest is for the reads and for this loop.
    let bound = 1.5 + 0.5;
    let begun = Instant::now();
    let mut oldest = 0.0_f64;
    while begun.elapsed() < Duration::from_secs(5) {
        oldest = oldest.max(fleet.hosts[0].sum_metric("trefoil_directory_age_seconds", ""));
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(oldest < bound, "the directory was {oldest} s old");
}

/// Guards against a restarted relay that sends its whole directory as changes to every host of its
/// domain, which fills the links of small hosts and delays what has changed.
#[test]
fn a_restarted_relay_does_not_send_its_directory_as_changes() {
    let mut fleet = fleet_of(4);
    for port in 1..=300 {
        let entry = format!(
            r#"{{"service":"plain","address":"192.0.2.1:{port}","zone":"b","version":"1","slots":4,
            "state":"draining","warmupLeftMs":0,"sequence":1,"born":1}}"#
        );
        let written = fleet
            .control_plane
            .write_registration(&format!("static-{port}"), &entry);
        written.expect("written");
    }
    let known = || fleet.hosts[3].sum_metric("trefoil_upstreams", "") > 301.5;
    eventually("all upstreams are known", || known().then_some(()));
    std::thread::sleep(Duration::from_secs(1));
    fleet.hosts[0].signal(Signal::SIGKILL);
    fleet.hosts[0].wait_for_exit();
    fleet.restart_host(0);
    let host = &fleet.hosts[0];
    eventually("the host is ready", || host.is_ready().then_some(()));
    std::thread::sleep(Duration::from_secs(2));
    let sent = host.sum_metric("trefoil_datagram_bytes_total", "");
    // 300 registrations take about 40 KB, and three hosts get a digest 13 times a second.
    assert!(sent < 200_000.0, "{sent} bytes");
}
