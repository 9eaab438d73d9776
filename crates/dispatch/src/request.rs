//! Requests to one upstream and their recorded outcomes.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use trefoil_core::{Outcome, RequestId, Shard, Tick};

use crate::Status;

/// Digest of a request's method, path and body. Two requests under one id are duplicates only if
/// their digests are equal.
///
/// The driver computes it with a 128-bit hash. A caller that constructs a collision harms only its
/// own request, so the hash does not need to be cryptographic.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display, From, Into, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Digest(pub u128);

/// A request for one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    pub(crate) shard: Shard,
    pub(crate) deadline: Tick,
    pub(crate) id: Option<RequestId>,
    pub(crate) digest: Digest,
    pub(crate) idempotent: bool,
}

impl Request {
    /// Creates a request for a key of `shard` that must be answered by `deadline`. It has no id,
    /// and is non-idempotent until [`Request::idempotent`] is called.
    pub fn new(shard: Shard, deadline: Tick) -> Self {
        Self {
            shard,
            deadline,
            id: None,
            digest: Digest::default(),
            idempotent: false,
        }
    }

    /// Sets the caller's id and the digest of the request.
    #[must_use]
    pub fn id(mut self, id: RequestId, digest: Digest) -> Self {
        self.id = Some(id);
        self.digest = digest;
        self
    }

    /// Declares that a second execution does no harm.
    #[must_use]
    pub fn idempotent(mut self) -> Self {
        self.idempotent = true;
        self
    }

    /// Returns the shard of the request's key.
    pub fn shard(&self) -> Shard {
        self.shard
    }

    /// Returns the tick by which the caller needs the answer.
    pub fn deadline(&self) -> Tick {
        self.deadline
    }

    /// Returns true if a second execution does no harm.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// Returns the caller's id.
    pub fn request_id(&self) -> Option<&RequestId> {
        self.id.as_ref()
    }
}

/// Final outcome of a request, as recorded for duplicates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Outcome that the caller received.
    pub outcome: Outcome,
    /// Status of the upstream's answer, of which nothing else is kept.
    pub status: Option<Status>,
}

impl Record {
    /// Creates a record without an answer.
    pub fn of(outcome: Outcome) -> Self {
        Self {
            outcome,
            status: None,
        }
    }
}

/// Reason for which a request was not admitted, or left the queue without being started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum ShedReason {
    /// The deadline has passed.
    #[display("expired")]
    Expired,
    /// The deadline cannot be met with the observed service time and the current queue.
    #[display("too late")]
    TooLate,
    /// The queue is full.
    #[display("queue full")]
    QueueFull,
    /// Half of the capacity of the outcome memory is in flight.
    #[display("memory full")]
    MemoryFull,
    /// The caller cancelled the request before it was started.
    #[display("cancelled")]
    Cancelled,
    /// The outcome memory does not cover the id: the request is not idempotent and may have run
    /// earlier, or the id was minted in the future.
    #[display("forgotten")]
    NotCovered,
    /// The previous owner of the shard has recorded the id.
    #[display("repeat")]
    Duplicate,
    /// The upstream is draining or lost.
    #[display("unavailable")]
    Unavailable,
    /// The upstream does not own the shard.
    #[display("moved")]
    Moved,
}

impl ShedReason {
    /// Returns the outcome that the caller receives if no attempt was started.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::NotCovered | Self::Duplicate => Outcome::Unknown,
            Self::Expired
            | Self::TooLate
            | Self::QueueFull
            | Self::MemoryFull
            | Self::Cancelled
            | Self::Unavailable
            | Self::Moved => Outcome::NotRun,
        }
    }

    /// Returns true if the outcome is the caller's final answer. Otherwise the ingress sends the
    /// request to another upstream under the same id, so the id must not be recorded here. An
    /// ingress that finds no other upstream for a request with an id answers "unknown": another
    /// copy of the request may have run, and no outcome memory was consulted.
    pub fn is_final(self) -> bool {
        match self {
            Self::Expired
            | Self::TooLate
            | Self::QueueFull
            | Self::MemoryFull
            | Self::Cancelled
            | Self::NotCovered
            | Self::Duplicate => true,
            Self::Unavailable | Self::Moved => false,
        }
    }
}
