//! Answers without a length that upstreams give before they have read a long request.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use super::fake::{FakeUpstream, Part, download_config, fields, fleet_with};
use crate::raw::{LastAnswer, read_last_answer, reset_on_close};

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
                let LastAnswer { status, size, .. } = read_last_answer(&mut stream);
                let expected = if kind == "cut" {
                    // A download may have begun before it broke off.
                    status != 200 || size.is_none()
                } else {
                    status == 200 && size == Some(ANSWER)
                };
                assert!(expected, "{id}: {status}, {size:?} bytes");
                if route == "write" {
                    assert_eq!(upstream.received(), before + 1, "{id}");
                }
            }
        }
    }
}
