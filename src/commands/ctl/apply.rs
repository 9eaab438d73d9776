//! `trefoilctl apply`: publishes a routing resource.
//!
//! The command signs one log record and sends it until a daemon responds with a verdict. All
//! attempts send the identical record, so it is decided only once even if several copies reach the
//! log. Every run has one of these outcomes:
//!
//! - accepted, with the revision;
//! - conflict, with the revision that was accepted first;
//! - refused, with the findings or the reason;
//! - unavailable: the record was certainly not published, because no daemon could be reached or the
//!   log could not be written;
//! - unknown: the record may or may not have been published. This is the outcome whenever an
//!   attempt could have taken effect and no verdict was received, even if later attempts certainly
//!   had no effect.
//!
//! A daemon that has already replayed a copy of the record responds with the original verdict. If
//! it no longer has that verdict, it responds with `Duplicate`, which does not contain the
//! decision. The command then derives the decision from the resource in force: if the record was
//! accepted, the revision of the resource is higher than the one that the record is based on.

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
use super::client::{Client, ResourceStatus, body_text};
use super::context::read_text;
use super::error::{EncodeRecordSnafu, ReadSnafu};
use super::{CommandError, Context, ExitStatus, required};

/// Time between two attempts, and between two queries of the resource's status.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of one attempt. The daemon waits up to 5 s for the record.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(6);

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
    let deadline = SystemClock
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
            Submission::new(routing, &signer, Client::new(context.server), deadline)?.run()
        }
    };
    context.print(&outcome)?;
    Ok(outcome.exit_status())
}

/// A signed record that is sent until there is a verdict.
struct Submission {
    routing: Routing,
    record: Bytes,
    time: UnixMillis,
    client: Client,
    deadline: Tick,
}

/// Result of all attempts to send the record.
enum SendResult {
    Verdict(Verdict),
    /// The record is certainly not in the log.
    NotPublished(String),
    /// The record may be in the log.
    MayBePublished(String),
    /// The daemon cannot decode the record or does not accept it.
    Refused(String),
}

impl Submission {
    fn new(
        routing: Routing,
        signer: &Signer,
        client: Client,
        deadline: Tick,
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
            deadline,
        })
    }

    fn run(&self) -> Outcome {
        match self.send() {
            SendResult::Verdict(Verdict::Accepted { revision }) => self.wait_in_force(revision),
            SendResult::Verdict(Verdict::Conflict { current }) => self.to_conflict(current),
            SendResult::Verdict(Verdict::Rejected { reason }) | SendResult::Refused(reason) => {
                Outcome::refused(reason)
            }
            // A record with a resource never has the verdict `Noted`.
            SendResult::Verdict(Verdict::Duplicate | Verdict::Noted) => self.resolve_duplicate(),
            SendResult::NotPublished(reason) => Outcome::Unavailable { reason },
            SendResult::MayBePublished(reason) => self.to_unknown(reason),
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.since(SystemClock.now())
    }

    /// Returns a client whose timeout ends at the deadline. It is at least one interval, so that a
    /// last query is possible.
    fn client(&self) -> Client {
        self.client
            .with_timeout_max(self.time_left().max(RETRY_INTERVAL))
    }

    /// Sends the record until there is a verdict.
    fn send(&self) -> SendResult {
        let mut may_be_published = false;
        loop {
            let client = self.client().with_timeout_max(ATTEMPT_TIMEOUT);
            let response = client.send(Method::POST, "/v1/records", self.record.clone());
            let reason = match response {
                Ok((status, body)) => match serde_json::from_slice(&body) {
                    Ok(verdict) => return SendResult::Verdict(verdict),
                    Err(_) if status.is_client_error() && !may_be_published => {
                        return SendResult::Refused(body_text(&body));
                    }
                    Err(_) => {
                        // Only this status guarantees that the log does not contain the record.
                        may_be_published |= status != StatusCode::SERVICE_UNAVAILABLE;
                        format!("{status}: {}", body_text(&body))
                    }
                },
                Err(e) => {
                    may_be_published |= e.may_have_been_sent();
                    e.to_string()
                }
            };
            if self.time_left() <= RETRY_INTERVAL {
                return if may_be_published {
                    SendResult::MayBePublished(reason)
                } else {
                    SendResult::NotPublished(reason)
                };
            }
            smol::block_on(SystemClock.sleep(RETRY_INTERVAL));
        }
    }

    /// Waits until the resource is in force everywhere, or until the deadline.
    fn wait_in_force(&self, revision: Revision) -> Outcome {
        let name = &self.routing.name;
        loop {
            let status = self.client().resource(name).ok().flatten();
            // A later revision in force everywhere implies that this one was in force too.
            let is_reached = |s: &ResourceStatus| s.resource.revision >= revision && s.in_force();
            let in_force = status.as_ref().is_some_and(is_reached);
            if in_force || self.time_left() <= RETRY_INTERVAL {
                let behind = status
                    .as_ref()
                    .map(ResourceStatus::lagging_domains)
                    .unwrap_or_default();
                return Outcome::Accepted {
                    name: name.clone(),
                    revision,
                    everywhere: in_force,
                    domains: status.map(|s| s.domains).unwrap_or_default(),
                    behind,
                };
            }
            smol::block_on(SystemClock.sleep(RETRY_INTERVAL));
        }
    }

    fn to_conflict(&self, current: Revision) -> Outcome {
        let status = self.client().resource(&self.routing.name).ok().flatten();
        Outcome::Conflict {
            name: self.routing.name.clone(),
            base: self.routing.revision,
            current,
            same: status.is_some_and(|s| s.resource.spec == self.routing.spec),
        }
    }

    /// Derives the verdict on a record that was decided in an earlier attempt.
    fn resolve_duplicate(&self) -> Outcome {
        let resource = match self.client().resource(&self.routing.name) {
            Ok(status) => status.map(|s| s.resource),
            Err(error) => return self.to_unknown(error.to_string()),
        };
        let current = resource.as_ref().map_or(Revision(0), |r| r.revision);
        match resource {
            Some(r) if r.accepted == self.time && r.spec == self.routing.spec => {
                self.wait_in_force(r.revision)
            }
            _ if current == self.routing.revision => {
                Outcome::refused("an earlier copy of the record was refused".to_owned())
            }
            _ => self.to_unknown(format!(
                "revision {current} is in force; this change may have been in force before it"
            )),
        }
    }

    fn to_unknown(&self, reason: String) -> Outcome {
        Outcome::Unknown {
            name: self.routing.name.clone(),
            base: self.routing.revision,
            time: self.time,
            reason,
        }
    }
}
