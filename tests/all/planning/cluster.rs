//! A cluster of two nodes and four sample upstreams in the test process.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use smol::net::TcpListener;
use trefoil_config::Routing;
use trefoil_core::{Clock, Revision, SystemClock, WriterId};
use trefoil_daemon::planner::{Loads, Observations, required_placement};
use trefoil_daemon::{Node, NodeConfig};
use trefoil_dev::SampleUpstream;
use trefoil_http::{Limits, Server};
use trefoil_log::{Body, Envelope, FORMAT, Keyring, MemoryLog, Role, Signed, Signer, TopicLog};
use trefoil_standin::FaultyStore;
use trefoil_wire::Authority;

use crate::process::deployment::{Answer, send};
use trefoil_soak::eventually;

/// Time in which the dispatchers of earlier assignments drain.
const SETTLE: Duration = Duration::from_secs(1);

/// The nodes and upstreams of one deployment.
pub struct Cluster {
    pub nodes: Vec<Node>,
    pub upstreams: Vec<Arc<SampleUpstream>>,
    /// The store behind the nodes' log.
    pub faults: Arc<FaultyStore>,
    /// The log without the injected faults.
    pub log: MemoryLog,
    /// The signing key of the hosts.
    pub host: Signer,
    _servers: Vec<Server>,
}

fn signer() -> Signer {
    let key = Signer::generate().expect("a key pair");
    Signer::from_pkcs8(&key).expect("the key pair reads back")
}

/// Starts two nodes and four upstreams. Each upstream executes a request for the time `work`.
pub async fn start(window: Duration, work: Duration) -> Cluster {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let operator = signer();
    let host = Signer::generate().expect("a key pair");
    let host = || Signer::from_pkcs8(&host).expect("the key pair reads back");
    let mut keys = Keyring::default();
    keys.add(operator.key(), Role::Operator);
    keys.add(host().key(), Role::Host);
    let day = Duration::from_hours(24);
    let authority = Authority::create("test", clock.unix(), day).expect("an authority");
    let log = MemoryLog::new(Arc::clone(&clock), 10_000);
    let store = Arc::new(log.store().clone());
    let faults = Arc::new(FaultyStore::new(store, Arc::clone(&clock)));
    let shown = TopicLog::new(Arc::<FaultyStore>::clone(&faults));
    let through = || Arc::new(shown.clone());
    let mut nodes = Vec::new();
    for (name, domain) in [("host-1", "a"), ("host-2", "b")] {
        let name = name.parse().expect("a name");
        let identity = authority
            .issue_identity(&name, clock.unix(), day)
            .expect("an identity");
        let region = "r".parse().expect("a name");
        let domain = domain.parse().expect("a name");
        let config = NodeConfig::new(name, region, domain, identity, host(), through())
            .keys(keys.clone())
            .window(window);
        nodes.push(Node::start(config).await.expect("the node starts"));
    }
    let (mut upstreams, mut servers, mut list) = (Vec::new(), Vec::new(), String::new());
    for (i, domain) in (1..=4).zip(["a", "b", "a", "b"]) {
        let name = format!("offers-{i}");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let parsed = name.parse().expect("a name");
        let upstream = SampleUpstream::new(parsed, 4, true, work, Arc::clone(&clock));
        let upstream = Arc::new(upstream);
        let served = Arc::<SampleUpstream>::clone(&upstream);
        servers.push(Server::serve(listener, Limits::default(), served));
        upstreams.push(upstream);
        // Writing to a string cannot fail.
        let _ = writeln!(
            list,
            "        - {{ name: {name}, address: \"{address}\", domain: {domain} }}"
        );
    }
    let yaml = format!(
        "kind: Routing\nname: test\nspec:\n  region: r\n  domains: [a, b]\n  services:\n    \
         - name: offers\n      key: {{ path: 1 }}\n      \
         methods: {{ idempotent: [GET], non-idempotent: [POST] }}\n      shards: 64\n      \
         fenced: true\n      limits: {{ slots: 4, connections: 130 }}\n      \
         deadlines: {{ default: 5000, max: 30000 }}\n      upstreams:\n{list}"
    );
    let routing = Routing::from_yaml(&yaml, "test").unwrap_or_else(|e| panic!("{e}"));
    let envelope = Envelope {
        format: FORMAT,
        writer: WriterId::random(),
        sequence: 1,
        base: Revision(0),
        time: clock.unix(),
        body: Body::Config(Box::new(routing)),
    };
    let record = Signed::new(&envelope, &operator).and_then(|s| s.encode());
    let until = clock.now().after(Duration::from_secs(5));
    let record = record.expect("the record encodes");
    let verdict = nodes[0].shared().submit(record, until).await;
    verdict.expect("the resource is accepted");
    Cluster {
        nodes,
        upstreams,
        faults,
        log,
        host: host(),
        _servers: servers,
    }
}

/// Checks that both hosts have a lease and that no placement change is required.
fn is_settled(cluster: &Cluster) -> Option<()> {
    let is_settled = |node: &Node| {
        let view = node.shared().view();
        let leases = view
            .hosts
            .keys()
            .filter(|h| view.records.leases_of(**h).is_some());
        let complete = leases.count() == cluster.nodes.len() && !view.tables.is_empty();
        complete && required_placement(&view, &Observations::default(), &Loads::new()).is_none()
    };
    cluster.nodes.iter().all(is_settled).then_some(())
}

/// Waits until the assignments of dispatchers are stable. A host that has just joined takes some of
/// them over.
pub fn settle(cluster: &Cluster) {
    eventually("the dispatchers are assigned", || is_settled(cluster));
    std::thread::sleep(SETTLE);
    eventually("the dispatchers are assigned", || is_settled(cluster));
}

/// Sends a GET request for a key.
pub fn get(address: SocketAddr, key: u64) -> Answer {
    let request = Request::get(format!("/offers/customer-{key}"));
    let answer = send(address, request.body(Bytes::new()).expect("a request"));
    answer.expect("the connection stays")
}

/// Returns the upstream that serves a key.
pub fn served_by(address: SocketAddr, key: u64) -> String {
    eventually("the key is served", || {
        let answer = get(address, key);
        let owner = answer.field("upstream").as_str().map(str::to_owned);
        owner.filter(|_| answer.outcome == "done")
    })
}
