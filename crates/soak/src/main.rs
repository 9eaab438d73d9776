//! Runs a soak per seed, one at a time, and prints the violations.
//!
//! `trefoil-soak --program target/debug/trefoild --first 1 --count 50 --seconds 12`

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use trefoil_soak::{Options, soak};

fn command() -> Command {
    let number = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u64))
            .default_value(value)
            .help(help)
    };
    Command::new("trefoil-soak")
        .about("Runs real processes under faults that a seed selects")
        .arg(
            Arg::new("program")
                .long("program")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("Path of the trefoild binary"),
        )
        .arg(number("first", "1", "First seed"))
        .arg(number("count", "1", "Number of seeds"))
        .arg(number(
            "seconds",
            "12",
            "Time during which faults start, in seconds",
        ))
        .arg(number("hosts", "4", "Number of hosts"))
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let program = matches.get_one::<PathBuf>("program").cloned();
    let mut failed = 0;
    for seed in number("first")..number("first") + number("count") {
        let options = Options {
            program: program.clone().unwrap_or_default(),
            seed,
            fault_window: Duration::from_secs(number("seconds")),
            hosts: usize::try_from(number("hosts")).unwrap_or(usize::MAX),
        };
        let (violations, timeline) = soak(&options);
        let last = timeline.last().map_or("", String::as_str);
        println!("seed {seed}: {} violations; {last}", violations.len());
        if !violations.is_empty() {
            failed += 1;
            println!("{}\n{}", timeline.join("\n"), violations.join("\n"));
        }
    }
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
