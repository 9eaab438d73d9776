//! Answers with which an upstream says that a request has failed.
//!
//! An idempotent request is sent once more, to another upstream, if attempts, time and the budget
//! allow it. Whatever comes of that, the caller gets an answer of an upstream: the second one if it
//! is a success, else the first.

use std::future::poll_fn;

use http::StatusCode;
use trefoil_balance::Outcome;
use trefoil_core::Tick;
use trefoil_directory::UpstreamId;
use trefoil_http::h1::{BodyReader, COLLECTED_MAX, Response};
use trefoil_route::Idempotency;

use super::{Completion, Job, Progress, complete};
use crate::cause::Cause;
use crate::host::Host;
use crate::pool::UpstreamLink;

/// Returns `true` if a status says that the upstream has failed. Refusals are no failures.
pub(super) fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

/// Returns `true` if an attempt that was sent at `sent` had enough time, so that a missing answer,
/// or a 504, says something about the upstream. Callers decide how long they wait.
pub(super) fn had_time(job: &Job, sent: Tick) -> bool {
    job.deadline.since(sent) >= job.route.objective
}

/// Returns what an answer with a status, to a request that was sent at `sent`, says about its
/// upstream.
pub(super) fn outcome(job: &Job, status: StatusCode, sent: Tick) -> Outcome {
    match status {
        StatusCode::GATEWAY_TIMEOUT if !had_time(job, sent) => Outcome::Abandoned,
        status if is_failure(status) => Outcome::Failed,
        _ => Outcome::Answered,
    }
}

/// Reads the rest of a streamed answer that the request has failed, so that the request can be sent
/// once more. Returns a reader if the body is longer than [`COLLECTED_MAX`].
///
/// # Errors
///
/// Fails with the reason if the answer breaks off, or if there is no memory for it.
pub(super) async fn collect(
    host: &Host,
    link: &mut UpstreamLink,
    mut reply: Response,
    mut rest: BodyReader,
) -> Result<(Response, Option<BodyReader>), String> {
    let most = COLLECTED_MAX.saturating_sub(reply.body.len());
    let left = rest.remaining().and_then(|left| usize::try_from(left).ok());
    if left.is_some_and(|left| left > most) {
        return Ok((reply, Some(rest)));
    }
    let mut body = Vec::from(&*reply.body);
    while body.len() <= COLLECTED_MAX {
        let Some(piece) = poll_fn(|cx| link.poll_body(cx, &mut rest)).await? else {
            let held = host.memory.answers.hold(body);
            reply.body = held.map_err(|e| e.to_string())?;
            return Ok((reply, None));
        };
        body.extend_from_slice(&piece);
    }
    reply.body = body.into();
    Ok((reply, Some(rest)))
}

/// Returns `true` if a request that was answered with a failure may be sent once more. A keyed one
/// has no other upstream unless its key has moved.
pub(super) fn may_resend(host: &Host, job: &Job, progress: &Progress, reply: &Response) -> bool {
    // After a 504, the upstream has used up the time.
    let repeatable = job.route.idempotency == Idempotency::Idempotent
        && reply.head.status != StatusCode::GATEWAY_TIMEOUT
        && progress.first_failure.is_none();
    repeatable && has_other_upstream(host, job, progress)
}

fn has_other_upstream(host: &Host, job: &Job, progress: &Progress) -> bool {
    let Some(key) = job.key else {
        return true;
    };
    let tables = host.tables.borrow();
    let routes = tables.get(&job.service);
    let directory = host.directory.borrow();
    let owner: Option<UpstreamId> = routes
        .and_then(|routes| routes.owner(key))
        .and_then(|name| directory.upstream(name))
        .map(|upstream| upstream.id);
    owner.is_some_and(|owner| !progress.sent.contains(&owner))
}

/// Replaces any result but a success or redirection by the first failure, if there is one.
pub(super) fn prefer_first(completion: Completion, progress: &mut Progress) -> Completion {
    let status = completion.answer.status;
    let succeeded = status.is_success() || status.is_redirection();
    let answered = completion.cause == Cause::Answered && succeeded;
    match progress.first_failure.take() {
        Some(first) if !answered && completion.cause != Cause::CallerGone => complete(first),
        _ => completion,
    }
}
