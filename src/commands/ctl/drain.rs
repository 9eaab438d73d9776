//! `trefoilctl drain`: drains a host.

use std::fmt;
use std::net::SocketAddr;

use clap::{ArgMatches, Command};
use serde::Serialize;

use super::client::Client;
use super::{CommandError, Context, ExitStatus};

const EXAMPLES: &str = "Examples:
  trefoilctl drain --server 192.0.2.201:9090

The host leaves the ready list and finishes the requests in flight. A drain cannot be undone; stop
the process with SIGTERM and start it again.";

pub(super) fn command() -> Command {
    Command::new("drain")
        .about("Drain the host that --server names")
        .after_help(EXAMPLES)
}

#[derive(Debug, Serialize)]
struct DrainReport {
    server: SocketAddr,
    answer: String,
}

impl fmt::Display for DrainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.server, self.answer)
    }
}

pub(super) fn run(
    _matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CommandError> {
    let server = context.server;
    let answer = Client::new(server).post("/v1/drain")?;
    context.print(&DrainReport { server, answer })?;
    Ok(ExitStatus::Done)
}
