//! Small deployments of real host processes, and a randomized fault-injection soak.
//!
//! [`Fleet`] starts `trefoild serve` processes between test doubles of the store and of upstreams.
//! Tests of single guarantees use it directly. [`soak()`] drives one with concurrent callers for
//! some seconds, injects faults from outside the processes, and checks the guarantees against the
//! answers that callers received and the runs that upstreams recorded. A seed determines all random
//! choices, so a failed seed can serve as a regression case.

#![expect(
    clippy::missing_panics_doc,
    reason = "a test harness: a panic fails the test"
)]

pub mod callers;
pub mod fleet;
pub mod invariants;
pub mod proxy;
pub mod soak;

pub use fleet::{Answer, Fleet, Host, eventually, read_answer, send_request, upstream_spec};
pub use proxy::LinkMode;
pub use soak::{Options, soak};
