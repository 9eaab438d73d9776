//! Sessions of operators.

use std::fmt::Write as _;

use super::host::Hosts;
use super::raw_http::{format_answer, format_request};

/// Guards against changes of the form or status of answers on the operators' port, and against a
/// bad request that affects the ones after it.
#[test]
fn an_operator_gets_answers_to_all_calls() {
    let hosts = Hosts::start(&["a"]);
    let mut text = String::new();
    let mut connection = hosts.operator(0);
    let requests = [
        "GET /livez HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /v1/status HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /v1/resources HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /v1/resources/test HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /v1/resources/nothing HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /v1/resources/NOT%20A%20NAME HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /v1/nothing HTTP/1.1\r\nHost: h\r\n\r\n",
        "DELETE /v1/resources/test HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /v1/records HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\ngarbage",
        "POST /v1/records HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
        "POST /v1/records HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n",
        "not HTTP\r\n\r\n",
        "POST /v1/drain HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
        "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /livez HTTP/1.1\r\nHost: h\r\n\r\n",
    ];
    for request in requests {
        text.push_str(format_request(request.as_bytes()).trim_end());
        text.push('\n');
        connection.send(request.as_bytes());
        if request.contains("300000") {
            connection.send(&vec![b'x'; 300_000]);
        }
        let answer = connection.read_answer();
        text.push_str(&redact_revisions(&format_answer(&answer)));
        if answer.header("connection") == Some("close") {
            text.push_str("< (closed)\n");
            connection = hosts.operator(0);
        }
        text.push('\n');
    }
    insta::assert_snapshot!(text);
}

/// Replaces revisions, which also count the records that the host writes.
fn redact_revisions(line: &str) -> String {
    let mut out = line.to_owned();
    for field in ["\"accepted\":", "\"revision\":"] {
        let mut parts = out.split(field);
        let mut next = parts.next().unwrap_or_default().to_owned();
        for part in parts {
            let rest = part.trim_start_matches(|c: char| c.is_ascii_digit());
            write!(next, "{field}N{rest}").expect("written");
        }
        out = next;
    }
    out
}
