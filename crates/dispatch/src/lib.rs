//! Decisions of the dispatcher of one upstream.
//!
//! A dispatcher is the only process that sends to its upstream. This crate holds what it decides:
//! which request runs on which slot and when, which is shed, what a caller may be told, whether the
//! upstream is alive, and when a shard has verifiably left it. Nothing here performs I/O or reads a
//! clock. Every function takes the current tick and the driver performs what is returned, so every
//! decision can be tested on manual time.
//!
//! - [`Admission`] combines the parts below and is what a driver talks to.
//! - [`Cause`] maps what happened on a connection to a truthful [`Outcome`](trefoil_core::Outcome).
//! - [`OutcomeMemory`] recognises repeats of a request id.
//! - [`Health`] judges the upstream by probes and requests, and says whether it gets work.
//! - [`Limit`] and [`ServiceTime`] follow what the upstream shows under load.
//! - [`Ownership`] releases a shard only with proof that nothing is in flight.
//! - [`RetryBudget`] and [`ConnectionBudget`] bound what the upstream is exposed to.
//!
//! Each upstream has its own [`Admission`] and [`Health`], and an upstream belongs to one service.
//! Services therefore share neither queues nor budgets.
//!
//! # Driving
//!
//! ```
//! use std::time::Duration;
//! use trefoil_core::{Outcome, Shard, Slots, Tick};
//! use trefoil_dispatch::{Admission, Cause, Decision, Origin, Report, Request, Status, WallClock};
//!
//! let now = Tick::default();
//! let mut admission = Admission::builder(WallClock::default()).slots(Slots(4)).build()?;
//! admission.assign(now, Shard(7), Origin::New)?;
//!
//! let request = Request::new(Shard(7), now.after(Duration::from_millis(200))).idempotent();
//! let Decision::Start(ticket) = admission.offer(now, request) else {
//!     panic!("an idle upstream starts a request at once");
//! };
//! // Immediately before the first byte is written:
//! assert!(admission.check_write(now, &ticket).is_ok());
//! // The upstream answered after 10 ms:
//! let now = now.after(Duration::from_millis(10));
//! let finished = admission.finish(now, ticket, Cause::Answered(Status(200)))?;
//! let Report::Answer(record) = finished.report else {
//!     panic!("an answered request is not retried");
//! };
//! assert_eq!(record.outcome, Outcome::Done);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! The driver sends what [`Actions`] names as started, answers what it names as dropped or expired,
//! and calls [`Admission::poll`] and [`Health::poll`] at the ticks that their `next_wake` gives. It
//! passes [`Health::access`] to [`Admission::set_access`] after every change of state, and the signal
//! of each finished attempt to [`Health::on_signal`].

pub mod admission;
pub mod budget;
pub mod grant;
pub mod health;
pub mod limit;
#[doc(hidden)]
pub mod mechanism;
pub mod memory;
pub mod ownership;
mod queue;
pub mod request;
pub mod ticket;
pub mod verdict;

pub use admission::{Access, Admission, AdmissionBuilder};
pub use budget::{ConnectionBudget, ConnectionPermit, RetryBudget};
pub use grant::{GRANT_PATH, Grant};
pub use health::{Health, HealthState, Probe};
pub use limit::{Limit, ServiceTime};
pub use memory::{Handover, OutcomeMemory, WallClock};
pub use ownership::{Origin, Ownership, OwnershipError, Proof, Release, ShardState};
pub use request::{Digest, Record, Request, ShedReason};
pub use ticket::{
    Actions, Cancelled, Decision, Dropped, Finished, Report, Ticket, TicketError, TicketId,
    WriteError,
};
pub use verdict::{Cause, Refusal, Signal, Status, Verdict};
