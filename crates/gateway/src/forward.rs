//! Forwarding a request to upstreams until one answers it.
//!
//! A request is retried only if that cannot execute it twice: its route declares it idempotent, or
//! the attempt provably did not run. The caller receives "not run" (503) only with such a proof for
//! every attempt. All other failures are 502 or 504, which say nothing about execution.

mod attempt;
mod download;
mod failed;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use http::StatusCode;
use http::header::{CONTENT_LENGTH, HeaderValue, RETRY_AFTER};
use smallvec::SmallVec;
use trefoil_balance::{Choice, Permit, Prospect, Requirement};
use trefoil_core::{Key, ServiceName, Tick};
use trefoil_directory::{Phase, Upstream, UpstreamId};
use trefoil_http::h1::{Answer, Request, Reservation, Response, ResponseHead};
use trefoil_route::{Idempotency, Route};

use crate::cause::Cause;
use crate::host::Host;
use crate::pool::IDLE_MAX;
use crate::request_log;
use crate::waiting::{Terms, Turn};
use crate::warmup;

use download::Download;

/// Largest answer that is forwarded, in bytes.
pub(crate) const ANSWER_MAX: usize = 16 * 1024 * 1024;

/// Longest idle time of a connection that may carry a request which must not run twice. A request
/// that is sent while the upstream closes the connection may have run, so such requests use only
/// connections that were busy a moment ago.
pub(crate) const FRESH_IDLE_MAX: Duration = Duration::from_millis(1500);

/// Divisor of the remaining time that gives the longest wait for a key to get an owner.
const WAIT_DIVISOR: u32 = 3;

/// Wait after an upstream has refused a key that it should own. Newer routes are expected then.
const ROUTES_WAIT: Duration = Duration::from_millis(40);

/// Shortest `Retry-After`.
pub(crate) const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Longest `Retry-After`.
pub(crate) const RETRY_AFTER_MAX: Duration = Duration::from_secs(1);

/// Uncertain attempts, which may have run, after which a request is not retried. If an upstream
/// loses three of five answers, a request still gets one with a probability of 0.87. More attempts
/// would take the shared retry budget from other requests.
const UNCERTAIN_MAX: u32 = 4;

/// A request in flight.
#[derive(Debug)]
pub struct Job {
    /// Its route.
    pub route: Rc<Route>,
    /// Service that the route selects.
    pub service: ServiceName,
    /// Its key, if the service is keyed.
    pub key: Option<Key>,
    /// The request as the caller sent it.
    pub request: Request,
    /// The caller's identifier of the request.
    pub id: Option<HeaderValue>,
    /// When the request arrived.
    pub arrived: Tick,
    /// When the caller receives an error if there is no answer.
    pub deadline: Tick,
    /// Set when the caller has closed its connection.
    pub caller_gone: Rc<Cell<bool>>,
}

/// Result of one attempt.
#[derive(Debug)]
enum Attempt {
    /// The upstream executed the request and answered.
    Answered(Response),
    /// The upstream executes the request, and its answer has begun.
    Streamed(ResponseHead, Box<Download>),
    /// The upstream executed the request and answered that it has failed.
    Failed(Response),
    /// The upstream states that it did not execute the request.
    Refused(Response),
    /// The request did not reach the upstream.
    Unsent(String),
    /// The upstream may have executed the request.
    Unknown(String),
    /// The deadline passed without an answer.
    TimedOut,
}

impl Attempt {
    /// Result for metrics and logs, and the reason of a failure, which is empty on success.
    fn describe(&self) -> (&'static str, String) {
        match self {
            Self::Answered(_) => ("answered", String::new()),
            Self::Streamed(..) => ("streamed", String::new()),
            Self::Failed(reply) => ("failed", format!("failed with {}", reply.head.status)),
            Self::Refused(reply) => ("refused", format!("refused with {}", reply.head.status)),
            Self::Unsent(reason) => ("unsent", reason.clone()),
            Self::Unknown(reason) => ("unknown", reason.clone()),
            Self::TimedOut => ("late", "no answer in time".to_owned()),
        }
    }
}

/// Next step of a request.
enum Target {
    Send(Upstream),
    /// Retry the selection after a change or this time.
    Wait(Duration, Cause),
    Refuse(Duration, Cause),
    /// Nothing has room, perhaps for this time.
    Full(Prospect, Duration, Cause),
}

/// Final result of a request.
#[derive(Debug)]
pub struct Completion {
    /// Answer to the caller.
    pub answer: Answer,
    /// Cause of the result, for logs and metrics.
    pub cause: Cause,
}

/// Attempts of a request so far.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Upstreams that received the request.
    pub(crate) sent: SmallVec<[UpstreamId; 4]>,
    /// Upstreams that refused the request or could not be reached.
    avoid: SmallVec<[UpstreamId; 4]>,
    /// Number of attempts that reached an upstream.
    pub(crate) arrivals: u32,
    /// Number of attempts that may have run.
    uncertain: u32,
    /// The first answer that the request has failed.
    pub(crate) first_failure: Option<Response>,
    /// Reason of the last failure.
    pub(crate) reason: String,
    /// Permit for the next attempt.
    pub(crate) permit: Option<Permit<UpstreamId>>,
    /// Permits that were refused since the last wait.
    denied: u32,
    /// Time spent waiting for newer routes or upstreams.
    pub(crate) waited: Duration,
    /// Memory for the body of a streamed answer.
    stream_memory: Reservation,
}

/// Forwards a request until it is answered or given up. Returns the answer to the caller.
pub async fn forward(host: &Rc<Host>, job: &Job) -> Completion {
    let mut progress = Progress::default();
    let completion = forward_attempts(host, job, &mut progress).await;
    failed::prefer_first(completion, &mut progress)
}

async fn forward_attempts(host: &Rc<Host>, job: &Job, progress: &mut Progress) -> Completion {
    let mut turn = Turn::new(host, job);
    loop {
        let now = host.now();
        if job.caller_gone.get() {
            return give_up(host, job, progress, Cause::CallerGone);
        }
        if now >= job.deadline {
            return give_up(host, job, progress, Cause::Deadline);
        }
        if host.memory.answers.is_full() || !download::hold_memory(host, job, progress) {
            return refuse(host, job, progress, RETRY_AFTER_MAX, Cause::NoMemory);
        }
        let left = job.deadline.since(now);
        let target = match select_target(host, job, progress, &mut turn, now, left) {
            Target::Send(target) => {
                turn.take(now);
                target
            }
            Target::Full(_, _, _) if turn.is_cut(now) => {
                return refuse(host, job, progress, RETRY_AFTER_MIN, Cause::Stopping);
            }
            Target::Full(prospect, room, cause) => match turn.join(now, prospect, room) {
                Ok(()) => {
                    turn.wait(now).await;
                    progress.waited += host.now().since(now);
                    continue;
                }
                Err(span) => return refuse(host, job, progress, span, cause),
            },
            Target::Wait(span, _) if progress.waited < left / WAIT_DIVISOR => {
                let rest = (left / WAIT_DIVISOR).saturating_sub(progress.waited);
                wait_for_change(host, span.min(rest)).await;
                progress.denied = 0;
                progress.waited += host.now().since(now);
                continue;
            }
            Target::Wait(span, cause) | Target::Refuse(span, cause) => {
                return refuse(host, job, progress, span, cause);
            }
        };
        progress.permit = None;
        if let Ok(permit) = warmup::obtain(host, &target).await {
            progress.permit = permit;
        } else {
            progress.denied += 1;
            progress.waited += host.now().since(now);
            continue;
        }
        if progress.arrivals > 0 && !may_retry(host, job, progress, &target, now) {
            return give_up(host, job, progress, Cause::NoRetry);
        }
        let started = host.now();
        let attempt = attempt::attempt(host, job, &target, progress).await;
        let (result, reason) = attempt.describe();
        request_log::record_attempt(host, job, &target.registration, result, &reason, started);
        let ended = settle(host, job, progress, target.id, attempt, reason).await;
        if let Some(completion) = ended {
            return completion;
        }
    }
}

/// Records the result of an attempt at an upstream. Returns the answer to the caller unless the
/// request may be sent again.
async fn settle(
    host: &Host,
    job: &Job,
    progress: &mut Progress,
    target: UpstreamId,
    attempt: Attempt,
    reason: String,
) -> Option<Completion> {
    match attempt {
        Attempt::Answered(reply) => return Some(complete(reply)),
        Attempt::Streamed(head, download) => return Some(download.into_completion(head)),
        Attempt::Failed(reply) => {
            if !failed::may_resend(host, job, progress, &reply) {
                return Some(complete(reply));
            }
            progress.reason = reason;
            progress.uncertain += 1;
            progress.avoid.push(target);
            progress.first_failure = Some(reply);
        }
        Attempt::TimedOut => {
            progress.reason = reason;
            return Some(give_up(host, job, progress, Cause::NoAnswer));
        }
        Attempt::Refused(_) => {
            progress.reason = reason;
            if job.key.is_some() {
                wait_for_change(host, ROUTES_WAIT).await;
            } else {
                progress.avoid.push(target);
            }
        }
        Attempt::Unsent(_) => {
            progress.reason = reason;
            progress.avoid.push(target);
            if job.key.is_some() {
                wait_for_change(host, ROUTES_WAIT).await;
            }
        }
        Attempt::Unknown(_) => {
            if let Some(first) = progress.first_failure.take() {
                return Some(complete(first));
            }
            progress.reason = reason;
            progress.uncertain += 1;
            if job.route.idempotency == Idempotency::AtMostOnce {
                return Some(give_up(host, job, progress, Cause::MayHaveRun));
            }
            if job.key.is_none() {
                progress.avoid.push(target);
            }
        }
    }
    None
}

/// Waits for a change of the routes or the capacity, at most for `span`.
async fn wait_for_change(host: &Host, span: Duration) {
    let routes = host.events.routes.listen();
    let capacity = host.events.capacity.listen();
    let timer = host.clock.sleep(span);
    timer.or(async { routes.or(capacity).await }).await;
}

fn select_target(
    host: &Host,
    job: &Job,
    progress: &Progress,
    turn: &mut Turn<'_>,
    now: Tick,
    left: Duration,
) -> Target {
    match job.key {
        Some(key) => select_owner(host, job, key, now, left),
        None => select_upstream(host, job, progress, turn, now, left),
    }
}

/// Longest idle time of a connection that may carry a request.
pub(crate) fn max_idle(idempotency: Idempotency) -> Duration {
    match idempotency {
        Idempotency::Idempotent => IDLE_MAX,
        Idempotency::AtMostOnce => FRESH_IDLE_MAX,
    }
}

/// What a request requires of an upstream where no other class competes with its own.
fn plain_need(job: &Job, now: Tick, left: Duration) -> Requirement<'static> {
    let objective = job.arrived.after(job.route.objective).since(now);
    Requirement {
        max_idle: max_idle(job.route.idempotency),
        ..Requirement::within(objective.min(left))
    }
}

fn select_upstream(
    host: &Host,
    job: &Job,
    progress: &Progress,
    turn: &mut Turn<'_>,
    now: Tick,
    left: Duration,
) -> Target {
    let competes = host.waiting.competes(host, &job.service);
    let terms = competes.then(|| turn.terms(now, left));
    let need = terms
        .as_ref()
        .map_or_else(|| plain_need(job, now, left), Terms::requirement);
    let balancer = host.balancer.borrow();
    let full = |room| {
        let Some(terms) = &terms else {
            return Target::Refuse(room, Cause::Busy);
        };
        let answer = balancer.earliest_answer(now, &job.service, need);
        let prospect = Prospect {
            answer: answer.unwrap_or_default(),
            left: terms.left,
        };
        Target::Full(prospect, room, Cause::Busy)
    };
    if terms.as_ref().is_some_and(|terms| !terms.may_send) {
        return full(Duration::ZERO);
    }
    let may_ask = |id| {
        progress.denied < warmup::ASKS_MAX && host.may_ask(now, id, &host.config.domain).is_ok()
    };
    let permits = host.warmup_limit(&job.service).is_some().then_some(may_ask);
    let mut limited = false;
    let admit = |id| {
        let admitted = host.admit_limited(now, id);
        limited |= admitted.is_err();
        admitted
    };
    let choice =
        balancer.choose_permitted(now, &job.service, need, &progress.avoid, admit, permits);
    match choice {
        Choice::Upstream(id) => match host.directory.borrow().by_id(id) {
            Some(upstream) if upstream.registration.service == job.service => {
                Target::Send(upstream.clone())
            }
            _ => Target::Wait(ROUTES_WAIT, Cause::NoUpstream),
        },
        // Each look at a limited upstream counts as a request to it.
        Choice::Full(room) if limited => Target::Refuse(room, Cause::Busy),
        Choice::Full(room) => full(room),
        Choice::NoCandidate if host.is_service_evacuated(&job.service) => {
            Target::Refuse(RETRY_AFTER_MAX, Cause::Evacuated)
        }
        Choice::Cold => Target::Wait(ROUTES_WAIT, Cause::Cold),
        Choice::NoCandidate if progress.avoid.is_empty() => {
            Target::Wait(ROUTES_WAIT, Cause::NoUpstream)
        }
        Choice::NoCandidate => Target::Refuse(RETRY_AFTER_MIN, Cause::NoOtherUpstream),
    }
}

fn select_owner(host: &Host, job: &Job, key: Key, now: Tick, left: Duration) -> Target {
    if host.is_service_evacuated(&job.service) {
        return Target::Refuse(RETRY_AFTER_MAX, Cause::Evacuated);
    }
    let tables = host.tables.borrow();
    let Some(routes) = tables.get(&job.service) else {
        return Target::Wait(RETRY_AFTER_MAX, Cause::NoTable);
    };
    let directory = host.directory.borrow();
    let Some(name) = routes.owner(key) else {
        return Target::Wait(RETRY_AFTER_MAX, Cause::NoOwner);
    };
    // A restarted upstream may have another service than the owner of its name had.
    let listed = directory.upstream(name);
    let Some(upstream) = listed.filter(|u| u.registration.service == job.service) else {
        return Target::Wait(RETRY_AFTER_MAX, Cause::OwnerUnlisted);
    };
    let registration = &upstream.registration;
    if registration.phase != Phase::Ready {
        return Target::Wait(RETRY_AFTER_MAX, Cause::OwnerDraining);
    }
    if host.is_displaced(upstream.id) {
        return Target::Wait(RETRY_AFTER_MAX, Cause::OwnerReplaced);
    }
    if host.withholds_requests(now, registration) {
        return Target::Wait(RETRY_AFTER_MAX, Cause::OwnerEvacuated);
    }
    if host.needs_permit(now, upstream)
        && let Err(wait) = host.may_ask(now, upstream.id, &registration.domain)
    {
        return Target::Wait(wait, Cause::OwnerCold);
    }
    match host
        .balancer
        .borrow()
        .check_admission(now, upstream.id, plain_need(job, now, left))
    {
        Ok(()) => match host.admit_limited(now, upstream.id) {
            Ok(()) => Target::Send(upstream.clone()),
            Err(wait) => Target::Refuse(wait, Cause::OwnerLimited),
        },
        Err(wait) => Target::Refuse(wait, Cause::OwnerBusy),
    }
}

/// Returns `true` if the attempt limits and the retry budget allow another attempt, which is then
/// taken from the budget.
fn may_retry(host: &Host, job: &Job, progress: &Progress, target: &Upstream, now: Tick) -> bool {
    let upstreams = u32::try_from(progress.sent.len()).unwrap_or(u32::MAX);
    let fresh = !progress.sent.contains(&target.id);
    let hosts = host.peers.borrow().all_hosts(now);
    let mut budgets = host.budgets.borrow_mut();
    let budget = budgets.get_mut(&job.service);
    let after_failure = progress.first_failure.is_some();
    let left = match budget {
        Some(budget) if after_failure => budget.remaining_after_failure(now, hosts),
        Some(budget) => budget.remaining(now, hosts),
        None => 0.0,
    };
    let result = match () {
        () if fresh && upstreams >= job.route.attempts => "no attempt left",
        () if progress.uncertain >= UNCERTAIN_MAX => "no attempt left",
        () if left < 1.0 && after_failure => "budget kept for lost responses",
        () if left < 1.0 => "no budget left",
        () if after_failure => "sent after a failure",
        () => "sent",
    };
    let allowed = result.starts_with("sent");
    match budgets.get_mut(&job.service).filter(|_| allowed) {
        Some(budget) if after_failure => budget.spend_after_failure(now),
        Some(budget) => budget.spend(now),
        None => {}
    }
    request_log::record_retry(host, job, progress, &target.registration, result, left);
    allowed
}

fn complete(reply: Response) -> Completion {
    let mut headers = reply.head.headers;
    headers.remove(CONTENT_LENGTH);
    Completion {
        answer: Answer {
            status: reply.head.status,
            headers,
            body: reply.body.into(),
        },
        cause: Cause::Answered,
    }
}

/// Ends a request that has not run, with a time after which the caller may retry. A request that
/// may have run is given up instead.
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

/// A 503 answer with `Retry-After`, which states that the request has not run.
pub(crate) fn service_unavailable(span: Duration) -> Answer {
    let mut answer = Answer::empty(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = span.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX).as_secs_f64();
    if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
        answer.headers.insert(RETRY_AFTER, value);
    }
    answer
}

/// Ends a request without an answer. The status is 503 only if every attempt provably did not run.
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
