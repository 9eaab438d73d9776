//! The subcommands of `trefoilctl`.
//!
//! Every subcommand prints its result to standard output, as text for people or as JSON for
//! programs, and exits with one of four codes. They let a script distinguish a configuration that
//! was refused from one whose outcome is unknown; only the latter requires a check of the resource
//! in force. Messages about the command itself go to standard error.

mod apply;
mod client;
mod completions;
mod context;
mod drain;
mod error;
mod explain;
mod get;
mod keys;
mod report;
mod status;
mod validate;
mod watch;

use std::ffi::OsString;
use std::io;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

pub use context::{Context, Format};
pub use error::CommandError;

/// Default address of a daemon's operators' API.
const DEFAULT_SERVER: &str = "127.0.0.1:9090";

/// Exit codes, from section 11 of the design.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The input is invalid, or another change was accepted first.
    Refused = 1,
    /// The command line is invalid, or a file that it names cannot be used.
    Usage = 2,
    /// The daemon is unreachable, or it is unknown if the change took effect.
    Unknown = 3,
}

const EXIT_CODES: &str = "Exit codes:
  0  done
  1  refused: the input is invalid, or another change came first
  2  wrong usage, or a file that cannot be used
  3  unreachable, or it is unknown whether the change took effect";

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("trefoilctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Checks and publishes routing resources, and shows what is in force")
        .after_help(EXIT_CODES)
        .max_term_width(100)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("FORMAT")
                .value_parser(["text", "json"])
                .default_value("text")
                .global(true)
                .help("Form of the result"),
        )
        .arg(
            Arg::new("server")
                .long("server")
                .value_name("ADDR")
                .env("TREFOIL_SERVER")
                .hide_env_values(true)
                .value_parser(value_parser!(std::net::SocketAddr))
                .default_value(DEFAULT_SERVER)
                .global(true)
                .help("Address of a daemon's operators' API"),
        )
        .subcommand(validate::command())
        .subcommand(apply::command())
        .subcommand(get::command())
        .subcommand(watch::command())
        .subcommand(drain::command())
        .subcommand(report::command())
        .subcommand(status::command())
        .subcommand(explain::command())
        .subcommand(keys::command())
        .subcommand(completions::command())
}

/// Runs `trefoilctl` with the arguments of the process.
pub fn main() -> ExitCode {
    ExitCode::from(run(std::env::args_os()) as u8)
}

fn run<I>(arguments: I) -> ExitStatus
where
    I: Iterator<Item = OsString>,
{
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            // clap returns help and version as errors. Printing may fail on a closed standard
            // output, which does not affect the exit code.
            drop(error.print());
            return if error.use_stderr() {
                ExitStatus::Usage
            } else {
                ExitStatus::Done
            };
        }
    };
    let mut context = Context::new(&matches, io::stdout().lock());
    let result = match matches.subcommand() {
        Some(("validate", arguments)) => validate::run(arguments, &mut context),
        Some(("apply", arguments)) => apply::run(arguments, &mut context),
        Some(("get", arguments)) => get::run(arguments, &mut context),
        Some(("watch", arguments)) => watch::run(arguments, &mut context),
        Some(("drain", arguments)) => drain::run(arguments, &mut context),
        Some(("report", arguments)) => report::run(arguments, &mut context),
        Some(("status", arguments)) => status::run(arguments, &mut context),
        Some(("explain", arguments)) => explain::run(arguments, &mut context),
        Some(("keys", arguments)) => keys::run(arguments, &mut context),
        Some(("completions", arguments)) => completions::run(arguments, &mut context),
        // Unreachable: every subcommand of `command` is matched above.
        _ => Ok(ExitStatus::Usage),
    };
    result.unwrap_or_else(|error| context.report_error(&error))
}

/// Returns the value of an argument that is required or has a default.
fn required<'a, T>(matches: &'a ArgMatches, name: &'static str) -> Result<&'a T, CommandError>
where
    T: Clone + Send + Sync + 'static,
{
    matches
        .get_one(name)
        .ok_or(CommandError::MissingArgument { name })
}
