//! Settings of the daemon process.

use std::fs;
use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Output};

use trefoil_config::settings::{SETTING_PATHS, flag_name};

use super::deployment::Deployment;

fn trefoild(arguments: &[&str], variables: &[(&str, &str)]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_trefoild"))
        .args(arguments)
        .env_clear()
        .envs(variables.iter().copied())
        .output()
        .expect("trefoild runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn path(path: &Path) -> &str {
    path.to_str().expect("UTF-8")
}

/// Guards against settings whose mistakes are reported one at a time, or only after sockets were
/// opened: the port is in use, so a process that opened it first would report that instead.
#[test]
fn five_mistakes_are_reported_before_a_socket_opens() {
    let deployment = Deployment::new();
    let file = deployment.settings("host-1", "a");
    let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = taken.local_addr().expect("an address").to_string();
    let valid = fs::read_to_string(&file).expect("the settings");
    let valid = valid.replace("caller: 127.0.0.1:0", &format!("caller: {address}"));
    let broken = valid
        .replace("domain: a", "domain: A")
        .replace("peer: 127.0.0.1:0", "peer: somewhere")
        .replace("region: test", "region: test\nlog-level: loud")
        .replace("hosts: [", "hosts: [\"00\", ")
        .replace("platform: {", "limits: { header: 100 }\nplatform: {");
    let mistakes = file.with_file_name("five.yaml");
    fs::write(&mistakes, broken).expect("written");
    for command in ["run", "check"] {
        let output = trefoild(&[command, "--settings", path(&mistakes)], &[]);
        let error = text(&output.stderr);
        assert_eq!(output.status.code(), Some(1), "{error}");
        let lines: Vec<_> = error.lines().collect();
        assert_eq!(lines.len(), 5, "{error}");
        let place = format!("{}:", mistakes.display());
        let number = |line: &&str| {
            let rest = line.strip_prefix(&place).expect("the file's name");
            rest.split(':').next().and_then(|n| n.parse::<u32>().ok())
        };
        let numbers: Vec<_> = lines.iter().filter_map(number).collect();
        assert_eq!(numbers, [2, 4, 6, 10, 18], "{error}");
    }

    fs::write(&file, valid).expect("written");
    let output = trefoild(&["run", "--settings", path(&file)], &[]);
    let error = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{error}");
    assert!(
        error.contains(&format!("the caller port {address}")),
        "{error}"
    );
}

/// Guards against a setting without a flag, and against a precedence other than flags, environment,
/// file.
#[test]
fn flags_override_the_environment_and_the_file() {
    let deployment = Deployment::new();
    let file = deployment.settings("host-1", "a");
    let check = ["check", "--settings", path(&file)];
    let host = |flags: &[&str], variables: &[(&str, &str)]| {
        let output = trefoild(&[&check, flags].concat(), variables);
        assert!(output.status.success(), "{}", text(&output.stderr));
        text(&output.stdout)
    };
    let variables = [("TREFOIL_NAME", "from-variable")];
    assert_eq!(host(&[], &[]), "settings of host host-1 are valid\n");
    assert_eq!(
        host(&[], &variables),
        "settings of host from-variable are valid\n"
    );
    let flags = ["--name", "from-flag"];
    assert_eq!(
        host(&flags, &variables),
        "settings of host from-flag are valid\n"
    );

    for command in ["run", "check"] {
        let help = text(&trefoild(&[command, "--help"], &[]).stdout);
        for setting in SETTING_PATHS {
            assert!(
                help.contains(&format!("--{} ", flag_name(setting))),
                "{setting}: {help}"
            );
        }
        assert!(
            help.contains("Examples:") && help.contains("Exit codes:"),
            "{help}"
        );
    }
}

/// Guards against findings that do not name the flag or variable, and against missing files that
/// are reported one at a time.
#[test]
fn mistakes_in_flags_and_files_are_reported_together() {
    let deployment = Deployment::new();
    let file = deployment.settings("host-1", "a");
    let check = ["check", "--settings", path(&file)];
    let flags = ["--limits-header", "5", "--peer", "x"];
    let output = trefoild(&[&check[..], &flags].concat(), &[("TREFOIL_CALLER", "y")]);
    let error = text(&output.stderr);
    let starts: Vec<_> = error.lines().filter_map(|l| l.split(':').next()).collect();
    assert_eq!(
        starts,
        ["--limits-header", "--peer", "TREFOIL_CALLER"],
        "{error}"
    );

    let flags = [
        "--tls-key",
        "/nowhere/1",
        "--tls-authority",
        "/nowhere/2",
        "--keys-signing",
        "/nowhere/3",
    ];
    let output = trefoild(&[&check[..], &flags].concat(), &[]);
    let error = text(&output.stderr);
    assert_eq!(
        (output.status.code(), error.lines().count()),
        (Some(1), 3),
        "{error}"
    );

    let output = trefoild(&["check", "--nothing", "x"], &[]);
    assert_eq!(output.status.code(), Some(2), "{}", text(&output.stderr));
}
