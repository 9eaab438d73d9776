//! Load far above capacity, frozen upstreams, and the violations that each mechanism prevents.

use trefoil_core::Outcome;
use trefoil_dispatch::mechanism::Mechanism;

use super::sim::{Checker, Setup, Sim};

/// Returns the requests that the only upstream answered in time, as a share of its capacity. The
/// capacity is computed from the service times that were drawn in the run.
fn goodput(setup: &Setup, check: &Checker) -> f64 {
    let seconds = u32::try_from(setup.seconds).expect("a short run");
    let count = u32::try_from(check.drawn.len()).expect("a short run");
    let mean = check.drawn.iter().sum::<f64>() / f64::from(count);
    let capacity = f64::from(setup.slots[0]) * f64::from(seconds) / mean;
    let good = u32::try_from(check.good[0]).expect("a short run");
    f64::from(good) / capacity
}

/// Returns the given quantile.
fn quantile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let len = f64::from(u32::try_from(sorted.len()).expect("a short run"));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the index is below the length"
    )]
    let index = ((len - 1.0) * part) as usize;
    sorted[index]
}

/// Guards against a collapse under overload: slots spent on requests that then miss their deadline.
#[test]
fn goodput_at_three_times_capacity() {
    for (slots, seed) in [(4, 1), (4, 2), (2, 3), (2, 4)] {
        let setup = Setup {
            seed,
            slots: vec![slots],
            seconds: 60,
            ..Setup::default()
        };
        let check = Sim::run(setup.clone());
        let goodput = goodput(&setup, &check);
        println!(
            "slots {slots} seed {seed}: goodput {goodput:.4}, outcomes {:?}",
            check.outcomes
        );
        assert!(goodput >= 0.95, "slots {slots} seed {seed}: {goodput:.4}");
        assert_eq!(check.violations, [].into());
    }
}

fn faulty(seed: u64) -> Setup {
    Setup {
        seed,
        breaks: 0.02,
        refusals: 0.05,
        unwritten: 0.02,
        duplicates: 0.2,
        load: 1.0,
        ..Setup::default()
    }
}

/// Guards against false outcomes and second executions under broken connections, refusals,
/// duplicates, a freeze, a change of dispatcher and a move.
#[test]
fn outcomes_are_true_under_faults() {
    for seed in 1..=8 {
        let setups = [
            faulty(seed),
            Setup {
                load: 3.0,
                ..faulty(seed)
            },
            Setup {
                frozen: Some((5000, 9000)),
                ..faulty(seed)
            },
            Setup {
                takeover: Some(8000),
                ..faulty(seed)
            },
            Setup {
                slots: vec![4, 2],
                moved: Some(8000),
                ..faulty(seed)
            },
        ];
        for setup in setups {
            let check = Sim::run(setup.clone());
            assert_eq!(check.violations, [].into(), "{setup:?}");
            assert!(check.outcomes[&Outcome::Done] > 500, "{setup:?}");
        }
    }
}

/// Guards against a frozen upstream that slows requests of other upstreams.
#[test]
fn frozen_upstream_does_not_slow_others() {
    let calm = Setup {
        slots: vec![4, 4],
        load: 0.6,
        ..Setup::default()
    };
    let frozen = Setup {
        frozen: Some((5000, 15_000)),
        ..calm.clone()
    };
    let [calm, frozen] = [calm, frozen].map(|setup| {
        let check = Sim::run(setup);
        assert_eq!(check.violations, [].into());
        quantile(&check.latencies[1], 0.99)
    });
    println!("p99 of the other upstream: {calm:.2} ms calm, {frozen:.2} ms beside a frozen one");
    assert!(frozen <= 1.1 * calm, "{frozen:.2} ms against {calm:.2} ms");
}

/// Returns the number of violations over several seeds with one mechanism off.
fn violations(setup: &Setup, without: Mechanism) -> usize {
    let run = |seed| {
        let check = Sim::run(Setup {
            seed,
            without: Some(without),
            ..setup.clone()
        });
        check.violations.len()
    };
    (1..=4).map(run).sum()
}

/// Guards against a checker that cannot fail: with each mechanism off, the checker finds
/// violations.
#[test]
fn each_mechanism_prevents_violations() {
    let takeover = Setup {
        takeover: Some(8000),
        ..faulty(0)
    };
    let moved = Setup {
        slots: vec![4, 2],
        moved: Some(8000),
        ..faulty(0)
    };
    let strained = Setup {
        slots: vec![2],
        load: 3.0,
        breaks: 0.2,
        ..faulty(0)
    };
    for (setup, mechanism) in [
        (faulty(0), Mechanism::Memory),
        (takeover, Mechanism::MintRule),
        (moved.clone(), Mechanism::ReleaseWait),
        (moved, Mechanism::Handover),
        (strained, Mechanism::Linger),
        (faulty(0), Mechanism::PriorRun),
    ] {
        let found = violations(&setup, mechanism);
        println!("without {mechanism:?}: {found} violations");
        assert!(found > 0, "{mechanism:?}");
    }
}

/// Guards against a load test whose result does not depend on shedding.
#[test]
fn goodput_collapses_without_shedding() {
    let setup = Setup {
        without: Some(Mechanism::Shedding),
        ..Setup::default()
    };
    let goodput = goodput(&setup, &Sim::run(setup.clone()));
    println!("without shedding: goodput {goodput:.4}");
    assert!(goodput < 0.95, "{goodput:.4}");
}
