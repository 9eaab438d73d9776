//! Settings of a host that forwards requests directly to the upstreams (`trefoild serve`).

use std::net::SocketAddr;

use garde::Validate;
use serde::{Deserialize, Serialize};
use trefoil_core::{DomainName, HostName};

use crate::findings::Findings;
use crate::path::Path;
use crate::read::{self, Document, Validator};
use crate::settings::LogLevel;

/// Settings of one host of `trefoild serve`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServeSettings {
    /// Name of this host, which must not change across restarts.
    #[garde(skip)]
    pub name: HostName,
    /// Failure domain that this host runs in.
    #[garde(skip)]
    pub domain: DomainName,
    /// CPU share of the process, in cores.
    #[garde(range(min = 0.001, max = 1024.0))]
    pub cores: f64,
    /// Listen address for callers' requests (TCP, HTTP).
    #[garde(skip)]
    pub caller: SocketAddr,
    /// Listen address for the load balancer's readiness checks (TCP, HTTP).
    #[garde(skip)]
    pub ready: SocketAddr,
    /// Listen address for datagrams from other hosts (UDP).
    #[garde(skip)]
    pub peer: SocketAddr,
    /// Listen address for metrics and health checks of operators (TCP, HTTP).
    #[garde(skip)]
    pub operator: SocketAddr,
    /// Address of the platform's store.
    #[garde(skip)]
    pub store: SocketAddr,
    /// Memory that the process may use, in MB. Default: that of the smallest hosts.
    #[serde(default)]
    #[garde(range(min = 1.0, max = 1e9))]
    pub memory_mb: Option<f64>,
    /// Descriptors that the process may open. Default: 1024.
    #[serde(default)]
    #[garde(range(min = 16.0, max = 1e9))]
    pub descriptors: Option<f64>,
    /// Time and retry limits of the deployment.
    #[garde(dive)]
    pub bounds: BoundSettings,
    /// Lowest severity that is logged.
    #[serde(default)]
    #[garde(skip)]
    pub log_level: LogLevel,
    /// Maximum log lines per event and second. Further lines are only counted.
    #[serde(default = "log_lines")]
    #[garde(range(min = 1, max = 100_000))]
    pub log_lines: u32,
}

/// Default of [`ServeSettings::log_lines`]. A host of the users' deployments receives about 100
/// requests per second. If all of them fail, half of them are logged.
fn log_lines() -> u32 {
    50
}

/// Time and retry limits of a deployment. Omitted ones default to `trefoil_gateway::Bounds`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct BoundSettings {
    /// Milliseconds within which a draining upstream stops getting new requests.
    #[garde(range(min = 0.0, max = 600_000.0))]
    pub drain_ms: Option<f64>,
    /// Milliseconds within which an accepted configuration must be in force.
    #[garde(range(min = 0.0, max = 600_000.0))]
    pub config_apply_ms: Option<f64>,
    /// Seconds from the stop signal to the exit of the process.
    #[garde(range(min = 0.0, max = 3600.0))]
    pub grace_s: Option<f64>,
    /// Retry budget of a window, as a share of the window's requests.
    #[garde(range(min = 0.0, max = 100.0))]
    pub repeat_ratio: Option<f64>,
    /// Retry budget of a window in addition to the share, in requests.
    #[garde(range(min = 0.0, max = 1e9))]
    pub repeat_fixed: Option<f64>,
    /// Length of the window of the retry budget, in seconds.
    #[garde(range(min = 0.001, max = 3600.0))]
    pub repeat_window_s: Option<f64>,
    /// Maximum TTL of a grant, in milliseconds.
    #[garde(range(min = 1.0, max = 3_600_000.0))]
    pub hold_max_ms: Option<f64>,
    /// Milliseconds within which an evacuated failure domain stops getting requests. Omitted if the
    /// deployment has no evacuations.
    #[garde(range(min = 1.0, max = 600_000.0))]
    pub evacuate_ms: Option<f64>,
    /// Most requests that a cold upstream gets in a second, as a multiple of its stated rate.
    /// Omitted if the deployment has no limits on cold upstreams.
    #[garde(range(min = 0.0, max = 100.0))]
    pub warmup_overage: Option<f64>,
    /// Requests in addition to that multiple.
    #[garde(range(min = 0.0, max = 1e6))]
    pub warmup_slack: Option<f64>,
}

impl ServeSettings {
    /// Reads settings from YAML. Findings name `file` as their location.
    ///
    /// # Errors
    ///
    /// Returns all errors of the text.
    pub fn from_yaml(text: &str, file: &str) -> Result<Self, Findings> {
        read::read(text, file)
    }
}

impl Document for ServeSettings {
    const SAMPLE: &'static str = include_str!("serve/sample.yaml");

    fn check(&self, validator: &mut Validator<'_>) {
        let root = Path::root();
        let listeners = [
            (self.caller, root.key("caller")),
            (self.ready, root.key("ready")),
            (self.operator, root.key("operator")),
        ];
        for (i, (address, path)) in listeners.iter().enumerate() {
            let earlier = listeners[..i].iter();
            for (other, first) in earlier.filter(|(other, _)| other == address) {
                let message = format!("{other} is used by {first} already");
                validator.report_with(path, std::slice::from_ref(first), message);
            }
        }
        if self.store.port() == 0 || self.store.ip().is_unspecified() {
            let message = format!("{} cannot be connected to", self.store);
            validator.report(&root.key("store"), message);
        }
    }
}
