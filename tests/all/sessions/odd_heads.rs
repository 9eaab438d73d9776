//! An upstream whose heads are not those of a final answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use trefoil_soak::eventually;

use super::host::Hosts;
use super::raw_http::Answer;
use crate::raw::{FIELD_LINES, STATUS_LINES, listen, read_head};

/// Lines whose names are the last path segment of the requests that are answered with them, and how
/// an answer is made of a line and valid fields.
type Odd = (
    &'static [(&'static str, &'static str)],
    fn(&str, &str) -> String,
);

/// Starts the upstream and counts its POST requests.
fn start_upstream(posts: &Arc<AtomicUsize>, odd: Odd) -> SocketAddr {
    let posts = Arc::clone(posts);
    listen(move |stream| {
        answer(stream, &posts, odd);
    })
}

fn answer(mut stream: TcpStream, posts: &AtomicUsize, (lines, make): Odd) -> Option<()> {
    let head = read_head(&mut stream)?.to_lowercase();
    let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let length = field("content-length: ").and_then(|n| n.parse().ok());
    stream.read_exact(&mut vec![0; length.unwrap_or(0)]).ok()?;
    posts.fetch_add(usize::from(head.starts_with("post")), Ordering::SeqCst);
    let kind = head.split(' ').nth(1)?.rsplit('/').next()?;
    let number = field("trefoil-attempt: ").unwrap_or_default();
    // Without the announcement, a request could be written to the connection while it closes.
    let fields = format!("trefoil-attempt: {number}\r\nconnection: close\r\n");
    let answer = match lines.iter().find(|(name, _)| *name == kind) {
        Some((_, line)) => make(line, &fields),
        None => format!("HTTP/1.1 200 OK\r\n{fields}content-length: 3\r\n\r\nodd"),
    };
    stream.write_all(answer.as_bytes()).ok()
}

/// Guards against bytes of an upstream that are no answer being passed on as one (P3), and against
/// a second run of a request that must not run twice (P5).
#[test]
fn an_odd_status_is_never_passed_on() {
    check_never_passed_on((&STATUS_LINES, |line, fields| {
        format!("{line}\r\n{fields}content-length: 3\r\n\r\nodd")
    }));
}

/// Guards against an answer with a damaged field that is passed on, with the field or with a body
/// that the upstream has not sent (P3), and against a second run (P5).
#[test]
fn an_odd_field_is_never_passed_on() {
    check_never_passed_on((&FIELD_LINES, |line, fields| {
        format!("HTTP/1.1 200 OK\r\n{fields}{line}\r\ncontent-length: 3\r\n\r\nodd")
    }));
}

fn check_never_passed_on(odd: Odd) {
    let hosts = Hosts::start(&["a", "b"]);
    let posts = Arc::default();
    let address = start_upstream(&posts, odd);
    let service = format!(
        "    - name: odd
      key: {{ path: 1 }}
      methods: {{ idempotent: [GET], non-idempotent: [POST] }}
      fenced: false
      limits: {{ slots: 8, connections: 130, body: 1000 }}
      deadlines: {{ default: 2000, max: 10000, margin: 100 }}
      upstreams:
        - {{ name: odd-1, address: \"{address}\", domain: a }}
"
    );
    hosts.add_services(&["a", "b"], &service);
    let send = |host: usize, method: &str, kind: &str| -> Answer {
        let mut caller = hosts.caller(host);
        let request = format!(
            "{method} /odd/c-1/{kind} HTTP/1.1\r\nHost: h\r\nTrefoil-Timeout-Ms: 500\r\n\
             Content-Length: 0\r\n\r\n"
        );
        caller.send(request.as_bytes());
        caller.read_answer()
    };
    for host in [0, 1] {
        eventually("the upstream is served", || {
            (send(host, "GET", "fine").status() == 200).then_some(())
        });
        for (kind, line) in odd.0 {
            let before = posts.load(Ordering::SeqCst);
            for method in ["POST", "GET"] {
                let answer = send(host, method, kind);
                let seen = (answer.status(), answer.outcome());
                assert_eq!(seen, (502, "unknown"), "{method}: {line:?}: {answer:?}");
                assert_ne!(answer.body, b"odd", "{method}: {line:?}");
                // The slot of an unknown request is free again after its deadline. A request that
                // waits for it longer than its own deadline is refused and reaches no upstream.
                eventually("the upstream is served", || {
                    (send(host, "GET", "fine").status() == 200).then_some(())
                });
            }
            assert_eq!(posts.load(Ordering::SeqCst), before + 1, "{line:?}");
        }
    }
}
