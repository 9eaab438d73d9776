//! A single attempt at an upstream.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use http::StatusCode;
use http::header::{CONTENT_ENCODING, HeaderValue};
use trefoil_balance::{Outcome, RetryBudget};
use trefoil_core::{ServiceName, Tick};
use trefoil_directory::{Registration, Upstream, UpstreamId};
use trefoil_http::h1::{BodyReader, EncodedMessage, ExchangeError, Response, Sent, encode_request};
use trefoil_reactor::is_local_failure;
use trefoil_route::Priority;

use super::download::{self, Download};
use super::{Attempt, Job, Progress, failed, max_idle};
use crate::host::Host;
use crate::limits::Source;
use crate::pool::{self, CallId, Traffic, UpstreamLink};
use crate::warmup;

/// Counts one request as load of an upstream until it is dropped.
#[derive(Debug)]
pub(super) struct LoadGuard {
    host: Rc<Host>,
    service: ServiceName,
    priority: Priority,
    keyed: bool,
    id: UpstreamId,
    open: u32,
    started: Tick,
    pub(super) outcome: Outcome,
    /// Time for which the upstream could not send because the caller did not read.
    pub(super) blocked: Duration,
}

impl LoadGuard {
    fn new(host: &Rc<Host>, job: &Job, id: UpstreamId, now: Tick) -> Self {
        Self {
            host: Rc::clone(host),
            service: job.service.clone(),
            priority: job.route.priority,
            keyed: job.key.is_some(),
            id,
            open: host.balancer.borrow_mut().begin(now, id),
            started: now,
            outcome: Outcome::Abandoned,
            blocked: Duration::ZERO,
        }
    }

    pub(super) fn id(&self) -> UpstreamId {
        self.id
    }

    /// When the attempt began.
    pub(super) fn started(&self) -> Tick {
        self.started
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let now = self.host.now();
        let took = now.since(self.started).saturating_sub(self.blocked);
        let host = &self.host;
        let mut balancer = host.balancer.borrow_mut();
        let mut open = self.open;
        if !self.keyed && host.waiting.competes(host, &self.service) {
            open = balancer.open_beside(now, self.id);
            if self.outcome == Outcome::Answered {
                balancer.observe_work(now, self.id, self.priority, open, took);
            }
        }
        balancer.end(now, self.id, self.outcome, open, took);
        drop(balancer);
        host.events.capacity.notify(usize::MAX);
        host.waiting.wake_for(now, &self.service);
    }
}

/// Sends a request to an upstream once.
pub(super) async fn attempt(
    host: &Rc<Host>,
    job: &Job,
    upstream: &Upstream,
    progress: &mut Progress,
) -> Attempt {
    let now = host.now();
    let Upstream {
        id,
        registration: target,
    } = upstream;
    let mut guard = LoadGuard::new(host, job, *id, now);
    let mut link = match open_link(host, job, *id, target.address).await {
        Ok(link) => link,
        Err(error) => {
            if !is_local_failure(&error) {
                guard.outcome = Outcome::Failed;
            }
            return Attempt::Unsent(format!("cannot connect to {}: {error}", target.address));
        }
    };
    // The upstream may have begun to leave while the connection was opened.
    if !host.accepts_requests(upstream) {
        return Attempt::Unsent("the upstream leaves".to_owned());
    }
    let now = host.now();
    if let Err(reason) = warmup::check_permit(host, now, upstream, progress.permit.take()) {
        return Attempt::Unsent(reason);
    }
    if now >= job.deadline || job.caller_gone.get() {
        return Attempt::Unsent("the deadline passed before the request was sent".to_owned());
    }
    if progress.arrivals == 0 {
        host.metrics
            .record_queued(&job.service, now.since(job.arrived));
        count_request(host, &job.service, now);
    }
    let request = encode_attempt(host, job, target, now);
    let header_names = host.platform.header_names();
    let call_id = CallId {
        name: &header_names.request_id,
        value: job.id.as_ref(),
    };
    let timeout = async {
        host.clock.sleep_until(job.deadline).await;
        None
    };
    let method = &job.request.head.method;
    let limit = &host.memory.answer_limit;
    let exchange = async {
        if download::is_streamed(job) {
            let begun = link.exchange_streamed(method, request, call_id, limit);
            return Some(match begun.await {
                Ok((reply, Some(rest))) if is_failed(host, &reply) => {
                    let collected = failed::collect(host, &mut link, reply, rest).await;
                    collected.map_err(ExchangeError::after_sending)
                }
                begun => begun,
            });
        }
        let whole = link.exchange(method, request, call_id, limit).await;
        Some(whole.map(|reply| (reply, None)))
    };
    host.limits.borrow_mut().record_sent(now, *id);
    progress.arrivals += 1;
    if !progress.sent.contains(id) {
        progress.sent.push(*id);
    }
    let result = exchange.or(timeout).await;
    if let Some(Ok((reply, _))) = &result {
        let source = Source {
            upstream: &target.incarnation,
            sent: now,
            carried_out: !is_refusal(host, reply),
        };
        host.record_notice(source, &reply.head);
    }
    let attempt = classify_result(host, job, target, link, result, guard, progress);
    if let Attempt::Refused(reply) = &attempt {
        let responder = reply.head.headers.get(&header_names.responder);
        let name = target.incarnation.name.as_str().as_bytes();
        if responder.is_some_and(|other| other.as_bytes() != name) {
            host.displace(upstream);
        }
    }
    attempt
}

fn classify_result(
    host: &Rc<Host>,
    job: &Job,
    target: &Registration,
    mut link: UpstreamLink,
    result: Option<Result<(Response, Option<BodyReader>), ExchangeError>>,
    mut guard: LoadGuard,
    progress: &mut Progress,
) -> Attempt {
    let header_names = host.platform.header_names();
    match result {
        None => {
            if failed::had_time(job, guard.started) {
                guard.outcome = Outcome::Failed;
            }
            Attempt::TimedOut
        }
        Some(Err(error)) => {
            if !error.lacks_memory {
                guard.outcome = Outcome::Failed;
            }
            if error.sent == Sent::Nothing {
                progress.arrivals -= 1;
                return Attempt::Unsent(error.reason);
            }
            Attempt::Unknown(error.reason)
        }
        Some(Ok((reply, rest))) => {
            let now = host.now();
            let refused = is_refusal(host, &reply);
            let sealed = reply.head.headers.contains_key(&header_names.seal);
            let encoded = reply.head.headers.contains_key(CONTENT_ENCODING);
            if reply.head.status.is_success() && (!sealed || encoded) {
                guard.outcome = Outcome::Failed;
                return Attempt::Unknown("the answer has no seal or is encoded".to_owned());
            }
            if refused {
                link.record_refusal(job.id.as_ref());
            }
            let outcome = failed::outcome(job, reply.head.status, guard.started);
            if let Some(rest) = rest.filter(|_| !refused) {
                if outcome != Outcome::Answered {
                    // It counts even if the caller goes before the end.
                    guard.outcome = outcome;
                }
                let memory = std::mem::take(&mut progress.stream_memory);
                let source = download::Source {
                    target,
                    link,
                    rest,
                    load: guard,
                    outcome,
                    memory,
                };
                let download = Download::new(host, job, reply.body, source);
                return Attempt::Streamed(reply.head, Box::new(download));
            }
            let from = (target.address, Traffic::Requests);
            host.keep_link(now, guard.id, from, link);
            if refused {
                guard.outcome = Outcome::Refused;
                return Attempt::Refused(reply);
            }
            guard.outcome = outcome;
            if failed::is_failure(reply.head.status) {
                Attempt::Failed(reply)
            } else {
                Attempt::Answered(reply)
            }
        }
    }
}

/// Returns `true` if an answer states that the request ran and has failed.
fn is_failed(host: &Host, reply: &Response) -> bool {
    failed::is_failure(reply.head.status) && !is_refusal(host, reply)
}

/// Returns `true` if an answer states that the request did not run.
fn is_refusal(host: &Host, reply: &Response) -> bool {
    let marked = &host.platform.header_names().refused;
    reply.head.headers.contains_key(marked) || reply.head.status == StatusCode::MISDIRECTED_REQUEST
}

/// Takes or opens a connection on which no earlier answer can be taken for that to the request.
async fn open_link(
    host: &Host,
    job: &Job,
    id: UpstreamId,
    address: SocketAddr,
) -> io::Result<UpstreamLink> {
    let idle = max_idle(job.route.idempotency);
    let started = host.now();
    let to = (address, Traffic::Requests);
    let pooled = host
        .pool
        .borrow_mut()
        .take(started, to, idle, job.id.as_ref());
    if let Some(load) = host.balancer.borrow_mut().load_mut(id) {
        load.take_idle();
    }
    host.metrics.links.record_taken(pooled.is_some());
    if let Some(link) = pooled {
        return Ok(link);
    }
    let opened = pool::connect(&*host.clock, address).await;
    host.metrics
        .record_hop("connect", host.now().since(started));
    opened
}

fn count_request(host: &Host, service: &ServiceName, now: Tick) {
    let bounds = host.bounds.get();
    let mut budgets = host.budgets.borrow_mut();
    if !budgets.contains_key(service) {
        let budget = RetryBudget::new(bounds.retry_ratio, bounds.retry_fixed, bounds.retry_window);
        budgets.insert(service.clone(), budget);
    }
    if let Some(budget) = budgets.get_mut(service) {
        budget.record_request(now);
    }
}

fn encode_attempt(host: &Host, job: &Job, target: &Registration, now: Tick) -> EncodedMessage {
    let header_names = host.platform.header_names();
    let mut headers = job.request.head.headers.clone();
    let left = u64::try_from(job.deadline.since(now).as_millis()).unwrap_or(u64::MAX);
    headers.insert(header_names.deadline.clone(), HeaderValue::from(left));
    if let Ok(name) = HeaderValue::from_str(target.incarnation.name.as_str()) {
        headers.insert(header_names.recipient.clone(), name);
    }
    let head = &job.request.head;
    encode_request(&head.method, &head.target, &headers, &job.request.body)
}
