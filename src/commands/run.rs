//! `trefoild run`: runs an entry host until it is told to stop.

use std::error::Error;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use clap::{ArgMatches, Command};
use futures_lite::{FutureExt, StreamExt};
use trefoil_core::SystemClock;
use trefoil_daemon::snapshots::Policy;
use trefoil_daemon::{Node, NodeConfig, Tracing, logging};
use trefoil_log::TopicLog;
use trefoil_platform::StoreClient;

use crate::settings;

/// Snapshots are written so often that this many fit into the log's retention.
const SNAPSHOTS_RETAINED: u32 = 4;

/// Why the process ends.
enum End {
    /// It was told to.
    Signal,
    /// Its lease has ended.
    Lease,
    /// Its build cannot replay a record.
    Newer,
}
/// Exit code after the end of the lease (`EX_TEMPFAIL`): a new process can go on at once.
const LEASE_ENDED: u8 = 75;

const EXAMPLES: &str = "Examples:
  trefoild run --settings trefoild.yaml
  trefoild run --settings trefoild.yaml --name entry-02 --domain b
  TREFOIL_LOG_LEVEL=debug trefoild run --settings trefoild.yaml --trace spans.jsonl";

/// The subcommand.
pub fn command() -> Command {
    Command::new("run")
        .about("Runs an entry host until SIGTERM or SIGINT drains it")
        .after_help(format!("{EXAMPLES}\n\n{}", settings::EXIT_CODES))
        .args(settings::args())
}

/// Runs the subcommand.
pub fn execute(matches: &ArgMatches) -> Result<ExitCode, Box<dyn Error>> {
    let loaded = settings::load(matches)?;
    let (addresses, limits) = (loaded.addresses(), loaded.limits());
    let settings::Loaded {
        settings,
        identity,
        signer,
        keys,
    } = loaded;
    let (logger, _flush) = logging::stderr(settings::level(settings.log_level));
    let tracing = match &settings.trace {
        Some(path) => Tracing::to_file(path, settings.name.as_str())
            .map_err(|e| format!("{}: {e}", path.display()))?,
        None => Tracing::default(),
    };
    let store = StoreClient::new(settings.platform.log, Arc::new(SystemClock));
    let log = Arc::new(TopicLog::new(Arc::new(store)));
    let config = NodeConfig::new(
        settings.name,
        settings.region,
        settings.domain,
        identity,
        signer,
        log,
    )
    .addresses(addresses)
    .keys(keys)
    .limits(limits)
    .seeds(settings.seeds)
    .snapshots(Policy {
        records: settings.snapshots.records.into(),
        interval: Duration::from_secs(settings.snapshots.retention.into()) / SNAPSHOTS_RETAINED,
    })
    .tracing(tracing)
    .watchdog()
    .logger(logger);
    smol::block_on(async {
        let mut signals = Signals::new([Signal::Term, Signal::Int])?;
        // Without the log and without seeds the start takes as long as the outage.
        let started = async { Node::start(config).await.map(Some) };
        let stopped = async {
            signals.next().await;
            Ok(None)
        };
        let Some(node) = started.or(stopped).await? else {
            return Ok(ExitCode::SUCCESS);
        };
        let bound = node.addresses();
        println!(
            "ready caller={} peer={} operator={}",
            bound.caller, bound.peer, bound.operator
        );
        let signal = async {
            signals.next().await;
            End::Signal
        };
        let ended = async {
            node.wait_lease_ended().await;
            End::Lease
        };
        let stopped = async {
            node.wait_replay_stopped().await;
            End::Newer
        };
        match signal.or(ended).or(stopped).await {
            End::Signal => {
                node.drain().await;
                Ok(ExitCode::SUCCESS)
            }
            End::Lease => {
                node.retire().await;
                eprintln!("the lease of this incarnation has ended; start the process again");
                Ok(ExitCode::from(LEASE_ENDED))
            }
            End::Newer => {
                node.drain().await;
                Err(Box::from(
                    "the log has a record of a newer version; start a newer build",
                ))
            }
        }
    })
}
