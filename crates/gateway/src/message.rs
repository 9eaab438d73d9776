//! Datagrams between hosts.
//!
//! They are hints: each can be lost, and what they announce about configuration and ownership is
//! proven elsewhere, in the store or at the upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use trefoil_core::{DomainName, HostId, HostName, Key, ServiceName, UpstreamName};
use trefoil_directory::Tag;

use crate::tables::Age;

/// Version of the encoding. A host drops datagrams of another version.
const VERSION: u8 = 1;

/// Largest datagram in bytes, so that none is split into packets.
pub const DATAGRAM_MAX: usize = 1400;

/// Why a datagram is not used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum MessageError {
    /// The bytes cannot be decoded.
    #[snafu(display("the datagram does not decode: {source}"))]
    Decode {
        /// The decoder's error.
        source: postcard::Error,
    },
    /// The sender's build has another encoding.
    #[snafu(display("the datagram has version {found}, this build reads {VERSION}"))]
    Version {
        /// Version of the datagram.
        found: u8,
    },
}

/// Who a host is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Card {
    /// The incarnation of the process.
    pub id: HostId,
    /// Name of the host.
    pub name: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Thousandths of a processor core that it has.
    pub millicores: u32,
}

/// A host's open requests at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenItem {
    /// The upstream.
    pub tag: Tag,
    /// Requests open.
    pub open: u32,
}

/// A host's estimate of the time that an upstream works on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeItem {
    /// The upstream.
    pub tag: Tag,
    /// Mean in tenths of a millisecond.
    pub mean: u32,
    /// Observations that it is worth, in tenths.
    pub weight: u32,
}

/// A service of which the sender is the steward.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermItem {
    /// The service.
    pub service: ServiceName,
    /// How new its routes are.
    pub age: Age,
    /// Milliseconds since the store confirmed the term.
    pub confirmed: u32,
    /// The term before, while its grants can be valid.
    pub waits_for: Option<u64>,
}

/// A steward has ended its term and sends no more orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resigned {
    /// The sender.
    pub from: HostId,
    /// The service.
    pub service: ServiceName,
    /// The term.
    pub term: u64,
    /// Time in which its grants and earlier ones can be valid.
    pub left: Duration,
}

/// What a host says several times a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The sender.
    pub from: HostId,
    /// Version of its configuration.
    pub version: u64,
    /// Milliseconds since the store answered it, if it ever did.
    pub store: Option<u32>,
    /// Its open requests. Upstreams that are not named have none.
    pub open: Vec<OpenItem>,
    /// Its estimates. Upstreams that are not named keep theirs.
    pub times: Vec<TimeItem>,
    /// Services of which it is the steward.
    pub terms: Vec<TermItem>,
}

/// A part of the routes of a keyed service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesPart {
    /// The sender.
    pub from: HostId,
    /// The service.
    pub service: ServiceName,
    /// How new the routes are.
    pub age: Age,
    /// Number of this part.
    pub part: u16,
    /// Number of parts.
    pub parts: u16,
    /// Upstreams that the ranges refer to.
    pub owners: Vec<UpstreamName>,
    /// First key of each range and the index of its owner.
    pub ranges: Vec<(Key, Option<u16>)>,
}

/// A datagram between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Who the sender is; with `true`, it asks the receiver for the same.
    Hello(Card, bool),
    /// What a host says several times a second.
    Beat(Beat),
    /// Keys that were asked for at the sender since its last report, for the steward.
    Keys(ServiceName, Vec<Key>),
    /// A part of the routes of a keyed service.
    Routes(RoutesPart),
    /// The sender lacks the newest routes of a service.
    Ask(ServiceName),
    /// A steward has ended its term.
    Resigned(Resigned),
    /// The sender is about to end.
    Bye(HostId),
}

impl Message {
    /// Encodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the encoder does.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        postcard::to_allocvec(&(VERSION, self)).context(DecodeSnafu)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a datagram of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let (found, rest) = postcard::take_from_bytes::<u8>(bytes).context(DecodeSnafu)?;
        ensure!(found == VERSION, VersionSnafu { found });
        postcard::from_bytes(rest).context(DecodeSnafu)
    }
}
