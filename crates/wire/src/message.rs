//! Heads of forwarded requests and of their answers.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use trefoil_core::{KeyHash, Outcome, RequestId, Revision, ServiceName, UpstreamName};

use crate::codec::{self, CodecError};

/// Most headers of a head.
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
    /// Owner of the key in the sender's view.
    pub upstream: UpstreamName,
    /// Hash of the key.
    pub key: KeyHash,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers for the upstream.
    pub headers: Headers,
    /// The caller's request id.
    pub id: Option<RequestId>,
    /// Whether a repeated execution does no harm.
    pub idempotent: bool,
    /// Time until the deadline, measured when the head is sent. Clocks of hosts are not compared.
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
        /// What the caller is told.
        outcome: Outcome,
        /// Revision of the dispatcher's view.
        revision: Revision,
    },
    /// There is no answer of the upstream.
    Failed {
        /// What the caller is told.
        outcome: Outcome,
        /// Short reason, cut at [`TEXT_MAX`] bytes.
        reason: String,
        /// Revision of the dispatcher's view.
        revision: Revision,
        /// Whether this is the dispatcher's final word on the request. Any other "not run" holds for
        /// this attempt only: another host may take the request, and of a request with an id an
        /// earlier copy may have run.
        is_final: bool,
    },
    /// The key has another owner; the request did not run.
    Moved {
        /// The owner.
        upstream: UpstreamName,
        /// Revision of the dispatcher's view.
        revision: Revision,
    },
}

fn check(rules: &[(bool, &str)]) -> Result<(), CodecError> {
    match rules.iter().find(|(ok, _)| !ok) {
        Some((_, rule)) => Err(CodecError::Invalid {
            reason: (*rule).to_owned(),
        }),
        None => Ok(()),
    }
}

impl ForwardHead {
    fn check(&self) -> Result<(), CodecError> {
        check(&[
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

    /// Encodes the head.
    ///
    /// # Errors
    ///
    /// Fails if the head breaks a limit.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        self.check()?;
        codec::encode(self)
    }

    /// Decodes a head and checks its limits.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no head or the head breaks a limit.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        let head: Self = codec::decode(bytes)?;
        head.check()?;
        Ok(head)
    }
}

impl AnswerHead {
    /// The answer to a request that has no answer of the upstream. A long reason is cut.
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

    /// Marks a failure as the dispatcher's final word on the request.
    #[must_use]
    pub fn mark_final(mut self) -> Self {
        if let Self::Failed { is_final, .. } = &mut self {
            *is_final = true;
        }
        self
    }

    /// Revision of the answering host's view.
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
            } => check(&[
                (
                    (100..1000).contains(status),
                    "status must be between 100 and 999",
                ),
                (headers.len() <= HEADERS_MAX, "too many headers"),
            ]),
            Self::Failed { reason, .. } => {
                check(&[(reason.len() <= TEXT_MAX, "reason is too long")])
            }
            Self::Moved { .. } => Ok(()),
        }
    }

    /// Encodes the head.
    ///
    /// # Errors
    ///
    /// Fails if the head breaks a limit.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        self.check()?;
        codec::encode(self)
    }

    /// Decodes a head and checks its limits.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no head or the head breaks a limit.
    pub fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        let head: Self = codec::decode(bytes)?;
        head.check()?;
        Ok(head)
    }
}
