//! The commands of `trefoild` and `trefoilctl`.
//!
//! It exists so that `trefoilctl` consists of one call and its commands are compiled and documented
//! once. Other projects should depend on the crates in `crates/` instead.

pub mod commands;
