//! Client side of a connection.

use bytes::{Buf, Bytes};
use futures_lite::future;
use http::{HeaderMap, Method};
use smol::LocalExecutor;
use trefoil_http::h1::{
    BodyLimit, ClientConnection, EncodedMessage, ExchangeError, Match, MemoryShare, Response,
    ResponseHead, Sent, encode_request,
};

use super::pipe::{Peer, Stream, connection, run_until_idle};

const MAX: usize = 100;

/// Treats an answer as that of the request unless its `id` field differs.
fn classify(head: &ResponseHead) -> Match {
    match head.headers.get("id") {
        Some(id) if id != "1" => Match::Other,
        _ => Match::Own,
    }
}

fn encode(method: &Method, body: &'static str) -> EncodedMessage {
    encode_request(method, "/p", &HeaderMap::new(), &Bytes::from(body))
}

/// Sends a request on the connection while `upstream` acts as the upstream.
fn exchange<F>(
    client: &mut ClientConnection<Stream>,
    method: &Method,
    body: &'static str,
    upstream: F,
) -> Option<Result<Response, ExchangeError>>
where
    F: FnOnce(),
{
    let limit = BodyLimit::new(MAX);
    let executor = LocalExecutor::new();
    let call = client.exchange(method, encode(method, body), &limit, classify);
    let mut task = executor.spawn(call);
    run_until_idle(&executor);
    upstream();
    run_until_idle(&executor);
    future::block_on(future::poll_once(&mut task))
}

fn open() -> (ClientConnection<Stream>, Peer) {
    let (stream, peer) = connection(1 << 20);
    (ClientConnection::new(stream), peer)
}

fn get(
    client: &mut ClientConnection<Stream>,
    peer: &Peer,
    answer: &str,
) -> Option<Result<Response, ExchangeError>> {
    exchange(client, &Method::GET, "", || peer.send(answer))
}

/// Returns the body of a complete answer.
fn body(result: Option<Result<Response, ExchangeError>>) -> String {
    let reply = result.expect("an answer").expect("a whole answer");
    String::from_utf8(reply.body.to_vec()).expect("text")
}

/// Returns the reason of a failed exchange and the part that had been sent.
fn failure(result: Option<Result<Response, ExchangeError>>) -> (String, Sent) {
    let error = result.expect("an end").expect_err("a failure");
    (error.reason, error.sent)
}

/// Guards against answers that are taken for those of other requests, and against connections that
/// are not reused.
#[test]
fn a_connection_is_reused_for_sequential_requests() {
    let (mut client, peer) = open();
    let first = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: timeout=7\r\n\r\nhi";
    assert_eq!(body(get(&mut client, &peer, first)), "hi");
    assert!(client.is_reusable());
    assert_eq!(client.keep_alive_timeout().map(|d| d.as_secs()), Some(7));
    let second = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n";
    assert_eq!(body(get(&mut client, &peer, second)), "yes");
    assert!(client.is_reusable());
}

/// Guards against a late duplicate answer that is returned as the answer to the next request.
#[test]
fn answers_to_other_requests_are_skipped() {
    let (mut client, peer) = open();
    let late = "HTTP/1.1 200 OK\r\nid: 0\r\ncontent-length: 3\r\n\r\nold";
    let own = "HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 3\r\n\r\nnew";
    assert_eq!(
        body(get(&mut client, &peer, &[late, late, own].concat())),
        "new"
    );
    assert!(client.is_reusable());
    let (mut client, peer) = open();
    assert!(
        get(&mut client, &peer, late).is_none(),
        "its own is awaited"
    );
}

/// Guards against bytes after an answer that are taken for the next one.
#[test]
fn a_connection_with_excess_bytes_is_not_reused() {
    let (mut client, peer) = open();
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi and more";
    assert_eq!(body(get(&mut client, &peer, answer)), "hi");
    assert!(!client.is_reusable());

    let (mut client, peer) = open();
    get(
        &mut client,
        &peer,
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    );
    assert!(client.is_reusable());
    peer.send("HTTP/1.1 500 Late\r\n\r\n");
    assert!(!client.is_reusable());

    let (mut client, peer) = open();
    get(
        &mut client,
        &peer,
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    );
    peer.close();
    assert!(!client.is_reusable());
}

/// Guards against reuse of a connection that the upstream is about to close.
#[test]
fn an_announced_close_prevents_reuse() {
    let answers = [
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: x, Close\r\n\r\n",
        "HTTP/1.0 200 OK\r\ncontent-length: 0\r\n\r\n",
    ];
    for answer in answers {
        let (mut client, peer) = open();
        assert_eq!(body(get(&mut client, &peer, answer)), "");
        assert!(!client.is_reusable(), "{answer:?}");
    }
}

/// Guards against a truncated answer that is returned as a complete one.
#[test]
fn a_truncated_answer_is_a_failure() {
    let cut = [
        "",
        "HTTP/1.1 200 OK\r\ncontent-le",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhal",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhalf",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nid: 0\r\ncontent-length: 3\r\n\r\nold",
    ];
    for answer in cut {
        let (mut client, peer) = open();
        let result = exchange(&mut client, &Method::GET, "", || {
            peer.send(answer);
            peer.close();
        });
        assert_eq!(failure(result).1, Sent::Something, "{answer:?}");
        assert!(!client.is_reusable());
    }
}

/// Guards against an answer without a length that looks complete although a reset truncated it.
#[test]
fn an_answer_without_a_length_ends_with_the_close() {
    let answer = "HTTP/1.1 200 OK\r\n\r\nall of it";
    let (mut client, peer) = open();
    let result = exchange(&mut client, &Method::GET, "", || {
        peer.send(answer);
        peer.close();
    });
    assert_eq!(body(result), "all of it");
    assert!(!client.is_reusable());

    let (mut client, peer) = open();
    let limit = BodyLimit::new(MAX);
    let executor = LocalExecutor::new();
    let call = client.exchange(&Method::GET, encode(&Method::GET, ""), &limit, classify);
    let mut task = executor.spawn(call);
    peer.send(answer);
    run_until_idle(&executor);
    peer.reset();
    run_until_idle(&executor);
    let result = future::block_on(future::poll_once(&mut task));
    assert_eq!(failure(result).1, Sent::Something);
}

/// Guards against invalid answers that are accepted, and against answers that exhaust memory.
#[test]
fn an_invalid_answer_is_a_failure() {
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
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n\r\n\r\n",
        long.as_str(),
    ];
    for answer in wrong {
        let (mut client, peer) = open();
        let (_, sent) = failure(get(&mut client, &peer, answer));
        assert_eq!(sent, Sent::Something, "{answer:?}");
        assert!(!client.is_reusable(), "{answer:?}");
    }
}

/// Guards against a request that may have run and is reported as not sent, and the reverse.
#[test]
fn a_failure_reports_whether_anything_was_sent() {
    let (mut client, peer) = open();
    peer.reset();
    let result = exchange(&mut client, &Method::GET, "", || {});
    assert_eq!(failure(result).1, Sent::Nothing);

    let (stream, peer) = connection(1);
    let mut client = ClientConnection::new(stream);
    let result = exchange(&mut client, &Method::GET, "", || peer.reset());
    assert_eq!(failure(result).1, Sent::Something, "one byte was taken");
}

/// Guards against reuse of a connection on which the upstream still expects the rest of a body: it
/// would read the next request as a part of that body.
#[test]
fn an_answer_before_the_end_of_the_body_ends_the_connection() {
    let (stream, peer) = connection(40);
    let mut client = ClientConnection::new(stream);
    let long_body = "a body that is longer than the room of the connection";
    let result = exchange(&mut client, &Method::POST, long_body, || {
        peer.send("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n");
    });
    assert_eq!(result.expect("an answer").expect("whole").head.status, 503);
    assert!(!client.is_reusable());
}

/// Guards against an interim answer that is returned as the final one.
#[test]
fn interim_answers_are_skipped() {
    let (mut client, peer) = open();
    let answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nlink: x\r\n\r\n\
                  HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";
    assert_eq!(body(get(&mut client, &peer, answer)), "hi");
    assert!(client.is_reusable());
}

/// Guards against waiting for a body that the answer does not have.
#[test]
fn answers_without_a_body_are_complete() {
    let (mut client, peer) = open();
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n";
    let result = exchange(&mut client, &Method::HEAD, "", || peer.send(answer));
    assert_eq!(body(result), "");
    assert!(client.is_reusable());
    assert_eq!(
        body(get(&mut client, &peer, "HTTP/1.1 204 None\r\n\r\n")),
        ""
    );
    assert!(client.is_reusable());
}

/// Guards against connection-specific fields that are forwarded to the next hop.
#[test]
fn connection_specific_fields_are_omitted() {
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
    let mut sent = encode_request(&Method::POST, "/p?q", &headers, &Bytes::from("body"));
    let expected = "POST /p?q HTTP/1.1\r\nhost: h.example\r\naccept: a\r\naccept: b\r\n\
                    content-length: 4\r\n\r\nbody";
    let sent = sent.copy_to_bytes(sent.remaining());
    assert_eq!(String::from_utf8(sent.to_vec()).expect("text"), expected);
}

/// Guards against a client that reads on for ever: an upstream in trouble may send interim heads,
/// answers to other requests, chunks or trailer fields without end.
#[test]
fn bytes_that_are_no_answer_are_limited() {
    let starts_and_pieces = [
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("", "HTTP/1.1 200 OK\r\nid: 0\r\ncontent-length: 1\r\n\r\nx"),
        ("HTTP/1.1 200 OK\r\nid: 0\r\n\r\n", "noise"),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            "a: b\r\n",
        ),
        ("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", "noise"),
    ];
    for (start, piece) in starts_and_pieces {
        let (mut client, peer) = open();
        let limit = BodyLimit::new(MAX);
        let executor = LocalExecutor::new();
        let call = client.exchange(&Method::GET, encode(&Method::GET, ""), &limit, classify);
        let mut task = executor.spawn(call);
        peer.send(start);
        let pieces = piece.repeat(64 * 1024 / piece.len());
        let mut result = None;
        // 8 MiB; the limit is 1 MiB.
        for _ in 0..128 {
            peer.send(&pieces);
            run_until_idle(&executor);
            result = future::block_on(future::poll_once(&mut task));
            if result.is_some() {
                break;
            }
        }
        let (_, sent) = failure(result);
        assert_eq!(sent, Sent::Something, "{start:?} {piece:?}");
        drop(task);
        drop(executor);
        assert!(!client.is_reusable(), "{start:?} {piece:?}");
    }
}

/// Guards against heads without end that many upstreams send at once and that together fill the
/// memory, which would end the requests of all other callers.
#[test]
fn heads_without_end_take_their_memory_from_the_share() {
    const HEAD: usize = 48 * 1024;
    let share = MemoryShare::new(4 * HEAD);
    let limit = BodyLimit::of_share(MAX, &share);
    let mut links: Vec<_> = (0..8).map(|_| open()).collect();
    let executor = LocalExecutor::new();
    let mut calls = Vec::new();
    for (client, peer) in &mut links {
        let call = client.exchange(&Method::GET, encode(&Method::GET, ""), &limit, classify);
        calls.push(executor.spawn(call));
        peer.send("HTTP/1.1 200 OK\r\nnoise: ");
        peer.send("x".repeat(HEAD));
        run_until_idle(&executor);
    }
    let ended = calls.iter().filter(|call| call.is_finished()).count();
    assert!((4..8).contains(&ended), "{ended} of 8 calls ended");
    let used = share.used();
    assert!(used > HEAD && used <= share.limit(), "{used} bytes");
    drop(calls);
    drop(executor);
    assert_eq!(share.used(), 0);
}

/// Answers of each framing, with the number of bytes of their head if the rest has no stated
/// length.
fn complete_answers() -> Vec<(Method, String, Option<usize>)> {
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nlink: x\r\n\r\n";
    let fields = "id: 1\r\nx-seal: s\r\n";
    let length = format!("HTTP/1.1 200 OK\r\n{fields}content-length: 12\r\n\r\nall the body");
    let empty = format!("HTTP/1.1 200 OK\r\n{fields}content-length: 0\r\n\r\n");
    let chunks = format!(
        "HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n\
         c;x=1\r\nall the body\r\n1\r\n!\r\n0\r\nx-trailer: t\r\n\r\n"
    );
    let none = format!("HTTP/1.1 204 None\r\n{fields}\r\n");
    let head = format!("HTTP/1.1 200 OK\r\n{fields}\r\n");
    let unlimited = format!("{head}all the body");
    let get = Method::GET;
    vec![
        (get.clone(), length.clone(), None),
        (get.clone(), [interim, &length].concat(), None),
        (get.clone(), empty, None),
        (get.clone(), chunks, None),
        (get.clone(), none, None),
        (Method::HEAD, length[..length.len() - 12].to_owned(), None),
        (get.clone(), unlimited, Some(head.len())),
        (get, head.clone(), Some(head.len())),
    ]
}

/// Guards against an answer that is taken for a whole one although the upstream closed or reset the
/// connection before its end, at any byte.
#[test]
fn an_answer_that_is_cut_off_anywhere_is_a_failure() {
    for (method, answer, head) in complete_answers() {
        for cut in 0..=answer.len() {
            for reset in [false, true] {
                let (mut client, peer) = open();
                let limit = BodyLimit::new(MAX);
                let executor = LocalExecutor::new();
                let call = client.exchange(&method, encode(&method, ""), &limit, classify);
                let mut task = executor.spawn(call);
                run_until_idle(&executor);
                peer.send(&answer[..cut]);
                run_until_idle(&executor);
                if reset {
                    peer.reset();
                } else {
                    peer.close();
                }
                run_until_idle(&executor);
                let result = future::block_on(future::poll_once(&mut task));
                let result = result.expect("an end");
                // Without a length, a close ends the answer and a reset cuts it off.
                let whole = match head {
                    Some(head) => cut >= head && !reset,
                    None => cut == answer.len(),
                };
                let place = format!("{:?}, reset: {reset}", &answer[..cut]);
                assert_eq!(result.is_ok(), whole, "{place}");
                drop(task);
                drop(executor);
                assert!(!client.is_reusable(), "{place}");
            }
        }
    }
}

/// Guards against an answer whose head can be read in two ways, and which could hide that its
/// length is missing.
#[test]
fn a_head_with_two_readings_is_a_failure() {
    let heads = [
        "content-length: 3\r\ncontent-length: 30\r\n",
        "content-length: 3, 3\r\n",
        "content-length: +3\r\n",
        "content-length: 3 3\r\n",
        "content-length:\r\n",
        "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        "content-length\r\n",
        "content-length : 3\r\n",
        " content-length: 3\r\n",
        "x: y\r\n content-length: 3\r\n",
        "x: a\0b\r\ncontent-length: 3\r\n",
        "x: a\rb\r\ncontent-length: 3\r\n",
        "\0content-length: 3\r\n",
    ];
    for fields in heads {
        let (mut client, peer) = open();
        let result = exchange(&mut client, &Method::GET, "", || {
            peer.send(format!("HTTP/1.1 200 OK\r\n{fields}\r\nabc"));
            peer.close();
        });
        assert_eq!(failure(result).1, Sent::Something, "{fields:?}");
    }
    // Bare line feeds end lines, and a repeated length is one length.
    for fields in [
        "content-length: 3\n",
        "content-length: 3\r\ncontent-length: 3\r\n",
    ] {
        let (mut client, peer) = open();
        let answer = format!("HTTP/1.1 200 OK\r\n{fields}\r\nabc");
        assert_eq!(body(get(&mut client, &peer, &answer)), "abc");
    }
}
