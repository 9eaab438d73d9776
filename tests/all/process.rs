//! Whole paths over separate processes on loopback.

mod deployment;
mod stops;
mod takeover;
mod thin;
