//! Ages that hosts tell each other.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use trefoil_core::{HostId, ServiceName, Tick};
use trefoil_gateway::message::{HostInfo, TermItem};
use trefoil_gateway::peers::Peers;
use trefoil_gateway::tables::Revision;
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

/// Time after which a coordinator without a report counts as silent, in milliseconds.
const TIMEOUT: u64 = 1000;

/// When the coordinator falls silent.
const SILENT_AT: u64 = 3000;

/// Relays that pass on the reports of a coordinator to each other. Times are in milliseconds.
struct Relays {
    peers: Vec<Peers>,
    latency: u64,
    interval: u64,
    /// Reports on the way, by the time of their arrival, with their receiver.
    underway: BTreeMap<u64, Vec<(usize, Vec<TermItem>)>>,
}

fn service() -> ServiceName {
    "keys".parse().expect("a name")
}

fn at(ms: u64) -> Tick {
    Tick::default().after(Duration::from_millis(ms))
}

impl Relays {
    fn new(count: usize, latency: u64, interval: u64) -> Self {
        let info = |number| HostInfo {
            id: HostId::random(),
            name: format!("entry-{number}").parse().expect("a name"),
            domain: "a".parse().expect("a name"),
            address: "192.0.2.1:1".parse().expect("an address"),
            millicores: 100,
        };
        Self {
            peers: (0..count).map(|number| Peers::new(info(number))).collect(),
            latency,
            interval,
            underway: BTreeMap::new(),
        }
    }

    fn send(&mut self, now: u64, to: usize, items: Vec<TermItem>) {
        let arriving = self.underway.entry(now + self.latency).or_default();
        arriving.push((to, items));
    }

    /// Delivers and sends what is due.
    fn step(&mut self, now: u64) {
        for (to, items) in self.underway.remove(&now).unwrap_or_default() {
            for item in items {
                self.peers[to].record_term(at(now), &item);
            }
        }
        let count = self.peers.len();
        for from in 0..count {
            let phase = self.interval * from as u64 / count as u64;
            if now % self.interval == phase {
                let items = self.peers[from].terms(at(now));
                for to in (0..count).filter(|to| *to != from) {
                    self.send(now, to, items.clone());
                }
            }
        }
    }

    /// Number of relays for which the service has a coordinator.
    fn believers(&self, now: u64) -> usize {
        let believes = |p: &&Peers| p.coordinator(at(now), &service()).is_some();
        self.peers.iter().filter(believes).count()
    }
}

/// Guards against relays that keep a dead coordinator alive by passing its last report to each
/// other, so that nobody takes over its keys.
#[test]
fn a_silent_coordinator_is_not_kept_by_the_relays() {
    let mut late = Vec::new();
    for (latency, interval) in [
        (5, 75),
        (5, 150),
        (100, 75),
        (100, 150),
        (300, 75),
        (300, 150),
    ] {
        let mut relays = Relays::new(6, latency, interval);
        let coordinator = HostId::random();
        let mut known_until = 0;
        for now in 0..SILENT_AT + 30 * TIMEOUT {
            if now <= SILENT_AT && now % interval == 0 {
                let report = TermItem {
                    service: service(),
                    host: coordinator,
                    revision: Revision {
                        term: 7,
                        ..Revision::default()
                    },
                    confirmed_ms: 0,
                    predecessor: None,
                    age_ms: 0,
                    number: Some(now),
                };
                relays.send(now, 0, vec![report]);
            }
            relays.step(now);
            let believers = relays.believers(now);
            if (2 * TIMEOUT..SILENT_AT).contains(&now) {
                assert_eq!(believers, 6, "{now} ms, latency {latency} ms");
            }
            if believers > 0 {
                known_until = now;
            }
        }
        // The last report reaches each relay over at most two links.
        let silence = known_until - SILENT_AT;
        if silence > TIMEOUT + 2 * latency {
            late.push((latency, interval, silence));
        }
    }
    assert!(late.is_empty(), "(latency, interval, kept for): {late:?}");
}
