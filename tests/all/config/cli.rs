//! Runs of `trefoilctl` that need no daemon.

mod apply;
mod daemon;
mod keys;
mod stub;

use std::path::Path;
use std::process::{Command, Stdio};

/// What one run printed, and how it ended.
fn session(arguments: &[&str]) -> String {
    session_in(Path::new(env!("CARGO_MANIFEST_DIR")), arguments)
}

fn session_in(directory: &Path, arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_trefoilctl"))
        .args(arguments)
        .current_dir(directory)
        .env_clear()
        .stdin(Stdio::null())
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

/// A run without what differs between two runs: the address and the times.
fn redacted(run: &str, address: &str) -> String {
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

fn sessions(all: &[&[&str]]) -> String {
    let runs: Vec<String> = all.iter().map(|arguments| session(arguments)).collect();
    runs.join("\n")
}

const FIVE: &str = "tests/all/config/files/routing-five.yaml";
const VALID: &str = "examples/monterrey.yaml";

/// Guards against a validation that passes or refuses the wrong file, and against another exit
/// code or form of the result.
#[test]
fn validate_reports_all_files() {
    insta::assert_snapshot!(sessions(&[
        &["validate", VALID, "examples/brekkestad.yaml"],
        &["validate", VALID, FIVE],
        &["validate", "--output", "json", VALID],
        &["validate", "-"],
    ]));
}

/// Guards against findings that JSON output loses.
#[test]
fn validate_prints_json() {
    let run = session(&["--output", "json", "validate", VALID, FIVE]);
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

/// Guards against wrong usage that looks like a refused configuration to a script.
#[test]
fn wrong_usage_has_its_own_code() {
    insta::assert_snapshot!(sessions(&[
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
        .map(|name| session(&[name, "--help"]))
        .collect();
    for run in &all {
        assert!(run.contains("Examples:\n  trefoilctl "), "{run}");
    }
    insta::assert_snapshot!(format!("{}\n{}", session(&["--help"]), all.join("\n")));
}

/// Guards against scripts for a shell that lack the subcommands.
#[test]
fn completions_know_the_subcommands() {
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        let run = session(&["completions", shell]);
        assert!(run.ends_with("-- exit 0 --\n"), "{shell}: {run}");
        for name in ["validate", "apply", "watch", "keys", "certificate"] {
            assert!(run.contains(name), "the script for {shell} lacks {name}");
        }
    }
}
