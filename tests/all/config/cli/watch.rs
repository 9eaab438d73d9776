//! Tests of `trefoilctl watch` against a stub whose streams are interrupted.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;

use super::{redact, transcript};

const ACCEPTED_5: &str =
    r#"{"change":"accepted","revision":5,"name":"w","accepted":1796371200001}"#;
const IN_A: &str =
    r#"{"change":"in-force","revision":5,"name":"w","domains":["a"],"everywhere":false}"#;
const IN_BOTH: &str =
    r#"{"change":"in-force","revision":5,"name":"w","domains":["a","b"],"everywhere":true}"#;
const ACCEPTED_6: &str =
    r#"{"change":"accepted","revision":6,"name":"w","accepted":1796371200002}"#;
const ACCEPTED_7: &str =
    r#"{"change":"accepted","revision":7,"name":"w","accepted":1796371200003}"#;

/// Serves one stream for each connection and then closes it. Returns the requested paths.
fn serve(listener: &TcpListener, streams: &[&[&str]]) -> Vec<String> {
    let mut paths = Vec::new();
    for lines in streams {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = BufReader::new(stream.try_clone().expect("a socket")).lines();
        let first = head.next().expect("a request").expect("UTF-8");
        paths.push(first.split(' ').nth(1).unwrap_or_default().to_owned());
        while head.next().is_some_and(|l| l.is_ok_and(|l| !l.is_empty())) {}
        let mut text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
        for line in *lines {
            // Sends the line in two chunks, followed by an empty keep-alive line.
            let (left, right) = line.split_at(9);
            for chunk in [left, right, "\n", "\n"] {
                write!(text, "{:x}\r\n{chunk}\r\n", chunk.len()).expect("written");
            }
        }
        // The client may have exited after the last line that it needed.
        drop(stream.write_all(text.as_bytes()));
    }
    paths
}

/// Guards against changes that are missed or printed twice when a stream is interrupted.
#[test]
fn an_interrupted_stream_is_resumed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let stub = std::thread::spawn(move || {
        let first: &[&str] = &[ACCEPTED_5, IN_A];
        let second: &[&str] = &[ACCEPTED_5, IN_BOTH, ACCEPTED_6];
        serve(&listener, &[first, second, &[ACCEPTED_6, ACCEPTED_7]])
    });
    let run = transcript(&["watch", "--from", "4", "--count", "3", "--server", &address]);
    let expected = "revision 5: w, accepted TIME
revision 5: w, in force in a
revision 5: w, in force in b, now everywhere
revision 6: w, accepted TIME
revision 7: w, accepted TIME
-- exit 0 --
";
    let run = redact(&run, &address);
    assert!(run.ends_with(expected), "{run}");
    let paths = stub.join().expect("the stub serves");
    let from = [4, 4, 5].map(|n| format!("/v1/watch?from={n}"));
    assert_eq!(paths, from);
}
