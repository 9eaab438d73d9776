//! `trefoilctl watch`: prints changes of resources as they are accepted and come into force.
//!
//! The daemon streams every accepted change, see its `GET /v1/watch`. A stream that breaks is
//! opened again where it broke off, so that no change is missed and none is printed twice. If the
//! daemon no longer knows all changes since then, watching ends with its message.

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

use super::client::{Client, time};
use super::error::MalformedResponseSnafu;
use super::{CommandError, Context, ExitStatus};

/// Wait before a broken stream is opened again.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// Failed attempts in a row after which watching ends: a daemon that restarts is waited for.
const FAILURES_MAX: u32 = 10;

/// Longest line in bytes; a line names failure domains, of which there are at most 64.
const LINE_MAX: usize = 64 * 1024;

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

/// A line as it is printed.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct Printed(Line);

impl fmt::Display for Printed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Line::Accepted {
                revision,
                name,
                accepted,
            } => write!(
                f,
                "revision {revision}: {name}, accepted {}",
                time(*accepted)
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

/// What has been printed.
#[derive(Debug, Default)]
struct Progress {
    /// Revision after which the daemon is asked for changes.
    from: Option<Revision>,
    /// Newest accepted revision that was printed.
    last: Revision,
    /// Newest revisions that are not in force everywhere, with the domains that were printed.
    pending: BTreeMap<ResourceName, (Revision, BTreeSet<DomainName>)>,
}

impl Progress {
    /// Where a new stream begins: before the oldest change that is not in force everywhere.
    fn from(&self) -> Option<Revision> {
        match self.pending.values().map(|(revision, _)| revision).min() {
            Some(oldest) => Some(Revision(oldest.0.saturating_sub(1))),
            None if self.last > Revision(0) => Some(self.last),
            None => self.from,
        }
    }

    /// Notes a line. Returns what of it was not printed before.
    fn note(&mut self, line: Line) -> Option<Line> {
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
                let (newest, told) = self.pending.get_mut(&name)?;
                if *newest != revision {
                    return None;
                }
                domains.retain(|d| told.insert(d.clone()));
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
    let mut left = matches.get_one::<u64>("count").copied();
    let mut progress = Progress {
        from,
        last: from.unwrap_or_default(),
        ..Progress::default()
    };
    let mut failures = 0;
    let mut answered = false;
    loop {
        let result = smol::block_on(async {
            let path = match progress.from() {
                Some(from) => format!("/v1/watch?from={from}"),
                None => "/v1/watch".to_owned(),
            };
            let (_connection, body) = client.stream(&path).await?;
            (answered, failures) = (true, 0);
            follow(body, &mut progress, &mut left, context).await
        });
        match result {
            Ok(true) => return Ok(ExitStatus::Done),
            // The daemon ended the stream, for example because it drains.
            Ok(false) => {}
            // The first answer decides whether there is a daemon at all; a refusal is final.
            Err(failure) if !answered || !matches!(failure, CommandError::Unreachable { .. }) => {
                return Err(failure);
            }
            Err(failure) => {
                failures += 1;
                if failures == FAILURES_MAX {
                    return Err(failure);
                }
            }
        }
        smol::block_on(SystemClock.sleep(RETRY_WAIT));
    }
}

/// Prints the lines of a stream. Returns whether enough were printed.
async fn follow(
    mut body: Incoming,
    progress: &mut Progress,
    left: &mut Option<u64>,
    context: &mut Context<'_>,
) -> Result<bool, CommandError> {
    let mut buffer = Vec::new();
    loop {
        let silent = async {
            SystemClock.sleep(KEEP_ALIVE * 3).await;
            None
        };
        let Some(Ok(frame)) = body.frame().or(silent).await else {
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
            let Some(line) = progress.note(line) else {
                continue;
            };
            let accepted = matches!(line, Line::Accepted { .. });
            context.print(&Printed(line))?;
            if accepted {
                *left = left.map(|n| n - 1);
                if *left == Some(0) {
                    return Ok(true);
                }
            }
        }
        if buffer.len() > LINE_MAX {
            return Ok(false);
        }
    }
}
