//! One connection to an upstream.

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

use super::{Manner, Upstream};

/// Largest head of a request in bytes.
const HEAD_MAX: usize = 64 * 1024;

/// Time between two looks whether the work on released keys has ended.
const SETTLE: Duration = Duration::from_millis(2);

/// The body of an order.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Order {
    from: u16,
    target: u16,
    fence: u64,
    #[serde(default)]
    hold_ms: u64,
}

/// What a connection does next.
enum Next {
    Answer(String),
    /// Bytes are sent and the connection ends.
    Break(String),
}

/// One connection.
pub(super) struct Session {
    upstream: Arc<Upstream>,
    stream: Async<TcpStream>,
    input: BytesMut,
}

impl Session {
    pub(super) fn new(upstream: Arc<Upstream>, stream: Async<TcpStream>) -> Self {
        Self {
            upstream,
            stream,
            input: BytesMut::new(),
        }
    }

    /// Serves requests until the connection ends.
    pub(super) async fn run(mut self) -> io::Result<()> {
        self.stream.get_ref().set_nodelay(true)?;
        while let Some((head, body)) = self.request().await? {
            match self.answer(&head, &body).await {
                Next::Answer(text) => self.stream.write_all(text.as_bytes()).await?,
                Next::Break(text) => {
                    self.stream.write_all(text.as_bytes()).await?;
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    async fn request(&mut self) -> io::Result<Option<(RequestHead, Bytes)>> {
        let head = loop {
            match parse_request(&mut self.input, HEAD_MAX).map_err(invalid)? {
                Some(head) => break head,
                None if !self.fill().await? => return Ok(None),
                None => {}
            }
        };
        let framing = Framing::of_request(&head).map_err(invalid)?;
        let mut decoder = Decoder::new(framing);
        let mut body = BytesMut::new();
        loop {
            match decoder.decode(&mut self.input, false).map_err(invalid)? {
                Decoded::Data(data) => body.extend_from_slice(&data),
                Decoded::End => return Ok(Some((head, body.freeze()))),
                Decoded::Incomplete if !self.fill().await? => {
                    return Err(invalid("the body broke off"));
                }
                Decoded::Incomplete => {}
            }
        }
    }

    async fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 8192];
        let count = self.stream.read(&mut buffer).await?;
        self.input.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }

    async fn answer(&self, head: &RequestHead, body: &Bytes) -> Next {
        let name = self.upstream.name();
        let meant = text(head, "x-target-instance");
        if meant.is_some_and(|meant| meant != name) {
            return Next::Answer(refusal(421, name, text(head, "x-request-id")));
        }
        match head.path() {
            "/grant" => self.grant(body),
            "/release" => self.release(body).await,
            _ => self.request_for_work(head, body).await,
        }
    }

    fn grant(&self, body: &Bytes) -> Next {
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return Next::Answer(plain(400, name_header(self.upstream.name()).as_str()));
        };
        let keys = (order.from, order.target);
        let hold = Duration::from_millis(order.hold_ms);
        let taken = {
            let mut state = self.upstream.lock();
            state
                .holdings
                .grant(Instant::now(), keys, order.fence, hold)
        };
        if taken {
            self.upstream
                .witness
                .granted(&self.upstream, keys, order.fence);
        }
        let status = if taken { 200 } else { 409 };
        Next::Answer(plain(status, &name_header(self.upstream.name())))
    }

    async fn release(&self, body: &Bytes) -> Next {
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return Next::Answer(plain(400, ""));
        };
        let keys = (order.from, order.target);
        self.upstream.lock().holdings.release(keys, order.fence);
        // All work is waited for; that on the released keys is a part of it.
        while self.upstream.lock().active > 0 {
            smol::Timer::after(SETTLE).await;
        }
        let proof = format!("X-Handover: {:016x}\r\n", order.fence);
        Next::Answer(plain(200, &(proof + &name_header(self.upstream.name()))))
    }

    async fn request_for_work(&self, head: &RequestHead, body: &Bytes) -> Next {
        let upstream = &self.upstream;
        let id = text(head, "x-request-id");
        let key = text(head, "x-shard-key").and_then(|k| k.parse::<u16>().ok());
        let manner = {
            let mut state = upstream.lock();
            let holds = key.is_none_or(|key| state.holdings.holds(Instant::now(), key));
            if upstream.spec.keyed && !(key.is_some() && holds) {
                return Next::Answer(refusal(421, upstream.name(), id));
            }
            if state.manner == Manner::Refuse || state.active >= upstream.spec.slots {
                return Next::Answer(refusal(503, upstream.name(), id));
            }
            state.active += 1;
            state.manner
        };
        let id = id.unwrap_or_default();
        let content = format!(
            "{} {} {}",
            head.method,
            head.target,
            String::from_utf8_lossy(body)
        );
        let number = upstream.witness.begin(upstream, id, content, key);
        let mut work = Work {
            upstream,
            number,
            finished: false,
        };
        let done = async {
            smol::Timer::after(upstream.spec.work).await;
            manner != Manner::Hang || std::future::pending::<bool>().await
        };
        work.finished = done.or(self.closed()).await;
        let finished = work.finished;
        drop(work);
        if finished {
            reply(manner, upstream.name(), id)
        } else {
            Next::Break(String::new())
        }
    }

    /// Completes with false when the caller has closed the connection.
    async fn closed(&self) -> bool {
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
            Ok(1..) => std::future::pending().await,
            _ => false,
        }
    }
}

fn invalid<E>(error: E) -> io::Error
where
    E: Into<Box<dyn Error + Send + Sync>>,
{
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// Frees a slot when the work has ended in any way.
struct Work<'a> {
    upstream: &'a Upstream,
    number: usize,
    finished: bool,
}

impl Drop for Work<'_> {
    fn drop(&mut self) {
        self.upstream.lock().active -= 1;
        self.upstream.witness.end(self.number, self.finished);
    }
}

fn reply(manner: Manner, name: &str, id: &str) -> Next {
    let headers = format!("X-Request-Id: {id}\r\n");
    let signed = format!("{headers}X-Response-Seal: sealed-{id}\r\n");
    let body = format!("{name} ran {id}");
    match manner {
        Manner::Proper | Manner::Refuse | Manner::Hang => {
            Next::Answer(message(200, &signed, &body))
        }
        Manner::Reset => Next::Break(String::new()),
        Manner::CutOff => {
            let whole = message(200, &signed, &body);
            Next::Break(whole[..whole.len() - body.len() / 2].to_owned())
        }
        Manner::Twice => {
            let one = message(200, &signed, &body);
            Next::Answer([one.as_str(), &one].concat())
        }
        Manner::Fail => Next::Answer(message(500, &signed, "failed")),
        Manner::Unsigned => Next::Answer(message(200, &headers, &body)),
    }
}

fn text<'a>(head: &'a RequestHead, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}

fn name_header(name: &str) -> String {
    format!("X-Instance-Id: {name}\r\n")
}

fn refusal(status: u16, name: &str, id: Option<&str>) -> String {
    let id = id.map(|id| format!("X-Request-Id: {id}\r\n"));
    let headers = format!(
        "X-Not-Executed: 1\r\n{}{}",
        name_header(name),
        id.unwrap_or_default()
    );
    message(status, &headers, "not run")
}

fn plain(status: u16, headers: &str) -> String {
    message(status, headers, "")
}

fn message(status: u16, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}
