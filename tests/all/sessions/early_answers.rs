//! Answers without a length that break off, before or after the upstream has read the request.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use nix::libc::linger;
use nix::sys::socket::{setsockopt, sockopt};
use trefoil_log::Verdict;
use trefoil_soak::eventually;

use super::host::Hosts;

/// A request that does not fit into the buffers of a connection, in bytes.
const LONG_REQUEST: usize = 8 * 1024 * 1024;

/// Sizes of whole answers: one that is collected and one that is passed on while it arrives.
const SIZES: [usize; 2] = [40_000, 400_000];

/// Time before an answer, in which the host fills the buffers of the connection.
const WORK: Duration = Duration::from_millis(30);

/// Starts an upstream that answers once it has read the head, and counts its POST requests.
fn start_upstream(posts: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let posts = Arc::clone(posts);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let posts = Arc::clone(&posts);
            thread::spawn(move || answer(stream, &posts));
        }
    });
    address
}

/// Answers by the last segments of the path, `KIND/SIZE`. The kind `cut` sends the first half and
/// resets the connection, `whole` sends everything and reads on.
fn answer(mut stream: TcpStream, posts: &AtomicUsize) -> Option<()> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?.to_lowercase();
    posts.fetch_add(usize::from(head.starts_with("post")), Ordering::SeqCst);
    let mut path = head.split(' ').nth(1)?.rsplit('/');
    let Some(size) = path.next()?.parse::<usize>().ok() else {
        // A probe of the host.
        let answer = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
        return stream.write_all(answer).ok();
    };
    let cut = path.next()? == "cut";
    thread::sleep(WORK);
    let number = head.lines().find(|l| l.starts_with("trefoil-attempt: "))?;
    let answer = format!("HTTP/1.1 200 OK\r\n{number}\r\nconnection: close\r\n\r\n");
    let size = if cut { size / 2 } else { size };
    stream
        .write_all((answer + &"a".repeat(size)).as_bytes())
        .ok()?;
    if cut {
        let now = linger {
            l_onoff: 1,
            l_linger: 0,
        };
        return setsockopt(&stream, sockopt::Linger, &now).ok();
    }
    stream.shutdown(Shutdown::Write).ok()?;
    std::io::copy(&mut stream, &mut std::io::sink()).ok()?;
    Some(())
}

/// An answer as its caller understands it.
#[derive(Debug, Default)]
struct Seen {
    status: u16,
    outcome: String,
    /// Size of the body if it is complete.
    size: Option<usize>,
}

fn send(address: SocketAddr, request: &[u8]) -> Seen {
    let mut stream = TcpStream::connect(address).expect("connected");
    let timeout = Some(Duration::from_secs(20));
    stream.set_read_timeout(timeout).expect("set");
    // The host may answer before it has read the request.
    let _ = stream.write_all(request);
    let mut bytes = Vec::new();
    let ended = stream.read_to_end(&mut bytes).is_ok();
    let text = String::from_utf8(bytes).expect("text");
    // A host may close the connection without an answer, which promises nothing.
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return Seen::default();
    };
    let head = head.to_lowercase();
    let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let size = match field("content-length: ").map(|n| n.parse().expect("a number")) {
        Some(length) => (body.len() == length).then_some(length),
        None if head.contains("transfer-encoding: chunked") => decode_chunks(body),
        None => ended.then_some(body.len()),
    };
    Seen {
        status: head
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .expect("a status"),
        outcome: field("trefoil-outcome: ").unwrap_or_default().to_owned(),
        size,
    }
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

/// Guards against an answer that looks complete although the upstream has reset the connection in
/// the middle of it (P3), and against a second run of a request that must not run twice (P5).
#[test]
fn an_answer_without_a_length_does_not_end_with_a_reset() {
    let hosts = Hosts::start(&["a", "b"]);
    let posts = Arc::default();
    let address = start_upstream(&posts);
    let service = format!(
        "    - name: early
      key: {{ path: 1 }}
      methods: {{ idempotent: [GET], non-idempotent: [POST] }}
      fenced: false
      limits: {{ slots: 64, connections: 130, body: {LONG_REQUEST} }}
      deadlines: {{ default: 3000, max: 10000, margin: 100 }}
      upstreams:
        - {{ name: early-1, address: \"{address}\", domain: a }}
"
    );
    let resource = hosts.resource(&["a", "b"]) + &service;
    let Verdict::Conflict { current } = smol::block_on(hosts.publish(0, &resource)) else {
        panic!("the first resource has a revision");
    };
    let verdict = smol::block_on(hosts.publish(current.0, &resource));
    assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict:?}");
    let request = |method: &str, version: &str, kind: &str, size: usize, length: usize| {
        let mut request = format!(
            "{method} /early/c-1/{kind}/{size} HTTP/{version}\r\nHost: h\r\nConnection: close\r\n\
             Trefoil-Timeout-Ms: 3000\r\nContent-Length: {length}\r\n\r\n"
        )
        .into_bytes();
        request.resize(request.len() + length, b'b');
        request
    };
    for node in &hosts.nodes {
        let caller = node.addresses().caller;
        let wait = || {
            eventually("the upstream is served", || {
                let seen = send(caller, &request("GET", "1.1", "whole", 10, 0));
                (seen.status == 200 && seen.size == Some(10)).then_some(())
            });
        };
        wait();
        for (version, size, length) in [
            ("1.1", SIZES[0], LONG_REQUEST),
            ("1.1", SIZES[1], LONG_REQUEST),
            ("1.1", SIZES[0], 3),
            ("1.1", SIZES[1], 3),
            ("1.0", SIZES[0], 3),
            ("1.0", SIZES[1], 3),
        ] {
            for round in 0..4 {
                let before = posts.load(Ordering::SeqCst);
                let place = format!("HTTP/{version}, {size} to {length} bytes, round {round}");
                let seen = send(caller, &request("POST", version, "whole", size, length));
                let whole = (200, "done", Some(size));
                assert_eq!((seen.status, &*seen.outcome, seen.size), whole, "{place}");
                let seen = send(caller, &request("POST", version, "cut", size, length));
                assert!(
                    seen.status == 502 || seen.size.is_none(),
                    "{place}: {seen:?}"
                );
                assert_eq!(posts.load(Ordering::SeqCst), before + 2, "{place}");
                wait();
            }
        }
    }
}
