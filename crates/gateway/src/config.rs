//! What a host is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use trefoil_core::{DomainName, HostName};

/// Bounds that the deployment states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time within which an upstream that leaves gets no new requests.
    pub drain: Duration,
    /// Time between the order to stop and the end of the process.
    pub grace: Duration,
    /// Repeats of requests, as a share of the requests of a window.
    pub repeat_ratio: f64,
    /// Repeats of requests in a window, beside the share.
    pub repeat_fixed: f64,
    /// The window in which repeats are counted.
    pub repeat_window: Duration,
    /// Longest hold of a grant.
    pub hold_max: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(6),
            repeat_ratio: 0.1,
            repeat_fixed: 10.0,
            repeat_window: Duration::from_secs(10),
            hold_max: Duration::from_secs(10),
        }
    }
}

/// What a host is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct HostConfig {
    /// Name of the host. It stays the same across restarts.
    pub name: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Share of a processor core that it has.
    pub cores: f64,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address at which the load balancer asks whether the host is ready.
    pub ready: SocketAddr,
    /// Address for datagrams of other hosts.
    pub peer: SocketAddr,
    /// Address for metrics and the operators' API.
    pub operator: SocketAddr,
    /// Bounds of the deployment.
    pub bounds: Bounds,
}
