//! Decisions about upstreams, and their reasons.

use std::time::Duration;

use derive_more::Display;
use trefoil_core::ServiceName;
use trefoil_directory::UpstreamId;

use crate::health::Others;

/// Whose requests show that an upstream fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Basis {
    /// Those of this host, one after the other.
    #[display("host")]
    Host,
    /// Those of this failure domain.
    #[display("domain")]
    Domain,
    /// Those of all domains.
    #[display("all")]
    All,
    /// Probes.
    #[display("probe")]
    Probe,
}

/// Why an upstream gets its share of requests again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum End {
    /// Probes were answered, or none failed for a while.
    #[display("recovered")]
    Recovered,
    /// The upstreams that are not ejected fail about as much.
    #[display("others fail as well")]
    Unjustified,
    /// The service has fewer upstreams, of which at most half are ejected.
    #[display("half are ejected")]
    Room,
}

/// What has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The upstream gets no requests for this time.
    Ejected(Duration, Basis),
    /// The upstream gets its share of requests again.
    Ended(End),
}

/// A decision about an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The upstream.
    pub id: UpstreamId,
    /// Its service.
    pub service: ServiceName,
    /// What has changed.
    pub change: Change,
    /// The counts that the decision is based on, those of this host included.
    pub counts: Others,
    /// Share of failures that the service has otherwise.
    pub baseline: f64,
}
