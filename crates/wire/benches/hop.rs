//! Cost of one hop: a small request on an open connection between two endpoints of this process.
//!
//! Both endpoints run on the threads of one executor. To measure one core, pin the process:
//!
//! ```text
//! SMOL_THREADS=1 taskset -c 2 cargo bench -p trefoil-wire
//! ```
//!
//! Criterion measures sequential requests. Its mean hides the tail of the distribution, so a
//! separate histogram provides percentiles, for one request at a time and for 64 at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use criterion::Criterion;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use trefoil_core::{Clock, KeyHash, Outcome, Revision, SystemClock};
use trefoil_wire::{
    AnswerHead, Authority, Body, BoxFuture, Builder, Endpoint, ForwardHead, Handler, PeerId, Peers,
    QuicPeers, body,
};

/// Duration of one measurement.
const DURATION: Duration = Duration::from_secs(3);

/// Number of requests before the measurements.
const WARM_UP: usize = 2_000;

/// Answers every request with 64 bytes.
#[derive(Debug)]
struct FixedAnswer;

impl Handler for FixedAnswer {
    fn forward(
        self: Arc<Self>,
        _from: PeerId,
        head: ForwardHead,
        _body: Body,
    ) -> BoxFuture<(AnswerHead, Body)> {
        let answer = AnswerHead::Answer {
            status: 200,
            headers: vec![("content-type".to_owned(), b"application/json".to_vec())],
            outcome: Outcome::Done,
            revision: head.revision,
        };
        Box::pin(async { (answer, body::full(Bytes::from_static(&[b'a'; 64]))) })
    }

    fn call(self: Arc<Self>, _from: PeerId, message: Bytes) -> BoxFuture<Bytes> {
        Box::pin(async { message })
    }
}

fn forward_head() -> ForwardHead {
    ForwardHead {
        service: "tilbud".parse().expect("valid name"),
        upstream: "tilbud-1".parse().expect("valid name"),
        key: KeyHash::of(b"key"),
        method: "GET".to_owned(),
        path: "/offers/735999137000000001".to_owned(),
        headers: (0..8)
            .map(|n| (format!("x-header-{n}"), vec![b'v'; 24]))
            .collect(),
        id: None,
        idempotent: true,
        budget: Duration::from_secs(1),
        trace: Some("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01".to_owned()),
        revision: Revision(1),
    }
}

fn open_endpoint(authority: &Authority, name: &str) -> Endpoint {
    let host = name.parse().expect("valid name");
    let now = SystemClock.unix();
    let identity = authority.issue_identity(&host, now, Duration::from_hours(1));
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let builder = Builder::new(identity.expect("identity"));
    builder.open(addr).expect("endpoint on loopback")
}

async fn forward(peers: &QuicPeers, to: SocketAddr) {
    let answer = peers.forward(to, forward_head(), body::empty()).await;
    let (_, body) = answer.expect("answer");
    let body = body.collect().await.expect("whole answer").to_bytes();
    assert_eq!(body.len(), 64);
}

async fn call(peers: &QuicPeers, to: SocketAddr) {
    let message = Bytes::from_static(&[0; 64]);
    let answer = peers.call(to, message).await.expect("answer");
    assert_eq!(answer.len(), 64);
}

/// Sends requests for [`DURATION`], `concurrency` at a time, and prints rate and percentiles.
async fn print_histogram(name: &str, peers: &QuicPeers, to: SocketAddr, concurrency: usize) {
    let start = Instant::now();
    let workers: Vec<_> = (0..concurrency)
        .map(|_| {
            let peers = peers.clone();
            smol::spawn(async move {
                let mut times = Histogram::<u64>::new(3).expect("three digits are in range");
                while start.elapsed() < DURATION {
                    let begin = Instant::now();
                    forward(&peers, to).await;
                    times += u64::try_from(begin.elapsed().as_micros()).unwrap_or(u64::MAX);
                }
                times
            })
        })
        .collect();
    let mut times = Histogram::<u64>::new(3).expect("three digits are in range");
    for worker in workers {
        times += worker.await;
    }
    let rate = times.len() * 1_000 / u64::try_from(start.elapsed().as_millis()).unwrap_or(1);
    println!(
        "{name}: {} requests, {rate}/s, p50 {} us, p99 {} us, p99.9 {} us, max {} us",
        times.len(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.value_at_quantile(0.999),
        times.max(),
    );
}

/// Runs a task on the executor of the endpoints, like a request between hosts, and measures its
/// time.
fn on_executor<F>(task: F) -> Duration
where
    F: Future<Output = ()> + Send + 'static,
{
    let begin = Instant::now();
    smol::block_on(smol::spawn(task));
    begin.elapsed()
}

fn main() {
    let now = SystemClock.unix();
    let authority = Authority::create("bench", now, Duration::from_hours(1)).expect("authority");
    let served = open_endpoint(&authority, "served");
    let _server = served.serve(Arc::new(FixedAnswer));
    let asking = open_endpoint(&authority, "asking");
    let (peers, to) = (asking.peers(), served.local_addr());
    smol::block_on(async {
        for _ in 0..WARM_UP {
            forward(&peers, to).await;
        }
        print_histogram("forward, 1 at a time", &peers, to, 1).await;
        print_histogram("forward, 64 at a time", &peers, to, 64).await;
    });
    let mut criterion = Criterion::default()
        .configure_from_args()
        .measurement_time(DURATION);
    criterion.bench_function("forward", |b| {
        b.iter_custom(|count| {
            let peers = peers.clone();
            on_executor(async move {
                for _ in 0..count {
                    forward(&peers, to).await;
                }
            })
        });
    });
    criterion.bench_function("call", |b| {
        b.iter_custom(|count| {
            let peers = peers.clone();
            on_executor(async move {
                for _ in 0..count {
                    call(&peers, to).await;
                }
            })
        });
    });
    criterion.final_summary();
}
