//! One attempt to send a request to the upstream, and its answer.

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
use trefoil_http::{CallError, Connection, ConnectionError};
use trefoil_wire::{AnswerHead, BodyError};

use super::Answer;
use super::driver::{Driver, Notice};
use super::job::{Held, Job};
use super::payload::{Payload, REPLAY_MAX};
use crate::request::{self, host_value, is_refusal};
use crate::trace::{Span, TRACE_HEADER};

/// Header with the dispatcher's fencing token.
pub const FENCE_HEADER: &str = "fence-token";

/// Header with the shard of the request's key.
pub const SHARD_HEADER: &str = "trefoil-shard";

/// Header with the request's deadline in milliseconds since the Unix epoch.
pub const DEADLINE_HEADER: &str = "trefoil-deadline";

/// Validity of a grant, counted by the upstream from its arrival.
pub const GRANT_VALID: Duration = Duration::from_millis(1500);

/// Time for an upstream to accept a grant.
pub(super) const GRANT_TIMEOUT: Duration = Duration::from_millis(400);

/// How an attempt ended.
pub(super) enum Attempt {
    /// The upstream's answer.
    Answer(Answer),
    /// There is no answer; the report says whether the request is tried again.
    Ended(Cause, Option<Report>),
}

/// Sends a grant.
///
/// # Errors
///
/// Fails if the upstream does not answer in time.
pub async fn grant(
    to: SocketAddr,
    token: Token,
    now: UnixMillis,
    shards: &[Shard],
) -> Result<(), CallError> {
    let valid = u64::try_from(GRANT_VALID.as_millis()).unwrap_or(u64::MAX);
    let grant = Grant {
        token,
        valid,
        until: now + UnixMillis(valid),
        shards: shards.to_vec(),
    };
    // A grant has only strings and numbers, so it always encodes.
    let mut request = Request::new(Bytes::from(serde_json::to_vec(&grant).unwrap_or_default()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(GRANT_PATH);
    trefoil_http::call(to, request, 4096, GRANT_TIMEOUT)
        .await
        .map(|_| ())
}

impl Job {
    /// Sends the request once.
    pub(super) async fn attempt(&mut self, mut held: Held) -> Attempt {
        let driver = Arc::clone(&self.driver);
        let Some(token) = driver.authority.token(driver.name()) else {
            return end(held, Cause::NothingWritten);
        };
        let trace = self.head.trace.as_deref();
        let mut span = driver.shared.tracing.client("upstream", trace);
        span.set("upstream", driver.name());
        let Some(request) = self.request(token, &span) else {
            return end(held, Cause::NothingWritten);
        };
        let stop = async {
            driver.stopping().await;
            Err(ConnectionError::NotWritten)
        };
        let connection = async {
            driver.await_grant(self.shard).await;
            driver.pool.take().await
        };
        let Ok(mut connection) = connection.or(stop).await else {
            return end(held, Cause::NotConnected);
        };
        // The last look before the write. A process that is stopped from here to the end of its
        // lease is killed by the kernel timer before it can write.
        let holds = driver.authority.token(driver.name()) == Some(token);
        if !holds || !held.may_write() {
            driver.pool.give_back(connection);
            return end(held, Cause::NothingWritten);
        }
        driver.sent();
        held.written();
        let sent = async { Sent::Head(connection.send(request).await) };
        let stop = async {
            driver.stopping().await;
            Sent::Close(Cause::Abandoned)
        };
        let response = match sent.or(self.closing()).or(stop).await {
            Sent::Head(Ok(response)) => {
                span.set("status", response.status().as_u16());
                response
            }
            Sent::Head(Err(ConnectionError::NotWritten | ConnectionError::Connect { .. })) => {
                return end(held, Cause::NothingWritten);
            }
            Sent::Head(Err(ConnectionError::Broken { .. })) => {
                return end(held, Cause::NoAnswer);
            }
            Sent::Close(cause) => return end(held, cause),
        };
        self.answer(held, connection, response).await
    }

    /// Completes when the connection must be closed before the answer has come.
    async fn closing(&self) -> Sent {
        loop {
            match self.signals.recv().await {
                Ok(Notice::Close) => return Sent::Close(Cause::TimedOut),
                // After the deadline the connection stays open for the margin, because a late
                // answer settles the outcome. The ingress has told its caller by then.
                Ok(Notice::Start(_) | Notice::Dropped(_) | Notice::Expired) => {}
                Err(_) => return Sent::Close(Cause::Abandoned),
            }
        }
    }

    async fn answer(
        &self,
        held: Held,
        connection: Connection,
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
            let part = Exchange {
                driver,
                connection: Some(connection),
                held: Some(held),
                status,
            };
            let until = self.until;
            return Attempt::Answer((answer, AnswerBody { body, part, until }.boxed()));
        }
        // A small answer is read to its end first, so that "done" is said only of a whole one.
        let whole = async {
            let whole = Limited::new(body, REPLAY_MAX).collect().await;
            whole
                .map(http_body_util::Collected::to_bytes)
                .or(Err(Cause::CutOff))
        };
        let closing = async {
            match self.closing().await {
                Sent::Close(cause) => Err(cause),
                Sent::Head(_) => Err(Cause::CutOff),
            }
        };
        let stop = async {
            driver.stopping().await;
            Err(Cause::Abandoned)
        };
        match whole.or(closing).or(stop).await {
            Err(cause) => end(held, cause),
            Ok(bytes) => {
                driver.pool.give_back(connection);
                if let Some(refusal) = refusal {
                    return end(held, Cause::Refused(refusal));
                }
                held.finish(answered(driver.shared.clock.now(), self.until, status));
                let body = Full::new(bytes).map_err(|never| match never {}).boxed();
                Attempt::Answer((answer, body))
            }
        }
    }

    fn request(&mut self, token: Token, span: &Span) -> Option<Request<trefoil_http::Body>> {
        let driver = &self.driver;
        let mut headers = HeaderMap::with_capacity(self.head.headers.len() + 5);
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

enum Sent {
    Head(Result<http::Response<Incoming>, ConnectionError>),
    Close(Cause),
}

fn end(held: Held, cause: Cause) -> Attempt {
    Attempt::Ended(cause, held.finish(cause))
}

fn answered(now: Tick, until: Tick, status: Status) -> Cause {
    if now > until {
        Cause::AnsweredLate(status)
    } else {
        Cause::Answered(status)
    }
}

/// What a streamed answer holds until it was read to its end.
struct Exchange {
    driver: Arc<Driver>,
    connection: Option<Connection>,
    held: Option<Held>,
    status: Status,
}

impl Exchange {
    fn end(&mut self, cause: Cause) {
        let connection = self.connection.take();
        if let Some(connection) = connection.filter(|_| cause.verdict().reuse) {
            self.driver.pool.give_back(connection);
        }
        let report = self.held.take().and_then(|held| held.finish(cause));
        // The head of the answer has left, so the request cannot be tried again.
        if let Some(Report::Retry(id)) = report {
            self.driver.cancel(id);
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.held.is_some() {
            self.end(Cause::Abandoned);
        }
    }
}

/// The body of a streamed answer. If it is dropped before its end, the connection is closed.
struct AnswerBody {
    body: Incoming,
    part: Exchange,
    until: Tick,
}

impl AnswerBody {
    fn whole(&mut self) {
        let now = self.part.driver.shared.clock.now();
        let cause = answered(now, self.until, self.part.status);
        if self.part.held.is_some() {
            self.part.end(cause);
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
            None => self.whole(),
            Some(Ok(_)) if self.body.is_end_stream() => self.whole(),
            Some(Ok(_)) => {}
            Some(Err(_)) => self.part.end(Cause::CutOff),
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
