//! Sending a request to upstreams until one has answered it.
//!
//! A request is sent again only if that cannot run it twice: its route says that it may run more
//! than once, or there is proof that the attempt did not run. The caller is told "not run" (503)
//! only with that proof for every attempt. Everything else that brings no answer is 502 or 504,
//! which promise nothing.

mod attempt;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use http::StatusCode;
use http::header::{CONTENT_LENGTH, HeaderValue, RETRY_AFTER};
use smallvec::SmallVec;
use trefoil_balance::{Choice, Requirement};
use trefoil_core::{Key, ServiceName, Tick};
use trefoil_directory::{Phase, Registration, Tag};
use trefoil_http::h1::{Answer, Request, Response};
use trefoil_route::{Idempotency, Route};

use crate::cause::Cause;
use crate::host::Host;
use crate::request_log;

/// Largest answer that is passed on.
pub(crate) const ANSWER_MAX: usize = 16 * 1024 * 1024;

/// Idle time of a connection up to which it carries requests that must not run twice. A request
/// that meets the close of its connection can have run, so these use only connections that were
/// busy a moment ago.
pub(crate) const FRESH_IDLE_MAX: Duration = Duration::from_millis(1500);

/// Longest wait for a key to get an owner, as a share of the time that is left.
const WAIT_DIVISOR: u32 = 3;

/// Wait after an upstream has refused a key that it should own: the routes are about to change.
const ROUTES_WAIT: Duration = Duration::from_millis(40);

/// When a caller is told to come back at the earliest.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// When a caller is told to come back at the latest.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(1);

/// Attempts of one request that may have run, after which it is not sent again. If an upstream loses
/// three answers of five, a request still gets one with a likelihood of 0.87; more attempts would
/// take the shared budget of repeats from other requests.
const UNCERTAIN_MAX: u32 = 4;

/// A request on its way.
#[derive(Debug)]
pub struct Job {
    /// Its route.
    pub route: Rc<Route>,
    /// The service that it goes to.
    pub service: ServiceName,
    /// Its key, if the service is divided by keys.
    pub key: Option<Key>,
    /// What the caller sent.
    pub request: Request,
    /// The caller's identifier.
    pub id: Option<HeaderValue>,
    /// When it had arrived.
    pub arrived: Tick,
    /// When the caller is told that there is no answer.
    pub deadline: Tick,
    /// Set when the caller has gone.
    pub caller_gone: Rc<Cell<bool>>,
}

/// What became of one attempt.
#[derive(Debug)]
enum Attempt {
    /// The upstream ran the request and answered.
    Answered(Response),
    /// The upstream says that it did not run the request.
    Refused(Response),
    /// The request did not reach the upstream.
    Unsent(String),
    /// The request may have run.
    Unknown(String),
    /// The deadline has passed without an answer.
    TimedOut,
}

impl Attempt {
    /// Its name in metrics, and the reason why it brought no answer, empty if it did.
    fn describe(&self) -> (&'static str, String) {
        match self {
            Self::Answered(_) => ("answered", String::new()),
            Self::Refused(reply) => ("refused", format!("refused with {}", reply.head.status)),
            Self::Unsent(reason) => ("unsent", reason.clone()),
            Self::Unknown(reason) => ("unknown", reason.clone()),
            Self::TimedOut => ("late", "no answer in time".to_owned()),
        }
    }
}

/// Where a request goes next.
enum Target {
    Send(Rc<Registration>),
    /// Something may change until then.
    Wait(Duration, Cause),
    Refuse(Duration, Cause),
}

/// How a request has ended.
#[derive(Debug)]
pub struct Completion {
    /// What the caller is told.
    pub answer: Answer,
    /// Why.
    pub cause: Cause,
}

/// What has been tried for a request.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Upstreams that a request reached.
    pub(crate) sent: SmallVec<[Tag; 4]>,
    /// Upstreams that refused it or could not be reached.
    avoid: SmallVec<[Tag; 4]>,
    /// Times that it reached an upstream.
    pub(crate) arrivals: u32,
    /// Attempts that may have run.
    uncertain: u32,
    /// What went wrong last.
    pub(crate) reason: String,
    /// Time spent waiting for something to change.
    pub(crate) waited: Duration,
}

/// Sends a request until it is answered, and returns what the caller is told.
pub async fn forward(host: &Rc<Host>, job: &Job) -> Completion {
    let mut progress = Progress::default();
    loop {
        let now = host.now();
        if job.caller_gone.get() {
            return give_up(host, job, &progress, Cause::CallerGone);
        }
        if now >= job.deadline {
            return give_up(host, job, &progress, Cause::Deadline);
        }
        let left = job.deadline.since(now);
        let target = match select_target(host, job, &progress, now, left) {
            Target::Send(target) => target,
            Target::Wait(span, _) if progress.waited < left / WAIT_DIVISOR => {
                wait_for_change(host, span).await;
                progress.waited += host.now().since(now);
                continue;
            }
            Target::Wait(span, cause) | Target::Refuse(span, cause) => {
                return refuse(host, job, &progress, span, cause);
            }
        };
        if progress.arrivals > 0 && !may_retry(host, job, &progress, &target, now) {
            return give_up(host, job, &progress, Cause::NoRetry);
        }
        let started = host.now();
        let attempt = attempt::attempt(host, job, &target, &mut progress).await;
        let (result, reason) = attempt.describe();
        request_log::record_attempt(host, job, &target, result, &reason, started);
        match attempt {
            Attempt::Answered(reply) => return complete(reply),
            Attempt::TimedOut => {
                progress.reason = reason;
                return give_up(host, job, &progress, Cause::NoAnswer);
            }
            Attempt::Refused(_) => {
                progress.reason = reason;
                if job.key.is_some() {
                    wait_for_change(host, ROUTES_WAIT).await;
                } else {
                    progress.avoid.push(Tag::of(&target.incarnation.name));
                }
            }
            Attempt::Unsent(_) => {
                progress.reason = reason;
                progress.avoid.push(Tag::of(&target.incarnation.name));
                if job.key.is_some() {
                    wait_for_change(host, ROUTES_WAIT).await;
                }
            }
            Attempt::Unknown(_) => {
                progress.reason = reason;
                progress.uncertain += 1;
                if job.route.idempotency == Idempotency::AtMostOnce {
                    return give_up(host, job, &progress, Cause::MayHaveRun);
                }
                if job.key.is_none() {
                    progress.avoid.push(Tag::of(&target.incarnation.name));
                }
            }
        }
    }
}

/// Waits until something may have changed, at most `span`.
async fn wait_for_change(host: &Host, span: Duration) {
    let routes = host.events.routes.listen();
    let capacity = host.events.capacity.listen();
    let timer = host.clock.sleep(span);
    timer.or(async { routes.or(capacity).await }).await;
}

fn select_target(host: &Host, job: &Job, progress: &Progress, now: Tick, left: Duration) -> Target {
    match job.key {
        Some(key) => select_owner(host, job, key, now, left),
        None => select_upstream(host, job, progress, now, left),
    }
}

/// Longest time that an answer may be predicted to take.
fn latency_need(job: &Job, now: Tick, left: Duration) -> Requirement {
    let objective = job.arrived.after(job.route.objective).since(now);
    Requirement {
        max_latency: objective.min(left),
    }
}

fn select_upstream(
    host: &Host,
    job: &Job,
    progress: &Progress,
    now: Tick,
    left: Duration,
) -> Target {
    let balancer = host.balancer.borrow();
    let choice = balancer.choose(
        now,
        &job.service,
        latency_need(job, now, left),
        &progress.avoid,
    );
    match choice {
        Choice::Upstream(tag) => match host.directory.borrow().by_tag(tag) {
            Some(registration) => Target::Send(Rc::clone(registration)),
            None => Target::Wait(ROUTES_WAIT, Cause::NoUpstream),
        },
        Choice::Full(wait) => Target::Refuse(wait, Cause::Busy),
        Choice::NoCandidate if progress.avoid.is_empty() => {
            Target::Wait(ROUTES_WAIT, Cause::NoUpstream)
        }
        Choice::NoCandidate => Target::Refuse(RETRY_AFTER_MIN, Cause::NoOtherUpstream),
    }
}

fn select_owner(host: &Host, job: &Job, key: Key, now: Tick, left: Duration) -> Target {
    let tables = host.tables.borrow();
    let Some(routes) = tables.get(&job.service) else {
        return Target::Wait(RETRY_AFTER_MAX, Cause::NoTable);
    };
    let directory = host.directory.borrow();
    let Some(name) = routes.owner(key) else {
        return Target::Wait(RETRY_AFTER_MAX, Cause::NoOwner);
    };
    let Some(registration) = directory.get(name) else {
        return Target::Wait(RETRY_AFTER_MAX, Cause::OwnerUnlisted);
    };
    if registration.phase != Phase::Ready {
        return Target::Wait(RETRY_AFTER_MAX, Cause::OwnerDraining);
    }
    if host.is_displaced(&registration.incarnation) {
        return Target::Wait(RETRY_AFTER_MAX, Cause::OwnerReplaced);
    }
    let tag = Tag::of(&registration.incarnation.name);
    match host
        .balancer
        .borrow()
        .check_admission(now, tag, latency_need(job, now, left))
    {
        Ok(()) => Target::Send(Rc::clone(registration)),
        Err(wait) => Target::Refuse(wait, Cause::OwnerBusy),
    }
}

/// Whether the request may be sent once more.
fn may_retry(
    host: &Host,
    job: &Job,
    progress: &Progress,
    target: &Registration,
    now: Tick,
) -> bool {
    let tag = Tag::of(&target.incarnation.name);
    let upstreams = u32::try_from(progress.sent.len()).unwrap_or(u32::MAX);
    let fresh = !progress.sent.contains(&tag);
    let hosts = host.peers.borrow().all_hosts(now);
    let mut budgets = host.budgets.borrow_mut();
    let budget = budgets.get_mut(&job.service);
    let left = budget.map_or(0.0, |b| b.remaining(now, hosts));
    let result = match () {
        () if fresh && upstreams >= job.route.attempts => "no attempt left",
        () if progress.uncertain >= UNCERTAIN_MAX => "no attempt left",
        () if left < 1.0 => "no budget left",
        () => "sent",
    };
    let allowed = result == "sent";
    if allowed && let Some(budget) = budgets.get_mut(&job.service) {
        budget.spend(now);
    }
    request_log::record_retry(host, job, progress, target, result, left);
    allowed
}

fn complete(reply: Response) -> Completion {
    let mut headers = reply.head.headers;
    headers.remove(CONTENT_LENGTH);
    Completion {
        answer: Answer {
            status: reply.head.status,
            headers,
            body: reply.body,
        },
        cause: Cause::Answered,
    }
}

/// The request has not run: the caller may come back.
fn refuse(host: &Host, job: &Job, progress: &Progress, span: Duration, cause: Cause) -> Completion {
    if progress.uncertain > 0 {
        return give_up(host, job, progress, cause);
    }
    request_log::log_ended(host, job, progress, StatusCode::SERVICE_UNAVAILABLE, cause);
    Completion {
        answer: service_unavailable(span),
        cause,
    }
}

/// An answer that says that the request has not run, and when to come back.
pub(crate) fn service_unavailable(span: Duration) -> Answer {
    let mut answer = Answer::empty(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = span.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX).as_secs_f64();
    if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
        answer.headers.insert(RETRY_AFTER, value);
    }
    answer
}

/// No answer can be had. If every attempt is proven not to have run, the caller is told so.
fn give_up(host: &Host, job: &Job, progress: &Progress, cause: Cause) -> Completion {
    let now = host.now();
    let ran = progress.uncertain > 0 || (progress.arrivals > 0 && cause == Cause::NoAnswer);
    if !ran {
        request_log::log_ended(host, job, progress, StatusCode::SERVICE_UNAVAILABLE, cause);
        return Completion {
            answer: service_unavailable(RETRY_AFTER_MIN),
            cause,
        };
    }
    let status = if now >= job.deadline {
        StatusCode::GATEWAY_TIMEOUT
    } else {
        StatusCode::BAD_GATEWAY
    };
    request_log::log_ended(host, job, progress, status, cause);
    Completion {
        answer: Answer::empty(status),
        cause,
    }
}
