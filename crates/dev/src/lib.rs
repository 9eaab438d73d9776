//! In-process platform and sample upstreams.
//!
//! `trefoild dev` runs these so that the router can be tried without anything else. The stand-in
//! processes of the test suite serve the same code with faults in front of it.

pub mod platform;
pub mod upstream;

pub use platform::PlatformServer;
pub use upstream::{Run, SampleUpstream};
