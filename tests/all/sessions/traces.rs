//! Trace spans of requests that pass through two hosts.

use std::path::Path;

use serde_json::Value;
use trefoil_daemon::Tracing;

use super::host::Hosts;
use trefoil_soak::eventually;

const PARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

fn read_spans(file: &Path, trace: &str) -> Vec<Value> {
    let text = std::fs::read_to_string(file).expect("the file exists");
    let spans = text
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).expect("JSON"));
    spans.filter(|span| span["trace"] == trace).collect()
}

fn start_traced_hosts(file: &Path) -> Hosts {
    let number = std::cell::Cell::new(0);
    Hosts::start_with(&["a", "b"], |config| {
        number.set(number.get() + 1);
        let name = format!("entry-{}", number.get());
        config.tracing(Tracing::to_file(file, &name).expect("the file opens"))
    })
}

fn send_get(hosts: &Hosts, path: &str, headers: &str) -> u16 {
    let mut caller = hosts.caller(1);
    let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\n{headers}\r\n");
    caller.send(request.as_bytes());
    caller.read_answer().status()
}

/// Guards against spans that are missing, lack their parent, or belong to another trace than the
/// caller's.
#[test]
fn the_spans_of_a_request_are_connected() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("spans.jsonl");
    let hosts = start_traced_hosts(&file);
    let headers = format!("traceparent: {PARENT}\r\ntracestate: vendor=1\r\n");
    assert_eq!(send_get(&hosts, "/offers/c-1", &headers), 200);

    let trace = PARENT.split('-').nth(1).expect("a trace id");
    let spans = eventually("the spans are written", || {
        let spans = read_spans(&file, trace);
        (spans.len() >= 4).then_some(spans)
    });
    let mut parent = PARENT.split('-').nth(2).expect("a span id").to_owned();
    let hops = [
        ("ingress", "entry-2"),
        ("forward", "entry-2"),
        ("dispatch", "entry-1"),
        ("upstream", "entry-1"),
    ];
    assert_eq!(spans.len(), hops.len(), "{spans:?}");
    for (name, host) in hops {
        let span = spans.iter().find(|s| s["name"] == name);
        let span = span.unwrap_or_else(|| panic!("{name} in {spans:?}"));
        assert_eq!(
            (&span["parent"], &span["host"]),
            (&parent.into(), &host.into()),
            "{span}"
        );
        parent = span["span"].as_str().expect("an id").to_owned();
    }
    let (_, headers) = &hosts.upstream.requests_matching("/offers/c-1")[0];
    assert_eq!(headers["traceparent"], format!("00-{trace}-{parent}-01"));
    assert_eq!(headers["tracestate"], "vendor=1");
    assert_eq!(
        spans
            .iter()
            .filter(|s| s["attributes"]["outcome"] == "done")
            .count(),
        2
    );
}

/// Guards against spans of a caller whose trace is not sampled, and against an invalid
/// `traceparent` that fails a request or reaches the upstream.
#[test]
fn contexts_that_are_not_sampled_or_not_valid() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("spans.jsonl");
    let hosts = start_traced_hosts(&file);
    let off = PARENT.replace("-01", "-00");
    assert_eq!(
        send_get(&hosts, "/offers/off", &format!("traceparent: {off}\r\n")),
        200
    );
    let bad = "z".repeat(600);
    assert_eq!(
        send_get(&hosts, "/offers/bad", &format!("traceparent: {bad}\r\n")),
        200
    );
    let seen = |part: &str| hosts.upstream.requests_matching(part)[0].1["traceparent"].clone();
    let trace = off.split('-').nth(1).expect("a trace id");
    let passed = seen("/offers/off");
    let passed = passed.to_str().expect("ASCII");
    assert!(
        passed.starts_with(&format!("00-{trace}-")) && passed.ends_with("-00"),
        "{passed}"
    );
    let new = seen("/offers/bad");
    let new = new
        .to_str()
        .expect("ASCII")
        .split('-')
        .nth(1)
        .expect("a trace id")
        .to_owned();
    eventually("the spans of the new trace are written", || {
        (read_spans(&file, &new).len() == 4).then_some(())
    });
    assert!(
        read_spans(&file, trace).is_empty(),
        "the caller's trace is not sampled"
    );
}

/// Guards against hosts that drop the trace context because they do not trace.
#[test]
fn contexts_are_forwarded_by_hosts_that_do_not_trace() {
    let hosts = Hosts::start(&["a", "b"]);
    assert_eq!(
        send_get(&hosts, "/offers/c-1", &format!("traceparent: {PARENT}\r\n")),
        200
    );
    let (_, headers) = &hosts.upstream.requests_matching("/offers/c-1")[0];
    assert_eq!(headers["traceparent"], PARENT);
}
