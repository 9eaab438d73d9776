//! Settings of a host that sends requests directly to the upstreams (`trefoild serve`).

use std::net::SocketAddr;

use garde::Validate;
use serde::{Deserialize, Serialize};
use trefoil_core::{DomainName, HostName};

use crate::findings::Findings;
use crate::path::Path;
use crate::read::{self, Checks, Document};
use crate::settings::LogLevel;

/// Settings of one host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServeSettings {
    /// Name of this host. It stays the same across restarts.
    #[garde(skip)]
    pub name: HostName,
    /// Failure domain that this host runs in.
    #[garde(skip)]
    pub domain: DomainName,
    /// Share of a processor core that the process gets.
    #[garde(range(min = 0.001, max = 1024.0))]
    pub cores: f64,
    /// Address that accepts callers' requests (TCP, HTTP).
    #[garde(skip)]
    pub caller: SocketAddr,
    /// Address at which the load balancer asks whether the host is ready (TCP, HTTP).
    #[garde(skip)]
    pub ready: SocketAddr,
    /// Address for datagrams of other hosts (UDP).
    #[garde(skip)]
    pub peer: SocketAddr,
    /// Address of metrics and health for operators (TCP, HTTP).
    #[garde(skip)]
    pub operator: SocketAddr,
    /// Address of the platform's store.
    #[garde(skip)]
    pub store: SocketAddr,
    /// Bounds that the deployment states.
    #[garde(dive)]
    pub bounds: BoundSettings,
    /// Least severe level that is logged.
    #[serde(default)]
    #[garde(skip)]
    pub log_level: LogLevel,
    /// Most log lines a second of each event. Further ones are counted.
    #[serde(default = "log_lines")]
    #[garde(range(min = 1, max = 100_000))]
    pub log_lines: u32,
}

/// Default of [`ServeSettings::log_lines`]. A host of the users' sites has some 100 requests a second,
/// so this covers every second one of them if all fail.
fn log_lines() -> u32 {
    50
}

/// Bounds that the deployment states. Those that are left out have the values of
/// `trefoil_gateway::Bounds`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct BoundSettings {
    /// Milliseconds within which an upstream that leaves gets no new requests.
    #[garde(range(min = 0.0, max = 600_000.0))]
    pub drain_ms: Option<f64>,
    /// Seconds between the order to stop and the end of the process.
    #[garde(range(min = 0.0, max = 3600.0))]
    pub grace_s: Option<f64>,
    /// Requests sent again, as a share of the requests of a window.
    #[garde(range(min = 0.0, max = 100.0))]
    pub repeat_ratio: Option<f64>,
    /// Requests sent again in a window, beside the share.
    #[garde(range(min = 0.0, max = 1e9))]
    pub repeat_fixed: Option<f64>,
    /// Seconds in which requests that are sent again are counted.
    #[garde(range(min = 0.001, max = 3600.0))]
    pub repeat_window_s: Option<f64>,
    /// Longest hold of a grant in milliseconds.
    #[garde(range(min = 1.0, max = 3_600_000.0))]
    pub hold_max_ms: Option<f64>,
}

impl ServeSettings {
    /// Reads settings from YAML. `file` is the name that findings give as the place.
    ///
    /// # Errors
    ///
    /// Fails with all mistakes that were found in the text.
    pub fn from_yaml(text: &str, file: &str) -> Result<Self, Findings> {
        read::read(text, file)
    }
}

impl Document for ServeSettings {
    const SAMPLE: &'static str = include_str!("serve/sample.yaml");

    fn check(&self, checks: &mut Checks<'_>) {
        let root = Path::root();
        let listens = [
            (self.caller, root.key("caller")),
            (self.ready, root.key("ready")),
            (self.operator, root.key("operator")),
        ];
        for (i, (address, path)) in listens.iter().enumerate() {
            let earlier = listens[..i].iter();
            for (other, first) in earlier.filter(|(other, _)| other == address) {
                let message = format!("{other} is used by {first} already");
                checks.report_with(path, std::slice::from_ref(first), message);
            }
        }
        if self.store.port() == 0 || self.store.ip().is_unspecified() {
            let message = format!("{} cannot be connected to", self.store);
            checks.report(&root.key("store"), message);
        }
    }
}
