//! Whole paths over separate processes on loopback.

mod deployment;
mod history;
mod scenario;
mod stops;
mod takeover;
mod thin;
