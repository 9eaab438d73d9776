//! The working state of a plan.

use std::collections::{BTreeMap, BTreeSet};

use smallvec::SmallVec;
use trefoil_core::{KeyHash, Shard};

use super::{MoveOrder, PlanError, PlanInput, Planner};
use crate::member::MemberState;
use crate::objective::{self, Cost, EXPOSURE_WEIGHT, HOT_KEY_SHARE, Objective, Utilization};
use crate::reason::{Reason, Unit};
use crate::table::{Member, ReplicaSet};

/// Load of a shard for which no load was measured, as a part of the mean load of a shard. It keeps
/// idle shards from being piled on one member.
const IDLE: f64 = 1e-3;

/// A hot key: one that has an entry, or one that may get one.
#[derive(Debug, Clone, Copy)]
pub(super) struct Hot {
    pub key: KeyHash,
    /// Index of its shard.
    pub shard: usize,
    /// Share of the load.
    pub load: f64,
    /// Its seat, if it has an entry.
    pub replicas: Option<ReplicaSet>,
}

/// Index of a unit: shards come first, hot keys follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Index(pub u32);

/// Gain and price of one move of an owner.
#[derive(Debug, Clone, Copy)]
pub(super) struct Noted {
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
    pub newly: SmallVec<[Member; 4]>,
    pub lost: Vec<bool>,
    /// Share of the usable capacity of each member; zero if it must own nothing.
    pub capacity: Vec<f64>,
    /// Share of the load of each member.
    pub used: Vec<f64>,
    pub replica_sets: Vec<ReplicaSet>,
    /// Share of the load of each shard, without the keys that have entries.
    pub load: Vec<f64>,
    pub hot: Vec<Hot>,
    /// Hot keys whose entries are dropped.
    pub dropped: BTreeSet<KeyHash>,
    /// Why units changed their owner.
    pub notes: BTreeMap<Index, Noted>,
    /// Why units changed their standby only.
    pub standbys: BTreeMap<Index, Noted>,
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
        let newly = members
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
        let (load, hot) = shares(input);
        let mut draft = Self {
            input: *input,
            objective: planner.objective,
            move_order: planner.move_order,
            newly,
            used: vec![0.0; capacity.len()],
            capacity,
            lost,
            shard_keys: 1.0 / f64::from(table.shard_count().max(1)),
            replica_sets: table.replica_sets().to_vec(),
            load,
            hot,
            dropped: BTreeSet::new(),
            notes: BTreeMap::new(),
            standbys: BTreeMap::new(),
            churn: 0.0,
            keys: 0.0,
        };
        draft.promote();
        for unit in 0..draft.count() {
            let unit = Index(unit);
            let (owner, load) = (draft.replicas(unit).owner, draft.own_load(unit));
            if let Some(used) = draft.used.get_mut(owner.index()) {
                *used += load;
            }
        }
        Ok(draft)
    }

    /// Number of units.
    pub fn count(&self) -> u32 {
        u32::try_from(self.replica_sets.len() + self.hot.len()).unwrap_or(u32::MAX)
    }

    fn hot_index(&self, unit: Index) -> Option<usize> {
        (unit.0 as usize).checked_sub(self.replica_sets.len())
    }

    /// The seat of a unit. A hot key without an entry has the seat of its shard.
    pub fn replicas(&self, unit: Index) -> ReplicaSet {
        match self.hot_index(unit) {
            None => self.replica_sets[unit.0 as usize],
            Some(i) => self.hot[i]
                .replicas
                .unwrap_or(self.replica_sets[self.hot[i].shard]),
        }
    }

    /// The seat of a unit before the plan.
    pub fn old_replicas(&self, unit: Index) -> ReplicaSet {
        let shard = match self.hot_index(unit) {
            None => unit.0 as usize,
            Some(i) => match self.input.table.hot_replicas(self.hot[i].key) {
                Some(replicas) => return replicas,
                None => self.hot[i].shard,
            },
        };
        self.input.table.replica_sets()[shard]
    }

    /// What a unit is.
    pub fn unit(&self, unit: Index) -> Unit {
        match self.hot_index(unit) {
            None => Unit::Shard(Shard(unit.0)),
            Some(i) => Unit::Key(self.hot[i].key),
        }
    }

    /// Whether a unit has a seat of its own: all but hot keys without an entry.
    pub fn has_own_replicas(&self, unit: Index) -> bool {
        self.hot_index(unit).is_none_or(|i| {
            let hot = &self.hot[i];
            hot.replicas.is_some() && !self.dropped.contains(&hot.key)
        })
    }

    /// The load that moves with a unit.
    pub fn unit_load(&self, unit: Index) -> f64 {
        match self.hot_index(unit) {
            None => self.load[unit.0 as usize],
            Some(i) => self.hot[i].load,
        }
    }

    /// The load of a unit that is not part of another unit's load.
    fn own_load(&self, unit: Index) -> f64 {
        if self.has_own_replicas(unit) {
            self.unit_load(unit)
        } else {
            0.0
        }
    }

    /// The share of the keys that a unit counts.
    pub fn unit_keys(&self, unit: Index) -> f64 {
        match self.hot_index(unit) {
            None => self.shard_keys,
            Some(_) => self.shard_keys * HOT_KEY_SHARE,
        }
    }

    /// Load and capacity of a member.
    pub fn utilization(&self, member: Member) -> Utilization {
        Utilization {
            load: self.used[member.index()],
            capacity: self.capacity[member.index()],
        }
    }

    /// Whether a member may get units.
    pub fn is_eligible(&self, member: Member) -> bool {
        self.capacity.get(member.index()).is_some_and(|&c| c > 0.0)
    }

    /// Whether a member is lost or does not exist.
    pub fn is_lost(&self, member: Member) -> bool {
        self.lost.get(member.index()).copied().unwrap_or(true)
    }

    pub fn set_replicas(&mut self, unit: Index, replicas: ReplicaSet) {
        match self.hot_index(unit) {
            None => self.replica_sets[unit.0 as usize] = replicas,
            Some(i) => self.hot[i].replicas = Some(replicas),
        }
    }

    /// Gives a unit a new owner, who is its own standby until standbys are repaired.
    pub fn give(&mut self, unit: Index, to: Member, noted: Noted) {
        let from = self.replicas(unit);
        let load = self.unit_load(unit);
        if let Some(i) = self.hot_index(unit)
            && self.hot[i].replicas.is_none()
        {
            // The key leaves its shard.
            let shard = self.hot[i].shard;
            self.load[shard] = (self.load[shard] - load).max(0.0);
        }
        if let Some(used) = self.used.get_mut(from.owner.index()) {
            *used = (*used - load).max(0.0);
        }
        self.used[to.index()] += load;
        let standby = match from.standby {
            old if old != to && self.is_eligible(old) => old,
            _ => to,
        };
        self.set_replicas(unit, ReplicaSet { owner: to, standby });
        self.count_move(unit, noted);
    }

    fn count_move(&mut self, unit: Index, noted: Noted) {
        let keys = self.unit_keys(unit);
        self.churn += objective::churn(keys, self.unit_load(unit));
        self.keys += keys;
        self.notes.insert(unit, noted);
    }

    /// What the churn of a unit's move costs.
    pub fn price(&self, unit: Index) -> f64 {
        self.objective
            .price(self.unit_keys(unit), self.unit_load(unit))
    }

    /// Gain and price of a move that has to be made.
    fn forced(&self, unit: Index, reason: Reason) -> Noted {
        let Objective { weights, horizon } = self.objective;
        Noted {
            reason,
            gain: weights.unavailable * horizon * self.unit_load(unit),
            price: self.price(unit),
        }
    }

    /// A seat after the losses that the plan records.
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

    /// Promotes the standbys of lost members, as [`crate::Change::Lost`] does.
    fn promote(&mut self) {
        if self.newly.is_empty() {
            return;
        }
        for unit in (0..self.count()).map(Index) {
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

    /// Gives units whose owner is lost or leaving to the members with the least utilization, those
    /// with the most load first.
    pub fn place_forced(&mut self) {
        let units = (0..self.count()).map(Index);
        let mut units: Vec<Index> = units
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
        let mut ranks = self.ranks();
        for unit in units {
            let Some((_, to)) = ranks.pop_first() else {
                return;
            };
            let reason = match self.replicas(unit).owner {
                Member::NONE => Reason::Vacant,
                owner if self.is_lost(owner) => Reason::Orphaned,
                _ => Reason::Leaving,
            };
            self.give(unit, to, self.forced(unit, reason));
            ranks.insert((self.rank(to), to));
        }
    }

    /// Open members in ascending order of utilization.
    pub fn ranks(&self) -> BTreeSet<(u64, Member)> {
        let count = u16::try_from(self.capacity.len()).unwrap_or(u16::MAX);
        let open = (0..count).map(Member).filter(|&m| self.is_eligible(m));
        open.map(|m| (self.rank(m), m)).collect()
    }

    /// A sort key of a member's utilization. The bits of floats that are not negative sort as the
    /// floats do.
    pub fn rank(&self, member: Member) -> u64 {
        self.utilization(member).ratio().max(0.0).to_bits()
    }

    /// Drops entries of hot keys that have the owner of their shard.
    pub fn drop_entries(&mut self) {
        for hot in &self.hot {
            let same = hot
                .replicas
                .is_some_and(|s| s.owner == self.replica_sets[hot.shard].owner);
            if same {
                self.dropped.insert(hot.key);
                self.load[hot.shard] += hot.load;
            }
        }
    }

    /// Terms of the objective, without churn.
    pub fn cost(&self) -> Cost {
        let mut unavailable = 0.0;
        for unit in (0..self.count()).map(Index) {
            let replicas = self.replicas(unit);
            let part = match replicas {
                _ if !self.is_eligible(replicas.owner) => 1.0,
                _ if !self.has_usable_standby(replicas) => EXPOSURE_WEIGHT,
                _ => continue,
            };
            unavailable += part * self.own_load(unit);
        }
        let utilizations = self.used.iter().zip(&self.capacity);
        let utilizations = utilizations.map(|(&load, &capacity)| Utilization { load, capacity });
        Cost {
            unavailable,
            churn: 0.0,
            imbalance: objective::imbalance(utilizations),
        }
    }

    /// Whether a seat has an open standby in another failure domain than its owner.
    fn has_usable_standby(&self, replicas: ReplicaSet) -> bool {
        let domain = |m: Member| self.input.members[m.index()].domain;
        self.is_eligible(replicas.standby) && domain(replicas.standby) != domain(replicas.owner)
    }
}

/// Shares of the load of all shards and hot keys.
fn shares(input: &PlanInput<'_>) -> (Vec<f64>, Vec<Hot>) {
    let table = input.table;
    let clean = |load: f64| if load.is_finite() { load.max(0.0) } else { 0.0 };
    let total: f64 = input.load.shards.iter().map(|&l| clean(l)).sum();
    let count = f64::from(table.shard_count().max(1));
    let (unit, idle) = match total {
        t if t > 0.0 => (1.0 / (t * (1.0 + IDLE)), t / count * IDLE),
        _ => (1.0, 1.0 / count),
    };
    let shares = input.load.shards.iter().map(|&l| (clean(l) + idle) * unit);
    let mut load: Vec<f64> = shares.collect();
    let mut keys: BTreeMap<KeyHash, Hot> = BTreeMap::new();
    let fresh = |key| Hot {
        key,
        shard: table.shard(key).0 as usize,
        load: 0.0,
        replicas: None,
    };
    for it in &input.load.hot {
        let hot = keys.entry(it.key).or_insert_with(|| fresh(it.key));
        hot.load = (clean(it.load) * unit).min(load[hot.shard]);
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
