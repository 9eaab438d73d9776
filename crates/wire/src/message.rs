//! Heads of forwarded requests and of their answers.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use trefoil_core::{KeyHash, Outcome, RequestId, Revision, ServiceName, UpstreamName};

use crate::codec::{self, CodecError};

/// Largest number of headers in a head.
pub const HEADERS_MAX: usize = 100;

/// Longest method, in bytes.
pub const METHOD_MAX: usize = 32;

/// Longest [`AnswerHead::Failed`] reason and longest trace context, in bytes.
pub const TEXT_MAX: usize = 512;

/// Header names with their values, in the order of the message.
pub type Headers = Vec<(String, Vec<u8>)>;

/// Head of a request that an ingress forwards to a dispatcher.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardHead {
    /// Service of the key.
    pub service: ServiceName,
    /// Owner of the key according to the sender's view.
    pub upstream: UpstreamName,
    /// Hash of the key.
    pub key: KeyHash,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers for the upstream.
    pub headers: Headers,
    /// Request id from the caller (`Idempotency-Key`).
    pub id: Option<RequestId>,
    /// True if the request may be executed more than once.
    pub idempotent: bool,
    /// Time left until the deadline when the head is sent. A duration needs no synchronized clocks.
    pub budget: Duration,
    /// W3C trace context of the sender's span (`traceparent`).
    pub trace: Option<String>,
    /// Revision of the sender's view.
    pub revision: Revision,
}

/// Head of the answer to a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerHead {
    /// The upstream's answer; its body follows.
    Answer {
        /// HTTP status.
        status: u16,
        /// Headers of the upstream.
        headers: Headers,
        /// Outcome reported to the caller.
        outcome: Outcome,
        /// Revision of the dispatcher's view.
        revision: Revision,
    },
    /// The upstream gave no answer.
    Failed {
        /// Outcome reported to the caller.
        outcome: Outcome,
        /// Short reason, truncated to [`TEXT_MAX`] bytes.
        reason: String,
        /// Revision of the dispatcher's view.
        revision: Revision,
        /// True if the outcome holds for the request as a whole. Otherwise "not run" holds for this
        /// attempt only: another host may accept the request, and if it has an id, an earlier copy
        /// of it may have run.
        is_final: bool,
    },
    /// Another upstream owns the key; the request did not run.
    Moved {
        /// The owner of the key.
        upstream: UpstreamName,
        /// Revision of the dispatcher's view.
        revision: Revision,
    },
}

fn check_rules(rules: &[(bool, &str)]) -> Result<(), CodecError> {
    match rules.iter().find(|(ok, _)| !ok) {
        Some((_, rule)) => Err(CodecError::Invalid {
            reason: (*rule).to_owned(),
        }),
        None => Ok(()),
    }
}

impl ForwardHead {
    fn check(&self) -> Result<(), CodecError> {
        check_rules(&[
            (!self.method.is_empty(), "method must not be empty"),
            (self.method.len() <= METHOD_MAX, "method is too long"),
            (self.path.starts_with('/'), "path must start with '/'"),
            (self.headers.len() <= HEADERS_MAX, "too many headers"),
            (
                self.trace.as_ref().is_none_or(|t| t.len() <= TEXT_MAX),
                "trace context is too long",
            ),
        ])
    }

    /// Encodes the head after checking its limits.
    ///
    /// # Errors
    ///
    /// Fails if the head violates a limit.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        self.check()?;
        codec::encode(self)
    }

    /// Decodes a head and checks its limits.
    ///
    /// # Errors
    ///
    /// Fails if the bytes do not encode a head or the head violates a limit.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        let head: Self = codec::decode(bytes)?;
        head.check()?;
        Ok(head)
    }
}

impl AnswerHead {
    /// Creates the head for a request without an answer from the upstream. Truncates a long reason.
    pub fn failed<R>(outcome: Outcome, reason: R, revision: Revision) -> Self
    where
        R: Into<String>,
    {
        let mut reason = reason.into();
        reason.truncate(reason.floor_char_boundary(TEXT_MAX));
        Self::Failed {
            outcome,
            reason,
            revision,
            is_final: false,
        }
    }

    /// Marks a failure as the final outcome of the request.
    #[must_use]
    pub fn mark_final(mut self) -> Self {
        if let Self::Failed { is_final, .. } = &mut self {
            *is_final = true;
        }
        self
    }

    /// Returns the revision of the answering host's view.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Answer { revision, .. }
            | Self::Failed { revision, .. }
            | Self::Moved { revision, .. } => *revision,
        }
    }

    fn check(&self) -> Result<(), CodecError> {
        match self {
            Self::Answer {
                status, headers, ..
            } => check_rules(&[
                (
                    (100..1000).contains(status),
                    "status must be between 100 and 999",
                ),
                (headers.len() <= HEADERS_MAX, "too many headers"),
            ]),
            Self::Failed { reason, .. } => {
                check_rules(&[(reason.len() <= TEXT_MAX, "reason is too long")])
            }
            Self::Moved { .. } => Ok(()),
        }
    }

    /// Encodes the head after checking its limits.
    ///
    /// # Errors
    ///
    /// Fails if the head violates a limit.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        self.check()?;
        codec::encode(self)
    }

    /// Decodes a head and checks its limits.
    ///
    /// # Errors
    ///
    /// Fails if the bytes do not encode a head or the head violates a limit.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        let head: Self = codec::decode(bytes)?;
        head.check()?;
        Ok(head)
    }
}
