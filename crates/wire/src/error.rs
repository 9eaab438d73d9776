//! Why a request to a peer has no answer, and whether it can have run.

use std::net::SocketAddr;

use snafu::Snafu;

use crate::code;
use crate::codec::CodecError;

/// Longest reason in an error, in bytes.
const REASON_MAX: usize = 256;

/// The text of an error, fit for a log line. A peer chooses the reason with which it closes a
/// connection, so that text can be long and hold line breaks.
pub(crate) fn reason<E>(error: E) -> String
where
    E: std::fmt::Display,
{
    let mut text = error.to_string().replace(char::is_control, " ");
    text.truncate(text.floor_char_boundary(REASON_MAX));
    text
}

/// Why a peer did not answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PeerError {
    /// No connection could be made.
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
        /// The TLS alert or the reason of the peer.
        reason: String,
    },
    /// The two hosts have no protocol version in common.
    #[snafu(display("{to} speaks no protocol version that this host speaks"))]
    NoCommonVersion {
        /// Address of the peer.
        to: SocketAddr,
    },
    /// The request breaks a limit.
    #[snafu(display("request to {to} cannot be sent: {reason}"))]
    Invalid {
        /// Address of the peer.
        to: SocketAddr,
        /// The limit.
        reason: String,
    },
    /// The peer did not pass the request to its handler, and says so.
    #[snafu(display("{to} refused the request: {}", code::describe(*code)))]
    Refused {
        /// Address of the peer.
        to: SocketAddr,
        /// One of the refusals of [`crate::code`].
        code: u64,
    },
    /// The time for the request is over.
    #[snafu(display("no answer of {to} in time"))]
    Timeout {
        /// Address of the peer.
        to: SocketAddr,
        /// Whether any byte of the request can have reached the peer.
        sent: bool,
    },
    /// The connection was lost before the answer.
    #[snafu(display("connection to {to} lost: {reason}"))]
    Lost {
        /// Address of the peer.
        to: SocketAddr,
        /// Message of the transport.
        reason: String,
        /// Whether any byte of the request can have reached the peer.
        sent: bool,
    },
    /// The body of the request ended with an error.
    #[snafu(display("body of the request to {to} failed: {reason}"))]
    RequestBody {
        /// Address of the peer.
        to: SocketAddr,
        /// Message of the body.
        reason: String,
        /// Whether any byte of the request can have reached the peer.
        sent: bool,
    },
    /// The peer gave up the answer or sent one that cannot be read.
    #[snafu(display("no usable answer of {to}: {reason}"))]
    InvalidAnswer {
        /// Address of the peer.
        to: SocketAddr,
        /// What is wrong.
        reason: String,
    },
}

impl PeerError {
    pub(crate) fn invalid(to: SocketAddr, error: &CodecError) -> Self {
        Self::Invalid {
            to,
            reason: reason(error),
        }
    }

    /// Whether the peer's handler can have been given any part of the request.
    ///
    /// `false` is proof that the request did not run: no byte of it was handed to the transport on
    /// a usable connection, or the peer said that it did not pass the request on.
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
