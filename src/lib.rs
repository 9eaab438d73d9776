//! The commands of `trefoild` and `trefoilctl`.
//!
//! This library exists so that each binary is one call and the commands are compiled and documented
//! once. Other projects embed the crates in `crates/`, not this one.

pub mod commands;
