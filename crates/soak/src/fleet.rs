//! A small deployment of real host processes.
//!
//! The store and the upstreams are test doubles in this process; each host is a `trefoild serve`
//! process. Proxies that inject network faults connect the hosts to the upstreams, and each host to
//! the store.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tempfile::TempDir;
use trefoil_core::SystemClock;
use trefoil_http::{Limits, Server};
use trefoil_standin::{
    ControlPlane, FaultyStore, RunRecorder, StoreFault, StoreServer, Upstream, UpstreamSpec,
    test_config,
};
use trefoil_store::{Append, MemoryStore, Store, StoreCopy};

use crate::proxy::Proxy;

/// Time limit for a state that a test expects, and for an answer.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A deployment. Dropping it stops the upstreams and kills the hosts.
#[derive(Debug)]
pub struct Fleet {
    /// The store with fault injection.
    pub store: Arc<FaultyStore>,
    /// Record of the runs of all upstreams.
    pub recorder: Arc<RunRecorder>,
    /// Upstreams that were started and not removed.
    pub upstreams: Vec<Arc<Upstream>>,
    /// Hosts that were started, whether or not their process still runs.
    pub hosts: Vec<Host>,
    /// Writes of operators and of the platform; they bypass the injected faults.
    pub control_plane: ControlPlane,
    program: PathBuf,
    memory: Arc<MemoryStore>,
    /// Proxies in front of the upstreams, by upstream name.
    links: HashMap<String, Proxy>,
    /// Address of the store's server.
    address: SocketAddr,
    folder: TempDir,
    _server: Server,
}

/// A host and its process.
#[derive(Debug)]
pub struct Host {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    /// Address that accepts requests from callers.
    pub caller_address: SocketAddr,
    /// Address that reports readiness.
    pub ready_address: SocketAddr,
    /// Address that serves metrics.
    pub operator_address: SocketAddr,
    /// Proxy between the host and the store.
    store_proxy: Proxy,
    settings: PathBuf,
}

/// An answer to a caller.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Status line and headers.
    pub head: String,
    /// Body.
    pub body: String,
}

impl Answer {
    /// Returns the value of a header, whose name is matched without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// Returns the properties of an upstream with defaults for tests. Only the service `keys` is
/// sharded.
pub fn upstream_spec(name: &str, service: &str) -> UpstreamSpec {
    UpstreamSpec {
        name: name.to_owned(),
        service: service.to_owned(),
        domain: "a".to_owned(),
        slots: 4,
        service_time: Duration::from_millis(5),
        sharded: service == "keys",
    }
}

/// Returns a loopback address that no other host of this or another process uses, so that fixed
/// ports are free there. A port that the system assigned to the test could be taken by another
/// process before the host binds it.
fn allocate_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    // The high bit of the second octet keeps 127.0.0.0/16 free for all other uses.
    Ipv4Addr::new(127, high | 0x80, low, NEXT.fetch_add(1, Ordering::SeqCst))
}

impl Fleet {
    /// Starts a store that contains version 1 of the test configuration, and the upstreams. Hosts
    /// are started separately.
    pub fn new(program: &Path, specs: Vec<UpstreamSpec>) -> Self {
        let clock = Arc::new(SystemClock);
        let memory = Arc::new(MemoryStore::new(Arc::<SystemClock>::clone(&clock)));
        let control_plane = ControlPlane::new(Arc::<MemoryStore>::clone(&memory));
        let inner = Arc::<MemoryStore>::clone(&memory);
        let store = Arc::new(FaultyStore::new(inner, clock));
        let service = Arc::new(StoreServer::new(Arc::<FaultyStore>::clone(&store)));
        let (server, address) = smol::block_on(async {
            let listener = smol::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
            let listener = listener.expect("the store binds a port");
            let address = listener.local_addr().expect("the listener has an address");
            (Server::serve(listener, Limits::default(), service), address)
        });
        let mut fleet = Self {
            store,
            control_plane,
            memory,
            recorder: Arc::default(),
            upstreams: Vec::new(),
            hosts: Vec::new(),
            program: program.to_owned(),
            links: HashMap::new(),
            address,
            folder: TempDir::new().expect("a temporary folder is created"),
            _server: server,
        };
        let first = fleet.control_plane.write_config(&test_config(1));
        first.expect("the store accepts the configuration");
        for spec in specs {
            fleet.start_upstream(spec);
        }
        fleet
    }

    /// Copies the content of the store.
    pub fn copy_store(&self) -> StoreCopy {
        self.memory.copy()
    }

    /// Takes the store away for `away` and brings it back from an earlier copy. Returns what it has
    /// lost, of which [`ControlPlane::write_again`] writes the part of the platform.
    pub fn restore_store(&self, copy: StoreCopy, away: Duration) -> Vec<Append> {
        self.store.set_fault(StoreFault::Down);
        std::thread::sleep(away);
        let lost = self.memory.restore(copy);
        self.store.set_fault(StoreFault::None);
        lost
    }

    /// Starts an upstream behind a proxy.
    pub fn start_upstream(&mut self, spec: UpstreamSpec) -> Arc<Upstream> {
        let store: Arc<dyn Store> = Arc::<FaultyStore>::clone(&self.store);
        let name = spec.name.clone();
        let links = &mut self.links;
        let advertise = |address| {
            let proxy = Proxy::start(address)?;
            let advertised = proxy.address();
            links.insert(name, proxy);
            Ok(advertised)
        };
        let upstream =
            Upstream::start(spec, store, &self.recorder, advertise).expect("upstream starts");
        self.upstreams.push(Arc::clone(&upstream));
        upstream
    }

    /// Returns true if an upstream with this name has been started and not removed.
    pub fn has_upstream(&self, name: &str) -> bool {
        self.upstreams.iter().any(|u| u.name() == name)
    }

    /// Removes a stopped upstream and its proxy.
    pub fn remove_upstream(&mut self, name: &str) {
        self.upstreams.retain(|u| u.name() != name);
        self.links.remove(name);
    }

    /// Returns the proxy in front of an upstream.
    pub fn upstream_link(&self, name: &str) -> &Proxy {
        self.links.get(name).expect("the upstream has a proxy")
    }

    /// Returns the latest upstream with a name.
    pub fn upstream(&self, name: &str) -> &Arc<Upstream> {
        let found = self.upstreams.iter().rfind(|u| u.name() == name);
        found.expect("the upstream exists")
    }

    /// Starts a host in the failure domain `a`, waits until it is ready and returns its index.
    pub fn start_host(&mut self) -> usize {
        self.launch_host("a", "", "", true)
    }

    /// Starts a host like [`Fleet::start_host`], in the given failure domain.
    pub fn start_host_in(&mut self, domain: &str) -> usize {
        self.launch_host(domain, "", "", true)
    }

    /// Starts a host like [`Fleet::start_host_in`], with additional bounds, such as
    /// `evacuate-ms: 5000`.
    pub fn start_host_with_bounds(&mut self, domain: &str, bounds: &str) -> usize {
        self.launch_host(domain, &format!(", {bounds}"), "", true)
    }

    /// Starts a host whose output is not read, so that the pipe fills, with additional settings.
    pub fn start_unread_host(&mut self, settings: &str) -> usize {
        self.launch_host("a", "", settings, false)
    }

    fn launch_host(
        &mut self,
        domain: &str,
        extra_bounds: &str,
        extra_settings: &str,
        read_output: bool,
    ) -> usize {
        let number = self.hosts.len() + 1;
        let ip = allocate_address();
        let [
            caller_address,
            ready_address,
            peer_address,
            operator_address,
        ] = [7001, 7002, 7003, 7004].map(|port| SocketAddr::from((ip, port)));
        let store_proxy = Proxy::start(self.address).expect("the proxy binds a port");
        let settings = self.folder.path().join(format!("host-{number}.yaml"));
        let text = format!(
            "name: entry-{number}\ndomain: {domain}\ncores: 1\n\
             caller: \"{caller_address}\"\nready: \"{ready_address}\"\n\
             peer: \"{peer_address}\"\noperator: \"{operator_address}\"\nstore: \"{}\"\n\
             bounds: {{ drain-ms: 2000, grace-s: 4, repeat-ratio: 0.2, repeat-fixed: 20{extra_bounds} }}\n\
             {extra_settings}",
            store_proxy.address()
        );
        std::fs::write(&settings, text).expect("the settings are written");
        let lines = Arc::<Mutex<Vec<String>>>::default();
        let child = spawn_host(&self.program, &settings, read_output.then_some(&lines));
        let host = Host {
            child,
            lines,
            caller_address,
            ready_address,
            operator_address,
            store_proxy,
            settings,
        };
        eventually("the host is ready", || host.is_ready().then_some(()));
        self.hosts.push(host);
        number - 1
    }

    /// Starts the process of a host again after it has ended.
    pub fn restart_host(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        let child = spawn_host(&self.program, &host.settings, Some(&host.lines));
        let mut ended = std::mem::replace(&mut host.child, child);
        ended.wait().expect("the process has ended");
    }

    /// Waits until a host answers a GET with status 200, and returns the answer.
    pub fn wait_until_served(&self, host: usize, path: &str, headers: &str) -> Answer {
        eventually(path, || {
            let answer = self.hosts[host].get("probe", path, headers)?;
            (answer.status == 200).then_some(answer)
        })
    }
}

/// Starts a host process. With `lines`, a thread reads its output and appends each line there.
fn spawn_host(program: &Path, settings: &Path, lines: Option<&Arc<Mutex<Vec<String>>>>) -> Child {
    let mut child = Command::new(program)
        .arg("serve")
        .env("TREFOILCART_NODE_FILE", settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("trefoild starts");
    if let Some(lines) = lines {
        let (stdout, collected) = (
            child.stdout.take().expect("stdout is piped"),
            Arc::clone(lines),
        );
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let mut collected = collected.lock().unwrap_or_else(PoisonError::into_inner);
                collected.push(line);
            }
        });
    }
    child
}

impl Host {
    /// Returns true if the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the process is a child")
            .is_none()
    }

    /// Returns the proxy between the host and the store.
    pub fn store_link(&self) -> &Proxy {
        &self.store_proxy
    }

    /// Returns true if the host reports that it is ready.
    pub fn is_ready(&self) -> bool {
        let answer = send_request(
            self.ready_address,
            "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n",
        );
        answer.is_some_and(|a| a.status == 200)
    }

    /// Sends a GET; returns `None` if there is no complete answer.
    pub fn get(&self, id: &str, path: &str, headers: &str) -> Option<Answer> {
        let head = format!("Host: shop.example\r\nX-Request-Id: {id}\r\n{headers}");
        send_request(
            self.caller_address,
            &format!("GET {path} HTTP/1.1\r\n{head}\r\n"),
        )
    }

    /// Sends a POST; returns `None` if there is no complete answer.
    pub fn post(&self, id: &str, path: &str, body: &str) -> Option<Answer> {
        let head = format!(
            "Host: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1200\r\n\
             Content-Length: {}\r\n",
            body.len()
        );
        send_request(
            self.caller_address,
            &format!("POST {path} HTTP/1.1\r\n{head}\r\n{body}"),
        )
    }

    /// Returns the metrics in their exposition format.
    pub fn metrics(&self) -> String {
        let answer = send_request(
            self.operator_address,
            "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
        );
        answer.expect("the host serves metrics").body
    }

    /// Returns the sum of all samples of a metric whose labels contain a text.
    pub fn sum_metric(&self, name: &str, labels: &str) -> f64 {
        let text = self.metrics();
        let samples = text.lines().filter(|line| {
            let rest = line.strip_prefix(name);
            rest.is_some_and(|r| r.starts_with(['{', ' '])) && line.contains(labels)
        });
        let value = |line: &str| line.rsplit(' ').next().and_then(|v| v.parse::<f64>().ok());
        samples.filter_map(value).sum()
    }

    /// Returns the log lines that have been read so far.
    pub fn log_lines(&self) -> Vec<String> {
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the key-value pairs of each log line in which `key` has the value `value`.
    pub fn log_entries(&self, key: &str, value: &str) -> Vec<BTreeMap<String, String>> {
        let lines = self.log_lines();
        let parsed = lines.iter().map(|line| parse_pairs(line));
        parsed
            .filter(|p| p.get(key).is_some_and(|v| v == value))
            .collect()
    }

    /// Waits for a log line in which `key` has the value `value`, and returns the latest.
    pub fn wait_for_entry(&self, key: &str, value: &str) -> BTreeMap<String, String> {
        eventually(value, || self.log_entries(key, value).pop())
    }

    /// Returns the largest resident memory of the process so far, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let digits = peak.and_then(|p| p.split_whitespace().next()?.parse().ok());
        digits.expect("the kernel tells the peak")
    }

    /// Sends a signal to the process, which must not have been reaped.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).expect("the pid fits into an i32"));
        kill(pid, signal).expect("the process exists");
    }

    /// Rewrites the settings file. The host does not reload it by itself.
    pub fn edit_settings<F>(&self, change: F)
    where
        F: FnOnce(String) -> String,
    {
        let text = std::fs::read_to_string(&self.settings).expect("the settings are readable");
        std::fs::write(&self.settings, change(text)).expect("the settings are written");
    }

    /// Waits until the process exits.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        eventually("the process ends", || {
            self.child.try_wait().expect("the process is a child")
        })
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for upstream in &self.upstreams {
            upstream.crash();
        }
    }
}

/// Parses the key-value pairs of a log line.
fn parse_pairs(line: &str) -> BTreeMap<String, String> {
    let mut pairs = BTreeMap::new();
    let mut rest = line;
    while let Some((key, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        pairs.insert(key.trim().to_owned(), value.to_owned());
        rest = next.trim_start();
    }
    pairs
}

/// Sends a request over a new connection. Returns `None` if there is no complete answer.
pub fn send_request(address: SocketAddr, request: &str) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_answer(&mut stream)
}

/// Reads the next answer from a connection. Returns `None` if it is incomplete, malformed or lacks
/// a `Content-Length`.
pub fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let mut answer = Answer {
        status: head.split(' ').nth(1)?.parse().ok()?,
        head,
        body: String::new(),
    };
    let length = answer.header("content-length")?.parse().ok()?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    answer.body = String::from_utf8(body).ok()?;
    Some(answer)
}

/// Polls `condition` until it returns a value.
pub fn eventually<T, F>(description: &str, mut condition: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        match condition() {
            Some(value) => return value,
            None if Instant::now() > deadline => {
                panic!("not within {WAIT_TIMEOUT:?}: {description}")
            }
            None => std::thread::sleep(Duration::from_millis(10)),
        }
    }
}
