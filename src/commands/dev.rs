//! `trefoild dev`: runs a router, an in-memory log and sample upstreams in one process.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use clap::Command;
use futures_lite::StreamExt;
use slog::{Level, Logger};
use smol::net::TcpListener;
use trefoil_config::Routing;
use trefoil_core::{Clock, Revision, SystemClock, UpstreamName, WriterId};
use trefoil_daemon::{Node, NodeConfig, logging};
use trefoil_dev::SampleUpstream;
use trefoil_http::{Limits, Server};
use trefoil_log::{
    Addresses, Body, Envelope, FORMAT, Keyring, MemoryLog, Role, SignedRecord, Signer, Verdict,
};
use trefoil_wire::Authority;

/// Number of records that the in-memory log retains.
const RECORDS_RETAINED: usize = 100_000;

/// Maximum concurrent requests of a sample upstream.
const SLOTS: u32 = 4;

/// Time in which a sample upstream processes a request.
const SERVICE_TIME: Duration = Duration::from_millis(2);

/// Validity of the self-issued authority and host certificate.
const CERTIFICATE_VALIDITY: Duration = Duration::from_hours(720);

/// Timeout of publishing the sample resource.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("dev")
        .about("Runs a router with an in-memory platform and sample upstreams")
        .after_help("Callers use 127.0.0.1:8080; operators, metrics and health 127.0.0.1:9090.")
}

/// Runs the subcommand.
pub fn execute() -> Result<ExitCode, Box<dyn Error>> {
    smol::block_on(async {
        let mut signals = Signals::new([Signal::Term, Signal::Int])?;
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let operator = Signer::from_pkcs8(&Signer::generate()?)?;
        let (logger, _flush) = logging::stderr(Level::Info);
        let node = start_node(&clock, &operator, logger).await?;
        let mut servers = Vec::new();
        let mut upstreams = Vec::new();
        for name in ["offers-1", "offers-2", "offers-3"] {
            let (server, address) = start_upstream(name.parse()?, &clock).await?;
            servers.push(server);
            upstreams.push(format!(
                "        - {{ name: {name}, address: \"{address}\", domain: local }}\n"
            ));
        }
        publish(
            &node,
            &operator,
            &clock,
            &resource_yaml(&upstreams.concat()),
        )
        .await?;
        println!("Ready. Try:");
        println!("  curl -i http://127.0.0.1:8080/offers/customer-17");
        println!("  cargo run --locked --bin trefoilctl -- status");
        signals.next().await;
        node.drain().await;
        Ok(ExitCode::SUCCESS)
    })
}

async fn start_node(
    clock: &Arc<dyn Clock>,
    operator: &Signer,
    logger: Logger,
) -> Result<Node, Box<dyn Error>> {
    let name = "dev".parse()?;
    let authority = Authority::create("trefoil-dev", clock.unix(), CERTIFICATE_VALIDITY)?;
    let identity = authority.issue_identity(&name, clock.unix(), CERTIFICATE_VALIDITY)?;
    let signer = Signer::from_pkcs8(&Signer::generate()?)?;
    let mut keys = Keyring::default();
    keys.add(operator.key(), Role::Operator);
    keys.add(signer.key(), Role::Host);
    let addresses = Addresses {
        caller: SocketAddr::from(([127, 0, 0, 1], 8080)),
        operator: SocketAddr::from(([127, 0, 0, 1], 9090)),
        peer: SocketAddr::from(([127, 0, 0, 1], 0)),
    };
    let log = Arc::new(MemoryLog::new(Arc::clone(clock), RECORDS_RETAINED));
    let (region, domain) = ("dev".parse()?, "local".parse()?);
    let config = NodeConfig::new(name, region, domain, identity, signer, log)
        .addresses(addresses)
        .keys(keys)
        .logger(logger);
    Ok(Node::start(config).await?)
}

async fn start_upstream(
    name: UpstreamName,
    clock: &Arc<dyn Clock>,
) -> Result<(Server, SocketAddr), Box<dyn Error>> {
    let upstream = SampleUpstream::new(name, SLOTS, true, SERVICE_TIME, Arc::clone(clock));
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((
        Server::serve(listener, Limits::default(), Arc::new(upstream)),
        address,
    ))
}

fn resource_yaml(upstreams: &str) -> String {
    format!(
        "kind: Routing
name: dev
spec:
  region: dev
  domains: [local]
  services:
    - name: offers
      key: {{ path: 1 }}
      methods: {{ idempotent: [GET, HEAD], non-idempotent: [POST, PUT, DELETE] }}
      fenced: true
      limits: {{ slots: {SLOTS}, connections: 130 }}
      deadlines: {{ default: 5000, max: 30000 }}
      upstreams:
{upstreams}"
    )
}

async fn publish(
    node: &Node,
    operator: &Signer,
    clock: &Arc<dyn Clock>,
    yaml: &str,
) -> Result<(), Box<dyn Error>> {
    let routing = Routing::from_yaml(yaml, "sample resource").map_err(|e| e.to_string())?;
    let envelope = Envelope {
        format: FORMAT,
        writer: WriterId::random(),
        sequence: 1,
        base: Revision(0),
        time: clock.unix(),
        body: Body::Config(Box::new(routing)),
    };
    let record = SignedRecord::new(&envelope, operator)?.encode()?;
    let deadline = clock.now().after(APPLY_TIMEOUT);
    match node.shared().submit(record, deadline).await? {
        Verdict::Accepted { .. } => Ok(()),
        verdict => Err(format!("the sample resource was not accepted: {verdict:?}").into()),
    }
}
