//! The process of an entry host.
//!
//! A [`Node`] puts the library crates together: a [log reader](tailer) that replays decisions into
//! the [`Shared`] view, an [ingress] for callers, one [dispatcher](dispatcher::Dispatchers) for each
//! assigned upstream, a [planner] that any host may run, and the [operators' port](operator).
//!
//! All decisions read one immutable `View` behind an atomic pointer. A request loads it once per
//! attempt, so a change of configuration never shows half-way through a decision.

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
