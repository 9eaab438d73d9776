//! Balancing of a skewed load over two nodes and four sample upstreams in the test process.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use trefoil_daemon::Node;
use trefoil_placement::report::MoveRow;
use trefoil_placement::{Reason, Report};

use super::cluster::{Cluster, served_by, settle, start};
use super::world::upstream;
use crate::process::deployment::{Answer, call, send};
use trefoil_soak::eventually;

/// Short windows, so that the test takes seconds.
const WINDOW: Duration = Duration::from_millis(500);

/// Time under load. The churn of each plan is limited to 20%, and this time has about 10 windows.
const LOADED: Duration = Duration::from_secs(6);

const CALLERS: u64 = 4;

fn post(address: SocketAddr, key: u64, id: u64) -> Answer {
    let request = Request::post(format!("/offers/customer-{key}"));
    let request = request.header("idempotency-key", format!("order-{id}"));
    let answer = send(address, request.body(Bytes::new()).expect("a request"));
    answer.expect("the connection stays")
}

fn report(node: &Node) -> Report {
    let request = Request::get("/v1/report?format=json").body(Bytes::new());
    let address = node.addresses().operator;
    let (status, body) = call(address, request.expect("a request"));
    assert_eq!(status, StatusCode::OK, "{body}");
    serde_json::from_str(&body).expect("a report")
}

/// Returns the keys by the upstream that initially owns them.
fn owners(address: SocketAddr) -> BTreeMap<String, Vec<u64>> {
    let mut owners = BTreeMap::<String, Vec<u64>>::new();
    for key in 0..160 {
        let owner = served_by(address, key);
        owners.entry(owner).or_default().push(key);
    }
    owners
}

/// Guards against load that stays uneven, against requests that are not answered or are executed
/// twice while their shards move between live upstreams, and against hosts and tools that report
/// different moves.
#[test]
fn a_skewed_load_is_balanced_without_a_lost_or_repeated_request() {
    let cluster = smol::block_on(start(WINDOW, Duration::from_millis(2)));
    settle(&cluster);
    let callers: Vec<_> = cluster.nodes.iter().map(|n| n.addresses().caller).collect();
    let owners = owners(callers[0]);
    let hot = &owners["offers-1"];
    let (stop, next) = (AtomicBool::new(false), AtomicU64::new(0));
    let answers: Vec<(u64, Answer)> = std::thread::scope(|scope| {
        let (stop, next, callers) = (&stop, &next, &callers);
        let call = |caller: u64| {
            let mut answers = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let id = next.fetch_add(1, Ordering::SeqCst);
                // Four of five requests are for keys that the first upstream initially owns.
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
    for run in cluster.upstreams.iter().flat_map(|u| u.runs()) {
        *runs.entry(run.id.unwrap_or_default()).or_default() += 1;
    }
    runs.remove("");
    for (id, answer) in &answers {
        assert_eq!(answer.outcome, "done", "order {id}: {answer:?}");
        assert_eq!(runs.get(&format!("order-{id}")), Some(&1), "order {id}");
    }
    assert_eq!(runs.len(), answers.len());

    let report = eventually("the windows are reported", || {
        let report = report(&cluster.nodes[0]);
        (!report.services.is_empty()).then_some(report)
    });
    let service = &report.services[0];
    // Only windows with more than half of the highest load count: in these the callers were active.
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
    let from_first =
        |m: &&MoveRow| m.reason == Reason::Balance && m.from == Some(upstream("offers-1"));
    assert!(service.moves.iter().any(|m| from_first(&m)), "{service:?}");
    // Without moves the first of four upstreams would have 85% of the load, a peak over mean of
    // 3.4.
    assert!(last < 1.4, "{peaks:?}");
    check_tools(&cluster);
}

/// Checks that both hosts report the same moves and that `trefoilctl` prints the report in all its
/// formats.
fn check_tools(cluster: &Cluster) {
    let rows = |node: &Node| -> BTreeSet<String> {
        let services = report(node).services;
        let moves = services.iter().flat_map(|s| &s.moves);
        moves
            .map(|m| format!("{:?}", (m.at, m.unit, &m.to, m.reason)))
            .collect()
    };
    assert_eq!(rows(&cluster.nodes[0]), rows(&cluster.nodes[1]));
    let address = cluster.nodes[1].addresses().operator;
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
