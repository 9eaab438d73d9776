//! Placements that the planner is compared with: two simple ones, and its own first version.
//!
//! [`Rendezvous`] and [`Greedy`] do not look at churn and give hot keys no entries of their own.
//! Their standbys follow rendezvous hashing without regard to failure domains.

use std::collections::BTreeSet;
use std::fmt::Debug;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::SlowStart;
use crate::objective::Objective;
use crate::planner::{MoveOrder, Plan, PlanError, PlanInput, Planner};
use crate::reason::{PlannedMove, Reason, Unit};
use crate::table::{Change, MOVES_PER_CHANGE, Member, Move, ReplicaSet};

/// Smoothing of the load for the planner.
pub const HISTORY_WEIGHT: f64 = 0.875;

/// Something that makes plans.
pub trait PlacementStrategy: Debug + Sync {
    /// Name in tables.
    fn name(&self) -> &str;

    /// The smoothing of the load, see [`crate::load::Meter::new`].
    fn history_weight(&self) -> f64 {
        0.0
    }

    /// Whether the keys that have entries are counted exactly, see [`crate::load::Meter::track_keys`].
    fn tracks_hot_keys(&self) -> bool {
        true
    }

    /// Makes a plan.
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

/// A placement under another name and with another smoothing of the load, to compare settings.
#[derive(Debug)]
pub struct Named<P> {
    /// Name in tables.
    pub name: &'static str,
    /// The smoothing of the load.
    pub history_weight: f64,
    /// The placement.
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

/// The planner as it was before the rounds of docs/experiments.md: loads that are not smoothed,
/// entries that are not counted, and the first settings and choice of moves. The objective is the
/// present one, whose price includes the hand-over.
#[derive(Debug, Clone)]
pub struct FirstPlanner(Planner);

impl FirstPlanner {
    /// The first planner with an objective. Its horizon was 32 windows.
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

/// Rendezvous hashing: the member with the highest score of a shard owns it, the next one is its
/// standby. Load has no influence.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rendezvous;

impl PlacementStrategy for Rendezvous {
    fn name(&self) -> &'static str {
        "rendezvous"
    }

    fn place(&self, input: &PlanInput<'_>) -> Result<Plan, PlanError> {
        let open = eligible_members(input);
        let shards = 0..input.table.shard_count();
        plan_of(input, shards.map(|s| ranked(input, &open, s)))
    }
}

/// Greedy least-loaded: in each window all shards are dealt anew, the heaviest first, each to the
/// member with the least utilization.
#[derive(Debug, Clone, Copy, Default)]
pub struct Greedy {
    /// Ramp of joining members.
    pub slow_start: SlowStart,
}

impl PlacementStrategy for Greedy {
    fn name(&self) -> &'static str {
        "greedy least-loaded"
    }

    fn place(&self, input: &PlanInput<'_>) -> Result<Plan, PlanError> {
        let open = eligible_members(input);
        let load = &input.load.shards;
        let mut order: Vec<u32> = (0..input.table.shard_count()).collect();
        order.sort_by(|&a, &b| {
            load[b as usize]
                .total_cmp(&load[a as usize])
                .then(a.cmp(&b))
        });
        let mut ranks: BTreeSet<(u64, Member)> = open.iter().map(|&m| (0, m)).collect();
        let mut used = vec![0.0f64; input.members.len()];
        let mut replica_sets = vec![ReplicaSet::VACANT; order.len()];
        for shard in order {
            let Some((_, owner)) = ranks.pop_first() else {
                return Err(PlanError::NoEligibleMember);
            };
            let capacity = self.slow_start.capacity(&input.members[owner.index()]);
            used[owner.index()] += load[shard as usize];
            // The bits of floats that are not negative sort as the floats do.
            ranks.insert(((used[owner.index()] / capacity).to_bits(), owner));
            let ReplicaSet {
                owner: first,
                standby: second,
            } = ranked(input, &open, shard);
            let standby = if first == owner { second } else { first };
            replica_sets[shard as usize] = ReplicaSet { owner, standby };
        }
        plan_of(input, replica_sets)
    }
}

fn eligible_members(input: &PlanInput<'_>) -> Vec<Member> {
    let all = (0u16..).zip(input.members).map(|(i, p)| (Member(i), p));
    all.filter(|(m, p)| p.is_eligible() && !input.table.is_lost(*m))
        .map(|(m, _)| m)
        .collect()
}

/// The members with the two highest rendezvous scores.
fn ranked(input: &PlanInput<'_>, open: &[Member], shard: u32) -> ReplicaSet {
    let score = |m: Member| {
        let name = input.table.name(m).map_or("", |n| n.as_str());
        xxh3_64_with_seed(name.as_bytes(), u64::from(shard))
    };
    let mut best: [Option<(u64, Member)>; 2] = [None; 2];
    for it in open.iter().map(|&m| Some((score(m), m))) {
        match it {
            _ if it > best[0] => best = [it, best[0]],
            _ if it > best[1] => best[1] = it,
            _ => {}
        }
    }
    let owner = best[0].map_or(Member::NONE, |b| b.1);
    let standby = best[1].map_or(owner, |b| b.1);
    ReplicaSet { owner, standby }
}

/// The plan that gives the shards the wanted seats.
fn plan_of<I>(input: &PlanInput<'_>, wanted: I) -> Result<Plan, PlanError>
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
        // The members are those of the table, so the change applies.
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
