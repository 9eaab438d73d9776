//! Moves that balance the load.
//!
//! The member with the highest utilization gives to the one with the lowest, and of its units the
//! one that gains most (see [`MoveOrder`]). A member none of whose units gains anything is left alone. A
//! unit moves once in a plan at most.

use super::MoveOrder;
use super::draft::{Draft, Index, Noted};
use super::units::Units;
use crate::objective;
use crate::reason::Reason;
use crate::table::{HOT_KEYS_MAX, Member};

/// What balance may spend.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limit {
    /// Churn.
    pub churn: f64,
    /// Share of the keys.
    pub keys: f64,
}

pub(super) fn balance(draft: &mut Draft<'_>, mut limit: Limit) {
    let band = draft.objective.dead_band();
    // NaN if both weights are zero: nothing gains and nothing costs.
    if !band.is_finite() {
        return;
    }
    let mut receivers = draft.ranks();
    let mut donors = receivers.clone();
    let mut units: Option<Units> = None;
    let mut room =
        HOT_KEYS_MAX.saturating_sub(draft.hot.iter().filter(|h| h.replicas.is_some()).count());
    while let (Some(&(_, from)), Some(&(_, to))) = (donors.last(), receivers.first()) {
        if draft.utilization(from).ratio() - draft.utilization(to).ratio() <= band {
            return;
        }
        let units = units.get_or_insert_with(|| Units::new(draft));
        let group = units.group(draft, from);
        if group.is_empty() {
            donors.pop_last();
            continue;
        }
        let Some((unit, noted)) = best(draft, group, (from, to), limit, room) else {
            units.skip(from);
            continue;
        };
        for member in [from, to] {
            receivers.remove(&(draft.rank(member), member));
        }
        let is_donor = donors.remove(&(draft.rank(to), to));
        donors.pop_last();
        room -= usize::from(!draft.has_own_replicas(unit));
        let (churn, keys) = (draft.churn, draft.keys);
        draft.give(unit, to, noted);
        limit.churn -= draft.churn - churn;
        limit.keys -= draft.keys - keys;
        for member in [from, to] {
            receivers.insert((draft.rank(member), member));
        }
        donors.insert((draft.rank(from), from));
        if is_donor {
            donors.insert((draft.rank(to), to));
        }
    }
}

/// The unit that is worth most.
fn best(
    draft: &Draft<'_>,
    units: &[Index],
    (from, to): (Member, Member),
    limit: Limit,
    room: usize,
) -> Option<(Index, Noted)> {
    let (donor, receiver) = (draft.utilization(from), draft.utilization(to));
    let mut best: Option<(f64, Index, Noted)> = None;
    for &unit in units {
        let load = draft.unit_load(unit);
        let keys = draft.unit_keys(unit);
        let churn = objective::churn(keys, load);
        let fits = churn <= limit.churn
            && keys <= limit.keys
            && (room > 0 || draft.has_own_replicas(unit));
        let moved = draft.notes.contains_key(&unit) || draft.replicas(unit).owner != from;
        if !fits || moved {
            continue;
        }
        let gain = draft.objective.gain(load, donor, receiver);
        let price = draft.price(unit);
        let worth = match draft.move_order {
            MoveOrder::Net => gain - price,
            MoveOrder::PerChurn => (gain - price) / churn,
        };
        if gain > price && best.is_none_or(|(most, ..)| worth > most) {
            let reason = Reason::Balance;
            best = Some((
                worth,
                unit,
                Noted {
                    reason,
                    gain,
                    price,
                },
            ));
        }
    }
    best.map(|(_, unit, noted)| (unit, noted))
}
