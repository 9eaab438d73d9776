//! `trefoild check`: checks settings without opening a socket.

use std::error::Error;

use clap::{ArgMatches, Command};

use crate::settings;

/// The subcommand.
pub fn command() -> Command {
    Command::new("check")
        .about("Checks the settings and the files that they name")
        .arg(settings::arg())
}

/// Runs the subcommand.
pub fn execute(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let loaded = settings::load(matches)?;
    println!("settings of host {} are valid", loaded.settings.name);
    Ok(())
}
