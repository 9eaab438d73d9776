//! One connection to an upstream.

use bytes::Bytes;
use futures_lite::future;
use http::{HeaderMap, Method};
use smol::LocalExecutor;
use trefoil_http::h1::{
    ClientConnection, ExchangeError, Match, Response, ResponseHead, Sent, encode_request,
};

use super::pipe::{Peer, Stream, connection, settle};

const MAX: usize = 100;

/// The answer belongs to the request unless its `id` says something else.
fn own(head: &ResponseHead) -> Match {
    match head.headers.get("id") {
        Some(id) if id != "1" => Match::Other,
        _ => Match::Own,
    }
}

fn request(method: &Method, body: &'static str) -> Bytes {
    encode_request(method, "/p", &HeaderMap::new(), &Bytes::from(body))
}

/// Lets the link send a request, and the test act as the upstream.
fn exchange<F>(
    link: &mut ClientConnection<Stream>,
    method: &Method,
    body: &'static str,
    upstream: F,
) -> Option<Result<Response, ExchangeError>>
where
    F: FnOnce(),
{
    let executor = LocalExecutor::new();
    let call = link.exchange(method, request(method, body), MAX, own);
    let mut task = executor.spawn(call);
    settle(&executor);
    upstream();
    settle(&executor);
    future::block_on(future::poll_once(&mut task))
}

fn open() -> (ClientConnection<Stream>, Peer) {
    let (stream, peer) = connection(1 << 20);
    (ClientConnection::new(stream), peer)
}

fn get(
    link: &mut ClientConnection<Stream>,
    peer: &Peer,
    answer: &str,
) -> Option<Result<Response, ExchangeError>> {
    exchange(link, &Method::GET, "", || peer.send(answer))
}

/// The body of an answer that arrived.
fn body(result: Option<Result<Response, ExchangeError>>) -> String {
    let reply = result.expect("an answer").expect("a whole answer");
    String::from_utf8(reply.body.to_vec()).expect("text")
}

/// Why an exchange failed, and how much had been sent.
fn failure(result: Option<Result<Response, ExchangeError>>) -> (String, Sent) {
    let error = result.expect("an end").expect_err("a failure");
    (error.reason, error.sent)
}

/// Guards against answers that are taken for those of other requests, and connections that are
/// opened anew for each request.
#[test]
fn a_connection_carries_one_request_after_the_other() {
    let (mut link, peer) = open();
    let first = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: timeout=7\r\n\r\nhi";
    assert_eq!(body(get(&mut link, &peer, first)), "hi");
    assert!(link.is_reusable());
    assert_eq!(link.keep_alive_timeout().map(|d| d.as_secs()), Some(7));
    let second = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n";
    assert_eq!(body(get(&mut link, &peer, second)), "yes");
    assert!(link.is_reusable());
}

/// Guards against a late second answer that is passed on as the answer to the next request.
#[test]
fn answers_to_other_requests_are_skipped() {
    let (mut link, peer) = open();
    let late = "HTTP/1.1 200 OK\r\nid: 0\r\ncontent-length: 3\r\n\r\nold";
    let own = "HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 3\r\n\r\nnew";
    assert_eq!(
        body(get(&mut link, &peer, &[late, late, own].concat())),
        "new"
    );
    assert!(link.is_reusable());
    let (mut link, peer) = open();
    assert!(get(&mut link, &peer, late).is_none(), "its own is awaited");
}

/// Guards against bytes behind an answer that are taken for the next one.
#[test]
fn a_connection_with_more_bytes_is_not_used_again() {
    let (mut link, peer) = open();
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi and more";
    assert_eq!(body(get(&mut link, &peer, answer)), "hi");
    assert!(!link.is_reusable());

    let (mut link, peer) = open();
    get(
        &mut link,
        &peer,
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    );
    assert!(link.is_reusable());
    peer.send("HTTP/1.1 500 Late\r\n\r\n");
    assert!(!link.is_reusable());

    let (mut link, peer) = open();
    get(
        &mut link,
        &peer,
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    );
    peer.close();
    assert!(!link.is_reusable());
}

/// Guards against a connection that the upstream is about to close.
#[test]
fn an_upstream_that_closes_is_believed() {
    let answers = [
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: x, Close\r\n\r\n",
        "HTTP/1.0 200 OK\r\ncontent-length: 0\r\n\r\n",
    ];
    for answer in answers {
        let (mut link, peer) = open();
        assert_eq!(body(get(&mut link, &peer, answer)), "");
        assert!(!link.is_reusable(), "{answer:?}");
    }
}

/// Guards against a part of an answer that is passed on as all of it.
#[test]
fn an_answer_that_breaks_off_is_a_failure() {
    let cut = [
        "",
        "HTTP/1.1 200 OK\r\ncontent-le",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhal",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhalf",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nid: 0\r\ncontent-length: 3\r\n\r\nold",
    ];
    for answer in cut {
        let (mut link, peer) = open();
        let result = exchange(&mut link, &Method::GET, "", || {
            peer.send(answer);
            peer.close();
        });
        assert_eq!(failure(result).1, Sent::Something, "{answer:?}");
        assert!(!link.is_reusable());
    }
}

/// Guards against an answer without a length that is cut by a reset and looks complete.
#[test]
fn an_answer_without_a_length_ends_with_the_close() {
    let answer = "HTTP/1.1 200 OK\r\n\r\nall of it";
    let (mut link, peer) = open();
    let result = exchange(&mut link, &Method::GET, "", || {
        peer.send(answer);
        peer.close();
    });
    assert_eq!(body(result), "all of it");
    assert!(!link.is_reusable());

    let (mut link, peer) = open();
    let executor = LocalExecutor::new();
    let call = link.exchange(&Method::GET, request(&Method::GET, ""), MAX, own);
    let mut task = executor.spawn(call);
    peer.send(answer);
    settle(&executor);
    peer.reset();
    settle(&executor);
    let result = future::block_on(future::poll_once(&mut task));
    assert_eq!(failure(result).1, Sent::Something);
}

/// Guards against bytes that are no answer, and against answers that fill the memory.
#[test]
fn what_is_no_answer_is_a_failure() {
    let long = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n{}",
        "x".repeat(101)
    );
    let wrong = [
        "SSH-2.0-server\r\n\r\n",
        "HTTP/1.1 abc\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        long.as_str(),
    ];
    for answer in wrong {
        let (mut link, peer) = open();
        let (_, sent) = failure(get(&mut link, &peer, answer));
        assert_eq!(sent, Sent::Something, "{answer:?}");
        assert!(!link.is_reusable(), "{answer:?}");
    }
}

/// Guards against a request that may have run and is reported as not sent, and the reverse.
#[test]
fn a_failure_says_whether_anything_was_sent() {
    let (mut link, peer) = open();
    peer.reset();
    let result = exchange(&mut link, &Method::GET, "", || {});
    assert_eq!(failure(result).1, Sent::Nothing);

    let (stream, peer) = connection(1);
    let mut link = ClientConnection::new(stream);
    let result = exchange(&mut link, &Method::GET, "", || peer.reset());
    assert_eq!(failure(result).1, Sent::Something, "one byte was taken");
}

/// Guards against a connection on which the rest of a long body is taken for a new request.
#[test]
fn an_answer_before_the_end_of_the_body_ends_the_connection() {
    let (stream, peer) = connection(40);
    let mut link = ClientConnection::new(stream);
    let body_of = "a body that is longer than the room of the connection";
    let result = exchange(&mut link, &Method::POST, body_of, || {
        peer.send("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n");
    });
    assert_eq!(result.expect("an answer").expect("whole").head.status, 503);
    assert!(!link.is_reusable());
}

/// Guards against an interim answer that is passed on as the final one.
#[test]
fn interim_answers_are_passed_over() {
    let (mut link, peer) = open();
    let answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nlink: x\r\n\r\n\
                  HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";
    assert_eq!(body(get(&mut link, &peer, answer)), "hi");
    assert!(link.is_reusable());
}

/// Guards against waiting for a body that never comes.
#[test]
fn answers_that_have_no_body_are_whole() {
    let (mut link, peer) = open();
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n";
    let result = exchange(&mut link, &Method::HEAD, "", || peer.send(answer));
    assert_eq!(body(result), "");
    assert!(link.is_reusable());
    assert_eq!(body(get(&mut link, &peer, "HTTP/1.1 204 None\r\n\r\n")), "");
    assert!(link.is_reusable());
}

/// Guards against fields of one connection that reach the next one.
#[test]
fn fields_of_one_connection_are_left_out() {
    let fields = [
        ("host", "h.example"),
        ("connection", "keep-alive, x-hop"),
        ("x-hop", "1"),
        ("keep-alive", "timeout=5"),
        ("te", "trailers"),
        ("transfer-encoding", "chunked"),
        ("content-length", "999"),
        ("accept", "a"),
        ("accept", "b"),
    ];
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        headers.append(name, value.parse().expect("a value"));
    }
    let sent = encode_request(&Method::POST, "/p?q", &headers, &Bytes::from("body"));
    let expected = "POST /p?q HTTP/1.1\r\nhost: h.example\r\naccept: a\r\naccept: b\r\n\
                    content-length: 4\r\n\r\nbody";
    assert_eq!(String::from_utf8(sent.to_vec()).expect("text"), expected);
}
