//! Configurations that reach hosts late.

use std::time::{Duration, Instant};

use trefoil_soak::{Fleet, LinkMode, eventually, upstream_spec};
use trefoil_standin::test_config;

/// Time for which a link delays each 16 KiB, so a large configuration takes seconds.
const LINK_DELAY: Duration = Duration::from_millis(300);

fn fleet_of(hosts: usize) -> Fleet {
    let mut fleet = Fleet::new(super::program(), vec![upstream_spec("p1", "plain")]);
    for _ in 0..hosts {
        fleet.start_host();
    }
    for host in 0..hosts {
        fleet.wait_until_served(host, "/read/x", "");
    }
    fleet
}

/// The configuration of the tests with 2,000 more routes, about 400 kB.
fn large_config(version: u64) -> serde_json::Value {
    let mut config = test_config(version);
    let route = config["routes"]["read"].clone();
    for number in 0..2_000 {
        let mut added = route.clone();
        added["pathPrefix"] = format!("/more-{number}/").into();
        config["routes"][format!("more-{number}")] = added;
    }
    config
}

/// Guards against a host that reads a large configuration over a slow link in vain, because it gives
/// up each read before its end.
#[test]
fn a_slow_read_of_the_configuration_is_completed() {
    let fleet = fleet_of(1);
    fleet.hosts[0]
        .store_link()
        .set_mode(LinkMode::Delay(LINK_DELAY));
    let written = fleet.control_plane.write_config(&large_config(2));
    written.expect("written");
    let begun = Instant::now();
    eventually("the configuration is in force", || {
        let version = fleet.hosts[0].sum_metric("trefoil_config_version", "");
        (version > 1.5).then_some(())
    });
    assert!(begun.elapsed() > Duration::from_secs(4), "the link is slow");
}
