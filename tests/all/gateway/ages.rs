//! Ages that hosts tell each other.

use std::time::{Duration, Instant};

use trefoil_standin::StoreFault;

use super::changes::{members, run, wait};

/// Latency of a datagram.
const LATENCY: Duration = Duration::from_millis(200);

/// Time for which the registry is unavailable.
const OUTAGE: Duration = Duration::from_secs(4);

/// Links between a host and the one that has read the registry: from it to a relay and on.
const LINKS: u32 = 2;

/// Tolerance for the scheduling of the test's tasks.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Guards against hosts that confirm each other's directory while nobody reads the registry, so
/// that no host notices that its own is too old.
#[test]
fn the_age_of_the_directory_grows_while_nobody_reads_the_registry() {
    let members = members(LATENCY);
    let ages = || {
        members.each_ref().map(|member| {
            member.host.update_gauges();
            member.sum("trefoil_directory_age_seconds", "")
        })
    };
    let mut current = [0.0; 3];
    let mut outdated = [0.0; 3];
    let test = async {
        wait(Duration::from_secs(2)).await;
        current = ages();
        for member in &members {
            member.store.set_fault(StoreFault::Down);
        }
        wait(OUTAGE).await;
        outdated = ages();
    };
    run(&members, test);
    let least = OUTAGE.saturating_sub(LATENCY * LINKS + TOLERANCE);
    let least = least.as_secs_f64();
    let takeover = members[0].host.bounds.get().takeover_age(1);
    assert!(
        current.iter().all(|age| *age < takeover.as_secs_f64()),
        "{current:?} s while the registry is read"
    );
    assert!(
        outdated.iter().all(|age| *age >= least),
        "{outdated:?} s, expected {least} s"
    );
}

/// Guards against a host that reads the registry too late, or never, because the hosts that it has
/// left the reading to cannot read and keep confirming its directory.
#[test]
fn a_host_reads_the_registry_in_time_although_reports_are_late() {
    let members = members(LATENCY);
    let bounds = members[2].host.bounds.get();
    let most = bounds.takeover_age(2) + LATENCY * LINKS + TOLERANCE;
    assert!(most < bounds.drain);
    let mut noticed = None;
    let test = async {
        wait(Duration::from_secs(2)).await;
        for member in &members[..2] {
            member.store.set_fault(StoreFault::Down);
        }
        members[2].register("p1", 1);
        let changed = Instant::now();
        while noticed.is_none() && changed.elapsed() < OUTAGE {
            wait(Duration::from_millis(5)).await;
            let known = members[2].sum("trefoil_upstreams", "");
            noticed = (known > 1.5).then(|| changed.elapsed());
        }
    };
    run(&members, test);
    assert!(
        noticed.is_some_and(|span| span < most),
        "{noticed:?}, expected within {most:?}"
    );
}
