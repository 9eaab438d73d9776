//! The event loop of a host.

mod edges;
mod waits;
