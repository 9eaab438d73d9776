//! From a finished draft to changes.
//!
//! The order of the changes keeps keys from passing through a third member: a hot key leaves its
//! shard before the shard moves, and returns to it after.

use std::collections::BTreeSet;

use super::Plan;
use super::draft::{Draft, Index, Noted};
use crate::reason::{PlannedMove, Reason, Unit};
use crate::table::{Change, HotMove, MOVES_PER_CHANGE, Move, ReplicaSet};

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
        let (unit, from) = (draft.unit(index), draft.old_replicas(index));
        let to = final_replicas(draft, index);
        let kept = draft.has_own_replicas(index);
        if kept && to != draft.promoted(from) {
            match unit {
                Unit::Shard(shard) => shards.push(Move {
                    shard,
                    replicas: to,
                }),
                Unit::Key(key) => hot.push(HotMove { key, replicas: to }),
            }
        }
        let noted = draft.notes.get(&index).or(draft.standbys.get(&index));
        if let Some(&noted) = noted {
            moves.push(planned_move(unit, from, to, noted));
        }
    }
    let unused = Noted {
        reason: Reason::EntryUnused,
        gain: 0.0,
        price: 0.0,
    };
    let dropped = (0..draft.count()).map(Index).skip(draft.replica_sets.len());
    let dropped = dropped.filter(|&i| !draft.has_own_replicas(i) && !touched.contains(&i));
    for index in dropped {
        let unit = draft.unit(index);
        if matches!(unit, Unit::Key(key) if draft.dropped.contains(&key)) {
            let to = final_replicas(draft, index);
            moves.push(planned_move(unit, draft.old_replicas(index), to, unused));
        }
    }
    let mut changes = Vec::new();
    if !draft.newly.is_empty() {
        let members = draft.newly.clone();
        changes.push(Change::Lost { members });
    }
    changes.extend(hot.chunks(MOVES_PER_CHANGE).map(|moves| Change::HotMoves {
        moves: moves.to_vec(),
    }));
    changes.extend(shards.chunks(MOVES_PER_CHANGE).map(|moves| Change::Moves {
        moves: moves.to_vec(),
    }));
    let keys: Vec<_> = draft.dropped.iter().copied().collect();
    let keys: Vec<_> = keys
        .into_iter()
        .filter(|&k| draft.input.table.hot_replicas(k).is_some())
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
fn final_replicas(draft: &Draft<'_>, index: Index) -> ReplicaSet {
    match draft.unit(index) {
        Unit::Key(key) if draft.dropped.contains(&key) => {
            draft.replica_sets[draft.input.table.shard(key).0 as usize]
        }
        _ => draft.replicas(index),
    }
}

fn planned_move(unit: Unit, from: ReplicaSet, to: ReplicaSet, noted: Noted) -> PlannedMove {
    let Noted {
        reason,
        gain,
        price,
    } = noted;
    PlannedMove {
        unit,
        from,
        to,
        reason,
        gain,
        price,
    }
}
