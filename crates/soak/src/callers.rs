//! Callers that send requests over persistent connections and record the answers.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::fleet::{Answer, read_answer};

/// Timeout of a connection attempt and of an answer. It exceeds the 1.5 s timeout of the routes, so
/// a host has the time to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause of a caller between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);

/// The kind of a request, which selects its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent: it may run more than once.
    Read,
    /// Not idempotent: it must not run twice.
    Write,
    /// Idempotent, and run by the owner of its key.
    Keyed,
}

/// A request and the answer that its caller received.
#[derive(Debug, Clone)]
pub struct Call {
    /// Request id.
    pub id: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Method, path and body.
    pub content: String,
    /// Time at which it was created, shortly before it was sent.
    pub sent: Instant,
    /// The answer, if a complete one was received.
    pub answer: Option<Answer>,
}

/// Caller threads of a deployment.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<Call>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts `count` callers. Each chooses hosts, kinds and keys with a generator of its own,
    /// seeded by `seed` and the caller's number.
    pub fn start(seed: u64, count: u64, hosts: &[SocketAddr]) -> Self {
        let (stop, calls) = (Arc::<AtomicBool>::default(), Arc::default());
        let threads = (0..count).map(|number| {
            let (stop, calls) = (Arc::clone(&stop), Arc::clone(&calls));
            let hosts = hosts.to_vec();
            thread::spawn(move || {
                let rng = StdRng::seed_from_u64(seed ^ (number << 32));
                run_caller(rng, number, &hosts, &stop, &calls);
            })
        });
        Self {
            threads: threads.collect(),
            stop,
            calls,
        }
    }

    /// Stops the callers and returns all calls.
    pub fn finish(self) -> Vec<Call> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            // A panic of a caller is a fault in the soak itself.
            assert!(thread.join().is_ok(), "a caller panicked");
        }
        std::mem::take(&mut *self.calls.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Sends requests until `stop` is set.
fn run_caller(
    mut rng: StdRng,
    caller: u64,
    hosts: &[SocketAddr],
    stop: &AtomicBool,
    calls: &Mutex<Vec<Call>>,
) {
    let mut connection: Option<TcpStream> = None;
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(REQUEST_INTERVAL);
        // Most requests reuse the connection; it is replaced once closed, and sometimes at random.
        if connection.is_none() || rng.random_bool(0.02) {
            let host = hosts[rng.random_range(0..hosts.len())];
            connection = TcpStream::connect_timeout(&host, ANSWER_TIMEOUT).ok();
        }
        let Some(stream) = &mut connection else {
            continue;
        };
        number += 1;
        let (call, request) = generate_request(&mut rng, format!("c{caller}-{number}"));
        let answer = exchange(stream, &request);
        let must_close = answer.as_ref().is_none_or(|a| {
            let value = a.header("connection");
            value.is_some_and(|c| c.eq_ignore_ascii_case("close"))
        });
        if must_close {
            connection = None;
        }
        let mut calls = calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.push(Call { answer, ..call });
    }
}

/// Returns a random request, as a call without an answer and as the bytes to send.
fn generate_request(rng: &mut StdRng, id: String) -> (Call, String) {
    let kind = [RequestKind::Read, RequestKind::Write, RequestKind::Keyed][rng.random_range(0..3)];
    let (method, path, body) = match kind {
        RequestKind::Read => ("GET", "/read/x", String::new()),
        RequestKind::Write => ("POST", "/write/x", format!("order {id}")),
        RequestKind::Keyed => ("GET", "/keyed/x", String::new()),
    };
    let key: u16 = rng.random();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 1500\r\nX-Shard-Key: {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let call = Call {
        id,
        kind,
        content: format!("{method} {path} {body}"),
        sent: Instant::now(),
        answer: None,
    };
    (call, text)
}

/// Sends a request and reads its answer.
fn exchange(stream: &mut TcpStream, request: &str) -> Option<Answer> {
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_answer(stream)
}
