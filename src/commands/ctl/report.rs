//! `trefoilctl report`: prints the placement report.

use clap::{Arg, ArgMatches, Command};

use super::client::Client;
use super::{CommandError, Context, ExitStatus, Format};

const EXAMPLES: &str = "Examples:
  trefoilctl report
  trefoilctl report --html > placement.html
  trefoilctl report --output json";

pub(super) fn command() -> Command {
    Command::new("report")
        .about("Print the placement report: imbalance, churn and unavailable time")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("html")
                .long("html")
                .action(clap::ArgAction::SetTrue)
                .help("Print a page for a browser"),
        )
}

pub(super) fn run(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CommandError> {
    let form = match context.format {
        _ if matches.get_flag("html") => "html",
        Format::Text => "text",
        Format::Json => "json",
    };
    let report = Client::new(context.server).get_bytes(&format!("/v1/report?format={form}"))?;
    context.write_bytes(&report)?;
    Ok(ExitStatus::Done)
}
