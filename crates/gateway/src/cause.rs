//! Why a request ended as it did.

use std::fmt;

use derive_more::Display;
use prometheus_client::encoding::{EncodeLabelValue, LabelValueEncoder};

/// Why a request ended as it did. The same text stands in log lines and in metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Cause {
    /// An upstream answered.
    #[display("answered")]
    Answered,
    /// The host has no configuration yet.
    #[display("no configuration")]
    NoConfig,
    /// The request names no host.
    #[display("no host named")]
    NoHost,
    /// No route of the configuration fits.
    #[display("no route")]
    NoRoute,
    /// The route leads to no service.
    #[display("no service")]
    NoService,
    /// The service is divided by keys and the request names none.
    #[display("no key")]
    NoKey,
    /// Every upstream would answer too late.
    #[display("upstreams are busy")]
    Busy,
    /// The owner of the key would answer too late.
    #[display("the owner is busy")]
    OwnerBusy,
    /// The service has no upstream that can be used.
    #[display("no upstream")]
    NoUpstream,
    /// Every upstream that can be used has been tried.
    #[display("no other upstream")]
    NoOtherUpstream,
    /// Nothing is known yet of who owns the keys of the service.
    #[display("no table")]
    NoTable,
    /// The key has no owner at present.
    #[display("the key moves")]
    NoOwner,
    /// The owner of the key is not in this host's directory.
    #[display("the owner is not listed")]
    OwnerUnlisted,
    /// The owner of the key is leaving.
    #[display("the owner leaves")]
    OwnerDraining,
    /// Another upstream answers at the address of the owner.
    #[display("the owner has ended")]
    OwnerReplaced,
    /// The time of the request was over before it could be sent.
    #[display("deadline")]
    Deadline,
    /// The upstream had not answered when the time of the request was over.
    #[display("no answer in time")]
    NoAnswer,
    /// The route or the budget of repeats does not allow another attempt.
    #[display("no repeat left")]
    NoRetry,
    /// The attempt may have run, and the request must not run twice.
    #[display("broken off")]
    MayHaveRun,
    /// The request could not be handed to its task.
    #[display("not started")]
    NotStarted,
    /// The caller closed the connection before the answer.
    #[display("caller gone")]
    CallerGone,
}

impl EncodeLabelValue for Cause {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        fmt::Write::write_fmt(encoder, format_args!("{self}"))
    }
}

/// What a caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Ending {
    /// The answer of an upstream.
    #[display("answered")]
    Answered,
    /// The request has not run and will not.
    #[display("refused")]
    Refused,
    /// Nothing is known of the request's effect.
    #[display("unknown")]
    Unknown,
    /// Nothing: the caller had gone.
    #[display("cancelled")]
    Cancelled,
}

impl EncodeLabelValue for Ending {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        fmt::Write::write_fmt(encoder, format_args!("{self}"))
    }
}
