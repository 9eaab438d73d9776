//! Conversion of a finished draft to a plan.
//!
//! The changes are ordered so that no key is owned by a third member in between: a hot key leaves
//! its shard before the shard moves, and returns to it afterwards.

use std::collections::BTreeSet;

use super::Plan;
use super::draft::{Draft, Rationale, UnitIndex};
use crate::reason::{PlannedMove, Reason, Unit};
use crate::table::{Change, HotMove, MOVES_PER_CHANGE, Move, ReplicaSet};

pub(super) fn emit(draft: &Draft<'_>) -> Plan {
    let mut shard_moves = Vec::new();
    let mut hot_moves = Vec::new();
    let mut moves = Vec::new();
    let changed_units: BTreeSet<UnitIndex> = draft
        .owner_moves
        .keys()
        .chain(draft.standby_moves.keys())
        .copied()
        .collect();
    for &index in &changed_units {
        let (unit, from) = (draft.unit(index), draft.old_replicas(index));
        let to = final_replicas(draft, index);
        let is_listed = draft.has_own_replicas(index);
        if is_listed && to != draft.promoted(from) {
            match unit {
                Unit::Shard(shard) => shard_moves.push(Move {
                    shard,
                    replicas: to,
                }),
                Unit::Key(key) => hot_moves.push(HotMove { key, replicas: to }),
            }
        }
        let rationale = draft
            .owner_moves
            .get(&index)
            .or(draft.standby_moves.get(&index));
        if let Some(&rationale) = rationale {
            moves.push(planned_move(unit, from, to, rationale));
        }
    }
    let unused_entry = Rationale {
        reason: Reason::EntryUnused,
        gain: 0.0,
        price: 0.0,
    };
    let dropped = (0..draft.count())
        .map(UnitIndex)
        .skip(draft.replica_sets.len());
    let dropped = dropped.filter(|&i| !draft.has_own_replicas(i) && !changed_units.contains(&i));
    for index in dropped {
        let unit = draft.unit(index);
        if matches!(unit, Unit::Key(key) if draft.dropped.contains(&key)) {
            let to = final_replicas(draft, index);
            moves.push(planned_move(
                unit,
                draft.old_replicas(index),
                to,
                unused_entry,
            ));
        }
    }
    let mut changes = Vec::new();
    if !draft.newly_lost.is_empty() {
        let members = draft.newly_lost.clone();
        changes.push(Change::Lost { members });
    }
    changes.extend(
        hot_moves
            .chunks(MOVES_PER_CHANGE)
            .map(|moves| Change::HotMoves {
                moves: moves.to_vec(),
            }),
    );
    changes.extend(
        shard_moves
            .chunks(MOVES_PER_CHANGE)
            .map(|moves| Change::Moves {
                moves: moves.to_vec(),
            }),
    );
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

/// Returns the replica set of a unit after the plan. A key whose entry is dropped has that of its
/// shard.
fn final_replicas(draft: &Draft<'_>, index: UnitIndex) -> ReplicaSet {
    match draft.unit(index) {
        Unit::Key(key) if draft.dropped.contains(&key) => {
            draft.replica_sets[draft.input.table.shard(key).0 as usize]
        }
        _ => draft.replicas(index),
    }
}

fn planned_move(unit: Unit, from: ReplicaSet, to: ReplicaSet, rationale: Rationale) -> PlannedMove {
    let Rationale {
        reason,
        gain,
        price,
    } = rationale;
    PlannedMove {
        unit,
        from,
        to,
        reason,
        gain,
        price,
    }
}
