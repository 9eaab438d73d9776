//! The daemon of an entry host.
//!
//! A [`Node`] combines the library crates: a [log tailer](tailer) that replays decisions into the
//! [`Shared`] view, an [ingress] for callers, one [dispatcher](dispatcher::Dispatchers) for each
//! assigned upstream, a [planner] that any host may run, and the [operators' port](operator).
//!
//! All decisions read one immutable `View` behind an atomic pointer. A request loads it once per
//! attempt, so no decision sees a partial change of configuration.

pub mod authority;
pub mod catchup;
pub mod dispatcher;
pub mod ingress;
pub mod journal;
pub mod load;
pub mod logging;
pub mod member;
pub mod message;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod planner;
pub mod pool;
pub mod problem;
pub mod report;
pub mod request;
pub mod routes;
pub mod shared;
pub mod snapshots;
pub mod tailer;
pub mod trace;
pub mod watchdog;

pub use node::{Node, NodeConfig, NodeError};
pub use shared::Shared;
pub use trace::Tracing;
