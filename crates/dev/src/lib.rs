//! Sample upstreams for local trials and tests.
//!
//! `trefoild dev` runs them in its own process, so the router can be tried without any other
//! software. `trefoil-standin upstream` serves the same implementation as a separate process for
//! the tests.

pub mod upstream;

pub use upstream::{Run, SampleUpstream};
