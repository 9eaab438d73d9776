//! Witnessed leases: which host may act as the dispatcher of an upstream.
//!
//! An upstream accepts requests from one dispatcher at a time. The dispatcher and two successors
//! are recorded in the log beforehand; this crate decides which of them acts at a given moment,
//! without writing to the log. It has no I/O and reads no clock: every function takes the current
//! [`Tick`](trefoil_core::Tick), and returns [`Effect`]s for the caller to carry out.
//!
//! | part | role |
//! |---|---|
//! | [`Holder`] | the lease of this host: sends heartbeats, counts promises, changes witnesses |
//! | [`Witness`] | timers for the leases of other hosts: promises, attests expiries, closes |
//! | [`Succession`] | the roles of this host: collects attestations, decides on authority |
//! | [`Records`] | the leases and assignments in the log, as far as this host has read it |
//!
//! The states of a holder and of a witness's entry are the state charts `charts/holder.yaml` and
//! `charts/witness.yaml`, which the code interprets. What is final in the protocol is a state
//! without transitions there.
//!
//! # Why witnesses
//!
//! Renewing leases in the log needs one append for each host and period, which exceeds what the log
//! accepts at full scale, and loses every lease in an outage of the log. Authority for as long as
//! the log was read recently fails in the same outage, and a paused reader keeps it. Witnesses keep
//! nothing but timers. They agree on nothing, and they do not choose the successor.
//!
//! # Why two hosts never act at once
//!
//! The argument has four steps. The modules give the details of each.
//!
//! 1. *A valid lease is covered by promises.* The holder's lease is valid while a majority of its
//!    witnesses has promised not to attest its expiry. The holder counts a promise from the send
//!    time of its heartbeat, and shortens it by the largest drift, so its count ends before the
//!    witness's does ([`holder`]).
//! 2. *An attestation is final.* A witness attests only when its promise has run out, and gives no
//!    other to that generation afterwards. Any two majorities share a seat, so once a majority has
//!    attested, no majority of promises exists, and none can come about. A process that restarts
//!    forgets what it attested; the process that replaces it gives no promises at all for the seat
//!    and waits for those of its predecessor to run out ([`witness`]).
//! 3. *A change of witnesses keeps both properties.* The holder relies on both sets until a majority
//!    of the old one can no longer attest. What proves its loss depends on how far it has come, and
//!    a successor that cannot tell needs the proof for both ([`holder`], [`succession`]).
//! 4. *The order of succession is total.* In one term a host acts only when all hosts of lower rank
//!    are lost. Across terms it acts only when all hosts of earlier terms are lost or have renounced
//!    those terms ([`succession`]).
//!
//! Tokens follow the order in which hosts act, so an upstream that checks fences can refuse the
//! older one.
//!
//! The argument needs these assumptions:
//!
//! - The rates of any two hosts' clocks differ by at most the drift of [`Timing`], 2% by default.
//!   This is a bound on the difference. Clocks that each deviate by up to 2% from true time differ
//!   by 4%, and need a drift of 40.
//! - Only one process at a time serves an address.
//! - The transport authenticates the sender of a message.
//! - [`Records`] only advance, and [`Witness::mark_caught_up`] is called only after everything is
//!   applied that was in the log when the process started.
//!
//! It needs no bound on the delay, loss, order or repetition of messages, and none on pauses.
//!
//! # Time until the next host acts
//!
//! A crash ends the last promise within a lease (1.5 s) of the last heartbeat. The attestation then
//! takes one message, or 0.3 s more for each one that is lost. Three cases take longer:
//!
//! - A holder that is heard and does not hear stops its heartbeats at the end of its lease, 1.47 s
//!   after the last promise it received. Its witnesses attest 1.5 s later.
//! - A host that is lost before its first heartbeat is attested after the grace time of 3 s. The
//!   grace time is longer than a lease because the holder may read its own record late.
//! - After a restart of all hosts, fresh processes wait for a lease from their start.
//!
//! # What stops a host
//!
//! The safety of a takeover rests on the holder's own check, so the caller must
//!
//! - call [`Succession::authority`] immediately before each request is handed to the socket,
//! - arm the kernel timer at each [`Effect::Extended`], which kills a process that was paused between
//!   the check and the write, and
//! - close the upstream's connections and disarm the timer at [`Effect::Stopped`], which
//!   [`Succession::poll`] returns from [`Timing::margin`] before the end of the lease.
//!
//! A lease that has ended stays ended. The process restarts under a new host id, so old memory is
//! never taken for the state of the new incarnation.
//!
//! # When nobody acts
//!
//! Safety does not depend on the number of failures, but progress does. Nobody acts for an upstream
//! while
//!
//! - three of a host's five witnesses are lost together with it, until they are replaced at the same
//!   addresses and the log is up, or the host's death is in the log;
//! - witnesses have restarted while the log is down, and the others are no majority. They cannot
//!   know whether their predecessors closed a generation;
//! - the dispatcher and both successors are lost, until the log has a new term and the old hosts'
//!   expiries are attested; or
//! - a host that was ranked in an earlier term is alive, but cannot be asked to renounce it.
//!
//! A witness that restarts does not return to the holder's current generation. The holder needs a
//! new generation with the fresh process in it, so hosts have to be replaced no faster than their
//! holders change generations: at most two witnesses of a host between two of its changes.
//!
//! # Use
//!
//! The caller applies each record to its [`Records`] and passes them to `sync` of all three parts,
//! which keep no copy of them: a copy for each record would cost more than the protocol itself.
//! It passes every message to `receive` of all three parts, including those that a host sends to
//! itself. It calls `poll` of all three after that, and at the ticks that `next_wake` names.
//! [`Effect::CatchUp`] asks the caller to catch up with the log, or with the peer whose message led to
//! it.

pub mod holder;
pub mod message;
pub mod records;
pub mod succession;
#[doc(hidden)]
pub mod switches;
pub mod timing;
pub mod witness;

pub use holder::{Holder, HolderState};
pub use message::{Attestation, Effect, Message, Peer, Refusal, Verdict};
pub use records::{
    Assignment, Generation, HostLeases, Lease, Records, WitnessIndex, WitnessSlot, majority,
};
pub use succession::Succession;
#[doc(hidden)]
pub use switches::Switches;
pub use timing::{Timing, TimingBuilder, TimingError};
pub use witness::{EntryState, Witness};
