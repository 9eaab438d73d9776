//! Errors of requests to peers, with the proof that a request did not run where there is one.

use std::net::SocketAddr;

use snafu::Snafu;

use crate::code;
use crate::codec::CodecError;

/// Longest reason in an error, in bytes.
const REASON_MAX: usize = 256;

/// Formats an error for a log line: on one line and at most [`REASON_MAX`] bytes long. The peer
/// chooses the reason with which it closes a connection, so that reason can be long and contain
/// line breaks.
pub(crate) fn log_text<E>(error: E) -> String
where
    E: std::fmt::Display,
{
    let mut text = error.to_string().replace(char::is_control, " ");
    text.truncate(text.floor_char_boundary(REASON_MAX));
    text
}

/// Failure of a request to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PeerError {
    /// No connection could be established.
    #[snafu(display("cannot connect to {to}: {reason}"))]
    Connect {
        /// Address of the peer.
        to: SocketAddr,
        /// Message of the transport.
        reason: String,
    },
    /// This host does not accept the peer's certificate.
    #[snafu(display("certificate of {to} is not accepted: {reason}"))]
    Untrusted {
        /// Address of the peer.
        to: SocketAddr,
        /// Message of the TLS library.
        reason: String,
    },
    /// The peer does not accept this host's certificate.
    #[snafu(display("{to} does not accept this host's certificate: {reason}"))]
    CertificateRefused {
        /// Address of the peer.
        to: SocketAddr,
        /// The TLS alert, or the reason with which the peer closed the connection.
        reason: String,
    },
    /// The two hosts have no protocol version in common.
    #[snafu(display("{to} speaks no protocol version that this host speaks"))]
    NoCommonVersion {
        /// Address of the peer.
        to: SocketAddr,
    },
    /// The request violates a limit.
    #[snafu(display("request to {to} cannot be sent: {reason}"))]
    Invalid {
        /// Address of the peer.
        to: SocketAddr,
        /// The violated limit.
        reason: String,
    },
    /// The peer refused the request and did not pass it to its handler.
    #[snafu(display("{to} refused the request: {}", code::describe(*code)))]
    Refused {
        /// Address of the peer.
        to: SocketAddr,
        /// A code of [`crate::code`] for which [`code::is_refusal`] holds.
        code: u64,
    },
    /// The answer did not arrive within the time of the request.
    #[snafu(display("no answer of {to} in time"))]
    Timeout {
        /// Address of the peer.
        to: SocketAddr,
        /// True if any byte of the request may have reached the peer.
        sent: bool,
    },
    /// The connection was lost before the answer.
    #[snafu(display("connection to {to} lost: {reason}"))]
    Lost {
        /// Address of the peer.
        to: SocketAddr,
        /// Message of the transport.
        reason: String,
        /// True if any byte of the request may have reached the peer.
        sent: bool,
    },
    /// The body of the request ended with an error.
    #[snafu(display("body of the request to {to} failed: {reason}"))]
    RequestBody {
        /// Address of the peer.
        to: SocketAddr,
        /// Message of the body's error.
        reason: String,
        /// True if any byte of the request may have reached the peer.
        sent: bool,
    },
    /// The peer aborted the answer or sent one that cannot be decoded.
    #[snafu(display("no usable answer of {to}: {reason}"))]
    InvalidAnswer {
        /// Address of the peer.
        to: SocketAddr,
        /// The fault in the answer.
        reason: String,
    },
}

impl PeerError {
    pub(crate) fn invalid(to: SocketAddr, error: &CodecError) -> Self {
        Self::Invalid {
            to,
            reason: log_text(error),
        }
    }

    /// Returns true if any part of the request may have reached the peer's handler.
    ///
    /// `false` proves that the request did not run: either no byte of it was handed to the
    /// transport on a usable connection, or the peer reported that it did not pass the request to
    /// its handler.
    pub fn may_have_been_sent(&self) -> bool {
        match self {
            Self::Timeout { sent, .. }
            | Self::Lost { sent, .. }
            | Self::RequestBody { sent, .. } => *sent,
            Self::InvalidAnswer { .. } => true,
            Self::Connect { .. }
            | Self::Untrusted { .. }
            | Self::CertificateRefused { .. }
            | Self::NoCommonVersion { .. }
            | Self::Invalid { .. }
            | Self::Refused { .. } => false,
        }
    }
}
