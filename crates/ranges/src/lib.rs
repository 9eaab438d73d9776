//! Ownership of key ranges.
//!
//! A service is divided by keys, and each key has one owner among the service's upstreams. An
//! upstream owns what it was granted, until the hold of the grant runs out; a grant with a lower
//! fence than one that it has seen for a key is refused. The proof of ownership is therefore at the
//! upstream, and everything here exists to send the right grants:
//!
//! - [`Table`] says who is to own which range. It is kept in the store, and written before any order
//!   that follows from it is sent.
//! - [`Coordinator`] turns a table into orders: it renews grants, and moves a range only when no grant
//!   of the owner before can be valid any more.
//! - [`Planner`] changes the table when upstreams come, leave or are overloaded.
//!
//! Nothing here performs I/O or reads a clock.

mod coordinator;
mod demand;
mod move_state;
mod planner;
mod table;
mod timing;

pub use coordinator::{Coordinator, Handover, Order, OrderId, OrderKind, OrderOutcome};
pub use demand::{Demand, RequestWindow};
pub use move_state::Phase;
pub use planner::{Candidate, Planner, Reason};
pub use table::{Author, Entry, Owner, Table, TableError};
pub use timing::Timing;
