//! The port for callers.
//!
//! The ingress parses the head of a request, looks up the owner of its key and the dispatcher of
//! that upstream, and forwards the request. It forwards a non-idempotent request again only if the
//! earlier attempt is proven not to have run, for example because the owner of the key has just
//! changed. Small bodies are buffered before the first attempt, so that they can be sent again.

mod answer;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use slog::debug;
use trefoil_core::{Outcome, Tick, UpstreamName};
use trefoil_http::Service;
use trefoil_log::{HostRecord, View};
use trefoil_wire::message::TEXT_MAX;
use trefoil_wire::{AnswerHead, Body, BodyError, ForwardHead, Handler, PeerId, Peers, encode};

use self::answer::{CallerAnswer, to_caller_answer, unavailable};
use crate::authority::Authority;
use crate::dispatcher::{Dispatchers, owner};
use crate::message::Message;
use crate::problem::Problem;
use crate::request::{ID_HEADER, ParsedRequest, end_to_end_headers};
use crate::routes::Routes;
use crate::shared::Shared;
use crate::trace::TRACE_HEADER;

/// Largest body in bytes that is buffered before the request is forwarded.
const REPLAY_BODY_MAX: u64 = 64 * 1024;

/// Time after the deadline in which the dispatcher can still report that a request was not run.
const ANSWER_GRACE: Duration = Duration::from_millis(100);

/// Time without an answer after which the dispatcher's host is probed, and between two probes. It
/// is far above the 99th percentile of the latency, 8 ms.
const PROBE_AFTER: Duration = Duration::from_millis(100);

/// Timeout of a probe. Together with [`PROBE_AFTER`] it is well below the duration of a lease, so
/// new requests avoid a lost host before its successor takes over.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of other owners, beyond the recorded one, that one attempt may follow.
const OWNER_MOVES_MAX: usize = 2;

/// Delay before a request is forwarded again, unless the view changes earlier.
const RETRY_WAIT: Duration = Duration::from_millis(20);

/// The port for callers.
#[derive(Debug)]
pub struct Ingress {
    shared: Arc<Shared>,
    authority: Arc<Authority>,
    dispatchers: Arc<Dispatchers>,
    peers: Arc<dyn Peers>,
    routes: Arc<Routes>,
}

/// The body of a caller's request.
enum Payload {
    Buffered(Bytes),
    Stream(Option<Body>, Arc<AtomicBool>),
}

impl Payload {
    /// Returns true if the body turned out to be larger than the service allows.
    fn is_too_large(&self) -> bool {
        matches!(self, Self::Stream(_, too_large) if too_large.load(Ordering::SeqCst))
    }
}

/// Result of one attempt.
enum Attempt {
    Answered(AnswerHead, Body),
    Moved(UpstreamName),
    /// The dispatcher reported a final outcome.
    Settled(Outcome, String),
    /// No dispatcher has reported a final outcome.
    Failed(Outcome, String),
}

impl Ingress {
    /// Creates an ingress that forwards to `peers`, or to `dispatchers` if they are on this host.
    pub fn new(
        shared: Arc<Shared>,
        authority: Arc<Authority>,
        dispatchers: Arc<Dispatchers>,
        peers: Arc<dyn Peers>,
    ) -> Self {
        let routes = Arc::default();
        Self {
            shared,
            authority,
            dispatchers,
            peers,
            routes,
        }
    }

    async fn handle_request(&self, request: Request<Incoming>) -> Response<trefoil_http::Body> {
        let started = self.shared.clock.now();
        let (parts, body) = request.into_parts();
        let large = http_body::Body::size_hint(&body)
            .exact()
            .is_none_or(|n| n > REPLAY_BODY_MAX);
        // With two values it is not known which one the caller means, so both are ignored.
        let mut traces = parts.headers.get_all(TRACE_HEADER).iter();
        let trace = traces.next().and_then(|v| v.to_str().ok());
        let short = |t: &&str| t.len() <= TEXT_MAX && traces.next().is_none();
        let trace = trace.filter(short);
        let mut trace_span = self.shared.tracing.server("ingress", trace);
        let trace = trace_span.context().or(trace.map(str::to_owned));
        let (service, result) = self.serve_request(&parts, body, trace).await;
        let (outcome, response) = match result {
            Ok(answered) => answered,
            Err(problem) => {
                let mut response = problem.response();
                // The rest of the body is not read, so the connection cannot be reused.
                if large {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                (problem.outcome, response)
            }
        };
        let span = self.shared.clock.now().since(started);
        self.shared.metrics.record_answer(&service, outcome, span);
        trace_span.set("service", &service);
        trace_span.set("method", &parts.method);
        trace_span.set("outcome", outcome);
        trace_span.set("status", response.status().as_u16());
        debug!(self.shared.logger, "request answered"; "service" => &service,
            "method" => %parts.method, "outcome" => %outcome,
            "status" => response.status().as_u16(), "us" => span.as_micros());
        response
    }

    async fn serve_request(
        &self,
        parts: &Parts,
        body: Incoming,
        trace: Option<String>,
    ) -> (String, Result<CallerAnswer, Box<Problem>>) {
        // A host that has not joined has no lease; replies of its seeds replace it, see `catchup`.
        let trusted = self.authority.is_valid() || self.shared.has_seed_majority();
        if !self.shared.is_ready() || !trusted {
            let reason = "this host is starting, draining or behind the newest configuration";
            // An earlier request with the same id may have run, and no dispatcher has checked it.
            let problem = if parts.headers.contains_key(ID_HEADER) {
                Problem::unknown(reason)
            } else {
                Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, reason)
            };
            self.discard_body(body).await;
            return ("-".to_owned(), Err(Box::new(problem)));
        }
        match ParsedRequest::read(parts, &self.shared.view()) {
            Ok(parsed) => {
                let name = parsed.service.name.to_string();
                let parsed = ParsedRequest { trace, ..parsed };
                (name, self.forward_with_retries(&parsed, parts, body).await)
            }
            Err(problem) => {
                self.discard_body(body).await;
                ("-".to_owned(), Err(problem))
            }
        }
    }

    /// Reads and drops a small body of a refused request, so that the connection can be reused.
    async fn discard_body(&self, body: Incoming) {
        if http_body::Body::size_hint(&body)
            .exact()
            .is_some_and(|n| n <= REPLAY_BODY_MAX)
        {
            let late = self.shared.clock.sleep(PROBE_AFTER);
            async { drop(body.collect().await) }.or(late).await;
        }
    }

    async fn forward_with_retries(
        &self,
        parsed: &ParsedRequest,
        parts: &Parts,
        body: Incoming,
    ) -> Result<CallerAnswer, Box<Problem>> {
        let until = self.shared.clock.now().after(parsed.budget);
        let mut payload = self.read_payload(parsed, body, until).await?;
        self.routes.deposit(&parsed.service.name);
        // "Not run" may be reported only if neither an earlier attempt with an unknown outcome nor an
        // earlier request with the same id may have run. Only dispatchers remember the latter.
        let may_have_copies = parsed.id.is_some() && !parsed.idempotent;
        let mut may_have_run = false;
        loop {
            let attempt = self.try_owners(parsed, parts, &mut payload, until).await;
            let (outcome, reason) = match attempt {
                Attempt::Answered(head, body) => return Ok(to_caller_answer(head, body)),
                Attempt::Settled(Outcome::NotRun, reason) if !may_have_run => {
                    return Err(Box::new(unavailable(&reason)));
                }
                Attempt::Settled(_, reason) => (Outcome::Unknown, reason),
                Attempt::Moved(to) => (Outcome::NotRun, format!("the key moved to {to}")),
                Attempt::Failed(outcome, reason) => (outcome, reason),
            };
            may_have_run |= outcome != Outcome::NotRun;
            if payload.is_too_large() {
                let problem = Problem::too_large(parsed.service.limits.body, may_have_run);
                return Err(Box::new(problem));
            }
            let next = self.shared.clock.now().after(RETRY_WAIT);
            let retry = matches!(payload, Payload::Buffered(_)) && next < until;
            let retry = retry
                && match outcome {
                    Outcome::NotRun => true,
                    _ => parsed.idempotent && self.routes.withdraw(&parsed.service.name),
                };
            if retry {
                self.shared.wait_change(next).await;
            } else if may_have_run || may_have_copies {
                return Err(Box::new(Problem::unknown(&reason)));
            } else {
                return Err(Box::new(unavailable(&reason)));
            }
        }
    }

    async fn read_payload(
        &self,
        parsed: &ParsedRequest,
        body: Incoming,
        until: Tick,
    ) -> Result<Payload, Box<Problem>> {
        let max = usize::try_from(parsed.service.limits.body).unwrap_or(usize::MAX);
        let exact = http_body::Body::size_hint(&body).exact();
        let body = Limited::new(body, max);
        if exact.is_none_or(|n| n > REPLAY_BODY_MAX) {
            let too_large = Arc::new(AtomicBool::new(false));
            let flag = Arc::clone(&too_large);
            let body = body.map_err(move |e| {
                flag.fetch_or(e.is::<LengthLimitError>(), Ordering::SeqCst);
                BodyError::Source {
                    reason: e.to_string(),
                }
            });
            return Ok(Payload::Stream(Some(body.boxed()), too_large));
        }
        let late = async {
            self.shared.clock.sleep_until(until).await;
            None
        };
        match async { Some(body.collect().await) }.or(late).await {
            Some(Ok(whole)) => Ok(Payload::Buffered(whole.to_bytes())),
            Some(Err(e)) => {
                let detail = format!("the body broke off: {e}");
                Err(Box::new(Problem::not_run(StatusCode::BAD_REQUEST, detail)))
            }
            None => {
                let detail = "the body did not arrive within the deadline";
                Err(Box::new(Problem::not_run(
                    StatusCode::REQUEST_TIMEOUT,
                    detail,
                )))
            }
        }
    }

    /// Tries the recorded owner of the key, then other owners that dispatchers name instead.
    async fn try_owners(
        &self,
        parsed: &ParsedRequest,
        parts: &Parts,
        payload: &mut Payload,
        until: Tick,
    ) -> Attempt {
        let view = self.shared.view();
        let not_run = |reason: &str| Attempt::Failed(Outcome::NotRun, reason.to_owned());
        let Some(recorded) = owner(&view, &parsed.service, parsed.key) else {
            return not_run("the key has no owner yet");
        };
        // A dispatcher answers with another owner if its view is newer, or if its upstream has
        // failed over while the log is down.
        let mut upstream = recorded.clone();
        let mut last = not_run("the key's upstream has no dispatcher yet");
        for _ in 0..=OWNER_MOVES_MAX {
            last = self
                .try_dispatchers(&view, &upstream, parsed, parts, payload, until)
                .await;
            match &last {
                Attempt::Moved(to) => upstream = to.clone(),
                _ => break,
            }
        }
        last
    }

    /// Tries the hosts that may be the dispatcher of `upstream`, until one of them has accepted the
    /// request or all have answered that it was not run.
    async fn try_dispatchers(
        &self,
        view: &View,
        upstream: &UpstreamName,
        parsed: &ParsedRequest,
        parts: &Parts,
        payload: &mut Payload,
        until: Tick,
    ) -> Attempt {
        let reason = "the key's upstream has no dispatcher yet".to_owned();
        let mut last = Attempt::Failed(Outcome::NotRun, reason);
        for host in self.routes.lookup(view, upstream, self.shared.clock.now()) {
            let budget = until.since(self.shared.clock.now());
            let mut head = self.build_head(parsed, parts, upstream, budget);
            let mut span = self.shared.tracing.client("forward", head.trace.as_deref());
            head.trace = span.context().or(head.trace);
            span.set("host", &host.name);
            span.set("upstream", upstream);
            let body = match payload {
                Payload::Buffered(bytes) => trefoil_wire::body::full(bytes.clone()),
                Payload::Stream(body, _) => match body.take() {
                    Some(body) => body,
                    None => return last,
                },
            };
            last = self
                .forward_to(host, head, body, parsed.idempotent, until)
                .await;
            if let Attempt::Failed(outcome, reason) = &last {
                span.set("outcome", outcome);
                span.set("reason", reason);
            }
            match &last {
                Attempt::Failed(Outcome::NotRun, _) => {}
                Attempt::Answered(..) | Attempt::Moved(_) | Attempt::Settled(..) => {
                    self.routes.record_answer(upstream, host.id);
                    return last;
                }
                Attempt::Failed(..) => return last,
            }
        }
        last
    }

    async fn forward_to(
        &self,
        host: &HostRecord,
        head: ForwardHead,
        body: Body,
        idempotent: bool,
        until: Tick,
    ) -> Attempt {
        if host.id == self.shared.host.id {
            let id = PeerId::from(self.shared.host.name.clone());
            let local = async {
                let answer = Arc::clone(&self.dispatchers).forward(id, head, body).await;
                self.to_attempt(answer)
            };
            return local.or(self.fail_at_deadline(until)).await;
        }
        let sent = async {
            match self.peers.forward(host.addresses.peer, head, body).await {
                Ok(answer) => self.to_attempt(answer),
                Err(e) if e.may_have_been_sent() => {
                    Attempt::Failed(Outcome::Unknown, e.to_string())
                }
                Err(e) => {
                    self.routes.mark_suspect(host.id, self.shared.clock.now());
                    Attempt::Failed(Outcome::NotRun, e.to_string())
                }
            }
        };
        sent.or(self.watch_host(host, idempotent))
            .or(self.fail_at_deadline(until))
            .await
    }

    async fn fail_at_deadline(&self, until: Tick) -> Attempt {
        self.shared
            .clock
            .sleep_until(until.after(ANSWER_GRACE))
            .await;
        Attempt::Failed(Outcome::Unknown, "the deadline passed".to_owned())
    }

    /// Probes a host that is slow to answer. Once the host does not answer probes, an idempotent
    /// request fails, so that it can be retried; any other request waits for its outcome.
    async fn watch_host(&self, host: &HostRecord, idempotent: bool) -> Attempt {
        loop {
            self.shared.clock.sleep(PROBE_AFTER).await;
            self.probe_host(host);
            if idempotent && self.routes.is_suspect(host.id, self.shared.clock.now()) {
                let reason = "the dispatcher does not answer".to_owned();
                return Attempt::Failed(Outcome::Unknown, reason);
            }
        }
    }

    /// Probes a host in a separate task. As part of a request, the probe would be cancelled at the
    /// end of a short deadline, and new requests would still be sent to a lost host.
    fn probe_host(&self, host: &HostRecord) {
        let (id, address) = (host.id, host.addresses.peer);
        if !self.routes.begin_probe(id) {
            return;
        }
        let revision = self.shared.view().revision;
        let ping = encode(&Message::Revision { sender: revision }).unwrap_or_default();
        let (peers, clock) = (Arc::clone(&self.peers), Arc::clone(&self.shared.clock));
        let routes = Arc::clone(&self.routes);
        smol::spawn(async move {
            let call = async { peers.call(address, ping).await.is_ok() };
            let timeout = async {
                clock.sleep(PROBE_TIMEOUT).await;
                false
            };
            let alive = call.or(timeout).await;
            routes.end_probe(id, alive, clock.now());
        })
        .detach();
    }

    fn build_head(
        &self,
        parsed: &ParsedRequest,
        parts: &Parts,
        upstream: &UpstreamName,
        budget: Duration,
    ) -> ForwardHead {
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
        ForwardHead {
            service: parsed.service.name.clone(),
            upstream: upstream.clone(),
            key: parsed.key,
            method: parts.method.to_string(),
            path: path.to_owned(),
            headers: end_to_end_headers(&parts.headers),
            id: parsed.id.clone(),
            idempotent: parsed.idempotent,
            budget,
            trace: parsed.trace.clone(),
            revision: self.shared.view().revision,
        }
    }

    fn to_attempt(&self, (head, body): (AnswerHead, Body)) -> Attempt {
        match head {
            AnswerHead::Answer { revision, .. } => {
                self.shared.observe_revision(revision);
                Attempt::Answered(head, body)
            }
            AnswerHead::Failed {
                outcome,
                reason,
                revision,
                is_final,
            } => {
                self.shared.observe_revision(revision);
                if is_final {
                    Attempt::Settled(outcome, reason)
                } else {
                    Attempt::Failed(outcome, reason)
                }
            }
            AnswerHead::Moved { upstream, revision } => {
                self.shared.observe_revision(revision);
                Attempt::Moved(upstream)
            }
        }
    }
}

impl Service for Ingress {
    fn handle(
        self: Arc<Self>,
        _peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Boxed<Response<trefoil_http::Body>> {
        async move { self.handle_request(request).await }.boxed()
    }

    fn refusal(&self, status: StatusCode) -> Response<Bytes> {
        let detail = match status {
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => "the request's head is too large",
            StatusCode::URI_TOO_LONG => "the request's path is too long",
            _ => "the request is not valid HTTP",
        };
        self.shared
            .metrics
            .record_answer("-", Outcome::NotRun, Duration::ZERO);
        Problem::not_run(status, detail).document()
    }
}
