//! Causes of a request's outcome.

use std::fmt;

use derive_more::Display;
use prometheus_client::encoding::{EncodeLabelValue, LabelValueEncoder};

/// Cause of a request's outcome. Log lines and metrics use the same text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Cause {
    /// An upstream answered.
    #[display("answered")]
    Answered,
    /// The host has no configuration yet.
    #[display("no configuration")]
    NoConfig,
    /// The host does not know the evacuated domains yet.
    #[display("evacuations unknown")]
    NoEvacuations,
    /// The request has no `Host` header.
    #[display("no host named")]
    NoHost,
    /// No route of the configuration matches.
    #[display("no route")]
    NoRoute,
    /// The route selects no service.
    #[display("no service")]
    NoService,
    /// The service is keyed and the request has no key.
    #[display("no key")]
    NoKey,
    /// Every upstream is predicted to answer too late.
    #[display("upstreams are busy")]
    Busy,
    /// The owner of the key is predicted to answer too late.
    #[display("the owner is busy")]
    OwnerBusy,
    /// The owner of the key takes no more requests a second.
    #[display("the owner limits requests")]
    OwnerLimited,
    /// The owner of the key warms up, and there is no permit for the request.
    #[display("the owner warms up")]
    OwnerCold,
    /// All upstreams with room warm up, and there is no permit for the request.
    #[display("upstreams warm up")]
    Cold,
    /// The host stops, and its end may come before the answer.
    #[display("the host stops")]
    Stopping,
    /// The memory for requests or answers is in use.
    #[display("no memory")]
    NoMemory,
    /// The service has no usable upstream.
    #[display("no upstream")]
    NoUpstream,
    /// Every usable upstream has been tried.
    #[display("no other upstream")]
    NoOtherUpstream,
    /// No routes of the keyed service are known yet.
    #[display("no table")]
    NoTable,
    /// The key has no owner at present.
    #[display("the key moves")]
    NoOwner,
    /// The owner of the key is not in this host's directory.
    #[display("the owner is not listed")]
    OwnerUnlisted,
    /// Every ready upstream of the service is in an evacuated failure domain.
    #[display("every upstream is evacuated")]
    Evacuated,
    /// The owner of the key is in an evacuated failure domain.
    #[display("the owner is evacuated")]
    OwnerEvacuated,
    /// The owner of the key is draining.
    #[display("the owner leaves")]
    OwnerDraining,
    /// Another upstream answers at the address of the owner.
    #[display("the owner has ended")]
    OwnerReplaced,
    /// The deadline passed before the request could be sent.
    #[display("deadline")]
    Deadline,
    /// The upstream had not answered by the deadline.
    #[display("no answer in time")]
    NoAnswer,
    /// The attempt limits or the retry budget allow no further attempt.
    #[display("no repeat left")]
    NoRetry,
    /// The attempt may have run, and the request must not run twice.
    #[display("broken off")]
    MayHaveRun,
    /// The task of the request could not be started.
    #[display("not started")]
    NotStarted,
    /// The caller closed the connection before the answer.
    #[display("caller gone")]
    CallerGone,
    /// The upstream broke off a streamed answer after its first byte was sent to the caller.
    #[display("response broken off")]
    ResponseBroken,
    /// The caller of a streamed answer stopped reading.
    #[display("caller does not read")]
    CallerStalled,
    /// The route's timeout passed before a streamed answer was sent completely.
    #[display("response not sent in time")]
    ResponseLate,
}

impl EncodeLabelValue for Cause {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        fmt::Write::write_fmt(encoder, format_args!("{self}"))
    }
}

/// Outcome that the caller received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Ending {
    /// The answer of an upstream.
    #[display("answered")]
    Answered,
    /// The request has not run and will not.
    #[display("refused")]
    Refused,
    /// The effect of the request is unknown.
    #[display("unknown")]
    Unknown,
    /// None: the caller had closed the connection.
    #[display("cancelled")]
    Cancelled,
    /// A part of the answer of an upstream.
    #[display("broken off")]
    BrokenOff,
}

impl EncodeLabelValue for Ending {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        fmt::Write::write_fmt(encoder, format_args!("{self}"))
    }
}
