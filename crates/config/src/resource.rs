//! The routing resource.
//!
//! [`Routing::from_yaml`] reports all errors of a file together, with their locations. A program
//! that builds a resource calls [`Routing::check`], which applies the same rules.
//!
//! Log records contain the same types, encoded by postcard. They are therefore restricted to what
//! postcard can encode: no untagged enums, no flattened structs, and no fields that are skipped
//! when empty. The order of fields and variants is part of the encoding.

use std::net::SocketAddr;
use std::str::FromStr;

use garde::Validate;
use serde::{Deserialize, Serialize};
use trefoil_core::{DomainName, RegionName, ResourceName, Revision, ServiceName, UpstreamName};

mod checks;

pub use checks::RESOURCE_SIZE_MAX;
pub(crate) use checks::report_duplicates;

use crate::findings::Findings;
use crate::read;

/// Default number of shards of a service.
pub const SHARDS_DEFAULT: u32 = 1024;

/// Maximum number of shards of a service.
pub const SHARDS_MAX: u32 = 1 << 20;

/// A routing resource as operators write it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Routing {
    /// Kind of the resource, always `Routing`.
    #[garde(skip)]
    pub kind: Kind,
    /// Name of the resource.
    #[garde(skip)]
    pub name: ResourceName,
    /// Revision that this resource is based on; 0 if the resource must not exist yet.
    #[serde(default)]
    #[garde(skip)]
    pub revision: Revision,
    /// Declared services and failure domains.
    #[garde(dive)]
    pub spec: RoutingSpec,
}

impl Routing {
    /// Reads a resource from YAML. Findings name `file` as their location.
    ///
    /// # Errors
    ///
    /// Returns all errors of the text.
    pub fn from_yaml(text: &str, file: &str) -> Result<Self, Findings> {
        read::read(text, file)
    }

    /// Validates a resource that was not read from YAML. Findings have no line and column.
    ///
    /// # Errors
    ///
    /// Returns all errors.
    pub fn check(&self) -> Result<(), Findings> {
        read::validate_value(self, self.name.as_str())
    }

    /// Serializes the resource as YAML with all fields. [`from_yaml`](Self::from_yaml) parses the
    /// text to an equal resource.
    pub fn to_yaml(&self) -> String {
        // Serialization fails only for maps with non-scalar keys, and no field is one.
        serde_saphyr::to_string(self).unwrap_or_default()
    }
}

impl FromStr for Routing {
    type Err = Findings;

    fn from_str(text: &str) -> Result<Self, Findings> {
        Self::from_yaml(text, "resource")
    }
}

/// Kinds of resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A routing resource.
    Routing,
}

/// The specification of a routing resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct RoutingSpec {
    /// Region that the services run in.
    #[garde(skip)]
    pub region: RegionName,
    /// Failure domains of the region.
    #[garde(length(min = 1, max = 64))]
    pub domains: Vec<DomainName>,
    /// Services that are routed.
    #[garde(length(min = 1, max = 256), dive)]
    pub services: Vec<Service>,
}

/// One service: a set of upstreams that share a key space.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, which is also the first path segment of callers' requests.
    #[garde(skip)]
    pub name: ServiceName,
    /// Part of a request that contains its key.
    #[garde(dive)]
    pub key: Key,
    /// Allowed methods by idempotency.
    #[garde(dive)]
    pub methods: Methods,
    /// True if the upstreams check fencing tokens.
    #[garde(skip)]
    pub fenced: bool,
    /// Number of shards, a power of two.
    #[serde(default = "shards_default")]
    #[garde(custom(power_of_two))]
    pub shards: u32,
    /// Weights of the placement objective.
    #[serde(default)]
    #[garde(dive)]
    pub weights: Weights,
    /// Limits of each upstream.
    #[garde(dive)]
    pub limits: Limits,
    /// Deadlines of requests.
    #[garde(dive)]
    pub deadlines: Deadlines,
    /// Upstreams of the service.
    #[garde(length(min = 1, max = 4096), dive)]
    pub upstreams: Vec<Upstream>,
}

/// Part of a request that contains its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(rename_all = "kebab-case")]
pub enum Key {
    /// Value of the header with this name.
    Header(#[garde(length(min = 1, max = 64))] String),
    /// Path segment at this position, counted from 1 after the service's own segment.
    Path(#[garde(range(min = 1, max = 16))] u8),
}

/// Allowed methods of a service, by idempotency. It decides which requests may be retried.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Methods {
    /// Methods that may be retried.
    #[serde(default)]
    #[garde(length(max = 16))]
    pub idempotent: Vec<String>,
    /// Methods that must be sent at most once.
    #[serde(default)]
    #[garde(length(max = 16))]
    pub non_idempotent: Vec<String>,
}

/// Weights of the placement objective.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Weight of the time in which keys are unavailable.
    #[garde(range(min = 0.0, max = 1000.0))]
    pub unavailable: f64,
    /// Weight of changes of key ownership (churn).
    #[garde(range(min = 0.0, max = 1000.0))]
    pub churn: f64,
    /// Weight of load imbalance between upstreams.
    #[garde(range(min = 0.0, max = 1000.0))]
    pub imbalance: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            unavailable: 1.0,
            churn: 1.0,
            imbalance: 1.0,
        }
    }
}

/// Limits of each upstream of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum concurrent requests.
    #[garde(range(min = 1, max = 1024))]
    pub slots: u32,
    /// Maximum open connections.
    #[garde(range(min = 1, max = 4096))]
    pub connections: u32,
    /// Maximum number of requests that wait for a slot.
    #[serde(default = "queue_default")]
    #[garde(range(min = 1, max = 100_000))]
    pub queue: u32,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "body_default")]
    #[garde(range(min = 1, max = 1_073_741_824))]
    pub body: u64,
}

/// Deadlines of the requests of a service, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Deadlines {
    /// Deadline of a request that does not state one.
    #[garde(range(min = 1, max = 600_000))]
    pub default: u32,
    /// Maximum deadline that a request may state.
    #[garde(range(min = 1, max = 600_000))]
    pub max: u32,
    /// Time after a request's deadline by which an upstream that does not check fencing tokens has
    /// certainly stopped processing the request.
    #[serde(default = "margin_default")]
    #[garde(range(min = 0, max = 600_000))]
    pub margin: u32,
}

/// One upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name, unique in the resource.
    #[garde(skip)]
    pub name: UpstreamName,
    /// Address to which requests are sent.
    #[garde(skip)]
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    #[garde(skip)]
    pub domain: DomainName,
    /// True while the upstream is drained: it gets no new requests and owns no shards.
    #[serde(default)]
    #[garde(skip)]
    pub leaving: bool,
}

fn shards_default() -> u32 {
    SHARDS_DEFAULT
}

fn queue_default() -> u32 {
    256
}

fn body_default() -> u64 {
    8 * 1024 * 1024
}

fn margin_default() -> u32 {
    500
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that garde calls"
)]
fn power_of_two<C>(count: &u32, _context: &C) -> garde::Result {
    match count {
        n if n.is_power_of_two() && *n <= SHARDS_MAX => Ok(()),
        _ => Err(garde::Error::new(
            "must be a power of two of at most 1048576",
        )),
    }
}
