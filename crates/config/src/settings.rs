//! Settings of the daemon (`trefoild run`).
//!
//! Environment variables override values of the YAML file, and flags override both. [`Overrides`]
//! changes the parsed document before validation, so that values from all three sources go through
//! the same validation, and a finding names the variable or flag instead of the file.
//!
//! Listen addresses may have port 0, for which the system picks a free port. Tests rely on this.

mod builder;
mod checks;
mod overrides;

use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::{Display, FromStr};
use garde::Validate;
use serde::{Deserialize, Serialize};
use trefoil_core::{DomainName, HostName, RegionName};

use crate::findings::Findings;
use crate::key::PublicKey;
use crate::read;

pub use builder::SettingsBuilder;
pub use overrides::{Overrides, SETTING_PATHS, flag_name, variable_name};

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Name of this entry host, which must not change across restarts.
    #[garde(skip)]
    pub name: HostName,
    /// Failure domain that this host runs in.
    #[garde(skip)]
    pub domain: DomainName,
    /// Region that this host runs in.
    #[garde(skip)]
    pub region: RegionName,
    /// Listen address for callers' requests (TCP, HTTP).
    #[garde(skip)]
    pub caller: SocketAddr,
    /// Listen address for other hosts (UDP, QUIC with mutual TLS).
    #[garde(skip)]
    pub peer: SocketAddr,
    /// Listen address of the operators' API, metrics and health checks (TCP, HTTP).
    #[garde(skip)]
    pub operator: SocketAddr,
    /// Peer addresses of hosts that are queried for the newest revision while the log is
    /// unavailable.
    #[serde(default)]
    #[garde(length(max = 64))]
    pub seeds: Vec<SocketAddr>,
    /// Addresses of the platform's services.
    #[garde(skip)]
    pub platform: Platform,
    /// Files for mutual TLS between hosts.
    #[garde(skip)]
    pub tls: Tls,
    /// Keys that sign log records.
    #[garde(dive)]
    pub keys: Keys,
    /// When snapshots of the replayed state are written to the log.
    #[serde(default)]
    #[garde(dive)]
    pub snapshots: Snapshots,
    /// Limits on callers.
    #[serde(default)]
    #[garde(dive)]
    pub limits: CallerLimits,
    /// File to which trace spans are appended. Without it, none are written.
    #[serde(default)]
    #[garde(skip)]
    pub trace: Option<PathBuf>,
    /// Lowest severity that is logged.
    #[serde(default)]
    #[garde(skip)]
    pub log_level: LogLevel,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Log service.
    pub log: SocketAddr,
    /// Service that lists the live and leaving hosts.
    pub hosts: SocketAddr,
}

/// Files for mutual TLS between hosts, in PEM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate of the deployment's certificate authority.
    pub authority: PathBuf,
    /// Certificate of this host.
    pub certificate: PathBuf,
    /// Private key of this host's certificate.
    pub key: PathBuf,
}

/// Keys that sign log records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// Public keys of operators.
    #[garde(length(min = 1, max = 1024))]
    pub operators: Vec<PublicKey>,
    /// Public keys of hosts.
    #[garde(length(min = 1, max = 65_536))]
    pub hosts: Vec<PublicKey>,
    /// File with this host's signing key (PKCS#8).
    #[garde(skip)]
    pub signing: PathBuf,
}

/// When snapshots of the replayed state are written to the log: after a number of records or after
/// a share of the retention time, whichever comes first. All hosts of a deployment should have the
/// same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Snapshots {
    /// Time for which the log retains a record, in seconds. A snapshot is written after a quarter
    /// of it, so that the log always retains two complete ones.
    #[garde(range(min = 4, max = 31_536_000))]
    pub retention: u32,
    /// Records after which a snapshot is written.
    #[garde(range(min = 1, max = 1_000_000))]
    pub records: u32,
}

impl Default for Snapshots {
    fn default() -> Self {
        Self {
            retention: 86_400,
            records: 10_000,
        }
    }
}

/// Limits on callers. The defaults are those of section 10 of the design.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    #[garde(range(min = 1024, max = 65_536))]
    pub header: u32,
    /// Maximum number of header fields of a request.
    #[garde(range(min = 8, max = 1000))]
    pub headers: u32,
    /// Maximum number of open connections from callers.
    #[garde(range(min = 1, max = 1_000_000))]
    pub connections: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header: 16 * 1024,
            headers: 100,
            connections: 10_000,
        }
    }
}

/// Severity of log lines, in descending order.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum LogLevel {
    /// The process cannot continue.
    Critical,
    /// An operation failed.
    Error,
    /// A condition that may need an operator's attention.
    Warning,
    /// Changes of state.
    #[default]
    Info,
    /// Details for debugging.
    Debug,
    /// Every single operation.
    Trace,
}

impl Settings {
    /// Reads settings from YAML. Findings name `file` as their location.
    ///
    /// # Errors
    ///
    /// Returns all errors of the text.
    pub fn from_yaml(text: &str, file: &str) -> Result<Self, Findings> {
        read::read(text, file)
    }

    /// Reads settings from YAML and applies overrides.
    ///
    /// # Errors
    ///
    /// Returns all errors of the text and of the overrides.
    pub fn load(text: &str, file: &str, overrides: &Overrides) -> Result<Self, Findings> {
        read::read_with(text, file, |tree| overrides.apply(tree))
    }

    /// Returns a builder of settings for programs that do not read a file.
    pub fn builder(name: HostName, domain: DomainName, region: RegionName) -> SettingsBuilder {
        SettingsBuilder::new(name, domain, region)
    }

    /// Validates settings that were not read from YAML. Findings have no line and column.
    ///
    /// # Errors
    ///
    /// Returns all errors.
    pub fn check(&self) -> Result<(), Findings> {
        read::validate_value(self, "settings")
    }

    /// Serializes the settings as YAML with all fields.
    pub fn to_yaml(&self) -> String {
        // Serialization fails only for maps with non-scalar keys, and no field is one.
        serde_saphyr::to_string(self).unwrap_or_default()
    }
}
