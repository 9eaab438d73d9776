//! Number of store calls, each of which the users pay for.

use std::time::Duration;

use trefoil_soak::{Fleet, eventually};

/// Label of the calls that read the registry.
const REGISTRY: &str = "topic=\"keyed.servers\"";

/// Guards against hosts that each read the registry at the start of a deployment, because they take
/// an empty registry for one that their relay has not read yet.
#[test]
fn an_empty_registry_is_read_by_two_hosts_of_a_domain() {
    let mut fleet = Fleet::new(super::program(), Vec::new());
    for _ in 0..4 {
        fleet.host();
    }
    let hosts = &fleet.hosts;
    let known = || (hosts[3].metric("trefoil_hosts", "") >= 4.0).then_some(());
    eventually("the hosts know each other", known);
    std::thread::sleep(Duration::from_secs(1));
    let calls = |host: usize| hosts[host].metric("trefoil_store_calls_total", REGISTRY);
    assert!(calls(0) > 0.0, "{}", hosts[0].metrics());
    for host in 2..4 {
        assert!(calls(host) < 0.5, "host {host}: {} reads", calls(host));
    }
}
