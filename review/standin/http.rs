//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line, split at spaces: method, target, version or version, status, reason.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The message was complete.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.first
            .get(1)
            .map_or("", |t| t.split('?').next().unwrap_or(""))
    }

    pub fn query(&self, key: &str) -> Option<String> {
        let (_, query) = self.first.get(1)?.split_once('?')?;
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs
            .into_iter()
            .find(|(k, _)| *k == key)
            .map(|(_, v)| decode(v))
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        self.query(key)?.parse().ok()
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = bytes
            .get(i + 1..i + 3)
            .and_then(|h| std::str::from_utf8(h).ok());
        match (bytes[i], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16384];
        let n = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    /// Reads a message. `None` at the end of the connection before its first byte.
    pub fn read(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines
            .next()
            .unwrap_or("")
            .splitn(3, ' ')
            .map(str::to_owned)
            .collect();
        let headers = lines.filter_map(|l| l.split_once(':'));
        let headers = headers
            .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
            .collect();
        let mut message = Message {
            first,
            headers,
            ..Message::default()
        };
        let length = message
            .header("content-length")
            .and_then(|v| v.parse::<usize>().ok());
        let chunked = message.header("transfer-encoding").is_some();
        match length {
            _ if chunked => message.body = self.read_chunks()?,
            Some(length) => message.body = self.take(length)?,
            None if is_answer && !matches!(message.status(), 204 | 304) => {
                while self.fill()? > 0 {}
                message.body = std::mem::take(&mut self.buffer);
            }
            None => {}
        }
        message.whole = true;
        Ok(Some(message))
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let size = usize::from_str_radix(self.line()?.trim(), 16).unwrap_or(0);
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size)?);
            self.line()?;
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        409 => "Conflict",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "-",
    };
    let mut out = format!("HTTP/1.1 {status} {reason}\r\n").into_bytes();
    for (name, value) in headers {
        out.extend(format!("{name}: {value}\r\n").bytes());
    }
    out.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    out.extend(body);
    out
}
