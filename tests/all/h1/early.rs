//! Answers that arrive while the request is written, on connections that are then reset.

use std::future::poll_fn;

use bytes::Bytes;
use futures_lite::future;
use http::{HeaderMap, Method};
use smol::LocalExecutor;
use trefoil_http::h1::{
    BodyLimit, ClientConnection, EncodedMessage, ExchangeError, Match, Sent, encode_request,
};

use super::pipe::{Peer, connection, run_until_idle};

/// Room of a connection for what the upstream has not received, in bytes.
const ROOM: usize = 64;

/// Larger than [`ROOM`], so that the upstream can answer while the request is written.
const REQUEST: usize = 1000;

/// How the upstream ends the connection after it has sent its bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Reset,
    Closed,
    ClosedThenReset,
}

impl End {
    fn act(self, peer: &Peer) {
        if self != Self::Reset {
            peer.close();
        }
        if self != Self::Closed {
            peer.reset_socket();
        }
    }
}

fn encode() -> EncodedMessage {
    let body = Bytes::from(vec![b'x'; REQUEST]);
    encode_request(&Method::PUT, "/p", &HeaderMap::new(), &body)
}

/// Sends a request, to which the upstream answers before it has received the whole. The bytes of the
/// answer and the end of the connection arrive together. Returns the body of the answer if it is
/// complete.
fn exchange(answer: &str, end: End, streamed: bool) -> Option<String> {
    let (stream, peer) = connection(ROOM);
    let mut client = ClientConnection::new(stream);
    let executor = LocalExecutor::new();
    let task = executor.spawn(async {
        let limit = BodyLimit::new(1 << 20);
        if !streamed {
            let call = client.exchange(&Method::PUT, encode(), &limit, |_| Match::Own);
            return call.await.map(|reply| Vec::from(&*reply.body));
        }
        let call = client.exchange_streamed(&Method::PUT, encode(), &limit, |_| Match::Own);
        let (reply, rest) = call.await?;
        let mut body = Vec::from(&*reply.body);
        if let Some(mut rest) = rest {
            let failed = ExchangeError::after_sending;
            while let Some(piece) = poll_fn(|cx| client.poll_body(cx, &mut rest))
                .await
                .map_err(failed)?
            {
                body.extend_from_slice(&piece);
            }
        }
        Ok(body)
    });
    run_until_idle(&executor);
    assert!(!task.is_finished(), "the request is being written");
    peer.send(answer);
    end.act(&peer);
    // The room that this leaves lets the client write on before it reads.
    peer.discard(ROOM / 2);
    run_until_idle(&executor);
    let result = future::block_on(future::poll_once(task));
    let result = result.expect("an end");
    drop(executor);
    assert!(!client.is_reusable(), "{answer:?}");
    match result {
        Ok(body) => Some(String::from_utf8(body).expect("text")),
        Err(error) => {
            assert_eq!(error.sent, Sent::Something, "the upstream may have run it");
            None
        }
    }
}

/// Guards against an answer without a length that looks complete because the write of the request,
/// and not the read of the answer, was told of the reset.
#[test]
fn an_answer_without_a_length_does_not_end_with_a_reset() {
    // Long answers are returned in pieces if they are streamed.
    for size in [0, 10, 20_000, 100_000] {
        let body = "a".repeat(size);
        let answer = format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}");
        for streamed in [false, true] {
            let result = exchange(&answer, End::Reset, streamed);
            assert_eq!(result, None, "{size} bytes, streamed: {streamed}");
        }
    }
}

/// Guards against the loss of whole answers to requests that the upstream has not read: their end is
/// known although the connection is reset after it.
#[test]
fn a_whole_answer_precedes_the_end_of_its_connection() {
    let body = "a".repeat(50_000);
    let length = format!("HTTP/1.1 200 OK\r\ncontent-length: 50000\r\n\r\n{body}");
    let chunks =
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nc350\r\n{body}\r\n0\r\n\r\n");
    let close = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
    let all = [End::Reset, End::Closed, End::ClosedThenReset];
    for (answer, ends) in [(length, &all[..]), (chunks, &all), (close, &all[1..])] {
        for &end in ends {
            for streamed in [false, true] {
                let result = exchange(&answer, end, streamed);
                let place = format!("{:?}, {end:?}, streamed: {streamed}", &answer[..40]);
                assert!(result.as_ref() == Some(&body), "{place}");
            }
        }
    }
}

/// Guards against an answer with a known end that looks complete before it.
#[test]
fn a_part_of_an_answer_is_a_failure() {
    let length = "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\npart";
    let chunks = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n";
    for answer in [length, chunks, "HTTP/1.1 200 OK\r\ncontent", ""] {
        for end in [End::Reset, End::Closed, End::ClosedThenReset] {
            for streamed in [false, true] {
                let result = exchange(answer, end, streamed);
                assert_eq!(result, None, "{answer:?}, {end:?}, streamed: {streamed}");
            }
        }
    }
}
