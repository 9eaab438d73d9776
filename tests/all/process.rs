//! Whole paths over separate processes on loopback.

pub mod deployment;
mod stops;
mod takeover;
mod thin;
