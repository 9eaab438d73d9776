//! Entry hosts that run in the process of the test.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use trefoil_config::Routing;
use trefoil_core::{Clock, Revision, SystemClock, WriterId};
use trefoil_daemon::{Node, NodeConfig};
use trefoil_http::Server;
use trefoil_log::{
    Body, Envelope, FORMAT, Keyring, MemoryLog, Role, SignedRecord, Signer, Verdict,
};
use trefoil_wire::Authority;

use super::raw_http::Connection;
use super::upstream::Upstream;
use trefoil_soak::eventually;

const DAY: Duration = Duration::from_hours(24);

/// Longest wait for the verdict on a published resource.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(20);

/// Entry hosts with one in-memory log and one upstream for each service.
pub struct Hosts {
    pub nodes: Vec<Node>,
    pub upstream: Arc<Upstream>,
    operator: Signer,
    addresses: [SocketAddr; 2],
    _servers: [Server; 2],
}

fn generate_signer() -> Signer {
    Signer::from_pkcs8(&Signer::generate().expect("a key")).expect("a key")
}

impl Hosts {
    /// Starts one host for each failure domain in `domains`, and publishes two services whose
    /// upstream is in the first domain: `offers` (key in the path) and `orders` (key in a header).
    pub fn start(domains: &[&str]) -> Self {
        Self::start_with(domains, |config| config)
    }

    /// Like [`start`](Self::start), but applies `change` to the configuration of each host.
    pub fn start_with<F>(domains: &[&str], change: F) -> Self
    where
        F: Fn(NodeConfig) -> NodeConfig,
    {
        smol::block_on(async {
            let clock: Arc<dyn Clock> = Arc::new(SystemClock);
            let authority = Authority::create("test", clock.unix(), DAY).expect("an authority");
            let (operator, host) = (generate_signer(), Signer::generate().expect("a key"));
            let log = Arc::new(MemoryLog::new(Arc::clone(&clock), 1000));
            let mut nodes = Vec::new();
            for (i, domain) in domains.iter().enumerate() {
                let name = format!("entry-{}", i + 1).parse().expect("a name");
                let identity = authority.issue_identity(&name, clock.unix(), DAY);
                let signer = Signer::from_pkcs8(&host).expect("a key");
                let mut keys = Keyring::default();
                keys.add(operator.key(), Role::Operator);
                keys.add(signer.key(), Role::Host);
                let config = NodeConfig::new(
                    name,
                    "test".parse().expect("a name"),
                    domain.parse().expect("a name"),
                    identity.expect("an identity"),
                    signer,
                    Arc::<MemoryLog>::clone(&log),
                );
                let node = Node::start(change(config.keys(keys))).await;
                nodes.push(node.expect("the host starts"));
            }
            let upstream = Arc::new(Upstream::default());
            // Two upstreams must not share an address.
            let (first, second) = (upstream.serve().await, upstream.serve().await);
            let hosts = Self {
                nodes,
                upstream,
                operator,
                addresses: [first.1, second.1],
                _servers: [first.0, second.0],
            };
            let verdict = hosts.publish(0, &hosts.resource(domains)).await;
            assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict:?}");
            hosts
        })
        .wait_until_served()
    }

    fn wait_until_served(self) -> Self {
        for node in &self.nodes {
            let address = node.addresses().caller;
            for request in [
                "GET /offers/warm HTTP/1.1\r\nHost: h\r\n\r\n",
                "GET /orders HTTP/1.1\r\nHost: h\r\nX-Order: 1\r\n\r\n",
            ] {
                eventually("the service is served", || {
                    let mut connection = Connection::open(address);
                    connection.send(request.as_bytes());
                    connection
                        .read_answer()
                        .head
                        .contains(" 200 ")
                        .then_some(())
                });
            }
        }
        self.upstream.requests.lock().expect("no panic").clear();
        self
    }

    /// Publishes further services, declared in YAML as in [`resource`](Self::resource).
    pub fn add_services(&self, domains: &[&str], declared: &str) {
        let resource = self.resource(domains) + declared;
        let Verdict::Conflict { current } = smol::block_on(self.publish(0, &resource)) else {
            panic!("the first resource has a revision");
        };
        let verdict = smol::block_on(self.publish(current.0, &resource));
        assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict:?}");
    }

    /// Returns the resource with both services as YAML.
    pub fn resource(&self, domains: &[&str]) -> String {
        let mut services = String::new();
        let declared = [("offers", "path: 1"), ("orders", "header: X-Order")];
        for ((name, key), address) in declared.into_iter().zip(self.addresses) {
            let text = format!(
                "    - name: {name}
      key: {{ {key} }}
      methods: {{ idempotent: [GET, HEAD, PUT], non-idempotent: [POST] }}
      fenced: false
      limits: {{ slots: 2, connections: 130, body: 4000000 }}
      deadlines: {{ default: 5000, max: 10000, margin: 100 }}
      upstreams:
        - {{ name: {name}-1, address: \"{address}\", domain: {} }}
",
                domains[0]
            );
            services.write_str(&text).expect("written");
        }
        format!(
            "kind: Routing
name: test
spec:
  region: test
  domains: [{}]
  services:
{services}",
            domains.join(", ")
        )
    }

    /// Publishes a resource through the first host.
    pub async fn publish(&self, base: u64, yaml: &str) -> Verdict {
        let mut routing = Routing::from_yaml(yaml, "test").unwrap_or_else(|e| panic!("{e}"));
        routing.revision = Revision(base);
        let envelope = Envelope {
            format: FORMAT,
            writer: WriterId::random(),
            sequence: 1,
            base: Revision(base),
            time: SystemClock.unix(),
            body: Body::Config(Box::new(routing)),
        };
        let record = SignedRecord::new(&envelope, &self.operator).and_then(|s| s.encode());
        let until = SystemClock.now().after(VERDICT_TIMEOUT);
        let shared = self.nodes[0].shared();
        shared
            .submit(record.expect("the record encodes"), until)
            .await
            .expect("a verdict")
    }

    /// Opens a connection of a caller to a host.
    pub fn caller(&self, host: usize) -> Connection {
        Connection::open(self.nodes[host].addresses().caller)
    }

    /// Opens a connection of an operator to a host.
    pub fn operator(&self, host: usize) -> Connection {
        Connection::open(self.nodes[host].addresses().operator)
    }
}
