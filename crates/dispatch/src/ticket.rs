//! Handles and results of admission.

use std::sync::atomic::{AtomicU64, Ordering};

use derive_more::Display;
use smallvec::SmallVec;
use snafu::Snafu;
use trefoil_core::Outcome;

use crate::{Record, Release, ShedReason, Verdict};

/// Identifies an admitted request at one upstream. It grants nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct TicketId(pub(crate) u64);

/// The right to run one request on one slot.
///
/// It cannot be copied, and [`Admission::finish`](crate::Admission::finish) consumes it, so a
/// request cannot be finished twice.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the slot stays occupied until the ticket is finished"]
pub struct Ticket {
    pub(crate) id: TicketId,
    /// The admission that issued the ticket.
    pub(crate) issuer: Issuer,
}

/// Number of an admission in this process, so that a ticket cannot free a slot of another upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Issuer(u64);

impl Issuer {
    pub(crate) fn next() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        Self(NEXT.fetch_add(1, Ordering::Relaxed))
    }
}

impl Ticket {
    /// The id of the request, which it also had in the queue.
    pub fn id(&self) -> TicketId {
        self.id
    }
}

/// The answer to an offered request.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a started ticket must be finished"]
pub enum Decision {
    /// Send the request now.
    Start(Ticket),
    /// The request waits. It appears later in [`Actions::started`] or [`Actions::dropped`].
    Queued(TicketId),
    /// The request is not admitted, and this is what is known of its execution.
    Shed(ShedReason, Outcome),
    /// The request is a repeat of a finished one and does not run again.
    Duplicate(Record),
    /// The request is a repeat of one that is queued or running.
    InFlight,
    /// Another request was seen under the same id.
    Conflict,
}

impl Decision {
    /// What the caller is told about its request, or nothing if it has been admitted.
    ///
    /// A conflict is "not run": this request did not run, whatever became of the other one.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Start(_) | Self::Queued(_) => None,
            Self::Shed(_, outcome) => Some(*outcome),
            Self::Conflict => Some(Outcome::NotRun),
            Self::Duplicate(record) => Some(record.outcome),
            Self::InFlight => Some(Outcome::Unknown),
        }
    }
}

/// A queued request that was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dropped {
    /// The request.
    pub id: TicketId,
    /// Why it was not started.
    pub reason: ShedReason,
    /// What the caller is told: that of [`ShedReason::outcome`], or unknown if an earlier attempt or copy
    /// may have run.
    pub outcome: Outcome,
}

/// What the driver has to do.
#[derive(Debug, Default, PartialEq, Eq)]
#[must_use = "started tickets must be sent and dropped requests answered"]
pub struct Actions {
    /// Requests to send now.
    pub started: SmallVec<[Ticket; 4]>,
    /// Queued requests to answer now.
    pub dropped: SmallVec<[Dropped; 4]>,
    /// Running requests whose deadline has passed. Their callers are told "unknown" now; their
    /// tickets stay open for a late answer. A request that has not been written is finished with
    /// [`Cause::NothingWritten`](crate::Cause::NothingWritten) instead, and its caller is told "not
    /// run". Each is named once.
    pub expired: SmallVec<[TicketId; 4]>,
    /// Running requests whose connection is to be closed, and whose ticket is then to be finished.
    /// Each is named once.
    pub close: SmallVec<[TicketId; 4]>,
    /// Shards whose release may be sent to the new owner's dispatcher.
    pub releases: Vec<Release>,
}

/// What became of a finished attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    /// The caller is told this.
    Answer(Record),
    /// The request is queued for another attempt under the same id.
    Retry(TicketId),
}

/// Result of finishing a ticket.
#[derive(Debug, PartialEq, Eq)]
pub struct Finished {
    /// What became of the request.
    pub report: Report,
    /// The judgement of the request so far, and what the attempt says about the upstream, which is
    /// to be given to [`Health::on_signal`](crate::Health::on_signal). A timeout after a deadline that
    /// was too short says nothing.
    pub verdict: Verdict,
    /// What else the driver has to do.
    pub actions: Actions,
}

/// Result of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// The request was queued and is removed.
    Removed(Dropped),
    /// The request is running and idempotent: close its connection and finish its ticket.
    Close,
    /// The request is running and not idempotent: it continues, so that its outcome is learnt.
    Continues,
}

/// Why a request must not be handed to a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum WriteError {
    /// The deadline has passed.
    #[snafu(display("the deadline has passed"))]
    Deadline,
    /// The shard has been released to another owner.
    #[snafu(display("the shard has been released"))]
    Released,
    /// The upstream is lost, or is leaving and the time for its queue has passed.
    #[snafu(display("the upstream is lost or leaving"))]
    Unavailable,
}

/// Misuse of a handle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TicketError {
    /// The ticket or id does not belong to a request that is queued or running here.
    #[snafu(display("request {id} is neither queued nor running here"))]
    NotFound {
        /// The id.
        id: TicketId,
    },
}
