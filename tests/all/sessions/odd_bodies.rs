//! Bodies of upstreams whose framing is wrong, as `trefoild run` reads them.

use std::io::Write;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use trefoil_http::{CallError, call};

use crate::raw::read_head;

/// Returns the body of the answer to a request if it is complete. The head declares chunks.
fn read_body(chunks: &str) -> Option<Bytes> {
    read_answer(format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunks}"
    ))
}

fn read_answer(answer: String) -> Option<Bytes> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let upstream = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accepted");
        read_head(&mut stream).expect("a head");
        let _ = stream.write_all(answer.as_bytes());
    });
    let timeout = Duration::from_secs(20);
    let request = Request::new(Bytes::new());
    let result = smol::block_on(call(address, request, 1000, timeout));
    upstream.join().expect("no panic");
    match result {
        Ok((_, body)) => Some(body),
        Err(CallError::TimedOut { .. }) => panic!("the answer has an end"),
        Err(_) => None,
    }
}

/// Guards against a body that looks complete although the last chunk is missing or its bytes are no
/// chunks.
#[test]
fn a_body_that_is_not_in_chunks_is_incomplete() {
    for chunks in [
        "3\r\nabc\r\n",
        "3\r\nabc\r\n\r\n\r\n",
        "3\r\nabc\r\n \r\n\r\n",
        "3\r\nabc\r\n;x\r\n\r\n",
        "3\r\nabc\r\n5;\nhello\r\n0\r\n\r\n",
        "3\r\nabcd\r\n0\r\n\r\n",
        "3\r\nabc\r\n0\r\n",
        "3\r\nabc\r\n0\r\nno field\r\n\r\n",
        "3\r\nabc\r\n0\r\nx y: 1\r\n\r\n",
        "3\r\nabc\r\n0\r\nx\0y: 1\r\n\r\n",
        "3\r\nabc\r\n0\r\nHTTP/1.1 200 OK\r\nx: 1\r\n\r\n",
    ] {
        assert_eq!(read_body(chunks), None, "{chunks:?}");
    }
    for end in ["0\r\n\r\n", "0;x\r\nx: 1\r\ny:\r\n\r\n"] {
        let body = read_body(&format!("3\r\nabc\r\n{end}"));
        assert_eq!(body, Some(Bytes::from("abc")), "{end:?}");
    }
}

/// Guards against an encoded body that is passed on as the body itself, without the field that says
/// how it is encoded.
#[test]
fn an_encoded_body_is_no_answer() {
    for encoding in ["gzip", "gzip, chunked", "chunked, gzip", "identity", "x"] {
        for length in ["", "content-length: 3\r\n"] {
            let head = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: {encoding}\r\n{length}\r\n");
            let body = "3\r\nabc\r\n0\r\n\r\n";
            assert_eq!(read_answer(head + body), None, "{encoding}, {length:?}");
        }
    }
    let twice = "transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n";
    let answer = format!("HTTP/1.1 200 OK\r\n{twice}\r\n3\r\nabc\r\n0\r\n\r\n");
    assert_eq!(read_answer(answer), None, "{twice:?}");
}
