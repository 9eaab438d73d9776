//! `trefoild check`: validates the settings and the files that they name, without opening a socket.

use std::error::Error;
use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::settings;

const EXAMPLES: &str = "Examples:
  trefoild check --settings trefoild.yaml
  trefoild check --settings trefoild.yaml --name entry-02 --tls-key entry-02.key.pem

All mistakes are reported together, each with its line and column, variable or flag.";

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    Command::new("check")
        .about("Checks the settings and the files that they name")
        .after_help(format!("{EXAMPLES}\n\n{}", settings::EXIT_CODES))
        .args(settings::args())
}

/// Runs the subcommand.
pub fn execute(matches: &ArgMatches) -> Result<ExitCode, Box<dyn Error>> {
    let loaded = settings::load(matches)?;
    println!("settings of host {} are valid", loaded.settings.name);
    Ok(ExitCode::SUCCESS)
}
