//! Callers that keep their connections open and note what they were told.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::fleet::{Answer, read_answer};

/// Longest wait of a caller for an answer. The routes' time-out is 1.5 s.
const WAIT: Duration = Duration::from_secs(4);

/// Time between two requests of a caller.
const PACE: Duration = Duration::from_millis(8);

/// What a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// It may run more than once.
    Read,
    /// It must not run twice.
    Write,
    /// It may run more than once, at the owner of its key.
    Keyed,
}

/// One request and what its caller was told.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// What it may do.
    pub kind: RequestKind,
    /// Method, path and body.
    pub content: String,
    /// When it was sent.
    pub sent: Instant,
    /// The answer, if there was a whole one.
    pub answer: Option<Answer>,
}

/// Callers of a deployment.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<Call>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts callers; each chooses hosts, kinds and keys by the seed and its number.
    pub fn start(seed: u64, count: u64, hosts: &[SocketAddr]) -> Self {
        let (stop, calls) = (Arc::<AtomicBool>::default(), Arc::default());
        let threads = (0..count).map(|number| {
            let (stop, calls) = (Arc::clone(&stop), Arc::clone(&calls));
            let hosts = hosts.to_vec();
            thread::spawn(move || {
                let random = StdRng::seed_from_u64(seed ^ (number << 32));
                work(random, number, &hosts, &stop, &calls);
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
            // A caller that panics is a fault of the soak; its calls are there all the same.
            assert!(thread.join().is_ok(), "a caller panicked");
        }
        std::mem::take(&mut *self.calls.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

fn work(
    mut random: StdRng,
    caller: u64,
    hosts: &[SocketAddr],
    stop: &AtomicBool,
    calls: &Mutex<Vec<Call>>,
) {
    let mut open: Option<TcpStream> = None;
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(PACE);
        // A caller uses its connection until it is closed, and sometimes opens another one.
        if open.is_none() || random.random_bool(0.02) {
            let host = hosts[random.random_range(0..hosts.len())];
            open = TcpStream::connect_timeout(&host, WAIT).ok();
        }
        let Some(stream) = &mut open else { continue };
        number += 1;
        let (call, request) = request(&mut random, format!("c{caller}-{number}"));
        let answer = exchange(stream, &request);
        let closes = answer.as_ref().is_none_or(|a| {
            let connection = a.header("connection");
            connection.is_some_and(|c| c.eq_ignore_ascii_case("close"))
        });
        if closes {
            open = None;
        }
        let mut calls = calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.push(Call { answer, ..call });
    }
}

fn request(random: &mut StdRng, id: String) -> (Call, String) {
    let kind =
        [RequestKind::Read, RequestKind::Write, RequestKind::Keyed][random.random_range(0..3)];
    let (method, path, body) = match kind {
        RequestKind::Read => ("GET", "/read/x", String::new()),
        RequestKind::Write => ("POST", "/write/x", format!("order {id}")),
        RequestKind::Keyed => ("GET", "/keyed/x", String::new()),
    };
    let key: u16 = random.random();
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

fn exchange(stream: &mut TcpStream, request: &str) -> Option<Answer> {
    stream.set_read_timeout(Some(WAIT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_answer(stream)
}
