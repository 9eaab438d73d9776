//! Whole paths over separate processes on loopback.

mod deployment;
mod recovery;
mod stops;
mod takeover;
mod thin;
