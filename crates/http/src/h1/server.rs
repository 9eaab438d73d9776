//! Serving one connection of a caller.
//!
//! Answers leave in the order of their requests. A request that the handler allows to overlap is
//! started while earlier ones are unanswered; all others wait until nothing is outstanding. So when
//! an answer closes the connection, no request behind it that must not run twice has been started,
//! and its caller may send it again.
//!
//! All work of a connection happens inside [`ServerConnection::run`]. When the caller closes the
//! connection, the future returns, which drops the futures of the unanswered requests and cancels their work.

use std::collections::VecDeque;
use std::fmt::{self, Debug};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures_lite::future::BoxedLocal;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use http::header::{CONNECTION, EXPECT};
use http::{HeaderMap, Method, StatusCode};
use trefoil_core::Clock;
use trefoil_core::clock::Sleep;

use super::encode::{Extent, response_head};
use super::framing::{Decoded, Decoder, Framing};
use super::head::{HeadError, RequestHead, parse_request};
use super::stream::BufferedStream;

/// Requests of one connection that may be unanswered. Callers that send more wait in their socket.
const PIPELINE_MAX: usize = 16;

/// Bytes of requests that wait to be started, beyond the limits of one request.
const AHEAD_MAX: usize = 64 * 1024;

/// Time for which a connection is read after its last answer.
const LINGER: Duration = Duration::from_millis(500);

/// Interim answer to a caller that asks before it sends a body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Longest time in which a caller must take an answer that was written to its connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a head.
    pub head: usize,
    /// Bytes of a body.
    pub body: u64,
    /// Time in which a request must arrive once its first byte has.
    pub request_timeout: Duration,
    /// Time for which a connection may be open without a request.
    pub idle_timeout: Duration,
}

/// A request that has arrived whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Bytes,
}

/// Why a request is refused without its handler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// It is not valid.
    Invalid,
    /// Its head is too large.
    HeadTooLarge,
    /// Its body is too large.
    BodyTooLarge,
    /// It did not arrive in time.
    Late,
}

impl RejectReason {
    /// The status that says so.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Invalid => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Late => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// An answer to a caller.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its fields. Those that concern one connection are left out.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Answer {
    /// An answer without a body.
    pub fn empty(status: StatusCode) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }
}

/// Answers requests.
pub trait Handler: Debug {
    /// The bounds that hold for the next request.
    fn limits(&self) -> Limits;

    /// Whether a request may start while earlier ones of its connection are unanswered.
    fn may_overlap(&self, head: &RequestHead) -> bool;

    /// Answers a request. The future is dropped if the caller goes away.
    fn handle(self: Rc<Self>, request: Request) -> BoxedLocal<Answer>;

    /// The answer to a request that is refused before it is handled.
    fn reject(&self, reason: RejectReason) -> Answer;
}

/// Tells the connections of a process that it is stopping.
#[derive(Debug, Default)]
pub struct Shutdown {
    closing: std::cell::Cell<bool>,
    event: event_listener::Event,
}

impl Shutdown {
    /// From now on answers close their connections. Connections that are idle now are closed; this
    /// can be called again for those that were opened in between.
    pub fn close_connections(&self) {
        self.closing.set(true);
        self.event.notify(usize::MAX);
    }

    fn is_closing(&self) -> bool {
        self.closing.get()
    }
}

enum Pending {
    Running(Method, BoxedLocal<Answer>),
    Done(Method, Answer),
}

/// A request whose body has not arrived yet.
struct Partial {
    head: RequestHead,
    decoder: Decoder,
    body: BytesMut,
}

/// What happens next on a connection.
enum Event {
    Request(Request),
    Reject(RejectReason),
    Continue,
    Closed,
    Progress,
    TimedOut(Wait),
    Stopping,
}

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    /// The handler.
    Answer,
    /// The caller reads an answer.
    Write,
    /// The rest of a request.
    Arrival,
    /// A request.
    Idle,
}

/// One connection of a caller.
pub struct ServerConnection<S> {
    wire: BufferedStream<S>,
    handler: Rc<dyn Handler>,
    clock: Arc<dyn Clock>,
    stop: Rc<Shutdown>,
    pending: VecDeque<Pending>,
    /// A request that waits until nothing is outstanding.
    held: Option<Request>,
    partial: Option<Partial>,
    out: Bytes,
    /// No request is read any more; the connection ends when all answers have been written.
    last: bool,
    wait: Wait,
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
    /// A connection that was just accepted.
    pub fn new(
        stream: S,
        handler: Rc<dyn Handler>,
        clock: Arc<dyn Clock>,
        stop: Rc<Shutdown>,
    ) -> Self {
        Self {
            wire: BufferedStream::new(stream),
            handler,
            clock,
            stop,
            pending: VecDeque::new(),
            held: None,
            partial: None,
            out: Bytes::new(),
            last: false,
            wait: Wait::Answer,
            timer: None,
        }
    }

    /// Serves the connection until it ends.
    pub async fn run(mut self) {
        let stop = Rc::clone(&self.stop);
        let mut stopping = stop.event.listen();
        loop {
            let event = poll_fn(|cx| match self.poll_event(cx) {
                Poll::Pending => Pin::new(&mut stopping).poll(cx).map(|()| Event::Stopping),
                event @ Poll::Ready(_) => event,
            })
            .await;
            if matches!(event, Event::Stopping) {
                stopping = stop.event.listen();
            }
            match event {
                Event::Request(request) => self.accept(request),
                Event::Reject(reason) => self.refuse(reason),
                Event::Continue => self.out = Bytes::from_static(CONTINUE),
                Event::Progress => {}
                Event::TimedOut(Wait::Arrival) => self.refuse(RejectReason::Late),
                Event::Stopping if !self.is_idle() || self.has_begun() => {}
                Event::TimedOut(_) | Event::Stopping | Event::Closed => return,
            }
            if self.last && self.is_idle() {
                return self.linger().await;
            }
        }
    }

    /// Closes the sending side and reads what the caller still sends for a short time. A socket
    /// that is closed with unread bytes is reset, and the caller would lose the last answer.
    async fn linger(mut self) {
        let late = self.clock.sleep(LINGER);
        let drained = poll_fn(|cx| {
            if self.wire.poll_close(cx).is_pending() {
                return Poll::Pending;
            }
            while let Poll::Ready(read) = self.wire.poll_fill(cx) {
                self.wire.input.clear();
                if !matches!(read, Ok(1..)) {
                    return Poll::Ready(());
                }
            }
            Poll::Pending
        });
        drained.or(late).await;
    }

    /// Whether every request that was read has been answered.
    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.held.is_none() && self.out.is_empty()
    }

    /// Whether a part of a request has arrived.
    fn has_begun(&self) -> bool {
        self.partial.is_some() || !self.wire.input.is_empty()
    }

    /// Sets the timer for what the connection waits for now.
    fn arm(&mut self) {
        let wait = match () {
            () if !self.out.is_empty() => Wait::Write,
            () if !self.is_idle() => Wait::Answer,
            () if self.has_begun() => Wait::Arrival,
            () => Wait::Idle,
        };
        if self.wait == wait {
            return;
        }
        let limits = self.handler.limits();
        let span = match wait {
            Wait::Answer => None,
            Wait::Write => Some(WRITE_TIMEOUT),
            Wait::Arrival => Some(limits.request_timeout),
            Wait::Idle => Some(limits.idle_timeout),
        };
        self.wait = wait;
        self.timer = span.map(|span| self.clock.sleep(span));
    }

    fn accept(&mut self, request: Request) {
        let overlap = self.handler.may_overlap(&request.head);
        if self.pending.is_empty() || overlap {
            self.start(request);
        } else {
            self.held = Some(request);
        }
    }

    fn start(&mut self, request: Request) {
        // What follows a request that closes the connection is not read.
        self.last |= closes(&request.head);
        let method = request.head.method.clone();
        let answer = Rc::clone(&self.handler).handle(request);
        self.pending.push_back(Pending::Running(method, answer));
    }

    fn refuse(&mut self, reason: RejectReason) {
        self.last = true;
        self.partial = None;
        let answer = self.handler.reject(reason);
        self.pending.push_back(Pending::Done(Method::GET, answer));
    }

    fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<Event> {
        if let Poll::Ready(event) = self.poll_answers(cx) {
            return Poll::Ready(event);
        }
        if let Some(request) = self.held.take() {
            if self.pending.is_empty() && !self.last {
                self.start(request);
                return Poll::Ready(Event::Progress);
            }
            self.held = Some(request);
        }
        if let Poll::Ready(event) = self.poll_input(cx) {
            return Poll::Ready(event);
        }
        self.arm();
        match &mut self.timer {
            Some(timer) => timer.poll(cx).map(|()| Event::TimedOut(self.wait)),
            None => Poll::Pending,
        }
    }

    /// Lets the handlers work and writes what is ready, in order.
    fn poll_answers(&mut self, cx: &mut Context<'_>) -> Poll<Event> {
        for pending in &mut self.pending {
            if let Pending::Running(method, future) = pending
                && let Poll::Ready(answer) = future.poll(cx)
            {
                *pending = Pending::Done(method.clone(), answer);
            }
        }
        loop {
            while !self.out.is_empty() {
                match self.wire.poll_write(cx, &self.out) {
                    Poll::Ready(Ok(n)) => self.out.advance(n),
                    Poll::Ready(Err(_)) => return Poll::Ready(Event::Closed),
                    Poll::Pending => return Poll::Pending,
                }
                if self.out.is_empty() {
                    return Poll::Ready(Event::Progress);
                }
            }
            match self.pending.pop_front() {
                Some(Pending::Done(method, answer)) => self.write(&method, &answer),
                Some(running) => {
                    self.pending.push_front(running);
                    return Poll::Pending;
                }
                None => return Poll::Pending,
            }
        }
    }

    fn write(&mut self, method: &Method, answer: &Answer) {
        if self.stop.is_closing() {
            // A request that waits has not been started, so its caller may send it elsewhere.
            self.last = true;
            self.held = None;
        }
        let close = self.last && self.pending.is_empty();
        let bodiless = method == Method::HEAD
            || answer.status.is_informational()
            || matches!(answer.status.as_u16(), 204 | 304);
        let extent = if bodiless {
            Extent::Nothing
        } else {
            Extent::Length(u64::try_from(answer.body.len()).unwrap_or(u64::MAX))
        };
        let mut out = response_head(answer.status, &answer.headers, extent, close);
        if !bodiless {
            out.extend_from_slice(&answer.body);
        }
        self.out = out.freeze();
    }

    /// Reads requests, and notices that the caller has gone.
    fn poll_input(&mut self, cx: &mut Context<'_>) -> Poll<Event> {
        loop {
            if let Some(event) = self.take_request() {
                return Poll::Ready(event);
            }
            if self.wire.input.len() > self.ahead_max() {
                return Poll::Pending;
            }
            match self.wire.poll_fill(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(Event::Closed),
                Poll::Ready(Ok(_)) => {}
            }
        }
    }

    /// Bytes that may be read ahead of what is being handled.
    fn ahead_max(&self) -> usize {
        match &self.partial {
            Some(_) => AHEAD_MAX,
            None => self.handler.limits().head + AHEAD_MAX,
        }
    }

    /// Takes the next request out of the input, if it may be handled now and has arrived.
    fn take_request(&mut self) -> Option<Event> {
        if self.last {
            // Bytes behind the last request are dropped; only the end of the connection matters.
            self.wire.input.clear();
            return None;
        }
        if self.held.is_some() || self.pending.len() >= PIPELINE_MAX {
            return None;
        }
        let limits = self.handler.limits();
        if self.partial.is_none() {
            match parse_request(&mut self.wire.input, limits.head) {
                Ok(None) => return None,
                Ok(Some(head)) => match self.begin(head, limits.body) {
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
        self.continue_body(limits.body)
    }

    /// Begins to read a request's body. Returns an event if the caller waits for permission.
    fn begin(&mut self, head: RequestHead, max: u64) -> Result<Option<Event>, RejectReason> {
        let framing = Framing::of_request(&head).or(Err(RejectReason::Invalid))?;
        if matches!(framing, Framing::Length(n) if n > max) {
            return Err(RejectReason::BodyTooLarge);
        }
        let expects = head.headers.get(EXPECT).is_some();
        self.partial = Some(Partial {
            head,
            decoder: Decoder::new(framing),
            body: BytesMut::new(),
        });
        let waits = expects && framing != Framing::Empty && self.wire.input.is_empty();
        Ok((waits && self.is_idle()).then_some(Event::Continue))
    }

    fn continue_body(&mut self, max: u64) -> Option<Event> {
        let partial = self.partial.as_mut()?;
        loop {
            match partial.decoder.decode(&mut self.wire.input, false) {
                Ok(Decoded::Incomplete) => return None,
                Ok(Decoded::Data(piece)) => {
                    let size = partial.body.len() + piece.len();
                    if u64::try_from(size).unwrap_or(u64::MAX) > max {
                        return Some(Event::Reject(RejectReason::BodyTooLarge));
                    }
                    partial.body.extend_from_slice(&piece);
                }
                Ok(Decoded::End) => {
                    let whole = self.partial.take()?;
                    return Some(Event::Request(Request {
                        head: whole.head,
                        body: whole.body.freeze(),
                    }));
                }
                Err(_) => return Some(Event::Reject(RejectReason::Invalid)),
            }
        }
    }
}

/// Whether the caller wants the connection to end after the answer.
fn closes(head: &RequestHead) -> bool {
    let says = |option: &str| {
        head.headers
            .get_all(CONNECTION)
            .iter()
            .filter_map(|v| v.to_str().ok())
            .flat_map(|v| v.split(','))
            .any(|o| o.trim().eq_ignore_ascii_case(option))
    };
    says("close") || (head.minor == 0 && !says("keep-alive"))
}
