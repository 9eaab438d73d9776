//! Integration tests of the workspace, with one module for each crate or area.

mod config;
mod dispatch;
mod gateway;
mod h1;
mod lease;
mod log;
mod placement;
mod planning;
mod platform;
mod process;
mod ranges;
mod raw;
mod reactor;
mod sessions;
mod wire;
