//! Whole paths over separate processes on loopback.

pub mod deployment;
mod ended;
mod history;
mod recovery;
mod scenario;
mod settings;
mod stops;
mod takeover;
mod thin;
