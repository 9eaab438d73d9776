//! Faults of the stand-in platform.

pub mod faults;

pub use faults::{Fault, FaultControl, FaultyLog};
