//! Whole paths over separate processes on loopback.

mod deployment;
mod history;
mod recovery;
mod scenario;
mod stops;
mod takeover;
mod thin;
