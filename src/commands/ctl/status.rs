//! `trefoilctl status`: shows the deployment from the point of view of one host.

use std::fmt;
use std::net::SocketAddr;

use clap::{ArgMatches, Command};
use serde::{Deserialize, Serialize};
use trefoil_core::{DomainName, HostName, Revision, ServiceName, UpstreamName};

use super::client::Client;
use super::{CommandError, Context, ExitStatus};

const EXAMPLES: &str = "Examples:
  trefoilctl status
  trefoilctl status --server 192.0.2.201:9090 --output json";

pub(super) fn command() -> Command {
    Command::new("status")
        .about("Show hosts, upstreams and their dispatchers as a daemon sees them")
        .after_help(EXAMPLES)
}

#[derive(Debug, Serialize, Deserialize)]
struct Status {
    host: HostName,
    revision: Revision,
    ready: bool,
    hosts: Vec<Host>,
    upstreams: Vec<Upstream>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Host {
    name: HostName,
    domain: DomainName,
    caller: SocketAddr,
}

#[derive(Debug, Serialize, Deserialize)]
struct Upstream {
    name: UpstreamName,
    service: ServiceName,
    dispatcher: Option<HostName>,
    shards: usize,
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ready = if self.ready { "ready" } else { "not ready" };
        write!(f, "host {}: {ready}, revision {}", self.host, self.revision)?;
        let rows = self.hosts.iter().map(|h| {
            let (name, domain) = (h.name.as_str(), h.domain.as_str());
            [name.to_owned(), domain.to_owned(), h.caller.to_string()]
        });
        write_table(f, ["HOST", "DOMAIN", "CALLERS"], rows.collect())?;
        let rows = self.upstreams.iter().map(|u| {
            let dispatcher = u.dispatcher.as_ref().map_or("none", HostName::as_str);
            let (name, service) = (u.name.as_str(), u.service.as_str());
            [name, service, dispatcher, &u.shards.to_string()].map(str::to_owned)
        });
        let header = ["UPSTREAM", "SERVICE", "DISPATCHER", "SHARDS"];
        write_table(f, header, rows.collect())
    }
}

/// Writes an empty line, a header and rows in aligned columns. Writes nothing if there are no rows.
fn write_table<const N: usize>(
    f: &mut fmt::Formatter<'_>,
    header: [&str; N],
    rows: Vec<[String; N]>,
) -> fmt::Result {
    if rows.is_empty() {
        return Ok(());
    }
    let mut widths = header.map(str::len);
    for row in &rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.len().max(*width);
        }
    }
    f.write_str("\n")?;
    for row in std::iter::once(header.map(str::to_owned)).chain(rows) {
        let cells = row
            .iter()
            .zip(widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        let line: Vec<String> = cells.collect();
        write!(f, "\n{}", line.join("  ").trim_end())?;
    }
    Ok(())
}

pub(super) fn run(
    _matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CommandError> {
    let status: Status = Client::new(context.server).get("/v1/status")?;
    context.print(&status)?;
    Ok(ExitStatus::Done)
}
