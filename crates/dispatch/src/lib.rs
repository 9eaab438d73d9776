//! Decisions of the dispatcher of one upstream.
//!
//! A dispatcher is the only process that sends to its upstream. This crate decides when a request
//! runs on a slot, which requests are shed, the outcome that a caller receives, the health of the
//! upstream, and the moment at which a shard has provably left it. Nothing here performs I/O or
//! reads a clock. Every function takes the current tick and the driver carries out the returned
//! actions, so every decision can be tested on manual time.
//!
//! - [`Admission`] combines the parts below and is the interface of the driver.
//! - [`Cause`] maps the end of an attempt to a truthful [`Outcome`](trefoil_core::Outcome).
//! - [`OutcomeMemory`] recognises duplicates of a request id.
//! - [`Health`] derives the health of the upstream from probes and requests.
//! - [`Limit`] and [`ServiceTime`] track the capacity of the upstream under load.
//! - [`Ownership`] releases a shard only with proof that nothing is in flight.
//! - [`RetryBudget`] and [`ConnectionBudget`] bound the load on the upstream.
//!
//! Each upstream has its own [`Admission`] and [`Health`], and an upstream belongs to one service.
//! Services therefore share neither queues nor budgets.
//!
//! # Use
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
//! The driver sends the requests that [`Actions`] lists as started, answers those that it lists as
//! dropped or expired, and calls [`Admission::poll`] and [`Health::poll`] at the ticks that their
//! `next_wake` gives. It passes [`Health::access`] to [`Admission::set_access`] after every change
//! of state, and the signal of each finished attempt to [`Health::on_signal`].

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
