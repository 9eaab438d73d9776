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
    pub retry_ratio: f64,
    /// Repeats of requests in a window, beside the share.
    pub retry_fixed: f64,
    /// The window in which repeats are counted.
    pub retry_window: Duration,
    /// Longest hold of a grant.
    pub ttl_max: Duration,
}

/// Time between two reads of the registry by the first host of a domain that reads it, as a share of
/// the time within which an upstream that leaves must get no new requests. The rest is for the read
/// itself and for telling the other hosts.
const FIRST_READER_SHARE: f64 = 0.3;

/// The same of the second host, which bridges the loss of the first.
const SECOND_READER_SHARE: f64 = 0.7;

/// Shortest time between two reads of the registry. Each read costs, and upstreams write about twice
/// a second.
const REGISTRY_PACE_MIN: Duration = Duration::from_millis(100);

/// Time without an answer of the store after which a host that reads the registry counts as cut off,
/// as a share of the time within which an upstream that leaves must get no new requests. Another host
/// must read the registry and tell the others in the rest of it. The second reader has answers less
/// often and counts as cut off now and then, which costs some reads.
const READER_SILENCE_SHARE: f64 = 0.6;

impl Bounds {
    /// Time between two reads of the registry by a host before which `before` others of its domain
    /// read it.
    pub fn registry_pace(&self, before: usize) -> Duration {
        let share = if before == 0 {
            FIRST_READER_SHARE
        } else {
            SECOND_READER_SHARE
        };
        self.drain.mul_f64(share).max(REGISTRY_PACE_MIN)
    }

    /// Time without an answer of the store after which a host that reads the registry counts as cut
    /// off.
    pub fn reader_silence(&self) -> Duration {
        self.drain.mul_f64(READER_SILENCE_SHARE)
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(6),
            retry_ratio: 0.1,
            retry_fixed: 10.0,
            retry_window: Duration::from_secs(10),
            ttl_max: Duration::from_secs(10),
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
