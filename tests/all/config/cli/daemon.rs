//! Tests of `trefoilctl` with a real entry host on an in-memory log.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use tempfile::TempDir;
use trefoil_core::{Clock, SystemClock};
use trefoil_daemon::{Node, NodeConfig};
use trefoil_log::{Keyring, MemoryLog, Role, Signer};
use trefoil_wire::Authority;

use super::{command, redact, transcript_in};
use crate::config::{ROUTING, replace_once};

const DAY: Duration = Duration::from_hours(24);

/// An entry host, and a directory with the operator's key and a resource.
struct Host {
    node: Node,
    directory: TempDir,
}

impl Host {
    fn start() -> Self {
        let directory = tempfile::tempdir().expect("a directory");
        let at = directory.path();
        let created = transcript_in(at, &["keys", "operator", "--out", "operator.key"]);
        assert!(created.ends_with("-- exit 0 --\n"), "{created}");
        fs::write(at.join("routing.yaml"), ROUTING).expect("a file");

        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let name = "entry-01".parse().expect("a name");
        let authority = Authority::create("test", clock.unix(), DAY).expect("an authority");
        let identity = authority
            .issue_identity(&name, clock.unix(), DAY)
            .expect("an identity");
        let der = Signer::generate().expect("a key");
        let signer = Signer::from_pkcs8(&der).expect("a key");
        let mut keys = Keyring::default();
        let der = fs::read(at.join("operator.key")).expect("the key");
        keys.add(
            Signer::from_pkcs8(&der).expect("a key").key(),
            Role::Operator,
        );
        keys.add(signer.key(), Role::Host);
        let log = Arc::new(MemoryLog::new(clock, 1000));
        let (region, domain) = ("north".parse(), "a".parse());
        let (region, domain) = (region.expect("a name"), domain.expect("a name"));
        let config = NodeConfig::new(name, region, domain, identity, signer, log).keys(keys);
        let node = smol::block_on(Node::start(config)).expect("the host starts");
        Self { node, directory }
    }

    fn path(&self) -> &Path {
        self.directory.path()
    }

    fn run(&self, arguments: &[&str]) -> String {
        let address = self.node.addresses().operator.to_string();
        let mut all = arguments.to_vec();
        all.extend(["--server", &address]);
        let run = redact(&transcript_in(self.path(), &all), &address);
        run.replace(&self.node.addresses().caller.to_string(), "CALLER")
    }
}

/// Replaces the revisions, which depend on how many records the host and its planner have written.
fn redact_revisions(run: &str) -> String {
    let parts = run.split("revision ").enumerate().map(|(i, part)| match i {
        0 => part.to_owned(),
        _ => format!(
            "revision N{}",
            part.trim_start_matches(|c: char| c.is_ascii_digit())
        ),
    });
    let lines = parts.collect::<String>();
    let lines = lines
        .lines()
        .map(|line| match line.strip_prefix("revision: ") {
            Some(_) => "revision: N",
            None => line,
        });
    lines.collect::<Vec<_>>().join("\n")
}

/// Guards against a command that is incompatible with the daemon of the same version in publishing,
/// in a conflict of two operators, in reading a resource, or in publishing a changed version.
#[test]
fn a_resource_is_published_changed_and_read() {
    let host = Host::start();
    let apply = ["apply", "routing.yaml", "--key", "operator.key"];
    let before = host.run(&["get"]);
    let first = host.run(&apply);
    let again = host.run(&apply);
    let got = host.run(&["get", "waterworks"]);
    insta::assert_snapshot!(redact_revisions(
        &[before, first, again, got.clone()].join("\n")
    ));

    let resource: Vec<&str> = got
        .lines()
        .skip(1)
        .take_while(|l| !l.starts_with("-- exit"))
        .collect();
    let changed = resource.join("\n").replace("slots: 4", "slots: 3");
    fs::write(host.path().join("routing.yaml"), changed).expect("a file");
    let second = host.run(&apply);
    assert!(
        second.contains("\naccepted: waterworks revision "),
        "{second}"
    );
    let json = host.run(&["get", "waterworks", "--output", "json"]);
    let value: serde_json::Value =
        serde_json::from_str(json.lines().nth(1).expect("one line")).expect("JSON");
    assert_eq!(
        value["resource"]["spec"]["services"][0]["limits"]["slots"],
        3
    );
    assert_eq!(value["everywhere"], true);
    smol::block_on(host.node.drain());
}

/// Guards against wrong reports about a key that does not belong to an operator, and about unknown
/// or invalid names.
#[test]
fn refusals_by_the_daemon_are_reported() {
    let host = Host::start();
    let created = host.run(&["keys", "operator", "--out", "stranger.key"]);
    assert!(created.ends_with("-- exit 0 --\n"), "{created}");
    insta::assert_snapshot!(
        [
            host.run(&["apply", "routing.yaml", "--key", "stranger.key"]),
            host.run(&["get", "nothing"]),
            host.run(&["get", "NOTHING"]),
        ]
        .join("\n")
    );
    smol::block_on(host.node.drain());
}

/// Guards against changes that `watch` misses, prints twice, or does not print as one line each.
#[test]
fn changes_are_watched() {
    let host = Host::start();
    let apply = ["apply", "routing.yaml", "--key", "operator.key"];
    let applied = host.run(&apply);
    assert!(applied.ends_with("-- exit 0 --\n"), "{applied}");
    let address = host.node.addresses().operator.to_string();
    let watch = [
        "watch", "--count", "2", "--output", "json", "--server", &address,
    ];
    let mut child = command(host.path(), &watch)
        .stdout(Stdio::piped())
        .spawn()
        .expect("trefoilctl runs");
    let mut lines = BufReader::new(child.stdout.take().expect("a pipe")).lines();
    let mut next = |change: &str| {
        let line = lines.next().expect("a line").expect("UTF-8");
        let value: serde_json::Value = serde_json::from_str(&line).expect("JSON");
        assert_eq!(
            (&value["name"], &value["change"]),
            (&"waterworks".into(), &change.into())
        );
        value["revision"].as_u64().expect("a number")
    };
    let first = next("accepted");
    assert_eq!(next("in-force"), first);
    // Waits until the daemon has queried the hosts several times without any change. Otherwise a
    // change that is printed twice would not be detected.
    std::thread::sleep(Duration::from_millis(1300));
    let text = format!("name: waterworks\nrevision: {first}");
    let text = replace_once(ROUTING, "name: waterworks", &text);
    fs::write(host.path().join("routing.yaml"), text).expect("a file");
    let applied = host.run(&apply);
    assert!(applied.ends_with("-- exit 0 --\n"), "{applied}");
    let second = next("accepted");
    assert!(second > first, "{second}");
    assert!(child.wait().expect("watch ends").success());

    let later = host.run(&["watch", "--count", "1", "--from", &first.to_string()]);
    let start = format!("revision {second}: waterworks, accepted TIME\n-- exit 0 --\n");
    assert!(later.ends_with(&start), "{later}");
    smol::block_on(host.node.drain());
}

/// Guards against a status without some hosts or upstreams, and against a host that is still ready
/// after a drain.
#[test]
fn status_and_drain() {
    let host = Host::start();
    let applied = host.run(&["apply", "routing.yaml", "--key", "operator.key"]);
    assert!(applied.ends_with("-- exit 0 --\n"), "{applied}");
    let before = host.run(&["status"]);
    for part in [
        "host entry-01: ready, revision ",
        "\nentry-01  a       CALLER\n",
        "\nlookup-1  lookup ",
    ] {
        assert!(before.contains(part), "{before}");
    }
    let drained = host.run(&["drain"]);
    assert!(
        drained.ends_with("SERVER: draining\n-- exit 0 --\n"),
        "{drained}"
    );
    let after = host.run(&["status", "--output", "json"]);
    assert!(after.contains("\"ready\":false"), "{after}");
    smol::block_on(host.node.drain());
}
