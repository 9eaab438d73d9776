//! Load from callers, and a checker that compares reported outcomes with executed requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use uuid::Uuid;

use super::deployment::{Answer, send};

/// Number of keys that callers use.
const KEYS: u32 = 48;

/// Maximum number of times that a caller sends a request while its outcome is unknown.
const ATTEMPTS_MAX: u32 = 3;

/// A request with the outcomes that were reported to its caller.
#[derive(Debug)]
pub struct RequestLog {
    id: String,
    path: String,
    outcomes: Vec<String>,
    answer: Option<Answer>,
}

/// Callers that send until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<RequestLog>>>,
}

impl Load {
    /// Starts callers that send each request to a random address.
    pub fn start(addresses: &[SocketAddr], callers: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let spawn = |seed| {
            let (stop, addresses) = (Arc::clone(&stop), addresses.to_vec());
            std::thread::spawn(move || call_until(&stop, &addresses, seed))
        };
        let callers = (0..callers).map(spawn).collect();
        Self { stop, callers }
    }

    /// Stops the callers and returns their requests.
    pub fn finish(self) -> Vec<RequestLog> {
        self.stop.store(true, Ordering::SeqCst);
        self.callers
            .into_iter()
            .flat_map(|c| c.join().expect("a caller's thread"))
            .collect()
    }
}

fn call_until(stop: &AtomicBool, addresses: &[SocketAddr], seed: u64) -> Vec<RequestLog> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let path = format!("/offers/customer-{}", rng.random_range(0..KEYS));
        let id = Uuid::now_v7().to_string();
        let mut request_log = RequestLog {
            id,
            path,
            outcomes: Vec::new(),
            answer: None,
        };
        for _ in 0..ATTEMPTS_MAX {
            let address = addresses[rng.random_range(0..addresses.len())];
            let request = Request::post(&request_log.path)
                .header("idempotency-key", &request_log.id)
                .header("trefoil-timeout-ms", "1500")
                .body(Bytes::from(request_log.id.clone()))
                .expect("a request");
            // Without an answer, for example of a killed or suspended host, the outcome is unknown.
            let answer = send(address, request);
            let outcome = answer
                .as_ref()
                .map_or("unknown", |a| a.outcome.as_str())
                .to_owned();
            let known = outcome != "unknown" && !outcome.is_empty();
            request_log.outcomes.push(outcome);
            request_log.answer = answer;
            if known {
                break;
            }
        }
        requests.push(request_log);
        std::thread::sleep(Duration::from_millis(rng.random_range(1..6)));
    }
    requests
}

/// An execution of a request at an upstream.
#[derive(Debug, Clone)]
struct Run {
    upstream: String,
    began: u64,
    ended: u64,
}

/// Compares the reported outcomes with the executed requests. Returns the violations, and the
/// number of requests by their last outcome.
pub fn check(
    requests: &[RequestLog],
    runs: &BTreeMap<String, Vec<Value>>,
    lost: bool,
) -> (Vec<String>, BTreeMap<String, usize>) {
    let mut by_id = BTreeMap::<&str, usize>::new();
    let mut by_path = BTreeMap::<&str, Vec<Run>>::new();
    for (upstream, list) in runs {
        for run in list {
            let path = run["path"].as_str().unwrap_or_default();
            let number = |name: &str| run[name].as_u64().unwrap_or_default();
            let upstream = upstream.clone();
            let run_at = Run {
                upstream,
                began: number("began"),
                ended: number("ended"),
            };
            by_path.entry(path).or_default().push(run_at);
            if let Some(id) = run["id"].as_str() {
                *by_id.entry(id).or_default() += 1;
            }
        }
    }
    let mut violations = Vec::new();
    let mut counts = BTreeMap::<String, usize>::new();
    for request_log in requests {
        let ran = by_id.get(request_log.id.as_str()).copied().unwrap_or(0);
        let last_outcome = request_log.outcomes.last().cloned().unwrap_or_default();
        *counts.entry(last_outcome.clone()).or_default() += 1;
        violations.extend(find_violations(request_log, ran, &last_outcome, lost));
    }
    for (path, runs) in &mut by_path {
        violations.extend(overlaps(path, runs));
    }
    (violations, counts)
}

/// Returns the violations of one request. `lost` is true if an upstream was killed, so that its
/// runs are unknown.
fn find_violations(request_log: &RequestLog, ran: usize, outcome: &str, lost: bool) -> Vec<String> {
    let mut violations = Vec::new();
    let mut report = |what: &str| {
        violations.push(format!(
            "{} {}: {what}, ran {ran} times, reported {:?}",
            request_log.path, request_log.id, request_log.outcomes
        ));
    };
    match outcome {
        _ if ran > 1 => report("a request ran more than once"),
        "not-run" if ran > 0 => report("a request ran that was reported as not run"),
        "done" if ran != 1 && !lost => report("a request did not run that was reported as done"),
        "" => report("an answer had no outcome"),
        _ => {}
    }
    let repeated = request_log
        .answer
        .as_ref()
        .is_some_and(|a| a.headers.contains_key("trefoil-repeat"));
    if let Some(answer) = request_log
        .answer
        .as_ref()
        .filter(|_| outcome == "done" && !repeated)
        && (answer.field("path") != request_log.path.as_str()
            || answer.field("received") != request_log.id.len())
    {
        report("the answer belongs to another request");
    }
    violations
}

/// Returns overlaps in time between runs of one key at different upstreams, which must not occur.
fn overlaps(path: &str, runs: &mut [Run]) -> Vec<String> {
    runs.sort_by_key(|r| (r.ended, r.began));
    let pairs = runs
        .windows(2)
        .filter(|pair| pair[0].upstream != pair[1].upstream && pair[1].began < pair[0].ended);
    pairs
        .map(|pair| format!("{path}: runs at two upstreams overlap: {pair:?}"))
        .collect()
}
