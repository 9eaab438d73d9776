//! Changing a table when upstreams come, leave or are overloaded.
//!
//! Two kinds of change:
//!
//! - Needed whatever the load is: a range without an owner, or whose owner is not a candidate any
//!   more, is dealt out to the upstreams that are furthest below their share. A candidate that owns
//!   nothing gets its share at once.
//! - Evening out: an upstream that is further above the others than chance explains gives a part of
//!   its keys to the one that has most room. Chance matters because the rates are counts of a few
//!   seconds: an owner of 20 requests differs by 4 or 5 from one window to the next.
//!
//! The part that moves is cut from the end of a range, so ranges stay few. A single key that is more
//! than an upstream can take stays where it is, and the keys around it move away.

use derive_more::Display;
use trefoil_core::KeyRange;
use trefoil_directory::Life;

use crate::table::Table;
use crate::trace::Demand;

/// Utilization of an upstream below which nothing is moved away from it: queues are short there.
const CALM: f64 = 0.6;

/// How far above the mean utilization an upstream is before keys are moved away from it.
const ABOVE: f64 = 1.25;

/// Standard deviations by which a count must exceed its expectation.
const SIGNIFICANT: f64 = 2.5;

/// Moves of one change that evens out load. The rest follows in the next one, with newer counts.
const MOVES_MAX: usize = 8;

/// An upstream that may own keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub life: Life,
    /// Requests a second that it can take.
    pub capacity: f64,
}

/// Why a table was changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// A range had no owner, or one that cannot own it any more.
    #[display("needed")]
    Needed,
    /// An upstream owned nothing.
    #[display("joined")]
    Joined,
    /// An upstream had more load than others.
    #[display("uneven")]
    Uneven,
    /// Former owners hold nothing any more.
    #[display("cleared")]
    Cleared,
}

#[derive(Debug)]
struct Share<'a> {
    life: &'a Life,
    capacity: f64,
    rate: f64,
}

impl Share<'_> {
    fn utilization(&self) -> f64 {
        self.rate / self.capacity
    }
}

/// Changes tables.
#[derive(Debug, Clone, Copy, Default)]
pub struct Planner;

impl Planner {
    /// The table with the changes that are needed whatever the load is, or nothing if there are
    /// none.
    pub fn needed(
        self,
        table: &Table,
        candidates: &[Candidate],
        demand: &Demand,
    ) -> Option<(Table, Reason)> {
        if candidates.is_empty() {
            return None;
        }
        let orphans: Vec<KeyRange> = table
            .entries()
            .iter()
            .filter(|e| {
                let owner = e.owner.as_ref().map(|o| &o.life);
                !candidates.iter().any(|c| owner == Some(&c.life))
            })
            .map(|e| e.range)
            .collect();
        if !orphans.is_empty() {
            let mut changed = table.clone();
            deal(&mut changed, &orphans, candidates, demand);
            return Some((changed, Reason::Needed));
        }
        let joined: Vec<&Candidate> = candidates
            .iter()
            .filter(|c| !owns(table, &c.life))
            .collect();
        if joined.is_empty() {
            return None;
        }
        let mut changed = table.clone();
        for candidate in joined {
            welcome(&mut changed, candidate, candidates, demand);
        }
        (changed != *table).then_some((changed, Reason::Joined))
    }

    /// The table with load evened out, or nothing if no move is worth it.
    pub fn even(self, table: &Table, candidates: &[Candidate], demand: &Demand) -> Option<Table> {
        let mut changed = table.clone();
        for _ in 0..MOVES_MAX {
            if !relieve(&mut changed, candidates, demand) {
                break;
            }
        }
        (changed != *table).then_some(changed)
    }
}

fn owns(table: &Table, life: &Life) -> bool {
    let entries = table.entries().iter();
    entries
        .filter_map(|e| e.owner.as_ref())
        .any(|o| o.life == *life)
}

fn shares<'a>(table: &Table, candidates: &'a [Candidate], demand: &Demand) -> Vec<Share<'a>> {
    let rate = |life: &Life| {
        let entries = table.entries().iter();
        let own = entries.filter(|e| e.owner.as_ref().is_some_and(|o| o.life == *life));
        own.map(|e| demand.rate(e.range)).sum()
    };
    let share = |c: &'a Candidate| Share {
        life: &c.life,
        capacity: c.capacity,
        rate: rate(&c.life),
    };
    candidates.iter().map(share).collect()
}

/// Deals ranges out to the candidates that are furthest below their share.
fn deal(table: &mut Table, ranges: &[KeyRange], candidates: &[Candidate], demand: &Demand) {
    let mut shares = shares(table, candidates, demand);
    let capacity: f64 = shares.iter().map(|s| s.capacity).sum();
    let orphaned: f64 = ranges.iter().map(|r| demand.rate(*r)).sum();
    let total = shares.iter().map(|s| s.rate).sum::<f64>() + orphaned;
    let room = |s: &Share<'_>| total * s.capacity / capacity - s.rate;
    let mut rest: Vec<KeyRange> = ranges.to_vec();
    rest.reverse();
    while let Some(range) = rest.pop() {
        let Some(best) = shares.iter_mut().max_by(|a, b| room(a).total_cmp(&room(b))) else {
            return;
        };
        let piece = match room(best) {
            // Everybody has its share: what is left goes to the last one with room.
            most if most <= 0.0 => range,
            most => demand.prefix(range, most),
        };
        table.assign(piece, best.life);
        best.rate += demand.rate(piece);
        if let Some(after) = piece.last().0.checked_add(1)
            && let Ok(left) = KeyRange::new(trefoil_core::Key(after), range.last())
        {
            rest.push(left);
        }
    }
}

/// Gives a candidate that owns nothing its share, from the owners with the highest utilization.
fn welcome(table: &mut Table, joined: &Candidate, candidates: &[Candidate], demand: &Demand) {
    let capacity: f64 = candidates.iter().map(|c| c.capacity).sum();
    let mut wanted = demand.total() * joined.capacity / capacity;
    for _ in 0..candidates.len() {
        let shares = shares(table, candidates, demand);
        let donors = shares.iter().filter(|s| *s.life != joined.life);
        let Some(donor) = donors.max_by(|a, b| a.utilization().total_cmp(&b.utilization())) else {
            return;
        };
        // Taking more would leave the donor below the mean.
        let spare = donor.rate - demand.total() * donor.capacity / capacity;
        let life = donor.life.clone();
        let Some(piece) = cut(table, &life, wanted.min(spare.max(0.0)), demand) else {
            return;
        };
        table.assign(piece, &joined.life);
        wanted -= demand.rate(piece);
        if wanted <= 0.0 {
            return;
        }
    }
}

/// Moves a part of the keys of the most loaded upstream; false if there is nothing to move.
fn relieve(table: &mut Table, candidates: &[Candidate], demand: &Demand) -> bool {
    let shares = shares(table, candidates, demand);
    let capacity: f64 = shares.iter().map(|s| s.capacity).sum();
    let mean = demand.total() / capacity;
    let highest = shares
        .iter()
        .max_by(|a, b| a.utilization().total_cmp(&b.utilization()));
    let lowest = shares
        .iter()
        .min_by(|a, b| a.utilization().total_cmp(&b.utilization()));
    let (Some(from), Some(to)) = (highest, lowest) else {
        return false;
    };
    let expected = mean * from.capacity;
    let excess = from.rate - expected;
    let uneven = from.utilization() > CALM && from.utilization() > ABOVE * mean;
    // Rates are counts over a window, so their deviation is that of a count.
    let chance = SIGNIFICANT * (expected * demand.rate_of_one()).sqrt();
    if !uneven || excess <= chance || from.life == to.life {
        return false;
    }
    let room = mean * to.capacity - to.rate;
    let wanted = excess.min(room);
    let (donor, receiver) = (from.life.clone(), to.life.clone());
    match cut(table, &donor, wanted, demand) {
        Some(piece) if wanted > 0.0 => {
            table.assign(piece, &receiver);
            true
        }
        _ => false,
    }
}

/// A part of an upstream's keys with about this rate, or nothing if no part is near to it.
fn cut(table: &Table, life: &Life, rate: f64, demand: &Demand) -> Option<KeyRange> {
    let entries = table.entries().iter();
    let own = entries.filter(|e| e.owner.as_ref().is_some_and(|o| o.life == *life));
    let pieces = own.flat_map(|e| {
        [demand.prefix(e.range, rate), demand.suffix(e.range, rate)].map(|piece| (piece, e.range))
    });
    // A part that is a single hot key can be far above the wanted rate; moving it helps nobody.
    let near = pieces.filter(|(piece, whole)| piece != whole || demand.rate(*whole) <= rate * 1.5);
    let distance = |piece: KeyRange| (demand.rate(piece) - rate).abs();
    near.map(|(piece, _)| piece)
        .filter(|piece| demand.rate(*piece) <= rate * 2.0)
        .min_by(|a, b| distance(*a).total_cmp(&distance(*b)))
}
