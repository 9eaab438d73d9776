//! The path of a request from a caller to an upstream, against a direct call to the same upstream.
//!
//! All parts run in this process, so with `SMOL_THREADS=1` they share one core, and the difference
//! of the processor times of two kinds is what the router spends on a request. The three kinds
//! take turns, and only the ratios within one round are compared:
//!
//! - direct: caller - upstream;
//! - near: caller - ingress and dispatcher in one host - upstream;
//! - far: caller - ingress - QUIC - dispatcher - upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::Request;
use http_body_util::BodyExt;
use smol::Timer;
use smol::net::TcpListener;
use trefoil_config::Routing;
use trefoil_core::{Clock, Revision, SystemClock, UpstreamName, WriterId};
use trefoil_daemon::{Node, NodeConfig};
use trefoil_dev::SampleUpstream;
use trefoil_http::{Connection, Limits, Server, full};
use trefoil_log::{Body, Envelope, FORMAT, Keyring, Log, MemoryLog, Role, Signed, Signer};
use trefoil_wire::Authority;

use crate::Error;

/// Time of one kind in one round.
const SPAN: Duration = Duration::from_millis(1_200);

/// Rounds.
const ROUNDS: usize = 5;

/// Requests of each connection before the first measured one.
const WARM_UP: usize = 300;

/// Time in which the routes must be in force.
const SETTLE: Duration = Duration::from_secs(15);

/// Validity of the certificates.
const VALID: Duration = Duration::from_hours(1);

/// Requests that an upstream executes at once.
const SLOTS: u32 = 64;

struct Kind {
    name: &'static str,
    address: SocketAddr,
}

/// Measures and prints the three kinds.
pub fn run() -> Result<(), Error> {
    smol::block_on(async {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let name: UpstreamName = "offers-1".parse()?;
        let upstream = SampleUpstream::new(
            name.clone(),
            SLOTS,
            true,
            Duration::ZERO,
            Arc::clone(&clock),
        );
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let _upstream = Server::serve(listener, Limits::default(), Arc::new(upstream));
        // The direct calls go to an upstream that checks nothing, as no dispatcher sends to it.
        let plain = SampleUpstream::new(name, SLOTS, false, Duration::ZERO, Arc::clone(&clock));
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let direct = listener.local_addr()?;
        let _plain = Server::serve(listener, Limits::default(), Arc::new(plain));
        let nodes = deploy(&clock, address).await?;
        let (near, far) = roles(&nodes).await?;
        let kinds = [("direct", direct), ("near", near), ("far", far)]
            .map(|(name, address)| Kind { name, address });
        for width in [1, 32] {
            measure(&kinds, width).await?;
        }
        Ok(())
    })
}

async fn deploy(clock: &Arc<dyn Clock>, upstream: SocketAddr) -> Result<Vec<Node>, Error> {
    let authority = Authority::create("bench", clock.unix(), VALID)?;
    let log: Arc<dyn Log> = Arc::new(MemoryLog::new(Arc::clone(clock), 100_000));
    let operator = Signer::from_pkcs8(&Signer::generate()?)?;
    let pair = Signer::generate()?;
    let mut nodes = Vec::new();
    for name in ["one", "two"] {
        let signer = Signer::from_pkcs8(&pair)?;
        let mut keys = Keyring::default();
        keys.add(operator.key(), Role::Operator);
        keys.add(signer.key(), Role::Host);
        let identity = authority.identity(&name.parse()?, clock.unix(), VALID)?;
        let config = NodeConfig::new(
            name.parse()?,
            "bench".parse()?,
            "local".parse()?,
            identity,
            signer,
            Arc::clone(&log),
        );
        nodes.push(Node::start(config.keys(keys)).await?);
    }
    let text = format!(
        "kind: Routing
name: bench
spec:
  region: bench
  domains: [local]
  services:
    - name: offers
      key: {{ path: 1 }}
      methods: {{ idempotent: [GET, HEAD], non-idempotent: [POST, PUT, DELETE] }}
      fenced: true
      limits: {{ slots: {SLOTS}, connections: 130 }}
      deadlines: {{ default: 5000, max: 30000 }}
      upstreams:
        - {{ name: offers-1, address: \"{upstream}\", domain: local }}
"
    );
    let routing = Routing::from_yaml(&text, "bench").map_err(|e| e.to_string())?;
    let envelope = Envelope {
        format: FORMAT,
        writer: WriterId::random(),
        sequence: 1,
        base: Revision(0),
        time: clock.unix(),
        body: Body::Config(Box::new(routing)),
    };
    let record = Signed::new(&envelope, &operator)?.encode()?;
    let until = clock.now().after(SETTLE);
    nodes[0].shared().submit(record, until).await?;
    Ok(nodes)
}

/// The callers' ports of the host that dispatches and of the other one, once both serve.
async fn roles(nodes: &[Node]) -> Result<(SocketAddr, SocketAddr), Error> {
    let start = Instant::now();
    let name: UpstreamName = "offers-1".parse()?;
    while start.elapsed() < SETTLE {
        Timer::after(Duration::from_millis(100)).await;
        let view = nodes[0].shared().view();
        let first = view.records.assignment(&name).and_then(|a| a.hosts.first());
        let own = |n: &&Node| Some(&n.shared().host.id) == first;
        let near = nodes.iter().find(own);
        let far = nodes.iter().find(|n| !own(n));
        let (Some(near), Some(far)) = (near, far) else {
            continue;
        };
        let addresses = (near.addresses().caller, far.addresses().caller);
        if serves(addresses.0).await && serves(addresses.1).await {
            return Ok(addresses);
        }
    }
    Err("the hosts do not serve".into())
}

async fn serves(address: SocketAddr) -> bool {
    match Connection::open(address, SETTLE).await {
        Ok(mut connection) => ask(&mut connection, 0).await.is_ok(),
        Err(_) => false,
    }
}

async fn ask(connection: &mut Connection, i: usize) -> Result<(), Error> {
    let path = format!("/offers/customer-{}", i % 64);
    let request = Request::get(path).header("host", "bench").body(full(""))?;
    let answer = connection.send(request).await?;
    let status = answer.status();
    answer.into_body().collect().await?;
    connection.ready().await?;
    if !status.is_success() {
        return Err(format!("status {status}").into());
    }
    Ok(())
}

async fn measure(kinds: &[Kind], width: usize) -> Result<(), Error> {
    println!("{width} at a time: requests/s, p50, p99 in us of {ROUNDS} rounds");
    let mut results = vec![Vec::new(); kinds.len()];
    for kind in kinds {
        one(kind, width, Duration::ZERO).await?;
    }
    for _ in 0..ROUNDS {
        for (kind, results) in kinds.iter().zip(&mut results) {
            results.push(one(kind, width, SPAN).await?);
        }
    }
    for (kind, results) in kinds.iter().zip(&results) {
        let column = |pick: fn(&(f64, f64, f64)) -> f64| spread(results.iter().map(pick));
        println!(
            "  {:<7} {} requests/s, p50 {}, p99 {}",
            kind.name,
            column(|r| r.0),
            column(|r| r.1),
            column(|r| r.2)
        );
    }
    for (over, under) in [(1, 0), (2, 0), (2, 1)] {
        let pairs = || results[over].iter().zip(&results[under]);
        println!(
            "  {} over {}: p50 {}, p99 {}, time for each request {}, more by {} us",
            kinds[over].name,
            kinds[under].name,
            spread(pairs().map(|(a, b)| a.1 / b.1)),
            spread(pairs().map(|(a, b)| a.2 / b.2)),
            spread(pairs().map(|(a, b)| b.0 / a.0)),
            spread(pairs().map(|(a, b)| 1e6 / a.0 - 1e6 / b.0)),
        );
    }
    Ok(())
}

/// Least / median / greatest.
fn spread<I>(values: I) -> String
where
    I: Iterator<Item = f64>,
{
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let (first, last) = (values[0], values[values.len() - 1]);
    format!("{first:.2} / {:.2} / {last:.2}", values[values.len() / 2])
}

/// Requests a second, and p50 and p99 in microseconds.
async fn one(kind: &Kind, width: usize, span: Duration) -> Result<(f64, f64, f64), Error> {
    let address = kind.address;
    let start = Instant::now();
    let worker = move || async move {
        let mut times = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
        let opened = Connection::open(address, SETTLE).await;
        let mut connection = opened.map_err(|e| e.to_string())?;
        let mut i = 0;
        while i < WARM_UP && span.is_zero() || !span.is_zero() && start.elapsed() < span {
            let begin = Instant::now();
            let answer = ask(&mut connection, i).await;
            answer.map_err(|e| e.to_string())?;
            times += u64::try_from(begin.elapsed().as_nanos()).unwrap_or(u64::MAX);
            i += 1;
        }
        Ok::<_, String>(times)
    };
    let workers: Vec<_> = (0..width).map(|_| smol::spawn(worker())).collect();
    let mut times = Histogram::<u64>::new(3)?;
    for worker in workers {
        times += worker.await?;
    }
    let rate = times.len() as f64 / start.elapsed().as_secs_f64();
    let micros = |q| times.value_at_quantile(q) as f64 / 1e3;
    Ok((rate, micros(0.5), micros(0.99)))
}
