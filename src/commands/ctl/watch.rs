//! `trefoilctl watch`: prints changes of resources when they are accepted and when they come into
//! force.
//!
//! The daemon's `GET /v1/watch` streams every accepted change. After an interruption, the command
//! opens a new stream from the last position and filters out lines that it has printed, so that no
//! change is missed or printed twice. If the daemon no longer has all changes since that position,
//! the command ends with the daemon's error message.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;
use snafu::ResultExt;
use trefoil_core::{Clock, DomainName, ResourceName, Revision, SystemClock};
use trefoil_daemon::operator::watch::{KEEP_ALIVE, Line};

use super::client::{Client, format_time};
use super::error::MalformedResponseSnafu;
use super::{CommandError, Context, ExitStatus};

/// Time before an interrupted stream is opened again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Number of consecutive failed attempts after which the command ends. It leaves a daemon enough
/// time to restart.
const FAILURES_MAX: u32 = 10;

/// Maximum size of a line, in bytes. A line lists failure domains, of which there are at most 64.
const LINE_SIZE_MAX: usize = 64 * 1024;

const EXAMPLES: &str = "Examples:
  trefoilctl watch
  trefoilctl watch --from 120 --output json
  trefoilctl watch --count 1

Without --from, the resources in force are printed first. With --output json, every line is one
JSON document.";

pub(super) fn command() -> Command {
    Command::new("watch")
        .about("Print changes of resources as they are accepted and come into force")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("from")
                .long("from")
                .value_name("REVISION")
                .value_parser(value_parser!(u64))
                .help("Print every change that was accepted after this revision"),
        )
        .arg(
            Arg::new("count")
                .long("count")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..))
                .help("End after this many accepted changes"),
        )
}

/// A line in the output format of the command.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct PrintedLine(Line);

impl fmt::Display for PrintedLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Line::Accepted {
                revision,
                name,
                accepted,
            } => write!(
                f,
                "revision {revision}: {name}, accepted {}",
                format_time(*accepted)
            ),
            Line::InForce {
                revision,
                name,
                domains,
                everywhere,
            } => {
                let names: Vec<_> = domains.iter().map(DomainName::as_str).collect();
                let names = names.join(", ");
                write!(f, "revision {revision}: {name}, in force in {names}")?;
                if *everywhere {
                    f.write_str(", now everywhere")?;
                }
                Ok(())
            }
        }
    }
}

/// Tracks the lines that were printed, to resume an interrupted stream.
#[derive(Debug, Default)]
struct Progress {
    /// Revision given by `--from`.
    from: Option<Revision>,
    /// Newest accepted revision that was printed.
    last: Revision,
    /// For each resource that is not in force everywhere: its newest revision, and the failure
    /// domains that were already printed for it.
    pending: BTreeMap<ResourceName, (Revision, BTreeSet<DomainName>)>,
}

impl Progress {
    /// Returns the revision from which a new stream starts: the one before the oldest change that
    /// is not in force everywhere.
    fn resume_from(&self) -> Option<Revision> {
        match self.pending.values().map(|(revision, _)| revision).min() {
            Some(oldest) => Some(Revision(oldest.0.saturating_sub(1))),
            None if self.last > Revision(0) => Some(self.last),
            None => self.from,
        }
    }

    /// Records a line. Returns the part of it that was not printed before, if any.
    fn record(&mut self, line: Line) -> Option<Line> {
        match line {
            Line::Accepted { revision, .. } if revision <= self.last => None,
            Line::Accepted {
                revision, ref name, ..
            } => {
                self.last = revision;
                let pending = (revision, BTreeSet::new());
                self.pending.insert(name.clone(), pending);
                Some(line)
            }
            Line::InForce {
                revision,
                name,
                mut domains,
                everywhere,
            } => {
                let (newest, printed) = self.pending.get_mut(&name)?;
                if *newest != revision {
                    return None;
                }
                domains.retain(|d| printed.insert(d.clone()));
                if everywhere {
                    self.pending.remove(&name);
                }
                (!domains.is_empty()).then_some(Line::InForce {
                    revision,
                    name,
                    domains,
                    everywhere,
                })
            }
        }
    }
}

pub(super) fn run(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CommandError> {
    let client = Client::new(context.server);
    let from = matches.get_one::<u64>("from").copied().map(Revision);
    let mut remaining = matches.get_one::<u64>("count").copied();
    let mut progress = Progress {
        from,
        last: from.unwrap_or_default(),
        ..Progress::default()
    };
    let mut failures = 0;
    let mut connected = false;
    loop {
        let result = smol::block_on(async {
            let path = match progress.resume_from() {
                Some(from) => format!("/v1/watch?from={from}"),
                None => "/v1/watch".to_owned(),
            };
            let (_connection, body) = client.stream(&path).await?;
            (connected, failures) = (true, 0);
            print_stream(body, &mut progress, &mut remaining, context).await
        });
        match result {
            Ok(true) => return Ok(ExitStatus::Done),
            // The daemon ended the stream, for example because it is draining.
            Ok(false) => {}
            // Without any response so far, there may be no daemon at this address. An error
            // response is final.
            Err(error) if !connected || !matches!(error, CommandError::Unreachable { .. }) => {
                return Err(error);
            }
            Err(error) => {
                failures += 1;
                if failures == FAILURES_MAX {
                    return Err(error);
                }
            }
        }
        smol::block_on(SystemClock.sleep(RETRY_INTERVAL));
    }
}

/// Prints the lines of a stream. Returns true when `remaining` accepted changes were printed, and
/// false if the stream ended before.
async fn print_stream(
    mut body: Incoming,
    progress: &mut Progress,
    remaining: &mut Option<u64>,
    context: &mut Context<'_>,
) -> Result<bool, CommandError> {
    let mut buffer = Vec::new();
    loop {
        let timeout = async {
            SystemClock.sleep(KEEP_ALIVE * 3).await;
            None
        };
        let Some(Ok(frame)) = body.frame().or(timeout).await else {
            return Ok(false);
        };
        buffer.extend(frame.into_data().unwrap_or_default());
        while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let text: Vec<u8> = buffer.drain(..=end).collect();
            if text.len() == 1 {
                continue;
            }
            let path = "/v1/watch";
            let line = serde_json::from_slice(&text).context(MalformedResponseSnafu { path })?;
            let Some(line) = progress.record(line) else {
                continue;
            };
            let accepted = matches!(line, Line::Accepted { .. });
            context.print(&PrintedLine(line))?;
            if accepted {
                *remaining = remaining.map(|n| n - 1);
                if *remaining == Some(0) {
                    return Ok(true);
                }
            }
        }
        if buffer.len() > LINE_SIZE_MAX {
            return Ok(false);
        }
    }
}
