//! Client side of a connection, which carries one request at a time.
//!
//! An upstream may send an answer twice, the second time after the next request was sent. The
//! caller of [`ClientConnection::exchange`] therefore decides for each head whether the answer
//! belongs to the current request, and other answers are skipped. A connection is reused only if no
//! byte of an earlier exchange can still arrive on it.

mod streamed;

use std::future::poll_fn;
use std::io;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{AsyncRead, AsyncWrite};
use http::header::CONNECTION;
use http::{HeaderMap, Method, StatusCode};
use snafu::Snafu;

use super::encode::EncodedMessage;
use super::framing::{Decoded, Decoder, Framing};
use super::head::{ResponseHead, parse_response};
use super::memory::{BodyBuffer, BodyLimit, LimitError, NoMemory, Reservation};
use super::progress::Progress;
use super::stream::BufferedStream;

pub use streamed::{BodyReader, COLLECTED_MAX};

/// Longest head of an answer, in bytes.
const HEAD_MAX: usize = 64 * 1024;

/// Largest unparsed input whose memory is not reserved, in bytes. The heads of ordinary answers are
/// shorter, and the number of connections bounds what they take up.
const SHORT_HEAD: usize = 4 * 1024;

/// Most bytes of an exchange that are not part of the answer's body: heads, the framing of chunks,
/// and answers to other requests.
const EXTRA_MAX: usize = 1024 * 1024;

/// Most reads before other tasks of the thread get a turn. An upstream may send faster than this
/// process reads.
const READS_MAX: u32 = 16;

/// Part of a request that had been handed to the socket when its exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    /// No byte: the upstream cannot have received the request.
    Nothing,
    /// At least one byte: the upstream may execute the request.
    Something,
}

/// Failure of an exchange.
#[derive(Debug, Snafu)]
#[snafu(display("{reason} ({sent:?} sent)"))]
pub struct ExchangeError {
    /// Description of the failure.
    pub reason: String,
    /// Part of the request that had been handed to the socket.
    pub sent: Sent,
    /// The memory of this process for answers is in use, which says nothing about the upstream.
    pub lacks_memory: bool,
}

impl ExchangeError {
    /// A failure of the upstream after it may have received the request.
    pub fn after_sending(reason: String) -> Self {
        Self {
            reason,
            sent: Sent::Something,
            lacks_memory: false,
        }
    }
}

/// Relation of an answer to the request that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Match {
    /// The answer belongs to this request.
    Own,
    /// The answer belongs to another request and is skipped.
    Other,
}

/// Complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Head of the answer.
    pub head: ResponseHead,
    /// Body of the answer.
    pub body: Bytes,
}

/// Connection to an upstream that carries one request at a time.
#[derive(Debug)]
pub struct ClientConnection<S> {
    stream: BufferedStream<S>,
    progress: Progress,
    reusable: bool,
    /// The current exchange leaves the connection open for another one.
    keeps_connection: bool,
    keep_alive_timeout: Option<Duration>,
    /// Lets the next read ask the socket.
    recheck: fn(&S),
}

/// State of the current exchange.
struct Exchange<'a> {
    method: &'a Method,
    request: EncodedMessage,
    sent: Sent,
    head: Option<(ResponseHead, Match)>,
    decoder: Decoder,
    body: BodyBuffer,
    limit: &'a BodyLimit,
    /// Memory of the input that is not parsed yet.
    unparsed: Reservation,
    /// Bytes received in this exchange.
    received: usize,
    /// The answer is returned before its body is complete, see `streamed`.
    streamed: bool,
    /// The whole answer has been returned.
    is_complete: bool,
    /// The memory for answers is in use.
    lacks_memory: bool,
}

impl<'a> Exchange<'a> {
    fn new(method: &'a Method, request: EncodedMessage, limit: &'a BodyLimit) -> Self {
        Self {
            method,
            request,
            sent: Sent::Nothing,
            head: None,
            decoder: Decoder::new(Framing::Empty),
            body: limit.start(),
            limit,
            unparsed: limit.reservation(),
            received: 0,
            streamed: false,
            is_complete: false,
            lacks_memory: false,
        }
    }
}

impl<S> ClientConnection<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Creates a client for an open connection.
    pub fn new(stream: S) -> Self {
        Self {
            stream: BufferedStream::new(stream),
            progress: Progress::default(),
            reusable: true,
            keeps_connection: true,
            keep_alive_timeout: None,
            recheck: |_| {},
        }
    }

    /// Calls `recheck` before input is read while a request is being written. It lets the next read
    /// ask the socket, for one whose reads wait for an event of the event loop: input may have
    /// arrived since the loop last looked.
    #[must_use]
    pub fn with_recheck(self, recheck: fn(&S)) -> Self {
        Self { recheck, ..self }
    }

    /// The connection.
    pub fn get_ref(&self) -> &S {
        self.stream.get_ref()
    }

    /// Returns true if another request may be sent: the last answer was complete, and the upstream
    /// has neither announced a close, nor closed the connection, nor sent anything since.
    pub fn is_reusable(&mut self) -> bool {
        self.reusable && self.stream.is_idle()
    }

    /// Counts received bytes in `progress`, which other tasks can follow.
    #[must_use]
    pub fn with_progress(self, progress: &Progress) -> Self {
        let progress = progress.clone();
        Self { progress, ..self }
    }

    /// Returns the time for which the upstream keeps an idle connection open, if it has announced
    /// one.
    pub fn keep_alive_timeout(&self) -> Option<Duration> {
        self.keep_alive_timeout
    }

    /// Sends an encoded request and reads the whole answer, whose body keeps to `limit`.
    /// `classify` is called with each head, and answers that belong to another request are skipped.
    /// If the future is dropped, the connection is unusable, and the caller must drop it as well.
    ///
    /// # Errors
    ///
    /// Fails if the connection does, or if the answer is invalid, truncated or too large.
    pub async fn exchange<F>(
        &mut self,
        method: &Method,
        request: EncodedMessage,
        limit: &BodyLimit,
        classify: F,
    ) -> Result<Response, ExchangeError>
    where
        F: Fn(&ResponseHead) -> Match,
    {
        let mut exchange = Exchange::new(method, request, limit);
        self.run_exchange(&mut exchange, classify).await
    }

    /// Runs an exchange until its answer is returned.
    async fn run_exchange<F>(
        &mut self,
        exchange: &mut Exchange<'_>,
        classify: F,
    ) -> Result<Response, ExchangeError>
    where
        F: Fn(&ResponseHead) -> Match,
    {
        self.reusable = false;
        let done = poll_fn(|cx| self.poll_exchange(cx, exchange, &classify)).await;
        match done {
            Ok(response) => {
                self.stream.release_buffer();
                let fully_sent = !exchange.request.has_remaining();
                self.keeps_connection = fully_sent && !announces_close(&response.head);
                self.reusable = exchange.is_complete && self.keeps_connection && self.is_drained();
                self.keep_alive_timeout =
                    parse_keep_alive(&response.head.headers).or(self.keep_alive_timeout);
                Ok(response)
            }
            Err(reason) => Err(ExchangeError {
                reason,
                sent: exchange.sent,
                lacks_memory: exchange.lacks_memory,
            }),
        }
    }

    /// Returns true if the connection is open and has no input.
    fn is_drained(&self) -> bool {
        !self.stream.is_closed() && self.stream.input.is_empty()
    }

    /// Writes the request and reads the answer. What has arrived is read before more of the request
    /// is written: if the upstream has ended its answer and then reset the connection, a write that
    /// finds the reset leaves no trace of the regular end.
    fn poll_exchange<F>(
        &mut self,
        cx: &mut Context<'_>,
        exchange: &mut Exchange<'_>,
        classify: &F,
    ) -> Poll<Result<Response, String>>
    where
        F: Fn(&ResponseHead) -> Match,
    {
        let mut written = match exchange.sent {
            Sent::Nothing => self.poll_write_request(cx, exchange),
            Sent::Something => Poll::Ready(Ok(())),
        };
        loop {
            if exchange.request.has_remaining() {
                (self.recheck)(self.stream.get_ref());
            }
            // A complete answer is valid even if the request could not be written completely,
            // because an upstream may answer before it has read the whole body.
            if let Poll::Ready(done) = self.poll_answer(cx, exchange, classify) {
                return Poll::Ready(done);
            }
            match written {
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e.to_string())),
                Poll::Ready(Ok(())) if exchange.writes_on() => {}
                _ => return Poll::Pending,
            }
            written = self.poll_write_request(cx, exchange);
        }
    }

    /// Reads the answer as far as it has arrived.
    fn poll_answer<F>(
        &mut self,
        cx: &mut Context<'_>,
        exchange: &mut Exchange<'_>,
        classify: &F,
    ) -> Poll<Result<Response, String>>
    where
        F: Fn(&ResponseHead) -> Match,
    {
        let mut reads = 0;
        loop {
            match exchange.parse_input(&mut self.stream, classify) {
                Ok(Some(response)) => return Poll::Ready(Ok(response)),
                Ok(None) => {}
                Err(reason) => return Poll::Ready(Err(reason)),
            }
            if let Err(error) = exchange.reserve_unparsed(&self.stream.input) {
                exchange.lacks_memory = true;
                return Poll::Ready(Err(format!("the head of the answer is too large: {error}")));
            }
            if exchange.is_begun(false) {
                return Poll::Ready(exchange.take_response().ok_or_else(String::new));
            }
            if reads == READS_MAX {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            reads += 1;
            match self.stream.poll_fill(cx) {
                Poll::Ready(Ok(0)) if exchange.may_end_with_close() => {}
                Poll::Ready(Ok(0)) => {
                    return Poll::Ready(Err("the upstream closed the connection".to_owned()));
                }
                Poll::Ready(Ok(count)) => {
                    exchange.received += count;
                    self.progress.add(count);
                }
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e.to_string())),
                Poll::Pending if exchange.is_begun(true) => {
                    return Poll::Ready(exchange.take_response().ok_or_else(String::new));
                }
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    /// Writes as much of the request as the socket takes at once, its head and its body in turn.
    fn poll_write_request(
        &mut self,
        cx: &mut Context<'_>,
        exchange: &mut Exchange<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let piece = exchange.request.chunk();
            let size = piece.len();
            let written = ready!(self.stream.poll_write(cx, piece))?;
            exchange.sent = Sent::Something;
            exchange.request.advance(written);
            if written < size || !exchange.request.has_remaining() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl Exchange<'_> {
    /// Returns true if more of the request is to be written: nothing is once an answer has begun.
    fn writes_on(&self) -> bool {
        self.request.has_remaining() && self.head.is_none()
    }

    /// Returns true if the answer may end with the connection. The decoder decides whether it does.
    fn may_end_with_close(&self) -> bool {
        self.head.is_some()
    }

    /// Reserves the memory of input that is not parsed yet.
    ///
    /// # Errors
    ///
    /// Fails if there is too little.
    fn reserve_unparsed(&mut self, input: &BytesMut) -> Result<(), NoMemory> {
        let size = if input.len() > SHORT_HEAD {
            input.capacity()
        } else {
            0
        };
        self.unparsed.resize(size)
    }

    /// Returns true if the answer that is being read belongs to the request.
    fn is_own(&self) -> bool {
        matches!(self.head, Some((_, Match::Own)))
    }

    /// Parses the input and returns the answer once it is complete.
    fn parse_input<S, F>(
        &mut self,
        stream: &mut BufferedStream<S>,
        classify: &F,
    ) -> Result<Option<Response>, String>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        F: Fn(&ResponseHead) -> Match,
    {
        if self.received - self.body.len() > EXTRA_MAX {
            return Err("the upstream sends bytes that are no answer".to_owned());
        }
        loop {
            if self.head.is_none() && !self.parse_head(&mut stream.input, classify)? {
                return Ok(None);
            }
            let closed = stream.is_closed();
            loop {
                let step = self.decoder.decode(&mut stream.input, closed);
                match step.map_err(|e| e.to_string())? {
                    Decoded::Incomplete => return Ok(None),
                    Decoded::End => break,
                    Decoded::Data(piece) if self.is_own() => {
                        let mut rest = self.decoder.remaining();
                        if self.streamed {
                            // No more is collected, so no memory is taken ahead for it.
                            let size = self.body.len() + piece.len();
                            let most = COLLECTED_MAX.saturating_sub(size);
                            let most = u64::try_from(most).unwrap_or_default();
                            rest = Some(rest.map_or(most, |rest| rest.min(most)));
                        }
                        let appended = self.limit.append(&mut self.body, &piece, rest);
                        self.lacks_memory = matches!(appended, Err(LimitError::Memory { .. }));
                        appended.map_err(|e| e.to_string())?;
                    }
                    Decoded::Data(_) => {}
                }
            }
            if self.is_own() {
                self.is_complete = true;
                return Ok(self.take_response());
            }
            self.head = None;
            if closed {
                return Err("the upstream closed the connection".to_owned());
            }
        }
    }

    /// Takes the head and the body received so far.
    fn take_response(&mut self) -> Option<Response> {
        let (head, _) = self.head.take()?;
        let body = std::mem::take(&mut self.body).into_bytes();
        Some(Response { head, body })
    }

    fn parse_head<F>(&mut self, input: &mut BytesMut, classify: &F) -> Result<bool, String>
    where
        F: Fn(&ResponseHead) -> Match,
    {
        loop {
            let head = parse_response(input, HEAD_MAX).map_err(|e| e.to_string())?;
            let Some(head) = head else {
                return Ok(false);
            };
            // No request asks for another protocol, in which the bytes after this head would be.
            if head.status == StatusCode::SWITCHING_PROTOCOLS {
                return Err("the upstream switches to another protocol".to_owned());
            }
            // Any other interim answer (1xx) is followed by the final one.
            if head.status.is_informational() {
                continue;
            }
            let framing = Framing::of_response(self.method, &head).map_err(|e| e.to_string())?;
            self.decoder = Decoder::new(framing);
            let matched = classify(&head);
            self.head = Some((head, matched));
            return Ok(true);
        }
    }
}

fn announces_close(head: &ResponseHead) -> bool {
    let options = head.headers.get_all(CONNECTION);
    let has_option = |option: &str| {
        options
            .iter()
            .filter_map(|v| v.to_str().ok())
            .flat_map(|v| v.split(','))
            .any(|o| o.trim().eq_ignore_ascii_case(option))
    };
    has_option("close") || (head.minor == 0 && !has_option("keep-alive"))
}

/// Parses the `timeout` parameter of a `Keep-Alive` field, which is in seconds.
fn parse_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}
