//! Ownership of keys while the store comes back from an older copy.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use trefoil_soak::{Fleet, eventually, upstream_spec};

/// Keys in all parts of the key space.
const KEYS: [u16; 9] = [
    0, 8192, 16_384, 24_576, 32_768, 40_960, 49_152, 57_344, 65_535,
];

fn wait_until_all_served(fleet: &Fleet) {
    for key in KEYS {
        fleet.wait_until_served(0, "/keyed/x", &format!("X-Shard-Key: {key}\r\n"));
    }
}

/// One host in front of two upstreams that own all keys. A third one gets a part of them after the
/// copy was made that the store comes back from.
fn moved_since_the_copy() -> (Fleet, trefoil_store::StoreCopy) {
    let mut fleet = Fleet::new(
        super::program(),
        vec![upstream_spec("k1", "keys"), upstream_spec("k2", "keys")],
    );
    fleet.start_host();
    wait_until_all_served(&fleet);
    let copy = fleet.copy_store();
    let third = fleet.start_upstream(upstream_spec("k3", "keys"));
    eventually("the third upstream runs requests", || {
        wait_until_all_served(&fleet);
        let runs = fleet.recorder.runs();
        let own = runs.iter().any(|run| run.upstream == third.name());
        own.then_some(())
    });
    (fleet, copy)
}

fn table_version(entry: &std::collections::BTreeMap<String, String>) -> u64 {
    entry["version"].parse().expect("a number")
}

/// Guards against keys with two owners, and against keys without one, after the store has lost the
/// newest table while its coordinator lives.
#[test]
fn a_coordinator_goes_on_with_its_own_table() {
    let (fleet, copy) = moved_since_the_copy();
    let host = &fleet.hosts[0];
    let before = table_version(&host.wait_for_entry("event", "table written"));
    fleet.restore_store(copy, Duration::from_secs(1));
    let established = host.wait_for_entry("event", "term re-established");
    assert_eq!(established["term_era"], "1");
    assert!(table_version(&established) > before + 1000);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(5) {
        wait_until_all_served(&fleet);
    }
    assert_eq!(host.log_entries("reason", "settled").len(), 0, "it waits");
    host.wait_for_entry("reason", "settled");
    wait_until_all_served(&fleet);
    assert_eq!(host.log_entries("event", "term ended").len(), 0);
    assert_eq!(fleet.recorder.violations(), Vec::<String>::new());
}

/// Guards against grants from a table that the store has brought back from an older copy, while
/// upstreams hold keys that a lost coordinator has granted them since.
#[test]
fn a_successor_grants_nothing_from_an_older_table() {
    let (mut fleet, copy) = moved_since_the_copy();
    fleet.hosts[0].signal(Signal::SIGKILL);
    fleet.hosts[0].wait_for_exit();
    fleet.restore_store(copy, Duration::ZERO);
    fleet.restart_host(0);
    let host = &fleet.hosts[0];
    let waiting = host.wait_for_entry("event", "table is of an earlier era");
    assert_eq!((&*waiting["table_era"], &*waiting["term_era"]), ("0", "1"));
    let wait: u64 = waiting["wait_ms"].parse().expect("a number");
    assert!((8000..=11_060).contains(&wait), "{wait} ms");
    std::thread::sleep(Duration::from_secs(5));
    let orders = host.sum_metric("trefoil_orders_total", "");
    assert!(orders.abs() < 0.5, "{orders} orders");
    host.wait_for_entry("reason", "settled");
    wait_until_all_served(&fleet);
    assert_eq!(fleet.recorder.violations(), Vec::<String>::new());
}
