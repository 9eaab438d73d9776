//! Messages between hosts, and the effects that the caller of this crate must carry out.
//!
//! The serde derives of the messages use no attribute that postcard does not support. A message
//! does not name its sender: the transport knows it from the connection, and passes it as a
//! [`Peer`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use trefoil_core::{HostId, Term, Tick, Token, UpstreamName};

use crate::records::{Generation, WitnessIndex};

/// Sender of a message, as authenticated by the transport.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// Incarnation that sent the message.
    pub host: HostId,
    /// Address that this incarnation serves, according to its record in the log.
    pub address: SocketAddr,
}

/// Final statement of a witness about one generation of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// No promise of this witness is outstanding, and it gives no other.
    Expired,
    /// The holder has closed the generation, so it relies on the next one.
    Closed,
    /// No promise of this witness is outstanding, but its earlier process may have closed the
    /// generation.
    ExpiredOrClosed,
}

/// Verdict of a witness, sent to the recorded successors until they acknowledge it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attestation {
    /// Incarnation that holds the lease.
    pub holder: HostId,
    /// Generation that the verdict is about.
    pub generation: Generation,
    /// Index of the witness in the lease. A later process at its address may attest in its place.
    pub witness: WitnessIndex,
    /// Verdict of the witness.
    pub verdict: Verdict,
    /// True if a heartbeat stated that the holder cannot act without this generation.
    pub relied_on: bool,
}

/// Reason for which a witness gives no promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The expiry has been attested. The answer never changes.
    Expired,
    /// The generation has been closed. The answer never changes.
    Superseded,
    /// The record names an earlier process at this address. The answer never changes.
    Replaced,
    /// The witness has not read the record, or its entries are at capacity.
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
        /// True if the holder cannot act without this generation.
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
        /// Reason of the refusal.
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
    /// Witness to successor: a verdict, repeated until it is acknowledged.
    Attest(Attestation),
    /// Successor to witness: acknowledges the verdict.
    AttestAck(Attestation),
    /// Ranked host to a host of an earlier term: asks it to renounce the terms before `term`.
    Renounce {
        /// Upstream whose term changed.
        upstream: UpstreamName,
        /// The sender's term.
        term: Term,
    },
    /// Answer to [`Message::Renounce`]: the sender acts under no term before this one.
    Renounced {
        /// Upstream whose term changed.
        upstream: UpstreamName,
        /// Term of the request.
        term: Term,
    },
}

/// Action that the caller must carry out, or a change that it must observe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message.
    Send {
        /// Receiver. The message goes to the address that the log has for this incarnation.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// The end of the lease has changed, and the kernel timer is to be armed for it. A change of
    /// generation can move it to an earlier tick.
    Extended {
        /// First tick at which the host may not act.
        until: Tick,
    },
    /// The lease has run out. The process must restart under a new [`HostId`], but not before
    /// [`Witness::outstanding_promises`](crate::Witness::outstanding_promises) is zero.
    Ended,
    /// A majority refused the next generation, for example because it expired before it could be
    /// used. The incarnation keeps its witnesses and cannot replace them; the process should drain
    /// and restart.
    ChangeFailed {
        /// The refused generation.
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
    /// A newer term names another dispatcher. The caller admits no further requests, waits until
    /// the requests in flight have finished, and then reports that through
    /// [`Succession::mark_drained`](crate::Succession::mark_drained).
    Drain {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// A peer has read records of the log that this host has not: read the log, or the records of
    /// that peer.
    CatchUp,
}
