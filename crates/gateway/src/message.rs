//! Datagrams between hosts.
//!
//! They are hints: each can be lost, and what they announce about configuration and ownership is
//! proven elsewhere, in the store or at the upstreams.
//!
//! A host speaks to the two relays of its failure domain only, and the relays of all domains to each
//! other, so the number of datagrams that a host sends and receives does not grow with the number of
//! hosts. See [`crate::relay`].

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use trefoil_core::{DomainName, HostId, HostName, Key, KeyRange, ServiceName, UpstreamName};
use trefoil_directory::{Incarnation, Registration, Tag};

use crate::tables::Revision;

/// Version of the encoding. A host drops datagrams of another version.
const VERSION: u8 = 2;

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
pub struct HostInfo {
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

/// Open requests at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenItem {
    /// The upstream.
    pub tag: Tag,
    /// Requests open.
    pub open: u32,
}

/// An estimate of the time that an upstream works on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeItem {
    /// The upstream.
    pub tag: Tag,
    /// Mean in tenths of a millisecond.
    pub mean: u32,
    /// Observations that it is worth, in tenths.
    pub weight: u32,
}

/// How up to date a host is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncStatus {
    /// Version of its configuration.
    pub config_version: u64,
    /// Digest of its directory, or nothing if it has no whole one. The registry may be empty, whose
    /// digest is 0.
    pub directory_digest: Option<u64>,
    /// Milliseconds since the store answered it, if it ever did.
    pub store_age_ms: Option<u32>,
}

/// A steward of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermItem {
    /// The service.
    pub service: ServiceName,
    /// The steward.
    pub host: HostId,
    /// How new its routes are.
    pub revision: Revision,
    /// Milliseconds since the store confirmed the term.
    pub confirmed_ms: u32,
    /// The term before, while its grants can be valid.
    pub predecessor: Option<u64>,
    /// Milliseconds since the sender heard this from the steward.
    pub age_ms: u32,
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

/// A host is about to take over a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidacy {
    /// The sender.
    pub from: HostId,
    /// The service.
    pub service: ServiceName,
    /// It did not succeed, so others may try.
    pub withdrawn: bool,
}

/// What a host says to the relays of its failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The sender.
    pub from: HostId,
    /// How up to date it is.
    pub status: SyncStatus,
    /// All its open requests.
    pub open: Vec<OpenItem>,
    /// Its estimates; upstreams that are not named keep theirs.
    pub times: Vec<TimeItem>,
    /// Keys that were asked for since its last report.
    pub keys: Vec<(ServiceName, Vec<Key>)>,
    /// Services of which it is the steward.
    pub terms: Vec<TermItem>,
}

/// What a relay says to the hosts of its failure domain. A long one is sent in several datagrams,
/// each complete in itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub from: HostId,
    /// How up to date it is.
    pub status: SyncStatus,
    /// Hosts of the domain from which it has heard, by the start of their ids.
    pub live: Vec<u32>,
    /// Hosts of all domains that are live.
    pub hosts: u32,
    /// Open requests of all hosts of the domain.
    pub local: Vec<OpenItem>,
    /// Open requests of the other domains.
    pub remote: Vec<OpenItem>,
    /// Estimates of all hosts.
    pub times: Vec<TimeItem>,
    /// Stewards.
    pub terms: Vec<TermItem>,
    /// Recent changes of the directory.
    pub changes: Vec<ChangeItem>,
}

/// What a relay says to the relays of the other failure domains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender.
    pub from: HostId,
    /// Its failure domain.
    pub domain: DomainName,
    /// How up to date it is.
    pub status: SyncStatus,
    /// Hosts of its domain that are live.
    pub hosts: u32,
    /// Open requests of all hosts of its domain, or a part of them.
    pub open: Vec<OpenItem>,
    /// Number of this part.
    pub part: u16,
    /// Number of parts.
    pub parts: u16,
    /// Estimates of all hosts of its domain.
    pub times: Vec<TimeItem>,
    /// Stewards in its domain.
    pub terms: Vec<TermItem>,
}

/// A change of the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeItem {
    /// An upstream says this of itself.
    Set(Registration),
    /// This life of an upstream is gone.
    Gone(Incarnation),
}

/// A part of the routes of a keyed service, or of what has changed in them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesPart {
    /// The service.
    pub service: ServiceName,
    /// Routes that these change; nothing if they are whole.
    pub base: Option<Revision>,
    /// How new the routes are.
    pub revision: Revision,
    /// Number of this part.
    pub part: u16,
    /// Number of parts.
    pub parts: u16,
    /// Upstreams that the ranges refer to.
    pub owners: Vec<UpstreamName>,
    /// Ranges and the index of their owner.
    pub ranges: Vec<(KeyRange, Option<u16>)>,
}

/// A datagram between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Who the sender is; with `true`, it asks the receiver for the same.
    Hello(HostInfo, bool),
    /// What a host says to the relays of its domain.
    Report(Report),
    /// What a relay says to the hosts of its domain.
    Digest(Digest),
    /// What a relay says to other domains.
    Exchange(Exchange),
    /// Keys that were asked for, for the steward.
    Keys(ServiceName, Vec<Key>),
    /// Routes of a keyed service.
    Routes(RoutesPart),
    /// The sender lacks the newest routes of a service.
    RoutesRequest(ServiceName),
    /// A steward has ended its term.
    Resigned(Resigned),
    /// The sender is about to end.
    Leaving(HostId),
    /// A host is about to take over a service.
    Candidacy(Candidacy),
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
