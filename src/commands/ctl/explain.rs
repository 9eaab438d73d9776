//! `trefoilctl explain`: selects the log lines of all hosts that explain one request.
//!
//! Besides the lines with the request's id, the command shows the lines about the state of the
//! hosts at the time: changes of the upstreams that the request was sent to, of its service's table
//! and of the configuration, outages of the store, and lines that were dropped or rate-limited.
//!
//! Event names and keys are those of the logs, including logs of older builds, and must not change.

use std::collections::BTreeSet;
use std::fmt;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;

use super::context::{Context, read_text};
use super::{CommandError, ExitStatus, required};

/// Time before the first line of a request from which state changes are shown, in milliseconds. It
/// covers the delay until a host detects the loss of an upstream or of the store.
const WINDOW_BEFORE_MS: u64 = 5_000;

/// Time after the last line of a request until which state changes are shown, in milliseconds.
const WINDOW_AFTER_MS: u64 = 2_000;

const EXAMPLES: &str = "Examples:
  trefoilctl explain 4b40f917e48abf95 entry-*.log
  collect-logs | trefoilctl explain 4b40f917e48abf95 -

A line may begin with the name of its host or any other text before `ts=`.";

pub(super) fn command() -> Command {
    Command::new("explain")
        .about("Show the log lines of all hosts about one request; needs no daemon")
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

/// A log line with its time.
#[derive(Debug, Clone)]
struct Line<'a> {
    time: u64,
    text: &'a str,
}

/// A log line of the report.
#[derive(Debug, Serialize)]
struct ReportLine {
    /// Time since the first line of the request, in milliseconds; negative before it.
    after_ms: i64,
    line: String,
}

#[derive(Debug, Serialize)]
struct Report {
    id: String,
    request: Vec<ReportLine>,
    beliefs: Vec<ReportLine>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.request.is_empty() {
            return write!(
                f,
                "no log line has the id {}; answered requests are logged at level debug only, see \
                 OPERATIONS.md",
                self.id
            );
        }
        write!(f, "request {}:", self.id)?;
        for line in &self.request {
            write!(f, "\n{:>+8} ms  {}", line.after_ms, line.line)?;
        }
        if !self.beliefs.is_empty() {
            write!(f, "\nwhat was believed around it:")?;
        }
        for line in &self.beliefs {
            write!(f, "\n{:>+8} ms  {}", line.after_ms, line.line)?;
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

    /// Returns the value of a key, without quotes.
    fn value(&self, key: &str) -> Option<&'a str> {
        let pattern = format!("{key}=");
        let starts = self.text.match_indices(&pattern).map(|(at, _)| at);
        let mut keys = starts.filter(|at| *at == 0 || self.text[..*at].ends_with(' '));
        let rest = &self.text[keys.next()? + pattern.len()..];
        match rest.strip_prefix('"') {
            Some(quoted) => quoted.split('"').next(),
            None => rest.split(' ').next(),
        }
    }

    /// Returns the text before the time, where a log collector may write the name of the host.
    fn origin(&self) -> &'a str {
        self.text.split("ts=").next().unwrap_or_default().trim()
    }

    fn to_report_line(&self, since: u64) -> ReportLine {
        let signed = |time: u64| i64::try_from(time).unwrap_or(i64::MAX);
        ReportLine {
            after_ms: signed(self.time) - signed(since),
            line: self.text.trim().to_owned(),
        }
    }
}

/// Returns true if a line describes a state change that may have affected the request.
fn is_relevant(line: &Line<'_>, request: &[Line<'_>]) -> bool {
    let values = |key: &'static str| -> BTreeSet<&str> {
        request.iter().filter_map(|l| l.value(key)).collect()
    };
    let origins: BTreeSet<&str> = request.iter().map(Line::origin).collect();
    let same_host = origins.contains(line.origin());
    let upstream = || {
        let named = line.value("upstream").unwrap_or_default();
        let name = named.split('@').next().unwrap_or_default();
        values("upstream").contains(name)
    };
    let service = || values("service").contains(line.value("service").unwrap_or_default());
    match line.value("event").unwrap_or_default() {
        "upstream ejected" | "ejection ended" | "upstream changed" => same_host && upstream(),
        "upstream does not answer orders" | "order failed" => upstream(),
        "table written" | "term begun" | "term ended" => service(),
        "configuration in force"
        | "store lost"
        | "store regained"
        | "lines left out"
        | "lines dropped"
        | "readiness changed"
        | "stopping" => same_host,
        _ => false,
    }
}

fn build_report(id: &str, texts: &[String]) -> Report {
    let parsed = texts.iter().flat_map(|text| text.lines());
    let mut lines: Vec<Line<'_>> = parsed.filter_map(Line::parse).collect();
    lines.sort_by_key(|line| line.time);
    let has_id = |line: &&Line<'_>| line.value("id") == Some(id);
    let request: Vec<Line<'_>> = lines.iter().filter(has_id).cloned().collect();
    let first = request.first().map_or(0, |line| line.time);
    let last = request.last().map_or(0, |line| line.time);
    let window = first.saturating_sub(WINDOW_BEFORE_MS)..=last + WINDOW_AFTER_MS;
    let in_window = lines.iter().filter(|line| window.contains(&line.time));
    let beliefs = in_window.filter(|line| is_relevant(line, &request));
    Report {
        id: id.to_owned(),
        beliefs: beliefs.map(|line| line.to_report_line(first)).collect(),
        request: request
            .iter()
            .map(|line| line.to_report_line(first))
            .collect(),
    }
}

pub(super) fn run(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CommandError> {
    let id = required::<String>(matches, "id")?;
    let paths = matches.get_many::<PathBuf>("files").into_iter().flatten();
    let texts: Result<Vec<String>, CommandError> = paths.map(|path| read_text(path)).collect();
    let report = build_report(id, &texts?);
    context.print(&report)?;
    Ok(if report.request.is_empty() {
        ExitStatus::Refused
    } else {
        ExitStatus::Done
    })
}
