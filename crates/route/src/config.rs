//! Configuration published by an operator.

use std::time::Duration;

use derive_more::{Display, From, FromStr, Into};
use smallvec::SmallVec;
use trefoil_core::{Bytes, PerSecond, ServiceName};

/// Version of a configuration. A higher one replaces a lower one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, FromStr, Into,
)]
pub struct Version(pub u64);

/// Name of a route.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into)]
pub struct RouteName(pub String);

/// Priority of a route's requests; 0 is the highest.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, FromStr, Into,
)]
pub struct Priority(pub u8);

/// Idempotency of a route's requests, which determines whether they may be retried after they may
/// have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Idempotency {
    /// A request may run any number of times.
    #[display("idempotent")]
    Idempotent,
    /// A request may run at most once.
    #[display("non-idempotent")]
    AtMostOnce,
}

/// Delivery of an upstream's answer to the caller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum Delivery {
    /// The whole answer is received before its first byte goes to the caller.
    #[default]
    #[display("collected")]
    Collected,
    /// The answer is passed on while it is received.
    #[display("streamed")]
    Streamed,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Weight among the route's targets.
    pub weight: u32,
}

/// Destination and treatment of the requests with a given host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Value of the requests' Host header, in lower case and without a port.
    pub host: String,
    /// Prefix of the path, which begins and ends with a slash.
    pub prefix: String,
    /// Determines whether a request may be sent again after it may have run.
    pub idempotency: Idempotency,
    /// Delivery of the answers.
    pub delivery: Delivery,
    /// Maximum time until the caller is answered.
    pub timeout: Duration,
    /// Latency up to which an answer has its full value.
    pub objective: Duration,
    /// Priority among all routes.
    pub priority: Priority,
    /// Maximum number of upstreams to which one request is sent.
    pub attempts: u32,
    /// Destination services, at least one.
    pub targets: SmallVec<[Target; 2]>,
}

/// What an upstream of a service can bear while it warms up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupLimit {
    /// Time that a warm-up takes.
    pub span: Duration,
    /// Requests a second that the upstream takes from all hosts together.
    pub rate: PerSecond,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Path of the upstreams' health endpoint.
    pub health_path: String,
    /// Connections that one upstream accepts from all hosts together.
    pub max_connections: u32,
    /// Set if the service is divided by keys, each owned by one upstream.
    pub keyed: bool,
    /// Limit during the warm-up of an upstream, if the service has one.
    pub warmup: Option<WarmupLimit>,
}

/// Limits on the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the request head.
    pub head: Bytes,
    /// Maximum size of the request body.
    pub body: Bytes,
    /// Time in which a request must arrive completely.
    pub request_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// A complete configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Version of the configuration.
    pub version: Version,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services by name.
    pub services: Vec<(ServiceName, Service)>,
    /// Limits on the requests of callers.
    pub limits: Limits,
}
