//! From a finished draft to changes.
//!
//! The order of the changes keeps keys from passing through a third member: a hot key leaves its
//! shard before the shard moves, and returns to it after.

use std::collections::BTreeSet;

use super::Plan;
use super::draft::{Draft, Index, Noted};
use crate::reason::{Reason, Reasoned, Unit};
use crate::table::{BATCH, Change, HotMove, Move, Seat};

pub(super) fn emit(draft: &Draft<'_>) -> Plan {
    let mut shards = Vec::new();
    let mut hot = Vec::new();
    let mut moves = Vec::new();
    let touched: BTreeSet<Index> = draft
        .notes
        .keys()
        .chain(draft.standbys.keys())
        .copied()
        .collect();
    for &index in &touched {
        let (unit, from) = (draft.unit(index), draft.old_seat(index));
        let to = final_seat(draft, index);
        let kept = draft.is_seated(index);
        if kept && to != draft.promoted(from) {
            match unit {
                Unit::Shard(shard) => shards.push(Move { shard, seat: to }),
                Unit::Key(key) => hot.push(HotMove { key, seat: to }),
            }
        }
        let noted = draft.notes.get(&index).or(draft.standbys.get(&index));
        if let Some(&noted) = noted {
            moves.push(reasoned(unit, from, to, noted));
        }
    }
    let unused = Noted {
        reason: Reason::EntryUnused,
        gain: 0.0,
        price: 0.0,
    };
    let dropped = (0..draft.count()).map(Index).skip(draft.seats.len());
    let dropped = dropped.filter(|&i| !draft.is_seated(i) && !touched.contains(&i));
    for index in dropped {
        let unit = draft.unit(index);
        if matches!(unit, Unit::Key(key) if draft.dropped.contains(&key)) {
            let to = final_seat(draft, index);
            moves.push(reasoned(unit, draft.old_seat(index), to, unused));
        }
    }
    let mut changes = Vec::new();
    if !draft.newly.is_empty() {
        let members = draft.newly.clone();
        changes.push(Change::Lost { members });
    }
    changes.extend(hot.chunks(BATCH).map(|moves| Change::HotMoves {
        moves: moves.to_vec(),
    }));
    changes.extend(shards.chunks(BATCH).map(|moves| Change::Moves {
        moves: moves.to_vec(),
    }));
    let keys: Vec<_> = draft.dropped.iter().copied().collect();
    let keys: Vec<_> = keys
        .into_iter()
        .filter(|&k| draft.input.table.hot_seat(k).is_some())
        .collect();
    if !keys.is_empty() {
        changes.push(Change::HotDrops { keys });
    }
    Plan {
        changes,
        moves,
        ..Plan::default()
    }
}

/// The seat that a unit has after the plan; of a dropped entry that of its shard.
fn final_seat(draft: &Draft<'_>, index: Index) -> Seat {
    match draft.unit(index) {
        Unit::Key(key) if draft.dropped.contains(&key) => {
            draft.seats[draft.input.table.shard(key).0 as usize]
        }
        _ => draft.seat(index),
    }
}

fn reasoned(unit: Unit, from: Seat, to: Seat, noted: Noted) -> Reasoned {
    let Noted {
        reason,
        gain,
        price,
    } = noted;
    Reasoned {
        unit,
        from,
        to,
        reason,
        gain,
        price,
    }
}
