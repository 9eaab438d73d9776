//! Handles of admitted requests, and results of admission.

use std::sync::atomic::{AtomicU64, Ordering};

use derive_more::Display;
use smallvec::SmallVec;
use snafu::Snafu;
use trefoil_core::Outcome;

use crate::{Record, Release, ShedReason, Verdict};

/// Id of an admitted request at one upstream. It carries no permission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct TicketId(pub(crate) u64);

/// Permission to run one request on one slot.
///
/// It cannot be copied, and [`Admission::finish`](crate::Admission::finish) consumes it, so a
/// request cannot be finished twice.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the slot stays occupied until the ticket is finished"]
pub struct Ticket {
    pub(crate) id: TicketId,
    /// Admission that issued the ticket.
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
    /// Returns the id of the request, which is also its id in the queue.
    pub fn id(&self) -> TicketId {
        self.id
    }
}

/// Decision about an offered request.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a started ticket must be finished"]
pub enum Decision {
    /// The request is to be sent now.
    Start(Ticket),
    /// The request is queued. It appears later in [`Actions::started`] or [`Actions::dropped`].
    Queued(TicketId),
    /// The request is not admitted. The outcome is the one that the caller receives.
    Shed(ShedReason, Outcome),
    /// The request is a duplicate of a finished one and does not run again.
    Duplicate(Record),
    /// The request is a duplicate of one that is queued or running.
    InFlight,
    /// Another request was seen under the same id.
    Conflict,
}

impl Decision {
    /// Returns the outcome that the caller receives, or `None` if the request has been admitted.
    ///
    /// A conflict is "not run": this request did not run, independently of the other one.
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
    /// Reason for which it was not started.
    pub reason: ShedReason,
    /// Outcome that the caller receives: that of [`ShedReason::outcome`], or unknown if an earlier
    /// attempt or copy may have run.
    pub outcome: Outcome,
}

/// Actions that the driver must carry out.
#[derive(Debug, Default, PartialEq, Eq)]
#[must_use = "started tickets must be sent and dropped requests answered"]
pub struct Actions {
    /// Requests to send now.
    pub started: SmallVec<[Ticket; 4]>,
    /// Queued requests to answer now.
    pub dropped: SmallVec<[Dropped; 4]>,
    /// Running requests whose deadline has passed. Their callers now receive "unknown"; their
    /// tickets stay open for a late answer. A request that has not been written is finished with
    /// [`Cause::NothingWritten`](crate::Cause::NothingWritten) instead, and its caller receives
    /// "not run". Each request is listed once.
    pub expired: SmallVec<[TicketId; 4]>,
    /// Running requests whose connection is to be closed, and whose ticket is then to be finished.
    /// Each request is listed once.
    pub close: SmallVec<[TicketId; 4]>,
    /// Shards whose release may be sent to the new owner's dispatcher.
    pub releases: Vec<Release>,
}

/// Result of a finished attempt for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    /// The caller receives this outcome.
    Answer(Record),
    /// The request is queued for another attempt under the same id.
    Retry(TicketId),
}

/// Result of finishing a ticket.
#[derive(Debug, PartialEq, Eq)]
pub struct Finished {
    /// Result for the request.
    pub report: Report,
    /// Verdict on the request so far, with the signal of the attempt about the upstream, which is
    /// to be passed to [`Health::on_signal`](crate::Health::on_signal). A timeout after a deadline
    /// that was too short gives no signal.
    pub verdict: Verdict,
    /// Further actions of the driver.
    pub actions: Actions,
}

/// Result of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// The request was queued and is removed.
    Removed(Dropped),
    /// The request is running and idempotent: close its connection and finish its ticket.
    Close,
    /// The request is running and not idempotent: it continues, so that its outcome becomes known.
    Continues,
}

/// Reason for which a request must not be handed to a connection.
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

/// Error of a call with a ticket or id.
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
