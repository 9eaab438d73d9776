//! An entry host that sends requests directly to the upstreams.
//!
//! All state is in one [`Host`], and all tasks run on one thread, so no decision sees a state that
//! another one is changing. The tasks are:
//!
//! - [`ingress`] takes callers' requests and [`forward`] sends them to upstreams over the
//!   [`pool`] of connections; what becomes of each is logged and counted in one place, `request_log`;
//! - [`follow`] keeps the configuration and the directory of upstreams up to date;
//! - [`relay`] exchanges load, versions and routes of keyed services with the other hosts, which
//!   [`discovery`] gets to know and [`peers`] remembers; [`fetch`] brings what another host has;
//! - [`coordinator`] gives out the keys of a service while this host is its steward.
//!
//! What is particular to a platform, its names and its encodings, stands behind [`Platform`].

pub mod cause;
pub mod config;
pub mod coordinator;
pub mod discovery;
pub mod fetch;
pub mod follow;
pub mod forward;
pub mod host;
pub mod ingress;
pub mod message;
mod metered;
pub mod metrics;
mod order;
pub mod peers;
pub mod platform;
pub mod pool;
pub mod relay;
mod request_log;
pub mod serve;
pub mod tables;

pub use config::{Bounds, HostConfig};
pub use host::{Host, Telemetry};
pub use metrics::{LostLines, Metrics};
pub use platform::{Call, DecodeError, HeaderNames, Platform};
pub use serve::{ServeError, serve};
