//! Clients.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::world::World;

/// What a client got.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub id: String,
    pub sent: f64,
    pub ended: f64,
    /// 0 if the connection ended without an answer.
    pub status: u16,
    pub answer: Option<Message>,
}

/// Sends one request on a connection of its own.
pub fn send(
    world: &Arc<World>,
    to: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    key: Option<u64>,
    deadline_ms: u64,
    body: &[u8],
) -> Outcome {
    let id = world.request_id();
    let sent = world.now();
    world.note(&format!("sent     request {id} {method} {host}{path}"));
    let key = key
        .map(|k| format!("X-Shard-Key: {k}\r\n"))
        .unwrap_or_default();
    let length = if body.is_empty() && method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let mut bytes = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n{key}{length}\r\n").into_bytes();
    bytes.extend(body);
    let result = TcpStream::connect_timeout(&to, Duration::from_secs(1)).and_then(|stream| {
        stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)))?;
        let mut connection = Connection::new(stream);
        connection.write(&bytes)?;
        connection.read(true)
    });
    let answer = result.ok().flatten();
    let status = answer.as_ref().map_or(0, Message::status);
    let seal = answer
        .as_ref()
        .and_then(|a| a.header("x-response-seal"))
        .unwrap_or("none");
    world.note(&format!("answered request {id} with {status}, seal {seal}"));
    Outcome {
        id,
        sent,
        ended: world.now(),
        status,
        answer,
    }
}
