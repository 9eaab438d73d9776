//! Upstreams and callers that send and read the bytes of HTTP themselves.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use nix::libc::linger;
use nix::sys::socket::{setsockopt, sockopt};

/// Status lines that are not those of a final answer, each with a name.
pub const STATUS_LINES: [(&str, &str); 8] = [
    ("zero", "HTTP/1.1 000 Zero"),
    ("low", "HTTP/1.1 099 Low"),
    ("high", "HTTP/1.1 600 High"),
    ("highest", "HTTP/1.1 999 High"),
    ("switch", "HTTP/1.1 101 Switching Protocols"),
    ("text", "HTTP/1.1 abc Text"),
    ("none", "HTTP/1.1 "),
    (
        "interim",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 102 Processing",
    ),
];

/// Lines that are no header fields because of a byte in the name, each with a name.
pub const FIELD_LINES: [(&str, &str); 9] = [
    ("blank", "X Odd: 1"),
    ("blankend", "X-Odd : 1"),
    ("blankstart", " X-Odd: 1"),
    ("tab", "X\tOdd: 1"),
    ("nul", "X-\0Odd: 1"),
    ("control", "X-Odd\x01: 1"),
    ("delete", "X-\x7fOdd: 1"),
    ("return", "X-\rOdd: 1"),
    ("newline", "\nX-Odd: 1"),
];

/// Listens and calls `act` with each connection, in a thread of its own.
pub fn listen<F>(act: F) -> SocketAddr
where
    F: Fn(TcpStream) + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let act = Arc::new(act);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let act = Arc::clone(&act);
            thread::spawn(move || act(stream));
        }
    });
    address
}

/// Reads the head of a message. Returns `None` if the connection ends before it does.
pub fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// Lets the closing of a connection reset it.
pub fn reset_on_close(stream: &TcpStream) {
    let now = linger {
        l_onoff: 1,
        l_linger: 0,
    };
    setsockopt(stream, sockopt::Linger, &now).expect("set");
}

/// An answer that was read to the end of its connection.
#[derive(Debug, Default)]
pub struct LastAnswer {
    /// Status, or 0 if there is no whole head.
    pub status: u16,
    /// Head in lower case.
    pub head: String,
    /// Size of the body in bytes, if it is complete.
    pub size: Option<usize>,
}

/// Reads an answer up to the end of the connection.
pub fn read_last_answer(stream: &mut TcpStream) -> LastAnswer {
    let mut bytes = Vec::new();
    let ended = stream.read_to_end(&mut bytes).is_ok();
    let text = String::from_utf8(bytes).expect("text");
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return LastAnswer::default();
    };
    let head = head.to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let size = match length.map(|n| n.parse().expect("a number")) {
        Some(length) => (body.len() == length).then_some(length),
        None if head.contains("transfer-encoding: chunked") => decode_chunks(body),
        None => ended.then_some(body.len()),
    };
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    LastAnswer {
        status: status.expect("a status"),
        head,
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
