//! Stand-ins of the platform's store and of upstreams, with faults.

pub mod control_plane;
pub mod faults;
pub mod store;
pub mod upstream;

pub use control_plane::{ControlPlane, test_config};
pub use faults::{FaultControl, FaultyStore, StoreFault};
pub use store::StoreServer;
pub use upstream::{ResponseMode, Run, RunRecorder, Upstream, UpstreamSpec};
