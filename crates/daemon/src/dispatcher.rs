//! Dispatchers: the only processes that send to an upstream.
//!
//! [`Dispatchers`] serves forwarded requests for all upstreams that are assigned to this host, and
//! keeps one [`Dispatcher`] for each. A request is sent only if the view that admits it is at
//! least as new as the ingress's, this host is the assigned dispatcher, and the upstream owns the
//! key's shard.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicI32, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_lock::{Semaphore, SemaphoreGuardArc};
use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http::header::HOST;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use slog::{info, warn};
use trefoil_config::{Service, Upstream};
use trefoil_core::{Clock, KeyHash, Outcome, Tick, Token, UpstreamName};
use trefoil_http::{Connection, ConnectionError};
use trefoil_log::View;
use trefoil_wire::{AnswerHead, Body, BodyError, ForwardHead, Handler, PeerId};

use crate::message::{Message, Reply};
use crate::planner::Observed;
use crate::pool::Pool;
use crate::request::{self, host_value, is_refusal};
use crate::shared::Shared;

/// Longest wait for a view that is as new as the ingress's.
const CATCH_UP: Duration = Duration::from_secs(1);

/// Time between two probes of an upstream, and time for one to answer.
const PROBE_EVERY: Duration = Duration::from_millis(400);

/// Failed probes in a row after which an upstream is lost.
const PROBES_FAILED: i32 = 3;

/// Answered probes in a row after which a lost upstream gets keys again.
const PROBES_GOOD: i32 = 3;

/// All dispatchers of this host.
#[derive(Debug)]
pub struct Dispatchers {
    shared: Arc<Shared>,
    active: Mutex<BTreeMap<UpstreamName, Arc<Dispatcher>>>,
}

/// The dispatcher of one upstream.
#[derive(Debug)]
pub struct Dispatcher {
    name: UpstreamName,
    upstream: Upstream,
    pool: Pool,
    slots: Arc<Semaphore>,
    queued: AtomicU32,
    queue: u32,
    /// Probes in a row that were answered, or below zero that failed.
    probes: AtomicI32,
}

type Answer = (AnswerHead, Body);

impl Dispatchers {
    /// No dispatchers yet.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            active: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamName, Arc<Dispatcher>>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the probes of this host's dispatchers have shown.
    pub fn observed(&self) -> Observed {
        let mut observed = Observed::default();
        for dispatcher in self.lock().values() {
            let list = match dispatcher.probes.load(Ordering::SeqCst) {
                n if n <= -PROBES_FAILED => &mut observed.lost,
                n if n >= PROBES_GOOD => &mut observed.healthy,
                _ => continue,
            };
            list.push(dispatcher.name.clone());
        }
        observed
    }

    /// Starts and stops dispatchers as the view assigns them, for as long as the process runs.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.follow(&self.shared.view());
            self.shared
                .wait_change(self.shared.clock.now().after(Duration::from_secs(1)))
                .await;
        }
    }

    fn follow(&self, view: &View) {
        let mut wanted = BTreeMap::new();
        for service in view.services() {
            for upstream in &service.upstreams {
                if self.token(view, &upstream.name).is_some() {
                    wanted.insert(upstream.name.clone(), (service, upstream));
                }
            }
        }
        let mut active = self.lock();
        active.retain(|name, d| wanted.get(name).is_some_and(|(_, u)| **u == d.upstream));
        for (name, (service, upstream)) in wanted {
            active.entry(name).or_insert_with(|| {
                info!(self.shared.logger, "dispatcher started"; "upstream" => %upstream.name);
                let dispatcher = Arc::new(Dispatcher::new(service, upstream));
                let (clock, weak) = (Arc::clone(&self.shared.clock), Arc::downgrade(&dispatcher));
                smol::spawn(probe(clock, weak)).detach();
                dispatcher
            });
        }
    }

    /// The token under which this host may send to an upstream.
    fn token(&self, view: &View, upstream: &UpstreamName) -> Option<Token> {
        let assigned = view.dispatchers.get(upstream)?;
        assigned
            .token(self.shared.host.id)
            .filter(|t| t.rank.0 == 0)
    }

    async fn dispatch(&self, head: ForwardHead, body: Body) -> Answer {
        let until = self.shared.clock.now().after(head.budget);
        self.shared.learn(head.revision);
        let wait = until.min(self.shared.clock.now().after(CATCH_UP));
        if !self.shared.wait_until(wait, Shared::is_current).await {
            return self.failed(
                Outcome::NotRun,
                "the dispatcher's configuration is out of date",
            );
        }
        let view = self.shared.view();
        let Some((service, _)) = view.upstream(&head.upstream) else {
            return self.failed(Outcome::NotRun, "the upstream is not declared");
        };
        match owner(&view, service, head.key) {
            None => return self.failed(Outcome::NotRun, "the key has no owner"),
            Some(owner) if *owner != head.upstream => {
                let upstream = owner.clone();
                let moved = AnswerHead::Moved {
                    upstream,
                    revision: view.revision,
                };
                return (moved, trefoil_wire::body::empty());
            }
            Some(_) => {}
        }
        let dispatcher = self.lock().get(&head.upstream).cloned();
        let token = self.token(&view, &head.upstream);
        match (dispatcher, token) {
            (Some(dispatcher), Some(token)) => {
                let (shared, idempotent) = (Arc::clone(&self.shared), head.idempotent);
                let send = async move { dispatcher.send(&shared, head, body, token, until).await };
                if idempotent {
                    return send.await;
                }
                // The caller may go away, but a request that was begun must run to its end so
                // that its outcome is known.
                let (answered, answer) = async_channel::bounded(1);
                smol::spawn(async move {
                    // The receiver is gone if the caller is.
                    let _ = answered.send(send.await).await;
                })
                .detach();
                match answer.recv().await {
                    Ok(answer) => answer,
                    Err(_) => self.failed(Outcome::Unknown, "the request was given up"),
                }
            }
            _ => self.failed(
                Outcome::NotRun,
                "this host is not the upstream's dispatcher",
            ),
        }
    }

    fn failed(&self, outcome: Outcome, reason: &str) -> Answer {
        failed(&self.shared, outcome, reason)
    }
}

fn failed(shared: &Shared, outcome: Outcome, reason: &str) -> Answer {
    let revision = shared.view().revision;
    (
        AnswerHead::Failed {
            outcome,
            reason: reason.to_owned(),
            revision,
        },
        trefoil_wire::body::empty(),
    )
}

/// The upstream that owns a key.
pub fn owner<'a>(view: &'a View, service: &Service, key: KeyHash) -> Option<&'a UpstreamName> {
    let table = view.tables.get(&service.name)?;
    let seat = table.seat(table.shard(key))?;
    table.name(seat.owner)
}

impl Handler for Dispatchers {
    fn forward(self: Arc<Self>, _from: PeerId, head: ForwardHead, body: Body) -> Boxed<Answer> {
        async move { self.dispatch(head, body).await }.boxed()
    }

    fn call(self: Arc<Self>, _from: PeerId, message: Bytes) -> Boxed<Bytes> {
        let reply = match trefoil_wire::decode::<Message>(&message) {
            Ok(Message::Revision { sender }) => {
                self.shared.learn(sender);
                Reply::Revision {
                    revision: self.shared.view().revision,
                }
            }
            Err(e) => Reply::Refused {
                reason: e.to_string(),
            },
        };
        // A reply is far below the frame limit; an empty answer does not decode at the peer.
        let data = trefoil_wire::encode(&reply).unwrap_or_default();
        async move { data }.boxed()
    }
}

impl Dispatcher {
    fn new(service: &Service, upstream: &Upstream) -> Self {
        let slots = usize::try_from(service.limits.slots).unwrap_or(1);
        Self {
            name: upstream.name.clone(),
            upstream: upstream.clone(),
            pool: Pool::new(upstream.address, slots),
            slots: Arc::new(Semaphore::new(slots)),
            queued: AtomicU32::new(0),
            queue: service.limits.queue,
            probes: AtomicI32::new(0),
        }
    }

    async fn slot(&self, shared: &Shared, until: Tick) -> Option<SemaphoreGuardArc> {
        if let Some(slot) = self.slots.try_acquire_arc() {
            return Some(slot);
        }
        if self.queued.fetch_add(1, Ordering::SeqCst) >= self.queue {
            self.queued.fetch_sub(1, Ordering::SeqCst);
            return None;
        }
        let late = async {
            shared.clock.sleep_until(until).await;
            None
        };
        let slot = async { Some(self.slots.acquire_arc().await) }
            .or(late)
            .await;
        self.queued.fetch_sub(1, Ordering::SeqCst);
        slot
    }

    async fn send(
        &self,
        shared: &Shared,
        head: ForwardHead,
        body: Body,
        token: Token,
        until: Tick,
    ) -> Answer {
        let Some(slot) = self.slot(shared, until).await else {
            return failed(
                shared,
                Outcome::NotRun,
                "the upstream has no free slot in time",
            );
        };
        let Some(request) = self.request(shared, &head, body, token, until) else {
            return failed(shared, Outcome::NotRun, "the request cannot be forwarded");
        };
        let connection = match self.pool.take().await {
            Ok(connection) => connection,
            Err(e) => {
                warn!(shared.logger, "upstream not reached"; "upstream" => %self.name, "error" => %e);
                return failed(shared, Outcome::NotRun, "the upstream cannot be reached");
            }
        };
        self.exchange(shared, connection, request, slot, until)
            .await
    }

    async fn exchange(
        &self,
        shared: &Shared,
        mut connection: Connection,
        request: Request<trefoil_http::Body>,
        slot: SemaphoreGuardArc,
        until: Tick,
    ) -> Answer {
        shared
            .metrics
            .sent
            .get_or_create(&crate::metrics::Metrics::upstream(self.name.as_str()))
            .inc();
        let late = async {
            shared.clock.sleep_until(until).await;
            None
        };
        let sent = async { Some(connection.send(request).await) }
            .or(late)
            .await;
        let response = match sent {
            Some(Ok(response)) => response,
            Some(Err(ConnectionError::NotWritten | ConnectionError::Connect { .. })) => {
                return failed(
                    shared,
                    Outcome::NotRun,
                    "the upstream closed the connection",
                );
            }
            Some(Err(e @ ConnectionError::Broken { .. })) => {
                warn!(shared.logger, "upstream broke off"; "upstream" => %self.name, "error" => %e);
                return failed(shared, Outcome::Unknown, "the upstream broke off");
            }
            None => {
                return failed(
                    shared,
                    Outcome::Unknown,
                    "the upstream did not answer in time",
                );
            }
        };
        let (parts, incoming) = response.into_parts();
        if is_refusal(parts.status, &parts.headers) {
            return failed(shared, Outcome::NotRun, "the upstream refused the request");
        }
        let answer = AnswerHead::Answer {
            status: parts.status.as_u16(),
            headers: request::forwarded(&parts.headers),
            outcome: Outcome::Done,
            revision: shared.view().revision,
        };
        let lease = Lease {
            pool: self.pool.clone(),
            connection: Some(connection),
            _slot: slot,
        };
        (
            answer,
            AnswerBody {
                incoming,
                lease: Some(lease),
            }
            .boxed(),
        )
    }

    fn request(
        &self,
        shared: &Shared,
        head: &ForwardHead,
        body: Body,
        token: Token,
        until: Tick,
    ) -> Option<Request<trefoil_http::Body>> {
        let mut headers = HeaderMap::with_capacity(head.headers.len() + 4);
        for (name, value) in &head.headers {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_bytes(value).ok()?);
        }
        headers.insert(HOST, host_value(self.upstream.address));
        headers.insert(
            "fence-token",
            HeaderValue::from_str(&token.to_string()).ok()?,
        );
        let left = until.since(shared.clock.now()).as_millis();
        let deadline = u128::from(shared.clock.unix().0) + left;
        headers.insert(
            "trefoil-deadline",
            HeaderValue::from_str(&deadline.to_string()).ok()?,
        );
        let body = body
            .map_err(|e| Box::new(e) as trefoil_http::BodyError)
            .boxed();
        let mut request = Request::new(body);
        *request.method_mut() = Method::from_bytes(head.method.as_bytes()).ok()?;
        *request.uri_mut() = head.path.parse().ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }
}

/// What an exchange holds until its answer was read to the end.
struct Lease {
    pool: Pool,
    connection: Option<Connection>,
    _slot: SemaphoreGuardArc,
}

/// The body of an upstream's answer. If it is dropped before its end, the connection is closed.
struct AnswerBody {
    incoming: Incoming,
    lease: Option<Lease>,
}

impl AnswerBody {
    fn finish(&mut self) {
        if let Some(mut lease) = self.lease.take()
            && let Some(connection) = lease.connection.take()
        {
            lease.pool.give_back(connection);
        }
    }
}

impl http_body::Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = std::task::ready!(std::pin::Pin::new(&mut self.incoming).poll_frame(cx));
        let frame = frame.map(|f| {
            f.map_err(|e| BodyError::Source {
                reason: e.to_string(),
            })
        });
        match &frame {
            None => self.finish(),
            Some(Ok(_)) if self.incoming.is_end_stream() => self.finish(),
            Some(Ok(_)) => {}
            Some(Err(_)) => self.lease = None,
        }
        std::task::Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Probes an upstream for as long as its dispatcher exists.
async fn probe(clock: Arc<dyn Clock>, dispatcher: std::sync::Weak<Dispatcher>) {
    loop {
        let Some(strong) = dispatcher.upgrade() else {
            return;
        };
        let address = strong.upstream.address;
        drop(strong);
        let started = clock.now();
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = http::Uri::from_static("/-/health");
        let answer = trefoil_http::call(address, request, 4096, PROBE_EVERY).await;
        let Some(strong) = dispatcher.upgrade() else {
            return;
        };
        // Any answer shows that the process runs; what the endpoint claims is only a hint.
        let probes = strong.probes.load(Ordering::SeqCst);
        let next = if answer.is_ok() {
            probes.max(0).saturating_add(1)
        } else {
            probes.min(0).saturating_sub(1)
        };
        strong.probes.store(next, Ordering::SeqCst);
        if next == -PROBES_FAILED {
            strong.pool.close();
        }
        drop(strong);
        clock.sleep_until(started.after(PROBE_EVERY)).await;
    }
}
