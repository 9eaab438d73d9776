//! Builder of settings for programs that do not read them from a file.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use trefoil_core::{DomainName, HostName, RegionName};

use super::{CallerLimits, Keys, LogLevel, Platform, Settings, Snapshots, Tls};
use crate::findings::Findings;
use crate::key::PublicKey;

/// Builds [`Settings`]. Listen addresses default to a free port of the loopback interface.
#[derive(Debug, Clone)]
pub struct SettingsBuilder {
    settings: Settings,
}

impl SettingsBuilder {
    pub(super) fn new(name: HostName, domain: DomainName, region: RegionName) -> Self {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            settings: Settings {
                name,
                domain,
                region,
                caller: free,
                peer: free,
                operator: free,
                seeds: Vec::new(),
                platform: Platform {
                    log: free,
                    hosts: free,
                },
                tls: Tls {
                    authority: PathBuf::new(),
                    certificate: PathBuf::new(),
                    key: PathBuf::new(),
                },
                keys: Keys {
                    operators: Vec::new(),
                    hosts: Vec::new(),
                    signing: PathBuf::new(),
                },
                snapshots: Snapshots::default(),
                limits: CallerLimits::default(),
                trace: None,
                log_level: LogLevel::default(),
            },
        }
    }

    /// Sets the listen address for callers' requests.
    #[must_use]
    pub fn caller(mut self, address: SocketAddr) -> Self {
        self.settings.caller = address;
        self
    }

    /// Sets the listen address for other hosts.
    #[must_use]
    pub fn peer(mut self, address: SocketAddr) -> Self {
        self.settings.peer = address;
        self
    }

    /// Sets the listen address of the operators' API.
    #[must_use]
    pub fn operator(mut self, address: SocketAddr) -> Self {
        self.settings.operator = address;
        self
    }

    /// Adds the peer address of a host that is queried while the log is unavailable.
    #[must_use]
    pub fn seed(mut self, address: SocketAddr) -> Self {
        self.settings.seeds.push(address);
        self
    }

    /// Sets the addresses of the log service and of the service that lists the hosts.
    #[must_use]
    pub fn platform(mut self, log: SocketAddr, hosts: SocketAddr) -> Self {
        self.settings.platform = Platform { log, hosts };
        self
    }

    /// Sets the files for mutual TLS between hosts.
    #[must_use]
    pub fn tls(mut self, tls: Tls) -> Self {
        self.settings.tls = tls;
        self
    }

    /// Adds the public key of an operator.
    #[must_use]
    pub fn operator_key(mut self, key: PublicKey) -> Self {
        self.settings.keys.operators.push(key);
        self
    }

    /// Adds the public key of a host.
    #[must_use]
    pub fn host_key(mut self, key: PublicKey) -> Self {
        self.settings.keys.hosts.push(key);
        self
    }

    /// Sets the file with this host's signing key.
    #[must_use]
    pub fn signing_key_file<P>(mut self, file: P) -> Self
    where
        P: Into<PathBuf>,
    {
        self.settings.keys.signing = file.into();
        self
    }

    /// Sets when snapshots are written to the log.
    #[must_use]
    pub fn snapshots(mut self, snapshots: Snapshots) -> Self {
        self.settings.snapshots = snapshots;
        self
    }

    /// Sets the limits on callers.
    #[must_use]
    pub fn limits(mut self, limits: CallerLimits) -> Self {
        self.settings.limits = limits;
        self
    }

    /// Sets the file to which trace spans are appended.
    #[must_use]
    pub fn trace_file<P>(mut self, file: P) -> Self
    where
        P: Into<PathBuf>,
    {
        self.settings.trace = Some(file.into());
        self
    }

    /// Sets the lowest severity that is logged.
    #[must_use]
    pub fn log_level(mut self, level: LogLevel) -> Self {
        self.settings.log_level = level;
        self
    }

    /// Validates the settings and returns them.
    ///
    /// # Errors
    ///
    /// Returns all errors.
    pub fn build(self) -> Result<Settings, Findings> {
        self.settings.check()?;
        Ok(self.settings)
    }
}
