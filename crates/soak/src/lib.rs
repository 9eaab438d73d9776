//! Small deployments of real processes, and a randomized fault soak over them.
//!
//! [`Fleet`] starts `trefoild serve` processes between a stand-in store, stand-in upstreams and
//! callers. Tests of single promises use it directly. [`soak()`] drives one for some seconds while it
//! injects faults from outside the processes, and judges what callers and upstreams have seen.

#![expect(
    clippy::missing_panics_doc,
    reason = "a harness of tests: what panics here fails the test"
)]

pub mod callers;
pub mod fleet;
pub mod invariants;
pub mod proxy;
pub mod soak;

pub use fleet::{Answer, Fleet, Host, eventually, read_answer, send_request, upstream_spec};
pub use proxy::LinkMode;
pub use soak::{Options, soak};
