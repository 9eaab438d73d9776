//! A connection of a host to an upstream.

use std::error::Error;
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use serde::Deserialize;
use smol::Async;
use trefoil_http::h1::{Decoded, Decoder, Framing, RequestHead, parse_request};

use super::{LATE_RELEASE, LONG_BODY, ResponseMode, Upstream};

/// Size limit of a request head in bytes.
const HEAD_MAX: usize = 64 * 1024;

/// Interval of the checks that wait for running requests before a release is confirmed.
const RELEASE_POLL: Duration = Duration::from_millis(2);

/// The body of a grant or release. `from` and `target` are the first and last key of the range,
/// `hold_ms` is the TTL of a grant.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Order {
    from: u16,
    target: u16,
    fence: u64,
    #[serde(default)]
    hold_ms: u64,
}

/// The outcome of a request for its connection.
enum Reply {
    /// Send the bytes and read the next request.
    Answer(String),
    /// Send the bytes, a refusal, and read the next request.
    Refuse(String),
    /// Send the bytes and close the connection.
    Close(String),
    /// Send the bytes and then the second ones again and again, until the peer closes.
    Endless(String, &'static str),
}

/// Size of one write of an endless reply, in bytes.
const ENDLESS_WRITE: usize = 64 * 1024;

/// A connection and the input that has not been parsed.
pub(super) struct Connection {
    upstream: Arc<Upstream>,
    stream: Async<TcpStream>,
    input: BytesMut,
    /// Answer that some response modes send once more.
    earlier: Option<String>,
}

impl Connection {
    pub(super) fn new(upstream: Arc<Upstream>, stream: Async<TcpStream>) -> Self {
        Self {
            upstream,
            stream,
            input: BytesMut::new(),
            earlier: None,
        }
    }

    /// Serves requests until the connection closes.
    pub(super) async fn run(mut self) -> io::Result<()> {
        self.stream.get_ref().set_nodelay(true)?;
        while let Some((head, body)) = self.read_request().await? {
            let mode = self.upstream.lock().response_mode;
            let is_order = matches!(head.path(), "/grant" | "/release");
            let (records, repeats) = match mode {
                ResponseMode::RepeatRefusal => (!is_order, !is_order),
                ResponseMode::RepeatOrderAnswer => (is_order, head.path() == "/release"),
                _ => (false, false),
            };
            if let Some(earlier) = self.earlier.as_ref().filter(|_| repeats) {
                self.stream.write_all(earlier.as_bytes()).await?;
            }
            match self.handle(&head, &body).await {
                Reply::Answer(text) => {
                    self.stream.write_all(text.as_bytes()).await?;
                    if is_order && records {
                        self.earlier = Some(text);
                    }
                }
                Reply::Refuse(text) => {
                    self.stream.write_all(text.as_bytes()).await?;
                    if records {
                        self.earlier = Some(text);
                    }
                }
                Reply::Close(text) => {
                    self.stream.write_all(text.as_bytes()).await?;
                    return Ok(());
                }
                Reply::Endless(start, piece) => {
                    self.stream.write_all(start.as_bytes()).await?;
                    let pieces = piece.repeat(ENDLESS_WRITE / piece.len());
                    loop {
                        self.stream.write_all(pieces.as_bytes()).await?;
                    }
                }
            }
        }
        Ok(())
    }

    /// Reads a request; returns `None` if the connection closes first.
    async fn read_request(&mut self) -> io::Result<Option<(RequestHead, Bytes)>> {
        let head = loop {
            match parse_request(&mut self.input, HEAD_MAX).map_err(invalid_data)? {
                Some(head) => break head,
                None if !self.read_more().await? => return Ok(None),
                None => {}
            }
        };
        let framing = Framing::of_request(&head).map_err(invalid_data)?;
        let mut decoder = Decoder::new(framing);
        let mut body = BytesMut::new();
        loop {
            match decoder
                .decode(&mut self.input, false)
                .map_err(invalid_data)?
            {
                Decoded::Data(data) => body.extend_from_slice(&data),
                Decoded::End => return Ok(Some((head, body.freeze()))),
                Decoded::Incomplete if !self.read_more().await? => {
                    return Err(invalid_data(
                        "the connection closed within the request body",
                    ));
                }
                Decoded::Incomplete => {}
            }
        }
    }

    /// Reads more input; returns false at the end of the stream.
    async fn read_more(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 8192];
        let count = self.stream.read(&mut buffer).await?;
        self.input.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }

    /// Refuses a request for another upstream, or dispatches it by its path.
    async fn handle(&self, head: &RequestHead, body: &Bytes) -> Reply {
        let name = self.upstream.name();
        let target = header_text(head, "x-target-instance");
        if target.is_some_and(|target| target != name) {
            return Reply::Refuse(refuse(421, name, header_text(head, "x-request-id")));
        }
        match head.path() {
            "/grant" => self.grant(head, body),
            "/release" => self.release(head, body).await,
            _ => self.execute(head, body).await,
        }
    }

    /// Applies a grant; refuses one with an outdated fencing token.
    fn grant(&self, head: &RequestHead, body: &Bytes) -> Reply {
        let headers = self.order_headers(head);
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return Reply::Answer(empty_response(400, &headers));
        };
        let range = (order.from, order.target);
        let ttl = Duration::from_millis(order.hold_ms);
        let accepted = {
            let mut state = self.upstream.lock();
            state.grants.grant(Instant::now(), range, order.fence, ttl)
        };
        if accepted {
            self.upstream
                .recorder
                .check_grant(&self.upstream, range, order.fence);
        }
        let status = if accepted { 200 } else { 409 };
        Reply::Answer(empty_response(status, &headers))
    }

    /// Releases a range and confirms it once all running requests have ended.
    async fn release(&self, head: &RequestHead, body: &Bytes) -> Reply {
        let headers = self.order_headers(head);
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return Reply::Answer(empty_response(400, &headers));
        };
        if self.upstream.lock().response_mode == ResponseMode::RepeatOrderAnswer {
            smol::Timer::after(LATE_RELEASE).await;
        }
        let range = (order.from, order.target);
        self.upstream.lock().grants.release(range, order.fence);
        // Requests are not tracked per key, so this waits for all of them, which includes those
        // with released keys.
        while self.upstream.lock().active > 0 {
            smol::Timer::after(RELEASE_POLL).await;
        }
        let proof = format!("X-Handover: {:016x}\r\n", order.fence);
        Reply::Answer(empty_response(200, &(proof + &headers)))
    }

    /// Encodes the headers of every answer to an order.
    fn order_headers(&self, head: &RequestHead) -> String {
        let mode = self.upstream.lock().response_mode;
        let id = header_text(head, "x-request-id");
        let id = id.filter(|_| mode != ResponseMode::AnonymousOrders);
        let id = id.map(|id| format!("X-Request-Id: {id}\r\n"));
        id.unwrap_or_default() + &instance_header(self.upstream.name())
    }

    /// Runs a request unless the keys, the slots or the response mode require a refusal.
    async fn execute(&self, head: &RequestHead, body: &Bytes) -> Reply {
        let upstream = &self.upstream;
        let id = header_text(head, "x-request-id");
        let key = header_text(head, "x-shard-key").and_then(|k| k.parse::<u16>().ok());
        let mode = {
            let mut state = upstream.lock();
            let holds = key.is_none_or(|key| state.grants.is_held(Instant::now(), key));
            if upstream.spec.sharded && !(key.is_some() && holds) {
                return Reply::Refuse(refuse(421, upstream.name(), id));
            }
            let refuses = match state.response_mode {
                ResponseMode::Refuse => true,
                ResponseMode::RepeatRefusal => self.earlier.is_none(),
                ResponseMode::Unbounded => false,
                _ => state.active >= upstream.spec.slots,
            };
            if refuses {
                return Reply::Refuse(refuse(503, upstream.name(), id));
            }
            state.active += 1;
            state.response_mode
        };
        let id = id.unwrap_or_default();
        let content = format!(
            "{} {} {}",
            head.method,
            head.target,
            String::from_utf8_lossy(body)
        );
        let run = upstream.recorder.record_start(upstream, id, content, key);
        let mut execution = Execution {
            upstream,
            run,
            finished: false,
        };
        let done = async {
            smol::Timer::after(upstream.spec.service_time).await;
            mode != ResponseMode::Hang || std::future::pending::<bool>().await
        };
        execution.finished = done.or(self.wait_for_close()).await;
        let finished = execution.finished;
        drop(execution);
        if finished {
            let limit = upstream.lock().limit;
            encode_reply(mode, limit, upstream.name(), id)
        } else {
            Reply::Close(String::new())
        }
    }

    /// Completes, with false, only when the peer has closed the connection.
    async fn wait_for_close(&self) -> bool {
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
            Ok(1..) => std::future::pending().await,
            _ => false,
        }
    }
}

fn invalid_data<E>(error: E) -> io::Error
where
    E: Into<Box<dyn Error + Send + Sync>>,
{
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// Frees the slot and records the end of the run when dropped, so also if the run is cancelled.
struct Execution<'a> {
    upstream: &'a Upstream,
    run: usize,
    finished: bool,
}

impl Drop for Execution<'_> {
    fn drop(&mut self) {
        self.upstream.lock().active -= 1;
        self.upstream.recorder.record_end(self.run, self.finished);
    }
}

/// Encodes the reply to a request that has run to its end.
fn encode_reply(mode: ResponseMode, limit: Option<f64>, name: &str, id: &str) -> Reply {
    let limit = limit.map(|limit| format!("Server-Limit: {limit}\r\n"));
    let headers = format!("X-Request-Id: {id}\r\n{}", limit.unwrap_or_default());
    let signed = format!("{headers}X-Response-Seal: sealed-{id}\r\n");
    let body = format!("{name} ran {id}");
    match mode {
        ResponseMode::Normal
        | ResponseMode::Unbounded
        | ResponseMode::Refuse
        | ResponseMode::Hang
        | ResponseMode::RepeatRefusal
        | ResponseMode::RepeatOrderAnswer
        | ResponseMode::AnonymousOrders => Reply::Answer(format_response(200, &signed, &body)),
        ResponseMode::EndlessHeads => {
            Reply::Endless(String::new(), "HTTP/1.1 100 Continue\r\n\r\n")
        }
        ResponseMode::EndlessField => {
            Reply::Endless("HTTP/1.1 200 OK\r\nX-Noise: ".to_owned(), "noise")
        }
        ResponseMode::EndlessBody => {
            Reply::Endless(format!("HTTP/1.1 200 OK\r\n{signed}\r\n"), "noise")
        }
        ResponseMode::LongBody => {
            Reply::Answer(format_response(200, &signed, &"x".repeat(LONG_BODY)))
        }
        ResponseMode::Reset => Reply::Close(String::new()),
        ResponseMode::Truncate => {
            let whole = format_response(200, &signed, &body);
            Reply::Close(whole[..whole.len() - body.len() / 2].to_owned())
        }
        ResponseMode::TruncateHead => {
            Reply::Close(format!("HTTP/1.1 200 OK\r\n{signed}Content-Len"))
        }
        ResponseMode::Duplicate => {
            let one = format_response(200, &signed, &body);
            Reply::Answer([one.as_str(), &one].concat())
        }
        ResponseMode::TimeOut => Reply::Answer(format_response(504, &signed, "too late")),
        ResponseMode::Fail => Reply::Answer(format_response(500, &signed, "failed")),
        ResponseMode::Unsigned => Reply::Answer(format_response(200, &headers, &body)),
    }
}

fn header_text<'a>(head: &'a RequestHead, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

fn instance_header(name: &str) -> String {
    format!("X-Instance-Id: {name}\r\n")
}

/// Formats a refusal, which states that the request did not run.
fn refuse(status: u16, name: &str, id: Option<&str>) -> String {
    let id = id.map(|id| format!("X-Request-Id: {id}\r\n"));
    let headers = format!(
        "X-Not-Executed: 1\r\n{}{}",
        instance_header(name),
        id.unwrap_or_default()
    );
    format_response(status, &headers, "not run")
}

fn empty_response(status: u16, headers: &str) -> String {
    format_response(status, headers, "")
}

fn format_response(status: u16, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}
