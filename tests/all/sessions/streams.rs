//! Large bodies, truncated answers and disconnecting callers, with requests through two hosts.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::host::Hosts;
use trefoil_soak::eventually;

/// Index of the host that is not the dispatcher of the upstream and forwards requests to it.
const REMOTE_HOST: usize = 1;

fn start_hosts() -> Hosts {
    Hosts::start(&["a", "b"])
}

fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n").into_bytes()
}

/// Formats a request with a short deadline, after which its slot is free again.
fn with_short_deadline(method: &str, path: &str) -> Vec<u8> {
    format!("{method} {path} HTTP/1.1\r\nHost: h\r\nTrefoil-Timeout-Ms: 500\r\n\r\n").into_bytes()
}

/// Sends a request that is answered once a slot of the upstream is free.
fn wait_for_free_slot(hosts: &Hosts, host: usize) {
    let mut caller = hosts.caller(host);
    caller.send(&get("/offers/c-1"));
    let answer = caller.read_answer();
    assert_eq!(
        (answer.status(), answer.outcome()),
        (200, "done"),
        "{answer:?}"
    );
}

fn post(path: &str, id: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nIdempotency-Key: {id}\r\nContent-Length: 3\r\n\r\nbuy"
    )
    .into_bytes()
}

/// Guards against answers that a host buffers completely: while the caller does not read,
/// backpressure must stop the upstream.
#[test]
fn a_large_answer_is_streamed() {
    const SIZE: usize = 64 * 1024 * 1024;
    let hosts = start_hosts();
    let mut caller = hosts.caller(REMOTE_HOST);
    caller.send(&get(&format!("/offers/c-1/large-{SIZE}")));
    let head = caller.read_head();
    assert_eq!(head.status(), 200);
    let streamed = || hosts.upstream.streamed.load(Ordering::SeqCst);
    // If the upstream sends nothing within 200 ms, backpressure has stopped it.
    let mut last = 0;
    eventually("backpressure stops the upstream", || {
        std::thread::sleep(Duration::from_millis(200));
        let now = streamed();
        let still = now == last;
        last = now;
        still.then_some(())
    });
    assert!(
        last < SIZE / 2,
        "{last} of {SIZE} bytes were taken in advance"
    );
    println!("taken in advance: {last} bytes");
    let body = caller.read_body(&head).expect("a whole body");
    assert_eq!(body.len(), SIZE);
}

/// Guards against bodies of requests that a host buffers completely.
#[test]
fn a_large_request_is_streamed() {
    const SIZE: usize = 3_900_000;
    let hosts = start_hosts();
    for (framing, chunked) in [
        ("Content-Length: 3900000", false),
        ("Transfer-Encoding: chunked", true),
    ] {
        let before = hosts.upstream.received.load(Ordering::SeqCst);
        let mut caller = hosts.caller(REMOTE_HOST);
        let head = format!("POST /offers/c-1 HTTP/1.1\r\nHost: h\r\n{framing}\r\n\r\n");
        caller.send(head.as_bytes());
        let mut send = |size: usize| {
            let data = vec![b'x'; size];
            if chunked {
                caller.send(format!("{size:x}\r\n").as_bytes());
            }
            assert!(caller.send(&data), "the body is taken");
            if chunked {
                caller.send(b"\r\n");
            }
        };
        send(SIZE / 2);
        // The first half must arrive before the second one is sent.
        eventually("the first half arrives", || {
            let received = hosts.upstream.received.load(Ordering::SeqCst) - before;
            (received > SIZE / 2 - 100_000).then_some(())
        });
        send(SIZE / 2);
        if chunked {
            caller.send(b"0\r\n\r\n");
        }
        let answer = caller.read_answer();
        assert_eq!(
            (answer.status(), answer.outcome()),
            (200, "done"),
            "{answer:?}"
        );
        assert!(
            answer.text().contains("received 3900000"),
            "{}",
            answer.text()
        );
    }
}

/// Guards against a truncated answer that looks complete to the caller (P3).
#[test]
fn a_truncated_answer_is_not_complete() {
    let hosts = start_hosts();
    for host in [0, REMOTE_HOST] {
        for size in [1000, 50_000, 1_000_000] {
            let mut caller = hosts.caller(host);
            caller.send(&with_short_deadline(
                "GET",
                &format!("/offers/c-1/cut-{size}"),
            ));
            let answer = caller.read_answer();
            let reported = answer.status() == 502 && answer.outcome() == "unknown";
            assert!(
                reported || !answer.complete,
                "{size} through {host}: {}",
                answer.head
            );
            wait_for_free_slot(&hosts, host);
        }
    }
}

/// Guards against an idempotent request that stays open at the upstream after its caller has
/// disconnected. Its slot is free only after the deadline of the request and the margin, because
/// until then the upstream may still execute it.
#[test]
fn an_abandoned_idempotent_request_is_closed() {
    let hosts = start_hosts();
    for host in [0, REMOTE_HOST] {
        let before = hosts.upstream.abandoned.load(Ordering::SeqCst);
        let mut caller = hosts.caller(host);
        caller.send(&with_short_deadline("GET", "/offers/c-1/hold"));
        eventually("the request runs", || {
            (hosts.upstream.active.load(Ordering::SeqCst) == 1).then_some(())
        });
        drop(caller);
        let since = Instant::now();
        eventually("the upstream's connection is closed", || {
            (hosts.upstream.abandoned.load(Ordering::SeqCst) > before).then_some(())
        });
        let closed = since.elapsed();
        assert!(
            closed < Duration::from_millis(400),
            "closed before the deadline: {closed:?}"
        );
        wait_for_free_slot(&hosts, host);
        println!(
            "host {host}: closed after {closed:?}, free after {:?}",
            since.elapsed()
        );
    }
}

/// Guards against a non-idempotent request that is aborted when its caller disconnects, and against
/// the loss of its outcome.
#[test]
fn an_abandoned_order_runs_to_completion() {
    let hosts = start_hosts();
    for host in [0, REMOTE_HOST] {
        let order = post("/offers/c-1/hold", &format!("order-{host}"));
        let mut caller = hosts.caller(host);
        caller.send(&order);
        eventually("the order runs", || {
            (hosts.upstream.active.load(Ordering::SeqCst) == 1).then_some(())
        });
        drop(caller);
        std::thread::sleep(Duration::from_millis(300));
        assert_eq!(hosts.upstream.abandoned.load(Ordering::SeqCst), 0);

        let mut other = hosts.caller(host);
        other.send(&order);
        let answer = other.read_answer();
        assert_eq!(
            (answer.status(), answer.outcome()),
            (409, "unknown"),
            "in flight: {answer:?}"
        );

        hosts.upstream.release();
        eventually("the order has ended", || {
            (hosts.upstream.active.load(Ordering::SeqCst) == 0).then_some(())
        });
        let answer = eventually("the outcome is known", || {
            let mut other = hosts.caller(host);
            other.send(&order);
            let answer = other.read_answer();
            (answer.status() != 409).then_some(answer)
        });
        assert_eq!(
            (answer.status(), answer.outcome()),
            (200, "done"),
            "{answer:?}"
        );
        assert_eq!(answer.header("trefoil-repeat"), Some("1"));
        hosts.upstream.hold();
    }
    assert_eq!(
        hosts.upstream.requests_matching("POST").len(),
        2,
        "each order ran once"
    );
}

/// Guards against a refusal before execution that counts as run, and against a 503 from the
/// upstream application that counts as not run.
#[test]
fn refusals_are_distinguished_from_answers() {
    let hosts = start_hosts();
    for host in [0, REMOTE_HOST] {
        for method in ["GET", "POST"] {
            let request = |last: &str| {
                format!(
                    "{method} /offers/c-1/{last} HTTP/1.1\r\nHost: h\r\n\
                     Idempotency-Key: {method}-{last}-{host}\r\n\
                     Trefoil-Timeout-Ms: 300\r\nContent-Length: 0\r\n\r\n"
                )
            };
            let mut caller = hosts.caller(host);
            caller.send(request("refuse").as_bytes());
            let answer = caller.read_answer();
            assert_eq!(
                (answer.status(), answer.outcome()),
                (503, "not-run"),
                "{answer:?}"
            );
            let kind = answer.header("content-type");
            assert_eq!(kind, Some("application/problem+json"));
            caller.send(
                request("busy")
                    .replace("r-1", &format!("r-{host}"))
                    .as_bytes(),
            );
            let answer = caller.read_answer();
            assert_eq!(
                (answer.status(), answer.outcome()),
                (503, "done"),
                "{answer:?}"
            );
        }
    }
    let busy = hosts.upstream.requests_matching("/busy");
    assert_eq!(busy.len(), 4, "an answer is not asked for again: {busy:?}");
}

/// Guards against "not run" for a streamed request of which a part was sent. Its body cannot be
/// sent again, so a retry writes nothing, which must not count as proof that the request did not
/// run.
#[test]
fn an_interrupted_streamed_request_is_unknown() {
    let hosts = start_hosts();
    for host in [0, REMOTE_HOST] {
        for method in ["PUT", "POST"] {
            let mut caller = hosts.caller(host);
            let head = format!(
                "{method} /offers/c-1/drop HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\
                 Trefoil-Timeout-Ms: 500\r\n\r\n"
            );
            caller.send(head.as_bytes());
            caller.send(&vec![b'x'; 1_000_000]);
            let answer = caller.read_answer();
            assert_eq!(
                (answer.status(), answer.outcome()),
                (502, "unknown"),
                "{method}: {answer:?}"
            );
            let kind = answer.header("content-type");
            assert_eq!(kind, Some("application/problem+json"));
            wait_for_free_slot(&hosts, host);
        }
    }
}
