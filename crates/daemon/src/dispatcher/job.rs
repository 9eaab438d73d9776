//! One request at a dispatcher, from its offer to its answer.

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
use super::{Answer, exchange, failed, settled};
use crate::problem::Problem;
use crate::request::end_to_end_headers;

impl Driver {
    /// Answers a forwarded request.
    pub async fn handle(
        self: &Arc<Self>,
        view: &View,
        head: ForwardHead,
        body: Body,
        until: Tick,
    ) -> Answer {
        let Some(table) = view.tables.get(&self.service) else {
            return failed(&self.shared, Outcome::NotRun, "the service has no table");
        };
        let shard = table.shard(head.key);
        self.counter
            .count(self.shared.clock.unix(), shard, head.key);
        let payload = match Payload::read(&head, body).await {
            Ok(payload) => payload,
            Err(reason) => return failed(&self.shared, Outcome::NotRun, &reason),
        };
        let mut request = Request::new(shard, until);
        if let Some(id) = &head.id {
            request = request.id(id.clone(), payload.digest(&head));
        }
        if head.idempotent {
            request = request.idempotent();
        }
        let now = self.shared.clock.now();
        let (sender, signals) = async_channel::unbounded();
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
            other => return self.refused(shard, &other),
        };
        self.wake();
        let job = Job {
            driver: Arc::clone(self),
            head,
            payload,
            shard,
            id,
            signals,
            until,
        };
        if job.head.idempotent {
            return job.run(ticket).await;
        }
        // The caller may go away, but a request that is not idempotent runs to its end so that its
        // outcome is learnt.
        let (answered, answer) = async_channel::bounded(1);
        smol::spawn(async move {
            let _ = answered.send(job.run(ticket).await).await;
        })
        .detach();
        match answer.recv().await {
            Ok(answer) => answer,
            Err(_) => failed(&self.shared, Outcome::Unknown, "the request was given up"),
        }
    }

    fn refused(&self, shard: Shard, decision: &Decision) -> Answer {
        // A lost upstream is reported as unavailable before it is as moved.
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
                return failed(
                    &self.shared,
                    outcome,
                    &format!("the request was shed: {why}"),
                );
            }
            Decision::Duplicate(record) => return self.repeated(*record),
            Decision::InFlight => {
                let detail = "a request with this id is being executed; repeat it later";
                return self.problem(&Problem {
                    outcome,
                    ..Problem::not_run(StatusCode::CONFLICT, detail)
                });
            }
            Decision::Conflict => {
                let detail = "another request was seen under this id";
                return self.problem(&Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, detail));
            }
            Decision::Start(_) | Decision::Queued(_) => String::new(),
        };
        settled(&self.shared, outcome, &reason)
    }

    /// Answers with a status of its own. The ingress does not forward such a request again, because
    /// this is an answer and no failure.
    fn problem(&self, problem: &Problem) -> Answer {
        let (parts, document) = problem.document().into_parts();
        let head = AnswerHead::Answer {
            status: parts.status.as_u16(),
            headers: end_to_end_headers(&parts.headers),
            outcome: problem.outcome,
            revision: self.shared.view().revision,
        };
        (head, trefoil_wire::body::full(document))
    }

    /// Answers a repeat of a request that has finished. The body of the first answer is not kept.
    fn repeated(&self, record: Record) -> Answer {
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

/// A started request. If it is dropped, because its caller has gone away, the slot is given back
/// and the request counts as abandoned, or as not written if it was not.
#[derive(Debug)]
pub(super) struct Held {
    driver: Arc<Driver>,
    ticket: Option<Ticket>,
    written: bool,
}

impl Held {
    fn new(driver: &Arc<Driver>, ticket: Ticket) -> Self {
        Self {
            driver: Arc::clone(driver),
            ticket: Some(ticket),
            written: false,
        }
    }

    /// Notes that from now on a part of the request may be written.
    pub(super) fn written(&mut self) {
        self.written = true;
    }

    /// Whether the request may be handed to a connection now.
    pub(super) fn may_write(&self) -> bool {
        let now = self.driver.shared.clock.now();
        let inner = self.driver.lock();
        self.ticket
            .as_ref()
            .is_some_and(|t| inner.admission.check_write(now, t).is_ok())
    }

    /// Reports the end of the attempt.
    pub(super) fn finish(mut self, cause: Cause) -> Option<Report> {
        self.ticket
            .take()
            .and_then(|ticket| self.driver.finish(ticket, cause))
    }
}

impl Drop for Held {
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
    pub(super) signals: Receiver<Notice>,
    pub(super) until: Tick,
}

impl Drop for Job {
    fn drop(&mut self) {
        let mut inner = self.driver.lock();
        inner.waiters.remove(&self.id);
        drop(inner);
        // Takes a request out of the queue whose caller has gone away. It has no effect on one that
        // has ended.
        self.driver.cancel(self.id);
    }
}

impl Job {
    async fn run(mut self, mut ticket: Option<Ticket>) -> Answer {
        loop {
            let ready = match ticket.take() {
                Some(ready) => ready,
                None => match self.signals.recv().await {
                    Ok(Notice::Start(ready)) => ready,
                    Ok(Notice::Dropped(dropped)) => return self.dropped(dropped),
                    Ok(Notice::Expired | Notice::Close) => continue,
                    Err(_) => {
                        let reason = "the dispatcher stopped";
                        return failed(&self.driver.shared, Outcome::NotRun, reason);
                    }
                },
            };
            let held = Held::new(&self.driver, ready);
            match self.attempt(held).await {
                exchange::Attempt::Answer(answer) => return answer,
                exchange::Attempt::Ended(cause, Some(Report::Answer(record))) => {
                    let reason = cause.to_string();
                    return settled(&self.driver.shared, record.outcome, &reason);
                }
                exchange::Attempt::Ended(_, Some(Report::Retry(_))) => {}
                exchange::Attempt::Ended(cause, None) => {
                    return failed(&self.driver.shared, Outcome::Unknown, &cause.to_string());
                }
            }
        }
    }

    fn dropped(&self, dropped: Dropped) -> Answer {
        let reason = format!("the request was shed: {}", dropped.reason);
        let answer = if dropped.reason.is_final() {
            settled
        } else {
            failed
        };
        answer(&self.driver.shared, dropped.outcome, &reason)
    }
}
