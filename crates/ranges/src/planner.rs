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

use std::collections::HashMap;

use derive_more::Display;
use trefoil_core::{Key, KeyRange};
use trefoil_directory::Incarnation;

use crate::demand::Demand;
use crate::table::Table;

/// Utilization of an upstream below which nothing is moved away from it: queues are short there.
const CALM: f64 = 0.6;

/// How far above the mean utilization an upstream is before keys are moved away from it.
const ABOVE: f64 = 1.25;

/// Standard deviations by which a count must exceed its expectation to be likely more than chance.
const LIKELY: f64 = 2.0;

/// How often chance may make a count look too high in one check, over all upstreams.
const CHANCE: f64 = 0.1;

/// Moves of one change that evens out load. A group of hot keys is spread over many upstreams at
/// once, because it lasts for seconds only.
const MOVES_MAX: usize = 128;

/// Owners from which a candidate that owns nothing is given keys.
const DONORS_MAX: usize = 8;

/// How far above the wanted rate a part may be that is moved.
const OVERSHOOT: f64 = 1.5;

/// How far below the wanted rate a part may be that is moved.
const UNDERSHOOT: f64 = 0.1;

/// Least part of an excess that is worth a move.
const LEAST_MOVE: f64 = 0.02;

/// An upstream that may own keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub incarnation: Incarnation,
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

/// Changes tables.
#[derive(Debug, Clone, Copy, Default)]
pub struct Planner;

impl Planner {
    /// The table with the changes that are needed whatever the load is, or nothing if there are
    /// none.
    pub fn plan_needed(
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
                let owner = e.owner.as_ref().map(|o| &o.incarnation);
                !candidates.iter().any(|c| owner == Some(&c.incarnation))
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
            .filter(|c| !owns(table, &c.incarnation))
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
    ///
    /// With `sure`, an upstream must be so far above the others that chance would hardly explain it
    /// for any of them.
    pub fn rebalance(
        self,
        table: &Table,
        candidates: &[Candidate],
        demand: &Demand,
        strict: bool,
    ) -> Option<Table> {
        let mut shares = shares(table, candidates, demand);
        let deviations = if strict {
            significant(shares.len())
        } else {
            LIKELY
        };
        let moves = relieve(&mut shares, demand, deviations);
        if moves.is_empty() {
            return None;
        }
        let mut changed = table.clone();
        for (range, incarnation) in moves {
            changed.assign(range, incarnation);
        }
        Some(changed)
    }
}

fn owns(table: &Table, incarnation: &Incarnation) -> bool {
    let entries = table.entries().iter();
    entries
        .filter_map(|e| e.owner.as_ref())
        .any(|o| o.incarnation == *incarnation)
}

/// An upstream with its load.
#[derive(Debug)]
struct Share<'a> {
    incarnation: &'a Incarnation,
    capacity: f64,
    rate: f64,
    /// Its ranges with their rates.
    ranges: Vec<(KeyRange, f64)>,
}

impl Share<'_> {
    fn utilization(&self) -> f64 {
        self.rate / self.capacity
    }

    /// Rate that is missing to the mean utilization `mean`.
    fn room(&self, mean: f64) -> f64 {
        mean * self.capacity - self.rate
    }
}

fn shares<'a>(table: &Table, candidates: &'a [Candidate], demand: &Demand) -> Vec<Share<'a>> {
    let share = |c: &'a Candidate| Share {
        incarnation: &c.incarnation,
        capacity: c.capacity,
        rate: 0.0,
        ranges: Vec::new(),
    };
    let mut shares: Vec<Share<'a>> = candidates.iter().map(share).collect();
    let index: HashMap<&Incarnation, usize> = candidates
        .iter()
        .enumerate()
        .map(|(i, c)| (&c.incarnation, i))
        .collect();
    for entry in table.entries() {
        let owner = entry.owner.as_ref().and_then(|o| index.get(&o.incarnation));
        if let Some(share) = owner.map(|i| &mut shares[*i]) {
            let rate = demand.rate(entry.range);
            share.rate += rate;
            share.ranges.push((entry.range, rate));
        }
    }
    shares
}

fn mean_utilization(shares: &[Share<'_>]) -> f64 {
    let capacity: f64 = shares.iter().map(|s| s.capacity).sum();
    shares.iter().map(|s| s.rate).sum::<f64>() / capacity
}

/// Index of the upstream with most room.
fn roomiest(shares: &[Share<'_>], mean: f64) -> Option<usize> {
    let indices = 0..shares.len();
    indices.max_by(|a, b| shares[*a].room(mean).total_cmp(&shares[*b].room(mean)))
}

/// Deals ranges out to the candidates that are furthest below their share.
fn deal(table: &mut Table, ranges: &[KeyRange], candidates: &[Candidate], demand: &Demand) {
    let mut shares = shares(table, candidates, demand);
    let capacity: f64 = shares.iter().map(|s| s.capacity).sum();
    let orphaned: f64 = ranges.iter().map(|r| demand.rate(*r)).sum();
    let mean = (shares.iter().map(|s| s.rate).sum::<f64>() + orphaned) / capacity;
    let mut rest: Vec<KeyRange> = ranges.to_vec();
    rest.reverse();
    while let Some(range) = rest.pop() {
        let Some(best) = roomiest(&shares, mean) else {
            return;
        };
        let room = shares[best].room(mean);
        // If everybody has its share, what is left goes to the last one with room.
        let piece = if room > 0.0 {
            demand.prefix(range, room)
        } else {
            range
        };
        table.assign(piece, shares[best].incarnation);
        shares[best].rate += demand.rate(piece);
        rest.extend(after(range, piece));
    }
}

/// What is left of a range behind a piece at its start.
fn after(range: KeyRange, piece: KeyRange) -> Option<KeyRange> {
    let next = piece.last().0.checked_add(1)?;
    KeyRange::new(Key(next), range.last()).ok()
}

/// What is left of a range before a piece at its end.
fn before(range: KeyRange, piece: KeyRange) -> Option<KeyRange> {
    let last = piece.first().0.checked_sub(1)?;
    KeyRange::new(range.first(), Key(last)).ok()
}

/// Gives a candidate that owns nothing its share, from the owners with the highest utilization.
fn welcome(table: &mut Table, joined: &Candidate, candidates: &[Candidate], demand: &Demand) {
    let mut shares = shares(table, candidates, demand);
    let mean = mean_utilization(&shares);
    let mut wanted = mean * joined.capacity;
    let mut moves = Vec::new();
    for _ in 0..DONORS_MAX {
        let donors = (0..shares.len()).filter(|i| shares[*i].incarnation != &joined.incarnation);
        let by_utilization = |a: &usize, b: &usize| {
            shares[*a]
                .utilization()
                .total_cmp(&shares[*b].utilization())
        };
        let Some(donor) = donors.max_by(by_utilization) else {
            break;
        };
        // Taking more would leave the donor below the mean.
        let spare = -shares[donor].room(mean);
        let Some((piece, rate)) = cut(&mut shares[donor], wanted.min(spare), demand) else {
            break;
        };
        moves.push(piece);
        wanted -= rate;
        if wanted <= 0.0 {
            break;
        }
    }
    if moves.is_empty() {
        // Nobody has anything to spare; a range of a few keys lets the candidate begin.
        moves.extend(smallest_share(&shares, joined));
    }
    for piece in moves {
        table.assign(piece, &joined.incarnation);
    }
}

/// Half of the widest range, for a candidate that would own nothing otherwise.
fn smallest_share(shares: &[Share<'_>], joined: &Candidate) -> Option<KeyRange> {
    let others = shares
        .iter()
        .filter(|s| s.incarnation != &joined.incarnation);
    let ranges = others.flat_map(|s| &s.ranges).map(|(range, _)| *range);
    let widest = ranges.max_by_key(|r| r.len()).filter(|r| r.len() > 1)?;
    let middle = widest.first().0 + (widest.last().0 - widest.first().0) / 2;
    KeyRange::new(Key(middle + 1), widest.last()).ok()
}

/// Takes a part of an upstream's keys with about this rate, or nothing if no part is near to it.
fn cut(share: &mut Share<'_>, rate: f64, demand: &Demand) -> Option<(KeyRange, f64)> {
    if rate <= 0.0 {
        return None;
    }
    let pieces = share
        .ranges
        .iter()
        .enumerate()
        .flat_map(|(index, (range, _))| {
            let prefix = demand.prefix(*range, rate);
            let suffix = demand.suffix(*range, rate);
            // A key that is hotter than what is wanted stays, and what is beside it moves.
            let shorter = [shortened_end(prefix), shortened_start(suffix)];
            [Some(prefix), Some(suffix)]
                .into_iter()
                .chain(shorter)
                .flatten()
                .map(move |piece| (index, piece, demand.rate(piece)))
        });
    let near = pieces.filter(|(_, _, found)| *found <= rate * OVERSHOOT);
    let distance = |found: f64| (found - rate).abs();
    let best = near.min_by(|a, b| distance(a.2).total_cmp(&distance(b.2)));
    let (index, piece, found) = best.filter(|(_, _, found)| *found >= rate * UNDERSHOOT)?;
    let (range, _) = share.ranges.swap_remove(index);
    let rest = [before(range, piece), after(range, piece)];
    let rest = rest.into_iter().flatten();
    share.ranges.extend(rest.map(|r| (r, demand.rate(r))));
    share.rate -= found;
    Some((piece, found))
}

fn shortened_end(range: KeyRange) -> Option<KeyRange> {
    let last = range.last().0.checked_sub(1)?;
    KeyRange::new(range.first(), Key(last)).ok()
}

fn shortened_start(range: KeyRange) -> Option<KeyRange> {
    let first = range.first().0.checked_add(1)?;
    KeyRange::new(Key(first), range.last()).ok()
}

/// Moves that bring the most loaded upstreams to the mean.
fn relieve<'a>(
    shares: &mut [Share<'a>],
    demand: &Demand,
    deviations: f64,
) -> Vec<(KeyRange, &'a Incarnation)> {
    let mean = mean_utilization(shares);
    let mut donors: Vec<usize> = (0..shares.len())
        .filter(|i| is_overloaded(&shares[*i], mean, deviations, demand))
        .collect();
    donors.sort_by(|a, b| {
        let excess = |i: &usize| shares[*i].room(mean);
        excess(a).total_cmp(&excess(b))
    });
    let mut moves = Vec::new();
    for donor in donors {
        while moves.len() < MOVES_MAX {
            let Some(receiver) = roomiest(shares, mean).filter(|r| *r != donor) else {
                break;
            };
            let excess = -shares[donor].room(mean);
            let wanted = excess.min(shares[receiver].room(mean));
            if wanted < excess * LEAST_MOVE {
                break;
            }
            let Some((piece, rate)) = cut(&mut shares[donor], wanted, demand) else {
                break;
            };
            shares[receiver].rate += rate;
            moves.push((piece, shares[receiver].incarnation));
        }
    }
    moves
}

/// Standard deviations by which a count must exceed its expectation. The highest of many counts is
/// further above by chance than one alone.
fn significant(count: usize) -> f64 {
    let count = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    (2.0 * (count.max(1.0) / CHANCE).ln()).sqrt()
}

/// Whether an upstream has more load than chance explains.
fn is_overloaded(share: &Share<'_>, mean: f64, deviations: f64, demand: &Demand) -> bool {
    let expected = mean * share.capacity;
    // Rates are counts over a window, so their deviation is that of a count.
    let chance = deviations * (expected * demand.rate_per_request()).sqrt();
    let utilization = share.utilization();
    utilization > CALM && utilization > ABOVE * mean && share.rate - expected > chance
}
