//! `trefoild serve`: runs an entry host on the users' platform until a signal stops it.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use clap::{Arg, ArgMatches, Command, value_parser};
use futures_lite::StreamExt;
use trefoil_config::{BoundSettings, ServeSettings};
use trefoil_core::{Bytes, QueueClock};
use trefoil_daemon::logging;
use trefoil_gateway::{
    Bounds, Host, HostConfig, LostLines, Memory, Metrics, ProcessLimits, Telemetry, WarmupBound,
    serve,
};
use trefoil_platform::{StoreClient, UsersPlatform};
use trefoil_reactor::block_on;

use crate::settings;

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    let file = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .env("TREFOILCART_NODE_FILE")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("Settings in YAML");
    Command::new("serve")
        .about("Runs an entry host that sends requests directly to the upstreams")
        .arg(file)
}

/// Bytes of a megabyte.
const BYTES_PER_MB: f64 = 1_000_000.0;

/// Runs the subcommand.
pub fn execute(matches: &ArgMatches) -> Result<ExitCode, Box<dyn Error>> {
    let path = matches.get_one::<PathBuf>("settings").cloned();
    let path = path.unwrap_or_default();
    // Before anything else: a signal that arrives earlier ends the process.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let settings = load(&path)?;
    let level = settings::slog_level(settings.log_level);
    let (log, _flush, lost_lines) = logging::stdout(level, settings.log_lines);
    let metrics = Metrics::new(LostLines {
        limited: lost_lines.limited,
        dropped: lost_lines.dropped,
    });
    let clock = QueueClock::default();
    let platform = Rc::new(UsersPlatform::new());
    let address = settings.store;
    let config = host_config(settings);
    let memory = Memory::new(config.limits.memory);
    let store = StoreClient::with_memory(address, Arc::new(clock.clone()), memory.calls());
    let host = Host::new(
        config,
        memory,
        Arc::new(clock.clone()),
        Telemetry { log, metrics },
        platform,
        Arc::new(store),
    );
    let executor = Rc::clone(&host.executor);
    let serving = async {
        let stop = wait_for_stop(Rc::clone(&host), path, signals);
        serve(host, stop).await?;
        Ok(ExitCode::SUCCESS)
    };
    // As a task of its own it is polled only when it is woken, not with every other task.
    let serving = executor.spawn(serving);
    block_on(&clock, executor.run(serving))?
}

/// Reloads the settings on SIGHUP, and returns on SIGTERM or SIGINT.
async fn wait_for_stop(host: Rc<Host>, path: PathBuf, mut signals: Signals) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(&host, &path),
            _ => return,
        }
    }
}

fn reload(host: &Host, path: &Path) {
    match load(path) {
        Ok(settings) => host.reload(&host_config(settings)),
        // The current settings remain in force.
        Err(reason) => host.log_reload_failed(&reason),
    }
}

fn load(path: &Path) -> Result<ServeSettings, Box<dyn Error>> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let settings = ServeSettings::from_yaml(&text, &path.display().to_string());
    Ok(settings?)
}

fn host_config(settings: ServeSettings) -> HostConfig {
    let limits = to_limits(&settings);
    HostConfig {
        name: settings.name,
        domain: settings.domain,
        cores: settings.cores,
        caller: settings.caller,
        ready: settings.ready,
        peer: settings.peer,
        operator: settings.operator,
        limits,
        bounds: to_bounds(&settings.bounds),
    }
}

fn to_limits(settings: &ServeSettings) -> ProcessLimits {
    let mut limits = ProcessLimits::default();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the settings limit the values to positive ranges"
    )]
    {
        if let Some(memory) = settings.memory_mb {
            limits.memory = Bytes((memory * BYTES_PER_MB) as u64);
        }
        if let Some(descriptors) = settings.descriptors {
            limits.descriptors = descriptors as u32;
        }
    }
    limits
}

fn to_bounds(settings: &BoundSettings) -> Bounds {
    let defaults = Bounds::default();
    let or_default = |value: Option<f64>, unit: f64, default: Duration| {
        let duration = value.map(|v| Duration::try_from_secs_f64(v * unit));
        duration.and_then(Result::ok).unwrap_or(default)
    };
    Bounds {
        drain: or_default(settings.drain_ms, 0.001, defaults.drain),
        config_apply: or_default(settings.config_apply_ms, 0.001, defaults.config_apply),
        grace: or_default(settings.grace_s, 1.0, defaults.grace),
        retry_ratio: settings.repeat_ratio.unwrap_or(defaults.retry_ratio),
        retry_fixed: settings.repeat_fixed.unwrap_or(defaults.retry_fixed),
        retry_window: or_default(settings.repeat_window_s, 1.0, defaults.retry_window),
        ttl_max: or_default(settings.hold_max_ms, 0.001, defaults.ttl_max),
        evacuate: settings
            .evacuate_ms
            .and_then(|ms| Duration::try_from_secs_f64(ms * 0.001).ok()),
        warmup: settings.warmup_overage.map(|overage| WarmupBound {
            overage,
            slack: settings.warmup_slack.unwrap_or_default(),
        }),
    }
}
