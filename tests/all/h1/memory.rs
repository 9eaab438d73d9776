//! Memory that connections take up together.

use bytes::Bytes;
use futures_lite::future;
use http::{HeaderMap, Method};
use smol::LocalExecutor;
use trefoil_http::h1::{
    BodyLimit, ClientConnection, ExchangeError, Match, MemoryShare, Response, encode_request,
};

use super::pipe::{connection, run_until_idle};

/// Receives an answer with this body on a new connection.
fn receive(limit: &BodyLimit, answer: &str) -> Result<Response, ExchangeError> {
    let (stream, peer) = connection(1 << 20);
    let mut client = ClientConnection::new(stream);
    let request = encode_request(&Method::GET, "/p", &HeaderMap::new(), &Bytes::new());
    peer.send(answer);
    peer.close();
    let executor = LocalExecutor::new();
    let call = client.exchange(&Method::GET, request, limit, |_| Match::Own);
    let task = executor.spawn(call);
    run_until_idle(&executor);
    future::block_on(task)
}

/// Guards against complete answers that take up memory without limit until their callers have read
/// them.
#[test]
fn an_answer_takes_up_memory_until_it_is_dropped() {
    let share = MemoryShare::new(150);
    let limit = BodyLimit::of_share(100, &share);
    let body = "x".repeat(100);
    let sized = format!("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{body}");
    let open_ended = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
    let first = receive(&limit, &sized).expect("it fits");
    assert_eq!(share.used(), 100);
    let error = receive(&limit, &sized).expect_err("there is no room");
    assert!(error.reason.contains("memory"), "{error}");
    receive(&limit, &open_ended).expect_err("there is no room");
    assert_eq!(share.refused(), 2);
    let part = first.body.slice(10..20);
    drop(first);
    assert_eq!(share.used(), 100, "a part of the body is in use");
    drop(part);
    assert_eq!(share.used(), 0);
    receive(&limit, &sized).expect("it fits again");
    assert_eq!(share.used(), 0);
}

/// Guards against long answers that leave no memory for short ones.
#[test]
fn long_answers_leave_room_for_short_ones() {
    let share = MemoryShare::new(1 << 20);
    let limit = BodyLimit::of_share(1 << 20, &share);
    let answer = |size: usize| {
        let body = "x".repeat(size);
        format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n{body}")
    };
    let long = answer(450_000);
    let first = receive(&limit, &long).expect("it fits");
    let second = receive(&limit, &long).expect("it fits");
    receive(&limit, &answer(100_000)).expect_err("long ones have used their part");
    assert!(!share.is_full());
    receive(&limit, &answer(50_000)).expect("it is short");
    drop((first, second));
    assert_eq!(share.used(), 0);
}
