//! Coordinators that take over while the store is slow.

use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use trefoil_soak::{Fleet, Host, eventually};
use trefoil_standin::StoreFault;

use super::promises::keyed_fleet;

/// Stops the coordinator of four hosts while each call of the store takes `delay` milliseconds, and
/// waits until another one has taken over.
fn take_over_slowly(delay: u64) -> Fleet {
    let mut fleet = keyed_fleet();
    for domain in ["b", "b", "c"] {
        fleet.start_host_in(domain);
    }
    fleet.hosts[0].wait_for_entry("event", "term begun");
    for host in &fleet.hosts[1..] {
        host.wait_for_entry("event", "steward heard");
    }
    fleet.store.set_fault(StoreFault::Slow(delay));
    fleet.hosts[0].signal(Signal::SIGTERM);
    eventually("a term begins", || {
        (count(&fleet, "term begun") > 0).then_some(())
    });
    fleet
}

/// Number of log lines of an event on all hosts but the one that was stopped.
fn count(fleet: &Fleet, event: &str) -> usize {
    let lines = |host: &Host| host.log_entries("event", event).len();
    fleet.hosts[1..].iter().map(lines).sum()
}

fn log(fleet: &Fleet) -> String {
    let lines = fleet.hosts[1..].iter().flat_map(Host::log_lines);
    lines.collect::<Vec<_>>().join("\n")
}

/// Guards against hosts that depose each other repeatedly while the store is slow: a takeover needs
/// three store calls, which then take longer than the wait of the next host.
#[test]
fn hosts_do_not_fence_each_other_while_the_store_is_slow() {
    // The users' store takes up to a hundred times its usual 4 ms.
    let fleet = take_over_slowly(400);
    assert_eq!(count(&fleet, "term not begun"), 0, "{}", log(&fleet));
    assert_eq!(fleet.recorder.violations(), Vec::<String>::new());
}

/// Guards against hosts that depose each other in turn because none can find the others: the store
/// does not answer for the topic in which they register.
#[test]
fn hosts_that_cannot_find_each_other_agree_on_a_coordinator() {
    let mut fleet = keyed_fleet();
    let topic = "keyed.trefoil-hosts".parse().expect("a topic");
    fleet.store.set_topic_fault(topic, StoreFault::Down);
    fleet.hosts[0].wait_for_entry("event", "term begun");
    for domain in ["a", "a", "b"] {
        fleet.start_host_in(domain);
    }
    thread::sleep(Duration::from_secs(4));
    let begun = |fleet: &Fleet| {
        let of_host = |host: &Host| host.log_entries("event", "term begun").len();
        fleet.hosts.iter().map(of_host).sum::<usize>()
    };
    let before = begun(&fleet);
    thread::sleep(Duration::from_secs(4));
    let after = begun(&fleet);
    assert_eq!(after, before, "terms begun\n{}", log(&fleet));
    assert!(before <= 4, "{before} terms begun\n{}", log(&fleet));
    for host in 0..fleet.hosts.len() {
        fleet.wait_until_served(host, "/keyed/x", "X-Shard-Key: 7\r\n");
    }
    assert_eq!(fleet.recorder.violations(), Vec::<String>::new());
}

/// Guards against candidates that fence each other because the takeover of the first one lasts
/// longer than a candidacy holds: each takeover begins the wait for earlier grants anew.
#[test]
fn a_takeover_is_not_fenced_however_slow_the_store_is() {
    // Three calls take 2.25 s, and a candidacy holds for 1.8 s.
    let fleet = take_over_slowly(750);
    thread::sleep(Duration::from_secs(3));
    assert_eq!(count(&fleet, "term begun"), 1, "{}", log(&fleet));
    assert_eq!(count(&fleet, "term ended"), 0, "{}", log(&fleet));
}
