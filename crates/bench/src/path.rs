//! The path of a request from a caller to an upstream, compared with a direct call to the upstream.
//!
//! All components run in this process, so with `SMOL_THREADS=1` they share one core, and the
//! difference of the processor times for two paths is the cost of the router for a request. The
//! three paths are measured in turns, and only ratios within one round are compared:
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
use trefoil_log::{Body, Envelope, FORMAT, Keyring, Log, MemoryLog, Role, SignedRecord, Signer};
use trefoil_wire::Authority;

use crate::Error;

/// Duration of the measurement of one path in one round.
const RUN_TIME: Duration = Duration::from_millis(1_200);

/// Number of rounds.
const ROUNDS: usize = 5;

/// Number of requests on each connection before the first measured one.
const WARM_UP: usize = 300;

/// Time limit for the routes to be in force.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(15);

/// Validity period of the certificates.
const VALID: Duration = Duration::from_hours(1);

/// Number of requests that an upstream executes concurrently.
const SLOTS: u32 = 64;

struct Target {
    name: &'static str,
    address: SocketAddr,
}

/// Measures and prints the three paths.
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
        // Direct calls have neither token nor grant, so they go to an upstream that checks neither.
        let plain = SampleUpstream::new(name, SLOTS, false, Duration::ZERO, Arc::clone(&clock));
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let direct = listener.local_addr()?;
        let _plain = Server::serve(listener, Limits::default(), Arc::new(plain));
        let nodes = start_nodes(&clock, address).await?;
        let (near, far) = find_addresses(&nodes).await?;
        let targets = [("direct", direct), ("near", near), ("far", far)]
            .map(|(name, address)| Target { name, address });
        for concurrency in [1, 32] {
            measure(&targets, concurrency).await?;
        }
        Ok(())
    })
}

async fn start_nodes(clock: &Arc<dyn Clock>, upstream: SocketAddr) -> Result<Vec<Node>, Error> {
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
        let identity = authority.issue_identity(&name.parse()?, clock.unix(), VALID)?;
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
    let record = SignedRecord::new(&envelope, &operator)?.encode()?;
    let until = clock.now().after(STARTUP_TIMEOUT);
    nodes[0].shared().submit(record, until).await?;
    Ok(nodes)
}

/// Waits until both hosts serve. Returns the caller addresses of the dispatching host and of the
/// other host.
async fn find_addresses(nodes: &[Node]) -> Result<(SocketAddr, SocketAddr), Error> {
    let start = Instant::now();
    let name: UpstreamName = "offers-1".parse()?;
    while start.elapsed() < STARTUP_TIMEOUT {
        Timer::after(Duration::from_millis(100)).await;
        let view = nodes[0].shared().view();
        let first = view.records.assignment(&name).and_then(|a| a.hosts.first());
        let is_dispatcher = |n: &&Node| Some(&n.shared().host.id) == first;
        let near = nodes.iter().find(is_dispatcher);
        let far = nodes.iter().find(|n| !is_dispatcher(n));
        let (Some(near), Some(far)) = (near, far) else {
            continue;
        };
        let addresses = (near.addresses().caller, far.addresses().caller);
        if is_serving(addresses.0).await && is_serving(addresses.1).await {
            return Ok(addresses);
        }
    }
    Err("both hosts must serve within the startup timeout, but at least one does not".into())
}

async fn is_serving(address: SocketAddr) -> bool {
    match Connection::open(address, STARTUP_TIMEOUT).await {
        Ok(mut connection) => send_request(&mut connection, 0).await.is_ok(),
        Err(_) => false,
    }
}

async fn send_request(connection: &mut Connection, i: usize) -> Result<(), Error> {
    let path = format!("/offers/customer-{}", i % 64);
    let request = Request::get(path).header("host", "bench").body(full(""))?;
    let answer = connection.send(request).await?;
    let status = answer.status();
    answer.into_body().collect().await?;
    connection.ready().await?;
    if !status.is_success() {
        return Err(format!("the answer must have a success status, found {status}").into());
    }
    Ok(())
}

async fn measure(targets: &[Target], concurrency: usize) -> Result<(), Error> {
    println!("{concurrency} at a time: requests/s, p50, p99 in us of {ROUNDS} rounds");
    let mut results = vec![Vec::new(); targets.len()];
    for target in targets {
        run_target(target, concurrency, Duration::ZERO).await?;
    }
    for _ in 0..ROUNDS {
        for (target, results) in targets.iter().zip(&mut results) {
            results.push(run_target(target, concurrency, RUN_TIME).await?);
        }
    }
    for (target, results) in targets.iter().zip(&results) {
        let column = |pick: fn(&(f64, f64, f64)) -> f64| format_spread(results.iter().map(pick));
        println!(
            "  {:<7} {} requests/s, p50 {}, p99 {}",
            target.name,
            column(|r| r.0),
            column(|r| r.1),
            column(|r| r.2)
        );
    }
    for (over, under) in [(1, 0), (2, 0), (2, 1)] {
        let pairs = || results[over].iter().zip(&results[under]);
        println!(
            "  {} over {}: p50 {}, p99 {}, time for each request {}, more by {} us",
            targets[over].name,
            targets[under].name,
            format_spread(pairs().map(|(a, b)| a.1 / b.1)),
            format_spread(pairs().map(|(a, b)| a.2 / b.2)),
            format_spread(pairs().map(|(a, b)| b.0 / a.0)),
            format_spread(pairs().map(|(a, b)| 1e6 / a.0 - 1e6 / b.0)),
        );
    }
    Ok(())
}

/// Formats minimum / median / maximum.
fn format_spread<I>(values: I) -> String
where
    I: Iterator<Item = f64>,
{
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let (first, last) = (values[0], values[values.len() - 1]);
    format!("{first:.2} / {:.2} / {last:.2}", values[values.len() / 2])
}

/// Sends requests to a target on concurrent connections, for `run_time` or, if it is zero, for the
/// warm-up. Returns the requests per second, and p50 and p99 in microseconds.
async fn run_target(
    target: &Target,
    concurrency: usize,
    run_time: Duration,
) -> Result<(f64, f64, f64), Error> {
    let address = target.address;
    let start = Instant::now();
    let worker = move || async move {
        let mut times = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
        let opened = Connection::open(address, STARTUP_TIMEOUT).await;
        let mut connection = opened.map_err(|e| e.to_string())?;
        let mut i = 0;
        while i < WARM_UP && run_time.is_zero() || !run_time.is_zero() && start.elapsed() < run_time
        {
            let begin = Instant::now();
            let answer = send_request(&mut connection, i).await;
            answer.map_err(|e| e.to_string())?;
            times += u64::try_from(begin.elapsed().as_nanos()).unwrap_or(u64::MAX);
            i += 1;
        }
        Ok::<_, String>(times)
    };
    let workers: Vec<_> = (0..concurrency).map(|_| smol::spawn(worker())).collect();
    let mut times = Histogram::<u64>::new(3)?;
    for worker in workers {
        times += worker.await?;
    }
    let rate = times.len() as f64 / start.elapsed().as_secs_f64();
    let micros = |q| times.value_at_quantile(q) as f64 / 1e3;
    Ok((rate, micros(0.5), micros(0.99)))
}
