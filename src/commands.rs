//! Subcommands of the binaries, one file for each.

pub mod ctl;
