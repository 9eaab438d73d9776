//! Sample upstreams in this process.
//!
//! `trefoild dev` runs these so that the router can be tried without anything else. The stand-in
//! processes of the test suite serve the same code with faults in front of it.

pub mod upstream;

pub use upstream::{Run, SampleUpstream};
