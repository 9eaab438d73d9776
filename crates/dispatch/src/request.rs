//! Requests as the dispatcher sees them.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use trefoil_core::{Outcome, RequestId, Shard, Tick};

use crate::Status;

/// Digest of a request's method, path and body. Two requests under one id are the same request only
/// if their digests are equal.
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
    /// A request for a key of `shard` that must be answered by `deadline`. It has no id and counts
    /// as non-idempotent until [`Request::idempotent`] says otherwise.
    pub fn new(shard: Shard, deadline: Tick) -> Self {
        Self {
            shard,
            deadline,
            id: None,
            digest: Digest::default(),
            idempotent: false,
        }
    }

    /// Sets the caller's id and the digest that belongs to it.
    #[must_use]
    pub fn id(mut self, id: RequestId, digest: Digest) -> Self {
        self.id = Some(id);
        self.digest = digest;
        self
    }

    /// Declares that a repeat does no harm.
    #[must_use]
    pub fn idempotent(mut self) -> Self {
        self.idempotent = true;
        self
    }

    /// The shard of the request's key.
    pub fn shard(&self) -> Shard {
        self.shard
    }

    /// The tick by which the caller needs the answer.
    pub fn deadline(&self) -> Tick {
        self.deadline
    }

    /// Whether a repeat does no harm.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// The caller's id.
    pub fn request_id(&self) -> Option<&RequestId> {
        self.id.as_ref()
    }
}

/// The final judgement of a request, as it is remembered for repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What the caller was told.
    pub outcome: Outcome,
    /// Status of the upstream's answer. The answer itself is not kept.
    pub status: Option<Status>,
}

impl Record {
    /// A record without an answer.
    pub fn of(outcome: Outcome) -> Self {
        Self {
            outcome,
            status: None,
        }
    }
}

/// Why a request was not admitted, or left the queue without being started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum ShedReason {
    /// The deadline has passed.
    #[display("expired")]
    Expired,
    /// The deadline cannot be met with the observed service time and the present queue.
    #[display("too late")]
    TooLate,
    /// The queue is full.
    #[display("queue full")]
    QueueFull,
    /// The outcome memory holds as many ids in flight as it may.
    #[display("memory full")]
    MemoryFull,
    /// The caller cancelled the request before it was started.
    #[display("cancelled")]
    Cancelled,
    /// The request is not idempotent and may have run earlier, or its id was minted in the future:
    /// the outcome memory does not cover the id.
    #[display("forgotten")]
    NotCovered,
    /// The previous owner of the shard has seen the id.
    #[display("repeat")]
    Duplicate,
    /// The upstream is draining or lost.
    #[display("unavailable")]
    Unavailable,
    /// The upstream does not own the shard, or no longer.
    #[display("moved")]
    Moved,
}

impl ShedReason {
    /// What the caller is told, if no attempt was started.
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

    /// Whether the caller is told. A request that the ingress sends to another upstream under the
    /// same id has not received its final answer, so its id must not be recorded here. An ingress
    /// that gives up on a request with an id tells "unknown": another copy of the request may have
    /// run, and no memory was asked.
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
