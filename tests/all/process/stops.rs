//! Graceful shutdowns and outages of the platform.

use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use http::{Request, StatusCode};
use nix::sys::signal::Signal;

use super::deployment::{Deployment, send};
use trefoil_soak::eventually;

fn two_hosts(flags: &[&str]) -> Deployment {
    let mut deployment = Deployment::new();
    deployment.upstream("offers-1", "a", flags);
    deployment.upstream("offers-2", "b", flags);
    deployment.daemon("host-1", "a");
    deployment.daemon("host-2", "b");
    deployment
}

fn post(key: u32, id: &str) -> Request<Bytes> {
    let request = Request::post(format!("/offers/customer-{key}")).header("idempotency-key", id);
    request
        .body(Bytes::from_static(b"order"))
        .expect("a request")
}

fn serves(deployment: &Deployment, daemon: &str) -> Option<()> {
    let done = |k| {
        deployment
            .get(daemon, &format!("/offers/customer-{k}"))
            .outcome
            == "done"
    };
    (0..10).all(done).then_some(())
}

/// Guards against a graceful shutdown that interrupts requests (P7): while a host drains under
/// load, every request through the other host gets a complete answer with the outcome done, also if
/// the draining host is the dispatcher.
#[test]
fn a_drain_under_load_cuts_nothing() {
    let mut deployment = two_hosts(&["--work-ms", "20"]);
    let resource = deployment.resource(false);
    let (status, verdict) = deployment.publish("host-1", &resource, 0);
    assert_eq!(status, StatusCode::OK, "{verdict}");
    eventually("both hosts serve", || {
        serves(&deployment, "host-1").and_then(|()| serves(&deployment, "host-2"))
    });

    let stop = AtomicBool::new(false);
    let address = deployment.daemons["host-2"].caller;
    let mut leaving = deployment.daemons.remove("host-1").expect("host-1 runs");
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..6)
            .map(|caller| {
                let stop = &stop;
                scope.spawn(move || {
                    let mut answers = Vec::new();
                    for i in 0..200 {
                        if stop.load(Ordering::SeqCst) {
                            break;
                        }
                        let request = post(i, &format!("{caller}-{i}"));
                        answers.push(send(address, request).expect("a whole answer"));
                    }
                    answers
                })
            })
            .collect();
        std::thread::sleep(std::time::Duration::from_millis(300));
        leaving.process.signal(Signal::SIGTERM);
        let status = leaving.process.wait();
        assert!(
            status.success(),
            "a drained host exits with 0, got {status}"
        );
        std::thread::sleep(std::time::Duration::from_millis(300));
        stop.store(true, Ordering::SeqCst);
        for caller in callers {
            for answer in caller.join().expect("the caller's thread") {
                let reported = (answer.status, answer.outcome.as_str());
                assert_eq!(reported, (StatusCode::OK, "done"), "{}", answer.body);
            }
        }
    });
}

/// Guards against trust in the log's answers: a record whose answer was lost is accepted, a record
/// that was appended twice takes effect once, and a record that the log refused is not accepted.
#[test]
fn publishing_tolerates_faults_of_the_log() {
    let deployment = two_hosts(&[]);
    let resource = deployment.resource(false);
    deployment.fault("\"answer-lost\"");
    let (status, verdict) = deployment.publish("host-1", &resource, 0);
    assert_eq!(status, StatusCode::OK, "{verdict}");
    let revision = verdict
        .split(|c: char| !c.is_ascii_digit())
        .find(|w| !w.is_empty());
    let revision: u64 = revision.and_then(|r| r.parse().ok()).expect("a revision");

    deployment.fault("\"twice\"");
    let (status, verdict) = deployment.publish("host-2", &resource, revision);
    assert_eq!(status, StatusCode::OK, "{verdict}");

    let (status, verdict) = deployment.publish("host-1", &resource, revision);
    assert_eq!(
        status,
        StatusCode::CONFLICT,
        "the second operator gets a conflict: {verdict}"
    );

    deployment.fault("\"none\"");
    eventually("host-1 serves", || serves(&deployment, "host-1"));
    deployment.fault("\"down\"");
    let (status, body) = deployment.publish("host-1", &resource, 0);
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{body}");
    assert!(
        serves(&deployment, "host-2").is_some(),
        "keys are served while the log is down"
    );
}

/// Guards against a retry of a non-idempotent request whose answer is late (P5): the reported
/// outcome is unknown, and the upstream executes the request at most once.
#[test]
fn a_frozen_upstream_runs_a_request_once() {
    let mut deployment = Deployment::new();
    deployment.upstream("offers-1", "a", &[]);
    deployment.daemon("host-1", "a");
    let resource = deployment.resource(false);
    deployment.publish("host-1", &resource, 0);
    eventually("host-1 serves", || serves(&deployment, "host-1"));
    let before = deployment.runs("offers-1").len();

    deployment.upstreams["offers-1"]
        .process
        .signal(Signal::SIGSTOP);
    let mut request = post(1, "order-1");
    let timeout = http::HeaderValue::from_static("500");
    request.headers_mut().insert("trefoil-timeout-ms", timeout);
    let answer = deployment.send("host-1", request);
    assert_eq!(answer.outcome, "unknown", "{}", answer.body);
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    let kind = answer
        .headers
        .get("content-type")
        .and_then(|v| v.to_str().ok());
    assert_eq!(kind, Some("application/problem+json"));

    deployment.upstreams["offers-1"]
        .process
        .signal(Signal::SIGCONT);
    eventually("host-1 serves again", || serves(&deployment, "host-1"));
    let runs = deployment.runs("offers-1");
    let orders = runs
        .iter()
        .skip(before)
        .filter(|r| r["id"] == "order-1")
        .count();
    assert!(orders <= 1, "the order ran {orders} times");
}

/// Guards against "not run" for a request of which an earlier copy may have run. With a request id,
/// and without a dispatcher whose memory covers it, the outcome is unknown. Without an id, this
/// single copy did not run.
#[test]
fn not_run_needs_somebody_who_remembers_the_id() {
    let mut deployment = two_hosts(&[]);
    let resource = deployment.resource(false);
    let (status, verdict) = deployment.publish("host-1", &resource, 0);
    assert_eq!(status, StatusCode::OK, "{verdict}");
    eventually("host-1 serves", || serves(&deployment, "host-1"));
    deployment.daemons.remove("host-2").expect("it runs");

    let outcome = |id: bool| {
        // Keys whose dispatcher is live are answered and not considered.
        let reported = (0..40).map(|k| {
            let mut request = post(k, &format!("order-{k}"));
            if !id {
                request.headers_mut().remove("idempotency-key");
            }
            let timeout = http::HeaderValue::from_static("300");
            request.headers_mut().insert("trefoil-timeout-ms", timeout);
            deployment.send("host-1", request).outcome
        });
        reported.filter(|o| o != "done").collect::<Vec<_>>()
    };
    // Until the connection to the lost host is closed, requests may have been sent on it.
    eventually("the host is known to be lost", || {
        let reported = outcome(false);
        (!reported.is_empty() && reported.iter().all(|o| o == "not-run")).then_some(())
    });
    let reported = outcome(true);
    assert!(
        !reported.is_empty() && reported.iter().all(|o| o == "unknown"),
        "{reported:?}"
    );
}
