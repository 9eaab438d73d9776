//! Datagrams between hosts.
//!
//! Datagrams are hints. Each can be lost, and their statements about configuration and ownership
//! are verified elsewhere, in the store or at the upstreams.
//!
//! A host exchanges datagrams with the two relays of its failure domain only, and the relays of all
//! domains with each other. So the number of datagrams that a host sends and receives does not grow
//! with the number of hosts. See [`crate::relay`].

mod encoding;

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use trefoil_balance::{Denial, Tag};
use trefoil_core::{
    DomainName, HostId, HostName, Key, KeyRange, Offset, ServiceName, UpstreamName,
};
use trefoil_directory::{Incarnation, Registration};
use trefoil_store::Era;

use crate::tables::Revision;

/// Version of the encoding. A host drops datagrams of another version.
const VERSION: u8 = 2;

/// Largest datagram in bytes, below the size at which it would be fragmented.
pub const DATAGRAM_MAX: usize = 1400;

/// Bytes of the limits in one datagram.
const LIMITS_BYTES: usize = 640;

/// Most bytes of a limit without the name of its upstream.
const LIMIT_BYTES: usize = 32;

/// Most counts of failures in one datagram, beside a few dozen other items.
pub const HEALTH_ITEMS_MAX: usize = 36;

/// Why a datagram cannot be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum MessageError {
    /// The bytes cannot be decoded.
    #[snafu(display("cannot decode the datagram: {source}"))]
    Decode {
        /// Error of the decoder.
        source: postcard::Error,
    },
    /// The sender uses another version of the encoding.
    #[snafu(display("the datagram has encoding version {found}, expected {VERSION}"))]
    Version {
        /// Version of the datagram.
        found: u8,
    },
}

/// Identity of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// Incarnation of the process.
    pub id: HostId,
    /// Name of the host.
    pub name: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its address for datagrams.
    pub address: SocketAddr,
    /// Its processor capacity in thousandths of a core.
    pub millicores: u32,
}

/// Open requests at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenItem {
    /// The upstream.
    pub tag: Tag,
    /// Number of open requests.
    pub open: u32,
}

/// Estimate of an upstream's service time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeItem {
    /// The upstream.
    pub tag: Tag,
    /// Mean in tenths of a millisecond.
    pub mean: u32,
    /// Equivalent number of observations, in tenths.
    pub weight: u32,
}

/// What an upstream has said of its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementItem {
    /// Thousandths of a request a second, or `None` if it limits requests no longer.
    pub rate: Option<u32>,
    /// Milliseconds since the answer arrived.
    pub age_ms: u32,
}

/// Requests to an upstream that limits them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitItem {
    /// Short identity of the upstream, for earlier builds.
    pub tag: Tag,
    /// Requests sent in the last 4 s.
    pub sent: u32,
    /// Requests in the last second for which the upstream was considered.
    pub wanted: u32,
    /// The newest statement in an answer to the reporting hosts.
    pub stated: Option<StatementItem>,
    /// The upstream. Encoded after all limits, where earlier builds ignore it.
    #[serde(skip)]
    pub upstream: Option<Incarnation>,
}

/// Failure domains that operators have evacuated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Era of the store in which they were read.
    pub era: Era,
    /// Offset in the operators' topic up to which they hold.
    pub offset: Offset,
    /// The domains, in order.
    pub domains: Vec<DomainName>,
}

/// Answers of an upstream that has failed requests lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthItem {
    /// The upstream.
    pub tag: Tag,
    /// Failed requests in the last 2 s.
    pub failed: u32,
    /// All requests that have ended in that time.
    pub total: u32,
    /// Those of `failed` that hosts of the sender's failure domain have sent.
    pub domain_failed: u32,
    /// Those of `total` that hosts of the sender's failure domain have sent.
    pub domain_total: u32,
}

/// Requests that wait for room at the upstreams of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingItem {
    /// The service.
    pub service: ServiceName,
    /// Their priority.
    pub priority: u8,
    /// Number of requests.
    pub count: u32,
}

/// Groups that are encoded after the limits, where earlier builds ignore them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extensions {
    /// Evacuated domains, if the sender knows them.
    pub evacuations: Option<Evacuations>,
    /// Upstreams that have failed requests lately.
    pub health: Vec<HealthItem>,
    /// Requests that wait.
    pub waiting: Vec<WaitingItem>,
}

impl Extensions {
    /// Returns `true` if there is nothing to encode.
    pub fn is_empty(&self) -> bool {
        self.evacuations.is_none() && self.health.is_empty() && self.waiting.is_empty()
    }
}

/// Divides limits so that each part fits into a datagram beside a few dozen other items.
pub fn limit_chunks(limits: &[LimitItem]) -> Vec<&[LimitItem]> {
    let size = |item: &LimitItem| {
        let name = item.upstream.as_ref().map(|u| u.name.as_str().len());
        LIMIT_BYTES + name.unwrap_or_default()
    };
    let mut chunks = Vec::new();
    let (mut begin, mut bytes) = (0, 0);
    for (index, item) in limits.iter().enumerate() {
        if bytes + size(item) > LIMITS_BYTES && index > begin {
            chunks.push(&limits[begin..index]);
            (begin, bytes) = (index, 0);
        }
        bytes += size(item);
    }
    if begin < limits.len() {
        chunks.push(&limits[begin..]);
    }
    chunks
}

/// A read of the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadId {
    /// Short id of the host that has read.
    pub host: u32,
    /// When that host sent the read, in milliseconds of its own clock, so a later read has a greater
    /// number.
    pub number: u64,
}

/// Versions of the configuration and the directory that a host has, and the age of its last answer
/// from the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncStatus {
    /// Version of its configuration.
    pub config_version: u64,
    /// Digest of its directory, or `None` if it has no complete one. The digest of an empty
    /// registry is 0.
    pub directory_digest: Option<u64>,
    /// Milliseconds since the store last answered the host, if it ever did.
    pub store_age_ms: Option<u32>,
    /// Milliseconds since the last time at which the directory contained every change that the
    /// registry had accepted. Encoded after the message, where earlier builds ignore it.
    #[serde(skip)]
    pub directory_age_ms: Option<u32>,
    /// The read of the registry that the age counts from. Encoded after the age, where earlier
    /// builds ignore it.
    #[serde(skip)]
    pub directory_read: Option<ReadId>,
    /// Highest era of the store that the host knows. Encoded like the age, after it.
    #[serde(skip)]
    pub store_era: Option<Era>,
    /// Era of the store in which its configuration was read. Encoded with the other era.
    #[serde(skip)]
    pub config_era: Era,
    /// Milliseconds since its configuration was last known to be the newest. Encoded after the eras,
    /// where earlier builds ignore it.
    #[serde(skip)]
    pub config_age_ms: Option<u32>,
    /// The read of the configuration that the age counts from. Encoded with the age.
    #[serde(skip)]
    pub config_read: Option<ReadId>,
}

impl SyncStatus {
    /// Time since the directory was last known to contain every change of the registry.
    pub(crate) fn directory_age(&self) -> Option<Duration> {
        self.directory_age_ms
            .map(|ms| Duration::from_millis(ms.into()))
    }

    /// Time since the configuration was last known to be the newest.
    pub(crate) fn config_age(&self) -> Option<Duration> {
        self.config_age_ms
            .map(|ms| Duration::from_millis(ms.into()))
    }
}

/// Report of the coordinator of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermItem {
    /// The service.
    pub service: ServiceName,
    /// The coordinator.
    pub host: HostId,
    /// Revision of its routes.
    pub revision: Revision,
    /// Milliseconds since the store confirmed the term.
    pub confirmed_ms: u32,
    /// The previous term, until the grants of earlier terms have expired.
    pub predecessor: Option<u64>,
    /// Milliseconds since the coordinator made this report.
    pub age_ms: u32,
    /// When the coordinator made this report, in milliseconds of its own clock, so a later report
    /// has a greater number. Encoded after the age of the directory, where earlier builds ignore it.
    #[serde(skip)]
    pub number: Option<u64>,
}

/// A coordinator has ended its term and sends no more orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resigned {
    /// The sender.
    pub from: HostId,
    /// The service.
    pub service: ServiceName,
    /// The term.
    pub term: u64,
    /// Time until the last grant of this term or an earlier one expires.
    pub left: Duration,
}

/// A host is taking over a service, or has failed to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidacy {
    /// The sender.
    pub from: HostId,
    /// The service.
    pub service: ServiceName,
    /// The takeover has failed, so other hosts may try.
    pub withdrawn: bool,
}

/// Report of a host to the relays of its failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The sender.
    pub from: HostId,
    /// Synchronization status of the sender.
    pub status: SyncStatus,
    /// All open requests of the sender.
    pub open: Vec<OpenItem>,
    /// Estimates of the sender. Those of upstreams that are not listed remain valid.
    pub times: Vec<TimeItem>,
    /// Keys requested since its last report.
    pub keys: Vec<(ServiceName, Vec<Key>)>,
    /// Services that the sender coordinates.
    pub terms: Vec<TermItem>,
    /// Its requests to upstreams that limit them. Encoded after the age of the configuration, where
    /// earlier builds ignore it.
    #[serde(skip)]
    pub limits: Vec<LimitItem>,
    /// Groups of later builds.
    #[serde(skip)]
    pub extensions: Extensions,
}

/// Digest of a relay for the hosts of its failure domain. A long one is sent as several datagrams
/// that are valid individually.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub from: HostId,
    /// Synchronization status of the sender.
    pub status: SyncStatus,
    /// Short ids of the hosts of the domain that send datagrams to the relay.
    pub live: Vec<u32>,
    /// Number of live hosts in all domains.
    pub hosts: u32,
    /// Open requests of all hosts of the domain.
    pub local: Vec<OpenItem>,
    /// Open requests of the other domains.
    pub remote: Vec<OpenItem>,
    /// Estimates of all hosts.
    pub times: Vec<TimeItem>,
    /// Coordinators of all services.
    pub terms: Vec<TermItem>,
    /// Recent changes of the directory.
    pub changes: Vec<ChangeItem>,
    /// Requests of all hosts to upstreams that limit them. Encoded like those of a report.
    #[serde(skip)]
    pub limits: Vec<LimitItem>,
    /// Groups of later builds.
    #[serde(skip)]
    pub extensions: Extensions,
}

/// Summary of a failure domain, from one of its relays to the relays of the other domains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender.
    pub from: HostId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Synchronization status of the sender.
    pub status: SyncStatus,
    /// Number of live hosts in its domain.
    pub hosts: u32,
    /// Open requests of all hosts of its domain, or a part of them.
    pub open: Vec<OpenItem>,
    /// Number of this part.
    pub part: u16,
    /// Number of parts.
    pub parts: u16,
    /// Estimates of all hosts of its domain.
    pub times: Vec<TimeItem>,
    /// Coordinators that the sender has reports of.
    pub terms: Vec<TermItem>,
    /// Requests of its domain to upstreams that limit them. Encoded like those of a report.
    #[serde(skip)]
    pub limits: Vec<LimitItem>,
    /// Groups of later builds.
    #[serde(skip)]
    pub extensions: Extensions,
}

/// A change of the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeItem {
    /// Current registration of an upstream.
    Set(Registration),
    /// An upstream is gone.
    Gone(Removal),
}

/// Removal of an upstream from the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// The removed incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of the removed registration. A later registration supersedes the removal.
    /// Encoded after the age of the directory, where earlier builds ignore it.
    #[serde(skip)]
    pub sequence: Option<u64>,
}

/// A part of the routes of a keyed service, or of their changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutesPart {
    /// The service.
    pub service: ServiceName,
    /// Revision that the changes apply to, or `None` if the routes are complete.
    pub base: Option<Revision>,
    /// Revision of the routes.
    pub revision: Revision,
    /// Number of this part.
    pub part: u16,
    /// Number of parts.
    pub parts: u16,
    /// Upstreams that the ranges refer to.
    pub owners: Vec<UpstreamName>,
    /// Ranges with the index of their owner.
    pub ranges: Vec<(KeyRange, Option<u16>)>,
}

/// Permit request: asks for a permit to send one request to a cold upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAsk {
    /// The host that asks.
    pub from: HostId,
    /// Number of the permit request.
    pub number: u64,
    /// The upstream.
    pub upstream: Incarnation,
    /// Failure domain of the upstream.
    pub domain: DomainName,
    /// Address of the host that asks, which a relay of another domain may have forgotten.
    pub address: SocketAddr,
    /// The relay of another domain that has forwarded the permit request.
    pub forwarded_by: Option<HostId>,
}

/// Answer to a [`PermitAsk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// The host that has asked.
    pub to: HostId,
    /// Number of the permit request.
    pub number: u64,
    /// Reason of a refusal, with the milliseconds after which there may be a permit.
    pub refusal: Option<(Denial, u32)>,
}

/// A datagram between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Identity of the sender; `true` requests that of the receiver.
    Hello(HostInfo, bool),
    /// Report of a host to the relays of its domain.
    Report(Report),
    /// Digest of a relay for the hosts of its domain.
    Digest(Digest),
    /// Summary of a domain for the relays of other domains.
    Exchange(Exchange),
    /// Requested keys, for the coordinator of their service.
    Keys(ServiceName, Vec<Key>),
    /// Routes of a keyed service.
    Routes(RoutesPart),
    /// The sender requests the newest routes of a service.
    RoutesRequest(ServiceName),
    /// A coordinator has ended its term.
    Resigned(Resigned),
    /// The sender is about to stop.
    Leaving(HostId),
    /// A host is taking over a service, or has failed to.
    Candidacy(Candidacy),
    /// Permit request of a host.
    PermitAsk(PermitAsk),
    /// Answer of a relay to a permit request.
    PermitAnswer(PermitAnswer),
    /// Registrations of upstreams that have become cold again, for the relays of other domains.
    Renewals(Vec<Registration>),
}
