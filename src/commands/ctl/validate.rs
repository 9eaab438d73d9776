//! `trefoilctl validate`: validates routing resources without a daemon.

use std::fmt;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;
use trefoil_config::{Findings, Routing};

use super::context::{Context, read_text};
use super::{CommandError, ExitStatus};

const EXAMPLES: &str = "Examples:
  trefoilctl validate examples/monterrey.yaml
  trefoilctl validate --output json *.yaml
  generate-routing | trefoilctl validate -

All mistakes of all files are listed as FILE:LINE:COLUMN: PATH: MESSAGE.";

pub(super) fn command() -> Command {
    Command::new("validate")
        .about("Check routing resources; needs no daemon")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .action(ArgAction::Append)
                .required(true)
                .num_args(1..)
                .help("Files with one routing resource each, or - for standard input"),
        )
}

/// Result of validating one file.
#[derive(Debug, Serialize)]
struct FileReport {
    file: String,
    valid: bool,
    /// Name of the resource, if it is valid.
    name: Option<String>,
    services: usize,
    upstreams: usize,
    findings: Findings,
}

#[derive(Debug, Serialize)]
struct Report {
    files: Vec<FileReport>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, report) in self.files.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            match &report.name {
                Some(name) => write!(
                    f,
                    "{}: valid: {name}, services: {}, upstreams: {}",
                    report.file, report.services, report.upstreams
                )?,
                None => write!(f, "{}", report.findings)?,
            }
        }
        Ok(())
    }
}

pub(super) fn run(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CommandError> {
    let paths = matches.get_many::<PathBuf>("files").into_iter().flatten();
    let mut files = Vec::new();
    for path in paths {
        let file = path.display().to_string();
        let result = Routing::from_yaml(&read_text(path)?, &file);
        let services = result.as_ref().map_or(&[][..], |r| &r.spec.services);
        files.push(FileReport {
            file,
            valid: result.is_ok(),
            name: result.as_ref().ok().map(|r| r.name.to_string()),
            services: services.len(),
            upstreams: services.iter().map(|s| s.upstreams.len()).sum(),
            findings: result.err().unwrap_or_default(),
        });
    }
    let valid = files.iter().all(|report| report.valid);
    context.print(&Report { files })?;
    Ok(if valid {
        ExitStatus::Done
    } else {
        ExitStatus::Refused
    })
}
