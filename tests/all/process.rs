//! End-to-end tests with separate processes on loopback addresses.

mod child;
pub mod deployment;
mod dev;
mod history;
mod lease_end;
mod recovery;
mod scenario;
mod settings;
mod smoke;
mod stops;
mod takeover;
