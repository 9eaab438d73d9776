//! Registrations of upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use trefoil_core::{DomainName, ServiceName, Slots, UnixMillis, UpstreamName};
use xxhash_rust::xxh3::xxh3_64;

/// One run of an upstream, from its start to its end. It keeps no state of earlier runs under the
/// same name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{name}@{started}")]
pub struct Incarnation {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Start of the run.
    pub started: UnixMillis,
}

/// Readiness of an upstream for new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum Phase {
    /// It accepts requests.
    #[display("ready")]
    Ready,
    /// It finishes its open requests and leaves.
    #[display("draining")]
    Draining,
}

/// Registration of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Name and start of the upstream.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation.
    pub sequence: u64,
    /// The upstream's service.
    pub service: ServiceName,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// The upstream's failure domain.
    pub domain: DomainName,
    /// Requests that the upstream processes concurrently.
    pub slots: Slots,
    /// Readiness for new work.
    pub phase: Phase,
    /// Remaining time until the upstream is warmed up.
    pub warmup: Duration,
}

impl Registration {
    /// Returns whether only the sequence number and the remaining warmup differ. The remaining time
    /// differs with every registration; [`Change::Renewed`](crate::Change::Renewed) tells of it.
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

    /// Digest of the fields that [`is_renewal_of`](Self::is_renewal_of) compares.
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
