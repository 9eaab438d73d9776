//! What the log records about an entry host.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use trefoil_core::{DomainName, HostId, HostName, RegionName};

/// Addresses of one incarnation of an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other hosts.
    pub peer: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
}

/// One incarnation of an entry host, as it joined.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The incarnation.
    pub id: HostId,
    /// Name of the host, which outlives the incarnation.
    pub name: HostName,
    /// Region of the host.
    pub region: RegionName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Addresses of the incarnation.
    pub addresses: Addresses,
    /// The newest record format that the incarnation reads.
    pub format: u16,
}
