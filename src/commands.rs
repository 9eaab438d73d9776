//! The subcommands of the binaries, one file each.

pub mod ctl;
