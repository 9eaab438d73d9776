//! One request at a dispatcher, from its admission to its answer.

use std::sync::Arc;

use async_channel::Receiver;
use http::StatusCode;
use trefoil_core::{Outcome, Shard, Tick};
use trefoil_dispatch::{
    Cause, Decision, Dropped, Record, Report, Request, ShedReason, Ticket, TicketId,
};
use trefoil_log::View;
use trefoil_wire::{AnswerHead, Body, ForwardHead};

use super::driver::{Driver, Notice};
use super::payload::Payload;
use super::{Answer, exchange, failed_answer, final_answer};
use crate::problem::Problem;
use crate::request::end_to_end_headers;

impl Driver {
    /// Handles a forwarded request and returns its answer.
    pub async fn handle(
        self: &Arc<Self>,
        view: &View,
        head: ForwardHead,
        body: Body,
        until: Tick,
    ) -> Answer {
        let Some(table) = view.tables.get(&self.service) else {
            return failed_answer(&self.shared, Outcome::NotRun, "the service has no table");
        };
        let shard = table.shard(head.key);
        self.counter
            .record_request(self.shared.clock.unix(), shard, head.key);
        let payload = match Payload::read(&head, body).await {
            Ok(payload) => payload,
            Err(reason) => return failed_answer(&self.shared, Outcome::NotRun, &reason),
        };
        let mut request = Request::new(shard, until);
        if let Some(id) = &head.id {
            request = request.id(id.clone(), payload.digest(&head));
        }
        if head.idempotent {
            request = request.idempotent();
        }
        let now = self.shared.clock.now();
        let (sender, notices) = async_channel::unbounded();
        let decision = {
            let mut inner = self.lock();
            let decision = inner.admission.offer(now, request);
            let id = match &decision {
                Decision::Start(ticket) => Some(ticket.id()),
                Decision::Queued(id) => Some(*id),
                _ => None,
            };
            if let Some(id) = id {
                inner.waiters.insert(id, sender);
            }
            decision
        };
        let (id, ticket) = match decision {
            Decision::Start(ticket) => (ticket.id(), Some(ticket)),
            Decision::Queued(id) => (id, None),
            other => return self.answer_refused(shard, &other),
        };
        self.wake();
        let job = Job {
            driver: Arc::clone(self),
            head,
            payload,
            shard,
            id,
            notices,
            until,
        };
        if job.head.idempotent {
            return job.run(ticket).await;
        }
        // A request that is not idempotent runs in a task of its own: it must run to its end even
        // if the caller disconnects, so that its outcome is recorded.
        let (answered, answer) = async_channel::bounded(1);
        smol::spawn(async move {
            let _ = answered.send(job.run(ticket).await).await;
        })
        .detach();
        match answer.recv().await {
            Ok(answer) => answer,
            Err(_) => failed_answer(&self.shared, Outcome::Unknown, "the request was given up"),
        }
    }

    fn answer_refused(&self, shard: Shard, decision: &Decision) -> Answer {
        // A lost upstream sheds requests as unavailable until it sheds them as moved. The successor
        // is named in both cases.
        if let Decision::Shed(ShedReason::Moved | ShedReason::Unavailable, _) = decision
            && let Some(to) = self.lock().admission.ownership().successor(shard).cloned()
        {
            let revision = self.shared.view().revision;
            let moved = AnswerHead::Moved {
                upstream: to,
                revision,
            };
            return (moved, trefoil_wire::body::empty());
        }
        let outcome = decision.outcome().unwrap_or(Outcome::Unknown);
        let reason = match decision {
            Decision::Shed(why, _) if why.is_final() => format!("the request was shed: {why}"),
            Decision::Shed(why, _) => {
                return failed_answer(
                    &self.shared,
                    outcome,
                    &format!("the request was shed: {why}"),
                );
            }
            Decision::Duplicate(record) => return self.answer_duplicate(*record),
            Decision::InFlight => {
                let detail = "a request with this id is being executed; repeat it later";
                return self.answer_problem(&Problem {
                    outcome,
                    ..Problem::not_run(StatusCode::CONFLICT, detail)
                });
            }
            Decision::Conflict => {
                let detail = "another request was seen under this id";
                return self
                    .answer_problem(&Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, detail));
            }
            Decision::Start(_) | Decision::Queued(_) => String::new(),
        };
        final_answer(&self.shared, outcome, &reason)
    }

    /// Answers with a problem document. The ingress does not forward the request again, because the
    /// document counts as an answer and not as a failure.
    fn answer_problem(&self, problem: &Problem) -> Answer {
        let (parts, document) = problem.document().into_parts();
        let head = AnswerHead::Answer {
            status: parts.status.as_u16(),
            headers: end_to_end_headers(&parts.headers),
            outcome: problem.outcome,
            revision: self.shared.view().revision,
        };
        (head, trefoil_wire::body::full(document))
    }

    /// Answers a duplicate of a request that has finished. The body of the first answer is not
    /// kept.
    fn answer_duplicate(&self, record: Record) -> Answer {
        let revision = self.shared.view().revision;
        let head = match record.status {
            Some(status) => AnswerHead::Answer {
                status: status.0,
                headers: vec![("trefoil-repeat".to_owned(), b"1".to_vec())],
                outcome: record.outcome,
                revision,
            },
            None => AnswerHead::failed(record.outcome, "repeat of a finished request", revision)
                .mark_final(),
        };
        (head, trefoil_wire::body::empty())
    }
}

/// The slot of a started request. Dropping the guard, for example because the caller disconnected,
/// releases the slot; the attempt then counts as abandoned, or as not written if no byte was.
#[derive(Debug)]
pub(super) struct SlotGuard {
    driver: Arc<Driver>,
    ticket: Option<Ticket>,
    written: bool,
}

impl SlotGuard {
    fn new(driver: &Arc<Driver>, ticket: Ticket) -> Self {
        Self {
            driver: Arc::clone(driver),
            ticket: Some(ticket),
            written: false,
        }
    }

    /// Marks that a part of the request may have been written.
    pub(super) fn mark_written(&mut self) {
        self.written = true;
    }

    /// Returns whether the request may be written to a connection now.
    pub(super) fn may_write(&self) -> bool {
        let now = self.driver.shared.clock.now();
        let inner = self.driver.lock();
        self.ticket
            .as_ref()
            .is_some_and(|t| inner.admission.check_write(now, t).is_ok())
    }

    /// Releases the slot and finishes the attempt with a cause.
    pub(super) fn finish(mut self, cause: Cause) -> Option<Report> {
        self.ticket
            .take()
            .and_then(|ticket| self.driver.finish(ticket, cause))
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let cause = if self.written {
                Cause::Abandoned
            } else {
                Cause::NothingWritten
            };
            let report = self.driver.finish(ticket, cause);
            if let Some(Report::Retry(id)) = report {
                self.driver.cancel(id);
            }
        }
    }
}

/// One admitted request.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) driver: Arc<Driver>,
    pub(super) head: ForwardHead,
    pub(super) payload: Payload,
    pub(super) shard: Shard,
    id: TicketId,
    pub(super) notices: Receiver<Notice>,
    pub(super) until: Tick,
}

impl Drop for Job {
    fn drop(&mut self) {
        let mut inner = self.driver.lock();
        inner.waiters.remove(&self.id);
        drop(inner);
        // Removes the request from the queue if its caller disconnected. This has no effect on a
        // request that has ended.
        self.driver.cancel(self.id);
    }
}

impl Job {
    async fn run(mut self, mut ticket: Option<Ticket>) -> Answer {
        loop {
            let ready = match ticket.take() {
                Some(ready) => ready,
                None => match self.notices.recv().await {
                    Ok(Notice::Start(ready)) => ready,
                    Ok(Notice::Dropped(dropped)) => return self.answer_dropped(dropped),
                    Ok(Notice::Expired | Notice::Close) => continue,
                    Err(_) => {
                        let reason = "the dispatcher stopped";
                        return failed_answer(&self.driver.shared, Outcome::NotRun, reason);
                    }
                },
            };
            let slot = SlotGuard::new(&self.driver, ready);
            match self.attempt(slot).await {
                exchange::Attempt::Answer(answer) => return answer,
                exchange::Attempt::Ended(cause, Some(Report::Answer(record))) => {
                    let reason = cause.to_string();
                    return final_answer(&self.driver.shared, record.outcome, &reason);
                }
                exchange::Attempt::Ended(_, Some(Report::Retry(_))) => {}
                exchange::Attempt::Ended(cause, None) => {
                    return failed_answer(
                        &self.driver.shared,
                        Outcome::Unknown,
                        &cause.to_string(),
                    );
                }
            }
        }
    }

    fn answer_dropped(&self, dropped: Dropped) -> Answer {
        let reason = format!("the request was shed: {}", dropped.reason);
        let answer = if dropped.reason.is_final() {
            final_answer
        } else {
            failed_answer
        };
        answer(&self.driver.shared, dropped.outcome, &reason)
    }
}
