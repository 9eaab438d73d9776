//! HTTP/1.1 over blocking sockets, as much as the stand-ins need.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Message with its first line, its fields in lower case and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }
}

/// Reads a message. Returns `None` at the end of the connection.
pub fn read_message<R: BufRead>(input: &mut R) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            let field = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.fields.push(field);
        }
    }
    let length = message.field("content-length").and_then(|v| v.parse::<usize>().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    input.read_exact(&mut body)?;
    message.body = body;
    Ok(Some(message))
}

/// Encodes a response.
pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in fields {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Serves each connection in a thread of its own.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(Message) -> Vec<u8> + Send + Clone + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(reading) = stream.try_clone() else { return };
                let (mut input, mut output) = (BufReader::new(reading), stream);
                while let Ok(Some(request)) = read_message(&mut input) {
                    if output.write_all(&handle(request)).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new request id.
pub fn next_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(to: SocketAddr, head: &str, body: &[u8], wait: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, wait)?;
    stream.set_read_timeout(Some(wait))?;
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let text = format!("{head}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    output.write_all(&bytes)?;
    let answer = read_message(&mut BufReader::new(stream))?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
