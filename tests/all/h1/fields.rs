//! Header fields of upstreams whose names are no names.

use bytes::Bytes;

use super::status::exchange;

/// Names of fields that frame the body, and names whose length exceeds that of a machine word and
/// of a vector register, which a parser may check in steps.
const NAMES: [&str; 4] = [
    "x",
    "content-length",
    "transfer-encoding",
    "x-a-name-that-is-longer-than-two-vector-registers",
];

/// Returns true for the bytes of a name (RFC 9110, section 5.6.2).
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns the body of an answer, or `None` if the exchange fails.
fn read_body(answer: &[u8], streamed: bool) -> Option<Bytes> {
    let (_, body) = exchange(answer, streamed).ok()?;
    Some(body)
}

/// Calls `check` with lines whose name contains a byte that no name has, at any place.
fn for_each_line<F>(check: F)
where
    F: Fn(&[u8]),
{
    for name in NAMES {
        for at in 0..=name.len() {
            // A colon ends the name.
            for byte in (0..=u8::MAX).filter(|b| !is_name_byte(*b) && *b != b':') {
                let (before, after) = name.split_at(at);
                let line = [before.as_bytes(), &[byte], after.as_bytes(), b": 3\r\n"];
                check(&line.concat());
            }
        }
    }
}

/// Guards against a head with a blank, a control byte or another byte that no name has in the name
/// of a field: the field would be passed on, or would hide how long the body is.
#[test]
fn a_name_with_an_invalid_byte_is_a_failure() {
    for_each_line(|line| {
        let (status, other) = (b"HTTP/1.1 200 OK\r\n", b"x-seal: s\r\n");
        let end = b"content-length: 3\r\n\r\nabc";
        for answer in [
            [&status[..], line, other, end].concat(),
            [&status[..], other, line, end].concat(),
            [&status[..], other, line, b"\r\nabc"].concat(),
        ] {
            for streamed in [false, true] {
                let body = read_body(&answer, streamed);
                assert_eq!(body, None, "{:?}", answer.escape_ascii().to_string());
            }
        }
    });
}

/// Guards against the same in an interim head, behind which the final answer would be read at the
/// wrong place.
#[test]
fn a_name_with_an_invalid_byte_in_an_interim_head_is_a_failure() {
    for_each_line(|line| {
        let interim = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n";
        let last = b"\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc";
        let answer = [&interim[..], line, last].concat();
        let body = read_body(&answer, false);
        assert_eq!(body, None, "{:?}", answer.escape_ascii().to_string());
    });
}

/// Guards against names that are refused although they are valid, and against heads that are refused
/// although all of their lines end with a line feed.
#[test]
fn valid_fields_are_accepted() {
    let body = read_body(b"HTTP/1.1 200 OK\nx: 1\ncontent-length: 3\n\nabc", false);
    assert_eq!(body, Some(Bytes::from("abc")));
    let names = (0..=u8::MAX).filter(|b| is_name_byte(*b)).map(char::from);
    for name in names {
        let answer = format!("HTTP/1.1 200 OK\r\nx{name}y: 1\r\ncontent-length: 3\r\n\r\nabc");
        let body = read_body(answer.as_bytes(), false);
        assert_eq!(body, Some(Bytes::from("abc")), "{name}");
    }
}
