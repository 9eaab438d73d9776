//! Two nodes in this process, four sample upstreams, and a load that one of them gets most of.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use smol::net::TcpListener;
use trefoil_config::Routing;
use trefoil_core::{Clock, Revision, SystemClock, WriterId};
use trefoil_daemon::planner::{Loads, Observed, wanted};
use trefoil_daemon::{Node, NodeConfig};
use trefoil_dev::SampleUpstream;
use trefoil_http::{Limits, Server};
use trefoil_log::{Body, Envelope, FORMAT, Keyring, MemoryLog, Role, Signed, Signer};
use trefoil_placement::report::MoveRow;
use trefoil_placement::{Reason, Report};
use trefoil_wire::Authority;

use super::world::upstream;
use crate::process::deployment::{Answer, call, eventually, send};

/// Short windows, so that the test takes seconds.
const WINDOW: Duration = Duration::from_millis(500);

/// Time under load: plans may take up to 20% of churn in each of some 10 windows.
const LOADED: Duration = Duration::from_secs(6);

/// Time in which dispatchers of earlier hosts finish.
const SETTLE: Duration = Duration::from_secs(1);

const CALLERS: u64 = 4;

struct Small {
    nodes: Vec<Node>,
    upstreams: Vec<Arc<SampleUpstream>>,
    _servers: Vec<Server>,
}

fn signer() -> Signer {
    let key = Signer::generate().expect("a key pair");
    Signer::from_pkcs8(&key).expect("the key pair reads back")
}

async fn start() -> Small {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let operator = signer();
    let host = Signer::generate().expect("a key pair");
    let host = || Signer::from_pkcs8(&host).expect("the key pair reads back");
    let mut keys = Keyring::default();
    keys.add(operator.key(), Role::Operator);
    keys.add(host().key(), Role::Host);
    let day = Duration::from_hours(24);
    let authority = Authority::create("test", clock.unix(), day).expect("an authority");
    let log = Arc::new(MemoryLog::new(Arc::clone(&clock), 10_000));
    let log = || Arc::<MemoryLog>::clone(&log);
    let mut nodes = Vec::new();
    for (name, domain) in [("host-1", "a"), ("host-2", "b")] {
        let name = name.parse().expect("a name");
        let identity = authority
            .identity(&name, clock.unix(), day)
            .expect("an identity");
        let region = "r".parse().expect("a name");
        let domain = domain.parse().expect("a name");
        let config = NodeConfig::new(name, region, domain, identity, host(), log())
            .keys(keys.clone())
            .window(WINDOW);
        nodes.push(Node::start(config).await.expect("the node starts"));
    }
    let (mut upstreams, mut servers, mut list) = (Vec::new(), Vec::new(), String::new());
    for (i, domain) in (1..=4).zip(["a", "b", "a", "b"]) {
        let name = format!("offers-{i}");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (work, parsed) = (Duration::from_millis(2), name.parse().expect("a name"));
        let upstream = SampleUpstream::new(parsed, 4, true, work, Arc::clone(&clock));
        let upstream = Arc::new(upstream);
        let served = Arc::<SampleUpstream>::clone(&upstream);
        servers.push(Server::serve(listener, Limits::default(), served));
        upstreams.push(upstream);
        // Writing to a string does not fail.
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
    Small {
        nodes,
        upstreams,
        _servers: servers,
    }
}

/// Whether both hosts have a lease and no assignment is to change.
fn settled(small: &Small) -> Option<()> {
    let is_settled = |node: &Node| {
        let view = node.shared().view();
        let leases = view
            .hosts
            .keys()
            .filter(|h| view.records.tenure(**h).is_some());
        let complete = leases.count() == small.nodes.len() && !view.tables.is_empty();
        complete && wanted(&view, &Observed::default(), &Loads::new()).is_none()
    };
    small.nodes.iter().all(is_settled).then_some(())
}

fn get(address: SocketAddr, key: u64) -> Answer {
    let request = Request::get(format!("/offers/customer-{key}"));
    send(address, request.body(Bytes::new()).expect("a request"))
}

fn post(address: SocketAddr, key: u64, id: u64) -> Answer {
    let request = Request::post(format!("/offers/customer-{key}"));
    let request = request.header("idempotency-key", format!("order-{id}"));
    send(address, request.body(Bytes::new()).expect("a request"))
}

fn report(node: &Node) -> Report {
    let request = Request::get("/v1/report?format=json").body(Bytes::new());
    let address = node.addresses().operator;
    let (status, body) = call(address, request.expect("a request"));
    assert_eq!(status, StatusCode::OK, "{body}");
    serde_json::from_str(&body).expect("a report")
}

/// Keys by the upstream that owns them at first.
fn owners(address: SocketAddr) -> BTreeMap<String, Vec<u64>> {
    let mut owners = BTreeMap::<String, Vec<u64>>::new();
    for key in 0..160 {
        let owner = eventually("the key is served", || {
            let answer = get(address, key);
            let owner = answer.field("upstream").as_str().map(str::to_owned);
            owner.filter(|_| answer.outcome == "done")
        });
        owners.entry(owner).or_default().push(key);
    }
    owners
}

/// Guards against load that stays uneven, against requests that get no answer or run twice while
/// their shards move between upstreams that are alive, and against hosts and tools that tell
/// different reports.
#[test]
fn a_skewed_load_is_evened_out_without_a_lost_or_doubled_request() {
    let small = smol::block_on(start());
    // A host that has just joined takes over dispatchers, which is not what is tested here.
    eventually("the dispatchers are assigned", || settled(&small));
    std::thread::sleep(SETTLE);
    eventually("the dispatchers are assigned", || settled(&small));
    let callers: Vec<_> = small.nodes.iter().map(|n| n.addresses().caller).collect();
    let owners = owners(callers[0]);
    let hot = &owners["offers-1"];
    let (stop, next) = (AtomicBool::new(false), AtomicU64::new(0));
    let answers: Vec<(u64, Answer)> = std::thread::scope(|scope| {
        let (stop, next, callers) = (&stop, &next, &callers);
        let call = |caller: u64| {
            let mut answers = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let id = next.fetch_add(1, Ordering::SeqCst);
                // Four of five requests are for keys that the first upstream owns at first.
                let key = match usize::try_from(id / 5).unwrap_or(0) % hot.len() {
                    index if !id.is_multiple_of(5) => hot[index],
                    _ => id / 5 % 160,
                };
                let address = callers[usize::from(!(id + caller).is_multiple_of(2))];
                answers.push((id, post(address, key, id)));
            }
            answers
        };
        let threads: Vec<_> = (0..CALLERS).map(|c| scope.spawn(move || call(c))).collect();
        std::thread::sleep(LOADED);
        stop.store(true, Ordering::SeqCst);
        let join = |t: std::thread::ScopedJoinHandle<'_, Vec<_>>| t.join().expect("a caller");
        threads.into_iter().flat_map(join).collect()
    });
    let mut runs = BTreeMap::<String, u32>::new();
    for run in small.upstreams.iter().flat_map(|u| u.runs()) {
        *runs.entry(run.id.unwrap_or_default()).or_default() += 1;
    }
    runs.remove("");
    for (id, answer) in &answers {
        assert_eq!(answer.outcome, "done", "order {id}: {answer:?}");
        assert_eq!(runs.get(&format!("order-{id}")), Some(&1), "order {id}");
    }
    assert_eq!(runs.len(), answers.len());

    let report = eventually("the windows are reported", || {
        let report = report(&small.nodes[0]);
        (!report.services.is_empty()).then_some(report)
    });
    let service = &report.services[0];
    // The callers keep the upstreams busy in the windows with most of the load.
    let most = service.windows.iter().map(|w| w.load).fold(0.0, f64::max);
    let busy = service.windows.iter().filter(|w| w.load > most / 2.0);
    let peaks: Vec<f64> = busy.map(|w| w.peak).collect();
    let worst = peaks.iter().copied().fold(0.0, f64::max);
    let last = peaks.last().copied().unwrap_or(0.0);
    println!(
        "{} requests, {} moves, peak over mean {worst:.3} at worst, {last:.3} at last",
        answers.len(),
        service.moves.len()
    );
    let away = |m: &&MoveRow| m.reason == Reason::Balance && m.from == Some(upstream("offers-1"));
    assert!(service.moves.iter().any(|m| away(&m)), "{service:?}");
    // Without moves the first upstream has 85% of the load of four: a peak of 3.4.
    assert!(last < 1.4, "{peaks:?}");
    check_tools(&small);
}

/// Compares what both hosts and `trefoilctl` tell.
fn check_tools(small: &Small) {
    let rows = |node: &Node| -> BTreeSet<String> {
        let services = report(node).services;
        let moves = services.iter().flat_map(|s| &s.moves);
        moves
            .map(|m| format!("{:?}", (m.at, m.unit, &m.to, m.reason)))
            .collect()
    };
    assert_eq!(rows(&small.nodes[0]), rows(&small.nodes[1]));
    let address = small.nodes[1].addresses().operator;
    let run = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_trefoilctl"));
        command.env_clear().args(["--server", &address.to_string()]);
        let output = command.args(arguments).output().expect("trefoilctl runs");
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).expect("text")
    };
    assert!(run(&["report"]).starts_with("Placement report: region r"));
    let page = run(&["report", "--html"]);
    assert!(page.contains("<svg") && !page.contains("<script"));
    let json = run(&["report", "--output", "json"]);
    let parsed: Report = serde_json::from_str(&json).expect("a report");
    assert_eq!(parsed.services.len(), 1);
    let request = Request::get("/v1/report?format=pdf").body(Bytes::new());
    let (status, _) = call(address, request.expect("a request"));
    assert_eq!(status, StatusCode::BAD_REQUEST);
}
