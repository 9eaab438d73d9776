//! Plans for a given view, observations and load.

use trefoil_core::Revision;
use trefoil_daemon::load::Window;
use trefoil_daemon::planner::balance::MemberAges;
use trefoil_daemon::planner::{ColdMembers, Observations, balance_plans, batches, merge_plans};
use trefoil_log::Verdict;
use trefoil_placement::{Change, SlowStart};

use super::world::{FOUR, World, loads, observed};

/// Guards against a first table that is uneven or has standbys in the failure domains of their
/// owners.
#[test]
fn the_first_table_is_even_and_its_standbys_are_elsewhere() {
    let world = World::placed(64, &FOUR);
    assert!(
        world.owners().values().all(|n| *n == 16),
        "{:?}",
        world.owners()
    );
    let odd = |m: trefoil_placement::Member| m.index() % 2;
    let replica_sets = world.table().replica_sets();
    assert!(replica_sets.iter().all(|s| odd(s.owner) != odd(s.standby)));
}

/// Guards against records that are written although no change is required.
#[test]
fn nothing_to_do_gives_no_record() {
    let world = World::placed(64, &FOUR);
    assert_eq!(
        world.required_placement(&observed(&[], &["offers-1", "offers-2"])),
        None
    );
    let even = balance_plans(
        &world.view,
        &Observations::default(),
        &loads(vec![5.0; 64]),
        &ColdMembers::new(),
    );
    assert_eq!(even, Vec::new());
}

/// Guards against a loss that is planned only after the load was collected, and against a loss that
/// moves shards of other upstreams.
#[test]
fn a_loss_is_planned_at_once_and_moves_only_the_lost_shards() {
    let mut world = World::placed(64, &FOUR);
    let before = world.table().clone();
    let seen = observed(&["offers-2"], &[]);
    let plan = world.required_placement(&seen).expect("a plan");
    assert!(matches!(plan.changes[0].1, Change::Lost { .. }), "{plan:?}");
    assert_eq!(world.submit(plan), 1);
    assert_eq!(world.required_placement(&seen), None);
    let lost = before
        .member(&super::world::upstream("offers-2"))
        .expect("a member");
    for (old, new) in before
        .replica_sets()
        .iter()
        .zip(world.table().replica_sets())
    {
        let expected = if old.owner == lost {
            old.standby
        } else {
            old.owner
        };
        assert_eq!(new.owner, expected);
        assert!(new.standby != lost && new.standby != new.owner);
    }
}

/// Guards against a leaving upstream that keeps shards, and against one that is recorded as lost.
#[test]
fn a_leaving_upstream_gives_its_shards_up_in_the_first_record() {
    let mut world = World::placed(64, &FOUR);
    let mut leaving = FOUR;
    leaving[1].2 = true;
    world.declare(&leaving);
    let plan = world
        .required_placement(&Observations::default())
        .expect("a plan");
    assert_eq!(world.submit(plan), 1);
    assert!(
        !world.owners().contains_key("offers-2"),
        "{:?}",
        world.owners()
    );
    let member = world.table().member(&super::world::upstream("offers-2"));
    let member = member.expect("it is not lost");
    assert!(
        world
            .table()
            .replica_sets()
            .iter()
            .all(|s| s.standby != member)
    );
    assert_eq!(world.required_placement(&Observations::default()), None);
}

/// Guards against shards that stay with an upstream that is no longer declared.
#[test]
fn an_undeclared_upstream_is_lost() {
    let mut world = World::placed(64, &FOUR);
    world.declare(&FOUR[..3]);
    assert_eq!(world.settle(&Observations::default()), 1);
    assert!(!world.owners().contains_key("offers-4"));
}

/// Guards against a cold upstream that gets its full share at once, and against one that never gets
/// it.
#[test]
fn a_joining_upstream_gets_its_share_window_by_window() {
    let mut world = World::placed(64, &FOUR[..3]);
    let mut ages = MemberAges::default();
    ages.cold(&world.view, Window(0), SlowStart::default());
    world.declare(&FOUR);
    assert_eq!(world.settle(&Observations::default()), 1);
    assert!(!world.owners().contains_key("offers-4"));
    let mut shares = Vec::new();
    for window in 1..=6 {
        let cold = ages.cold(&world.view, Window(window), SlowStart::default());
        let load = loads(vec![10.0; 64]);
        if let Some(plan) = merge_plans(&balance_plans(
            &world.view,
            &Observations::default(),
            &load,
            &cold,
        )) {
            world.submit(plan);
        }
        shares.push(world.owners().get("offers-4").copied().unwrap_or(0));
    }
    assert!(
        shares.is_sorted() && shares[0] < 8 && shares[5] >= 14,
        "{shares:?}"
    );
}

/// Guards against two hosts that revert each other's plans forever: only the dispatcher of an
/// upstream observes that it is lost or that it answers again.
#[test]
fn hosts_with_different_observations_do_not_undo_each_other() {
    let mut world = World::placed(64, &FOUR);
    let dispatcher = observed(&["offers-2"], &["offers-1"]);
    let other = observed(&[], &["offers-3", "offers-4"]);
    assert_eq!(world.settle(&dispatcher), 1);
    assert_eq!(world.required_placement(&other), None);
    assert_eq!(world.required_placement(&Observations::default()), None);
    let back = observed(&[], &["offers-1", "offers-2"]);
    assert_eq!(world.settle(&back), 1);
    assert_eq!(world.required_placement(&other), None);
    assert_eq!(world.required_placement(&back), None);
}

/// Guards against a plan that is accepted although it builds on an outdated placement revision.
#[test]
fn of_two_plans_on_one_state_the_second_is_rejected() {
    let mut world = World::placed(64, &FOUR);
    let base = world.view.placement;
    let one = world
        .required_placement(&observed(&["offers-1"], &[]))
        .expect("a plan");
    let two = world
        .required_placement(&observed(&["offers-2"], &[]))
        .expect("a plan");
    assert!(matches!(world.write(base, one), Verdict::Accepted { .. }));
    let current = world.view.placement;
    assert_eq!(world.write(base, two), Verdict::Conflict { current });
    // The second host plans again on the new state.
    assert_eq!(world.settle(&observed(&["offers-1", "offers-2"], &[])), 1);
    assert_eq!(world.owners().len(), 2);
}

/// Guards against shards that lose their owner when no upstream is left.
#[test]
fn the_loss_of_all_upstreams_changes_nothing() {
    let world = World::placed(64, &FOUR[..2]);
    assert_eq!(
        world.required_placement(&observed(&["offers-1", "offers-2"], &[])),
        None
    );
}

/// Guards against records above the size limit of the log, and against a plan whose table is not
/// valid after each of its records.
#[test]
fn a_large_table_is_written_in_several_records() {
    let names: Vec<_> = (0..200).map(|i| format!("offers-{i}")).collect();
    let domain = |i| if i % 2 == 0 { "a" } else { "b" };
    let declared = (0..)
        .zip(&names)
        .map(|(i, n)| (n.as_str(), domain(i), false));
    let mut world = World::new(1 << 17, &declared.collect::<Vec<_>>());
    let plan = world
        .required_placement(&Observations::default())
        .expect("a plan");
    assert!(batches(plan.clone()).len() > 1);
    let records = world.submit(plan);
    println!("first table of 2^17 shards: {records} records");
    assert!(!world.owners().contains_key("nobody"));
    assert_eq!(world.required_placement(&Observations::default()), None);
    assert!(world.view.placement > Revision(0));
}

/// Guards against load that stays uneven, and against plans that continue after it is balanced.
#[test]
fn a_skewed_load_is_balanced_and_then_left_alone() {
    let mut world = World::placed(64, &FOUR);
    let owner = world.table().replica_sets()[0].owner;
    let skewed = |s: &trefoil_placement::ReplicaSet| if s.owner == owner { 40.0 } else { 10.0 };
    let load = loads(world.table().replica_sets().iter().map(skewed).collect());
    let mut plans = 0;
    while let Some(plan) = merge_plans(&balance_plans(
        &world.view,
        &Observations::default(),
        &load,
        &ColdMembers::new(),
    )) {
        world.submit(plan);
        plans += 1;
        assert!(plans < 10, "plans without end");
    }
    let mut used = vec![0.0f64; 4];
    let closed = &load[&super::world::service()].load;
    for (replicas, load) in world.table().replica_sets().iter().zip(&closed.shards) {
        used[replicas.owner.index()] += load;
    }
    let peak = used.iter().copied().fold(0.0, f64::max) / (used.iter().sum::<f64>() / 4.0);
    println!("{plans} plans, peak over mean {peak:.3}, before 2.286");
    assert!(plans >= 1 && peak < 1.1, "{used:?}");
}
