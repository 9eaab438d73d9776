//! Tests of `trefoilctl apply` against a stub daemon with scripted responses.

use std::fs;

use serde_json::json;
use tempfile::TempDir;
use trefoil_log::{Keyring, Role, SignedRecord, Signer};

use super::stub::{InForce, Response, StubDaemon, envelope};
use super::{redact, transcript_in, transcript_with};
use crate::config::ROUTING;

fn accepted(revision: u64) -> Response {
    Response::Status(200, json!({ "Accepted": { "revision": revision } }))
}

fn conflict(current: u64) -> Response {
    Response::Status(409, json!({ "Conflict": { "current": current } }))
}

fn duplicate() -> Response {
    Response::Status(200, json!("\"Duplicate\""))
}

fn log_down() -> Response {
    Response::Status(
        503,
        json!("the record was not appended: the log is unavailable\n"),
    )
}

/// Creates a directory with a resource and an operator's key.
fn directory() -> TempDir {
    let at = tempfile::tempdir().expect("a directory");
    fs::write(at.path().join("routing.yaml"), ROUTING).expect("a file");
    let key = Signer::generate().expect("a key");
    fs::write(at.path().join("operator.key"), key).expect("a file");
    at
}

/// Applies the resource with a timeout of 1 s and returns the transcript.
fn apply(stub: &StubDaemon, more: &[&str]) -> String {
    let at = directory();
    let address = stub.address.to_string();
    let mut arguments = vec!["apply", "routing.yaml", "--key", "operator.key"];
    arguments.extend(["--server", &address, "--timeout", "1"]);
    arguments.extend(more);
    redact(&transcript_in(at.path(), &arguments), &address)
}

fn applied(responses: &[Response], shown: InForce) -> String {
    apply(&StubDaemon::start(responses, shown), &[])
}

/// Guards against a verdict that is reported as a different one, and against a wrong exit code.
#[test]
fn every_verdict_is_reported() {
    let in_force = InForce::Posted {
        revision: 8,
        everywhere: true,
    };
    let behind = InForce::Posted {
        revision: 8,
        everywhere: false,
    };
    let rejected = json!({ "Rejected": { "reason": "unknown key or bad signature" } });
    insta::assert_snapshot!(
        [
            applied(&[accepted(8)], in_force),
            applied(&[accepted(8)], behind),
            applied(&[accepted(8)], InForce::Nothing),
            applied(&[conflict(7)], InForce::Other { revision: 7 }),
            applied(&[conflict(8)], in_force),
            applied(&[conflict(0)], InForce::Nothing),
            applied(&[Response::Status(422, rejected)], InForce::Nothing),
            applied(
                &[Response::Status(400, json!("not a signed record\n"))],
                InForce::Nothing
            ),
            applied(&[log_down()], InForce::Nothing),
        ]
        .join("\n")
    );
}

/// Guards against reporting a change as accepted or refused without proof after a lost response,
/// and against a second record for the same change.
#[test]
fn lost_answers_are_resolved_or_unknown() {
    let in_force = InForce::Posted {
        revision: 8,
        everywhere: true,
    };
    let unknown = Response::Status(502, json!("the record may have been appended\n"));
    insta::assert_snapshot!(
        [
            applied(&[Response::Lost, accepted(8)], in_force),
            applied(&[Response::Lost, duplicate()], in_force),
            applied(
                &[Response::Lost, duplicate()],
                InForce::Other { revision: 9 }
            ),
            applied(
                &[Response::Lost, duplicate()],
                InForce::Same { revision: 9 }
            ),
            applied(&[Response::Lost, duplicate()], InForce::Nothing),
            // The second copy is not in the log, but the first one may be.
            applied(&[Response::Lost, log_down()], InForce::Nothing),
            applied(&[unknown], InForce::Nothing),
        ]
        .join("\n")
    );

    let stub = StubDaemon::start(&[Response::Lost, Response::Lost, accepted(8)], in_force);
    let run = apply(&stub, &["--timeout", "5"]);
    assert!(
        run.ends_with("-- exit 2 --\n"),
        "--timeout is given twice: {run}"
    );
    let at = directory();
    let address = stub.address.to_string();
    let run = transcript_in(
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
        "every attempt sends the same record"
    );
}

/// Guards against a record that hosts would reject for its key, signature, base or content.
#[test]
fn the_record_is_signed_and_builds_on_the_files_revision() {
    let at = directory();
    let text = ROUTING.replace("name: waterworks", "name: waterworks\nrevision: 41");
    fs::write(at.path().join("routing.yaml"), &text).expect("a file");
    let stub = StubDaemon::start(&[conflict(42)], InForce::Nothing);
    let address = stub.address.to_string();
    let run = transcript_in(
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

/// Guards against an operator's key that can only be given on the command line.
#[test]
fn the_key_comes_from_a_variable_too() {
    let at = directory();
    let stub = StubDaemon::start(&[conflict(3)], InForce::Nothing);
    let address = stub.address.to_string();
    let variables = [
        ("TREFOIL_OPERATOR_KEY", "operator.key"),
        ("TREFOIL_SERVER", &address),
    ];
    let run = transcript_with(at.path(), &variables, &["apply", "routing.yaml"]);
    assert!(
        run.contains("conflict: waterworks is at revision 3"),
        "{run}"
    );
}

/// Guards against output that programs cannot parse.
#[test]
fn verdicts_are_json() {
    let in_force = InForce::Posted {
        revision: 8,
        everywhere: true,
    };
    let json = |responses: &[Response], shown| {
        apply(&StubDaemon::start(responses, shown), &["--output", "json"])
    };
    insta::assert_snapshot!(
        [
            json(&[accepted(8)], in_force),
            json(&[conflict(7)], InForce::Other { revision: 7 }),
            json(&[log_down()], InForce::Nothing),
        ]
        .join("\n")
    );
}

/// Guards against sending an invalid resource, and against reporting a missing key or an
/// unreachable daemon as a refusal.
#[test]
fn nothing_is_sent_without_a_valid_resource_and_key() {
    let at = directory();
    let five = include_str!("../files/routing-five.yaml");
    fs::write(at.path().join("five.yaml"), five).expect("a file");
    let stub = StubDaemon::start(&[accepted(8)], InForce::Nothing);
    let address = stub.address.to_string();
    // No process listens on this port: it is below the ephemeral range, from which other tests get
    // their ports.
    let nobody = "127.0.0.1:1".to_owned();
    let run = |arguments: &[&str]| {
        let run = transcript_in(at.path(), &[&["apply"], arguments].concat());
        redact(&redact(&run, &address), &nobody)
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
