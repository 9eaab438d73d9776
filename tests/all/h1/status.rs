//! Status lines of upstreams that are not those of a final answer.

use bytes::Bytes;
use futures_lite::future;
use http::{HeaderMap, Method};
use trefoil_http::h1::{BodyLimit, ClientConnection, Match, Sent, encode_request};

use super::pipe::connection;

/// Returns the status and body of an answer, or the reason of the failure, once the connection has
/// ended.
pub(super) fn exchange<B>(answer: B, streamed: bool) -> Result<(u16, Bytes), String>
where
    B: AsRef<[u8]>,
{
    let (stream, peer) = connection(1 << 20);
    let mut client = ClientConnection::new(stream);
    peer.send(answer);
    peer.close();
    let request = encode_request(&Method::GET, "/p", &HeaderMap::new(), &Bytes::new());
    let limit = BodyLimit::new(1 << 20);
    let result = if streamed {
        let call = client.exchange_streamed(&Method::GET, request, &limit, |_| Match::Own);
        future::block_on(call).map(|(response, _)| response)
    } else {
        future::block_on(client.exchange(&Method::GET, request, &limit, |_| Match::Own))
    };
    assert!(!client.is_reusable(), "the connection has ended");
    match result {
        Ok(response) => Ok((response.head.status.as_u16(), response.body)),
        Err(error) => {
            assert_eq!(error.sent, Sent::Something, "the upstream may have run it");
            Err(error.reason)
        }
    }
}

/// Guards against a status that HTTP does not define being passed on to callers, and against a
/// switch of the protocol, which nobody has asked for, being taken for an interim answer.
#[test]
fn a_status_line_without_a_final_status_is_a_failure() {
    for line in [
        "HTTP/1.1 000 Zero",
        "HTTP/1.1 099 Low",
        "HTTP/1.1 600 High",
        "HTTP/1.1 999 High",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 1000 Long",
        "HTTP/1.1 20 Short",
        "HTTP/1.1 -20 Negative",
        "HTTP/1.1 abc Text",
        "HTTP/1.1 ",
        "HTTP/1.1",
        "HTTP/2.0 200 OK",
    ] {
        let answer = format!("{line}\r\ncontent-length: 2\r\n\r\nhi");
        let then = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno";
        for streamed in [false, true] {
            let result = exchange(&(answer.clone() + then), streamed);
            assert!(result.is_err(), "{line}: {result:?}");
            let result = exchange(format!("{line}\r\n\r\n{then}"), streamed);
            assert!(result.is_err(), "{line}, without a body: {result:?}");
        }
    }
}

/// Guards against an interim answer that is taken for the final one, or for a failure.
#[test]
fn interim_answers_precede_the_final_one() {
    let last = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";
    for interim in [
        "100 Continue",
        "102 Processing",
        "103 Early Hints",
        "199 Other",
    ] {
        let interim = format!("HTTP/1.1 {interim}\r\nlink: </a>\r\n\r\n");
        for streamed in [false, true] {
            let result = exchange(&(interim.repeat(2) + last), streamed);
            assert_eq!(result, Ok((200, Bytes::from("hi"))), "{interim}");
            assert!(exchange(&interim, streamed).is_err(), "{interim}");
        }
    }
}

/// Guards against final statuses that are refused: all from 200 to 599 are passed on.
#[test]
fn final_statuses_are_accepted() {
    for status in [200, 226, 299, 304, 399, 418, 499, 500, 599] {
        let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
        assert_eq!(exchange(&answer, false), Ok((status, Bytes::new())));
    }
}
