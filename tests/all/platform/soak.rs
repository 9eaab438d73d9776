//! The randomized fault soak, with seeds that are fixed.

use std::time::Duration;

use trefoil_soak::{Options, soak};

fn run(seed: u64) {
    let options = Options {
        program: super::program().to_owned(),
        seed,
        span: Duration::from_secs(8),
        hosts: 3,
    };
    let (broken, story) = soak(&options);
    assert!(
        broken.is_empty(),
        "{}\n{}",
        broken.join("\n"),
        story.join("\n")
    );
}

/// Guards against promises that hold only for one fault at a time: hosts are killed, stopped and
/// paused, upstreams crash, misbehave and leave, and links and the store fail, all at once.
#[test]
fn promises_hold_under_overlapping_faults() {
    run(20_261_204);
}
