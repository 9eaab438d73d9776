//! Upstreams that return to the registry after an outage, and removals that hosts tell each other.

use std::net::UdpSocket;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future::{Boxed, pending, ready};
use serde_json::json;
use trefoil_core::SystemClock;
use trefoil_gateway::{Host, HostConfig, follow, message::HostInfo, relay};
use trefoil_reactor::Async;
use trefoil_standin::{ControlPlane, test_config};
use trefoil_store::{
    Append, Appended, Batch, Era, MemoryStore, Newest, Page, Read, Store, StoreError,
};

use super::support;

/// Time for which changes are told, and some more.
const QUIET: Duration = Duration::from_millis(1500);

/// Time in which a change is told several times, before a host copies the directory.
const TOLD: Duration = Duration::from_millis(300);

/// Time between two polls of a condition.
const POLL: Duration = Duration::from_millis(5);

/// A store that can be cut off, and that counts answered reads.
#[derive(Debug)]
struct Link {
    store: Arc<MemoryStore>,
    cut: AtomicBool,
    reads: AtomicU32,
}

impl Link {
    fn check(&self) -> Result<(), StoreError> {
        if self.cut.load(Ordering::Relaxed) {
            let reason = "cut off".to_owned();
            return Err(StoreError::Unreachable { reason });
        }
        self.reads.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}

impl Store for Link {
    fn era(&self) -> Era {
        self.store.era()
    }

    fn append(&self, append: Append) -> Boxed<Result<Appended, StoreError>> {
        match self.check() {
            Ok(()) => self.store.append(append),
            Err(error) => ready(Err(error)).boxed(),
        }
    }

    fn read(&self, read: Read) -> Boxed<Result<Batch, StoreError>> {
        match self.check() {
            Ok(()) => self.store.read(read),
            Err(error) => ready(Err(error)).boxed(),
        }
    }

    fn newest(&self, newest: Newest) -> Boxed<Result<Page, StoreError>> {
        match self.check() {
            Ok(()) => self.store.newest(newest),
            Err(error) => ready(Err(error)).boxed(),
        }
    }
}

struct Member {
    host: Rc<Host>,
    link: Arc<Link>,
    socket: Rc<Async<UdpSocket>>,
}

impl Member {
    fn new(number: usize, store: Arc<MemoryStore>) -> Self {
        let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).expect("a port");
        let config = HostConfig {
            peer: socket.get_ref().local_addr().expect("bound"),
            ..support::settings(number)
        };
        let link = Arc::new(Link {
            store,
            cut: AtomicBool::new(false),
            reads: AtomicU32::new(0),
        });
        let host = support::host(config, Arc::<Link>::clone(&link));
        follow::load_config(
            &host,
            &Bytes::from(test_config(1).to_string()),
            Era::default(),
        );
        Self {
            host,
            link,
            socket: Rc::new(socket),
        }
    }

    fn info(&self) -> HostInfo {
        self.host.peers.borrow().own().clone()
    }

    fn set_cut(&self, cut: bool) {
        self.link.cut.store(cut, Ordering::Relaxed);
    }

    fn reads(&self) -> u32 {
        self.link.reads.load(Ordering::Relaxed)
    }

    /// Sum of the samples of a metric whose labels contain all texts.
    fn sum(&self, name: &str, labels: &[&str]) -> f64 {
        let text = self.host.metrics.encode().expect("encoded");
        let samples = text
            .lines()
            .filter(|l| l.starts_with(name) && labels.iter().all(|label| l.contains(label)));
        let value = |line: &str| line.rsplit(' ').next().and_then(|v| v.parse::<f64>().ok());
        samples.filter_map(value).sum()
    }

    fn gone(&self, source: &str) -> f64 {
        self.sum("trefoil_directory_changes_total", &["gone", source])
    }

    async fn run(&self) {
        let host = &self.host;
        let tasks = [
            host.spawn(follow::follow_registry(Rc::clone(host))),
            host.spawn(relay::receive(Rc::clone(host), Rc::clone(&self.socket))),
            host.spawn(relay::send(Rc::clone(host), Rc::clone(&self.socket))),
        ];
        host.executor.run(pending::<()>()).await;
        drop(tasks);
    }
}

/// Three hosts of one failure domain that know each other and share a registry.
fn members(stores: [&Arc<MemoryStore>; 3]) -> [Member; 3] {
    let members = [0, 1, 2].map(|i| Member::new(i + 1, Arc::clone(stores[i])));
    for member in &members {
        for other in &members {
            let (now, info) = (member.host.now(), other.info());
            member.host.peers.borrow_mut().add(now, info);
        }
    }
    members
}

fn run<F>(members: &[Member; 3], test: F)
where
    F: Future<Output = ()>,
{
    let [first, second, third] = members;
    support::block_on(test.or(first.run()).or(second.run()).or(third.run()));
}

async fn wait(span: Duration) {
    smol::Timer::after(span).await;
}

async fn wait_until<F>(condition: F)
where
    F: Fn() -> bool,
{
    while !condition() {
        wait(POLL).await;
    }
}

fn register(store: &Arc<MemoryStore>, name: &str, sequence: u64) {
    let entry = json!({
        "service": "plain", "address": "192.0.2.1:80", "zone": "a", "version": "1",
        "slots": 4, "state": "ready", "warmupLeftMs": 0, "sequence": sequence, "born": 1,
    });
    let registry = ControlPlane::new(Arc::<MemoryStore>::clone(store));
    let written = registry.write_registration(name, &entry.to_string());
    written.expect("written");
}

fn remove(store: &Arc<MemoryStore>, name: &str) {
    let registry = ControlPlane::new(Arc::<MemoryStore>::clone(store));
    registry.remove_registration(name).expect("written");
}

fn store() -> Arc<MemoryStore> {
    Arc::new(MemoryStore::new(Arc::new(SystemClock)))
}

/// Guards against the removal of an upstream that has returned within the grace period after an
/// outage, at hosts that have not read the registry since.
#[test]
fn an_upstream_that_returned_in_the_grace_period_is_not_removed() {
    let store = store();
    register(&store, "other", 1);
    register(&store, "p1", 1);
    let members = members([&store; 3]);
    let test = async {
        wait(QUIET).await;
        for member in &members {
            member.set_cut(true);
        }
        remove(&store, "p1");
        wait(Duration::from_millis(2500)).await;
        // The hosts reach the registry again one after the other.
        members[0].set_cut(false);
        wait(Duration::from_millis(300)).await;
        let before = members[1].reads();
        members[1].set_cut(false);
        members[2].set_cut(false);
        wait_until(|| members[1].reads() >= before + 3).await;
        register(&store, "p1", 2);
        wait(QUIET * 2).await;
    };
    run(&members, test);
    let gone = members.each_ref().map(|m| m.gone(""));
    let known = members.each_ref().map(|m| m.sum("trefoil_upstreams", &[]));
    assert!(
        gone.iter().sum::<f64>() < 0.5,
        "removals at the hosts: {gone:?}, upstreams at the end: {known:?}"
    );
}

/// Guards against the removal of an upstream that returned while one host reached the registry, and
/// that the first relay finds registered as before.
#[test]
fn an_upstream_that_returned_before_a_relay_has_read_is_not_removed() {
    let store = store();
    register(&store, "other", 1);
    register(&store, "p1", 1);
    let members = members([&store; 3]);
    let test = async {
        wait(QUIET).await;
        for member in &members {
            member.set_cut(true);
        }
        remove(&store, "p1");
        wait(Duration::from_millis(2500)).await;
        let before = members[2].reads();
        members[2].set_cut(false);
        wait_until(|| members[2].reads() >= before + 2).await;
        register(&store, "p1", 2);
        members[0].set_cut(false);
        members[1].set_cut(false);
        wait(QUIET * 2).await;
    };
    run(&members, test);
    let gone = members.each_ref().map(|m| m.gone(""));
    let known = members.each_ref().map(|m| m.sum("trefoil_upstreams", &[]));
    assert!(
        gone.iter().sum::<f64>() < 0.5,
        "removals at the hosts: {gone:?}, upstreams at the end: {known:?}"
    );
}

/// Guards against the removal of an upstream that has returned after the last read before the end
/// of the grace period.
#[test]
fn an_upstream_that_returned_at_the_end_of_the_grace_period_is_not_removed() {
    let store = store();
    register(&store, "other", 1);
    register(&store, "p1", 1);
    let members = members([&store; 3]);
    let test = async {
        wait(QUIET).await;
        for member in &members {
            member.set_cut(true);
        }
        remove(&store, "p1");
        wait(Duration::from_millis(2500)).await;
        let before = members[0].reads();
        // The store turns the other hosts away.
        members[0].set_cut(false);
        wait_until(|| members[0].reads() >= before + 4).await;
        register(&store, "p1", 2);
        wait(QUIET * 2).await;
    };
    run(&members, test);
    let gone = members.each_ref().map(|m| m.gone(""));
    let known = members.each_ref().map(|m| m.sum("trefoil_upstreams", &[]));
    assert!(
        gone.iter().sum::<f64>() < 0.5,
        "removals at the hosts: {gone:?}, upstreams at the end: {known:?}"
    );
}

/// Guards against a removal that is ignored because the reader that tells it read the last
/// registration and the removal at the same time.
#[test]
fn a_removal_counts_at_a_host_that_has_read_the_last_registration() {
    let (first, second, third) = (store(), store(), store());
    for store in [&first, &second, &third] {
        register(store, "other", 1);
        register(store, "p1", 1);
    }
    let members = members([&first, &second, &third]);
    let test = async {
        wait(QUIET).await;
        register(&second, "p1", 2);
        let before = members[1].reads();
        wait_until(|| members[1].reads() > before + 1).await;
        register(&first, "p1", 2);
        remove(&first, "p1");
        wait_until(|| members[0].gone("registry") > 0.5).await;
        wait(TOLD).await;
    };
    run(&members, test);
    let told = members.each_ref().map(|m| m.gone("digest"));
    assert!(
        told[1] > 0.5 && told[2] > 0.5,
        "removals that were told: {told:?}"
    );
}
