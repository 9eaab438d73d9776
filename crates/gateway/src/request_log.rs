//! Logs and metrics of requests.
//!
//! A request that an upstream answers at its first attempt is only counted, unless the level is
//! `debug`. Every other decision is one line with the id of the request, the inputs of the decision
//! and their age. So the lines of one id explain its course: `attempt failed`, `repeat decided`,
//! and finally `request ended`, `request refused` or `request cancelled`.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use slog::{debug, info, warn};
use trefoil_core::{ServiceName, Tick};
use trefoil_directory::{Registration, UpstreamId};

use crate::cause::{Cause, Ending};
use crate::forward::{Job, Progress};
use crate::host::Host;

/// Placeholder for an unknown value.
pub(crate) const NONE: &str = "-";

/// Longest text of a caller, the store or the registry in a log line, in bytes.
const TEXT_MAX: usize = 256;

/// Cuts a text that others have written for a log line.
pub(crate) fn cut(text: &str) -> &str {
    &text[..text.floor_char_boundary(TEXT_MAX)]
}

/// The identifier of a request as text.
pub(crate) fn id_text(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).map_or(NONE, cut)
}

pub(crate) fn age_ms(now: Tick, since: Option<Tick>) -> String {
    since.map_or_else(
        || NONE.to_owned(),
        |at| now.since(at).as_millis().to_string(),
    )
}

/// The name of an upstream, or its identifier if its run has ended.
fn upstream_name(host: &Host, id: UpstreamId) -> String {
    let directory = host.directory.borrow();
    directory.by_id(id).map_or_else(
        || id.to_string(),
        |upstream| upstream.registration.incarnation.name.to_string(),
    )
}

/// Revision of the routes that determined the owner of the job's key.
fn routes_revision(host: &Host, job: &Job) -> String {
    let tables = host.tables.borrow();
    let routes = job.key.and_then(|_| tables.get(&job.service));
    routes.map_or_else(|| NONE.to_owned(), |routes| routes.revision.to_string())
}

/// Logs a request that ends without an upstream's answer.
pub(crate) fn log_ended(
    host: &Host,
    job: &Job,
    progress: &Progress,
    status: StatusCode,
    cause: Cause,
) {
    let now = host.now();
    let failure = progress.first_failure.as_ref();
    let status = failure.map_or(status, |reply| reply.head.status);
    let upstreams: Vec<String> = progress
        .sent
        .iter()
        .map(|id| upstream_name(host, *id))
        .collect();
    info!(host.log, "request ended"; "id" => id_text(job.id.as_ref()), "route" => %job.route.name,
        "service" => %job.service, "status" => status.as_u16(), "cause" => %cause,
        "key" => job.key.map_or_else(|| NONE.to_owned(), |key| key.to_string()),
        "after_ms" => now.since(job.arrived).as_millis(),
        "waited_ms" => progress.waited.as_millis(),
        "arrivals" => progress.arrivals, "upstreams" => upstreams.join(","),
        "last" => progress.reason.as_str(), "config" => host.config_version().0, "table" => routes_revision(host, job),
        "config_age_ms" => age_ms(now, host.config_freshness.as_of()),
        "directory_age_ms" => age_ms(now, host.directory_freshness.as_of()),
        "store_age_ms" => age_ms(now, host.store_seen.get()));
}

/// Counts an attempt, and logs it if it failed.
pub(crate) fn record_attempt(
    host: &Host,
    job: &Job,
    target: &Registration,
    result: &'static str,
    reason: &str,
    started: Tick,
) {
    let span = host.now().since(started);
    host.metrics.record_attempt(&job.service, result);
    if reason.is_empty() {
        host.metrics.record_hop("upstream", span);
        debug!(host.log, "attempt answered"; "id" => id_text(job.id.as_ref()),
            "service" => %job.service, "upstream" => %target.incarnation.name,
            "after_ms" => span.as_millis());
        return;
    }
    info!(host.log, "attempt failed"; "id" => id_text(job.id.as_ref()), "service" => %job.service,
        "upstream" => %target.incarnation.name, "address" => %target.address, "result" => result,
        "reason" => reason, "after_ms" => span.as_millis(), "sequence" => target.sequence,
        "config" => host.config_version().0, "table" => routes_revision(host, job));
}

/// Counts and logs the decision whether a request is retried.
pub(crate) fn record_retry(
    host: &Host,
    job: &Job,
    progress: &Progress,
    target: &Registration,
    result: &'static str,
    left: f64,
) {
    host.metrics.record_retry(&job.service, result);
    info!(host.log, "repeat decided"; "id" => id_text(job.id.as_ref()),
        "service" => %job.service, "upstream" => %target.incarnation.name, "result" => result,
        "because" => progress.reason.as_str(), "arrivals" => progress.arrivals,
        "attempts" => job.route.attempts, "budget_left" => format!("{left:.1}"));
}

/// Counts and logs a request that was refused before any attempt.
pub(crate) fn record_refused(host: &Host, id: &str, status: StatusCode, cause: Cause) {
    info!(host.log, "request refused"; "id" => id, "status" => status.as_u16(),
        "cause" => %cause, "config" => host.config_version().0);
    let outcome = ending_of(status);
    host.metrics
        .record_request(NONE, outcome, cause, Duration::ZERO);
}

/// Outcome that a status of the host's own states to the caller.
fn ending_of(status: StatusCode) -> Ending {
    match status {
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Ending::Unknown,
        _ => Ending::Refused,
    }
}

/// Counts the end of a request. If it is dropped before, the caller has closed its connection.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    host: Rc<Host>,
    id: Option<HeaderValue>,
    service: String,
    arrived: Tick,
    /// The request continues after its caller has gone.
    detached: bool,
    done: bool,
    /// Number in [`RunningRequests`].
    number: u64,
}

/// State of a streamed answer that ends incomplete.
pub(crate) struct BrokenStream<'a> {
    pub(crate) id: Option<&'a HeaderValue>,
    pub(crate) service: &'a ServiceName,
    /// Name of the upstream.
    pub(crate) upstream: &'a str,
    pub(crate) cause: Cause,
    /// Failure of the upstream, if it is the cause.
    pub(crate) reason: &'a str,
    /// Bytes of the body that were taken from the upstream.
    pub(crate) size: u64,
    /// Declared length of the body, if there is one.
    pub(crate) length: Option<u64>,
    /// Since when the body was streamed.
    pub(crate) started: Tick,
}

/// Logs a streamed answer that ends incomplete.
pub(crate) fn log_broken_stream(host: &Host, stream: &BrokenStream<'_>) {
    info!(host.log, "response broken off"; "id" => id_text(stream.id),
        "service" => %stream.service, "upstream" => stream.upstream, "cause" => %stream.cause,
        "reason" => cut(stream.reason), "bytes" => stream.size,
        "of" => stream.length.map_or_else(|| NONE.to_owned(), |length| length.to_string()),
        "after_ms" => host.now().since(stream.started).as_millis());
}

/// Requests that callers wait for.
#[derive(Debug, Default)]
pub(crate) struct RunningRequests {
    next: u64,
    requests: BTreeMap<u64, (Option<HeaderValue>, Tick)>,
}

impl RunningRequests {
    fn add(&mut self, id: Option<HeaderValue>, arrived: Tick) -> u64 {
        self.next += 1;
        self.requests.insert(self.next, (id, arrived));
        self.next
    }

    /// Logs the requests whose callers get no answer because the process ends.
    pub(crate) fn log_cut(&self, host: &Host) {
        for (id, arrived) in self.requests.values() {
            warn!(host.log, "request cut"; "id" => id_text(id.as_ref()),
                "after_ms" => host.now().since(*arrived).as_millis());
        }
    }
}

impl RequestGuard {
    pub(crate) fn new(host: &Rc<Host>, job: &Job, detached: bool) -> Self {
        Self {
            host: Rc::clone(host),
            id: job.id.clone(),
            service: job.service.as_str().to_owned(),
            arrived: job.arrived,
            detached,
            done: false,
            number: host.running.borrow_mut().add(job.id.clone(), job.arrived),
        }
    }

    pub(crate) fn complete(self, status: StatusCode, cause: Cause) {
        let outcome = match cause {
            Cause::Answered => Ending::Answered,
            _ => ending_of(status),
        };
        self.end(outcome, cause);
    }

    /// Counts a request whose caller has received the whole answer of an upstream.
    pub(crate) fn answer(self) {
        self.end(Ending::Answered, Cause::Answered);
    }

    /// Counts a request of whose answer the caller has received a part only.
    pub(crate) fn break_off(self, cause: Cause) {
        self.end(Ending::BrokenOff, cause);
    }

    fn end(mut self, outcome: Ending, cause: Cause) {
        self.done = true;
        let span = self.host.now().since(self.arrived);
        self.host
            .metrics
            .record_request(&self.service, outcome, cause, span);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.host.running.borrow_mut().requests.remove(&self.number);
        if self.done {
            return;
        }
        let span = self.host.now().since(self.arrived);
        let (outcome, cause) = (Ending::Cancelled, Cause::CallerGone);
        self.host
            .metrics
            .record_request(&self.service, outcome, cause, span);
        info!(self.host.log, "request cancelled"; "id" => id_text(self.id.as_ref()),
            "service" => self.service.as_str(), "cause" => %cause,
            "after_ms" => span.as_millis(), "goes_on" => self.detached);
    }
}
