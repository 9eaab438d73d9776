//! `trefoilctl apply` against scripted answers.

use std::fs;

use serde_json::json;
use tempfile::TempDir;
use trefoil_log::{Keyring, Role, SignedRecord, Signer};

use super::stub::{Answer, Show, Stub, envelope};
use super::{redacted, session_in, session_with};
use crate::config::ROUTING;

fn accepted(revision: u64) -> Answer {
    Answer::Status(200, json!({ "Accepted": { "revision": revision } }))
}

fn conflict(current: u64) -> Answer {
    Answer::Status(409, json!({ "Conflict": { "current": current } }))
}

fn duplicate() -> Answer {
    Answer::Status(200, json!("\"Duplicate\""))
}

fn log_down() -> Answer {
    Answer::Status(
        503,
        json!("the record was not appended: the log is unavailable\n"),
    )
}

/// A directory with a resource and an operator's key.
fn directory() -> TempDir {
    let at = tempfile::tempdir().expect("a directory");
    fs::write(at.path().join("routing.yaml"), ROUTING).expect("a file");
    let key = Signer::generate().expect("a key");
    fs::write(at.path().join("operator.key"), key).expect("a file");
    at
}

/// Applies the resource, with a short time limit, and returns what was printed.
fn apply(stub: &Stub, more: &[&str]) -> String {
    let at = directory();
    let address = stub.address.to_string();
    let mut arguments = vec!["apply", "routing.yaml", "--key", "operator.key"];
    arguments.extend(["--server", &address, "--timeout", "1"]);
    arguments.extend(more);
    redacted(&session_in(at.path(), &arguments), &address)
}

fn applied(answers: &[Answer], show: Show) -> String {
    apply(&Stub::start(answers, show), &[])
}

/// Guards against a verdict that is told as another one, and against a wrong exit code.
#[test]
fn every_verdict_is_told() {
    let in_force = Show::Posted {
        revision: 8,
        everywhere: true,
    };
    let behind = Show::Posted {
        revision: 8,
        everywhere: false,
    };
    let rejected = json!({ "Rejected": { "reason": "unknown key or bad signature" } });
    insta::assert_snapshot!(
        [
            applied(&[accepted(8)], in_force),
            applied(&[accepted(8)], behind),
            applied(&[accepted(8)], Show::Nothing),
            applied(&[conflict(7)], Show::Other { revision: 7 }),
            applied(&[conflict(8)], in_force),
            applied(&[conflict(0)], Show::Nothing),
            applied(&[Answer::Status(422, rejected)], Show::Nothing),
            applied(
                &[Answer::Status(400, json!("not a signed record\n"))],
                Show::Nothing
            ),
            applied(&[log_down()], Show::Nothing),
        ]
        .join("\n")
    );
}

/// Guards against a lost answer that is told as accepted or refused without proof, and against a
/// second record for the same change.
#[test]
fn lost_answers_are_resolved_or_unknown() {
    let in_force = Show::Posted {
        revision: 8,
        everywhere: true,
    };
    let unknown = Answer::Status(502, json!("the record may have been appended\n"));
    insta::assert_snapshot!(
        [
            applied(&[Answer::Lost, accepted(8)], in_force),
            applied(&[Answer::Lost, duplicate()], in_force),
            applied(&[Answer::Lost, duplicate()], Show::Other { revision: 9 }),
            applied(&[Answer::Lost, duplicate()], Show::Same { revision: 9 }),
            applied(&[Answer::Lost, duplicate()], Show::Nothing),
            // The log does not have the second copy; it may still have the first.
            applied(&[Answer::Lost, log_down()], Show::Nothing),
            applied(&[unknown], Show::Nothing),
        ]
        .join("\n")
    );

    let stub = Stub::start(&[Answer::Lost, Answer::Lost, accepted(8)], in_force);
    let run = apply(&stub, &["--timeout", "5"]);
    assert!(
        run.ends_with("-- exit 2 --\n"),
        "--timeout is given twice: {run}"
    );
    let at = directory();
    let address = stub.address.to_string();
    let run = session_in(
        at.path(),
        &[
            "apply",
            "routing.yaml",
            "--key",
            "operator.key",
            "--server",
            &address,
        ],
    );
    assert!(run.ends_with("-- exit 0 --\n"), "{run}");
    let records = stub.records();
    assert_eq!(records.len(), 3);
    assert!(
        records.iter().all(|r| *r == records[0]),
        "one record, sent again"
    );
}

/// Guards against a record that hosts reject: wrong key, signature, base or content.
#[test]
fn the_record_is_signed_and_builds_on_the_files_revision() {
    let at = directory();
    let text = ROUTING.replace("name: waterworks", "name: waterworks\nrevision: 41");
    fs::write(at.path().join("routing.yaml"), &text).expect("a file");
    let stub = Stub::start(&[conflict(42)], Show::Nothing);
    let address = stub.address.to_string();
    let run = session_in(
        at.path(),
        &[
            "apply",
            "routing.yaml",
            "--key",
            "operator.key",
            "--server",
            &address,
        ],
    );
    assert!(
        run.contains("conflict: waterworks is at revision 42, the file builds on 41"),
        "{run}"
    );
    let data = &stub.records()[0];
    let record = SignedRecord::decode(data).expect("a signed record");
    let der = fs::read(at.path().join("operator.key")).expect("the key");
    let mut keys = Keyring::default();
    keys.add(
        Signer::from_pkcs8(&der).expect("a key").key(),
        Role::Operator,
    );
    let role = keys.verify(record.key(), record.signed_bytes(), record.signature());
    assert_eq!(role, Some(Role::Operator));
    assert_eq!(envelope(data).base.0, 41);
}

/// Guards against an operator's key that has to be on the command line.
#[test]
fn the_key_comes_from_a_variable_too() {
    let at = directory();
    let stub = Stub::start(&[conflict(3)], Show::Nothing);
    let address = stub.address.to_string();
    let variables = [
        ("TREFOIL_OPERATOR_KEY", "operator.key"),
        ("TREFOIL_SERVER", &address),
    ];
    let run = session_with(at.path(), &variables, &["apply", "routing.yaml"]);
    assert!(
        run.contains("conflict: waterworks is at revision 3"),
        "{run}"
    );
}

/// Guards against output that programs cannot read.
#[test]
fn verdicts_are_json() {
    let in_force = Show::Posted {
        revision: 8,
        everywhere: true,
    };
    let json = |answers: &[Answer], show| apply(&Stub::start(answers, show), &["--output", "json"]);
    insta::assert_snapshot!(
        [
            json(&[accepted(8)], in_force),
            json(&[conflict(7)], Show::Other { revision: 7 }),
            json(&[log_down()], Show::Nothing),
        ]
        .join("\n")
    );
}

/// Guards against a resource with mistakes that is sent, and against a missing key or daemon that
/// looks like a refusal.
#[test]
fn nothing_is_sent_without_a_valid_resource_and_key() {
    let at = directory();
    let five = include_str!("../files/routing-five.yaml");
    fs::write(at.path().join("five.yaml"), five).expect("a file");
    let stub = Stub::start(&[accepted(8)], Show::Nothing);
    let address = stub.address.to_string();
    // Nobody listens below the range of free ports, from which other tests take theirs.
    let nobody = "127.0.0.1:1".to_owned();
    let run = |arguments: &[&str]| {
        let run = session_in(at.path(), &[&["apply"], arguments].concat());
        redacted(&redacted(&run, &address), &nobody)
    };
    insta::assert_snapshot!(
        [
            run(&["five.yaml", "--key", "operator.key", "--server", &address]),
            run(&["routing.yaml", "--server", &address]),
            run(&["routing.yaml", "--key", "missing.key", "--server", &address]),
            run(&[
                "routing.yaml",
                "--key",
                "routing.yaml",
                "--server",
                &address
            ]),
            run(&[
                "routing.yaml",
                "--key",
                "operator.key",
                "--timeout",
                "1",
                "--server",
                &nobody
            ]),
        ]
        .join("\n")
    );
    assert_eq!(stub.records(), Vec::<Vec<u8>>::new());
}
