//! Derivation of moves and their reasons from the tables before and after a placement record.
//!
//! A record contains changes but no reasons. The reasons are derived from replayed state alone, so
//! that all hosts derive the same ones.

use trefoil_core::Shard;
use trefoil_placement::{
    Member, MemberInfo, MemberState, PlannedMove, Reason, ReplicaSet, Table, Unit,
};

/// Returns the moves of all shards that had an owner. Gains and costs are zero, because they depend
/// on the load, which is not in the log.
pub(super) fn moves(old: &Table, new: &Table, members: &[MemberInfo]) -> Vec<PlannedMove> {
    let replica_sets = old.replica_sets().iter().zip(new.replica_sets());
    let changed = (0..)
        .map(Shard)
        .zip(replica_sets)
        .filter_map(|(shard, (from, to))| {
            let reason = reason(new, members, *from, *to)?;
            Some(PlannedMove {
                unit: Unit::Shard(shard),
                from: *from,
                to: *to,
                reason,
                gain: 0.0,
                price: 0.0,
            })
        });
    changed.collect()
}

fn reason(
    table: &Table,
    members: &[MemberInfo],
    from: ReplicaSet,
    to: ReplicaSet,
) -> Option<Reason> {
    let member_info = |m: Member| members.get(m.index());
    let leaves = |m: Member| member_info(m).is_some_and(|p| p.state == MemberState::Leaving);
    let domain = |m: Member| member_info(m).map(|p| p.domain);
    let reason = match () {
        () if from == to || from.owner == Member::NONE => return None,
        () if from.owner != to.owner => match from.owner {
            old if table.is_lost(old) && to.owner == from.standby => Reason::Promoted,
            old if table.is_lost(old) => Reason::Orphaned,
            old if leaves(old) => Reason::Leaving,
            _ => Reason::Balance,
        },
        () if from.standby == from.owner || table.is_lost(from.standby) => Reason::StandbyMissing,
        () if leaves(from.standby) => Reason::StandbyLeaving,
        () if domain(from.standby) == domain(from.owner) => Reason::StandbyDomain,
        () => Reason::StandbyGroup,
    };
    Some(reason)
}
