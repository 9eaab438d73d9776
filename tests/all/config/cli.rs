//! Tests of `trefoilctl` as a process. Those in this file need no real daemon.

mod apply;
mod daemon;
mod explain;
mod keys;
mod stub;
mod watch;

use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Stdio};

use stub::{InForce, StubDaemon};

/// Runs `trefoilctl` and returns the command line, its output and the exit code.
fn transcript(arguments: &[&str]) -> String {
    transcript_in(Path::new(env!("CARGO_MANIFEST_DIR")), arguments)
}

fn transcript_in(directory: &Path, arguments: &[&str]) -> String {
    transcript_with(directory, &[], arguments)
}

fn command(directory: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_trefoilctl"));
    command
        .args(arguments)
        .current_dir(directory)
        .env_clear()
        .stdin(Stdio::null());
    command
}

fn transcript_with(directory: &Path, variables: &[(&str, &str)], arguments: &[&str]) -> String {
    let output = command(directory, arguments)
        .envs(variables.iter().copied())
        .output()
        .expect("trefoilctl runs");
    let (out, err) = (output.stdout, output.stderr);
    let text = |bytes| String::from_utf8(bytes).expect("output is UTF-8");
    let code = output.status.code().expect("no signal ends trefoilctl");
    let error = match text(err) {
        err if err.is_empty() => err,
        err => format!("-- stderr --\n{err}"),
    };
    format!(
        "$ trefoilctl {}\n{}{error}-- exit {code} --\n",
        arguments.join(" "),
        text(out),
    )
}

/// Replaces the address and all times, which differ between runs.
fn redact(run: &str, address: &str) -> String {
    let is_time = |word: &str| word.len() == 24 && word.starts_with("20") && word.ends_with('Z');
    let line = |line: &str| {
        let words = line.split(' ').map(|w| {
            let time = w.trim_end_matches([',', ';']);
            if is_time(time) {
                w.replace(time, "TIME")
            } else {
                w.to_owned()
            }
        });
        words.collect::<Vec<_>>().join(" ")
    };
    let lines: Vec<String> = run.split('\n').map(line).collect();
    lines.join("\n").replace(address, "SERVER")
}

fn transcripts(all: &[&[&str]]) -> String {
    let runs: Vec<String> = all.iter().map(|arguments| transcript(arguments)).collect();
    runs.join("\n")
}

const FIVE_ERRORS: &str = "tests/all/config/files/routing-five.yaml";
const VALID: &str = "examples/monterrey.yaml";

/// Guards against validation that accepts or rejects the wrong file, and against a changed exit
/// code or output format.
#[test]
fn validate_reports_all_files() {
    insta::assert_snapshot!(transcripts(&[
        &["validate", VALID, "examples/brekkestad.yaml"],
        &["validate", VALID, FIVE_ERRORS],
        &["validate", "--output", "json", VALID],
        &["validate", "-"],
    ]));
}

/// Guards against findings that are missing from the JSON output.
#[test]
fn validate_prints_json() {
    let run = transcript(&["--output", "json", "validate", VALID, FIVE_ERRORS]);
    let json = run.lines().nth(1).expect("one line of JSON");
    let value: serde_json::Value = serde_json::from_str(json).expect("JSON");
    assert_eq!(value["files"][0]["valid"], true);
    assert_eq!(
        value["files"][1]["findings"].as_array().map(Vec::len),
        Some(5)
    );
    assert_eq!(value["files"][1]["findings"][0]["line"], 2);
    assert!(run.ends_with("-- exit 1 --\n"), "{run}");
}

/// Guards against wrong usage that scripts cannot distinguish from a refused configuration.
#[test]
fn wrong_usage_has_its_own_code() {
    insta::assert_snapshot!(transcripts(&[
        &[],
        &["validate"],
        &["validate", "no-such-file.yaml"],
        &["validate", "--output", "json", "no-such-file.yaml"],
        &["validate", "--output", "xml", VALID],
        &["--server", "nowhere", "validate", VALID],
        &[
            "keys",
            "certificate",
            "--host",
            "Entry",
            "--authority",
            "a",
            "--out",
            "b"
        ],
        &["completions", "ksh"],
    ]));
}

/// Guards against subcommands without help or examples.
#[test]
fn help_has_examples() {
    let names = [
        "validate",
        "apply",
        "get",
        "watch",
        "drain",
        "report",
        "status",
        "keys",
        "completions",
    ];
    let all: Vec<String> = names
        .iter()
        .map(|name| transcript(&[name, "--help"]))
        .collect();
    for run in &all {
        assert!(run.contains("Examples:\n  trefoilctl "), "{run}");
    }
    insta::assert_snapshot!(format!("{}\n{}", transcript(&["--help"]), all.join("\n")));
}

/// Guards against a report in a format that was not requested.
#[test]
fn the_report_has_the_requested_format() {
    let stub = StubDaemon::start(&[], InForce::Nothing);
    let address = stub.address.to_string();
    let report = |more: &[&str]| {
        let run = transcript(&[&["report", "--server", &address], more].concat());
        run.lines().skip(1).collect::<Vec<_>>().join("\n")
    };
    assert_eq!(report(&[]), "the report as text\n-- exit 0 --");
    assert_eq!(
        report(&["--output", "json"]),
        "the report as json\n-- exit 0 --"
    );
    assert_eq!(report(&["--html"]), "the report as html\n-- exit 0 --");
}

/// Guards against an unreachable daemon that is reported as one without resources.
#[test]
fn an_unreachable_daemon_has_its_own_code() {
    let free = TcpListener::bind("127.0.0.1:0")
        .expect("a free port")
        .local_addr();
    let nobody = free.expect("an address").to_string();
    for command in ["get", "watch", "status", "report", "drain"] {
        let run = transcript(&[command, "--server", &nobody]);
        assert!(
            run.contains("trefoilctl: cannot connect to 127.0.0.1:"),
            "{run}"
        );
        assert!(run.ends_with("-- exit 3 --\n"), "{run}");
    }
}

/// Guards against an environment variable that is ignored or takes precedence over the flag.
#[test]
fn the_server_comes_from_a_variable() {
    let stub = StubDaemon::start(&[], InForce::Nothing);
    let address = stub.address.to_string();
    let report = |server: &str, more: &[&str]| {
        let directory = Path::new(env!("CARGO_MANIFEST_DIR"));
        let variables = [("TREFOIL_SERVER", server)];
        transcript_with(directory, &variables, &[&["report"], more].concat())
    };
    assert!(report(&address, &[]).ends_with("-- exit 0 --\n"));
    assert!(report("127.0.0.1:1", &["--server", &address]).ends_with("-- exit 0 --\n"));
    assert!(report("nowhere", &[]).ends_with("-- exit 2 --\n"));
}

/// Guards against completion scripts that lack subcommands.
#[test]
fn completions_contain_the_subcommands() {
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        let run = transcript(&["completions", shell]);
        assert!(run.ends_with("-- exit 0 --\n"), "{shell}: {run}");
        for name in ["validate", "apply", "watch", "keys", "certificate"] {
            assert!(run.contains(name), "the script for {shell} lacks {name}");
        }
    }
}
