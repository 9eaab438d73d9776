//! Large bodies, answers that break off, and callers that go away, through two hosts.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::host::Hosts;
use trefoil_soak::eventually;

/// Index of the host that is not the upstream's dispatcher.
const FAR: usize = 1;

fn hosts() -> Hosts {
    Hosts::start(&["a", "b"])
}

fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n").into_bytes()
}

/// A request whose deadline is short, so that its slot is free again soon.
fn short(method: &str, path: &str) -> Vec<u8> {
    format!("{method} {path} HTTP/1.1\r\nHost: h\r\nTrefoil-Timeout-Ms: 500\r\n\r\n").into_bytes()
}

/// Waits until the upstream's slots are free.
fn served_again(hosts: &Hosts, host: usize) {
    let mut caller = hosts.caller(host);
    caller.send(&get("/offers/c-1"));
    let answer = caller.answer();
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

/// Guards against answers that are buffered whole on their way: while the caller does not read, the
/// upstream must be held back.
#[test]
fn a_large_answer_is_streamed() {
    const SIZE: usize = 64 * 1024 * 1024;
    let hosts = hosts();
    let mut caller = hosts.caller(FAR);
    caller.send(&get(&format!("/offers/c-1/large-{SIZE}")));
    let head = caller.head();
    assert_eq!(head.status(), 200);
    let streamed = || hosts.upstream.streamed.load(Ordering::SeqCst);
    // The time in which the upstream sends nothing more shows that it is held back.
    let mut last = 0;
    eventually("the upstream is held back", || {
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
    let body = caller.body(&head).expect("a whole body");
    assert_eq!(body.len(), SIZE);
}

/// Guards against bodies of requests that are buffered whole on their way.
#[test]
fn a_large_request_is_streamed() {
    const SIZE: usize = 3_900_000;
    let hosts = hosts();
    for (framing, chunked) in [
        ("Content-Length: 3900000", false),
        ("Transfer-Encoding: chunked", true),
    ] {
        let before = hosts.upstream.received.load(Ordering::SeqCst);
        let mut caller = hosts.caller(FAR);
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
        // The first half arrives before the second one is sent.
        eventually("the first half arrives", || {
            let received = hosts.upstream.received.load(Ordering::SeqCst) - before;
            (received > SIZE / 2 - 100_000).then_some(())
        });
        send(SIZE / 2);
        if chunked {
            caller.send(b"0\r\n\r\n");
        }
        let answer = caller.answer();
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

/// Guards against an answer that broke off and looks whole to the caller (P3).
#[test]
fn an_answer_that_breaks_off_is_not_whole() {
    let hosts = hosts();
    for host in [0, FAR] {
        for size in [1000, 50_000, 1_000_000] {
            let mut caller = hosts.caller(host);
            caller.send(&short("GET", &format!("/offers/c-1/cut-{size}")));
            let answer = caller.answer();
            let told = answer.status() == 502 && answer.outcome() == "unknown";
            assert!(
                told || !answer.whole,
                "{size} through {host}: {}",
                answer.head
            );
            served_again(&hosts, host);
        }
    }
}

/// Guards against an idempotent request that stays at the upstream after its caller has gone away.
/// The slot is free when the request's deadline and the margin have passed, because until then the
/// upstream may still work on it.
#[test]
fn an_abandoned_idempotent_request_is_closed() {
    let hosts = hosts();
    for host in [0, FAR] {
        let before = hosts.upstream.abandoned.load(Ordering::SeqCst);
        let mut caller = hosts.caller(host);
        caller.send(&short("GET", "/offers/c-1/hold"));
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
        served_again(&hosts, host);
        println!(
            "host {host}: closed after {closed:?}, free after {:?}",
            since.elapsed()
        );
    }
}

/// Guards against a non-idempotent request that is cut off when its caller goes away, and against
/// an outcome that is forgotten.
#[test]
fn an_abandoned_order_runs_to_its_end() {
    let hosts = hosts();
    for host in [0, FAR] {
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
        let answer = other.answer();
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
            let answer = other.answer();
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
    assert_eq!(hosts.upstream.seen("POST").len(), 2, "each order ran once");
}

/// Guards against a refusal before execution that counts as run, and against an upstream's own 503
/// that counts as not run.
#[test]
fn refusals_are_told_from_answers() {
    let hosts = hosts();
    for host in [0, FAR] {
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
            let answer = caller.answer();
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
            let answer = caller.answer();
            assert_eq!(
                (answer.status(), answer.outcome()),
                (503, "done"),
                "{answer:?}"
            );
        }
    }
    let busy = hosts.upstream.seen("/busy");
    assert_eq!(busy.len(), 4, "an answer is not asked for again: {busy:?}");
}

/// Guards against a streamed request that is told "not run" after a part of it was sent. Its body
/// cannot be sent again, so a retry of it writes nothing, which must not count as proof.
#[test]
fn a_streamed_request_that_breaks_is_unknown() {
    let hosts = hosts();
    for host in [0, FAR] {
        for method in ["PUT", "POST"] {
            let mut caller = hosts.caller(host);
            let head = format!(
                "{method} /offers/c-1/drop HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\
                 Trefoil-Timeout-Ms: 500\r\n\r\n"
            );
            caller.send(head.as_bytes());
            caller.send(&vec![b'x'; 1_000_000]);
            let answer = caller.answer();
            assert_eq!(
                (answer.status(), answer.outcome()),
                (502, "unknown"),
                "{method}: {answer:?}"
            );
            let kind = answer.header("content-type");
            assert_eq!(kind, Some("application/problem+json"));
            served_again(&hosts, host);
        }
    }
}
