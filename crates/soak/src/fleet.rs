//! A small deployment: the store and the upstreams in this process, the hosts as processes.

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
    ControlPlane, FaultyStore, RunRecorder, StoreServer, Upstream, UpstreamSpec, test_config,
};
use trefoil_store::{MemoryStore, Store};

use crate::proxy::Proxy;

/// Longest wait for a state that a test expects.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The deployment.
#[derive(Debug)]
pub struct Fleet {
    /// The store, whose faults can be switched.
    pub store: Arc<FaultyStore>,
    /// What upstreams have run.
    pub recorder: Arc<RunRecorder>,
    /// Upstreams that were started.
    pub upstreams: Vec<Arc<Upstream>>,
    /// Hosts that were started.
    pub hosts: Vec<Host>,
    /// Operators and the registry, who write behind the faults.
    pub control_plane: ControlPlane,
    program: PathBuf,
    links: HashMap<String, Proxy>,
    address: SocketAddr,
    folder: TempDir,
    _server: Server,
}

/// One host.
#[derive(Debug)]
pub struct Host {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    /// Where it takes requests.
    pub caller_address: SocketAddr,
    /// Where it says whether it is ready.
    pub ready_address: SocketAddr,
    /// Where it serves metrics.
    pub operator_address: SocketAddr,
    store: Proxy,
    settings: PathBuf,
}

/// An answer to a caller.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// Status line and headers.
    pub head: String,
    /// The body.
    pub body: String,
}

impl Answer {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// An upstream of a service; the service `keys` is divided by keys.
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

/// An address of the loopback network that no other host of this or another process uses, so that
/// fixed ports are free there. Ports that the system picks could be taken before the host binds
/// them.
fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    // 127.0 is left to everything else.
    Ipv4Addr::new(127, high | 0x80, low, NEXT.fetch_add(1, Ordering::SeqCst))
}

impl Fleet {
    /// A store with the first configuration, and upstreams; no host runs yet.
    pub fn new(program: &Path, specs: Vec<UpstreamSpec>) -> Self {
        let clock = Arc::new(SystemClock);
        let memory = Arc::new(MemoryStore::new(Arc::<SystemClock>::clone(&clock)));
        let control_plane = ControlPlane::new(Arc::<MemoryStore>::clone(&memory));
        let store = Arc::new(FaultyStore::new(memory, clock));
        let service = Arc::new(StoreServer::new(Arc::<FaultyStore>::clone(&store)));
        let (server, address) = smol::block_on(async {
            let listener = smol::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
            let listener = listener.expect("a port");
            let address = listener.local_addr().expect("an address");
            (Server::serve(listener, Limits::default(), service), address)
        });
        let mut fleet = Self {
            store,
            control_plane,
            recorder: Arc::default(),
            upstreams: Vec::new(),
            hosts: Vec::new(),
            program: program.to_owned(),
            links: HashMap::new(),
            address,
            folder: TempDir::new().expect("a folder"),
            _server: server,
        };
        let first = fleet.control_plane.write_config(&test_config(1));
        first.expect("the store takes it");
        for spec in specs {
            fleet.start_upstream(spec);
        }
        fleet
    }

    /// Starts one more upstream, behind a proxy.
    pub fn start_upstream(&mut self, spec: UpstreamSpec) -> Arc<Upstream> {
        let store: Arc<dyn Store> = Arc::<FaultyStore>::clone(&self.store);
        let name = spec.name.clone();
        let links = &mut self.links;
        let publish = |address| {
            let proxy = Proxy::start(address)?;
            let public = proxy.address();
            links.insert(name, proxy);
            Ok(public)
        };
        let upstream = Upstream::start(spec, store, &self.recorder, publish).expect("it starts");
        self.upstreams.push(Arc::clone(&upstream));
        upstream
    }

    /// Whether an upstream with this name runs.
    pub fn has_upstream(&self, name: &str) -> bool {
        self.upstreams.iter().any(|u| u.name() == name)
    }

    /// Takes an upstream that has ended off the list.
    pub fn remove_upstream(&mut self, name: &str) {
        self.upstreams.retain(|u| u.name() != name);
        self.links.remove(name);
    }

    /// The proxy in front of an upstream.
    pub fn upstream_link(&self, name: &str) -> &Proxy {
        self.links.get(name).expect("the upstream has a proxy")
    }

    /// The latest upstream with a name.
    pub fn upstream(&self, name: &str) -> &Arc<Upstream> {
        let found = self.upstreams.iter().rfind(|u| u.name() == name);
        found.expect("the upstream exists")
    }

    /// Starts one more host and waits until it is ready.
    pub fn start_host(&mut self) -> usize {
        self.launch_host("a", "", true)
    }

    /// Starts one more host in another failure domain.
    pub fn start_host_in(&mut self, domain: &str) -> usize {
        self.launch_host(domain, "", true)
    }

    /// Starts a host whose output nobody reads, with further settings.
    pub fn start_unread_host(&mut self, settings: &str) -> usize {
        self.launch_host("a", settings, false)
    }

    fn launch_host(&mut self, domain: &str, further: &str, heard: bool) -> usize {
        let number = self.hosts.len() + 1;
        let ip = own_address();
        let [
            caller_address,
            ready_address,
            peer_address,
            operator_address,
        ] = [7001, 7002, 7003, 7004].map(|port| SocketAddr::from((ip, port)));
        let store = Proxy::start(self.address).expect("a port");
        let settings = self.folder.path().join(format!("host-{number}.yaml"));
        let text = format!(
            "name: entry-{number}\ndomain: {domain}\ncores: 1\n\
             caller: \"{caller_address}\"\nready: \"{ready_address}\"\n\
             peer: \"{peer_address}\"\noperator: \"{operator_address}\"\nstore: \"{}\"\n\
             bounds: {{ drain-ms: 2000, grace-s: 4, repeat-ratio: 0.2, repeat-fixed: 20 }}\n{further}",
            store.address()
        );
        std::fs::write(&settings, text).expect("the settings are written");
        let lines = Arc::<Mutex<Vec<String>>>::default();
        let child = spawn(&self.program, &settings, heard.then_some(&lines));
        let host = Host {
            child,
            lines,
            caller_address,
            ready_address,
            operator_address,
            store,
            settings,
        };
        eventually("the host is ready", || host.is_ready().then_some(()));
        self.hosts.push(host);
        number - 1
    }

    /// Starts a host again whose process has ended.
    pub fn restart_host(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        let child = spawn(&self.program, &host.settings, Some(&host.lines));
        let mut ended = std::mem::replace(&mut host.child, child);
        ended.wait().expect("the process has ended");
    }

    /// Waits until a host answers a path with 200.
    pub fn wait_until_served(&self, host: usize, path: &str, headers: &str) -> Answer {
        eventually(path, || {
            let answer = self.hosts[host].get("probe", path, headers)?;
            (answer.status == 200).then_some(answer)
        })
    }
}

/// Starts a process; keeps its lines if somebody wants them.
fn spawn(program: &Path, settings: &Path, lines: Option<&Arc<Mutex<Vec<String>>>>) -> Child {
    let mut child = Command::new(program)
        .arg("serve")
        .env("TREFOILCART_NODE_FILE", settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("trefoild runs");
    if let Some(lines) = lines {
        let (out, kept) = (child.stdout.take().expect("a pipe"), Arc::clone(lines));
        std::thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let mut kept = kept.lock().unwrap_or_else(PoisonError::into_inner);
                kept.push(line);
            }
        });
    }
    child
}

impl Host {
    /// Whether its process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }

    /// The proxy between it and the store.
    pub fn store_link(&self) -> &Proxy {
        &self.store
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let answer = send_request(
            self.ready_address,
            "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n",
        );
        answer.is_some_and(|a| a.status == 200)
    }

    /// Sends a request without a body.
    pub fn get(&self, id: &str, path: &str, headers: &str) -> Option<Answer> {
        let head = format!("Host: shop.example\r\nX-Request-Id: {id}\r\n{headers}");
        send_request(
            self.caller_address,
            &format!("GET {path} HTTP/1.1\r\n{head}\r\n"),
        )
    }

    /// Sends a request with a body.
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

    /// The metrics as they are served.
    pub fn metrics(&self) -> String {
        let answer = send_request(
            self.operator_address,
            "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n",
        );
        answer.expect("metrics").body
    }

    /// The sum of all samples of a metric whose labels contain a text.
    pub fn sum_metric(&self, name: &str, labels: &str) -> f64 {
        let text = self.metrics();
        let samples = text.lines().filter(|line| {
            let rest = line.strip_prefix(name);
            rest.is_some_and(|r| r.starts_with(['{', ' '])) && line.contains(labels)
        });
        let value = |line: &str| line.rsplit(' ').next().and_then(|v| v.parse::<f64>().ok());
        samples.filter_map(value).sum()
    }

    /// All log lines so far.
    pub fn log_lines(&self) -> Vec<String> {
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The pairs of the log lines in which a key has a value.
    pub fn log_entries(&self, key: &str, value: &str) -> Vec<BTreeMap<String, String>> {
        let lines = self.log_lines();
        let parsed = lines.iter().map(|line| pairs(line));
        parsed
            .filter(|p| p.get(key).is_some_and(|v| v == value))
            .collect()
    }

    /// Waits for a log line in which a key has a value.
    pub fn wait_for_entry(&self, key: &str, value: &str) -> BTreeMap<String, String> {
        eventually(value, || self.log_entries(key, value).pop())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).expect("a pid"));
        kill(pid, signal).expect("the process exists");
    }

    /// Changes the settings file.
    pub fn edit_settings<F>(&self, change: F)
    where
        F: FnOnce(String) -> String,
    {
        let text = std::fs::read_to_string(&self.settings).expect("the settings");
        std::fs::write(&self.settings, change(text)).expect("the settings are written");
    }

    /// Waits for the process to end by itself.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        eventually("the process ends", || {
            self.child.try_wait().expect("a child")
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

/// The pairs of a log line.
fn pairs(line: &str) -> BTreeMap<String, String> {
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

/// One request on a connection of its own; nothing if there is no whole answer.
pub fn send_request(address: SocketAddr, request: &str) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_answer(&mut stream)
}

/// The next answer on a connection.
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

/// Waits until `done` gives a value.
pub fn eventually<T, F>(what: &str, mut done: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let until = Instant::now() + WAIT_TIMEOUT;
    loop {
        match done() {
            Some(value) => return value,
            None if Instant::now() > until => panic!("not within {WAIT_TIMEOUT:?}: {what}"),
            None => std::thread::sleep(Duration::from_millis(10)),
        }
    }
}
