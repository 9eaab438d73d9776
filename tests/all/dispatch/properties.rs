//! Properties of admission under random sequences of events.

mod model;

use std::cell::RefCell;
use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use trefoil_dispatch::mechanism::Mechanism;
use trefoil_dispatch::{Cause, Proof, Refusal, Status};

use self::model::{Model, SHARDS, Step};

/// Returns a configuration with a fixed seed, so that every run gives the same result.
pub(super) fn fixed(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(0x7265_6669),
        ..Config::default()
    }
}

fn causes() -> impl Strategy<Value = Cause> {
    prop_oneof![
        6 => Just(Cause::Answered(Status(200))),
        1 => Just(Cause::Answered(Status(500))),
        1 => Just(Cause::NotConnected),
        1 => Just(Cause::NothingWritten),
        1 => Just(Cause::PartiallyWritten),
        2 => Just(Cause::NoAnswer),
        1 => Just(Cause::CutOff),
        2 => Just(Cause::Refused(Refusal::Overload)),
        1 => Just(Cause::Refused(Refusal::Fence)),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let offer = (
        0..SHARDS,
        1u64..200,
        prop::option::weighted(0.8, 0u64..20),
        prop_oneof![9 => Just(1u128), 1 => Just(2)],
        any::<bool>(),
    )
        .prop_map(|(shard, deadline, id, digest, idempotent)| Step::Offer {
            shard,
            deadline,
            id,
            digest,
            idempotent,
        });
    let step = prop_oneof![
        12 => offer,
        6 => (0u64..60).prop_map(Step::Advance),
        10 => (any::<usize>(), causes()).prop_map(|(n, c)| Step::Finish(n, c)),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (0u8..6).prop_map(Step::Access),
        1 => (0..SHARDS).prop_map(Step::Revoke),
        1 => (0..SHARDS).prop_map(Step::Assign),
        1 => (0..SHARDS).prop_map(Step::Receive),
        2 => Just(Step::Renew),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(fixed(2000))]

    /// Guards against exceeded slots, an overtaken deadline, a second run of an id, a false "not
    /// run", a memory beyond its bound, lost tickets and a release without proof.
    #[test]
    fn admission_keeps_its_invariants(
        slots in 1u32..5,
        proof in prop_oneof![Just(Proof::Deadline), Just(Proof::Grant)],
        steps in steps(),
    ) {
        let mut model = Model::new(slots, proof, None);
        for step in &steps {
            model.apply(step);
        }
        model.finish_all();
    }
}

/// Runs random steps until an invariant is violated, and returns its message. Adds the names of the
/// decisions that occurred to `seen`.
fn find_violation(without: Option<Mechanism>, seen: &RefCell<BTreeSet<String>>) -> Option<String> {
    let config = Config {
        max_shrink_iters: 0,
        failure_persistence: None,
        ..fixed(500)
    };
    let result = TestRunner::new(config).run(&steps(), |steps| {
        let mut model = Model::new(2, Proof::Deadline, without);
        for step in &steps {
            model.apply(step);
        }
        model.finish_all();
        seen.borrow_mut().append(&mut model.seen);
        Ok(())
    });
    match result {
        Err(TestError::Fail(reason, _)) => Some(reason.message().to_owned()),
        Err(TestError::Abort(reason)) => panic!("aborted: {reason}"),
        Ok(()) => None,
    }
}

/// Guards against random steps that never reach some decision, which the property would then not
/// test.
#[test]
fn properties_reach_every_decision() {
    let seen = RefCell::default();
    assert_eq!(find_violation(None, &seen), None);
    let expected = [
        "cancelled",
        "conflict",
        "expired",
        "forgotten",
        "in flight",
        "memory full",
        "moved",
        "queue full",
        "queued",
        "release",
        "repeat",
        "retry",
        "start",
        "too late",
        "unavailable",
    ];
    let missing: Vec<&str> = expected
        .into_iter()
        .filter(|&name| !seen.borrow().contains(name))
        .collect();
    assert_eq!(missing, [""; 0]);
}

/// Guards against invariants that cannot fail: with each mechanism off, one is violated.
#[test]
fn properties_need_each_mechanism() {
    for (mechanism, violation) in [
        (Mechanism::Memory, " ran"),
        (Mechanism::MintRule, " ran"),
        (Mechanism::ReleaseWait, "released with"),
        (Mechanism::Linger, "of 2 slots"),
        (Mechanism::PriorRun, "answered not-run and ran"),
    ] {
        let message = find_violation(Some(mechanism), &RefCell::default()).unwrap_or_default();
        assert!(message.contains(violation), "{mechanism:?}: {message}");
    }
}
