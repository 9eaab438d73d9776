//! Test doubles of the platform's store and of upstreams, with fault injection.
//!
//! [`StoreServer`] serves a store over the platform's HTTP protocol. [`FaultyStore`] injects faults
//! beneath it, which a test switches in the same process or, through [`FaultControl`], over HTTP.
//! [`Upstream`] implements the platform's protocol for upstreams with a selectable
//! [`ResponseMode`]; a shared [`RunRecorder`] records every request that upstreams run and every
//! violation of key ownership. [`ControlPlane`] writes the records that come from operators and
//! from the platform itself.

pub mod control_plane;
pub mod faults;
pub mod store;
pub mod upstream;

pub use control_plane::{ControlPlane, test_config};
pub use faults::{FaultControl, FaultyStore, StoreFault};
pub use store::StoreServer;
pub use upstream::{LATE_RELEASE, ResponseMode, Run, RunRecorder, Upstream, UpstreamSpec};
