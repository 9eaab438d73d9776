//! Sessions of callers and operators with an entry host in this process.
//!
//! The golden files hold every byte that the host answers, except times, ids and ports.

mod caller;
mod grants;
mod host;
mod operator;
mod streams;
mod traces;
mod upstream;
mod watch;
mod wire;
