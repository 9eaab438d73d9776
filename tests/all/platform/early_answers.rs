//! Answers without a length that upstreams give before they have read a long request.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use super::fake::{FakeUpstream, Part, download_config, fields, fleet_with, reset_on_close};

/// A request that does not fit into the buffers of a connection, in bytes.
const REQUEST: usize = 8 * 1024 * 1024;

/// A whole answer, in bytes. It fits into the buffers of a connection.
const ANSWER: usize = 40_000;

/// Time before an answer, in which the host fills the buffers of the connection.
const WORK: Duration = Duration::from_millis(30);

/// Requests of each kind. A host that passes on answers that were reset does so with some of them.
const ROUNDS: usize = 8;

/// Deadline of a request, long enough to write and read [`REQUEST`] bytes on a busy machine.
const DEADLINE: Duration = Duration::from_secs(10);

/// Answers by the kind with which the id begins:
///
/// - `cut`: half of the answer, and a reset.
/// - `whole`: the answer and a regular end; the request is read on.
/// - `ended`: the answer, a regular end and a reset.
fn answer(id: &str, stream: &mut TcpStream) -> bool {
    thread::sleep(WORK);
    let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", fields(id));
    let size = if id.starts_with("cut") {
        ANSWER / 2
    } else {
        ANSWER
    };
    let _ = stream.write_all((head + &"a".repeat(size)).as_bytes());
    if id.starts_with("cut") {
        reset_on_close(stream);
        return false;
    }
    let _ = stream.shutdown(Shutdown::Write);
    if id.starts_with("whole") {
        let _ = std::io::copy(stream, &mut std::io::sink());
    }
    // With unread input, the closing of the connection resets it.
    false
}

/// Guards against an answer without a length that looks complete although the upstream has reset
/// the connection in the middle of it, against the loss of one that has ended, and against a second
/// run of a request that must not run twice.
#[test]
fn an_early_answer_is_passed_on_whole_or_not_at_all() {
    let upstream = FakeUpstream::start_after(Part::Head, answer);
    let mut config = download_config();
    config["limits"]["maxBodyBytes"] = REQUEST.into();
    let millis = u64::try_from(DEADLINE.as_millis()).expect("it fits");
    for route in ["write", "load"] {
        config["routes"][route]["timeoutMs"] = millis.into();
    }
    let fleet = fleet_with(&[&upstream], &config);
    let body = "b".repeat(REQUEST);
    for route in ["write", "load"] {
        for kind in ["cut", "whole", "ended"] {
            for round in 0..ROUNDS {
                let before = upstream.received();
                let id = format!("{kind}-{route}-{round}");
                let mut stream =
                    TcpStream::connect(fleet.hosts[0].caller_address).expect("connected");
                stream.set_read_timeout(Some(2 * DEADLINE)).expect("set");
                let head = format!(
                    "POST /{route}/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
                     X-Deadline-Ms: {millis}\r\nConnection: close\r\nContent-Length: {REQUEST}\r\n\r\n"
                );
                stream.write_all(head.as_bytes()).expect("sent");
                stream.write_all(body.as_bytes()).expect("sent");
                let (status, received) = read_answer(&mut stream);
                let expected = if kind == "cut" {
                    // A download may have begun before it broke off.
                    status != 200 || received.is_none()
                } else {
                    status == 200 && received == Some(ANSWER)
                };
                assert!(expected, "{id}: {status}, {received:?} bytes");
                if route == "write" {
                    assert_eq!(upstream.received(), before + 1, "{id}");
                }
            }
        }
    }
}

/// Reads the answer up to the end of the connection, and returns its status and the size of its
/// body if that is complete.
fn read_answer(stream: &mut TcpStream) -> (u16, Option<usize>) {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8(bytes).expect("text");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    let head = head.to_lowercase();
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let size = match length.map(|n| n.parse().expect("a number")) {
        Some(length) => (body.len() == length).then_some(length),
        None => decode_chunks(body),
    };
    (status.expect("a status"), size)
}

/// Returns the size of a body in chunks if it is complete.
fn decode_chunks(mut body: &str) -> Option<usize> {
    let mut size = 0;
    loop {
        let (line, rest) = body.split_once("\r\n")?;
        let length = usize::from_str_radix(line, 16).ok()?;
        body = rest.get(length..)?.strip_prefix("\r\n")?;
        size += length;
        if length == 0 {
            return Some(size);
        }
    }
}
