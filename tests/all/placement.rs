//! Tests of `trefoil-placement`.
//!
//! The property tests use a fixed seed, so that a failure is reproducible on all machines.

mod compare;
mod load;
mod planner;
mod report;
mod sketch;
mod table;

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use trefoil_core::UpstreamName;

/// Creates a test runner with a fixed seed that writes no regression files.
fn seeded_runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// Returns the names `u0`, `u1` and so on.
fn names(count: usize) -> Vec<UpstreamName> {
    let name = |i| format!("u{i}").parse().expect("valid name");
    (0..count).map(name).collect()
}
