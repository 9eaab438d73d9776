//! Answers without a length that break off, before or after the upstream has read the request.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use trefoil_soak::eventually;

use super::host::Hosts;
use crate::raw::{LastAnswer, listen, read_head, read_last_answer, reset_on_close};

/// A request that does not fit into the buffers of a connection, in bytes.
const LONG_REQUEST: usize = 8 * 1024 * 1024;

/// Sizes of whole answers: one that is collected and one that is passed on while it arrives.
const SIZES: [usize; 2] = [40_000, 400_000];

/// Time before an answer, in which the host fills the buffers of the connection.
const WORK: Duration = Duration::from_millis(30);

/// Starts an upstream that answers once it has read the head, and counts its POST requests.
fn start_upstream(posts: &Arc<AtomicUsize>) -> SocketAddr {
    let posts = Arc::clone(posts);
    listen(move |stream| {
        answer(stream, &posts);
    })
}

/// Answers by the last segments of the path, `KIND/SIZE`. The kind `cut` sends the first half and
/// resets the connection, `whole` sends everything and reads on.
fn answer(mut stream: TcpStream, posts: &AtomicUsize) -> Option<()> {
    let head = read_head(&mut stream)?.to_lowercase();
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
        reset_on_close(&stream);
        return Some(());
    }
    stream.shutdown(Shutdown::Write).ok()?;
    std::io::copy(&mut stream, &mut std::io::sink()).ok()?;
    Some(())
}

/// Sends a request and returns its answer with its outcome.
fn send(address: SocketAddr, request: &[u8]) -> (LastAnswer, String) {
    let mut stream = TcpStream::connect(address).expect("connected");
    let timeout = Some(Duration::from_secs(20));
    stream.set_read_timeout(timeout).expect("set");
    // The host may answer before it has read the request. It may also close the connection without
    // an answer, which promises nothing.
    let _ = stream.write_all(request);
    let answer = read_last_answer(&mut stream);
    let mut lines = answer.head.lines();
    let outcome = lines.find_map(|line| line.strip_prefix("trefoil-outcome: "));
    let outcome = outcome.unwrap_or_default().to_owned();
    (answer, outcome)
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
    hosts.add_services(&["a", "b"], &service);
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
                let (seen, _) = send(caller, &request("GET", "1.1", "whole", 10, 0));
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
                let (seen, outcome) =
                    send(caller, &request("POST", version, "whole", size, length));
                let whole = (200, "done", Some(size));
                assert_eq!((seen.status, &*outcome, seen.size), whole, "{place}");
                let (seen, _) = send(caller, &request("POST", version, "cut", size, length));
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
