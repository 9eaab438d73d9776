//! Hosts that start or restart without the records that led to the current state.

use http::{Request, StatusCode};
use nix::sys::signal::Signal;
use serde_json::Value;
use trefoil_config::Routing;
use trefoil_core::Revision;
use trefoil_log::Body;

use super::deployment::{Deployment, call};
use trefoil_soak::eventually;

fn deployment(flags: &[&str]) -> Deployment {
    let mut deployment = Deployment::with_platform(flags);
    deployment.upstream("offers-1", "a", &[]);
    deployment.upstream("offers-2", "b", &[]);
    deployment
}

fn serves(deployment: &Deployment, daemon: &str) -> Option<()> {
    let done = |k| {
        let answer = deployment.get(daemon, &format!("/offers/customer-{k}"));
        answer.outcome == "done"
    };
    (0..10).all(done).then_some(())
}

/// Publishes the resource. Returns its revision.
fn publish(deployment: &Deployment, daemon: &str, base: u64) -> u64 {
    let resource = deployment.resource(false);
    let (status, verdict) = deployment.publish(daemon, &resource, base);
    assert_eq!(status, StatusCode::OK, "{verdict}");
    let verdict: Value = serde_json::from_str(&verdict).expect("a verdict");
    verdict["Accepted"]["revision"]
        .as_u64()
        .expect("a revision")
}

fn hosts(deployment: &Deployment, daemon: &str) -> usize {
    let status = deployment.status(daemon);
    status["hosts"].as_array().map_or(0, Vec::len)
}

/// Guards against a host that cannot start after retention has dropped the first records: it loads
/// a snapshot, serves the current configuration, and accepts changes through its operators' port.
#[test]
fn a_host_starts_after_retention_dropped_the_first_records() {
    let mut deployment = deployment(&["--retain", "24"]);
    deployment.snapshot_records = 8;
    deployment.daemon("host-1", "a");
    let mut revision = 0;
    for _ in 0..40 {
        revision = publish(&deployment, "host-1", revision);
    }
    eventually("host-1 serves", || serves(&deployment, "host-1"));
    deployment.daemon("host-2", "b");
    eventually("host-2 serves", || serves(&deployment, "host-2"));
    let next = publish(&deployment, "host-2", revision);
    assert!(next > revision, "{next} follows {revision}");
    eventually("host-1 has the change", || {
        let seen = deployment.status("host-1")["revision"].as_u64();
        (seen >= Some(next)).then_some(())
    });
}

/// Guards against a host that cannot serve because the log is down when it starts, and against one
/// that stays a mere ingress after the log has recovered.
#[test]
fn a_host_restarts_while_the_log_is_down() {
    let mut deployment = deployment(&[]);
    for (name, domain) in [("host-1", "a"), ("host-2", "b"), ("host-3", "c")] {
        deployment.daemon(name, domain);
    }
    let revision = publish(&deployment, "host-1", 0);
    for name in ["host-1", "host-2", "host-3"] {
        eventually("all hosts serve", || serves(&deployment, name));
    }
    deployment.fault("\"down\"");
    deployment.seeds = ["host-1", "host-2", "host-3"]
        .map(|h| deployment.daemons[h].peer)
        .to_vec();
    let mut killed = deployment.daemons.remove("host-3").expect("host-3 runs");
    killed.process.signal(Signal::SIGKILL);
    killed.process.wait();
    deployment.daemon("host-3", "c");
    eventually("host-3 serves without the log", || {
        serves(&deployment, "host-3")
    });
    let status = deployment.status("host-3");
    let log = status["log"].as_str().unwrap_or_default();
    assert!(log.starts_with("unavailable"), "{status}");

    deployment.fault("\"none\"");
    eventually("host-3 reads the log", || {
        (deployment.status("host-3")["log"] == "read").then_some(())
    });
    let next = publish(&deployment, "host-3", revision);
    assert!(next > revision, "{next} follows {revision}");
    eventually("host-3 serves with its lease", || {
        serves(&deployment, "host-3")
    });
    assert_eq!(hosts(&deployment, "host-3"), 3, "host-3 has joined once");
}

/// Guards against a restart of all hosts that loses the configuration or leaves keys without a
/// dispatcher: the new incarnations replace the old ones at their addresses.
#[test]
fn all_hosts_are_killed_and_restarted() {
    let mut deployment = deployment(&[]);
    deployment.daemon("host-1", "a");
    deployment.daemon("host-2", "b");
    let revision = publish(&deployment, "host-1", 0);
    for name in ["host-1", "host-2"] {
        eventually("both hosts serve", || serves(&deployment, name));
    }
    for (_, mut daemon) in std::mem::take(&mut deployment.daemons) {
        daemon.process.signal(Signal::SIGKILL);
        daemon.process.wait();
    }
    deployment.daemon("host-1", "a");
    deployment.daemon("host-2", "b");
    for name in ["host-1", "host-2"] {
        eventually("both hosts serve again", || serves(&deployment, name));
        assert_eq!(hosts(&deployment, name), 2, "the old incarnations are gone");
    }
    let next = publish(&deployment, "host-2", revision);
    assert!(next > revision, "the configuration was still in force");
}

/// Guards against a daemon that accepts a resource with invalid contents, and against a resource of
/// this kind in the log, which an older version may have accepted, that stops a host or makes it
/// append records without end.
#[test]
fn an_invalid_resource_is_refused_and_does_no_harm() {
    let mut deployment = deployment(&[]);
    deployment.daemon("host-1", "a");
    publish(&deployment, "host-1", 0);
    eventually("host-1 serves", || serves(&deployment, "host-1"));

    let valid = Routing::from_yaml(&deployment.resource(false), "test").expect("valid");
    let mut invalid = valid.clone();
    invalid.name = "invalid".parse().expect("a name");
    let service = &mut invalid.spec.services[0];
    service.name = "other".parse().expect("a name");
    service.upstreams.truncate(1);
    service.upstreams[0].name = "other-1".parse().expect("a name");
    service.upstreams[0].address.set_port(9);
    service.shards = 1_000;
    service.limits.slots = 0;
    let record = deployment.record(invalid);
    let request = Request::post("/v1/records").body(record.clone());
    let operator = deployment.daemons["host-1"].operator;
    let (status, body) = call(operator, request.expect("a request"));
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY, "{body}");
    assert!(body.contains("2 mistakes"), "{body}");
    assert!(
        body.contains("power of two") && body.contains("slots"),
        "{body}"
    );

    let revision = || deployment.status("host-1")["revision"].as_u64();
    let (before, appended) = (revision(), deployment.appended());
    deployment.append(record);
    eventually("the record is replayed", || {
        (revision() > before).then_some(())
    });
    // Rejected records do not raise the revision, so the records in the log are counted.
    std::thread::sleep(std::time::Duration::from_secs(2));
    let grown = deployment.appended() - appended;
    // The resource, the assignment of its dispatcher, and at most one rebalancing plan, because a
    // load window is 10 s. A host that plans without end does so every 250 ms and would write 8.
    assert!(
        grown <= 3,
        "the resource, its dispatcher and a plan, not {grown} records"
    );
    assert!(serves(&deployment, "host-1").is_some());
    let answer = deployment.get("host-1", "/other/customer-1");
    assert_eq!(answer.outcome, "not-run", "{}", answer.body);
}

/// Guards against a host that hangs, or serves an outdated view, when the log needs a newer build:
/// the process exits with an error.
#[test]
fn a_host_exits_at_an_unknown_level() {
    let deployment = deployment(&[]);
    deployment.append(deployment.signed(Revision(0), Body::FormatLevel { format: 2 }));
    let mut process = deployment.waiting("host-1", "a");
    assert_eq!(process.wait().code(), Some(1));
}

/// Guards against a process that does not react to a signal while it waits for the log.
#[test]
fn a_host_that_waits_for_the_log_can_be_stopped() {
    let deployment = deployment(&[]);
    deployment.fault("\"down\"");
    let mut process = deployment.waiting("host-1", "a");
    std::thread::sleep(std::time::Duration::from_secs(1));
    process.signal(Signal::SIGTERM);
    assert!(process.wait().success());
}
