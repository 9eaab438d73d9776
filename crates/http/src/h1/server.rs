//! Server side of a caller's connection.
//!
//! Answers are written in the order of their requests. A request for which
//! [`Handler::may_overlap`] holds is started while earlier ones are unanswered; all others wait
//! until no request is outstanding. If an answer closes the connection, no request behind it that
//! must not run twice has been started, so the caller may send that request again.
//!
//! All work of a connection runs inside [`ServerConnection::run`]. When the caller closes the
//! connection, that future returns, which drops the futures of the unanswered requests and cancels
//! their work.

mod body;
mod streaming;

use std::cell::Cell;
use std::collections::VecDeque;
use std::fmt::{self, Debug};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes};
use futures_lite::future::BoxedLocal;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use http::header::{CONNECTION, EXPECT};
use http::{HeaderMap, Method, StatusCode};
use trefoil_core::clock::Sleep;
use trefoil_core::{Clock, Tick};

use super::encode::{BodyLength, EncodedMessage, encode_response_head};
use super::framing::{Decoded, Decoder, Framing};
use super::head::{HeadError, RequestHead, parse_request};
use super::memory::{BodyBuffer, MemoryShare, NoMemory, Reservation};
use super::stream::BufferedStream;

use body::Sending;
pub use body::{Body, BodyStream, Piece, StreamEnd};
pub use streaming::StreamHooks;

/// Largest number of unanswered requests on one connection. Further ones stay in the socket's
/// buffer.
const PIPELINE_MAX: usize = 16;

/// Bytes that are read ahead for requests that wait to be started, beyond one request.
const READ_AHEAD_MAX: usize = 64 * 1024;

/// Most events of a connection, and most reads for one of them, before other tasks of the thread
/// get a turn. A caller may send faster than this process reads.
const TURN_MAX: u32 = 16;

/// Input of a connection that takes no memory of the common one, in bytes. It is more than a head
/// or the framing of a body usually has.
const INPUT_FREE: usize = 8 * 1024;

/// Memory of a request besides its bytes: the tasks that handle it, and a connection to an upstream.
const REQUEST_MEMORY: usize = 16 * 1024;

/// Copies of a head: the parsed fields, and those of an attempt and its encoding.
const HEAD_COPIES: usize = 3;

/// Longest time for which input is read and discarded after the last answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Interim answer to a caller that waits for permission to send a body (`Expect: 100-continue`).
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Longest time for a caller to read an answer, whose memory is in use until then.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits on the requests of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head: usize,
    /// Largest body, in bytes.
    pub body: u64,
    /// Longest time from the first byte of a request until the request is complete.
    pub request_timeout: Duration,
    /// Longest time for which a connection may be open without a request.
    pub idle_timeout: Duration,
}

/// Complete request.
#[derive(Debug)]
pub struct Request {
    /// Head of the request.
    pub head: RequestHead,
    /// Body of the request.
    pub body: Bytes,
    /// Memory of the request.
    pub memory: Reservation,
}

/// Reason for which a request is rejected before it reaches the handler. Logs print the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The request is invalid.
    Invalid,
    /// The head is too large.
    HeadTooLarge,
    /// The body is too large.
    BodyTooLarge,
    /// The request did not arrive in time.
    Late,
    /// The memory for requests is in use.
    NoMemory,
}

impl RejectReason {
    /// Returns the status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Invalid => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Late => StatusCode::REQUEST_TIMEOUT,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Answer to a caller.
#[derive(Debug)]
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Header fields of the answer. Those that apply to a single connection are not sent.
    pub headers: HeaderMap,
    /// Body of the answer. If it is a stream that does not complete, the connection is closed.
    pub body: Body,
}

impl Answer {
    /// Creates an answer without a body.
    pub fn empty(status: StatusCode) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Body::default(),
        }
    }
}

/// Application that answers the requests of a [`ServerConnection`].
pub trait Handler: Debug {
    /// Returns the limits for the next request.
    fn limits(&self) -> Limits;

    /// Returns the memory that requests take up. One that does not fit is rejected as soon as its
    /// size is known.
    fn memory(&self) -> Option<MemoryShare> {
        None
    }

    /// Returns true if a request may start while earlier ones on its connection are unanswered.
    fn may_overlap(&self, head: &RequestHead) -> bool;

    /// Answers a request. The future is dropped if the caller disconnects.
    fn handle(self: Rc<Self>, request: Request) -> BoxedLocal<Answer>;

    /// Creates the answer to a request that is rejected before it is handled.
    fn reject(&self, reason: RejectReason) -> Answer;
}

/// Signals the shutdown of the process to its connections.
#[derive(Debug, Default)]
pub struct Shutdown {
    closing: Cell<bool>,
    /// Number of idle connections to close, and for how long they must have been idle.
    surplus: Cell<(usize, Duration)>,
    event: event_listener::Event,
}

impl Shutdown {
    /// Closes the connections that are idle now, and lets further answers close their connections.
    /// Call it again to close idle connections that were opened in the meantime.
    pub fn close_connections(&self) {
        self.closing.set(true);
        self.event.notify(usize::MAX);
    }

    /// Closes up to `count` connections that have been idle for at least `idle`.
    pub fn close_idle(&self, count: usize, idle: Duration) {
        self.surplus.set((count, idle));
        self.event.notify(usize::MAX);
    }

    /// Returns true if a connection that has been idle for `idle` is to be closed.
    fn closes_idle(&self, idle: Duration) -> bool {
        let (count, min) = self.surplus.get();
        let closes = self.is_closing() || (count > 0 && idle >= min);
        self.surplus
            .set((count - usize::from(closes && count > 0), min));
        closes
    }

    fn is_closing(&self) -> bool {
        self.closing.get()
    }
}

/// Properties of a request that determine the form of its answer.
#[derive(Debug, Clone)]
struct Call {
    method: Method,
    /// Minor version of HTTP/1.
    minor: u8,
}

enum Pending {
    Running(Call, BoxedLocal<Answer>),
    Done(Call, Answer),
}

/// Request whose body is incomplete.
struct Partial {
    head: RequestHead,
    decoder: Decoder,
    body: BodyBuffer,
}

/// Next event on a connection.
enum Event {
    Request(Request),
    Reject(RejectReason),
    Continue,
    Closed,
    Progress,
    TimedOut(Wait),
    /// The streamed answer ends incomplete.
    Aborted(StreamEnd),
    Stopping,
}

/// Event that a connection waits for, which determines its timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    /// An answer of the handler.
    Answer,
    /// The caller to read an answer.
    Write,
    /// The caller to read a part of a streamed answer.
    Stream,
    /// The rest of a request.
    Arrival,
    /// The next request.
    Idle,
}

/// Connection of a caller.
pub struct ServerConnection<S> {
    stream: BufferedStream<S>,
    handler: Rc<dyn Handler>,
    clock: Arc<dyn Clock>,
    shutdown: Rc<Shutdown>,
    /// Memory of the requests, if it is limited.
    memory: Option<MemoryShare>,
    /// Memory of the input.
    input: Reservation,
    pending: VecDeque<Pending>,
    /// Request that waits until no other one is outstanding.
    waiting: Option<Request>,
    partial: Option<Partial>,
    output: EncodedMessage,
    /// Streamed answer whose head is in `output` or was sent.
    sending: Option<Sending>,
    hooks: Option<StreamHooks<S>>,
    /// True if no further request is read, and the connection ends after the last answer.
    is_closing: bool,
    wait: Wait,
    /// Since when the connection has been idle, if it is.
    idle_since: Tick,
    timer: Option<Sleep>,
}

impl<S> Debug for ServerConnection<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ServerConnection")
            .field("pending", &self.pending.len())
            .finish_non_exhaustive()
    }
}

impl<S> ServerConnection<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Creates the server side of a connection that has just been accepted.
    pub fn new(
        stream: S,
        handler: Rc<dyn Handler>,
        clock: Arc<dyn Clock>,
        shutdown: Rc<Shutdown>,
    ) -> Self {
        Self {
            stream: BufferedStream::new(stream),
            input: handler
                .memory()
                .map(|m| m.reservation())
                .unwrap_or_default(),
            memory: handler.memory(),
            handler,
            clock,
            shutdown,
            pending: VecDeque::new(),
            waiting: None,
            partial: None,
            output: EncodedMessage::default(),
            sending: None,
            hooks: None,
            is_closing: false,
            wait: Wait::Answer,
            idle_since: Tick::default(),
            timer: None,
        }
    }

    /// Serves the connection until it ends.
    pub async fn run(mut self) {
        let shutdown = Rc::clone(&self.shutdown);
        let mut stopping = shutdown.event.listen();
        let mut events = 0;
        loop {
            let event = poll_fn(|cx| {
                if events == TURN_MAX {
                    events = 0;
                    return yield_turn(cx);
                }
                events += 1;
                match self.poll_event(cx) {
                    Poll::Pending => {
                        events = 0;
                        Pin::new(&mut stopping).poll(cx).map(|()| Event::Stopping)
                    }
                    event @ Poll::Ready(_) => event,
                }
            })
            .await;
            if matches!(event, Event::Stopping) {
                stopping = shutdown.event.listen();
            }
            match event {
                Event::Request(request) => self.accept_request(request),
                Event::Reject(reason) => self.reject_request(reason),
                Event::Continue => self.output = Bytes::from_static(CONTINUE).into(),
                Event::Progress => {}
                Event::TimedOut(Wait::Arrival) => self.reject_request(RejectReason::Late),
                Event::Stopping if !self.may_end() => {}
                Event::TimedOut(Wait::Stream) => return self.end_stream(StreamEnd::Stalled),
                Event::Aborted(end) => return self.end_stream(end),
                Event::TimedOut(_) | Event::Stopping | Event::Closed => return,
            }
            if self.is_closing && self.is_idle() {
                return self.linger().await;
            }
        }
    }

    /// Closes the sending side, then reads and discards input for a short time. Closing a socket
    /// with unread input resets the connection, and the caller would lose the last answer.
    async fn linger(mut self) {
        let timeout = self.clock.sleep(LINGER_TIMEOUT);
        let drained = poll_fn(|cx| {
            if self.stream.poll_close(cx).is_pending() {
                return Poll::Pending;
            }
            for _ in 0..TURN_MAX {
                match self.stream.poll_fill(cx) {
                    Poll::Ready(Ok(1..)) => self.stream.input.clear(),
                    read => return read.map(drop),
                }
            }
            yield_turn(cx)
        });
        drained.or(timeout).await;
    }

    /// Returns true if every request that was read has been answered.
    fn is_idle(&self) -> bool {
        !self.has_unanswered() && self.waiting.is_none() && !self.output.has_remaining()
    }

    /// Returns true if a request that was started has no answer yet, or one that may still close
    /// the connection.
    fn has_unanswered(&self) -> bool {
        !self.pending.is_empty() || self.sending.is_some()
    }

    /// Returns true if the connection is idle and to be closed.
    fn may_end(&self) -> bool {
        let idle = self.is_idle() && !self.has_partial_request();
        let span = self.clock.now().since(self.idle_since);
        idle && self.shutdown.closes_idle(span)
    }

    /// Returns true if a part of a request has arrived.
    fn has_partial_request(&self) -> bool {
        self.partial.is_some() || !self.stream.input.is_empty()
    }

    /// Sets the timer for the event that the connection waits for.
    fn set_timer(&mut self) {
        let wait = match () {
            () if self.sending.is_some() && self.output.has_remaining() => Wait::Stream,
            () if self.output.has_remaining() => Wait::Write,
            () if !self.is_idle() => Wait::Answer,
            () if self.has_partial_request() => Wait::Arrival,
            () => Wait::Idle,
        };
        let progressed = |s: &mut Sending| std::mem::take(&mut s.progressed);
        let progressed = self.sending.as_mut().is_some_and(progressed);
        if self.wait == wait && !(wait == Wait::Stream && progressed) {
            return;
        }
        let limits = self.handler.limits();
        let span = match wait {
            Wait::Answer => None,
            Wait::Write => Some(WRITE_TIMEOUT),
            Wait::Stream => Some(streaming::STREAM_TIMEOUT),
            Wait::Arrival => Some(limits.request_timeout),
            Wait::Idle => Some(limits.idle_timeout),
        };
        if wait == Wait::Idle {
            self.idle_since = self.clock.now();
        }
        self.wait = wait;
        self.timer = span.map(|span| self.clock.sleep(span));
    }

    fn accept_request(&mut self, request: Request) {
        // The answer may be written before the timer is set again.
        self.wait = Wait::Answer;
        self.timer = None;
        let overlap = self.handler.may_overlap(&request.head);
        if !self.has_unanswered() || overlap {
            self.start_request(request);
        } else {
            self.waiting = Some(request);
        }
    }

    fn start_request(&mut self, request: Request) {
        // Input after a request that closes the connection is discarded.
        self.is_closing |= requests_close(&request.head);
        let call = Call {
            method: request.head.method.clone(),
            minor: request.head.minor,
        };
        let answer = Rc::clone(&self.handler).handle(request);
        self.pending.push_back(Pending::Running(call, answer));
    }

    fn reject_request(&mut self, reason: RejectReason) {
        self.is_closing = true;
        self.partial = None;
        let answer = self.handler.reject(reason);
        let call = Call {
            method: Method::GET,
            minor: 1,
        };
        self.pending.push_back(Pending::Done(call, answer));
    }

    fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<Event> {
        if let Poll::Ready(event) = self.poll_answers(cx) {
            return Poll::Ready(event);
        }
        if let Some(request) = self.waiting.take() {
            if !self.has_unanswered() && !self.is_closing {
                self.start_request(request);
                return Poll::Ready(Event::Progress);
            }
            self.waiting = Some(request);
        }
        if let Poll::Ready(event) = self.poll_input(cx) {
            return Poll::Ready(event);
        }
        self.set_timer();
        let Some(timer) = &mut self.timer else {
            return Poll::Pending;
        };
        ready!(timer.poll(cx));
        match &self.hooks {
            Some(hooks) if self.wait == Wait::Stream => {
                (hooks.recheck)(self.stream.get_ref());
                self.recheck_stream(cx)
            }
            _ => Poll::Ready(Event::TimedOut(self.wait)),
        }
    }

    /// Polls the handlers and writes answers in the order of the requests.
    fn poll_answers(&mut self, cx: &mut Context<'_>) -> Poll<Event> {
        for pending in &mut self.pending {
            if let Pending::Running(call, future) = pending
                && let Poll::Ready(answer) = future.poll(cx)
            {
                *pending = Pending::Done(call.clone(), answer);
            }
        }
        if let Some(sending) = &mut self.sending
            && sending.poll_expired(cx).is_ready()
        {
            return Poll::Ready(Event::Aborted(StreamEnd::Expired));
        }
        loop {
            while self.output.has_remaining() {
                match self.stream.poll_write(cx, self.output.chunk()) {
                    Poll::Ready(Ok(n)) => self.output.advance(n),
                    Poll::Ready(Err(_)) => return Poll::Ready(Event::Closed),
                    Poll::Pending => return Poll::Pending,
                }
                if let Some(sending) = &mut self.sending {
                    sending.progressed = true;
                }
                if !self.output.has_remaining() {
                    self.output = EncodedMessage::default();
                    return Poll::Ready(Event::Progress);
                }
            }
            if self.sending.is_some() {
                match ready!(self.poll_stream(cx)) {
                    Event::Progress if self.output.has_remaining() => continue,
                    event => return Poll::Ready(event),
                }
            }
            match self.pending.pop_front() {
                Some(Pending::Done(call, answer)) => self.encode_answer(&call, answer),
                Some(running) => {
                    self.pending.push_front(running);
                    return Poll::Pending;
                }
                None => return Poll::Pending,
            }
        }
    }

    /// Lets the connection end after the outstanding answers if the process shuts down.
    fn observe_shutdown(&mut self) {
        if self.shutdown.is_closing() {
            // The waiting request has not been started, so the caller may send it to another host.
            self.is_closing = true;
            self.waiting = None;
        }
    }

    fn encode_answer(&mut self, call: &Call, mut answer: Answer) {
        self.observe_shutdown();
        let close = self.is_closing && self.pending.is_empty();
        let has_no_body = call.method == Method::HEAD
            || answer.status.is_informational()
            || matches!(answer.status.as_u16(), 204 | 304);
        let body = match std::mem::take(&mut answer.body) {
            Body::Whole(body) => body,
            Body::Stream(stream) if has_no_body => {
                stream.end(StreamEnd::Sent);
                Bytes::new()
            }
            // A caller of HTTP/1.0 could not tell a truncated body from a whole one.
            Body::Stream(stream) if call.minor == 0 && stream.length().is_none() => {
                stream.end(StreamEnd::Broken);
                answer = Answer::empty(StatusCode::BAD_GATEWAY);
                Bytes::new()
            }
            Body::Stream(stream) => {
                return self.begin_stream(stream, answer.status, &answer.headers, close);
            }
        };
        let body_length = if has_no_body {
            BodyLength::Omitted
        } else {
            BodyLength::Length(u64::try_from(body.len()).unwrap_or(u64::MAX))
        };
        let head = encode_response_head(answer.status, &answer.headers, body_length, close);
        self.output = if has_no_body {
            head.freeze().into()
        } else {
            EncodedMessage::new(head, &body)
        };
    }

    /// Reads requests and detects that the caller has closed the connection.
    fn poll_input(&mut self, cx: &mut Context<'_>) -> Poll<Event> {
        for _ in 0..TURN_MAX {
            if let Some(event) = self.parse_next_request() {
                return Poll::Ready(event);
            }
            if self.stream.input.len() > self.read_ahead_limit() {
                return Poll::Pending;
            }
            if self.hold_input().is_err() {
                return if self.is_idle() {
                    Poll::Ready(Event::Reject(RejectReason::NoMemory))
                } else {
                    // The requests before it are handled first.
                    Poll::Pending
                };
            }
            match self.stream.poll_fill(cx) {
                Poll::Pending => {
                    self.stream.release_buffer();
                    return Poll::Pending;
                }
                Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(Event::Closed),
                Poll::Ready(Ok(_)) => {}
            }
        }
        yield_turn(cx)
    }

    /// Takes memory for the input, whose buffer may be twice as large. The framing of a body does not
    /// reach [`INPUT_FREE`], so a body that was begun is always read on.
    fn hold_input(&mut self) -> Result<(), NoMemory> {
        let size = self.stream.input.len();
        let held = if size > INPUT_FREE { 2 * size } else { 0 };
        self.input.resize(held)
    }

    /// Returns the number of bytes that may be read ahead of the requests being handled.
    fn read_ahead_limit(&self) -> usize {
        match &self.partial {
            Some(_) => READ_AHEAD_MAX,
            None => self.handler.limits().head.saturating_add(READ_AHEAD_MAX),
        }
    }

    /// Parses the next request if it is complete and may be handled now.
    fn parse_next_request(&mut self) -> Option<Event> {
        if self.is_closing {
            // Input after the last request is discarded; only the end of the connection matters.
            self.stream.input.clear();
            return None;
        }
        if self.waiting.is_some() || self.pending.len() >= PIPELINE_MAX {
            return None;
        }
        let limits = self.handler.limits();
        if self.partial.is_none() {
            let available = self.stream.input.len();
            match parse_request(&mut self.stream.input, limits.head) {
                Ok(None) => return None,
                Ok(Some(head)) => match self.begin_body(head, available, limits.body) {
                    Ok(Some(event)) => return Some(event),
                    Ok(None) => {}
                    Err(reason) => return Some(Event::Reject(reason)),
                },
                Err(HeadError::TooLarge) => return Some(Event::Reject(RejectReason::HeadTooLarge)),
                Err(HeadError::Invalid { .. }) => {
                    return Some(Event::Reject(RejectReason::Invalid));
                }
            }
        }
        self.read_body(limits.body)
    }

    /// Begins to read the body of a request, before whose head there were `available` bytes of
    /// input. Returns an event if the caller waits for permission to send the body.
    fn begin_body(
        &mut self,
        head: RequestHead,
        available: usize,
        max: u64,
    ) -> Result<Option<Event>, RejectReason> {
        let framing = Framing::of_request(&head).or(Err(RejectReason::Invalid))?;
        if matches!(framing, Framing::Length(n) if n > max) {
            return Err(RejectReason::BodyTooLarge);
        }
        let memory = self.memory.as_ref().map(MemoryShare::reservation);
        let mut memory = memory.unwrap_or_default();
        let size = available - self.stream.input.len();
        memory
            .grow(REQUEST_MEMORY + HEAD_COPIES * size)
            .or(Err(RejectReason::NoMemory))?;
        let mut body = BodyBuffer::new(memory);
        if let Framing::Length(length) = framing {
            let length = usize::try_from(length).or(Err(RejectReason::BodyTooLarge))?;
            body.reserve(length).or(Err(RejectReason::NoMemory))?;
        }
        let expects = head.headers.get(EXPECT).is_some();
        self.partial = Some(Partial {
            head,
            decoder: Decoder::new(framing),
            body,
        });
        let waits = expects && framing != Framing::Empty && self.stream.input.is_empty();
        Ok((waits && self.is_idle()).then_some(Event::Continue))
    }

    fn read_body(&mut self, max: u64) -> Option<Event> {
        let partial = self.partial.as_mut()?;
        loop {
            match partial.decoder.decode(&mut self.stream.input, false) {
                Ok(Decoded::Incomplete) => return None,
                Ok(Decoded::Data(piece)) => {
                    let size = partial.body.len() + piece.len();
                    if u64::try_from(size).unwrap_or(u64::MAX) > max {
                        return Some(Event::Reject(RejectReason::BodyTooLarge));
                    }
                    let rest = partial.decoder.remaining();
                    if partial.body.append(&piece, rest).is_err() {
                        return Some(Event::Reject(RejectReason::NoMemory));
                    }
                }
                Ok(Decoded::End) => {
                    let complete = self.partial.take()?;
                    let (body, memory) = complete.body.into_parts();
                    return Some(Event::Request(Request {
                        head: complete.head,
                        body,
                        memory,
                    }));
                }
                Err(_) => return Some(Event::Reject(RejectReason::Invalid)),
            }
        }
    }
}

/// Lets other tasks of the thread run first.
fn yield_turn<T>(cx: &Context<'_>) -> Poll<T> {
    cx.waker().wake_by_ref();
    Poll::Pending
}

/// Returns true if the caller requests that the connection is closed after the answer.
fn requests_close(head: &RequestHead) -> bool {
    let has_option = |option: &str| {
        head.headers
            .get_all(CONNECTION)
            .iter()
            .filter_map(|v| v.to_str().ok())
            .flat_map(|v| v.split(','))
            .any(|o| o.trim().eq_ignore_ascii_case(option))
    };
    has_option("close") || (head.minor == 0 && !has_option("keep-alive"))
}
