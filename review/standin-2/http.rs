//! Minimal HTTP/1.1 messages for stand-ins and callers.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A head with its first line and fields; names are in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ').skip(1);
        words.next().and_then(|w| w.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn length(&self) -> Option<usize> {
        self.field("content-length").and_then(|v| v.trim().parse().ok())
    }

    pub fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }
}

/// A connection with bytes that were read ahead.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let n = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..n]);
        Ok(n)
    }

    /// Reads a head, or returns `None` if the peer has closed the connection before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(cut()) };
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()));
        Ok(Some(Head { first, fields: fields.collect() }))
    }

    /// Reads exactly `count` bytes.
    pub fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(cut());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(cut());
            }
        }
    }

    /// Reads the body that belongs to a head. An error means that it is not complete.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if let Some(length) = head.length() {
            return self.bytes(length);
        }
        let mut body = Vec::new();
        while head.is_chunked() {
            let size = usize::from_str_radix(self.line()?.trim(), 16).map_err(|_| cut())?;
            body.extend(self.bytes(size)?);
            self.line()?;
            if size == 0 {
                break;
            }
        }
        Ok(body)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn cut() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

/// Encodes an answer with a length.
pub fn answer(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} -\r\n");
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    [text.as_bytes(), body].concat()
}
