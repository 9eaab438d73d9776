//! `trefoilctl completions`: completion scripts for shells.

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use super::{CommandError, Context, ExitStatus, required};

const EXAMPLES: &str = "Examples:
  trefoilctl completions bash > /etc/bash_completion.d/trefoilctl
  trefoilctl completions zsh > ~/.zfunc/_trefoilctl
  trefoilctl completions fish > ~/.config/fish/completions/trefoilctl.fish";

pub(super) fn command() -> Command {
    Command::new("completions")
        .about("Print a completion script for a shell; needs no daemon")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .value_parser(value_parser!(Shell))
                .required(true)
                .help("Shell that reads the script"),
        )
}

pub(super) fn run(
    matches: &ArgMatches,
    context: &mut Context<'_>,
) -> Result<ExitStatus, CommandError> {
    let shell = *required::<Shell>(matches, "shell")?;
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut super::command(), "trefoilctl", &mut script);
    context.write_bytes(&script)?;
    Ok(ExitStatus::Done)
}
