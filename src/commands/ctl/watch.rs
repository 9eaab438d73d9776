//! `trefoilctl watch`: prints changes of resources as they come into force.
//!
//! The daemon is asked for its resources in short intervals. A resource that changed twice within
//! one interval is printed once, in its last state.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;
use trefoil_core::{Clock, ResourceName, Revision, SystemClock, UnixMillis};
use trefoil_log::Resource;

use super::client::{Client, time};
use super::{Context, Exit, Failure, required};

/// Time between two requests. A change is in force within 3 s, so one second more is not noticed.
const INTERVAL: Duration = Duration::from_secs(1);

/// Failed requests in a row after which watching ends: a daemon that restarts is waited for.
const FAILURES_MAX: u32 = 10;

const EXAMPLES: &str = "Examples:
  trefoilctl watch
  trefoilctl watch --from 120 --output json
  trefoilctl watch --count 1

With --output json, every change is one line.";

pub(super) fn command() -> Command {
    Command::new("watch")
        .about("Print changes of resources as they come into force")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("from")
                .long("from")
                .value_name("REVISION")
                .value_parser(value_parser!(u64))
                .default_value("0")
                .help("Print resources above this revision only"),
        )
        .arg(
            Arg::new("count")
                .long("count")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..))
                .help("End after this many changes"),
        )
}

/// One change.
#[derive(Debug, Serialize)]
struct Change {
    revision: Revision,
    name: ResourceName,
    accepted: UnixMillis,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "revision {}: {}, accepted {}",
            self.revision,
            self.name,
            time(self.accepted)
        )
    }
}

pub(super) fn run(matches: &ArgMatches, context: &mut Context<'_>) -> Result<Exit, Failure> {
    let client = Client::new(context.server);
    let from = Revision(*required(matches, "from")?);
    let mut left = matches.get_one::<u64>("count").copied();
    let mut seen = BTreeMap::new();
    let mut failures = 0;
    let mut answered = false;
    loop {
        match client.get::<Vec<Resource>>("/v1/resources") {
            Ok(resources) => {
                (failures, answered) = (0, true);
                for change in changes(resources, from, &mut seen) {
                    context.print(&change)?;
                    left = left.map(|n| n - 1);
                    if left == Some(0) {
                        return Ok(Exit::Done);
                    }
                }
            }
            // The first answer decides whether there is a daemon at all.
            Err(failure) if !answered => return Err(failure),
            Err(failure) => {
                failures += 1;
                if failures == FAILURES_MAX {
                    return Err(failure);
                }
            }
        }
        smol::block_on(SystemClock.sleep(INTERVAL));
    }
}

/// The resources above the revision that was last seen of each, in the order of their revisions.
fn changes(
    resources: Vec<Resource>,
    from: Revision,
    seen: &mut BTreeMap<ResourceName, Revision>,
) -> Vec<Change> {
    let mut changes = Vec::new();
    for r in resources {
        let last = seen.insert(r.name.clone(), r.revision);
        if r.revision > from.max(last.unwrap_or_default()) {
            changes.push(Change {
                revision: r.revision,
                name: r.name,
                accepted: r.accepted,
            });
        }
    }
    changes.sort_by_key(|change| change.revision);
    changes
}
