//! What an operator publishes.

use std::time::Duration;

use derive_more::{Display, From, FromStr, Into};
use smallvec::SmallVec;
use trefoil_core::{Bytes, ServiceName};

/// Version of a configuration. A higher one replaces a lower one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, FromStr, Into,
)]
pub struct Version(pub u64);

/// Name of a route.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into)]
pub struct RouteName(pub String);

/// Rank of a route's requests; 0 is the most urgent.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, FromStr, Into,
)]
pub struct Priority(pub u8);

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Idempotency {
    /// It may run any number of times.
    #[display("idempotent")]
    Idempotent,
    /// It runs at most once.
    #[display("non-idempotent")]
    AtMostOnce,
}

/// A service of a route, and its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// Where the requests of a host and a path prefix go, and how they may be treated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Host that requests name, in lower case.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub idempotency: Idempotency,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth its full value.
    pub objective: Duration,
    /// Rank among other routes.
    pub priority: Priority,
    /// Upstreams to which one request may be sent.
    pub attempts: u32,
    /// Services that take the requests; at least one.
    pub targets: SmallVec<[Target; 2]>,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Path of the upstreams' health endpoint.
    pub health_path: String,
    /// Connections that one upstream accepts from all callers together.
    pub max_connections: u32,
    /// Whether the service is divided by keys, each owned by one upstream.
    pub keyed: bool,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head.
    pub head: Bytes,
    /// Largest body.
    pub body: Bytes,
    /// Time in which a request must arrive.
    pub request_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Its version.
    pub version: Version,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<(ServiceName, Service)>,
    /// Bounds on what callers may send.
    pub limits: Limits,
}
