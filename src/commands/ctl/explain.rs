//! `trefoilctl explain`: what the logs of all hosts say of one request.
//!
//! Besides the lines with the request's id, the command shows the lines that say what the hosts
//! believed at the time: changes of the upstreams that the request met, of its service's table and
//! of the configuration, losses of the store, and lines that were left out.

use std::collections::BTreeSet;
use std::fmt;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;

use super::context::{Context, read_text};
use super::{CommandError, ExitStatus, required};

/// Time before the first line of a request in which beliefs are shown, in milliseconds. It covers the
/// time until a host has noticed that an upstream or the store was lost.
const BEFORE_MS: u64 = 5_000;

/// Time after the last line of a request in which beliefs are shown, in milliseconds.
const AFTER_MS: u64 = 2_000;

const EXAMPLES: &str = "Examples:
  trefoilctl explain 4b40f917e48abf95 entry-*.log
  collect-logs | trefoilctl explain 4b40f917e48abf95 -

A line may begin with the name of its host or any other text before `ts=`.";

pub(super) fn command() -> Command {
    Command::new("explain")
        .about("Show what the logs of all hosts say of one request; needs no daemon")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required(true)
                .help("The caller's identifier of the request"),
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .action(ArgAction::Append)
                .required(true)
                .num_args(1..)
                .help("Files with log lines, or - for standard input"),
        )
}

/// A log line.
#[derive(Debug, Clone)]
struct Line<'a> {
    time: u64,
    text: &'a str,
}

/// One line of the report.
#[derive(Debug, Serialize)]
struct Told {
    /// Milliseconds after the first line of the request.
    after_ms: i64,
    line: String,
}

#[derive(Debug, Serialize)]
struct Report {
    id: String,
    request: Vec<Told>,
    beliefs: Vec<Told>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.request.is_empty() {
            return write!(
                f,
                "no line names request {}; answered requests have none, see OPERATIONS.md",
                self.id
            );
        }
        write!(f, "request {}:", self.id)?;
        for told in &self.request {
            write!(f, "\n{:>+8} ms  {}", told.after_ms, told.line)?;
        }
        if !self.beliefs.is_empty() {
            write!(f, "\nwhat was believed around it:")?;
        }
        for told in &self.beliefs {
            write!(f, "\n{:>+8} ms  {}", told.after_ms, told.line)?;
        }
        Ok(())
    }
}

impl<'a> Line<'a> {
    fn parse(text: &'a str) -> Option<Self> {
        let line = Self { time: 0, text };
        let time = line.value("ts")?.parse().ok()?;
        Some(Self { time, text })
    }

    /// The value of a key, without quotes.
    fn value(&self, key: &str) -> Option<&'a str> {
        let pattern = format!("{key}=");
        let starts = self.text.match_indices(&pattern).map(|(at, _)| at);
        let mut own = starts.filter(|at| *at == 0 || self.text[..*at].ends_with(' '));
        let rest = &self.text[own.next()? + pattern.len()..];
        match rest.strip_prefix('"') {
            Some(quoted) => quoted.split('"').next(),
            None => rest.split(' ').next(),
        }
    }

    /// What is before the time: the host, if the collector of the logs writes it there.
    fn origin(&self) -> &'a str {
        self.text.split("ts=").next().unwrap_or_default().trim()
    }

    fn told(&self, since: u64) -> Told {
        let signed = |time: u64| i64::try_from(time).unwrap_or(i64::MAX);
        Told {
            after_ms: signed(self.time) - signed(since),
            line: self.text.trim().to_owned(),
        }
    }
}

/// Whether a line says something that a host believed and that mattered to the request.
fn matters(line: &Line<'_>, request: &[Line<'_>]) -> bool {
    let values = |key: &'static str| -> BTreeSet<&str> {
        request.iter().filter_map(|l| l.value(key)).collect()
    };
    let origins: BTreeSet<&str> = request.iter().map(Line::origin).collect();
    let ours = origins.contains(line.origin());
    let upstream = || {
        let named = line.value("upstream").unwrap_or_default();
        let name = named.split('@').next().unwrap_or_default();
        values("upstream").contains(name)
    };
    let service = || values("service").contains(line.value("service").unwrap_or_default());
    match line.value("event").unwrap_or_default() {
        "upstream changed" => ours && upstream(),
        "upstream does not answer orders" | "order failed" => upstream(),
        "table written" | "term begun" | "term ended" => service(),
        "configuration in force"
        | "store lost"
        | "store regained"
        | "lines left out"
        | "lines dropped"
        | "readiness changed"
        | "stopping" => ours,
        _ => false,
    }
}

fn report(id: &str, texts: &[String]) -> Report {
    let parsed = texts.iter().flat_map(|text| text.lines());
    let mut lines: Vec<Line<'_>> = parsed.filter_map(Line::parse).collect();
    lines.sort_by_key(|line| line.time);
    let own = |line: &&Line<'_>| line.value("id") == Some(id);
    let request: Vec<Line<'_>> = lines.iter().filter(own).cloned().collect();
    let first = request.first().map_or(0, |line| line.time);
    let last = request.last().map_or(0, |line| line.time);
    let span = first.saturating_sub(BEFORE_MS)..=last + AFTER_MS;
    let near = lines.iter().filter(|line| span.contains(&line.time));
    let beliefs = near.filter(|line| matters(line, &request));
    Report {
        id: id.to_owned(),
        beliefs: beliefs.map(|line| line.told(first)).collect(),
        request: request.iter().map(|line| line.told(first)).collect(),
    }
}

pub(super) fn run(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CommandError> {
    let id = required::<String>(matches, "id")?;
    let paths = matches.get_many::<PathBuf>("files").into_iter().flatten();
    let texts: Result<Vec<String>, CommandError> = paths.map(|path| read_text(path)).collect();
    let report = report(id, &texts?);
    context.print(&report)?;
    Ok(if report.request.is_empty() {
        ExitStatus::Refused
    } else {
        ExitStatus::Done
    })
}
