//! Stand-ins of the platform's store and of upstreams, with faults.

pub mod faults;
pub mod operators;
pub mod store;
pub mod upstream;

pub use faults::{Fault, FaultControl, FaultyStore};
pub use operators::{Operators, config};
pub use store::StoreServer;
pub use upstream::{Manner, Run, Spec, Upstream, Witness};
