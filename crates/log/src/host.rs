//! Records of entry hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use trefoil_core::{DomainName, HostId, HostName, RegionName};

/// Addresses of one incarnation of an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Address for requests of callers.
    pub caller: SocketAddr,
    /// Address for requests of other hosts.
    pub peer: SocketAddr,
    /// Address for requests of operators.
    pub operator: SocketAddr,
}

/// One incarnation of an entry host, as it joined.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Identifies the incarnation.
    pub id: HostId,
    /// Name of the host. It stays the same across incarnations.
    pub name: HostName,
    /// Region of the host.
    pub region: RegionName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Addresses of the incarnation.
    pub addresses: Addresses,
    /// The newest record format that the incarnation can decode.
    pub format: u16,
}
