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

use super::{names, seeded_runner};

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

fn member_info(domain: usize, state: MemberState) -> MemberInfo {
    MemberInfo {
        domain: Domain(u16::try_from(domain).expect("few domains")),
        capacity: PerSecond(100.0),
        state,
    }
}

/// A table with its members and load.
#[derive(Debug, Clone)]
struct Fixture {
    table: Table,
    members: Vec<MemberInfo>,
    load: Load,
}

impl Fixture {
    /// Creates members that alternate between `domains` failure domains, and a table with owners
    /// and standbys from a first plan.
    fn new(members: usize, domains: usize, shards: u32) -> Self {
        let mut table = Table::default();
        for change in changes::create_vacant(names(members), shards) {
            table.apply(&change).expect("a power of two");
        }
        let members = (0..members).map(|i| member_info(i % domains, MemberState::Serving));
        let mut fixture = Self {
            table,
            members: members.collect(),
            load: Load::even(shards),
        };
        fixture.apply_plan(&planner());
        fixture
    }

    fn plan(&self, planner: &Planner) -> Plan {
        let input = PlanInput {
            table: &self.table,
            members: &self.members,
            load: &self.load,
        };
        planner.plan(&input).expect("members are open")
    }

    fn apply_plan(&mut self, planner: &Planner) -> Plan {
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

    fn set_state(&mut self, member: usize, state: MemberState) {
        self.members[member].state = state;
    }
}

fn owner_moves(plan: &Plan) -> usize {
    plan.moves
        .iter()
        .filter(|m| m.from.owner != m.to.owner)
        .count()
}

/// Guards against a first plan with uneven ownership or standbys in the owner's failure domain.
#[test]
fn first_plan_fills_a_vacant_table() {
    let fixture = Fixture::new(20, 4, SHARDS);
    assert!((0..20).all(|m| (51..=52).contains(&fixture.owned(m))));
    let mut groups = vec![BTreeSet::new(); 20];
    for replicas in fixture.table.replica_sets() {
        let domain = |m: Member| fixture.members[m.index()].domain;
        assert_ne!(domain(replicas.owner), domain(replicas.standby));
        groups[replicas.owner.index()].insert(replicas.standby);
    }
    assert!(
        groups.iter().all(|g| g.len() == 15),
        "all members of other domains"
    );
    assert!(fixture.plan(&planner()).is_empty(), "nothing is left to do");
}

/// Guards against more than 1.2 times the minimum churn when a server is lost, and against a loss
/// whose load moves to few members.
#[test]
fn loss_of_a_server_moves_little() {
    let mut fixture = Fixture::new(20, 4, SHARDS);
    let least = fixture.owned(3);
    fixture.set_state(3, MemberState::Lost);
    let plan = fixture.apply_plan(&planner());
    let moved = owner_moves(&plan);
    assert!(
        least <= moved && moved * 10 <= least * 12,
        "{moved} of {least}"
    );
    assert_eq!(fixture.owned(3), 0);
    assert!((0..20).all(|m| fixture.owned(m) <= 60));
    let mut later = 0;
    for _ in 0..10 {
        later += owner_moves(&fixture.apply_plan(&planner()));
    }
    assert!(
        (moved + later) * 10 <= least * 12,
        "{later} moves in later plans"
    );
}

/// Guards against shards without an owner when a member is lost together with its standbys.
#[test]
fn loss_with_standbys_is_reassigned() {
    let mut fixture = Fixture::new(8, 4, 256);
    let lost = [0, 1, 2, 4, 5, 6];
    for m in lost {
        fixture.set_state(m, MemberState::Lost);
    }
    let plan = fixture.apply_plan(&planner());
    let count = |reason| plan.moves.iter().filter(|m| m.reason == reason).count();
    assert!(count(Reason::Orphaned) > 0 && count(Reason::Promoted) > 0);
    assert_eq!(fixture.owned(3) + fixture.owned(7), 256);
    // Both remaining members are in one failure domain, so the standby cannot be in another one.
    assert!(
        fixture
            .table
            .replica_sets()
            .iter()
            .all(|s| s.owner != s.standby)
    );
    fixture.set_state(3, MemberState::Lost);
    fixture.apply_plan(&planner());
    assert_eq!(fixture.owned(7), 256);
    fixture.set_state(7, MemberState::Lost);
    let input = PlanInput {
        table: &fixture.table,
        members: &fixture.members,
        load: &fixture.load,
    };
    assert_eq!(planner().plan(&input), Err(PlanError::NoEligibleMember));
}

/// Guards against a leaving member that still owns shards, and against moves of other members'
/// shards.
#[test]
fn leaving_member_owns_nothing() {
    let mut fixture = Fixture::new(20, 4, SHARDS);
    let least = fixture.owned(7);
    fixture.set_state(7, MemberState::Leaving);
    let plan = fixture.apply_plan(&planner().churn_budget(0.0));
    assert_eq!(fixture.owned(7), 0);
    assert!(
        fixture
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
/// between the other members.
#[test]
fn joining_member_ramps_up() {
    let mut fixture = Fixture::new(19, 4, SHARDS);
    let join = Change::Join {
        members: vec!["u19".parse().expect("valid name")],
    };
    fixture.table.apply(&join).expect("applies");
    fixture
        .members
        .push(member_info(3, MemberState::Cold { age: 0 }));
    let mut owned = Vec::new();
    let mut moved = 0;
    for age in 0..6 {
        fixture.set_state(19, MemberState::Cold { age });
        moved += owner_moves(&fixture.apply_plan(&planner()));
        owned.push(fixture.owned(19));
    }
    assert!((8..=12).contains(&owned[0]), "{owned:?}");
    assert!(owned.windows(2).all(|pair| pair[0] <= pair[1]), "{owned:?}");
    assert!((46..=52).contains(&owned[5]), "{owned:?}");
    assert!(moved <= owned[5] + 2, "{moved} moves for {owned:?}");
}

/// Guards against a comparison that ends before the end of a long list of units.
#[test]
fn long_lists_are_balanced() {
    let mut fixture = Fixture::new(2, 2, 8192);
    let join = Change::Join {
        members: vec!["u2".parse().expect("valid name")],
    };
    fixture.table.apply(&join).expect("applies");
    fixture.members.push(member_info(2, MemberState::Serving));
    fixture.apply_plan(&planner().churn_budget(1.0));
    assert!((0..3).all(|m| (2_700..2_760).contains(&fixture.owned(m))));
}

/// Guards against a hot key that is only moved with its shard, and against one that permanently
/// overloads its owner.
#[test]
fn hot_keys_get_their_own_owners() {
    let mut fixture = Fixture::new(10, 3, 64);
    let hot = |key| KeyLoad {
        key: KeyHash(key),
        load: 3.0,
    };
    // With two hot keys in one shard, a move of the shard would only overload another member.
    fixture.load.shards[5] = 7.0;
    fixture.load.hot = vec![hot(5), hot(5 + 64)];
    let plan = fixture.apply_plan(&planner().churn_budget(1.0));
    let keys = plan.moves.iter().filter(|m| matches!(m.unit, Unit::Key(_)));
    assert!(keys.count() > 0 && fixture.table.hot_entries().len() > 0);
    let replica_sets: BTreeSet<Member> = [5, 69]
        .iter()
        .filter_map(|&k| fixture.table.locate(KeyHash(k)))
        .map(|s| s.owner)
        .collect();
    assert_eq!(replica_sets.len(), 2, "the keys have different owners");
    for entry in fixture.table.hot_entries() {
        assert_ne!(entry.replicas.owner, entry.replicas.standby);
        let shard = fixture
            .table
            .replicas(fixture.table.shard(entry.key))
            .expect("seat");
        assert_ne!(shard.owner, entry.replicas.owner, "the entry is needed");
    }
}

/// Guards against flapping: with a high weight of churn the shards must stay.
#[test]
fn weights_determine_moves() {
    let mut fixture = Fixture::new(20, 4, SHARDS);
    for (i, load) in fixture.load.shards.iter_mut().enumerate() {
        *load = f64::from(1 + u32::try_from(i % 7).expect("small"));
    }
    let moves = |churn, imbalance| {
        owner_moves(&fixture.plan(&Planner::new(objective(1.0, churn, imbalance))))
    };
    assert!(moves(1.0, 1.0) > moves(10.0, 1.0));
    assert_eq!(moves(1000.0, 0.1), 0);
    assert_eq!(moves(1.0, 0.0), 0);
    assert_eq!(moves(0.0, 0.0), 0);
    assert!(moves(0.0, 1.0) > 0);
}

/// Guards against a plan from an input that does not match the table.
#[test]
fn mismatched_inputs_are_rejected() {
    let mut fixture = Fixture::new(4, 2, 16);
    let plan = |fixture: &Fixture| {
        planner().plan(&PlanInput {
            table: &fixture.table,
            members: &fixture.members,
            load: &fixture.load,
        })
    };
    fixture.load.shards.pop();
    let (found, expected) = (15, 16);
    assert_eq!(
        plan(&fixture),
        Err(PlanError::LoadCountMismatch { found, expected })
    );
    fixture.members.pop();
    let (found, expected) = (3, 4);
    assert_eq!(
        plan(&fixture),
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

/// Checks the invariants of one plan against the tables before and after it.
fn check_plan(
    fixture: &Fixture,
    plan: &Plan,
    after: &Table,
    churn_budget: f64,
) -> Result<(), TestCaseError> {
    let is_eligible = |m: Member| fixture.members[m.index()].is_eligible() && !after.is_lost(m);
    let replica_sets = after
        .replica_sets()
        .iter()
        .copied()
        .chain(after.hot_entries().map(|m| m.replicas));
    for replicas in replica_sets {
        prop_assert!(
            is_eligible(replicas.owner),
            "an owner that is lost or leaving"
        );
        let live = (0..fixture.members.len())
            .filter(|&m| is_eligible(Member(u16::try_from(m).expect("few"))));
        let is_alone = live.count() == 1;
        prop_assert!(is_alone || replicas.standby != replicas.owner, "no standby");
        prop_assert!(is_eligible(replicas.standby));
    }
    // The moves must explain all differences between the tables.
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
        // The loss of a standby makes the owner its own standby. This is not a move unless the plan
        // assigns another standby.
        let (old, new) = (fixture.table.replicas(shard), after.replicas(shard));
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

/// Guards against an owner that is lost or leaving, a move without a reason or gain, a plan that
/// exceeds its budget, and a plan that depends on anything except its input.
#[test]
fn plans_satisfy_invariants() {
    let windows = vec((vec(state(), 9), load()), 1..8);
    let input = (windows, 0.0..0.3f64, 0.0..20.0f64, 1usize..6);
    let check = |(windows, churn_budget, churn, group_size): (Vec<Window>, f64, f64, usize)| {
        let planner = Planner::new(objective(1.0, churn, 1.0))
            .churn_budget(churn_budget)
            .group_size(group_size);
        let mut fixture = Fixture::new(9, 3, 64);
        fixture.apply_plan(&planner);
        for (mut states, load) in windows {
            // The last member is always serving, and lost members stay lost.
            states[8] = MemberState::Serving;
            for (member, state) in fixture.members.iter_mut().zip(states) {
                if member.state != MemberState::Lost {
                    member.state = state;
                }
            }
            fixture.load = load;
            let plan = fixture.plan(&planner);
            prop_assert_eq!(&plan, &fixture.plan(&planner));
            let mut after = fixture.table.clone();
            for change in &plan.changes {
                prop_assert_eq!(after.apply(change), Ok(()));
            }
            check_plan(&fixture, &plan, &after, churn_budget)?;
            fixture.table = after;
        }
        Ok(())
    };
    seeded_runner(200)
        .run(&input, check)
        .expect("plans keep their rules");
}

/// Guards against an owner whose standbys are spread over more members than the group size allows.
#[test]
fn groups_are_bounded() {
    let mut table = Table::default();
    table
        .apply(&create_by_rendezvous(names(40), SHARDS))
        .expect("applies");
    let mut fixture = Fixture::new(40, 4, SHARDS);
    fixture.table = table;
    let planner = planner().group_size(6);
    fixture.apply_plan(&planner);
    for lost_member in [11, 3] {
        let mut groups = vec![BTreeSet::new(); 40];
        for ReplicaSet { owner, standby } in fixture.table.replica_sets() {
            groups[owner.index()].insert(*standby);
        }
        assert!(groups.iter().all(|g| g.len() <= 6));
        fixture.set_state(lost_member, MemberState::Lost);
        fixture.apply_plan(&planner);
    }
}
