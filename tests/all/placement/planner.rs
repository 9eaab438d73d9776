//! Tests of the planner.

use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::BTreeSet;
use trefoil_config::Weights;
use trefoil_core::{KeyHash, PerSecond, Shard};
use trefoil_placement::planner::BALANCE_ALLOWANCE;
use trefoil_placement::{
    Change, Domain, KeyLoad, Load, Member, MemberInfo, MemberState, Objective, Plan, PlanError,
    PlanInput, Planner, Reason, ReplicaSet, Table, Unit, changes, create_by_rendezvous,
};

use super::{names, runner};

const SHARDS: u32 = 1024;

fn objective(unavailable: f64, churn: f64, imbalance: f64) -> Objective {
    let weights = Weights {
        unavailable,
        churn,
        imbalance,
    };
    Objective {
        weights,
        ..Objective::default()
    }
}

fn planner() -> Planner {
    Planner::new(objective(1.0, 1.0, 1.0))
}

fn profile(domain: usize, state: MemberState) -> MemberInfo {
    MemberInfo {
        domain: Domain(u16::try_from(domain).expect("few domains")),
        capacity: PerSecond(100.0),
        state,
    }
}

/// A table with its members and load.
#[derive(Debug, Clone)]
struct World {
    table: Table,
    members: Vec<MemberInfo>,
    load: Load,
}

impl World {
    /// Members in turn in each of `domains` failure domains, with standbys as the planner wants.
    fn new(members: usize, domains: usize, shards: u32) -> Self {
        let mut table = Table::default();
        for change in changes::create_vacant(names(members), shards) {
            table.apply(&change).expect("a power of two");
        }
        let members = (0..members).map(|i| profile(i % domains, MemberState::Serving));
        let mut world = Self {
            table,
            members: members.collect(),
            load: Load::even(shards),
        };
        world.step(&planner());
        world
    }

    fn plan(&self, planner: &Planner) -> Plan {
        let input = PlanInput {
            table: &self.table,
            members: &self.members,
            load: &self.load,
        };
        planner.plan(&input).expect("members are open")
    }

    fn step(&mut self, planner: &Planner) -> Plan {
        let plan = self.plan(planner);
        for change in &plan.changes {
            self.table.apply(change).expect("a plan applies");
        }
        plan
    }

    fn owned(&self, member: u16) -> usize {
        let replica_sets = self.table.replica_sets().iter();
        replica_sets.filter(|s| s.owner == Member(member)).count()
    }

    fn set(&mut self, member: usize, state: MemberState) {
        self.members[member].state = state;
    }
}

fn owner_moves(plan: &Plan) -> usize {
    plan.moves
        .iter()
        .filter(|m| m.from.owner != m.to.owner)
        .count()
}

/// Guards against a first table with uneven ownership or standbys in the owner's domain.
#[test]
fn first_plan_fills_a_vacant_table() {
    let world = World::new(20, 4, SHARDS);
    assert!((0..20).all(|m| (51..=52).contains(&world.owned(m))));
    let mut groups = vec![BTreeSet::new(); 20];
    for replicas in world.table.replica_sets() {
        let domain = |m: Member| world.members[m.index()].domain;
        assert_ne!(domain(replicas.owner), domain(replicas.standby));
        groups[replicas.owner.index()].insert(replicas.standby);
    }
    assert!(
        groups.iter().all(|g| g.len() == 15),
        "all members of other domains"
    );
    assert!(world.plan(&planner()).is_empty(), "nothing is left to do");
}

/// Guards against more than 1.2 times the least churn when a server is lost, and against a loss
/// whose load falls on few members.
#[test]
fn loss_of_a_server_moves_little() {
    let mut world = World::new(20, 4, SHARDS);
    let least = world.owned(3);
    world.set(3, MemberState::Lost);
    let plan = world.step(&planner());
    let moved = owner_moves(&plan);
    assert!(
        least <= moved && moved * 10 <= least * 12,
        "{moved} of {least}"
    );
    assert_eq!(world.owned(3), 0);
    assert!((0..20).all(|m| world.owned(m) <= 60));
    let mut later = 0;
    for _ in 0..10 {
        later += owner_moves(&world.step(&planner()));
    }
    assert!(
        (moved + later) * 10 <= least * 12,
        "{later} moves in later plans"
    );
}

/// Guards against shards without an owner when a member is lost together with its standbys.
#[test]
fn loss_with_standbys_is_reassigned() {
    let mut world = World::new(8, 4, 256);
    let lost = [0, 1, 2, 4, 5, 6];
    for m in lost {
        world.set(m, MemberState::Lost);
    }
    let plan = world.step(&planner());
    let count = |reason| plan.moves.iter().filter(|m| m.reason == reason).count();
    assert!(count(Reason::Orphaned) > 0 && count(Reason::Promoted) > 0);
    assert_eq!(world.owned(3) + world.owned(7), 256);
    // Both remaining members are in one domain, so the domain rule cannot be kept.
    assert!(
        world
            .table
            .replica_sets()
            .iter()
            .all(|s| s.owner != s.standby)
    );
    world.set(3, MemberState::Lost);
    world.step(&planner());
    assert_eq!(world.owned(7), 256);
    world.set(7, MemberState::Lost);
    let input = PlanInput {
        table: &world.table,
        members: &world.members,
        load: &world.load,
    };
    assert_eq!(planner().plan(&input), Err(PlanError::NoEligibleMember));
}

/// Guards against a leaving member that keeps work, and against moves of other members' shards.
#[test]
fn leaving_member_gives_up_everything() {
    let mut world = World::new(20, 4, SHARDS);
    let least = world.owned(7);
    world.set(7, MemberState::Leaving);
    let plan = world.step(&planner().churn_budget(0.0));
    assert_eq!(world.owned(7), 0);
    assert!(
        world
            .table
            .replica_sets()
            .iter()
            .all(|s| s.standby != Member(7))
    );
    assert_eq!(owner_moves(&plan), least);
    assert!(
        plan.moves
            .iter()
            .filter(|m| m.reason.changes_owner())
            .all(|m| m.reason == Reason::Leaving)
    );
}

/// Guards against a joining member that gets its whole share while it is cold, and against moves
/// between members that were there before.
#[test]
fn joining_member_ramps_up() {
    let mut world = World::new(19, 4, SHARDS);
    let join = Change::Join {
        members: vec!["u19".parse().expect("valid name")],
    };
    world.table.apply(&join).expect("applies");
    world.members.push(profile(3, MemberState::Cold { age: 0 }));
    let mut owned = Vec::new();
    let mut moved = 0;
    for age in 0..6 {
        world.set(19, MemberState::Cold { age });
        moved += owner_moves(&world.step(&planner()));
        owned.push(world.owned(19));
    }
    assert!((8..=12).contains(&owned[0]), "{owned:?}");
    assert!(owned.windows(2).all(|pair| pair[0] <= pair[1]), "{owned:?}");
    assert!((46..=52).contains(&owned[5]), "{owned:?}");
    assert!(moved <= owned[5] + 2, "{moved} moves for {owned:?}");
}

/// Guards against long lists of units that are not looked at to their end.
#[test]
fn long_lists_are_balanced() {
    let mut world = World::new(2, 2, 8192);
    let join = Change::Join {
        members: vec!["u2".parse().expect("valid name")],
    };
    world.table.apply(&join).expect("applies");
    world.members.push(profile(2, MemberState::Serving));
    world.step(&planner().churn_budget(1.0));
    assert!((0..3).all(|m| (2_700..2_760).contains(&world.owned(m))));
}

/// Guards against a hot key that drags its shard along or overloads its owner for good.
#[test]
fn hot_keys_leave_their_shards() {
    let mut world = World::new(10, 3, 64);
    let hot = |key| KeyLoad {
        key: KeyHash(key),
        load: 3.0,
    };
    // Two hot keys in one shard: moving the shard would only move the problem.
    world.load.shards[5] = 7.0;
    world.load.hot = vec![hot(5), hot(5 + 64)];
    let plan = world.step(&planner().churn_budget(1.0));
    let keys = plan.moves.iter().filter(|m| matches!(m.unit, Unit::Key(_)));
    assert!(keys.count() > 0 && world.table.hot_entries().len() > 0);
    let replica_sets: BTreeSet<Member> = [5, 69]
        .iter()
        .filter_map(|&k| world.table.locate(KeyHash(k)))
        .map(|s| s.owner)
        .collect();
    assert_eq!(replica_sets.len(), 2, "the keys have different owners");
    for entry in world.table.hot_entries() {
        assert_ne!(entry.replicas.owner, entry.replicas.standby);
        let shard = world
            .table
            .replicas(world.table.shard(entry.key))
            .expect("seat");
        assert_ne!(shard.owner, entry.replicas.owner, "the entry is needed");
    }
}

/// Guards against flapping: a high weight of churn keeps shards where they are.
#[test]
fn weights_decide() {
    let mut world = World::new(20, 4, SHARDS);
    for (i, load) in world.load.shards.iter_mut().enumerate() {
        *load = f64::from(1 + u32::try_from(i % 7).expect("small"));
    }
    let moves = |churn, imbalance| {
        owner_moves(&world.plan(&Planner::new(objective(1.0, churn, imbalance))))
    };
    assert!(moves(1.0, 1.0) > moves(10.0, 1.0));
    assert_eq!(moves(1000.0, 0.1), 0);
    assert_eq!(moves(1.0, 0.0), 0);
    assert_eq!(moves(0.0, 0.0), 0);
    assert!(moves(0.0, 1.0) > 0);
}

/// Guards against a plan for a table that it does not fit.
#[test]
fn inputs_must_fit() {
    let mut world = World::new(4, 2, 16);
    let plan = |world: &World| {
        planner().plan(&PlanInput {
            table: &world.table,
            members: &world.members,
            load: &world.load,
        })
    };
    world.load.shards.pop();
    let (found, expected) = (15, 16);
    assert_eq!(
        plan(&world),
        Err(PlanError::LoadCountMismatch { found, expected })
    );
    world.members.pop();
    let (found, expected) = (3, 4);
    assert_eq!(
        plan(&world),
        Err(PlanError::MemberCountMismatch { found, expected })
    );
}

fn state() -> impl Strategy<Value = MemberState> {
    prop_oneof![
        6 => Just(MemberState::Serving),
        1 => (0u32..6).prop_map(|age| MemberState::Cold { age }),
        1 => Just(MemberState::Leaving),
        1 => Just(MemberState::Lost),
    ]
}

fn load() -> impl Strategy<Value = Load> {
    let shards = vec(prop_oneof![Just(0.0), 0.0..10.0f64, 50.0..90.0f64], 64);
    let hot = vec((0u64..640, 0.0..40.0f64), 0..12);
    (shards, hot).prop_map(|(shards, hot)| Load {
        shards,
        hot: hot
            .into_iter()
            .map(|(key, load)| KeyLoad {
                key: KeyHash(key),
                load,
            })
            .collect(),
    })
}

/// One measure window of a property test.
type Window = (Vec<MemberState>, Load);

/// Checks one plan against the table before and after it.
fn check_plan(
    world: &World,
    plan: &Plan,
    after: &Table,
    churn_budget: f64,
) -> Result<(), TestCaseError> {
    let open = |m: Member| world.members[m.index()].is_eligible() && !after.is_lost(m);
    let replica_sets = after
        .replica_sets()
        .iter()
        .copied()
        .chain(after.hot_entries().map(|m| m.replicas));
    for replicas in replica_sets {
        prop_assert!(open(replicas.owner), "an owner that is lost or leaving");
        let live =
            (0..world.members.len()).filter(|&m| open(Member(u16::try_from(m).expect("few"))));
        let alone = live.count() == 1;
        prop_assert!(alone || replicas.standby != replicas.owner, "no standby");
        prop_assert!(open(replicas.standby));
    }
    // The moves and nothing else lead to the new table.
    let moved: BTreeSet<Unit> = plan.moves.iter().map(|m| m.unit).collect();
    prop_assert_eq!(moved.len(), plan.moves.len(), "a unit moves once");
    for m in &plan.moves {
        let to = match m.unit {
            Unit::Shard(shard) => after.replicas(shard),
            Unit::Key(key) => after.locate(key),
        };
        prop_assert_eq!(to, Some(m.to));
    }
    for shard in (0..after.shard_count()).map(Shard) {
        // The loss of a standby makes the owner its own standby, which is no move if it stays so.
        let (old, new) = (world.table.replicas(shard), after.replicas(shard));
        let same = old == new
            || new
                == old.map(|s| ReplicaSet {
                    standby: s.owner,
                    ..s
                });
        prop_assert!(
            same || moved.contains(&Unit::Shard(shard)),
            "a move without reason"
        );
    }
    for m in plan.moves.iter().filter(|m| m.reason == Reason::Balance) {
        prop_assert!(m.gain > m.price, "a move without gain: {:?}", m);
    }
    let limit = match plan.forced {
        0.0 => churn_budget,
        forced => (churn_budget - forced).clamp(0.0, BALANCE_ALLOWANCE * forced),
    };
    prop_assert!(
        plan.chosen <= limit + 1e-9,
        "{} above {}",
        plan.chosen,
        limit
    );
    Ok(())
}

/// Guards against an owner that is lost or leaving, a move without a reason or gain, a budget that
/// is exceeded, and a plan that depends on anything but its input.
#[test]
fn plans_keep_their_rules() {
    let windows = vec((vec(state(), 9), load()), 1..8);
    let input = (windows, 0.0..0.3f64, 0.0..20.0f64, 1usize..6);
    let check = |(windows, churn_budget, churn, group_size): (Vec<Window>, f64, f64, usize)| {
        let planner = Planner::new(objective(1.0, churn, 1.0))
            .churn_budget(churn_budget)
            .group_size(group_size);
        let mut world = World::new(9, 3, 64);
        world.step(&planner);
        for (mut states, load) in windows {
            // The last member stays, and what is lost stays lost.
            states[8] = MemberState::Serving;
            for (member, state) in world.members.iter_mut().zip(states) {
                if member.state != MemberState::Lost {
                    member.state = state;
                }
            }
            world.load = load;
            let plan = world.plan(&planner);
            prop_assert_eq!(&plan, &world.plan(&planner));
            let mut after = world.table.clone();
            for change in &plan.changes {
                prop_assert_eq!(after.apply(change), Ok(()));
            }
            check_plan(&world, &plan, &after, churn_budget)?;
            world.table = after;
        }
        Ok(())
    };
    runner(200)
        .run(&input, check)
        .expect("plans keep their rules");
}

/// Guards against standbys that are scattered over more members than the group may have.
#[test]
fn groups_are_bounded() {
    let mut table = Table::default();
    table
        .apply(&create_by_rendezvous(names(40), SHARDS))
        .expect("applies");
    let mut world = World::new(40, 4, SHARDS);
    world.table = table;
    let planner = planner().group_size(6);
    world.step(&planner);
    for round in [11, 3] {
        let mut groups = vec![BTreeSet::new(); 40];
        for ReplicaSet { owner, standby } in world.table.replica_sets() {
            groups[owner.index()].insert(*standby);
        }
        assert!(groups.iter().all(|g| g.len() <= 6));
        world.set(round, MemberState::Lost);
        world.step(&planner);
    }
}
