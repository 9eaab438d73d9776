//! Operators' streams of changes.

use std::time::{Duration, Instant};

use serde_json::Value;
use trefoil_core::Revision;
use trefoil_log::Verdict;

use super::host::Hosts;
use super::wire::Connection;

/// A stream of lines.
struct Stream {
    connection: Connection,
    text: String,
}

impl Stream {
    fn open(hosts: &Hosts, host: usize, query: &str) -> Self {
        let mut connection = hosts.operator(host);
        connection.send(format!("GET /v1/watch{query} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes());
        let head = connection.head();
        assert_eq!(head.status(), 200, "{head:?}");
        Self {
            connection,
            text: String::new(),
        }
    }

    /// The next line, or nothing at the regular end of the stream.
    fn next(&mut self) -> Option<Value> {
        loop {
            if let Some((line, rest)) = self.text.split_once('\n') {
                let line = line.to_owned();
                self.text = rest.to_owned();
                match line.as_str() {
                    "" => continue,
                    line => return Some(serde_json::from_str(line).expect("JSON")),
                }
            }
            let chunk = self.connection.chunk().expect("the stream goes on");
            if chunk.is_empty() {
                return None;
            }
            self.text
                .push_str(std::str::from_utf8(&chunk).expect("UTF-8"));
        }
    }

    fn until<F>(&mut self, done: F) -> Vec<Value>
    where
        F: Fn(&Value) -> bool,
    {
        let mut lines = Vec::new();
        loop {
            let line = self.next().expect("the stream goes on");
            lines.push(line.clone());
            if done(&line) {
                return lines;
            }
        }
    }
}

fn revision(verdict: &Verdict) -> u64 {
    match verdict {
        Verdict::Accepted { revision } => revision.0,
        other => panic!("not accepted: {other:?}"),
    }
}

fn accepted(lines: &[Value]) -> Vec<u64> {
    let lines = lines.iter().filter(|l| l["change"] == "accepted");
    lines.filter_map(|l| l["revision"].as_u64()).collect()
}

/// Publishes `count` changes one right after the other.
fn change(hosts: &Hosts, base: u64, count: usize) -> Vec<u64> {
    let mut all = Vec::new();
    for i in 0..count {
        let yaml = hosts.resource(&["a", "b"]).replace("queue: 256", "");
        let yaml = yaml.replace("connections: 130", &format!("connections: {}", 100 + i));
        let base = all.last().copied().unwrap_or(base);
        all.push(revision(&smol::block_on(hosts.publish(base, &yaml))));
    }
    all
}

/// Guards against accepted revisions that are left out, repeated or out of order, also for a client
/// that comes later or does not read for a while, and on a host that did not take the changes.
#[test]
fn every_accepted_revision_is_told_once() {
    let hosts = Hosts::start(&["a", "b"]);
    let mut early = Stream::open(&hosts, 1, "?from=0");
    let first = accepted(&[early.next().expect("the first resource")])[0];
    let mut asleep = Stream::open(&hosts, 1, &format!("?from={first}"));
    let all = change(&hosts, first, 50);
    let last = *all.last().expect("changes");
    let is_end = |l: &Value| l["revision"] == last && l["everywhere"] == true;
    assert_eq!(accepted(&early.until(is_end)), all);
    assert_eq!(accepted(&asleep.until(is_end)), all);
    let mut late = Stream::open(&hosts, 0, &format!("?from={first}"));
    assert_eq!(accepted(&late.until(is_end)), all);
    let mut now = Stream::open(&hosts, 0, "");
    assert_eq!(accepted(&now.until(is_end)), [last]);
}

/// Guards against a change whose coming into force is not told for each failure domain.
#[test]
fn each_domain_is_told_when_it_serves_a_change() {
    let hosts = Hosts::start(&["a", "b"]);
    let mut stream = Stream::open(&hosts, 0, "");
    let first = accepted(&stream.until(|l| l["everywhere"] == true))[0];
    let since = Instant::now();
    let revision = change(&hosts, first, 1)[0];
    let lines = stream.until(|l| l["everywhere"] == true);
    let span = since.elapsed();
    println!("in force everywhere and told after {span:?}");
    assert!(span < Duration::from_secs(3), "{span:?}");
    assert_eq!(accepted(&lines), [revision]);
    let mut domains: Vec<_> = lines
        .iter()
        .filter(|l| l["change"] == "in-force" && l["revision"] == revision)
        .filter_map(|l| l["domains"].as_array())
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    domains.sort_unstable();
    assert_eq!(domains, ["a", "b"], "{lines:?}");
}

/// Guards against streams without a bound, a bad query that is taken for no query, and a stream that
/// keeps a host from stopping.
#[test]
fn streams_are_bounded_and_end_with_a_drain() {
    let mut hosts = Hosts::start(&["a"]);
    for query in ["?from=x", "?from=", "?since=1", "?"] {
        let mut connection = hosts.operator(0);
        connection.send(format!("GET /v1/watch{query} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes());
        assert_eq!(connection.answer().status(), 400, "{query}");
    }
    let mut streams: Vec<_> = (0..64).map(|_| Stream::open(&hosts, 0, "")).collect();
    let mut more = hosts.operator(0);
    more.send(b"GET /v1/watch HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(more.answer().status(), 503);
    drop(streams.drain(1..));
    trefoil_soak::eventually("a stream is free", || {
        let mut more = hosts.operator(0);
        more.send(b"GET /v1/watch HTTP/1.1\r\nHost: h\r\n\r\n");
        (more.head().status() == 200).then_some(())
    });
    let node = hosts.nodes.pop().expect("one host");
    let draining = std::thread::spawn(move || smol::block_on(node.drain()));
    let mut last = streams.pop().expect("one stream");
    while last.next().is_some() {}
    draining.join().expect("the host stops");
}

/// Guards against a silent gap when a host has loaded a snapshot and does not know the changes
/// before it.
#[test]
fn a_gap_is_told() {
    let hosts = Hosts::start(&["a"]);
    let mut stream = Stream::open(&hosts, 0, "?from=0");
    let first = accepted(&stream.until(|l| l["everywhere"] == true))[0];
    let shared = hosts.nodes[0].shared();
    shared.journal.on_publish(Revision(first + 100));
    let mut connection = hosts.operator(0);
    connection.send(b"GET /v1/watch?from=0 HTTP/1.1\r\nHost: h\r\n\r\n");
    let answer = connection.answer();
    assert_eq!(answer.status(), 410, "{answer:?}");
    let since = format!("revision {} are no longer known", first + 100);
    assert!(answer.text().contains(&since), "{}", answer.text());
    // An open stream ends without the chunk that marks a regular end.
    while let Some(chunk) = stream.connection.chunk() {
        assert!(!chunk.is_empty(), "the end looks regular");
    }
}
