//! The working state of a plan.

use std::collections::{BTreeMap, BTreeSet};

use smallvec::SmallVec;
use trefoil_core::{KeyHash, Shard};

use super::{MoveOrder, PlanError, PlanInput, Planner};
use crate::member::MemberState;
use crate::objective::{self, Cost, EXPOSURE_WEIGHT, HOT_KEY_SHARE, Objective, Utilization};
use crate::reason::{Reason, Unit};
use crate::table::{Member, ReplicaSet};

/// Load that is assumed for a shard without measured load, as a fraction of the mean load of a
/// shard. Without it the planner would assign all idle shards to one member.
const IDLE_LOAD: f64 = 1e-3;

/// A hot key that has an entry or may get one.
#[derive(Debug, Clone, Copy)]
pub(super) struct HotUnit {
    pub key: KeyHash,
    /// Index of its shard.
    pub shard: usize,
    /// Share of the load.
    pub load: f64,
    /// The replica set of its entry, if it has one.
    pub replicas: Option<ReplicaSet>,
}

/// Index of a unit. Shards come first, followed by hot keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct UnitIndex(pub u32);

/// Reason, gain and price of one move.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rationale {
    pub reason: Reason,
    pub gain: f64,
    pub price: f64,
}

#[derive(Debug)]
pub(super) struct Draft<'a> {
    pub input: PlanInput<'a>,
    pub objective: Objective,
    pub move_order: MoveOrder,
    /// Members that this plan records as lost.
    pub newly_lost: SmallVec<[Member; 4]>,
    pub lost: Vec<bool>,
    /// Share of the usable capacity of each member; zero if the member must not own any unit.
    pub capacity: Vec<f64>,
    /// Share of the load of each member.
    pub member_load: Vec<f64>,
    pub replica_sets: Vec<ReplicaSet>,
    /// Share of the load of each shard, without the keys that have entries.
    pub shard_load: Vec<f64>,
    pub hot: Vec<HotUnit>,
    /// Hot keys whose entries the plan drops.
    pub dropped: BTreeSet<KeyHash>,
    /// Units that change their owner.
    pub owner_moves: BTreeMap<UnitIndex, Rationale>,
    /// Units that change only their standby.
    pub standby_moves: BTreeMap<UnitIndex, Rationale>,
    /// Churn so far.
    pub churn: f64,
    /// Share of the keys moved so far.
    pub keys: f64,
    /// Share of the keys in one shard.
    pub shard_keys: f64,
}

impl<'a> Draft<'a> {
    pub fn new(planner: &Planner, input: &PlanInput<'a>) -> Result<Self, PlanError> {
        let table = input.table;
        let (found, expected) = (input.members.len(), table.members().len());
        if found != expected {
            return Err(PlanError::MemberCountMismatch { found, expected });
        }
        let (found, expected) = (input.load.shards.len(), table.replica_sets().len());
        if found != expected {
            return Err(PlanError::LoadCountMismatch { found, expected });
        }
        let members = (0u16..).zip(input.members);
        let newly_lost = members
            .filter(|&(i, p)| p.state == MemberState::Lost && !table.is_lost(Member(i)))
            .map(|(i, _)| Member(i))
            .collect();
        let lost: Vec<bool> = (0u16..)
            .zip(input.members)
            .map(|(i, p)| p.state == MemberState::Lost || table.is_lost(Member(i)))
            .collect();
        let usable = input.members.iter().zip(&lost).map(|(p, &lost)| {
            if lost {
                0.0
            } else {
                planner.slow_start.capacity(p)
            }
        });
        let mut capacity: Vec<f64> = usable.collect();
        let sum: f64 = capacity.iter().sum();
        if sum <= 0.0 {
            return Err(PlanError::NoEligibleMember);
        }
        for share in &mut capacity {
            *share /= sum;
        }
        let (shard_load, hot) = compute_shares(input);
        let mut draft = Self {
            input: *input,
            objective: planner.objective,
            move_order: planner.move_order,
            newly_lost,
            member_load: vec![0.0; capacity.len()],
            capacity,
            lost,
            shard_keys: 1.0 / f64::from(table.shard_count().max(1)),
            replica_sets: table.replica_sets().to_vec(),
            shard_load,
            hot,
            dropped: BTreeSet::new(),
            owner_moves: BTreeMap::new(),
            standby_moves: BTreeMap::new(),
            churn: 0.0,
            keys: 0.0,
        };
        draft.promote_standbys();
        for unit in 0..draft.count() {
            let unit = UnitIndex(unit);
            let (owner, load) = (draft.replicas(unit).owner, draft.own_load(unit));
            if let Some(member_load) = draft.member_load.get_mut(owner.index()) {
                *member_load += load;
            }
        }
        Ok(draft)
    }

    /// Returns the number of units.
    pub fn count(&self) -> u32 {
        u32::try_from(self.replica_sets.len() + self.hot.len()).unwrap_or(u32::MAX)
    }

    fn hot_index(&self, unit: UnitIndex) -> Option<usize> {
        (unit.0 as usize).checked_sub(self.replica_sets.len())
    }

    /// Returns the replica set of a unit. A hot key without an entry has that of its shard.
    pub fn replicas(&self, unit: UnitIndex) -> ReplicaSet {
        match self.hot_index(unit) {
            None => self.replica_sets[unit.0 as usize],
            Some(i) => self.hot[i]
                .replicas
                .unwrap_or(self.replica_sets[self.hot[i].shard]),
        }
    }

    /// Returns the replica set of a unit before the plan.
    pub fn old_replicas(&self, unit: UnitIndex) -> ReplicaSet {
        let shard = match self.hot_index(unit) {
            None => unit.0 as usize,
            Some(i) => match self.input.table.hot_replicas(self.hot[i].key) {
                Some(replicas) => return replicas,
                None => self.hot[i].shard,
            },
        };
        self.input.table.replica_sets()[shard]
    }

    /// Returns the shard or hot key of an index.
    pub fn unit(&self, unit: UnitIndex) -> Unit {
        match self.hot_index(unit) {
            None => Unit::Shard(Shard(unit.0)),
            Some(i) => Unit::Key(self.hot[i].key),
        }
    }

    /// Returns true if a unit has a replica set of its own: a shard, or a hot key with an entry
    /// that the plan keeps.
    pub fn has_own_replicas(&self, unit: UnitIndex) -> bool {
        self.hot_index(unit).is_none_or(|i| {
            let hot = &self.hot[i];
            hot.replicas.is_some() && !self.dropped.contains(&hot.key)
        })
    }

    /// Returns the load that moves with a unit.
    pub fn unit_load(&self, unit: UnitIndex) -> f64 {
        match self.hot_index(unit) {
            None => self.shard_load[unit.0 as usize],
            Some(i) => self.hot[i].load,
        }
    }

    /// Returns the load of a unit, or zero if it is counted as load of another unit.
    fn own_load(&self, unit: UnitIndex) -> f64 {
        if self.has_own_replicas(unit) {
            self.unit_load(unit)
        } else {
            0.0
        }
    }

    /// Returns the share of the keys that a move of a unit counts as.
    pub fn unit_keys(&self, unit: UnitIndex) -> f64 {
        match self.hot_index(unit) {
            None => self.shard_keys,
            Some(_) => self.shard_keys * HOT_KEY_SHARE,
        }
    }

    /// Returns the load and capacity of a member.
    pub fn utilization(&self, member: Member) -> Utilization {
        Utilization {
            load: self.member_load[member.index()],
            capacity: self.capacity[member.index()],
        }
    }

    /// Returns true if a member can get units.
    pub fn is_eligible(&self, member: Member) -> bool {
        self.capacity.get(member.index()).is_some_and(|&c| c > 0.0)
    }

    /// Returns true if a member is lost or does not exist.
    pub fn is_lost(&self, member: Member) -> bool {
        self.lost.get(member.index()).copied().unwrap_or(true)
    }

    pub fn set_replicas(&mut self, unit: UnitIndex, replicas: ReplicaSet) {
        match self.hot_index(unit) {
            None => self.replica_sets[unit.0 as usize] = replicas,
            Some(i) => self.hot[i].replicas = Some(replicas),
        }
    }

    /// Assigns a new owner to a unit. The standby stays if it is eligible and not the new owner;
    /// else the owner is its own standby until standbys are repaired.
    pub fn move_unit(&mut self, unit: UnitIndex, to: Member, rationale: Rationale) {
        let from = self.replicas(unit);
        let load = self.unit_load(unit);
        if let Some(i) = self.hot_index(unit)
            && self.hot[i].replicas.is_none()
        {
            // The key gets an entry, so its load no longer counts as load of the shard.
            let shard = self.hot[i].shard;
            self.shard_load[shard] = (self.shard_load[shard] - load).max(0.0);
        }
        if let Some(member_load) = self.member_load.get_mut(from.owner.index()) {
            *member_load = (*member_load - load).max(0.0);
        }
        self.member_load[to.index()] += load;
        let standby = match from.standby {
            old if old != to && self.is_eligible(old) => old,
            _ => to,
        };
        self.set_replicas(unit, ReplicaSet { owner: to, standby });
        self.count_move(unit, rationale);
    }

    fn count_move(&mut self, unit: UnitIndex, rationale: Rationale) {
        let keys = self.unit_keys(unit);
        self.churn += objective::churn(keys, self.unit_load(unit));
        self.keys += keys;
        self.owner_moves.insert(unit, rationale);
    }

    /// Returns the price of a move of a unit.
    pub fn price(&self, unit: UnitIndex) -> f64 {
        self.objective
            .price(self.unit_keys(unit), self.unit_load(unit))
    }

    /// Returns the rationale of a forced move.
    fn forced(&self, unit: UnitIndex, reason: Reason) -> Rationale {
        let Objective { weights, horizon } = self.objective;
        Rationale {
            reason,
            gain: weights.unavailable * horizon * self.unit_load(unit),
            price: self.price(unit),
        }
    }

    /// Returns a replica set after the losses that the plan records.
    pub fn promoted(&self, replicas: ReplicaSet) -> ReplicaSet {
        match (self.is_lost(replicas.owner), self.is_lost(replicas.standby)) {
            (true, false) => ReplicaSet {
                owner: replicas.standby,
                ..replicas
            },
            (false, true) => ReplicaSet {
                standby: replicas.owner,
                ..replicas
            },
            _ => replicas,
        }
    }

    /// Promotes the standbys of lost owners like [`crate::Change::Lost`].
    fn promote_standbys(&mut self) {
        if self.newly_lost.is_empty() {
            return;
        }
        for unit in (0..self.count()).map(UnitIndex) {
            let replicas = self.replicas(unit);
            let after = self.promoted(replicas);
            if after != replicas && self.has_own_replicas(unit) {
                self.set_replicas(unit, after);
                if after.owner != replicas.owner {
                    self.count_move(unit, self.forced(unit, Reason::Promoted));
                }
            }
        }
    }

    /// Assigns each unit whose owner is lost or leaving to the member with the lowest utilization,
    /// in descending order of load.
    pub fn place_forced(&mut self) {
        let units = (0..self.count()).map(UnitIndex);
        let mut units: Vec<UnitIndex> = units
            .filter(|&u| self.has_own_replicas(u) && !self.is_eligible(self.replicas(u).owner))
            .collect();
        if units.is_empty() {
            return;
        }
        units.sort_by(|&a, &b| {
            self.unit_load(b)
                .total_cmp(&self.unit_load(a))
                .then(a.cmp(&b))
        });
        let mut eligible_ranks = self.eligible_ranks();
        for unit in units {
            let Some((_, to)) = eligible_ranks.pop_first() else {
                return;
            };
            let reason = match self.replicas(unit).owner {
                Member::NONE => Reason::Vacant,
                owner if self.is_lost(owner) => Reason::Orphaned,
                _ => Reason::Leaving,
            };
            self.move_unit(unit, to, self.forced(unit, reason));
            eligible_ranks.insert((self.rank(to), to));
        }
    }

    /// Returns the eligible members in ascending order of utilization.
    pub fn eligible_ranks(&self) -> BTreeSet<(u64, Member)> {
        let count = u16::try_from(self.capacity.len()).unwrap_or(u16::MAX);
        let eligible = (0..count).map(Member).filter(|&m| self.is_eligible(m));
        eligible.map(|m| (self.rank(m), m)).collect()
    }

    /// Returns a sort key for the utilization of a member. The bit patterns of non-negative floats
    /// sort like the floats.
    pub fn rank(&self, member: Member) -> u64 {
        self.utilization(member).ratio().max(0.0).to_bits()
    }

    /// Drops the entries of hot keys whose owner is the owner of their shard.
    pub fn drop_unused_entries(&mut self) {
        for hot in &self.hot {
            let is_unused = hot
                .replicas
                .is_some_and(|s| s.owner == self.replica_sets[hot.shard].owner);
            if is_unused {
                self.dropped.insert(hot.key);
                self.shard_load[hot.shard] += hot.load;
            }
        }
    }

    /// Returns the terms of the objective, without churn.
    pub fn cost(&self) -> Cost {
        let mut unavailable = 0.0;
        for unit in (0..self.count()).map(UnitIndex) {
            let replicas = self.replicas(unit);
            let part = match replicas {
                _ if !self.is_eligible(replicas.owner) => 1.0,
                _ if !self.has_usable_standby(replicas) => EXPOSURE_WEIGHT,
                _ => continue,
            };
            unavailable += part * self.own_load(unit);
        }
        let utilizations = self.member_load.iter().zip(&self.capacity);
        let utilizations = utilizations.map(|(&load, &capacity)| Utilization { load, capacity });
        Cost {
            unavailable,
            churn: 0.0,
            imbalance: objective::imbalance(utilizations),
        }
    }

    /// Returns true if a replica set has an eligible standby in another failure domain than its
    /// owner.
    fn has_usable_standby(&self, replicas: ReplicaSet) -> bool {
        let domain = |m: Member| self.input.members[m.index()].domain;
        self.is_eligible(replicas.standby) && domain(replicas.standby) != domain(replicas.owner)
    }
}

/// Returns the load of all shards and hot keys as shares of the total. The load of hot keys that
/// have entries is subtracted from that of their shards.
fn compute_shares(input: &PlanInput<'_>) -> (Vec<f64>, Vec<HotUnit>) {
    let table = input.table;
    let clean = |load: f64| if load.is_finite() { load.max(0.0) } else { 0.0 };
    let total: f64 = input.load.shards.iter().map(|&l| clean(l)).sum();
    let count = f64::from(table.shard_count().max(1));
    let (unit, idle) = match total {
        t if t > 0.0 => (1.0 / (t * (1.0 + IDLE_LOAD)), t / count * IDLE_LOAD),
        _ => (1.0, 1.0 / count),
    };
    let shares = input.load.shards.iter().map(|&l| (clean(l) + idle) * unit);
    let mut load: Vec<f64> = shares.collect();
    let mut keys: BTreeMap<KeyHash, HotUnit> = BTreeMap::new();
    let fresh = |key| HotUnit {
        key,
        shard: table.shard(key).0 as usize,
        load: 0.0,
        replicas: None,
    };
    for measured in &input.load.hot {
        let hot = keys
            .entry(measured.key)
            .or_insert_with(|| fresh(measured.key));
        hot.load = (clean(measured.load) * unit).min(load[hot.shard]);
    }
    for entry in table.hot_entries() {
        let hot = keys.entry(entry.key).or_insert_with(|| fresh(entry.key));
        hot.replicas = Some(entry.replicas);
    }
    for hot in keys.values_mut().filter(|h| h.replicas.is_some()) {
        hot.load = hot.load.min(load[hot.shard]);
        load[hot.shard] -= hot.load;
    }
    (load, keys.into_values().collect())
}
