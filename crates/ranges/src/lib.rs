//! Ownership of key ranges.
//!
//! The keys of a service are divided into ranges, and each key has one owner among the service's
//! upstreams. An upstream serves a key only under a grant, which expires after its TTL, and refuses
//! a grant with a lower fence than one that it has seen for the key. Exclusive ownership is
//! therefore enforced by the upstreams; this crate decides which grants and releases they are sent:
//!
//! - [`Table`] maps ranges to owners. It is written to the store before any order that follows from
//!   it is sent.
//! - [`Coordinator`] derives orders from a table: it renews grants, and moves a range only when no
//!   grant of the previous owner can be valid any more.
//! - [`Planner`] changes the table when upstreams join, leave or are overloaded.
//!
//! The crate performs no I/O and reads no clock.

mod claim;
mod coordinator;
mod demand;
mod move_state;
mod planner;
mod table;
mod timing;

pub use claim::{Claim, Takeover};
pub use coordinator::{Coordinator, Handover, Order, OrderId, OrderKind, OrderOutcome};
pub use demand::{Demand, RequestWindow};
pub use move_state::Phase;
pub use planner::{Candidate, Planner, Reason};
pub use table::{Author, Entry, Owner, Table, TableError};
pub use timing::Timing;
