//! Sessions of callers.

use std::fmt::Write as _;

use super::host::Hosts;
use super::raw_http::{Answer, Connection, format_answer, format_request};

/// Session whose requests use one connection for as long as the host keeps it open.
struct Session<'a> {
    hosts: &'a Hosts,
    connection: Connection,
    text: String,
}

impl<'a> Session<'a> {
    fn new(hosts: &'a Hosts) -> Self {
        Self {
            hosts,
            connection: hosts.caller(0),
            text: String::new(),
        }
    }

    fn send(&mut self, title: &str, request: &[u8]) -> Answer {
        writeln!(
            self.text,
            "# {title}\n{}",
            format_request(request).trim_end()
        )
        .expect("written");
        self.connection.send(request);
        let answer = self.connection.read_answer();
        self.text.push_str(&format_answer(&answer));
        let close = answer.header("connection") == Some("close") || answer.head.is_empty();
        if close {
            assert!(
                self.connection.is_closed(),
                "{title}: the connection is open"
            );
            self.text.push_str("< (closed)\n");
            self.connection = self.hosts.caller(0);
        }
        self.text.push('\n');
        answer
    }

    /// Sends a request that must be refused, then one that must be served.
    fn send_refused(&mut self, title: &str, status: u16, request: &[u8]) {
        let answer = self.send(title, request);
        assert_eq!(answer.status(), status, "{title}: {answer:?}");
        assert_eq!(answer.outcome(), "not-run", "{title}: {answer:?}");
        let kind = answer.header("content-type");
        assert_eq!(kind, Some("application/problem+json"), "{title}");
        let problem: serde_json::Value =
            serde_json::from_slice(&answer.body).expect("a problem document");
        assert_eq!(problem["status"], status, "{title}");
        self.connection
            .send(b"GET /offers/after HTTP/1.1\r\nHost: h\r\n\r\n");
        let next = self.connection.read_answer();
        assert_eq!(next.status(), 200, "after {title}: {next:?}");
    }
}

fn post(path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nHost: h\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn get(path: &str, headers: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\n{headers}\r\n").into_bytes()
}

/// Guards against answers without an outcome, requests that run twice with the same id, and
/// reserved headers of a caller that reach the upstream.
#[test]
fn a_caller_gets_complete_answers() {
    let hosts = Hosts::start(&["a"]);
    let mut session = Session::new(&hosts);
    session.send("GET", &get("/offers/c-1?page=2", ""));
    session.send(
        "HEAD",
        b"HEAD /offers/c-1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    );
    session.send("key in a header", &get("/orders", "X-Order: 17\r\n"));
    let order = post("/offers/c-1", "Idempotency-Key: \"order-1\"\r\n", "buy");
    session.send("POST with a request id", &order);
    session.send("the same request again", &order);
    let other = post("/offers/c-1", "Idempotency-Key: \"order-1\"\r\n", "sell");
    session.send("another body under the same id", &other);
    let mut chunked = b"POST /offers/c-1 HTTP/1.1\r\nHost: h\r\n".to_vec();
    chunked.extend(b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    session.send("POST in chunks", &chunked);
    let mut large = b"POST /offers/c-2 HTTP/1.1\r\nHost: h\r\n".to_vec();
    large.extend(b"Transfer-Encoding: chunked\r\n\r\n");
    for _ in 0..50 {
        large.extend(format!("{:x}\r\n{}\r\n", 20_000, "x".repeat(20_000)).into_bytes());
    }
    large.extend(b"0\r\n\r\n");
    session.send("a million bytes in chunks", &large);
    for _ in 0..200 {
        let end = large.len() - 5;
        large.splice(
            end..end,
            format!("{:x}\r\n{}\r\n", 20_000, "x".repeat(20_000)).into_bytes(),
        );
    }
    let answer = session.send("more chunks than the service allows", &large);
    assert_eq!((answer.status(), answer.outcome()), (413, "unknown"));
    let reserved = "Fence-Token: 9.9\r\nTrefoil-Shard: 1\r\nTrefoil-Deadline: 1\r\n\
        Trefoil-Outcome: done\r\nTrefoil-Anything: x\r\nConnection: x-hop\r\nX-Hop: 1\r\n\
        X-Kept: 1\r\nTrefoil-Timeout-Ms: 900\r\n";
    session.send("reserved headers", &get("/offers/reserved", reserved));
    session.send("the upstream is busy", &get("/offers/c-1/busy", ""));

    let ran = hosts.upstream.requests_matching("POST /offers/c-1");
    assert_eq!(ran.len(), 2, "the repeats did not run: {ran:?}");
    let (_, headers) = &hosts.upstream.requests_matching("/offers/reserved")[0];
    assert_eq!(
        headers["trefoil-shard"].as_bytes().len(),
        headers["trefoil-shard"].len()
    );
    assert_ne!(headers["fence-token"], "9.9");
    for name in [
        "trefoil-anything",
        "trefoil-outcome",
        "x-hop",
        "trefoil-timeout-ms",
    ] {
        assert!(!headers.contains_key(name), "{name} reached the upstream");
    }
    insta::assert_snapshot!(session.text);
}

/// Guards against refused requests without an outcome and a problem document, and against a refusal
/// that affects the requests after it.
#[test]
fn refused_requests_state_the_reason() {
    let hosts = Hosts::start(&["a"]);
    let mut session = Session::new(&hosts);
    session.send_refused("unknown service", 404, &get("/nothing/c-1", ""));
    session.send_refused("no service", 404, &get("/", ""));
    session.send_refused("no key in the path", 400, &get("/offers", ""));
    session.send_refused("empty key", 400, &get("/offers/", ""));
    session.send_refused("no key in the header", 400, &get("/orders", ""));
    let long = "k".repeat(257);
    session.send_refused("key too long", 400, &get(&format!("/offers/{long}"), ""));
    let delete = b"DELETE /offers/c-1 HTTP/1.1\r\nHost: h\r\n\r\n";
    session.send_refused("method not declared", 405, delete);
    for value in ["0", "-1", "soon", ""] {
        let header = format!("Trefoil-Timeout-Ms: {value}\r\n");
        session.send_refused("bad deadline", 400, &get("/offers/c-1", &header));
    }
    for value in ["", "a b", &"i".repeat(65), "\"\""] {
        let header = format!("Idempotency-Key: {value}\r\n");
        session.send_refused("bad request id", 400, &post("/offers/c-1", &header, "x"));
    }
    let twice = "Idempotency-Key: a\r\nIdempotency-Key: b\r\n";
    session.send_refused("two request ids", 400, &post("/offers/c-1", twice, "x"));
    let twice = "X-Order: 1\r\nX-Order: 2\r\n";
    session.send_refused("two keys", 400, &get("/orders", twice));
    let huge = format!("X-Huge: {}\r\n", "h".repeat(20_000));
    session.send_refused("huge headers", 431, &get("/offers/c-1", &huge));
    let huge = format!("X-Huge: {}\r\n", "h".repeat(200_000));
    session.send_refused(
        "headers beyond every buffer",
        431,
        &get("/offers/c-1", &huge),
    );
    let mut many = String::new();
    for i in 0..101 {
        write!(many, "X-{i}: 1\r\n").expect("written");
    }
    session.send_refused("too many headers", 431, &get("/offers/c-1", &many));
    let head = b"POST /offers/c-1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4000001\r\n\r\n";
    session.send_refused("body too large by its length", 413, head);
    let mut large = head.to_vec();
    large.extend(vec![b'x'; 4_000_001]);
    session.send_refused("body too large and sent", 413, &large);
    session.send_refused("no host", 400, b"GET /offers/c-1 HTTP/1.1\r\n\r\n");
    session.send_refused("invalid HTTP", 400, b"this is not HTTP\r\n\r\n");
    let bad = b"GET /offers/c-1 HTTP/1.1\r\nHost: h\r\nBad Header: 1\r\n\r\n";
    session.send_refused("invalid header name", 400, bad);
    let bad = b"POST /offers/c-1 HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n";
    session.send_refused("invalid length", 400, bad);
    let bad = b"POST /offers/c-1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n";
    session.send_refused("unknown transfer encoding", 400, bad);
    insta::assert_snapshot!(session.text);
}
