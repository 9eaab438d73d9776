//! Test doubles as processes: the platform's store with fault injection, and a sample upstream.
//!
//! `trefoil-standin platform --listen ADDR` serves the store, and
//! `trefoil-standin upstream --listen ADDR --name NAME` serves a sample upstream. Each prints
//! `listening ADDR` once it accepts connections. A `POST /-/fault` to the store with a
//! [`StoreFault`](trefoil_standin::StoreFault) as JSON replaces the current fault.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use trefoil_core::{SystemClock, UpstreamName};
use trefoil_dev::SampleUpstream;
use trefoil_http::{Limits, Server, Service};
use trefoil_standin::{FaultControl, FaultyStore, StoreServer};
use trefoil_store::MemoryStore;

/// Default of `--retain`, the number of records that a partition of the store keeps.
const RETAINED_RECORDS: &str = "100000";

fn command() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0");
    let number = |name: &'static str, value: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u32))
            .default_value(value)
    };
    Command::new("trefoil-standin")
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .arg(listen.clone())
                .arg(number("retain", RETAINED_RECORDS)),
        )
        .subcommand(
            Command::new("upstream")
                .arg(listen)
                .arg(
                    Arg::new("name")
                        .long("name")
                        .value_parser(value_parser!(UpstreamName))
                        .required(true),
                )
                .arg(number("slots", "4"))
                .arg(number("work-ms", "1"))
                .arg(Arg::new("fenced").long("fenced").action(ArgAction::SetTrue)),
        )
}

fn platform_service(matches: &ArgMatches) -> Arc<dyn Service> {
    let clock = Arc::new(SystemClock);
    let retain = matches.get_one::<u32>("retain").copied();
    let retain = retain.and_then(|n| usize::try_from(n).ok());
    let store = MemoryStore::new(Arc::<SystemClock>::clone(&clock));
    let store = store.retaining(retain.unwrap_or(1));
    let store = Arc::new(FaultyStore::new(Arc::new(store), clock));
    let server = Arc::new(StoreServer::new(Arc::<FaultyStore>::clone(&store)));
    Arc::new(FaultControl::new(store, server))
}

fn upstream_service(matches: &ArgMatches) -> Option<Arc<dyn Service>> {
    let name = matches.get_one::<UpstreamName>("name")?.clone();
    let number = |name| matches.get_one::<u32>(name).copied().unwrap_or(1);
    let service_time = Duration::from_millis(number("work-ms").into());
    let fenced = matches.get_flag("fenced");
    let clock = Arc::new(SystemClock);
    Some(Arc::new(SampleUpstream::new(
        name,
        number("slots"),
        fenced,
        service_time,
        clock,
    )))
}

fn main() -> std::io::Result<()> {
    let matches = command().get_matches();
    let (service, matches) = match matches.subcommand() {
        Some(("platform", matches)) => (Some(platform_service(matches)), matches),
        Some((_, matches)) => (upstream_service(matches), matches),
        None => return Ok(()),
    };
    let address = matches.get_one::<SocketAddr>("listen").copied();
    let (Some(address), Some(service)) = (address, service) else {
        return Ok(());
    };
    smol::block_on(async {
        let listener = smol::net::TcpListener::bind(address).await?;
        println!("listening {}", listener.local_addr()?);
        let _server = Server::serve(listener, Limits::default(), service);
        std::future::pending::<std::io::Result<()>>().await
    })
}
