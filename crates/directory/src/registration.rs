//! What an upstream says of itself.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use trefoil_core::{DomainName, ServiceName, Slots, UnixMillis, UpstreamName};
use xxhash_rust::xxh3::xxh3_64;

/// Short form of an upstream's name, for datagrams between hosts. Two names can have the same tag;
/// only estimates of load may rely on it.
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
    From,
    Into,
    Serialize,
    Deserialize,
)]
pub struct Tag(pub u32);

impl Tag {
    /// The tag of a name.
    pub fn of(name: &UpstreamName) -> Self {
        let hash = xxh3_64(name.as_str().as_bytes());
        Self(u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default())
    }
}

/// One life of an upstream: it knows nothing of an earlier life under the same name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{name}@{started}")]
pub struct Incarnation {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// When it started.
    pub started: UnixMillis,
}

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum Phase {
    /// It does.
    #[display("ready")]
    Ready,
    /// It finishes what it has and leaves.
    #[display("draining")]
    Draining,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The upstream and when it started.
    pub incarnation: Incarnation,
    /// Counter of this life's registrations.
    pub sequence: u64,
    /// Its service.
    pub service: ServiceName,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that it works on at once.
    pub slots: Slots,
    /// Whether it takes new work.
    pub phase: Phase,
    /// How much longer it is slow after its start.
    pub warmup: Duration,
}

impl Registration {
    /// Whether only the counter and the rest of the warmup differ.
    pub fn is_renewal_of(&self, earlier: &Self) -> bool {
        let cold = |r: &Self| !r.warmup.is_zero();
        self.incarnation == earlier.incarnation
            && self.service == earlier.service
            && self.address == earlier.address
            && self.domain == earlier.domain
            && self.slots == earlier.slots
            && self.phase == earlier.phase
            && cold(self) == cold(earlier)
    }

    /// Digest of what [`is_renewal_of`](Self::is_renewal_of) compares.
    pub(crate) fn digest(&self) -> u64 {
        let text = format!(
            "{} {} {} {} {} {} {}",
            self.incarnation,
            self.service,
            self.address,
            self.domain,
            self.slots,
            self.phase,
            self.warmup.is_zero()
        );
        xxh3_64(text.as_bytes())
    }

    /// Position in the order of this upstream's registrations.
    pub(crate) fn order(&self) -> (UnixMillis, u64) {
        (self.incarnation.started, self.sequence)
    }
}
