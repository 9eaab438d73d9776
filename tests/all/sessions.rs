//! Sessions of callers and operators with an entry host in this process.
//!
//! The golden files contain every byte of the answers, except times, ids and ports.

mod caller;
mod copies;
mod early_answers;
mod grants;
mod host;
mod odd_bodies;
mod odd_heads;
mod operator;
mod raw_http;
mod streams;
mod traces;
mod upstream;
mod watch;
