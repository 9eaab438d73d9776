//! Mapping of the end of an attempt to the outcome that the caller may receive.
//!
//! "Not run" requires a proof. There are two proofs only: no byte of the request was handed to the
//! connection, or the upstream itself refused the request before it executed it and stated that
//! with the marker header. Every end between the first written byte and a whole answer gives
//! [`Outcome::Unknown`]: an upstream may act on a request whose body it has not read to the end, and
//! an answer that was cut off shows that the upstream worked on the request, but not that it
//! finished.
//!
//! A whole answer is [`Outcome::Done`] for every status. A 503 without the marker header is the
//! upstream's answer and no proof that nothing happened, so it is passed on and not retried. An
//! answer that is whole but late is also [`Outcome::Done`]: the upstream ran the request, and a
//! caller that is still connected receives the complete answer to its own request.
//!
//! A request with more than one attempt is judged over all of them. If the first attempt ended
//! unknown and the second was refused, the request may have run in the first one, so
//! [`Verdict::with_prior_run`] keeps the unknown.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use trefoil_core::Outcome;

/// End of one attempt on the upstream connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Cause {
    /// No connection to the upstream was established.
    #[display("not connected")]
    NotConnected,
    /// A connection existed, but no byte of the request was handed to it.
    #[display("nothing written")]
    NothingWritten,
    /// A part of the request was handed to the connection before it failed or was closed.
    #[display("partially written")]
    PartiallyWritten,
    /// The whole request was written and the connection ended without any byte of an answer.
    #[display("no answer")]
    NoAnswer,
    /// The request was at least partially written, and its deadline and the margin passed without a
    /// whole answer.
    #[display("timed out")]
    TimedOut,
    /// The request was at least partially written and this process closed the connection, because
    /// the caller cancelled it or the lease was about to end.
    #[display("abandoned")]
    Abandoned,
    /// A whole refusal with the marker header: the upstream did not execute the request.
    #[display("refused ({_0})")]
    Refused(Refusal),
    /// A whole answer within the deadline.
    #[display("answered {_0}")]
    Answered(Status),
    /// A whole answer after the deadline.
    #[display("answered late {_0}")]
    AnsweredLate(Status),
    /// The answer began and ended before it was whole, or it was not valid HTTP.
    #[display("answer cut off")]
    CutOff,
}

/// Reason for which an upstream refused a request before it executed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Refusal {
    /// The upstream sheds load (503 with `Trefoil-Refused: 1`).
    #[display("overload")]
    Overload,
    /// The fencing token or the grant is not valid (409 with `Trefoil-Refused: 1`).
    #[display("fence")]
    Fence,
}

/// HTTP status code of a whole answer.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    derive_more::From,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Status(pub u16);

impl Status {
    /// Returns true if the status reports no error of the upstream (below 500).
    pub fn is_success(self) -> bool {
        self.0 < 500
    }
}

/// Signal of an attempt about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Signal {
    /// The upstream answered, so it is alive.
    #[display("answer")]
    Answer,
    /// The upstream refused the request. It is alive, and is overloaded or has no valid grant.
    #[display("refusal")]
    Refusal,
    /// The upstream failed to answer.
    #[display("failure")]
    Failure,
    /// The attempt gives no information about the upstream.
    #[display("none")]
    None,
}

/// Verdict on one attempt, or on all attempts of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// Outcome that the caller may receive.
    pub outcome: Outcome,
    /// Status of the whole answer, if there was one.
    pub status: Option<Status>,
    /// True if the upstream may still work on the attempt. Its slot stays occupied until the
    /// request's deadline plus the declared margin.
    pub may_linger: bool,
    /// True if another attempt may be useful. Only idempotent requests are retried.
    pub retry: bool,
    /// True if the connection can carry another request.
    pub reuse: bool,
    /// Signal of the attempt about the upstream.
    pub signal: Signal,
}

impl Cause {
    /// Returns the verdict on an attempt.
    pub fn verdict(self) -> Verdict {
        let not_run = Verdict {
            outcome: Outcome::NotRun,
            status: None,
            may_linger: false,
            retry: true,
            reuse: false,
            signal: Signal::Failure,
        };
        let unknown = Verdict {
            outcome: Outcome::Unknown,
            may_linger: true,
            ..not_run
        };
        // No wildcard arm, so that a new cause does not compile without a verdict.
        match self {
            Self::NotConnected => not_run,
            // The local process did not write, which is no fault of the upstream.
            Self::NothingWritten => Verdict {
                signal: Signal::None,
                ..not_run
            },
            Self::Refused(Refusal::Overload) => Verdict {
                reuse: true,
                signal: Signal::Refusal,
                ..not_run
            },
            // A second attempt with the same token or grant would be refused again.
            Self::Refused(Refusal::Fence) => Verdict {
                retry: false,
                reuse: true,
                signal: Signal::Refusal,
                ..not_run
            },
            Self::PartiallyWritten | Self::NoAnswer | Self::CutOff => unknown,
            // The deadline has passed, so another attempt cannot meet it.
            Self::TimedOut => Verdict {
                retry: false,
                ..unknown
            },
            // This process ended the attempt, which is no signal about the upstream.
            Self::Abandoned => Verdict {
                retry: false,
                signal: Signal::None,
                ..unknown
            },
            Self::Answered(status) => Verdict {
                outcome: Outcome::Done,
                status: Some(status),
                may_linger: false,
                retry: false,
                reuse: true,
                signal: Signal::Answer,
            },
            // The timeout may already have closed the connection, so it is not used again.
            Self::AnsweredLate(status) => Verdict {
                outcome: Outcome::Done,
                status: Some(status),
                may_linger: false,
                retry: false,
                reuse: false,
                signal: Signal::Answer,
            },
        }
    }
}

impl Verdict {
    /// Returns the verdict on the request. `prior_run` is true if an earlier attempt ended unknown
    /// or another copy may have run.
    ///
    /// A refusal of the last attempt does not prove that an earlier one did not run.
    #[must_use]
    pub fn with_prior_run(self, prior_run: bool) -> Self {
        let outcome = match self.outcome {
            Outcome::NotRun if prior_run => Outcome::Unknown,
            other => other,
        };
        Self { outcome, ..self }
    }
}
