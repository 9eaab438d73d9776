//! Witnessed leases, which decide the host that acts as the dispatcher of an upstream.
//!
//! An upstream accepts requests from one dispatcher at a time. The dispatcher and two successors
//! are recorded in the log beforehand. This crate decides which of them acts at a given moment,
//! without writing to the log. It performs no I/O and reads no clock: every function takes the
//! current [`Tick`](trefoil_core::Tick), and returns [`Effect`]s for the caller to carry out.
//!
//! | type | role |
//! |---|---|
//! | [`Holder`] | the lease of this host: sends heartbeats, counts promises, changes witnesses |
//! | [`Witness`] | timers for the leases of other hosts: promises, attestations, closings |
//! | [`Succession`] | the roles of this host: collects attestations and derives its authority |
//! | [`Records`] | the leases and assignments in the log, as far as this host has read it |
//!
//! The states of a holder and of a witness's entry are the state charts `charts/holder.yaml` and
//! `charts/witness.yaml`, which the code interprets. A final state of the protocol is a state
//! without transitions in its chart.
//!
//! # Why witnesses
//!
//! Renewal of leases in the log would need one append per host and period, which is more than the
//! log accepts at full scale, and an outage of the log would end every lease. If authority lasted
//! for as long as the log was read recently, the same outage would end it, and a paused reader
//! would keep it. Witnesses store nothing but timers. They run no agreement protocol among
//! themselves, and they do not choose the successor.
//!
//! # Why two hosts never act at once
//!
//! The argument has four steps. The modules give the details of each.
//!
//! 1. *A valid lease is covered by promises.* The holder's lease is valid while a majority of its
//!    witnesses has promised not to attest its expiry. The holder counts a promise from the send
//!    time of its heartbeat and shortens it by the largest drift, so its count ends before the
//!    witness's timer ([`holder`]).
//! 2. *An attestation is final.* A witness attests only when its promise has run out, and gives no
//!    further promise to that generation. Any two majorities have a witness in common, so after a
//!    majority has attested, no majority of promises exists, and none can be formed. A process that
//!    restarts loses its memory of attestations. The process that replaces it therefore makes no
//!    promise in its predecessor's place, and waits until the predecessor's promises have run out
//!    ([`witness`]).
//! 3. *A change of witnesses keeps both properties.* The holder relies on both sets until a
//!    majority of the old one can no longer attest. The proof of its loss depends on the progress
//!    of the change, and a successor that does not know the progress needs the proof for both sets
//!    ([`holder`], [`succession`]).
//! 4. *The order of succession is total.* Within a term a host acts only when all hosts of lower
//!    rank are lost. Across terms it acts only when all hosts of earlier terms are lost or have
//!    renounced those terms ([`succession`]).
//!
//! Tokens increase in the order in which hosts act, so an upstream that checks fences can refuse
//! the older one.
//!
//! The argument needs these assumptions:
//!
//! - The rates of any two hosts' clocks differ by at most the drift of [`Timing`], 2% by default.
//!   This bounds the difference of two clocks. Clocks that each deviate by up to 2% from true time
//!   differ by 4%, and need a drift of 40.
//! - Only one process at a time serves an address.
//! - The transport authenticates the sender of a message.
//! - [`Records`] only advance, and [`Witness::mark_caught_up`] is called only after everything has
//!   been applied that was in the log when the process started.
//!
//! It needs no bound on the delay, loss, order or duplication of messages, and none on pauses.
//!
//! # Time until the next host acts
//!
//! After a crash, the last promise runs out within a lease (1.5 s) of the last heartbeat. The
//! attestation then takes one message, or 0.3 s more for each one that is lost. Three cases take
//! longer:
//!
//! - A holder that can send but not receive stops its heartbeats at the end of its lease, 1.47 s
//!   after the last promise it received. Its witnesses attest 1.5 s later.
//! - A host that is lost before its first heartbeat is attested after the grace time of 3 s. The
//!   grace time is longer than a lease because the holder may read its own record late.
//! - After a restart of all hosts, fresh processes wait for a lease from their start.
//!
//! # Duties of the caller
//!
//! The safety of a takeover rests on the holder's own check, so the caller must
//!
//! - call [`Succession::authority`] immediately before it hands each request to the socket,
//! - arm the kernel timer at each [`Effect::Extended`], which kills a process that was paused
//!   between the check and the write, and
//! - close the upstream's connections and disarm the timer at [`Effect::Stopped`], which
//!   [`Succession::poll`] returns from [`Timing::margin`] before the end of the lease.
//!
//! A lease that has ended is never valid again. The process restarts under a new host id, so its
//! old memory cannot pass for the state of the new incarnation.
//!
//! # When no host acts
//!
//! Safety does not depend on the number of failures, but progress does. No host acts for an
//! upstream while
//!
//! - three of a host's five witnesses are lost together with it, until they are replaced at the
//!   same addresses and the log is reachable, or the host's death is in the log;
//! - witnesses have restarted while the log is unreachable, and the others are no majority. The
//!   restarted ones cannot know whether their predecessors closed a generation;
//! - the dispatcher and both successors are lost, until the log has a new term and the old hosts'
//!   expiries are attested; or
//! - a host that was ranked in an earlier term is alive, but no request to renounce that term
//!   reaches it.
//!
//! A witness that restarts does not return to the holder's current generation. The holder needs a
//! new generation that names the fresh process. Hosts therefore have to be replaced no faster than
//! their holders change generations: at most two witnesses of a host between two of its changes.
//!
//! # Use
//!
//! The caller applies each record to its [`Records`] and passes them to `sync` of the holder, the
//! witness and the succession. These keep no copy of the records, since a copy per record would
//! cost more than the protocol itself. The caller passes every message to `receive` of all three,
//! including messages that a host sends to itself. It calls `poll` of all three after that, and at
//! the ticks that `next_wake` returns. [`Effect::CatchUp`] asks the caller to catch up with the
//! log, or with the peer whose message caused it.

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
