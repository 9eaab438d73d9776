//! `trefoild run`: runs an entry host until a signal, the end of its lease, or a log record that
//! this build cannot replay.

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

/// Number of snapshot intervals in the log's retention time. With 4, two complete snapshots are
/// always retained.
const SNAPSHOTS_PER_RETENTION: u32 = 4;

/// Reason for which the process stops.
enum StopReason {
    /// SIGTERM or SIGINT was received.
    Signal,
    /// The lease of this incarnation has ended.
    LeaseEnded,
    /// The log contains a record that this build cannot replay.
    NewerRecord,
}

/// Exit code after the lease has ended (`EX_TEMPFAIL`): a new process can take over at once.
const EXIT_LEASE_ENDED: u8 = 75;

const EXAMPLES: &str = "Examples:
  trefoild run --settings trefoild.yaml
  trefoild run --settings trefoild.yaml --name entry-02 --domain b
  TREFOIL_LOG_LEVEL=debug trefoild run --settings trefoild.yaml --trace spans.jsonl";

/// Returns the definition of the subcommand.
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
    let settings::LoadedSettings {
        settings,
        identity,
        signer,
        keys,
    } = loaded;
    let (logger, _flush) = logging::stderr(settings::slog_level(settings.log_level));
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
        interval: Duration::from_secs(settings.snapshots.retention.into())
            / SNAPSHOTS_PER_RETENTION,
    })
    .tracing(tracing)
    .watchdog()
    .logger(logger);
    smol::block_on(async {
        let mut signals = Signals::new([Signal::Term, Signal::Int])?;
        // Without the log and without seeds, the start waits until the log is available again. A
        // signal must be able to interrupt it.
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
            StopReason::Signal
        };
        let ended = async {
            node.wait_lease_ended().await;
            StopReason::LeaseEnded
        };
        let stopped = async {
            node.wait_replay_stopped().await;
            StopReason::NewerRecord
        };
        match signal.or(ended).or(stopped).await {
            StopReason::Signal => {
                node.drain().await;
                Ok(ExitCode::SUCCESS)
            }
            StopReason::LeaseEnded => {
                node.retire().await;
                eprintln!("the lease of this incarnation has ended; start the process again");
                Ok(ExitCode::from(EXIT_LEASE_ENDED))
            }
            StopReason::NewerRecord => {
                node.drain().await;
                Err(Box::from(
                    "the log has a record of a newer version; start a newer build",
                ))
            }
        }
    })
}
