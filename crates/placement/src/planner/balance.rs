//! Moves that balance the load.
//!
//! Each step moves one unit from the member with the highest utilization to the member with the
//! lowest, chosen by [`MoveOrder`]. A member is skipped if no move of its units gains more than its
//! price. A unit moves at most once in a plan.

use super::MoveOrder;
use super::draft::{Draft, Rationale, UnitIndex};
use super::units::OwnedUnits;
use crate::objective;
use crate::reason::Reason;
use crate::table::{HOT_KEYS_MAX, Member};

/// Bounds on the moves for balance.
#[derive(Debug, Clone, Copy)]
pub(super) struct Budget {
    /// Largest churn.
    pub churn: f64,
    /// Largest share of the keys.
    pub keys: f64,
}

pub(super) fn balance(draft: &mut Draft<'_>, mut budget: Budget) {
    let dead_band = draft.objective.dead_band();
    // The band is infinite if the weight of imbalance is zero, and NaN if the others are zero too:
    // no move gains anything.
    if !dead_band.is_finite() {
        return;
    }
    let mut receivers = draft.eligible_ranks();
    let mut donors = receivers.clone();
    let mut units: Option<OwnedUnits> = None;
    let mut free_entries =
        HOT_KEYS_MAX.saturating_sub(draft.hot.iter().filter(|h| h.replicas.is_some()).count());
    while let (Some(&(_, from)), Some(&(_, to))) = (donors.last(), receivers.first()) {
        if draft.utilization(from).ratio() - draft.utilization(to).ratio() <= dead_band {
            return;
        }
        let units = units.get_or_insert_with(|| OwnedUnits::new(draft));
        let candidates = units.candidates(draft, from);
        if candidates.is_empty() {
            donors.pop_last();
            continue;
        }
        let Some((unit, rationale)) =
            best_move(draft, candidates, (from, to), budget, free_entries)
        else {
            units.skip_candidates(from);
            continue;
        };
        for member in [from, to] {
            receivers.remove(&(draft.rank(member), member));
        }
        let is_donor = donors.remove(&(draft.rank(to), to));
        donors.pop_last();
        free_entries -= usize::from(!draft.has_own_replicas(unit));
        let (churn, keys) = (draft.churn, draft.keys);
        draft.move_unit(unit, to, rationale);
        budget.churn -= draft.churn - churn;
        budget.keys -= draft.keys - keys;
        for member in [from, to] {
            receivers.insert((draft.rank(member), member));
        }
        donors.insert((draft.rank(from), from));
        if is_donor {
            donors.insert((draft.rank(to), to));
        }
    }
}

/// Returns the best unit to move that fits the budget and gains more than its price.
fn best_move(
    draft: &Draft<'_>,
    units: &[UnitIndex],
    (from, to): (Member, Member),
    budget: Budget,
    free_entries: usize,
) -> Option<(UnitIndex, Rationale)> {
    let (donor, receiver) = (draft.utilization(from), draft.utilization(to));
    let mut best_move: Option<(f64, UnitIndex, Rationale)> = None;
    for &unit in units {
        let load = draft.unit_load(unit);
        let keys = draft.unit_keys(unit);
        let churn = objective::churn(keys, load);
        let fits = churn <= budget.churn
            && keys <= budget.keys
            && (free_entries > 0 || draft.has_own_replicas(unit));
        let moved = draft.owner_moves.contains_key(&unit) || draft.replicas(unit).owner != from;
        if !fits || moved {
            continue;
        }
        let gain = draft.objective.gain(load, donor, receiver);
        let price = draft.price(unit);
        let score = match draft.move_order {
            MoveOrder::Net => gain - price,
            MoveOrder::PerChurn => (gain - price) / churn,
        };
        if gain > price && best_move.is_none_or(|(highest, ..)| score > highest) {
            let reason = Reason::Balance;
            best_move = Some((
                score,
                unit,
                Rationale {
                    reason,
                    gain,
                    price,
                },
            ));
        }
    }
    best_move.map(|(_, unit, rationale)| (unit, rationale))
}
