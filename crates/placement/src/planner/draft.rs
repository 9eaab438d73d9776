//! The working state of a plan.

use std::collections::{BTreeMap, BTreeSet};

use smallvec::SmallVec;
use trefoil_core::{KeyHash, Shard};

use super::{Choice, Input, PlanError, Planner};
use crate::member::State;
use crate::objective::{self, Cost, ENTRY, EXPOSURE, Objective, Side};
use crate::reason::{Reason, Unit};
use crate::table::{Member, Seat};

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
    pub seat: Option<Seat>,
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
    pub input: Input<'a>,
    pub objective: Objective,
    pub choice: Choice,
    /// Members that this plan records as lost.
    pub newly: SmallVec<[Member; 4]>,
    pub lost: Vec<bool>,
    /// Share of the usable capacity of each member; zero if it must own nothing.
    pub capacity: Vec<f64>,
    /// Share of the load of each member.
    pub used: Vec<f64>,
    pub seats: Vec<Seat>,
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
    pub fn new(planner: &Planner, input: &Input<'a>) -> Result<Self, PlanError> {
        let table = input.table;
        let (found, wanted) = (input.members.len(), table.members().len());
        if found != wanted {
            return Err(PlanError::BadProfiles { found, wanted });
        }
        let (found, wanted) = (input.load.shards.len(), table.seats().len());
        if found != wanted {
            return Err(PlanError::BadLoads { found, wanted });
        }
        let members = (0u16..).zip(input.members);
        let newly = members
            .filter(|&(i, p)| p.state == State::Lost && !table.is_lost(Member(i)))
            .map(|(i, _)| Member(i))
            .collect();
        let lost: Vec<bool> = (0u16..)
            .zip(input.members)
            .map(|(i, p)| p.state == State::Lost || table.is_lost(Member(i)))
            .collect();
        let usable = input
            .members
            .iter()
            .zip(&lost)
            .map(|(p, &lost)| if lost { 0.0 } else { planner.ramp.capacity(p) });
        let mut capacity: Vec<f64> = usable.collect();
        let sum: f64 = capacity.iter().sum();
        if sum <= 0.0 {
            return Err(PlanError::NoMembers);
        }
        for share in &mut capacity {
            *share /= sum;
        }
        let (load, hot) = shares(input);
        let mut draft = Self {
            input: *input,
            objective: planner.objective,
            choice: planner.choice,
            newly,
            used: vec![0.0; capacity.len()],
            capacity,
            lost,
            shard_keys: 1.0 / f64::from(table.shard_count().max(1)),
            seats: table.seats().to_vec(),
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
            let (owner, load) = (draft.seat(unit).owner, draft.own_load(unit));
            if let Some(used) = draft.used.get_mut(owner.index()) {
                *used += load;
            }
        }
        Ok(draft)
    }

    /// Number of units.
    pub fn count(&self) -> u32 {
        u32::try_from(self.seats.len() + self.hot.len()).unwrap_or(u32::MAX)
    }

    fn hot_index(&self, unit: Index) -> Option<usize> {
        (unit.0 as usize).checked_sub(self.seats.len())
    }

    /// The seat of a unit. A hot key without an entry has the seat of its shard.
    pub fn seat(&self, unit: Index) -> Seat {
        match self.hot_index(unit) {
            None => self.seats[unit.0 as usize],
            Some(i) => self.hot[i].seat.unwrap_or(self.seats[self.hot[i].shard]),
        }
    }

    /// The seat of a unit before the plan.
    pub fn old_seat(&self, unit: Index) -> Seat {
        let shard = match self.hot_index(unit) {
            None => unit.0 as usize,
            Some(i) => match self.input.table.hot_seat(self.hot[i].key) {
                Some(seat) => return seat,
                None => self.hot[i].shard,
            },
        };
        self.input.table.seats()[shard]
    }

    /// What a unit is.
    pub fn unit(&self, unit: Index) -> Unit {
        match self.hot_index(unit) {
            None => Unit::Shard(Shard(unit.0)),
            Some(i) => Unit::Key(self.hot[i].key),
        }
    }

    /// Whether a unit has a seat of its own: all but hot keys without an entry.
    pub fn is_seated(&self, unit: Index) -> bool {
        self.hot_index(unit).is_none_or(|i| {
            let hot = &self.hot[i];
            hot.seat.is_some() && !self.dropped.contains(&hot.key)
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
        if self.is_seated(unit) {
            self.unit_load(unit)
        } else {
            0.0
        }
    }

    /// The share of the keys that a unit counts.
    pub fn unit_keys(&self, unit: Index) -> f64 {
        match self.hot_index(unit) {
            None => self.shard_keys,
            Some(_) => self.shard_keys * ENTRY,
        }
    }

    /// Load and capacity of a member.
    pub fn side(&self, member: Member) -> Side {
        Side {
            load: self.used[member.index()],
            capacity: self.capacity[member.index()],
        }
    }

    /// Whether a member may get units.
    pub fn is_open(&self, member: Member) -> bool {
        self.capacity.get(member.index()).is_some_and(|&c| c > 0.0)
    }

    /// Whether a member is lost or does not exist.
    pub fn is_lost(&self, member: Member) -> bool {
        self.lost.get(member.index()).copied().unwrap_or(true)
    }

    pub fn set_seat(&mut self, unit: Index, seat: Seat) {
        match self.hot_index(unit) {
            None => self.seats[unit.0 as usize] = seat,
            Some(i) => self.hot[i].seat = Some(seat),
        }
    }

    /// Gives a unit a new owner, who is its own standby until standbys are repaired.
    pub fn give(&mut self, unit: Index, to: Member, noted: Noted) {
        let from = self.seat(unit);
        let load = self.unit_load(unit);
        if let Some(i) = self.hot_index(unit)
            && self.hot[i].seat.is_none()
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
            old if old != to && self.is_open(old) => old,
            _ => to,
        };
        self.set_seat(unit, Seat { owner: to, standby });
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
    pub fn promoted(&self, seat: Seat) -> Seat {
        match (self.is_lost(seat.owner), self.is_lost(seat.standby)) {
            (true, false) => Seat {
                owner: seat.standby,
                ..seat
            },
            (false, true) => Seat {
                standby: seat.owner,
                ..seat
            },
            _ => seat,
        }
    }

    /// Promotes the standbys of lost members, as [`crate::Change::Lost`] does.
    fn promote(&mut self) {
        if self.newly.is_empty() {
            return;
        }
        for unit in (0..self.count()).map(Index) {
            let seat = self.seat(unit);
            let after = self.promoted(seat);
            if after != seat && self.is_seated(unit) {
                self.set_seat(unit, after);
                if after.owner != seat.owner {
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
            .filter(|&u| self.is_seated(u) && !self.is_open(self.seat(u).owner))
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
            let reason = match self.seat(unit).owner {
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
        let open = (0..count).map(Member).filter(|&m| self.is_open(m));
        open.map(|m| (self.rank(m), m)).collect()
    }

    /// A sort key of a member's utilization. The bits of floats that are not negative sort as the
    /// floats do.
    pub fn rank(&self, member: Member) -> u64 {
        self.side(member).ratio().max(0.0).to_bits()
    }

    /// Drops entries of hot keys that have the owner of their shard.
    pub fn drop_entries(&mut self) {
        for hot in &self.hot {
            let same = hot
                .seat
                .is_some_and(|s| s.owner == self.seats[hot.shard].owner);
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
            let seat = self.seat(unit);
            let part = match seat {
                _ if !self.is_open(seat.owner) => 1.0,
                _ if !self.is_covered(seat) => EXPOSURE,
                _ => continue,
            };
            unavailable += part * self.own_load(unit);
        }
        let sides = self.used.iter().zip(&self.capacity);
        let sides = sides.map(|(&load, &capacity)| Side { load, capacity });
        Cost {
            unavailable,
            churn: 0.0,
            imbalance: objective::imbalance(sides),
        }
    }

    /// Whether a seat has an open standby in another failure domain than its owner.
    fn is_covered(&self, seat: Seat) -> bool {
        let domain = |m: Member| self.input.members[m.index()].domain;
        self.is_open(seat.standby) && domain(seat.standby) != domain(seat.owner)
    }
}

/// Shares of the load of all shards and hot keys.
fn shares(input: &Input<'_>) -> (Vec<f64>, Vec<Hot>) {
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
        seat: None,
    };
    for it in &input.load.hot {
        let hot = keys.entry(it.key).or_insert_with(|| fresh(it.key));
        hot.load = (clean(it.load) * unit).min(load[hot.shard]);
    }
    for entry in table.hot() {
        let hot = keys.entry(entry.key).or_insert_with(|| fresh(entry.key));
        hot.seat = Some(entry.seat);
    }
    for hot in keys.values_mut().filter(|h| h.seat.is_some()) {
        hot.load = hot.load.min(load[hot.shard]);
        load[hot.shard] -= hot.load;
    }
    (load, keys.into_values().collect())
}
