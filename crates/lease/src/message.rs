//! Messages between hosts, and what the caller of this crate must do.
//!
//! The messages carry serde derives without attributes that postcard cannot read. The sender is
//! not part of a message: the transport knows it from the connection, and passes it as a [`Peer`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use trefoil_core::{HostId, Term, Tick, Token, UpstreamName};

use crate::records::{Generation, WitnessIndex};

/// The sender of a message, as the transport has authenticated it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Incarnation that sent the message.
    pub host: HostId,
    /// Address that this incarnation serves, from its record in the log.
    pub address: SocketAddr,
}

/// What a witness says for good about one generation of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// No promise of this seat is outstanding, and the seat gives none again.
    Expired,
    /// The holder has closed the generation, so it relies on the next one.
    Closed,
    /// No promise of this seat is outstanding, but an earlier process may have closed the
    /// generation.
    ExpiredOrClosed,
}

/// A witness's verdict, sent to the recorded successors until they acknowledge it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attestation {
    /// Incarnation that holds the lease.
    pub holder: HostId,
    /// Generation that the verdict is about.
    pub generation: Generation,
    /// Index of the witness whose verdict this is.
    pub witness: WitnessIndex,
    /// What the witness says.
    pub verdict: Verdict,
    /// Whether a heartbeat has told the witness that the holder cannot act without this
    /// generation.
    pub relied_on: bool,
}

/// Why a witness gives no promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The expiry has been attested. The answer never changes.
    Expired,
    /// The generation has been closed. The answer never changes.
    Superseded,
    /// The seat belongs to an earlier process at this address. The answer never changes.
    Replaced,
    /// The witness has not read the record, or has no room for it.
    Unknown,
}

/// A message between two hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Holder to witness: asks for a promise.
    Heartbeat {
        /// Generation in which the receiver is a witness.
        generation: Generation,
        /// Send time on the holder's clock; the answer returns it.
        sent: Tick,
        /// Whether the holder cannot act without this generation.
        relied_on: bool,
    },
    /// Witness to holder: the expiry will not be attested for the duration of the lease.
    Promise {
        /// Generation of the heartbeat.
        generation: Generation,
        /// Send time of the heartbeat.
        sent: Tick,
    },
    /// Witness to holder: no promise is given, or the generation cannot be closed.
    Refused {
        /// Generation of the heartbeat or of the request to close.
        generation: Generation,
        /// Why.
        reason: Refusal,
    },
    /// Holder to witness: the holder moves on to the next generation.
    Close {
        /// Generation to close.
        generation: Generation,
    },
    /// Witness to holder: the expiry of this generation will never be attested.
    Closed {
        /// Closed generation.
        generation: Generation,
    },
    /// Witness to successor: a verdict.
    Attest(Attestation),
    /// Successor to witness: the verdict is kept.
    AttestAck(Attestation),
    /// Ranked host to a host of an earlier term: asks whether that host can still act there.
    Renounce {
        /// Upstream whose term changed.
        upstream: UpstreamName,
        /// The sender's term.
        term: Term,
    },
    /// Answer: the sender acts under no term before this one.
    Renounced {
        /// Upstream whose term changed.
        upstream: UpstreamName,
        /// Term of the question.
        term: Term,
    },
}

/// What the caller must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message.
    Send {
        /// Receiver. The message goes to the address that the log has for this incarnation.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// The end of the lease has moved, and the kernel timer is to be armed for it. At a change of
    /// generation it can move to an earlier tick.
    Extended {
        /// Last tick, exclusive, at which the host may act.
        until: Tick,
    },
    /// The lease has run out. The process must restart under a new [`HostId`], but not before
    /// [`Witness::outstanding_promises`](crate::Witness::outstanding_promises) is zero.
    Ended,
    /// The next generation expired before it could be used. The incarnation keeps its witnesses
    /// and cannot replace them; the process should drain and restart.
    ChangeFailed {
        /// The generation that expired.
        generation: Generation,
    },
    /// This host now acts for an upstream.
    Acquired {
        /// The upstream.
        upstream: UpstreamName,
        /// Fencing token of the role.
        token: Token,
    },
    /// This host no longer acts for an upstream, because its lease is about to end.
    Stopped {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// A newer term names another dispatcher. The caller admits nothing more, lets requests in
    /// flight finish, and then reports it through [`Succession::mark_drained`](crate::Succession::mark_drained).
    Drain {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// A peer has shown that the log has records which this host has not read.
    CatchUp,
}
