//! The router daemon, which runs on every entry host.

use std::process::ExitCode;

use clap::Command;

#[path = "../commands/check.rs"]
mod check;
#[path = "../commands/dev.rs"]
mod dev;
#[path = "../commands/run.rs"]
mod run;
#[path = "../commands/serve.rs"]
mod serve;
#[path = "../commands/settings.rs"]
mod settings;

fn command() -> Command {
    Command::new("trefoild")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Routes requests to the upstreams that own their keys")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(run::command())
        .subcommand(serve::command())
        .subcommand(check::command())
        .subcommand(dev::command())
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("run", matches)) => run::execute(matches),
        Some(("serve", matches)) => serve::execute(matches),
        Some(("check", matches)) => check::execute(matches),
        _ => dev::execute(),
    };
    match result {
        Ok(code) => code,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
