//! HTTP/1.1 client at the level of bytes, for requests that no client library sends.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest wait for further bytes of an answer.
const IO_TIMEOUT: Duration = Duration::from_secs(20);

/// Answer of a host.
#[derive(Debug, Default, Clone)]
pub struct Answer {
    /// Status line and headers.
    pub head: String,
    pub body: Vec<u8>,
    /// True if the body is complete according to its framing.
    pub complete: bool,
}

impl Answer {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Returns the status, or 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or_default()
    }

    /// Returns the value of the outcome header.
    pub fn outcome(&self) -> &str {
        self.header("trefoil-outcome").unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Connection for sequential requests.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the port is open");
        stream
            .set_read_timeout(Some(IO_TIMEOUT))
            .expect("a timeout");
        stream
            .set_write_timeout(Some(IO_TIMEOUT))
            .expect("a timeout");
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Sends bytes. Returns false if this fails, as the host may have closed the connection after
    /// an answer.
    pub fn send(&mut self, data: &[u8]) -> bool {
        self.stream.write_all(data).is_ok()
    }

    /// Reads further bytes. Returns false at the end of the connection or after a reset.
    fn read_more(&mut self) -> bool {
        let mut piece = vec![0; 64 * 1024];
        match self.stream.read(&mut piece) {
            Ok(0) | Err(_) => false,
            Ok(n) => {
                self.buffer.extend_from_slice(&piece[..n]);
                true
            }
        }
    }

    fn read_exact(&mut self, n: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < n {
            if !self.read_more() {
                return None;
            }
        }
        Some(self.buffer.drain(..n).collect())
    }

    fn read_line(&mut self) -> Option<String> {
        let end = loop {
            match self.buffer.windows(2).position(|w| w == b"\r\n") {
                Some(at) => break at + 2,
                None if !self.read_more() => return None,
                None => {}
            }
        };
        let line = self.read_exact(end)?;
        Some(String::from_utf8_lossy(&line).trim_end().to_owned())
    }

    /// Reads the head of an answer, which is empty if there is none.
    pub fn read_head(&mut self) -> Answer {
        let mut answer = Answer::default();
        while let Some(line) = self.read_line().filter(|l| !l.is_empty()) {
            answer.head.push_str(&line);
            answer.head.push('\n');
        }
        answer
    }

    /// Reads an answer, up to the end of the connection if it is incomplete.
    pub fn read_answer(&mut self) -> Answer {
        let mut answer = self.read_head();
        match self.read_body(&answer) {
            Some(body) => (answer.body, answer.complete) = (body, true),
            None => answer.body = std::mem::take(&mut self.buffer),
        }
        answer
    }

    /// Reads the body that follows a head. Returns `None` if it is incomplete.
    pub fn read_body(&mut self, head: &Answer) -> Option<Vec<u8>> {
        match head.header("content-length").map(str::parse) {
            Some(Ok(length)) => self.read_exact(length),
            _ if head.header("transfer-encoding") == Some("chunked") => {
                let mut body = Vec::new();
                self.read_chunks(&mut body).map(|()| body)
            }
            _ => None,
        }
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> Option<()> {
        loop {
            let chunk = self.read_chunk()?;
            if chunk.is_empty() {
                return Some(());
            }
            body.extend(chunk);
        }
    }

    /// Reads one chunk, which is empty at the end of the body.
    pub fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let size = usize::from_str_radix(&self.read_line()?, 16).ok()?;
        let chunk = self.read_exact(size)?;
        self.read_line()?;
        Some(chunk)
    }

    /// Waits up to 2 s for the host to close the connection. Returns true if it does.
    pub fn is_closed(&mut self) -> bool {
        let short = Some(Duration::from_secs(2));
        self.stream.set_read_timeout(short).expect("a timeout");
        let closed = match self.stream.read(&mut [0; 1]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
        };
        self.stream
            .set_read_timeout(Some(IO_TIMEOUT))
            .expect("a timeout");
        closed
    }
}

/// Replaces times and addresses in a line of a golden file.
pub fn redact(line: &str) -> String {
    let lower = line.to_ascii_lowercase();
    let fixed = [
        ("date:", "date: DATE"),
        ("trefoil-deadline:", "trefoil-deadline: TIME"),
    ];
    if let Some((_, text)) = fixed.iter().find(|(prefix, _)| lower.starts_with(prefix)) {
        return (*text).to_owned();
    }
    let mut out = String::new();
    let mut rest = line;
    while let Some(at) = rest.find("127.0.0.") {
        let (before, from) = rest.split_at(at);
        let end = from
            .find(|c: char| !(c.is_ascii_digit() || c == '.' || c == ':'))
            .unwrap_or(from.len());
        out.push_str(before);
        out.push_str("ADDRESS");
        rest = &from[end..];
    }
    out.push_str(rest);
    out
}

/// Formats an answer for a golden file. The length of a body that contains an address varies, so it
/// is replaced too.
pub fn format_answer(answer: &Answer) -> String {
    let mut out = String::new();
    let text = answer.text();
    let varies = redact(&text) != text;
    for line in answer.head.lines().chain(text.lines()) {
        let length = line.starts_with("content-length:");
        let line = if varies && length {
            "content-length: N".to_owned()
        } else {
            redact(line)
        };
        writeln!(out, "< {line}").expect("written");
    }
    if answer.head.is_empty() {
        out.push_str("< (no answer)\n");
    }
    out
}

/// Formats a request for a golden file, with long lines and long requests truncated.
pub fn format_request(request: &[u8]) -> String {
    let mut out = String::new();
    for line in String::from_utf8_lossy(request).lines().take(12) {
        let short: String = line.chars().take(90).collect();
        let dots = if short.len() < line.len() { "..." } else { "" };
        writeln!(out, "> {}{dots}", short.escape_debug()).expect("written");
    }
    let more = String::from_utf8_lossy(request).lines().count();
    if more > 12 {
        writeln!(out, "> ... {} more lines", more - 12).expect("written");
    }
    out
}
