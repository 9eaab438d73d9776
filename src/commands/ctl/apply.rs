//! `trefoilctl apply`: publishes a routing resource.
//!
//! The command signs one log record and sends it until a daemon answers with a verdict. The record
//! is the same in every attempt, so however many copies reach the log, it is decided once. Every run
//! ends with one of these:
//!
//! - accepted, with the revision;
//! - conflict, with the revision that came first;
//! - refused, with the findings or the reason;
//! - unavailable: it is certain that nothing was published, because no daemon could be reached or
//!   the log could not be written;
//! - unknown: the record may or may not be published. This is said whenever an attempt could have
//!   taken effect and no verdict was learnt, also if later attempts certainly had none.
//!
//! A daemon that has already replayed a copy of the record answers with the first verdict. Only if
//! it no longer remembers that does it answer `Duplicate`, which does not say what was decided. The
//! resource in force then tells: a record that was accepted raised the resource above the revision
//! that it builds on.

mod outcome;

use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use clap::{Arg, ArgMatches, Command, value_parser};
use http::{Method, StatusCode};
use snafu::ResultExt;
use trefoil_config::Routing;
use trefoil_core::{Clock, Revision, SystemClock, Tick, UnixMillis, WriterId};
use trefoil_log::{Body, Envelope, SignedRecord, Signer, Verdict};

use self::outcome::Outcome;
use super::client::{Client, ResourceStatus, message};
use super::context::read_text;
use super::error::{EncodeRecordSnafu, ReadSnafu};
use super::{CommandError, Context, ExitStatus, required};

/// Wait between two attempts, and between two looks at the resource's status.
const PAUSE: Duration = Duration::from_millis(200);

/// Longest wait for the answer to one attempt. The daemon waits up to 5 s for the record.
const ATTEMPT: Duration = Duration::from_secs(6);

const EXAMPLES: &str = "Examples:
  trefoilctl apply monterrey.yaml --key operator.key
  TREFOIL_OPERATOR_KEY=operator.key trefoilctl apply monterrey.yaml --timeout 30
  trefoilctl get monterrey > monterrey.yaml   # then change it and apply

The command ends when the resource is in force in every failure domain. If it says \"unknown\",
`trefoilctl get NAME` shows whether the change is in force.";

pub(super) fn command() -> Command {
    Command::new("apply")
        .about("Publish a routing resource and wait until it is in force everywhere")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("File with a routing resource, or - for standard input"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .value_name("FILE")
                .env("TREFOIL_OPERATOR_KEY")
                .hide_env_values(true)
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("File with the operator's signing key"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64).range(1..=3600))
                .default_value("15")
                .help("Time after which the command gives up"),
        )
}

pub(super) fn run(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CommandError> {
    let path = required::<PathBuf>(matches, "file")?;
    let key = required::<PathBuf>(matches, "key")?;
    let until = SystemClock
        .now()
        .after(Duration::from_secs(*required(matches, "timeout")?));
    let file = path.display().to_string();
    let outcome = match Routing::from_yaml(&read_text(path)?, &file) {
        Err(findings) => Outcome::Refused {
            reason: format!("{} mistakes in {file}", findings.len()),
            findings,
        },
        Ok(routing) => {
            let der = std::fs::read(key).context(ReadSnafu { path: key })?;
            let signer = Signer::from_pkcs8(&der).map_err(|e| CommandError::InvalidKey {
                path: key.clone(),
                reason: e.to_string(),
            })?;
            Attempt::new(routing, &signer, Client::new(context.server), until)?.run()
        }
    };
    context.print(&outcome)?;
    Ok(outcome.exit_status())
}

/// One record on its way to a verdict.
struct Attempt {
    routing: Routing,
    record: Bytes,
    time: UnixMillis,
    client: Client,
    until: Tick,
}

/// What the attempts have shown.
enum Sent {
    Verdict(Verdict),
    /// No attempt can have taken effect.
    Nothing(String),
    /// An attempt may have taken effect.
    Perhaps(String),
    /// The daemon cannot read the record or does not take it.
    Refused(String),
}

impl Attempt {
    fn new(
        routing: Routing,
        signer: &Signer,
        client: Client,
        until: Tick,
    ) -> Result<Self, CommandError> {
        let time = SystemClock.unix();
        let body = Body::Config(Box::new(routing.clone()));
        let envelope = Envelope {
            format: body.format(),
            writer: WriterId::random(),
            sequence: 1,
            base: routing.revision,
            time,
            body,
        };
        let record = SignedRecord::new(&envelope, signer).context(EncodeRecordSnafu)?;
        Ok(Self {
            routing,
            record: record.encode().context(EncodeRecordSnafu)?,
            time,
            client,
            until,
        })
    }

    fn run(&self) -> Outcome {
        match self.send() {
            Sent::Verdict(Verdict::Accepted { revision }) => self.accepted(revision),
            Sent::Verdict(Verdict::Conflict { current }) => self.conflict(current),
            Sent::Verdict(Verdict::Rejected { reason }) | Sent::Refused(reason) => {
                Outcome::refused(reason)
            }
            // A record with a resource is never only noted.
            Sent::Verdict(Verdict::Duplicate | Verdict::Noted) => self.decided_before(),
            Sent::Nothing(reason) => Outcome::Unavailable { reason },
            Sent::Perhaps(reason) => self.unknown(reason),
        }
    }

    fn left(&self) -> Duration {
        self.until.since(SystemClock.now())
    }

    /// The daemon, which is not waited for beyond the time allowed, except for one last look.
    fn client(&self) -> Client {
        self.client.within(self.left().max(PAUSE))
    }

    /// Sends the record until there is a verdict.
    fn send(&self) -> Sent {
        let mut perhaps = false;
        loop {
            let client = self.client().within(ATTEMPT);
            let answer = client.send(Method::POST, "/v1/records", self.record.clone());
            let reason = match answer {
                Ok((status, body)) => match serde_json::from_slice(&body) {
                    Ok(verdict) => return Sent::Verdict(verdict),
                    Err(_) if status.is_client_error() && !perhaps => {
                        return Sent::Refused(message(&body));
                    }
                    Err(_) => {
                        // Only this answer says that the log does not have the record.
                        perhaps |= status != StatusCode::SERVICE_UNAVAILABLE;
                        format!("{status}: {}", message(&body))
                    }
                },
                Err(e) => {
                    perhaps |= e.may_have_been_sent();
                    e.to_string()
                }
            };
            if self.left() <= PAUSE {
                return if perhaps {
                    Sent::Perhaps(reason)
                } else {
                    Sent::Nothing(reason)
                };
            }
            smol::block_on(SystemClock.sleep(PAUSE));
        }
    }

    /// Waits until the resource is in force everywhere.
    fn accepted(&self, revision: Revision) -> Outcome {
        let name = &self.routing.name;
        loop {
            let status = self.client().resource(name).ok().flatten();
            // A later change that is in force everywhere implies that this one was.
            let reached = |s: &ResourceStatus| s.resource.revision >= revision && s.in_force();
            let done = status.as_ref().is_some_and(reached);
            if done || self.left() <= PAUSE {
                let behind = status
                    .as_ref()
                    .map(ResourceStatus::behind)
                    .unwrap_or_default();
                return Outcome::Accepted {
                    name: name.clone(),
                    revision,
                    everywhere: done,
                    domains: status.map(|s| s.domains).unwrap_or_default(),
                    behind,
                };
            }
            smol::block_on(SystemClock.sleep(PAUSE));
        }
    }

    fn conflict(&self, current: Revision) -> Outcome {
        let status = self.client().resource(&self.routing.name).ok().flatten();
        Outcome::Conflict {
            name: self.routing.name.clone(),
            base: self.routing.revision,
            current,
            same: status.is_some_and(|s| s.resource.spec == self.routing.spec),
        }
    }

    /// The verdict on a record of which a copy was decided before.
    fn decided_before(&self) -> Outcome {
        let resource = match self.client().resource(&self.routing.name) {
            Ok(status) => status.map(|s| s.resource),
            Err(failure) => return self.unknown(failure.to_string()),
        };
        let current = resource.as_ref().map_or(Revision(0), |r| r.revision);
        match resource {
            Some(r) if r.accepted == self.time && r.spec == self.routing.spec => {
                self.accepted(r.revision)
            }
            _ if current == self.routing.revision => {
                Outcome::refused("an earlier copy of the record was refused".to_owned())
            }
            _ => self.unknown(format!(
                "revision {current} is in force; this change may have been in force before it"
            )),
        }
    }

    fn unknown(&self, reason: String) -> Outcome {
        Outcome::Unknown {
            name: self.routing.name.clone(),
            base: self.routing.revision,
            time: self.time,
            reason,
        }
    }
}
