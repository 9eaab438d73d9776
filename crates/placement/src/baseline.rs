//! Baselines for the planner: two simple placement strategies and the planner's first version.
//!
//! [`Rendezvous`] and [`Greedy`] ignore churn and create no entries for hot keys. They choose
//! standbys by rendezvous hashing, independently of failure domains.

use std::collections::BTreeSet;
use std::fmt::Debug;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::SlowStart;
use crate::objective::Objective;
use crate::planner::{MoveOrder, Plan, PlanError, PlanInput, Planner};
use crate::reason::{PlannedMove, Reason, Unit};
use crate::table::{Change, MOVES_PER_CHANGE, Member, Move, ReplicaSet};

/// Weight of earlier windows in the smoothed load for the planner, see [`crate::load::Meter::new`].
pub const HISTORY_WEIGHT: f64 = 0.875;

/// A way to assign shards to members.
pub trait PlacementStrategy: Debug + Sync {
    /// Returns the name that is printed in the comparison.
    fn name(&self) -> &str;

    /// Returns the weight of earlier windows in the smoothed load, see [`crate::load::Meter::new`].
    fn history_weight(&self) -> f64 {
        0.0
    }

    /// Returns true if the keys that have entries are counted exactly, see
    /// [`crate::load::Meter::track_keys`].
    fn tracks_hot_keys(&self) -> bool {
        true
    }

    /// Computes a plan.
    ///
    /// # Errors
    ///
    /// Fails as [`Planner::plan`] does.
    fn place(&self, input: &PlanInput<'_>) -> Result<Plan, PlanError>;
}

impl PlacementStrategy for Planner {
    fn name(&self) -> &'static str {
        "planner"
    }

    fn history_weight(&self) -> f64 {
        HISTORY_WEIGHT
    }

    fn place(&self, input: &PlanInput<'_>) -> Result<Plan, PlanError> {
        self.plan(input)
    }
}

/// A strategy with another name and another smoothing of the load, to compare settings.
#[derive(Debug)]
pub struct Named<P> {
    /// The name that is printed in the comparison.
    pub name: &'static str,
    /// The weight of earlier windows in the smoothed load.
    pub history_weight: f64,
    /// The strategy.
    pub strategy: P,
}

impl<P> PlacementStrategy for Named<P>
where
    P: PlacementStrategy,
{
    fn name(&self) -> &str {
        self.name
    }

    fn history_weight(&self) -> f64 {
        self.history_weight
    }

    fn place(&self, input: &PlanInput<'_>) -> Result<Plan, PlanError> {
        self.strategy.place(input)
    }
}

/// The planner as it was before the rounds of docs/experiments.md: the load is not smoothed, keys
/// with entries are not counted exactly, and settings and order of moves are the first ones. The
/// objective is the current one, whose price of a move includes the handover.
#[derive(Debug, Clone)]
pub struct FirstPlanner(Planner);

impl FirstPlanner {
    /// Creates the first planner with an objective, whose horizon is replaced by the 32 windows of
    /// that version.
    pub fn new(objective: Objective) -> Self {
        let objective = Objective {
            horizon: 32.0,
            ..objective
        };
        let planner = Planner::new(objective).churn_budget(0.05);
        Self(planner.move_order(MoveOrder::PerChurn))
    }
}

impl PlacementStrategy for FirstPlanner {
    fn name(&self) -> &'static str {
        "planner, first version"
    }

    fn tracks_hot_keys(&self) -> bool {
        false
    }

    fn place(&self, input: &PlanInput<'_>) -> Result<Plan, PlanError> {
        self.0.plan(input)
    }
}

/// Rendezvous hashing: the member with the highest score for a shard owns it, and the next one is
/// the standby. The load is ignored.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rendezvous;

impl PlacementStrategy for Rendezvous {
    fn name(&self) -> &'static str {
        "rendezvous"
    }

    fn place(&self, input: &PlanInput<'_>) -> Result<Plan, PlanError> {
        let eligible = eligible_members(input);
        let shards = 0..input.table.shard_count();
        plan_for(
            input,
            shards.map(|s| rendezvous_replicas(input, &eligible, s)),
        )
    }
}

/// Greedy least-loaded: assigns all shards anew in each window, in descending order of load, each
/// to the member with the lowest utilization.
#[derive(Debug, Clone, Copy, Default)]
pub struct Greedy {
    /// The slow start of joining members.
    pub slow_start: SlowStart,
}

impl PlacementStrategy for Greedy {
    fn name(&self) -> &'static str {
        "greedy least-loaded"
    }

    fn place(&self, input: &PlanInput<'_>) -> Result<Plan, PlanError> {
        let eligible = eligible_members(input);
        let load = &input.load.shards;
        let mut order: Vec<u32> = (0..input.table.shard_count()).collect();
        order.sort_by(|&a, &b| {
            load[b as usize]
                .total_cmp(&load[a as usize])
                .then(a.cmp(&b))
        });
        let mut by_utilization: BTreeSet<(u64, Member)> =
            eligible.iter().map(|&m| (0, m)).collect();
        let mut member_load = vec![0.0f64; input.members.len()];
        let mut replica_sets = vec![ReplicaSet::VACANT; order.len()];
        for shard in order {
            let Some((_, owner)) = by_utilization.pop_first() else {
                return Err(PlanError::NoEligibleMember);
            };
            let capacity = self.slow_start.capacity(&input.members[owner.index()]);
            member_load[owner.index()] += load[shard as usize];
            // The bit patterns of non-negative floats sort like the floats.
            by_utilization.insert(((member_load[owner.index()] / capacity).to_bits(), owner));
            let ReplicaSet {
                owner: first,
                standby: second,
            } = rendezvous_replicas(input, &eligible, shard);
            let standby = if first == owner { second } else { first };
            replica_sets[shard as usize] = ReplicaSet { owner, standby };
        }
        plan_for(input, replica_sets)
    }
}

fn eligible_members(input: &PlanInput<'_>) -> Vec<Member> {
    let all = (0u16..).zip(input.members).map(|(i, p)| (Member(i), p));
    all.filter(|(m, p)| p.is_eligible() && !input.table.is_lost(*m))
        .map(|(m, _)| m)
        .collect()
}

/// Returns the members with the two highest rendezvous scores.
fn rendezvous_replicas(input: &PlanInput<'_>, eligible: &[Member], shard: u32) -> ReplicaSet {
    let score = |m: Member| {
        let name = input.table.name(m).map_or("", |n| n.as_str());
        xxh3_64_with_seed(name.as_bytes(), u64::from(shard))
    };
    let mut best: [Option<(u64, Member)>; 2] = [None; 2];
    for candidate in eligible.iter().map(|&m| Some((score(m), m))) {
        match candidate {
            _ if candidate > best[0] => best = [candidate, best[0]],
            _ if candidate > best[1] => best[1] = candidate,
            _ => {}
        }
    }
    let owner = best[0].map_or(Member::NONE, |b| b.1);
    let standby = best[1].map_or(owner, |b| b.1);
    ReplicaSet { owner, standby }
}

/// Returns the plan that assigns the wanted replica sets to the shards.
fn plan_for<I>(input: &PlanInput<'_>, wanted: I) -> Result<Plan, PlanError>
where
    I: IntoIterator<Item = ReplicaSet>,
{
    let mut table = input.table.clone();
    let mut plan = Plan::default();
    let lost = (0u16..)
        .zip(input.members)
        .filter(|(i, p)| p.state == crate::MemberState::Lost && !input.table.is_lost(Member(*i)));
    let members: smallvec::SmallVec<[Member; 4]> = lost.map(|(i, _)| Member(i)).collect();
    if !members.is_empty() {
        let change = Change::Lost { members };
        // All these members belong to the table, so the change applies.
        let _ = table.apply(&change);
        plan.changes.push(change);
    }
    let mut moves = Vec::new();
    for ((shard, replicas), &old) in (0..)
        .map(trefoil_core::Shard)
        .zip(wanted)
        .zip(table.replica_sets())
    {
        if replicas.owner == Member::NONE {
            return Err(PlanError::NoEligibleMember);
        }
        if replicas != old {
            moves.push(Move { shard, replicas });
            plan.moves.push(PlannedMove {
                unit: Unit::Shard(shard),
                from: old,
                to: replicas,
                reason: match old.owner {
                    owner if owner == replicas.owner => Reason::StandbyGroup,
                    owner if table.is_lost(owner) => Reason::Orphaned,
                    _ => Reason::Balance,
                },
                gain: 0.0,
                price: 0.0,
            });
        }
    }
    plan.changes
        .extend(moves.chunks(MOVES_PER_CHANGE).map(|moves| Change::Moves {
            moves: moves.to_vec(),
        }));
    Ok(plan)
}
