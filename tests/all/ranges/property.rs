//! Random faults around changes of ownership.

use std::time::Duration;

use rand::RngExt;
use trefoil_ranges::Table;

use super::world::{Faults, World, range};

const UPSTREAMS: usize = 5;

/// Steps of one run: 40 seconds.
const STEPS: usize = 2000;

const SEEDS: u64 = 60;

/// Seeds beyond the others that once failed: an unanswered grant that was applied after a later one
/// was answered (149), a release that arrived after the range had returned to its owner (1453), and
/// a bar that outlived the grants before it (1516).
const FAILED: [u64; 3] = [149, 1453, 1516];

fn seeds() -> impl Iterator<Item = u64> {
    (0..SEEDS).chain(FAILED)
}

/// Steps in which all grants of former stewards have run out: 14 seconds.
const LONGEST_WAIT: usize = 700;

fn random_change(
    table: &mut Table,
    random: &mut rand::rngs::StdRng,
    incarnations: &[trefoil_directory::Incarnation],
) {
    for _ in 0..random.random_range(1..=3) {
        let first = random.random_range(0..16);
        let last = random.random_range(first..16);
        if incarnations.is_empty() {
            return;
        }
        let to = &incarnations[random.random_range(0..incarnations.len())];
        table.assign(range(first, last), to);
    }
}

fn run(seed: u64, faults: Faults, disturb: bool) -> World {
    let mut world = World::new(seed, UPSTREAMS, faults);
    world.take_over();
    for step in 0..STEPS {
        let newest = world.hosts.len() - 1;
        if step % 13 == 0 {
            let incarnations = world.incarnations();
            world.plan(newest, |table, random| {
                if random.random_bool(0.4) || step == 0 {
                    random_change(table, random, &incarnations);
                }
            });
        }
        if disturb {
            disturb_once(&mut world, newest);
        }
        world.step();
        if !world.violations.is_empty() {
            break;
        }
    }
    world
}

fn disturb_once(world: &mut World, newest: usize) {
    let now = world.now;
    let span = Duration::from_millis(world.random.random_range(100..6000));
    match world.random.random_range(0..600) {
        0 => world.take_over(),
        1 => world.hosts[newest].paused = now.after(span),
        2 => world.hosts[newest].cut = now.after(span),
        3 => {
            // A steward that the store does not answer goes on while another one takes over.
            world.hosts[newest].cut = now.after(span);
            world.take_over();
        }
        4 => {
            let index = world.random.random_range(0..UPSTREAMS);
            world.crash(index);
        }
        5 => {
            let index = world.random.random_range(0..UPSTREAMS);
            world.restart(index);
        }
        _ => {}
    }
}

/// Guards against two upstreams that hold the same key, and against a grant with a fence that is
/// not above all others' of its keys.
#[test]
fn no_key_has_two_owners() {
    let faults = Faults {
        unsent: 0.05,
        lost: 0.1,
        late: 0.05,
        write_lost: 0.1,
    };
    for seed in seeds() {
        let world = run(seed, faults, true);
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {}",
            world.story()
        );
    }
}

/// Guards against ranges that never get their owner: without faults every change is carried out.
#[test]
fn every_key_is_served_when_nothing_fails() {
    for seed in seeds() {
        let mut world = run(seed, Faults::default(), false);
        for _ in 0..200 {
            let newest = world.hosts.len() - 1;
            world.plan(newest, |_, _| {});
            world.step();
        }
        assert_eq!(world.served(), 16, "seed {seed}");
    }
}

/// Guards against keys that stay without an owner after a fault: once nothing fails any more, all of
/// them are served again within the longest wait for former grants.
#[test]
fn every_key_is_served_after_faults() {
    let faults = Faults {
        unsent: 0.05,
        lost: 0.1,
        late: 0.02,
        write_lost: 0.1,
    };
    for seed in seeds() {
        let mut world = run(seed, faults, true);
        world.faults = Faults::default();
        for index in 0..UPSTREAMS {
            world.restart(index);
        }
        world.take_over();
        let newest = world.hosts.len() - 1;
        let incarnations = world.incarnations();
        for _ in 0..LONGEST_WAIT {
            world.plan(newest, |table, _| {
                let gone = |e: &trefoil_ranges::Entry| {
                    let owner = e.owner.as_ref().map(|o| &o.incarnation);
                    !incarnations
                        .iter()
                        .any(|incarnation| owner == Some(incarnation))
                };
                let ranges = table.entries().iter().filter(|e| gone(e));
                let ranges: Vec<_> = ranges.map(|e| e.range).collect();
                for (range, incarnation) in ranges.into_iter().zip(incarnations.iter().cycle()) {
                    table.assign(range, incarnation);
                }
            });
            world.step();
        }
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {}",
            world.story()
        );
        assert_eq!(world.served(), 16, "seed {seed}");
    }
}
