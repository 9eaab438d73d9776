//! Upstreams whose heads are not those of a final answer.

use std::io::Write;

use super::fake::{FakeUpstream, fields, fleet_of};
use crate::raw::{FIELD_LINES, STATUS_LINES};

/// Guards against bytes of an upstream that are no answer being passed on as one, against a second
/// run of a request that must not run twice, and against a refusal after a run.
#[test]
fn an_odd_status_is_never_passed_on() {
    check_never_passed_on(&STATUS_LINES, |line, fields| {
        format!("{line}\r\n{fields}Content-Length: 3\r\n\r\nodd")
    });
}

/// Guards against an answer with a damaged field that is passed on, with the field or with a body
/// that the upstream has not sent, and against a second run and a refusal as above.
#[test]
fn an_odd_field_is_never_passed_on() {
    check_never_passed_on(&FIELD_LINES, |line, fields| {
        format!("HTTP/1.1 200 OK\r\n{fields}{line}\r\nContent-Length: 3\r\n\r\nodd")
    });
    check_never_passed_on(&FIELD_LINES, |line, fields| {
        let interim = format!("HTTP/1.1 103 Early Hints\r\n{line}\r\n\r\n");
        format!("{interim}HTTP/1.1 200 OK\r\n{fields}Content-Length: 3\r\n\r\nodd")
    });
}

/// Sends requests to an upstream that answers with one of `lines`, by the name with which the id of
/// the request begins. `answer` creates the answer from the line and the fields of a valid one.
fn check_never_passed_on<F>(lines: &'static [(&str, &str)], answer: F)
where
    F: Fn(&str, &str) -> String + Send + Sync + 'static,
{
    let upstream = FakeUpstream::start(move |id, stream| {
        let (kind, _) = id.split_once('-').unwrap_or((id, ""));
        let line = lines.iter().find(|(name, _)| *name == kind);
        let fields = fields(id);
        let answer = match line {
            Some((_, line)) => answer(line, &fields),
            None => format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: 3\r\n\r\nodd"),
        };
        let _ = stream.write_all(answer.as_bytes());
        false
    });
    let fleet = fleet_of(&[&upstream]);
    let host = &fleet.hosts[0];
    for (kind, line) in lines {
        let before = upstream.received();
        let answer = host.post(&format!("{kind}-once"), "/write/x", "data");
        let answer = answer.expect("an answer");
        let seen = (answer.status, answer.body.as_str());
        assert_eq!(seen, (502, ""), "{line:?}");
        assert_eq!(upstream.received(), before + 1, "{line:?}");
        for path in ["/read/x", "/load/x"] {
            let answer = host.get(&format!("{kind}-read"), path, "");
            let answer = answer.expect("an answer");
            let seen = (answer.status, answer.body.as_str());
            assert_eq!(seen, (502, ""), "{path}: {line:?}");
        }
    }
    let answer = host.get("fine", "/read/x", "").expect("an answer");
    assert_eq!((answer.status, answer.body.as_str()), (200, "odd"));
}
