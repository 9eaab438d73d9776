//! Loss of a host or an upstream, by SIGKILL and SIGSTOP of separate processes.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use nix::sys::signal::Signal;
use serde_json::Value;

use super::deployment::{Deployment, call};
use trefoil_soak::eventually;

/// Maximum time from a loss until all keys are served again.
const TARGET: Duration = Duration::from_secs(4);

const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn deployment(hosts: usize, fenced: bool) -> Deployment {
    let mut deployment = Deployment::new();
    let flags: &[&str] = if fenced { &["--fenced"] } else { &[] };
    for (i, domain) in (1..=4).zip(DOMAINS.iter().cycle()) {
        deployment.upstream(&format!("offers-{i}"), domain, flags);
    }
    for (i, domain) in (1..=hosts).zip(DOMAINS.iter().cycle()) {
        deployment.daemon(&format!("host-{i}"), domain);
    }
    let resource = deployment.resource(fenced);
    let (status, verdict) = deployment.publish("host-1", &resource, 0);
    assert!(status.is_success(), "{verdict}");
    for i in 1..=hosts {
        let name = format!("host-{i}");
        eventually("every host serves", || serves(&deployment, &name));
    }
    deployment
}

fn keys() -> impl Iterator<Item = String> {
    (0..24).map(|k| format!("/offers/customer-{k}"))
}

fn serves(deployment: &Deployment, daemon: &str) -> Option<()> {
    let done = |path: String| {
        let mut request = Request::get(path).body(Bytes::new()).expect("a request");
        let timeout = http::HeaderValue::from_static("400");
        request.headers_mut().insert("trefoil-timeout-ms", timeout);
        deployment.send(daemon, request).outcome == "done"
    };
    keys().all(done).then_some(())
}

fn status(deployment: &Deployment, daemon: &str) -> Value {
    let request = Request::get("/v1/status")
        .body(Bytes::new())
        .expect("a request");
    let (_, body) = call(deployment.daemons[daemon].operator, request);
    serde_json::from_str(&body).expect("a status")
}

/// Waits until the members have witnesses and upstreams are spread, and names a dispatcher other
/// than `besides`.
fn dispatcher(deployment: &Deployment, besides: &str) -> String {
    eventually("dispatchers are spread", || {
        let status = status(deployment, besides);
        let upstreams = status["upstreams"].as_array()?.iter();
        let mut names = upstreams.filter_map(|u| u["dispatcher"].as_str());
        names.find(|n| *n != besides).map(str::to_owned)
    })
}

/// Guards against keys that stay unserved after the loss of their dispatcher.
#[test]
fn a_lost_dispatcher_is_replaced_within_the_target() {
    let mut deployment = deployment(5, true);
    let lost = dispatcher(&deployment, "host-1");
    // Waits until every lease has its witnesses, because a host without any has no successor.
    std::thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    deployment.daemons.remove(&lost).expect("it runs");
    eventually("served again", || serves(&deployment, "host-1"));
    let took = started.elapsed();
    println!(
        "lost dispatcher: served again after {} ms",
        took.as_millis()
    );
    assert!(took <= TARGET, "served again after {took:?}");
}

/// Guards against a takeover that depends on the log.
#[test]
fn a_lost_dispatcher_is_replaced_while_the_log_is_down() {
    let mut deployment = deployment(5, true);
    let lost = dispatcher(&deployment, "host-1");
    std::thread::sleep(Duration::from_secs(2));
    deployment.fault("\"down\"");
    let started = Instant::now();
    deployment.daemons.remove(&lost).expect("it runs");
    eventually("served again", || serves(&deployment, "host-1"));
    let took = started.elapsed();
    println!(
        "lost dispatcher, log down: served again after {} ms",
        took.as_millis()
    );
    assert!(took <= TARGET, "served again after {took:?}");
}

/// Guards against a suspended host that resumes after its lease has ended: the kernel kills it
/// while it is still stopped.
#[test]
fn a_host_suspended_past_its_lease_is_killed() {
    let mut deployment = deployment(5, false);
    let lost = dispatcher(&deployment, "host-1");
    std::thread::sleep(Duration::from_secs(2));
    let mut suspended = deployment.daemons.remove(&lost).expect("it runs");
    suspended.process.signal(Signal::SIGSTOP);
    eventually("served again", || serves(&deployment, "host-1"));
    // Without SIGCONT, only SIGKILL ends a stopped process.
    let status = suspended.process.wait();
    let signal = std::os::unix::process::ExitStatusExt::signal(&status);
    assert_eq!(signal, Some(Signal::SIGKILL as i32), "{status}");
}

/// Guards against keys that stay unserved after the loss of their upstream.
#[test]
fn a_lost_upstream_is_replaced_within_the_target() {
    let mut deployment = deployment(5, true);
    std::thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    deployment.upstreams.remove("offers-2").expect("it runs");
    eventually("served again", || serves(&deployment, "host-1"));
    let took = started.elapsed();
    println!("lost upstream: served again after {} ms", took.as_millis());
    assert!(took <= TARGET, "served again after {took:?}");
}

/// Guards against keys that wait for the log after the loss of their upstream, and against a
/// failover to the standby that is undone when the log recovers.
#[test]
fn a_lost_upstream_is_replaced_while_the_log_is_down() {
    let mut deployment = deployment(5, true);
    std::thread::sleep(Duration::from_secs(2));
    deployment.fault("\"down\"");
    let started = Instant::now();
    deployment.upstreams.remove("offers-2").expect("it runs");
    eventually("served again", || serves(&deployment, "host-1"));
    let took = started.elapsed();
    println!(
        "lost upstream, log down: served again after {} ms",
        took.as_millis()
    );
    assert!(took <= TARGET, "served again after {took:?}");

    deployment.fault("\"none\"");
    eventually("the loss is recorded", || {
        let status = status(&deployment, "host-1");
        let lost = status["upstreams"]
            .as_array()?
            .iter()
            .find(|u| u["name"] == "offers-2")?;
        (lost["shards"] == 0).then_some(())
    });
    assert!(
        serves(&deployment, "host-3").is_some(),
        "the standbys go on serving"
    );
}

/// Guards against a successor that serves keys which its predecessor handed to a standby while the
/// log was down.
#[test]
fn a_failover_outlives_its_dispatcher_while_the_log_is_down() {
    let mut deployment = deployment(5, true);
    std::thread::sleep(Duration::from_secs(2));
    deployment.fault("\"down\"");
    let before = status(&deployment, "host-1");
    let upstreams = before["upstreams"].as_array().expect("upstreams");
    let of = |name: &str| {
        let found = upstreams.iter().find(|u| u["name"] == name);
        found
            .and_then(|u| u["dispatcher"].as_str())
            .unwrap_or_default()
            .to_owned()
    };
    let suspended = upstreams.iter().filter_map(|u| u["name"].as_str());
    let suspended = suspended
        .filter(|n| of(n) != "host-1")
        .max()
        .expect("an upstream")
        .to_owned();
    deployment.upstreams[&suspended]
        .process
        .signal(Signal::SIGSTOP);
    eventually("the standbys serve", || serves(&deployment, "host-1"));
    let runs = |deployment: &Deployment| -> usize { deployment.runs(&suspended).len() };

    deployment.daemons.remove(&of(&suspended)).expect("it runs");
    eventually("served again", || serves(&deployment, "host-1"));
    deployment.upstreams[&suspended]
        .process
        .signal(Signal::SIGCONT);
    let runs_at_resume = runs(&deployment);
    for _ in 0..5 {
        assert!(serves(&deployment, "host-1").is_some(), "keys stay served");
        std::thread::sleep(Duration::from_millis(300));
    }
    assert_eq!(
        runs(&deployment),
        runs_at_resume,
        "the returned upstream gets no requests"
    );
}
