//! Tests of `trefoilctl keys`.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::sync::Arc;

use trefoil_config::PublicKey;
use trefoil_core::SystemClock;
use trefoil_wire::keys::{Identity, KeyPem};

use super::transcript_in;

/// Creates an empty directory for one test.
fn directory(test: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("ctl-keys-{test}"));
    drop(fs::remove_dir_all(&path));
    fs::create_dir_all(&path).expect("a new directory");
    path
}

/// Guards against a private key that other users can read or that a second run overwrites, and
/// against printing a public key that does not match the file.
#[test]
fn signing_keys_are_private_and_never_replaced() {
    let at = directory("signing");
    let created = transcript_in(&at, &["keys", "operator", "--out", "operator.key"]);
    let public = created.lines().nth(1).expect("the public key");
    public.parse::<PublicKey>().expect("a public key");
    let mode = fs::metadata(at.join("operator.key"))
        .expect("the key")
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);

    let shown = transcript_in(&at, &["keys", "public", "operator.key", "--output", "json"]);
    assert!(
        shown.contains(&format!("\"public\":\"{public}\"")),
        "{shown}"
    );

    let before = fs::read(at.join("operator.key")).expect("the key");
    let again = transcript_in(&at, &["keys", "host", "--out", "operator.key"]);
    assert!(again.ends_with("-- exit 2 --\n"), "{again}");
    assert_eq!(fs::read(at.join("operator.key")).expect("the key"), before);

    fs::write(at.join("other"), "text").expect("a file");
    insta::assert_snapshot!(transcript_in(&at, &["keys", "public", "other"]));
}

/// Guards against host certificates that a daemon would not accept.
#[test]
fn issued_certificates_identify_the_host() {
    let at = directory("certificates");
    let authority = ["keys", "authority", "--name", "test", "--out", "authority"];
    let certificate = [
        "keys",
        "certificate",
        "--host",
        "entry-01",
        "--authority",
        "authority",
        "--out",
        "entry.01",
    ];
    insta::assert_snapshot!(
        [
            transcript_in(&at, &authority),
            transcript_in(&at, &certificate),
            transcript_in(&at, &certificate),
        ]
        .join("\n")
    );
    let read = |name: &str| fs::read_to_string(at.join(name)).expect("a written file");
    let pem = KeyPem {
        cert: read("entry.01.pem"),
        key: read("entry.01.key.pem"),
    };
    let identity = Identity::from_pem(&read("authority.pem"), &pem).expect("an identity");
    assert_eq!(identity.peer().0.as_str(), "entry-01");
    let clock: Arc<dyn trefoil_core::Clock> = Arc::new(SystemClock);
    identity.server_tls(&clock, &[]).expect("usable for TLS");
    for key in ["authority.key.pem", "entry.01.key.pem"] {
        let mode = fs::metadata(at.join(key))
            .expect("the key")
            .permissions()
            .mode();
        assert_eq!(mode & 0o777, 0o600, "{key}");
    }
}
