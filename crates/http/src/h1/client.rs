//! One connection to an upstream.

use std::future::poll_fn;
use std::io;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{AsyncRead, AsyncWrite};
use http::header::CONNECTION;
use http::{HeaderMap, Method};
use snafu::Snafu;

use super::framing::{Decoded, Decoder, Framing};
use super::head::{ResponseHead, parse_response};
use super::stream::BufferedStream;

/// Longest head of an answer in bytes.
const HEAD_MAX: usize = 64 * 1024;

/// How much of a request had been handed to the socket when its exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    /// Nothing: the upstream cannot have seen it.
    Nothing,
    /// A part or all of it: the upstream may run it.
    Something,
}

/// Why an exchange failed.
#[derive(Debug, Snafu)]
#[snafu(display("{reason} ({sent:?} sent)"))]
pub struct ExchangeError {
    /// What happened.
    pub reason: String,
    /// How much of the request had been handed to the socket.
    pub sent: Sent,
}

/// Whether an answer belongs to the request that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Match {
    /// It does.
    Own,
    /// It belongs to an earlier request and is skipped.
    Other,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Head of the answer.
    pub head: ResponseHead,
    /// Body of the answer.
    pub body: Bytes,
}

/// One connection to an upstream, which carries one request at a time.
#[derive(Debug)]
pub struct ClientConnection<S> {
    wire: BufferedStream<S>,
    reusable: bool,
    keep_alive_timeout: Option<Duration>,
}

/// State of one exchange.
struct Exchange<'a> {
    method: &'a Method,
    request: Bytes,
    started: bool,
    head: Option<(ResponseHead, Match)>,
    decoder: Decoder,
    body: BytesMut,
    max: usize,
}

impl<S> ClientConnection<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Wraps an open connection.
    pub fn new(stream: S) -> Self {
        Self {
            wire: BufferedStream::new(stream),
            reusable: true,
            keep_alive_timeout: None,
        }
    }

    /// Whether another request may be sent: the last answer was whole, the upstream did not
    /// announce that it closes, has not closed and has sent nothing since.
    pub fn is_reusable(&mut self) -> bool {
        self.reusable && self.wire.is_idle()
    }

    /// How long the upstream keeps the connection open without a request, if it said so.
    pub fn keep_alive_timeout(&self) -> Option<Duration> {
        self.keep_alive_timeout
    }

    /// Sends an encoded request and reads the whole answer, whose body has at most `max` bytes.
    /// `belongs` judges each head; answers that belong to another request are skipped. Dropping the
    /// future leaves the connection unusable, and the caller must drop it as well.
    ///
    /// # Errors
    ///
    /// Fails if the connection does, or if the answer is invalid, cut off or too large.
    pub async fn exchange<F>(
        &mut self,
        method: &Method,
        request: Bytes,
        max: usize,
        belongs: F,
    ) -> Result<Response, ExchangeError>
    where
        F: Fn(&ResponseHead) -> Match,
    {
        self.reusable = false;
        let mut exchange = Exchange {
            method,
            request,
            started: false,
            head: None,
            decoder: Decoder::new(Framing::Empty),
            body: BytesMut::new(),
            max,
        };
        let done = poll_fn(|cx| self.poll_exchange(cx, &mut exchange, &belongs)).await;
        match done {
            Ok(reply) => {
                let whole = exchange.request.is_empty();
                let framed = !self.wire.is_closed() && self.wire.input.is_empty();
                self.reusable = whole && framed && !closes(&reply.head);
                self.keep_alive_timeout =
                    keep_alive(&reply.head.headers).or(self.keep_alive_timeout);
                Ok(reply)
            }
            Err(reason) => Err(ExchangeError {
                reason,
                sent: if exchange.started {
                    Sent::Something
                } else {
                    Sent::Nothing
                },
            }),
        }
    }

    fn poll_exchange<F>(
        &mut self,
        cx: &mut Context<'_>,
        exchange: &mut Exchange<'_>,
        belongs: &F,
    ) -> Poll<Result<Response, String>>
    where
        F: Fn(&ResponseHead) -> Match,
    {
        let written = self.poll_request(cx, exchange);
        loop {
            // An answer that is whole counts even if the request could not be written to its end:
            // an upstream may answer before it has read all of a long body.
            match exchange.advance(&mut self.wire, belongs) {
                Ok(Some(reply)) => return Poll::Ready(Ok(reply)),
                Ok(None) => {}
                Err(reason) => return Poll::Ready(Err(reason)),
            }
            match self.wire.poll_fill(cx) {
                Poll::Ready(Ok(0)) if exchange.ends_with_close() => {}
                Poll::Ready(Ok(0)) => {
                    return Poll::Ready(Err("the upstream closed the connection".to_owned()));
                }
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e.to_string())),
                Poll::Pending => break,
            }
        }
        match written {
            Poll::Ready(Err(e)) => Poll::Ready(Err(e.to_string())),
            _ => Poll::Pending,
        }
    }

    fn poll_request(
        &mut self,
        cx: &mut Context<'_>,
        exchange: &mut Exchange<'_>,
    ) -> Poll<io::Result<()>> {
        while !exchange.request.is_empty() && exchange.head.is_none() {
            match self.wire.poll_write(cx, &exchange.request) {
                Poll::Ready(Ok(n)) => {
                    exchange.started = true;
                    exchange.request.advance(n);
                }
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl Exchange<'_> {
    /// Whether the answer is read until the connection ends.
    fn ends_with_close(&self) -> bool {
        self.head.is_some()
    }

    /// Uses what was read; returns the answer when it is whole.
    fn advance<S, F>(
        &mut self,
        wire: &mut BufferedStream<S>,
        belongs: &F,
    ) -> Result<Option<Response>, String>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        F: Fn(&ResponseHead) -> Match,
    {
        loop {
            if self.head.is_none() && !self.take_head(&mut wire.input, belongs)? {
                return Ok(None);
            }
            let closed = wire.is_closed();
            loop {
                let step = self.decoder.decode(&mut wire.input, closed);
                match step.map_err(|e| e.to_string())? {
                    Decoded::Incomplete => return Ok(None),
                    Decoded::End => break,
                    Decoded::Data(piece) if self.body.len() + piece.len() > self.max => {
                        return Err(format!("the answer has more than {} bytes", self.max));
                    }
                    Decoded::Data(piece) => self.body.extend_from_slice(&piece),
                }
            }
            let body = self.body.split().freeze();
            match self.head.take() {
                Some((head, Match::Own)) => return Ok(Some(Response { head, body })),
                _ if closed => return Err("the upstream closed the connection".to_owned()),
                _ => {}
            }
        }
    }

    fn take_head<F>(&mut self, input: &mut BytesMut, belongs: &F) -> Result<bool, String>
    where
        F: Fn(&ResponseHead) -> Match,
    {
        loop {
            let head = parse_response(input, HEAD_MAX).map_err(|e| e.to_string())?;
            let Some(head) = head else {
                return Ok(false);
            };
            // Interim answers such as 100 announce another one.
            if head.status.is_informational() {
                continue;
            }
            let framing = Framing::of_response(self.method, &head).map_err(|e| e.to_string())?;
            self.decoder = Decoder::new(framing);
            let owner = belongs(&head);
            self.head = Some((head, owner));
            return Ok(true);
        }
    }
}

fn closes(head: &ResponseHead) -> bool {
    let options = head.headers.get_all(CONNECTION);
    let says = |option: &str| {
        options
            .iter()
            .filter_map(|v| v.to_str().ok())
            .flat_map(|v| v.split(','))
            .any(|o| o.trim().eq_ignore_ascii_case(option))
    };
    says("close") || (head.minor == 0 && !says("keep-alive"))
}

/// The `timeout` of a `Keep-Alive` field, in seconds.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}
