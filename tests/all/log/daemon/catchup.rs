//! Catch-up from other hosts while the log is down.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use trefoil_core::Revision;
use trefoil_daemon::Shared;
use trefoil_daemon::catchup::{CatchUp, answer_view_request};
use trefoil_daemon::message::Message;
use trefoil_log::{Body as RecordBody, View};
use trefoil_standin::StoreFault;
use trefoil_wire::{AnswerHead, Body, BoxFuture, ForwardHead, PeerError, Peers, decode, encode};

use super::{Simulation, record, revision};
use crate::log::routing;

const LEASE: Duration = Duration::from_millis(1_500);

/// Hosts that answer queries about views, unless they are disconnected.
#[derive(Debug, Default)]
struct TestPeers {
    hosts: BTreeMap<SocketAddr, Arc<Shared>>,
    disconnected: Mutex<BTreeSet<SocketAddr>>,
    /// Lengths of the frames that carry parts of a view.
    parts: Mutex<Vec<usize>>,
}

impl TestPeers {
    fn new(hosts: &[&Arc<Shared>]) -> Arc<Self> {
        let by_address = |h: &&Arc<Shared>| (h.host.addresses.peer, Arc::clone(h));
        Arc::new(Self {
            hosts: hosts.iter().map(by_address).collect(),
            ..Self::default()
        })
    }

    fn disconnect(&self, host: &Shared) {
        let mut disconnected = self.disconnected.lock().expect("not poisoned");
        disconnected.insert(host.host.addresses.peer);
    }
}

impl Peers for TestPeers {
    fn forward(
        &self,
        to: SocketAddr,
        _head: ForwardHead,
        _body: Body,
    ) -> BoxFuture<Result<(AnswerHead, Body), PeerError>> {
        Box::pin(async move { Err(PeerError::Timeout { to, sent: false }) })
    }

    fn call(&self, to: SocketAddr, message: Bytes) -> BoxFuture<Result<Bytes, PeerError>> {
        let disconnected = self
            .disconnected
            .lock()
            .expect("not poisoned")
            .contains(&to);
        let host = self.hosts.get(&to).filter(|_| !disconnected);
        let reply = host.map(|host| {
            let message = decode(&message).expect("a message");
            let frame = encode(&answer_view_request(host, &message)).expect("a frame");
            if matches!(message, Message::ViewPart { .. }) {
                let mut parts = self.parts.lock().expect("not poisoned");
                parts.push(frame.len());
            }
            frame
        });
        Box::pin(async move { reply.ok_or(PeerError::Timeout { to, sent: true }) })
    }
}

fn seeds(hosts: &[&Arc<Shared>]) -> Vec<SocketAddr> {
    hosts.iter().map(|h| h.host.addresses.peer).collect()
}

fn catch_up(sim: &Simulation, host: &Arc<Shared>, peers: &Arc<TestPeers>, seeds: Vec<SocketAddr>) {
    let peers: Arc<dyn Peers> = Arc::<TestPeers>::clone(peers);
    let run = CatchUp::new(Arc::clone(host), peers, seeds, LEASE).run();
    sim.executor.spawn(run).detach();
}

/// Creates a resource so large that the view is split into several parts.
fn large() -> RecordBody {
    let mut resource = routing("large", "x", 7, 0);
    let service = &mut resource.spec.services[0];
    let first = service.upstreams[0].clone();
    service.upstreams.extend((0..4_000u16).map(|i| {
        let mut next = first.clone();
        let name = format!("an-upstream-with-a-long-name-{i}");
        next.name = name.parse().expect("a name");
        next.address.set_port(1_000 + i);
        next
    }));
    RecordBody::Config(Box::new(resource))
}

/// Guards against a host that starts with an outdated view: replies of a minority do not suffice, a
/// starting seed refuses the query, and the newest view is fetched, in frames below the limit. Also
/// guards against a host that still serves when the replies of the majority have expired.
#[test]
fn a_host_starts_with_the_newest_view_of_a_majority() {
    let mut sim = Simulation::new();
    let base = sim.publish(0);
    let ahead = sim.start_reader(1);
    assert!(sim.run_until(|| ahead.is_ready() && revision(&ahead) == Revision(base)));
    // This seed does not replay the following records.
    let stale = sim.create_host(3);
    stale.publish(View::clone(&ahead.view()), []);
    stale.set_synced();
    sim.write(large());
    let newest = sim.publish(base);
    assert!(sim.run_until(|| revision(&ahead) == Revision(newest)));
    sim.set_fault(StoreFault::Down);

    let (starting, host) = (sim.create_host(4), sim.start_reader(5));
    let peers = TestPeers::new(&[&ahead, &stale, &starting]);
    peers.disconnect(&stale);
    let list = seeds(&[&ahead, &stale, &starting]);
    catch_up(&sim, &host, &peers, list);
    sim.advance(Duration::from_secs(3));
    assert!(
        !host.is_synced() && !host.is_ready(),
        "one of three answers"
    );

    peers.disconnected.lock().expect("not poisoned").clear();
    assert!(sim.run_until(|| host.is_ready() && host.has_seed_majority()));
    assert_eq!(host.view(), ahead.view(), "the newest view");
    assert!(!host.is_caught_up(), "it has not read the log");
    let parts = peers.parts.lock().expect("not poisoned").clone();
    assert!(parts.len() > 1, "several parts: {parts:?}");
    assert!(parts.iter().all(|n| *n < 1 << 20), "{parts:?}");

    peers.disconnect(&ahead);
    peers.disconnect(&stale);
    sim.advance(LEASE + Duration::from_millis(100));
    assert!(
        !host.has_seed_majority(),
        "a majority has been silent for a lease"
    );
}

/// Guards against a host that serves an old view although its seed knows a newer revision.
#[test]
fn a_host_waits_for_the_revision_that_its_seed_knows() {
    let mut sim = Simulation::new();
    let seed = sim.start_reader(1);
    let base = sim.publish(0);
    assert!(sim.run_until(|| seed.is_ready() && revision(&seed) == Revision(base)));
    seed.observe_revision(Revision(base + 5));
    sim.set_fault(StoreFault::Down);
    let host = sim.start_reader(2);
    let peers = TestPeers::new(&[&seed]);
    catch_up(&sim, &host, &peers, seeds(&[&seed]));
    assert!(sim.run_until(|| revision(&host) == Revision(base)));
    sim.advance(Duration::from_secs(2));
    assert!(!host.is_ready(), "a newer revision exists");
}

/// Guards against a running host that stays behind while the log is down, and against one that has
/// joined and still relies on the replies of its seeds instead of its lease.
#[test]
fn a_running_host_fetches_a_newer_view() {
    let mut sim = Simulation::new();
    let (ahead, host) = (sim.start_reader(1), sim.start_reader(2));
    for number in 1..=2 {
        sim.write(RecordBody::Joined(record(number)));
    }
    assert!(sim.run_until(|| host.view().hosts.len() == 2 && ahead.view().hosts.len() == 2));
    sim.set_fault(StoreFault::Down);
    sim.advance(Duration::from_secs(2));
    let newest = sim.publish(0);
    ahead.publish(sim.replayed(), []);
    let peers = TestPeers::new(&[&ahead]);
    catch_up(&sim, &host, &peers, seeds(&[&ahead]));
    sim.advance(Duration::from_secs(2));
    assert!(revision(&host) < Revision(newest) && host.is_ready());

    host.observe_revision(Revision(newest));
    assert!(!host.is_ready(), "a newer revision exists");
    assert!(sim.run_until(|| host.is_ready()));
    assert_eq!(host.view(), ahead.view());
    assert!(
        !host.has_seed_majority(),
        "a host that has joined serves under its lease"
    );
}
