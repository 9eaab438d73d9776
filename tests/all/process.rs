//! Whole paths over separate processes on loopback.

mod deployment;
mod ended;
mod settings;
mod stops;
mod takeover;
mod thin;
