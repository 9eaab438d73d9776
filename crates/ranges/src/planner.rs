//! Plans changes of a table when upstreams join, leave or are overloaded.
//!
//! There are two kinds of change:
//!
//! - Required, independent of load: a range without an owner, or whose owner is not a candidate any
//!   more, is distributed over the upstreams that are furthest below their share. A candidate that
//!   owns nothing gets its share at once.
//! - Rebalancing: an upstream whose load exceeds the mean by more than random variation explains
//!   gives some of its keys to the upstream with the most headroom. The variation matters because
//!   rates are counts over a few seconds: a count of 20 requests varies by 4 or 5 from one window
//!   to the next.
//!
//! Keys are moved from the ends of a range, so the number of ranges stays low. A single key with
//! more requests than an upstream can serve stays where it is, and its neighbours move away.

use std::collections::{HashMap, HashSet};

use derive_more::Display;
use trefoil_core::{Key, KeyRange};
use trefoil_directory::Incarnation;

use crate::demand::Demand;
use crate::table::{Entry, Table};

/// Utilization of an upstream below which no key is moved away from it, because its queues are
/// short.
const UTILIZATION_MIN: f64 = 0.6;

/// Ratio of an upstream's utilization to the mean from which keys are moved away.
const IMBALANCE_MIN: f64 = 1.25;

/// Standard deviations by which one count must exceed its expectation to be significant.
const DEVIATIONS_MIN: f64 = 2.0;

/// Expected number of false positives in one check, over all upstreams.
const FALSE_POSITIVES: f64 = 0.1;

/// Limit on the moves of one rebalancing. A group of hot keys is spread over many upstreams in one
/// change, because it lasts for seconds only.
const MOVES_MAX: usize = 128;

/// Limit on the owners that give keys to one candidate without any.
const DONORS_MAX: usize = 8;

/// Upper bound on the rate of a moved piece, as a multiple of the wanted rate.
const OVERSHOOT: f64 = 1.5;

/// Lower bound on the rate of a moved piece, as a multiple of the wanted rate.
const UNDERSHOOT: f64 = 0.1;

/// Smallest move, as a share of the donor's excess.
const MOVE_MIN: f64 = 0.02;

/// An upstream that may own keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The incarnation that would own the keys.
    pub incarnation: Incarnation,
    /// Requests per second that the upstream can serve.
    pub capacity: f64,
    /// Set if the upstream may get further keys. One that may not keeps those that it owns as long
    /// as it can serve them.
    pub accepts: bool,
}

/// Reason for a change of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// A range had no owner, or one that may not own it any more.
    #[display("needed")]
    Needed,
    /// An upstream owned nothing.
    #[display("joined")]
    Joined,
    /// An upstream had a higher load than the others.
    #[display("uneven")]
    Uneven,
    /// Former owners hold nothing any more.
    #[display("cleared")]
    Cleared,
    /// All grants that the table did not list have expired.
    #[display("settled")]
    Settled,
}

/// Plans changes of a table.
#[derive(Debug, Clone, Copy, Default)]
pub struct Planner;

impl Planner {
    /// Plans the changes that are required independent of load, or returns nothing if there are
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
        let able: HashSet<&Incarnation> = candidates.iter().map(|c| &c.incarnation).collect();
        let entries = table.entries().iter();
        let orphans = entries.filter(|e| owner(e).is_none_or(|owner| !able.contains(owner)));
        let orphans: Vec<KeyRange> = orphans.map(|e| e.range).collect();
        if !orphans.is_empty() {
            let mut changed = table.clone();
            distribute(&mut changed, &orphans, candidates, demand);
            return Some((changed, Reason::Needed));
        }
        let owners: HashSet<&Incarnation> = table.entries().iter().filter_map(owner).collect();
        let joined = candidates.iter();
        let joined = joined.filter(|c| c.accepts && !owners.contains(&c.incarnation));
        let joined: Vec<&Candidate> = joined.collect();
        if joined.is_empty() {
            return None;
        }
        let mut changed = table.clone();
        for candidate in joined {
            give_first_share(&mut changed, candidate, candidates, demand);
        }
        (changed != *table).then_some((changed, Reason::Joined))
    }

    /// Moves load from overloaded upstreams to the others, or returns nothing if no move is
    /// worthwhile.
    ///
    /// `strict` raises the significance threshold with the number of upstreams, so that random
    /// variation rarely exceeds it at any of them.
    pub fn rebalance(
        self,
        table: &Table,
        candidates: &[Candidate],
        demand: &Demand,
        strict: bool,
    ) -> Option<Table> {
        let mut loads = loads(table, candidates, demand);
        let deviations = if strict {
            deviation_threshold(loads.len())
        } else {
            DEVIATIONS_MIN
        };
        let moves = plan_relief(&mut loads, demand, deviations);
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

/// The upstream that is to own an entry.
fn owner(entry: &Entry) -> Option<&Incarnation> {
    entry.owner.as_ref().map(|owner| &owner.incarnation)
}

/// Load of one upstream.
#[derive(Debug)]
struct UpstreamLoad<'a> {
    incarnation: &'a Incarnation,
    capacity: f64,
    accepts: bool,
    rate: f64,
    /// Owned ranges with their rates.
    ranges: Vec<(KeyRange, f64)>,
}

impl UpstreamLoad<'_> {
    fn utilization(&self) -> f64 {
        ratio(self.rate, self.capacity)
    }

    /// Rate that the upstream is below its share; negative if it is above. The share is that of the
    /// mean utilization, or what an upstream that gets no further keys can serve.
    fn headroom(&self, mean: f64) -> f64 {
        let share = if self.accepts { mean } else { 1.0 };
        share * self.capacity - self.rate
    }
}

fn loads<'a>(table: &Table, candidates: &'a [Candidate], demand: &Demand) -> Vec<UpstreamLoad<'a>> {
    let load = |c: &'a Candidate| UpstreamLoad {
        incarnation: &c.incarnation,
        capacity: c.capacity,
        accepts: c.accepts,
        rate: 0.0,
        ranges: Vec::new(),
    };
    let mut loads: Vec<UpstreamLoad<'a>> = candidates.iter().map(load).collect();
    let index: HashMap<&Incarnation, usize> = candidates
        .iter()
        .enumerate()
        .map(|(i, c)| (&c.incarnation, i))
        .collect();
    for entry in table.entries() {
        let owner = entry.owner.as_ref().and_then(|o| index.get(&o.incarnation));
        if let Some(load) = owner.map(|i| &mut loads[*i]) {
            let rate = demand.rate(entry.range);
            load.rate += rate;
            load.ranges.push((entry.range, rate));
        }
    }
    loads
}

/// Utilization of a capacity by a rate.
fn ratio(rate: f64, capacity: f64) -> f64 {
    match () {
        () if capacity > 0.0 => rate / capacity,
        () if rate > 0.0 => f64::INFINITY,
        () => 0.0,
    }
}

/// Rate that the upstreams that get no further keys cannot serve.
fn excess(loads: &[UpstreamLoad<'_>]) -> f64 {
    let others = loads.iter().filter(|s| !s.accepts);
    others.map(|s| (s.rate - s.capacity).max(0.0)).sum()
}

/// Utilization of the upstreams that may get keys if they also serve `added`. The capacity of the
/// others must not count, because the share that it takes from the mean cannot be given to them.
fn mean_utilization(loads: &[UpstreamLoad<'_>], added: f64) -> f64 {
    let accepting = loads.iter().filter(|s| s.accepts);
    let capacity: f64 = accepting.clone().map(|s| s.capacity).sum();
    if capacity <= 0.0 {
        return 0.0;
    }
    (accepting.map(|s| s.rate).sum::<f64>() + added) / capacity
}

/// Index of the upstream with the most headroom among those that may get keys.
fn most_headroom(loads: &[UpstreamLoad<'_>], mean: f64) -> Option<usize> {
    let indices = (0..loads.len()).filter(|i| loads[*i].accepts);
    indices.max_by(|a, b| {
        loads[*a]
            .headroom(mean)
            .total_cmp(&loads[*b].headroom(mean))
    })
}

/// Distributes ranges over the candidates that are furthest below their share.
fn distribute(table: &mut Table, ranges: &[KeyRange], candidates: &[Candidate], demand: &Demand) {
    let mut loads = loads(table, candidates, demand);
    let orphaned: f64 = ranges.iter().map(|r| demand.rate(*r)).sum();
    let mean = mean_utilization(&loads, orphaned);
    let mut rest: Vec<KeyRange> = ranges.to_vec();
    rest.reverse();
    while let Some(range) = rest.pop() {
        let Some(best) = most_headroom(&loads, mean) else {
            return;
        };
        let headroom = loads[best].headroom(mean);
        // Once every upstream has its share, the whole rest of the range goes to this one.
        let piece = if headroom > 0.0 {
            demand.prefix(range, headroom)
        } else {
            range
        };
        table.assign(piece, loads[best].incarnation);
        loads[best].rate += demand.rate(piece);
        rest.extend(rest_after(range, piece));
    }
}

/// The part of `range` behind `piece`, which is its start.
fn rest_after(range: KeyRange, piece: KeyRange) -> Option<KeyRange> {
    let next = piece.last().0.checked_add(1)?;
    KeyRange::new(Key(next), range.last()).ok()
}

/// The part of `range` before `piece`, which is its end.
fn rest_before(range: KeyRange, piece: KeyRange) -> Option<KeyRange> {
    let last = piece.first().0.checked_sub(1)?;
    KeyRange::new(range.first(), Key(last)).ok()
}

/// Gives a candidate that owns nothing its share, taken from the owners with the highest
/// utilization.
fn give_first_share(
    table: &mut Table,
    joined: &Candidate,
    candidates: &[Candidate],
    demand: &Demand,
) {
    let mut loads = loads(table, candidates, demand);
    let mean = mean_utilization(&loads, excess(&loads));
    let mut wanted = mean * joined.capacity;
    let mut moves = Vec::new();
    for _ in 0..DONORS_MAX {
        let gives = |load: &UpstreamLoad<'_>| load.accepts || load.rate > load.capacity;
        let donors = (0..loads.len())
            .filter(|i| loads[*i].incarnation != &joined.incarnation && gives(&loads[*i]));
        let by_utilization =
            |a: &usize, b: &usize| loads[*a].utilization().total_cmp(&loads[*b].utilization());
        let Some(donor) = donors.max_by(by_utilization) else {
            break;
        };
        // A larger piece would leave the donor below the mean.
        let spare = -loads[donor].headroom(mean);
        let Some((piece, rate)) = take_piece(&mut loads[donor], wanted.min(spare), demand) else {
            break;
        };
        moves.push(piece);
        wanted -= rate;
        if wanted <= 0.0 {
            break;
        }
    }
    if moves.is_empty() {
        // No owner is above the mean. A range without much load still lets the candidate start
        // serving.
        moves.extend(half_of_widest(&loads, joined));
    }
    for piece in moves {
        table.assign(piece, &joined.incarnation);
    }
}

/// The upper half of the widest range of the other upstreams.
fn half_of_widest(loads: &[UpstreamLoad<'_>], joined: &Candidate) -> Option<KeyRange> {
    let others = loads
        .iter()
        .filter(|s| s.accepts && s.incarnation != &joined.incarnation);
    let ranges = others.flat_map(|s| &s.ranges).map(|(range, _)| *range);
    let widest = ranges.max_by_key(|r| r.len()).filter(|r| r.len() > 1)?;
    let middle = widest.first().0 + (widest.last().0 - widest.first().0) / 2;
    KeyRange::new(Key(middle + 1), widest.last()).ok()
}

/// Takes keys with about the rate `rate` from an upstream, or nothing if no piece comes close to
/// it.
fn take_piece(load: &mut UpstreamLoad<'_>, rate: f64, demand: &Demand) -> Option<(KeyRange, f64)> {
    if rate <= 0.0 {
        return None;
    }
    let pieces = load
        .ranges
        .iter()
        .enumerate()
        .flat_map(|(index, (range, _))| {
            let prefix = demand.prefix(*range, rate);
            let suffix = demand.suffix(*range, rate);
            // A key that alone exceeds the wanted rate stays, and the keys next to it move.
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
    let (range, _) = load.ranges.swap_remove(index);
    let rest = [rest_before(range, piece), rest_after(range, piece)];
    let rest = rest.into_iter().flatten();
    load.ranges.extend(rest.map(|r| (r, demand.rate(r))));
    load.rate -= found;
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

/// Plans the moves that bring overloaded upstreams down to the mean.
fn plan_relief<'a>(
    loads: &mut [UpstreamLoad<'a>],
    demand: &Demand,
    deviations: f64,
) -> Vec<(KeyRange, &'a Incarnation)> {
    let mean = mean_utilization(loads, excess(loads));
    let mut donors: Vec<usize> = (0..loads.len())
        .filter(|i| is_overloaded(&loads[*i], mean, deviations, demand))
        .collect();
    donors.sort_by(|a, b| {
        let excess = |i: &usize| loads[*i].headroom(mean);
        excess(a).total_cmp(&excess(b))
    });
    let mut moves = Vec::new();
    for donor in donors {
        while moves.len() < MOVES_MAX {
            let Some(receiver) = most_headroom(loads, mean).filter(|r| *r != donor) else {
                break;
            };
            let excess = -loads[donor].headroom(mean);
            let wanted = excess.min(loads[receiver].headroom(mean));
            if wanted < excess * MOVE_MIN {
                break;
            }
            let Some((piece, rate)) = take_piece(&mut loads[donor], wanted, demand) else {
                break;
            };
            loads[receiver].rate += rate;
            moves.push((piece, loads[receiver].incarnation));
        }
    }
    moves
}

/// Standard deviations by which the highest of `count` counts must exceed its expectation. The
/// maximum of many counts varies more than a single one.
fn deviation_threshold(count: usize) -> f64 {
    let count = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    (2.0 * (count.max(1.0) / FALSE_POSITIVES).ln()).sqrt()
}

/// Returns whether an upstream's load exceeds the mean by more than random variation explains.
fn is_overloaded(load: &UpstreamLoad<'_>, mean: f64, deviations: f64, demand: &Demand) -> bool {
    let expected = mean * load.capacity;
    // Requests per window are assumed to be Poisson distributed, so the variance equals the mean.
    let chance = deviations * (expected * demand.rate_per_request()).sqrt();
    let utilization = load.utilization();
    if !load.accepts && load.rate <= load.capacity {
        return false;
    }
    utilization > UTILIZATION_MIN
        && utilization > IMBALANCE_MIN * mean
        && load.rate - expected > chance
}
