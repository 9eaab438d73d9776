//! Event loop of a host that runs on a single thread, and its sockets.
//!
//! `async-io`, the event loop of smol, serves any number of threads. Each process has a thread of
//! its own that takes over when no other one waits for events, and wakes up to a hundred times a
//! second to find out whether it has to. Each wait sets a timer descriptor and registers it again,
//! and each socket is registered again for each event. That is little for a process with cores of
//! its own. An entry host has a tenth of a core, receives datagrams from others all the time, and
//! spent more on these calls than on its requests.
//!
//! A host does all of its work on one thread, so this crate needs neither that thread nor locks.
//! [`block_on`] runs a future and waits for events in turn. A wait is one system call, whose timeout
//! is the next timer of the host's [`QueueClock`](trefoil_core::QueueClock). Sockets are registered
//! once, edge-triggered: the loop remembers whether a socket is ready, and a socket that is not is
//! not asked again before its next event.
//!
//! Sockets belong to the thread that has created them, and work only while that thread is in
//! [`block_on`]. Futures of other event loops work as well, because their wakers interrupt the wait.

mod notifier;
mod reactor;
mod run;
mod socket;
mod source;

pub use run::block_on;
pub use socket::{Async, is_local_failure};
