//! Random schedules of faults and of planner decisions.
//!
//! The seed is fixed, so every run gives the same result. A failing schedule is saved next to this
//! file and is run first from then on.

use std::time::Duration;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, FileFailurePersistence, RngAlgorithm, TestRng, TestRunner};
use trefoil_lease::Switches;

use super::checker::TAKEOVER_MAX;
use super::script::switches;
use super::world::World;

const NAMES: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
const UPSTREAMS: [&str; 2] = ["u", "v"];

/// One decision or fault. Hosts are indices of [`NAMES`].
#[derive(Debug, Clone)]
enum Op {
    Crash(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Cut(usize, usize),
    Isolate(usize),
    Heal,
    Lease(usize, Vec<usize>),
    Assign(usize, Vec<usize>),
    Expire,
    Maintain,
    Log(bool),
    Lag(usize, u64),
}

/// The conditions of one run.
#[derive(Debug, Clone)]
struct Plan {
    seed: u64,
    delay: u64,
    loss: u32,
    rates: Vec<i32>,
    ops: Vec<(u64, Op)>,
}

fn host() -> std::ops::Range<usize> {
    0..NAMES.len()
}

fn distinct(count: usize) -> impl Strategy<Value = Vec<usize>> {
    proptest::sample::subsequence((0..NAMES.len()).collect::<Vec<_>>(), count).prop_shuffle()
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => host().prop_map(Op::Crash),
        3 => host().prop_map(Op::Restart),
        3 => host().prop_map(Op::Pause),
        3 => host().prop_map(Op::Resume),
        3 => (host(), host()).prop_map(|(a, b)| Op::Cut(a, b)),
        2 => host().prop_map(Op::Isolate),
        2 => Just(Op::Heal),
        4 => (host(), distinct(5)).prop_map(|(h, w)| Op::Lease(h, w)),
        3 => (0..UPSTREAMS.len(), distinct(3)).prop_map(|(u, h)| Op::Assign(u, h)),
        2 => Just(Op::Expire),
        1 => any::<bool>().prop_map(Op::Log),
        2 => (host(), 0..4000_u64).prop_map(|(h, ms)| Op::Lag(h, ms)),
    ]
}

/// Clock rates within 1% of true time, which differ by at most 2% from each other.
fn rates() -> impl Strategy<Value = Vec<i32>> {
    prop::collection::vec(-10..=10, NAMES.len())
}

/// Steps of schedules in which hosts restart and change witnesses as the daemons would.
///
/// Schedules without this step use the mechanisms for old generations more often.
fn maintained_op() -> impl Strategy<Value = Op> {
    prop_oneof![14 => op(), 1 => Just(Op::Maintain)]
}

fn plan<S>(op: S) -> impl Strategy<Value = Plan>
where
    S: Strategy<Value = Op>,
{
    let ops = prop::collection::vec((0..1500_u64, op), 1..30);
    let parts = (any::<u64>(), 1..300_u64, 0..40_u32, rates(), ops);
    parts.prop_map(|(seed, delay, loss, rates, ops)| Plan {
        seed,
        delay,
        loss,
        rates,
        ops,
    })
}

fn runner(cases: u32) -> TestRunner {
    let saved = FileFailurePersistence::Direct("tests/all/lease/property.seeds");
    let config = Config {
        cases,
        failure_persistence: Some(Box::new(saved)),
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}

fn names(hosts: &[usize]) -> Vec<String> {
    hosts.iter().map(|&h| NAMES[h].to_owned()).collect()
}

fn five_after(host: usize) -> Vec<usize> {
    (1..=5).map(|i| (host + i) % NAMES.len()).collect()
}

fn world(seed: u64, rates: &[i32], switches: Switches) -> World {
    let mut world = World::new(seed, switches);
    for (name, rate) in NAMES.iter().zip(rates) {
        world.start(name);
        world.clock(name, *rate);
    }
    for (i, name) in NAMES.iter().enumerate() {
        world.lease(name, &names(&five_after(i)));
    }
    world.assign("u", &names(&[0, 1, 2]));
    world.assign("v", &names(&[1, 2, 3]));
    world
}

fn apply(world: &mut World, op: &Op) {
    match op {
        Op::Crash(h) => world.crash(NAMES[*h]),
        Op::Restart(h) => {
            world.crash(NAMES[*h]);
            world.start(NAMES[*h]);
            if world.log_up {
                world.lease(NAMES[*h], &names(&five_after(*h)));
            }
        }
        Op::Pause(h) => world.pause(NAMES[*h]),
        Op::Resume(h) => world.resume(NAMES[*h]),
        Op::Cut(a, b) if a != b => world.cut(NAMES[*a], NAMES[*b]),
        Op::Isolate(h) => {
            for other in (0..NAMES.len()).filter(|o| o != h) {
                world.cut(NAMES[*h], NAMES[other]);
                world.cut(NAMES[other], NAMES[*h]);
            }
        }
        Op::Heal => world.heal(),
        Op::Lease(h, witnesses) => {
            let set: Vec<_> = witnesses.iter().copied().filter(|w| w != h).collect();
            if world.log_up && world.may_change(NAMES[*h]) {
                world.lease(NAMES[*h], &names(&set));
            }
        }
        Op::Assign(u, hosts) => {
            let ranked: Vec<_> = names(hosts)
                .into_iter()
                .filter(|h| world.is_running(h))
                .collect();
            if world.log_up && !ranked.is_empty() {
                world.assign(UPSTREAMS[*u], &ranked);
            }
        }
        Op::Expire if world.log_up => world.expire_lost(),
        Op::Maintain if world.log_up => world.maintain(),
        Op::Cut(..) | Op::Expire | Op::Maintain => {}
        Op::Log(up) => world.log_up = *up,
        Op::Lag(h, ms) => world.lag(NAMES[*h], Duration::from_millis(*ms)),
    }
}

/// Runs a schedule and resumes all paused processes at its end.
fn play(plan: &Plan, switches: Switches) -> World {
    let mut world = world(plan.seed, &plan.rates, switches);
    world.run(Duration::from_millis(500));
    world.delay = (0, plan.delay);
    world.loss = plan.loss;
    for (wait, op) in &plan.ops {
        world.run(Duration::from_millis(*wait));
        apply(&mut world, op);
    }
    world.run(Duration::from_secs(5));
    for name in NAMES {
        world.resume(name);
    }
    world.run(Duration::from_secs(1));
    world
}

/// Repairs all faults, restarts ended processes, replaces lost witnesses, and records a new term of
/// both upstreams.
fn repair(world: &mut World) {
    world.heal();
    world.delay = (5, 5);
    world.loss = 0;
    world.log_up = true;
    for name in NAMES {
        world.lag(name, Duration::ZERO);
    }
    for _ in 0..20 {
        world.run(Duration::from_secs(1));
        world.maintain();
    }
    world.run(TAKEOVER_MAX);
    world.expire_lost();
    world.assign("u", &names(&[0, 1, 2]));
    world.assign("v", &names(&[1, 2, 3]));
    world.run(TAKEOVER_MAX);
}

fn check_safety<S>(plans: &S)
where
    S: Strategy<Value = Plan>,
{
    let result = runner(cases(96)).run(plans, |plan| {
        let violations = play(&plan, Switches::default()).checker.violations;
        prop_assert!(violations.is_empty(), "{violations:?}");
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Guards against two hosts that act for one upstream, whatever the order of faults and decisions.
#[test]
fn no_schedule_gives_two_hosts_authority() {
    check_safety(&plan(op()));
}

/// Guards against two hosts that act for one upstream while hosts restart and replace lost
/// witnesses.
#[test]
fn no_maintained_schedule_gives_two_hosts_authority() {
    check_safety(&plan(maintained_op()));
}

/// Guards against a state from which no host can act again, although all faults are repaired and
/// all hosts run.
#[test]
fn every_schedule_can_be_repaired() {
    let result = runner(cases(40)).run(&plan(maintained_op()), |plan| {
        let mut world = play(&plan, Switches::default());
        repair(&mut world);
        prop_assert_eq!(world.acting("u"), ["a"]);
        prop_assert_eq!(world.acting("v"), ["b"]);
        prop_assert!(world.checker.violations.is_empty());
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Guards against schedules that are too weak: without a mechanism, one of the first forty gives
/// two hosts authority.
///
/// Two mechanisms are not listed. Four hundred schedules did not hit the 15 ms that the clock drift
/// amounts to, nor the restart of a witness whose closing did not reach the successors. The scripts
/// in `switches` show the violations that they prevent.
#[test]
fn schedules_need_each_mechanism() {
    let names = [
        "count-from-send",
        "closing",
        "refuse-after-attesting",
        "fresh-wait",
        "no-renewal-in-place",
        "majority",
        "rank-order",
        "renounce",
        "own-lease",
    ];
    for name in names {
        let mut runner = runner(1);
        let found = (0..40).any(|_| {
            let plan = plan(op()).new_tree(&mut runner).expect("a plan").current();
            !play(&plan, switches(name)).checker.violations.is_empty()
        });
        assert!(found, "{name} is off, and no schedule finds a violation");
    }
}

/// Guards against a takeover that misses the target under ordinary delay and loss.
#[test]
fn one_loss_is_repaired_within_the_target() {
    let conditions = (any::<u64>(), 1..50_u64, 0..10_u32, rates(), 0..3000_u64);
    let mut worst = Duration::ZERO;
    let cell = std::cell::RefCell::new(&mut worst);
    let result = runner(cases(96)).run(&conditions, |(seed, delay, loss, rates, at)| {
        let mut world = world(seed, &rates, Switches::default());
        world.delay = (0, delay);
        world.loss = loss;
        world.run(Duration::from_millis(1000 + at));
        world.crash("a");
        world.run(TAKEOVER_MAX);
        let took = world.checker.takeovers.first().map(|t| t.took);
        prop_assert_eq!(world.acting("u"), ["b"]);
        prop_assert!(took.is_some_and(|t| t <= TAKEOVER_MAX), "{took:?}");
        let mut worst = cell.borrow_mut();
        **worst = took.unwrap_or_default().max(**worst);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    println!("worst takeover: {} ms", worst.as_millis());
}

/// Returns the number of schedules, which `LEASE_CASES` overrides for a longer run.
fn cases(default: u32) -> u32 {
    let number = std::env::var("LEASE_CASES");
    number.map_or(default, |n| n.parse().expect("a number"))
}
