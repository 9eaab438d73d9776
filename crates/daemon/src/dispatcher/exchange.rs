//! One attempt to send a request to the upstream, and the transfer of its answer.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::header::HOST;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body::{Frame, SizeHint};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use trefoil_core::{Outcome, Shard, Tick, Token, UnixMillis};
use trefoil_dispatch::{Cause, GRANT_PATH, Grant, Refusal, Report, Status};
use trefoil_http::{CallError, ConnectionError};
use trefoil_wire::{AnswerHead, BodyError};

use super::Answer;
use super::driver::{Driver, Notice};
use super::job::{Job, SlotGuard};
use super::payload::{Payload, REPLAY_MAX};
use crate::pool::{ATTEMPT_HEADER, AttemptNumber, Identity, Link, Pool};
use crate::request::{self, host_value, is_refusal};
use crate::trace::{Span, TRACE_HEADER};

/// Request header with the fencing token of the dispatcher.
pub const FENCE_HEADER: &str = "fence-token";

/// Request header with the shard of the key.
pub const SHARD_HEADER: &str = "trefoil-shard";

/// Request header with the deadline in milliseconds since the Unix epoch.
pub const DEADLINE_HEADER: &str = "trefoil-deadline";

/// Validity of a grant, which the upstream counts from its arrival.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(1500);

/// Timeout of a grant.
pub(super) const GRANT_TIMEOUT: Duration = Duration::from_millis(400);

/// The result of an attempt.
pub(super) enum Attempt {
    /// The answer of the upstream.
    Answer(Answer),
    /// The attempt ended without an answer. The report says whether the request is retried.
    Ended(Cause, Option<Report>),
}

/// Sends a grant of shards to an upstream.
///
/// # Errors
///
/// Fails if the upstream does not answer within `GRANT_TIMEOUT`.
pub async fn send_grant(
    to: SocketAddr,
    token: Token,
    now: UnixMillis,
    shards: &[Shard],
) -> Result<(), CallError> {
    let valid = u64::try_from(GRANT_VALIDITY.as_millis()).unwrap_or(u64::MAX);
    let grant = Grant {
        token,
        valid,
        until: now + UnixMillis(valid),
        shards: shards.to_vec(),
    };
    // A grant contains only strings and numbers, so encoding cannot fail.
    let mut request = Request::new(Bytes::from(serde_json::to_vec(&grant).unwrap_or_default()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(GRANT_PATH);
    trefoil_http::call(to, request, 4096, GRANT_TIMEOUT)
        .await
        .map(|_| ())
}

impl Job {
    /// Sends the request once and receives its answer.
    pub(super) async fn attempt(&mut self, mut slot: SlotGuard) -> Attempt {
        let driver = Arc::clone(&self.driver);
        let Some(token) = driver.authority.token(driver.name()) else {
            return end_attempt(slot, Cause::NothingWritten);
        };
        let trace = self.head.trace.as_deref();
        let mut span = driver.shared.tracing.client("upstream", trace);
        span.set("upstream", driver.name());
        let number = driver.pool.next_attempt();
        let Some(request) = self.request(token, number, &span) else {
            return end_attempt(slot, Cause::NothingWritten);
        };
        let stop = async {
            driver.wait_stopped().await;
            Err(ConnectionError::NotWritten)
        };
        let connection = async {
            driver.await_grant(self.shard).await;
            driver.pool.take().await
        };
        let Ok(mut link) = connection.or(stop).await else {
            return end_attempt(slot, Cause::NotConnected);
        };
        // The authority is checked again immediately before the write. A process that is suspended
        // from here past the end of its lease is killed by the kernel timer before it can write.
        let token_valid = driver.authority.token(driver.name()) == Some(token);
        if !token_valid || !slot.may_write() {
            driver.pool.put_back(link);
            return end_attempt(slot, Cause::NothingWritten);
        }
        driver.count_sent();
        slot.mark_written();
        let sent = async { SendResult::Head(link.connection.send(request).await) };
        let stop = async {
            driver.wait_stopped().await;
            SendResult::Close(Cause::Abandoned)
        };
        let response = match sent.or(self.close_requested()).or(stop).await {
            SendResult::Head(Ok(response)) => {
                span.set("status", response.status().as_u16());
                response
            }
            SendResult::Head(Err(
                ConnectionError::NotWritten | ConnectionError::Connect { .. },
            )) => {
                return end_attempt(slot, Cause::NothingWritten);
            }
            SendResult::Head(Err(
                ConnectionError::Broken { .. }
                | ConnectionError::Status { .. }
                | ConnectionError::Encoding,
            )) => {
                return end_attempt(slot, Cause::NoAnswer);
            }
            SendResult::Close(cause) => return end_attempt(slot, cause),
        };
        let identity = link.identify(number, response.headers());
        if identity == Identity::Other {
            return end_attempt(slot, Cause::NoAnswer);
        }
        let link = Answering {
            link,
            reusable: identity == Identity::Proven,
        };
        self.answer(slot, link, response).await
    }

    /// Waits until the connection must be closed without an answer.
    async fn close_requested(&self) -> SendResult {
        loop {
            match self.notices.recv().await {
                Ok(Notice::Close) => return SendResult::Close(Cause::TimedOut),
                // After the deadline the connection stays open for the margin, because a late
                // answer still determines the outcome. The ingress has answered its caller by then.
                Ok(Notice::Start(_) | Notice::Dropped(_) | Notice::Expired) => {}
                Err(_) => return SendResult::Close(Cause::Abandoned),
            }
        }
    }

    async fn answer(
        &self,
        slot: SlotGuard,
        link: Answering,
        response: http::Response<Incoming>,
    ) -> Attempt {
        let driver = Arc::clone(&self.driver);
        let (parts, body) = response.into_parts();
        let status = Status(parts.status.as_u16());
        let refusal = match parts.status {
            _ if !is_refusal(parts.status, &parts.headers) => None,
            StatusCode::CONFLICT => Some(Refusal::Fence),
            _ => Some(Refusal::Overload),
        };
        let answer = AnswerHead::Answer {
            status: status.0,
            headers: request::end_to_end_headers(&parts.headers),
            outcome: Outcome::Done,
            revision: driver.shared.view().revision,
        };
        let small = http_body::Body::size_hint(&body)
            .exact()
            .is_some_and(|n| n <= REPLAY_MAX as u64);
        if !small && refusal.is_none() {
            let exchange = Exchange {
                driver,
                link: Some(link),
                slot: Some(slot),
                status,
            };
            let until = self.until;
            return Attempt::Answer((
                answer,
                AnswerBody {
                    body,
                    exchange,
                    until,
                }
                .boxed(),
            ));
        }
        // A small answer is read to its end first, so that "done" is reported only for a complete
        // answer.
        let whole = async {
            let whole = Limited::new(body, REPLAY_MAX).collect().await;
            whole
                .map(http_body_util::Collected::to_bytes)
                .or(Err(Cause::CutOff))
        };
        let closing = async {
            match self.close_requested().await {
                SendResult::Close(cause) => Err(cause),
                SendResult::Head(_) => Err(Cause::CutOff),
            }
        };
        let stop = async {
            driver.wait_stopped().await;
            Err(Cause::Abandoned)
        };
        match whole.or(closing).or(stop).await {
            Err(cause) => end_attempt(slot, cause),
            Ok(bytes) => {
                link.put_back(&driver.pool);
                if let Some(refusal) = refusal {
                    return end_attempt(slot, Cause::Refused(refusal));
                }
                slot.finish(answer_cause(driver.shared.clock.now(), self.until, status));
                let body = Full::new(bytes).map_err(|never| match never {}).boxed();
                Attempt::Answer((answer, body))
            }
        }
    }

    fn request(
        &mut self,
        token: Token,
        number: AttemptNumber,
        span: &Span,
    ) -> Option<Request<trefoil_http::Body>> {
        let driver = &self.driver;
        let mut headers = HeaderMap::with_capacity(self.head.headers.len() + 6);
        for (name, value) in &self.head.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_bytes(value).ok()?);
        }
        let left = self.until.since(driver.shared.clock.now()).as_millis();
        let deadline = u128::from(driver.shared.clock.unix().0) + left;
        if let Some(trace) = span.context() {
            headers.insert(TRACE_HEADER, HeaderValue::from_str(&trace).ok()?);
        }
        headers.insert(HOST, host_value(driver.address()));
        headers.insert(
            FENCE_HEADER,
            HeaderValue::from_str(&token.to_string()).ok()?,
        );
        headers.insert(SHARD_HEADER, HeaderValue::from(self.shard.0));
        let number = HeaderValue::from_str(&number.to_string()).ok()?;
        headers.insert(ATTEMPT_HEADER, number);
        headers.insert(
            DEADLINE_HEADER,
            HeaderValue::from_str(&deadline.to_string()).ok()?,
        );
        let body = match &mut self.payload {
            Payload::Whole(bytes) => trefoil_http::full(bytes.clone()),
            Payload::Stream(body) => body.take()?.map_err(|e| Box::new(e) as _).boxed(),
        };
        let mut request = Request::new(body);
        *request.method_mut() = Method::from_bytes(self.head.method.as_bytes()).ok()?;
        *request.uri_mut() = self.head.path.parse().ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }
}

/// A connection whose answer is being read.
struct Answering {
    link: Link,
    /// The connection may carry another request afterwards.
    reusable: bool,
}

impl Answering {
    /// Returns the connection to the pool if it may carry another request, or closes it.
    fn put_back(self, pool: &Pool) {
        if self.reusable {
            pool.put_back(self.link);
        }
    }
}

enum SendResult {
    Head(Result<http::Response<Incoming>, ConnectionError>),
    Close(Cause),
}

fn end_attempt(slot: SlotGuard, cause: Cause) -> Attempt {
    Attempt::Ended(cause, slot.finish(cause))
}

fn answer_cause(now: Tick, until: Tick, status: Status) -> Cause {
    if now > until {
        Cause::AnsweredLate(status)
    } else {
        Cause::Answered(status)
    }
}

/// The resources of a streamed answer: its connection and its slot. They are released when the
/// answer was read to its end.
struct Exchange {
    driver: Arc<Driver>,
    link: Option<Answering>,
    slot: Option<SlotGuard>,
    status: Status,
}

impl Exchange {
    fn end(&mut self, cause: Cause) {
        let link = self.link.take();
        if let Some(link) = link.filter(|_| cause.verdict().reuse) {
            link.put_back(&self.driver.pool);
        }
        let report = self.slot.take().and_then(|slot| slot.finish(cause));
        // The head of the answer is already sent, so the request cannot be retried.
        if let Some(Report::Retry(id)) = report {
            self.driver.cancel(id);
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.slot.is_some() {
            self.end(Cause::Abandoned);
        }
    }
}

/// The body of a streamed answer. Dropping it before its end closes the connection.
struct AnswerBody {
    body: Incoming,
    exchange: Exchange,
    until: Tick,
}

impl AnswerBody {
    fn on_end(&mut self) {
        let now = self.exchange.driver.shared.clock.now();
        let cause = answer_cause(now, self.until, self.exchange.status);
        if self.exchange.slot.is_some() {
            self.exchange.end(cause);
        }
    }
}

impl http_body::Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let frame = frame.map(|f| {
            f.map_err(|e| BodyError::Source {
                reason: e.to_string(),
            })
        });
        match &frame {
            None => self.on_end(),
            Some(Ok(_)) if self.body.is_end_stream() => self.on_end(),
            Some(Ok(_)) => {}
            Some(Err(_)) => self.exchange.end(Cause::CutOff),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
