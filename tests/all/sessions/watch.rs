//! Streams of changes for operators.

use std::time::{Duration, Instant};

use serde_json::Value;
use trefoil_core::Revision;
use trefoil_log::Verdict;

use super::host::Hosts;
use super::raw_http::Connection;

/// Stream of JSON lines.
struct Stream {
    connection: Connection,
    text: String,
}

impl Stream {
    fn open(hosts: &Hosts, host: usize, query: &str) -> Self {
        let mut connection = hosts.operator(host);
        connection.send(format!("GET /v1/watch{query} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes());
        let head = connection.read_head();
        assert_eq!(head.status(), 200, "{head:?}");
        Self {
            connection,
            text: String::new(),
        }
    }

    /// Reads the next line, or returns `None` at the regular end of the stream.
    fn read_line(&mut self) -> Option<Value> {
        loop {
            if let Some((line, rest)) = self.text.split_once('\n') {
                let line = line.to_owned();
                self.text = rest.to_owned();
                match line.as_str() {
                    "" => continue,
                    line => return Some(serde_json::from_str(line).expect("JSON")),
                }
            }
            let chunk = self.connection.read_chunk().expect("the stream goes on");
            if chunk.is_empty() {
                return None;
            }
            self.text
                .push_str(std::str::from_utf8(&chunk).expect("UTF-8"));
        }
    }

    fn read_until<F>(&mut self, done: F) -> Vec<Value>
    where
        F: Fn(&Value) -> bool,
    {
        let mut lines = Vec::new();
        loop {
            let line = self.read_line().expect("the stream goes on");
            lines.push(line.clone());
            if done(&line) {
                return lines;
            }
        }
    }
}

fn accepted_revision(verdict: &Verdict) -> u64 {
    match verdict {
        Verdict::Accepted { revision } => revision.0,
        other => panic!("not accepted: {other:?}"),
    }
}

fn accepted_revisions(lines: &[Value]) -> Vec<u64> {
    let lines = lines.iter().filter(|l| l["change"] == "accepted");
    lines.filter_map(|l| l["revision"].as_u64()).collect()
}

/// Publishes `count` changes in succession.
fn publish_changes(hosts: &Hosts, base: u64, count: usize) -> Vec<u64> {
    let mut all = Vec::new();
    for i in 0..count {
        let yaml = hosts.resource(&["a", "b"]).replace("queue: 256", "");
        let yaml = yaml.replace("connections: 130", &format!("connections: {}", 100 + i));
        let base = all.last().copied().unwrap_or(base);
        all.push(accepted_revision(&smol::block_on(
            hosts.publish(base, &yaml),
        )));
    }
    all
}

/// Guards against accepted revisions that a stream omits, repeats or reorders. Streams are opened
/// early and late, on the host that accepted the changes and on another one, and one is not read
/// for a while.
#[test]
fn every_accepted_revision_is_streamed_once() {
    let hosts = Hosts::start(&["a", "b"]);
    let mut early = Stream::open(&hosts, 1, "?from=0");
    let first = accepted_revisions(&[early.read_line().expect("the first resource")])[0];
    let mut unread = Stream::open(&hosts, 1, &format!("?from={first}"));
    let all = publish_changes(&hosts, first, 50);
    let last = *all.last().expect("changes");
    let is_end = |l: &Value| l["revision"] == last && l["everywhere"] == true;
    assert_eq!(accepted_revisions(&early.read_until(is_end)), all);
    assert_eq!(accepted_revisions(&unread.read_until(is_end)), all);
    let mut late = Stream::open(&hosts, 0, &format!("?from={first}"));
    assert_eq!(accepted_revisions(&late.read_until(is_end)), all);
    let mut now = Stream::open(&hosts, 0, "");
    assert_eq!(accepted_revisions(&now.read_until(is_end)), [last]);
}

/// Guards against a stream that does not report for each failure domain that a change is in force.
#[test]
fn a_change_in_force_is_reported_for_each_domain() {
    let hosts = Hosts::start(&["a", "b"]);
    let mut stream = Stream::open(&hosts, 0, "");
    let first = accepted_revisions(&stream.read_until(|l| l["everywhere"] == true))[0];
    let since = Instant::now();
    let revision = publish_changes(&hosts, first, 1)[0];
    let lines = stream.read_until(|l| l["everywhere"] == true);
    let span = since.elapsed();
    println!("in force everywhere and reported after {span:?}");
    assert!(span < Duration::from_secs(3), "{span:?}");
    assert_eq!(accepted_revisions(&lines), [revision]);
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

/// Guards against an unlimited number of streams, an invalid query that is ignored, and a stream
/// that prevents a host from stopping.
#[test]
fn streams_are_bounded_and_end_with_a_drain() {
    let mut hosts = Hosts::start(&["a"]);
    for query in ["?from=x", "?from=", "?since=1", "?"] {
        let mut connection = hosts.operator(0);
        connection.send(format!("GET /v1/watch{query} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes());
        assert_eq!(connection.read_answer().status(), 400, "{query}");
    }
    let mut streams: Vec<_> = (0..64).map(|_| Stream::open(&hosts, 0, "")).collect();
    let mut more = hosts.operator(0);
    more.send(b"GET /v1/watch HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(more.read_answer().status(), 503);
    drop(streams.drain(1..));
    trefoil_soak::eventually("a stream is free", || {
        let mut more = hosts.operator(0);
        more.send(b"GET /v1/watch HTTP/1.1\r\nHost: h\r\n\r\n");
        (more.read_head().status() == 200).then_some(())
    });
    let node = hosts.nodes.pop().expect("one host");
    let draining = std::thread::spawn(move || smol::block_on(node.drain()));
    let mut last = streams.pop().expect("one stream");
    while last.read_line().is_some() {}
    draining.join().expect("the host stops");
}

/// Guards against an unreported gap after a host has loaded a snapshot and lacks the changes before
/// it.
#[test]
fn a_gap_is_reported() {
    let hosts = Hosts::start(&["a"]);
    let mut stream = Stream::open(&hosts, 0, "?from=0");
    let first = accepted_revisions(&stream.read_until(|l| l["everywhere"] == true))[0];
    let shared = hosts.nodes[0].shared();
    shared.journal.on_publish(Revision(first + 100));
    let mut connection = hosts.operator(0);
    connection.send(b"GET /v1/watch?from=0 HTTP/1.1\r\nHost: h\r\n\r\n");
    let answer = connection.read_answer();
    assert_eq!(answer.status(), 410, "{answer:?}");
    let since = format!("revision {} are no longer known", first + 100);
    assert!(answer.text().contains(&since), "{}", answer.text());
    // An open stream ends without the empty chunk of a regular end.
    while let Some(chunk) = stream.connection.read_chunk() {
        assert!(!chunk.is_empty(), "the end looks regular");
    }
}
