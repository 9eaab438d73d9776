//! A deployment of separate processes: a stand-in platform, stand-in upstreams, and daemons.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use serde_json::Value;
use tempfile::TempDir;
use trefoil_config::Routing;
use trefoil_core::{Clock, Offset, Revision, SystemClock, WriterId};
use trefoil_log::{Body, Envelope, FORMAT, Log, SignedRecord, Signer, TopicLog};
use trefoil_platform::StoreClient;
use trefoil_wire::Authority;

use super::child::Process;

const CERTIFICATE_VALID: Duration = Duration::from_hours(24);

/// Timeout for a state that a test expects.
pub const STATE_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout for the answer to a caller. A suspended host never answers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of concurrent deployments. With more, the processes of one can starve those of
/// another for longer than a lease, and the watchdog timer then kills them as suspended.
const DEPLOYMENTS_MAX: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// Permit to run a deployment.
struct Permit;

impl Permit {
    fn wait() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let free = ENDED.wait_while(running, |n| *n >= DEPLOYMENTS_MAX);
        *free.unwrap_or_else(PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

/// An upstream of a deployment.
pub struct Upstream {
    /// The process.
    pub process: Process,
    /// Its listen address.
    pub address: SocketAddr,
    domain: String,
}

/// A daemon of a deployment.
pub struct Daemon {
    /// The process.
    pub process: Process,
    /// Its address for callers.
    pub caller: SocketAddr,
    /// Its address for other hosts.
    pub peer: SocketAddr,
    /// Its address for operators.
    pub operator: SocketAddr,
}

/// An answer to a caller.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub outcome: String,
    pub headers: HeaderMap,
    pub body: String,
}

impl Answer {
    /// Returns a field of the JSON body.
    pub fn field(&self, name: &str) -> Value {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body.get(name).cloned().unwrap_or_default()
    }
}

/// Separate processes with their keys and certificates in a temporary directory.
pub struct Deployment {
    dir: TempDir,
    authority: Authority,
    operator: Signer,
    host: Signer,
    /// The process of the platform.
    pub platform: Process,
    /// Upstreams by name.
    pub upstreams: BTreeMap<String, Upstream>,
    /// Daemons by name.
    pub daemons: BTreeMap<String, Daemon>,
    /// Seeds in the settings of daemons that are started later.
    pub seeds: Vec<SocketAddr>,
    /// Snapshot interval in records of daemons that are started later.
    pub snapshot_records: u32,
    /// Addresses that a restarted daemon reuses: for callers, hosts and operators.
    ports: BTreeMap<String, [SocketAddr; 3]>,
    // The last field, so that all processes have exited when another deployment starts.
    _permit: Permit,
}

fn standin() -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_trefoild")).with_file_name("trefoil-standin");
    assert!(
        path.exists(),
        "build it first: cargo build -p trefoil-standin"
    );
    path
}

fn signer(file: &Path) -> Signer {
    let der = Signer::generate().expect("a key pair");
    std::fs::write(file, &der).expect("the key file is written");
    Signer::from_pkcs8(&der).expect("the key pair reads back")
}

impl Deployment {
    /// Starts a platform without daemons and upstreams.
    pub fn new() -> Self {
        Self::with_platform(&[])
    }

    /// Starts a platform with flags, without daemons and upstreams.
    pub fn with_platform(flags: &[&str]) -> Self {
        let permit = Permit::wait();
        let dir = tempfile::tempdir().expect("a directory");
        let now = SystemClock.unix();
        let authority = Authority::create("test", now, CERTIFICATE_VALID).expect("an authority");
        let operator = signer(&dir.path().join("operator.key"));
        let host = signer(&dir.path().join("host.key"));
        let platform = Process::start(Command::new(standin()).arg("platform").args(flags));
        let (upstreams, daemons) = Default::default();
        let (seeds, ports) = Default::default();
        Self {
            dir,
            authority,
            operator,
            host,
            platform,
            upstreams,
            daemons,
            seeds,
            snapshot_records: 10_000,
            ports,
            _permit: permit,
        }
    }

    /// Starts an upstream.
    pub fn upstream(&mut self, name: &str, domain: &str, flags: &[&str]) {
        let mut command = Command::new(standin());
        command.args(["upstream", "--name", name]).args(flags);
        let process = Process::start(&mut command);
        let address = process.listening();
        let domain = domain.to_owned();
        self.upstreams.insert(
            name.to_owned(),
            Upstream {
                process,
                address,
                domain,
            },
        );
    }

    /// Starts a daemon and waits until it has joined, or serves without having joined. A restarted
    /// daemon reuses its ports.
    pub fn daemon(&mut self, name: &str, domain: &str) {
        let process = Process::start(&mut self.command(name, domain));
        let [caller, peer, operator] =
            ["caller=", "peer=", "operator="].map(|p| process.address(p));
        self.ports.insert(name.to_owned(), [caller, peer, operator]);
        self.daemons.insert(
            name.to_owned(),
            Daemon {
                process,
                caller,
                peer,
                operator,
            },
        );
    }

    /// Starts a daemon that is not expected to serve.
    pub fn waiting(&self, name: &str, domain: &str) -> Process {
        Process::spawn(&mut self.command(name, domain))
    }

    fn command(&self, name: &str, domain: &str) -> Command {
        let settings = self.settings(name, domain);
        let mut command = Command::new(env!("CARGO_BIN_EXE_trefoild"));
        command.args(["run", "--settings"]).arg(settings);
        if std::env::var_os("DEPLOYMENT_LOGS").is_none() {
            command.stderr(Stdio::null());
        }
        command
    }

    /// Writes the settings of a daemon and the files that they name.
    pub fn settings(&self, name: &str, domain: &str) -> PathBuf {
        let dir = self.dir.path();
        let file = |suffix: &str| dir.join(format!("{name}.{suffix}"));
        let host = name.parse().expect("a host name");
        let pem = self
            .authority
            .issue(&host, SystemClock.unix(), CERTIFICATE_VALID);
        let pem = pem.expect("a certificate");
        std::fs::write(file("cert.pem"), &pem.cert).expect("written");
        std::fs::write(file("key.pem"), &pem.key).expect("written");
        std::fs::write(dir.join("authority.pem"), &self.authority.pem().cert).expect("written");
        let at = dir.display();
        let platform = self.platform.listening();
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let [caller, peer, operator] = self.ports.get(name).copied().unwrap_or([free; 3]);
        let seeds = self
            .seeds
            .iter()
            .map(|s| format!("\"{s}\""))
            .collect::<Vec<_>>()
            .join(", ");
        let records = self.snapshot_records;
        let text = format!(
            "name: {name}
domain: {domain}
region: test
caller: {caller}
peer: {peer}
operator: {operator}
seeds: [{seeds}]
snapshots: {{ records: {records} }}
platform: {{ log: \"{platform}\", hosts: \"{platform}\" }}
tls:
  authority: {at}/authority.pem
  certificate: {at}/{name}.cert.pem
  key: {at}/{name}.key.pem
keys:
  operators: [\"{}\"]
  hosts: [\"{}\"]
  signing: {at}/host.key
",
            self.operator.key(),
            self.host.key()
        );
        std::fs::write(file("yaml"), text).expect("written");
        file("yaml")
    }

    /// Returns a routing resource with all upstreams in one service named `offers`.
    pub fn resource(&self, fenced: bool) -> String {
        let mut list = String::new();
        let domains: std::collections::BTreeSet<_> =
            self.upstreams.values().map(|u| u.domain.as_str()).collect();
        for (name, u) in &self.upstreams {
            let line = format!(
                "        - {{ name: {name}, address: \"{}\", domain: {} }}\n",
                u.address, u.domain
            );
            list.write_str(&line).expect("written");
        }
        let domains = domains.into_iter().collect::<Vec<_>>().join(", ");
        format!(
            "kind: Routing
name: test
spec:
  region: test
  domains: [{domains}]
  services:
    - name: offers
      key: {{ path: 1 }}
      methods: {{ idempotent: [GET, HEAD], non-idempotent: [POST, PUT, DELETE] }}
      limits: {{ slots: 4, connections: 130 }}
      deadlines: {{ default: 5000, max: 30000 }}
      fenced: {fenced}
      upstreams:
{list}"
        )
    }

    /// Returns the status document of a daemon.
    pub fn status(&self, daemon: &str) -> Value {
        let request = Request::get("/v1/status").body(Bytes::new());
        let (_, status) = call(self.daemons[daemon].operator, request.expect("a request"));
        serde_json::from_str(&status).expect("a status")
    }

    /// Publishes a resource through a daemon. Returns HTTP status and verdict.
    pub fn publish(&self, daemon: &str, yaml: &str, base: u64) -> (StatusCode, String) {
        let mut routing = Routing::from_yaml(yaml, "test").unwrap_or_else(|e| panic!("{e}"));
        routing.revision = Revision(base);
        let request = Request::post("/v1/records").body(self.record(routing));
        call(self.daemons[daemon].operator, request.expect("a request"))
    }

    /// Returns a signed record with a resource, which may be invalid.
    pub fn record(&self, routing: Routing) -> Bytes {
        let base = routing.revision;
        self.signed(base, Body::Config(Box::new(routing)))
    }

    /// Returns a record signed by the operator.
    pub fn signed(&self, base: Revision, body: Body) -> Bytes {
        let envelope = Envelope {
            format: FORMAT,
            writer: WriterId::random(),
            sequence: 1,
            base,
            time: SystemClock.unix(),
            body,
        };
        let record = SignedRecord::new(&envelope, &self.operator).and_then(|s| s.encode());
        record.expect("the record encodes")
    }

    fn log(&self) -> TopicLog {
        let store = StoreClient::new(self.platform.listening(), Arc::new(SystemClock));
        TopicLog::new(Arc::new(store))
    }

    /// Returns the number of records that were ever appended to the log.
    pub fn appended(&self) -> u64 {
        let read = self.log().read(Offset(0), 1, Duration::ZERO);
        smol::block_on(read).expect("a batch").end.0
    }

    /// Appends a record to the log without a daemon.
    pub fn append(&self, record: Bytes) {
        smol::block_on(self.log().append(record)).expect("appended");
    }

    /// Sets a fault of the platform.
    pub fn fault(&self, fault: &str) {
        let body = Bytes::from(fault.to_owned());
        let request = Request::post("/-/fault").body(body).expect("a request");
        let (status, body) = call(self.platform.listening(), request);
        assert!(status.is_success(), "fault {fault}: {body}");
    }

    /// Sends a caller's request through a daemon.
    pub fn send(&self, daemon: &str, request: Request<Bytes>) -> Answer {
        send(self.daemons[daemon].caller, request).expect("a whole answer")
    }

    /// Gets a path through a daemon.
    pub fn get(&self, daemon: &str, path: &str) -> Answer {
        self.send(
            daemon,
            Request::get(path).body(Bytes::new()).expect("a request"),
        )
    }

    /// Returns the requests that an upstream has executed.
    pub fn runs(&self, upstream: &str) -> Vec<Value> {
        let request = Request::get("/-/runs")
            .body(Bytes::new())
            .expect("a request");
        let (_, body) = call(self.upstreams[upstream].address, request);
        serde_json::from_str(&body).expect("a list of runs")
    }
}

/// Sends a caller's request. Returns `None` without a complete answer.
pub fn send(address: SocketAddr, request: Request<Bytes>) -> Option<Answer> {
    let answer = async {
        let mut connection = trefoil_http::Connection::open(address, STATE_TIMEOUT)
            .await
            .ok()?;
        let (mut parts, body) = request.into_parts();
        parts
            .headers
            .insert("host", http::HeaderValue::from_static("test"));
        let request = Request::from_parts(parts, trefoil_http::full(body));
        let response = connection.send(request).await.ok()?;
        let (parts, body) = response.into_parts();
        let body = http_body_util::BodyExt::collect(body).await.ok()?;
        let outcome = parts
            .headers
            .get("trefoil-outcome")
            .and_then(|v| v.to_str().ok());
        Some(Answer {
            status: parts.status,
            outcome: outcome.unwrap_or_default().to_owned(),
            headers: parts.headers,
            body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        })
    };
    let timeout = async {
        smol::Timer::after(ANSWER_TIMEOUT).await;
        None
    };
    smol::block_on(futures_lite::future::or(answer, timeout))
}

/// Sends a control request. Returns HTTP status and body.
pub fn call(address: SocketAddr, request: Request<Bytes>) -> (StatusCode, String) {
    let answer = smol::block_on(trefoil_http::call(address, request, 1 << 24, STATE_TIMEOUT));
    let (status, body) = answer.expect("an answer");
    (status, String::from_utf8_lossy(&body).into_owned())
}
