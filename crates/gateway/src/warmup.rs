//! Permits for requests to upstreams that warm up.
//!
//! With [`Bounds::warmup`](crate::Bounds::warmup), a request to a cold upstream of a service that
//! limits its warm-ups needs a permit. The host sends a permit request to the first relay of its own
//! failure domain, which issues permits for the upstreams of that domain and forwards permit
//! requests for others to the first relay there, see [`trefoil_balance::Issuer`]. A permit holds for
//! one request, and whatever gets lost or late means that there is none. A host that hears no relay
//! sends nothing to cold upstreams.
//!
//! The permit is checked again when the connection is open, together with the coldness of the
//! upstream: a request that was on its way to a warm upstream needs a permit once this host has
//! learned that the upstream has become cold.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Sender;
use futures_lite::FutureExt;
use slog::{debug, info};
use trefoil_balance::{Asks, Denial, Issuer, Permit, PermitLimit, PermitRefusal, Quorum};
use trefoil_core::{DomainName, HostId, ServiceName, Tick, UpstreamName};
use trefoil_directory::{Change, Registration, Upstream, UpstreamId};

use crate::changes::REPEAT;
use crate::freshness::Source;
use crate::host::Host;
use crate::message::{Message, PermitAnswer, PermitAsk};
use crate::peers::{LIVENESS_TIMEOUT, whole_millis};

/// Wait for a relay of the own failure domain. It answers at once, so a later answer is lost.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// Wait for a relay of another failure domain, which takes two hops more.
const REMOTE_ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// Time after a host has read the identities of the others from which it issues permits. In that
/// time the permits of its former run and of the relay before it expire, and it hears the others.
const ISSUE_DELAY: Duration = LIVENESS_TIMEOUT;

/// Permit requests for one request of a caller before it waits for a change. While a whole failure
/// domain is cold, there could otherwise be one for every upstream of its service.
pub(crate) const ASKS_MAX: u32 = 2;

/// Age up to which a view of the relays is used again. Computing it takes a look at every known host,
/// and a relay may receive thousands of permit requests a second.
const VIEW_AGE_MAX: Duration = Duration::from_millis(25);

/// Most renewals in one datagram, with the longest names.
const RENEWALS_MAX: usize = 4;

/// Answer to a permit request of this host.
type PermitResult = Result<Permit<UpstreamId>, PermitRefusal>;

/// Permits that this host requests and issues.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    asks: RefCell<Asks<UpstreamId, DomainName>>,
    waiting: RefCell<HashMap<u64, Sender<PermitResult>>>,
    issuer: RefCell<Issuer<UpstreamName, (HostId, u64)>>,
    /// Upstreams that have become cold again lately, according to the registry.
    cold_again: RefCell<BTreeMap<UpstreamName, (Tick, Registration)>>,
    /// Views of the relays of each failure domain.
    views: RefCell<BTreeMap<DomainName, View>>,
}

/// The first relay of a failure domain.
#[derive(Debug, Clone, Copy)]
struct View {
    at: Tick,
    /// This host is the first relay.
    is_own: bool,
    /// Its address, unless it is this host or unknown.
    relay: Option<SocketAddr>,
    /// Hosts of this host's own domain.
    quorum: Quorum,
}

/// A permit request that ends with the request of the caller.
struct OpenRequest<'a> {
    host: &'a Host,
    number: u64,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        let permits = &self.host.permits;
        permits.asks.borrow_mut().abandon(self.number);
        permits.waiting.borrow_mut().remove(&self.number);
    }
}

impl Host {
    /// The limit of the cold upstreams of a service, if there is one.
    pub(crate) fn warmup_limit(&self, service: &ServiceName) -> Option<PermitLimit> {
        let bound = self.bounds.get().warmup?;
        let limit = self.router()?.service(service)?.warmup?;
        let limit = PermitLimit::new(limit.rate, bound.overage, bound.slack);
        limit.is_usable().then_some(limit)
    }

    /// Logs the limits of the configuration and the settings with which no permit could be issued.
    /// They are off.
    pub(crate) fn log_unusable_limits(&self) {
        let Some((bound, router)) = self.bounds.get().warmup.zip(self.router()) else {
            return;
        };
        for (name, service) in router.services() {
            let limit = service.warmup.map(|warmup| warmup.rate);
            let limit = limit.map(|rate| PermitLimit::new(rate, bound.overage, bound.slack));
            if let Some(limit) = limit.filter(|limit| !limit.is_usable()) {
                let bound = limit.bound;
                let reason = format!("service {name}: {bound} requests in a second, less than 2");
                self.log_rejected("warm-up limit", &reason);
            }
        }
    }

    /// Returns whether a request to an upstream needs a permit now.
    pub(crate) fn needs_permit(&self, now: Tick, upstream: &Upstream) -> bool {
        let balancer = self.balancer.borrow();
        let needs_one = balancer
            .load(upstream.id)
            .is_some_and(|l| l.needs_permit(now));
        needs_one && self.warmup_limit(&upstream.registration.service).is_some()
    }

    /// The first relay of a failure domain, as of a moment ago.
    fn relay_view(&self, now: Tick, domain: &DomainName) -> View {
        let mut views = self.permits.views.borrow_mut();
        let known = views.get(domain).copied();
        if let Some(known) = known.filter(|view| now.since(view.at) < VIEW_AGE_MAX) {
            return known;
        }
        let peers = self.peers.borrow();
        let view = View {
            at: now,
            is_own: *domain == self.config.domain && peers.position(now) == 0,
            relay: peers.first_relay(now, domain),
            quorum: peers.quorum(now),
        };
        views.retain(|_, known| now.since(known.at) < VIEW_AGE_MAX);
        views.insert(domain.clone(), view);
        view
    }

    /// Checks that this host may send a permit request.
    ///
    /// # Errors
    ///
    /// Fails with the time after which it may.
    pub(crate) fn may_ask(
        &self,
        now: Tick,
        id: UpstreamId,
        domain: &DomainName,
    ) -> Result<(), Duration> {
        self.permits.asks.borrow().check(now, &id, domain)
    }

    /// Number of cold upstreams of services with limits.
    pub(crate) fn cold_upstreams(&self, now: Tick) -> usize {
        let directory = self.directory.borrow();
        let balancer = self.balancer.borrow();
        let cold = balancer.loads().filter(|(_, load)| load.needs_permit(now));
        let upstreams = cold.filter_map(|(id, _)| directory.by_id(id));
        upstreams
            .filter(|u| self.warmup_limit(&u.registration.service).is_some())
            .count()
    }

    /// Takes the renewals out of changes of the directory, except those of upstreams that have
    /// become cold again. Other hosts must learn of these alone: a renewal with each heartbeat would
    /// be as many changes as there are cold upstreams, about once a second.
    pub(crate) fn without_renewals(&self, changes: Vec<Change>, source: Source) -> Vec<Change> {
        let now = self.now();
        let limited = self.bounds.get().warmup.is_some();
        let is_news = |change: &Change| {
            let Change::Renewed(Upstream { id, registration }) = change else {
                return true;
            };
            let left = registration.warmup;
            let cold_again = limited && self.balancer.borrow_mut().renew_warmup(now, *id, left);
            if cold_again {
                info!(self.log, "upstream cold again"; "service" => %registration.service,
                    "upstream" => %registration.incarnation.name,
                    "sequence" => registration.sequence, "warmup_ms" => whole_millis(left));
                if source == Source::Registry {
                    let name = registration.incarnation.name.clone();
                    let told = (now, registration.as_ref().clone());
                    let mut cold_again = self.permits.cold_again.borrow_mut();
                    // Hosts that are no relays notify no others.
                    cold_again.retain(|_, (at, _)| now.since(*at) <= REPEAT);
                    cold_again.insert(name, told);
                }
            }
            cold_again
        };
        changes.into_iter().filter(is_news).collect()
    }
}

/// Notifies the relays of the other failure domains which upstreams have become cold again. The
/// digest of the directory does not show that, and a relay that has an equal one may not read the
/// registry.
pub(crate) fn notify_cold_upstreams(host: &Host, now: Tick, relays: &[SocketAddr]) {
    let mut cold_again = host.permits.cold_again.borrow_mut();
    cold_again.retain(|_, (at, _)| now.since(*at) <= REPEAT);
    let told: Vec<Registration> = cold_again.values().map(|(_, r)| r.clone()).collect();
    for some in told.chunks(RENEWALS_MAX) {
        let message = Message::Renewals(some.to_vec());
        let to = relays.iter().copied();
        host.peers.borrow_mut().queue(to, &message);
    }
}

/// Applies renewals of upstreams that have become cold again.
pub(crate) fn on_renewals(host: &Host, renewals: Vec<Registration>) {
    let mut directory = host.directory.borrow_mut();
    let changes = renewals.into_iter();
    let changes = changes
        .filter_map(|r| directory.renew_reported(r))
        .collect();
    drop(directory);
    host.apply_changes(changes, Source::Digest);
}

/// Gets a permit for a request to an upstream if it needs one.
///
/// # Errors
///
/// Fails if there is no permit now. The host then sends no permit request for some milliseconds.
pub(crate) async fn obtain(
    host: &Host,
    upstream: &Upstream,
) -> Result<Option<Permit<UpstreamId>>, PermitRefusal> {
    let now = host.now();
    if !host.needs_permit(now, upstream) {
        return Ok(None);
    }
    let Upstream { id, registration } = upstream;
    if let Err(retry) = host.may_ask(now, *id, &registration.domain) {
        let reason = Denial::AskedLately;
        return Err(PermitRefusal { reason, retry });
    }
    let domain = registration.domain.clone();
    let number = host.permits.asks.borrow_mut().begin(now, *id, domain);
    let _open = OpenRequest { host, number };
    let (sender, receiver) = async_channel::bounded(1);
    host.permits.waiting.borrow_mut().insert(number, sender);
    let local = registration.domain == host.config.domain;
    host.metrics
        .permits
        .record("asked", if local { "own domain" } else { "other domain" });
    request_permit(host, now, number, registration);
    let answered = async { receiver.recv().await.ok() };
    let timeout = if local {
        ANSWER_TIMEOUT
    } else {
        REMOTE_ANSWER_TIMEOUT
    };
    let timer = async {
        host.clock.sleep(timeout).await;
        None
    };
    let result = answered.or(timer).await.unwrap_or_else(|| {
        host.permits.asks.borrow_mut().time_out(host.now(), number);
        host.metrics.permits.record("expired", "no answer");
        let (reason, retry) = (Denial::NoAnswer, Duration::ZERO);
        Err(PermitRefusal { reason, retry })
    });
    if let Err(refusal) = &result {
        info!(host.log, "no permit"; "service" => %registration.service,
            "upstream" => %registration.incarnation.name, "reason" => %refusal.reason,
            "retry_ms" => whole_millis(refusal.retry),
            "asked_ms" => whole_millis(host.now().since(now)));
    }
    result.map(Some)
}

/// Sends a permit request to the first relay of this failure domain, which may be this host.
fn request_permit(host: &Host, now: Tick, number: u64, registration: &Registration) {
    let request = PermitAsk {
        from: host.id,
        number,
        upstream: registration.incarnation.clone(),
        domain: registration.domain.clone(),
        address: host.config.peer,
        forwarded_by: None,
    };
    let view = host.relay_view(now, &host.config.domain);
    if view.is_own {
        on_permit_request(host, request);
    } else {
        send(host, view.relay, &Message::PermitAsk(request));
    }
}

fn send(host: &Host, to: Option<SocketAddr>, message: &Message) {
    host.peers.borrow_mut().queue(to, message);
    host.events.outbox.notify(usize::MAX);
}

/// Returns whether the sender of a permit request is known: the host that needs the permit, or the
/// relay that has forwarded the request.
fn is_sender_known(host: &Host, ask: &PermitAsk) -> bool {
    let peers = host.peers.borrow();
    let sender = ask.forwarded_by.unwrap_or(ask.from);
    sender == host.id || peers.address(sender).is_some()
}

/// Answers a permit request, or forwards it to the failure domain of the upstream.
pub(crate) fn on_permit_request(host: &Host, ask: PermitAsk) {
    if !is_sender_known(host, &ask) {
        return;
    }
    let now = host.now();
    if ask.domain != host.config.domain {
        if ask.forwarded_by.is_none() {
            let relay = host.relay_view(now, &ask.domain).relay;
            let forwarded = PermitAsk {
                forwarded_by: Some(host.id),
                ..ask
            };
            send(host, relay, &Message::PermitAsk(forwarded));
        }
        return;
    }
    let result = issue(host, now, &ask);
    match &result {
        Ok(()) => host.metrics.permits.record("issued", ""),
        Err(refusal) => host
            .metrics
            .permits
            .record("refused", &refusal.reason.to_string()),
    }
    debug!(host.log, "permit decided"; "upstream" => %ask.upstream.name, "host" => %ask.from,
        "number" => ask.number,
        "result" => result.err().map_or_else(|| "issued".to_owned(), |r| r.reason.to_string()));
    let answer = PermitAnswer {
        to: ask.from,
        number: ask.number,
        refusal: result.err().map(|r| (r.reason, whole_millis(r.retry))),
    };
    if ask.from == host.id {
        on_answer(host, answer);
        return;
    }
    send(host, Some(ask.address), &Message::PermitAnswer(answer));
}

/// Issues a permit if this host is the first relay of its failure domain.
fn issue(host: &Host, now: Tick, ask: &PermitAsk) -> Result<(), PermitRefusal> {
    let refusal = |reason| PermitRefusal {
        reason,
        retry: ANSWER_TIMEOUT,
    };
    let view = host.relay_view(now, &host.config.domain);
    if !view.is_own {
        return Err(refusal(Denial::NotFirst));
    }
    let discovered = host.discovered.get();
    if discovered.is_none_or(|at| now.since(at) < ISSUE_DELAY) {
        return Err(refusal(Denial::JustStarted));
    }
    let directory = host.directory.borrow();
    let listed = directory.upstream(&ask.upstream.name).filter(|u| {
        let r = &u.registration;
        r.incarnation == ask.upstream && r.domain == host.config.domain
    });
    let limit = listed.and_then(|u| host.warmup_limit(&u.registration.service));
    let limit = limit.ok_or_else(|| refusal(Denial::NotListed))?;
    let mut issuer = host.permits.issuer.borrow_mut();
    let name = ask.upstream.name.clone();
    issuer.issue(now, name, (ask.from, ask.number), limit, view.quorum)
}

/// Passes an answer to the request that waits for it.
pub(crate) fn on_answer(host: &Host, answer: PermitAnswer) {
    if answer.to != host.id {
        return;
    }
    let result = answer.refusal.map_or(Ok(()), |(reason, ms)| {
        // The next permit requests of hosts that were refused together come at different times.
        let retry = Duration::from_millis(ms.into()).mul_f64(1.0 + 0.5 * rand::random::<f64>());
        Err(PermitRefusal { reason, retry })
    });
    let mut asks = host.permits.asks.borrow_mut();
    let Some(result) = asks.answer(host.now(), answer.number, result) else {
        host.metrics
            .permits
            .record("expired", "answered late or twice");
        return;
    };
    drop(asks);
    let waiting = host.permits.waiting.borrow_mut().remove(&answer.number);
    if let Some(waiting) = waiting {
        // The request may have ended.
        let _ = waiting.try_send(result);
    }
}

/// Checks, immediately before a request is sent, that it needs no permit or has a valid one.
///
/// # Errors
///
/// Fails with the reason for which the request must not be sent.
pub(crate) fn check_permit(
    host: &Host,
    now: Tick,
    upstream: &Upstream,
    permit: Option<Permit<UpstreamId>>,
) -> Result<(), String> {
    if !host.needs_permit(now, upstream) {
        return Ok(());
    }
    let reason = match permit {
        Some(permit) if permit.covers(now, &upstream.id) => return Ok(()),
        Some(_) => {
            host.metrics.permits.record("expired", "not used in time");
            "the permit has expired"
        }
        None => {
            host.metrics
                .permits
                .record("expired", "cold since the selection");
            "the upstream has become cold"
        }
    };
    Err(reason.to_owned())
}
