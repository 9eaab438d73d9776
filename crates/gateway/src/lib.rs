//! An entry host that sends requests directly to the upstreams.
//!
//! All state is in one [`Host`], and all tasks run on one thread, so no task observes a state that
//! another one is changing. The tasks are:
//!
//! - [`ingress`] admits callers' requests and [`forward`] sends them to upstreams over the [`pool`]
//!   of connections; `request_log` logs and counts their results;
//! - [`follow`] keeps the configuration and the directory of upstreams current, also when the store
//!   comes back from an older copy (`era`);
//! - [`discovery`] finds the other hosts and [`peers`] keeps their state; [`relay`] exchanges load,
//!   versions and routes of keyed services with them, and [`fetch`] copies newer data from them;
//! - [`evacuation`] keeps requests from the upstreams of evacuated failure domains;
//! - `limits` keeps all hosts together within the rates that upstreams take, and `warmup` within the
//!   bound of upstreams that warm up;
//! - `health` shares the failures of upstreams among the hosts and ejects those that fail;
//! - `waiting` holds the requests for which there is no room yet;
//! - [`coordinator`] assigns the key ranges of a service while this host is its coordinator.
//!
//! The host stops if one of its permanent tasks ends (`tasks`).
//!
//! The names and encodings of a platform are behind [`Platform`].

pub mod cause;
mod changes;
pub mod config;
pub mod coordinator;
pub mod discovery;
mod era;
pub mod evacuation;
pub mod fetch;
pub mod follow;
pub mod forward;
pub mod freshness;
mod health;
pub mod host;
pub mod ingress;
mod limits;
mod memory;
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
mod tasks;
mod waiting;
mod warmup;

pub use config::{Bounds, HostConfig, ProcessLimits, WarmupBound};
pub use host::{Host, Telemetry};
pub use memory::Memory;
pub use metrics::{LostLines, Metrics};
pub use platform::{Call, DecodeError, HeaderNames, Notice, Platform, StatedLoad};
pub use serve::{ServeError, serve};
