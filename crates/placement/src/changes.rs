//! Functions that compute the changes to create a table, add members and repair a table without a
//! planner.

use trefoil_core::{Shard, UpstreamName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::table::{Change, MEMBERS_PER_CHANGE, Member, Move, Replacement, ReplicaSet, Table};

/// Returns the score of a member for a shard in rendezvous hashing.
fn score(name: &UpstreamName, shard: u32) -> u64 {
    xxh3_64_with_seed(name.as_str().as_bytes(), u64::from(shard))
}

/// Returns the change that creates a table by rendezvous hashing: owner and standby of a shard are
/// the members with the two highest scores.
pub fn create_by_rendezvous(members: Vec<UpstreamName>, shards: u32) -> Change {
    let replicas = |shard: u32| {
        let mut ranked = (0u16..)
            .zip(&members)
            .map(|(i, m)| (score(m, shard), Member(i)));
        let first = ranked.next().unwrap_or((0, Member(0)));
        let (best, next) = ranked.fold((first, first), |(best, next), it| match it {
            _ if it.0 > best.0 => (it, best),
            _ if it.0 > next.0 || next.1 == best.1 => (best, it),
            _ => (best, next),
        });
        ReplicaSet {
            owner: best.1,
            standby: next.1,
        }
    };
    let replica_sets = (0..shards).map(replicas).collect();
    Change::Reset {
        members,
        replica_sets,
    }
}

/// Returns the moves after which every shard has a live owner and a live standby, and members that
/// joined own the shards for which they have the highest score. Other shards stay.
pub fn repair_by_rendezvous(table: &Table) -> Vec<Move> {
    let live: Vec<_> = table.live_members().collect();
    let best = |shard: u32, excluded: Option<Member>| {
        let others = live.iter().filter(|(m, _)| Some(*m) != excluded);
        others
            .max_by_key(|(m, name)| (score(name, shard), *m))
            .map(|(m, _)| *m)
    };
    let mut moves = Vec::new();
    for (shard, replicas) in (0u32..).zip(table.replica_sets()) {
        let Some(top) = best(shard, None) else {
            continue;
        };
        // A member with a higher index than the owner joined after the shard was assigned.
        let is_kept = !table.is_lost(replicas.owner) && top <= replicas.owner;
        let owner = if is_kept { replicas.owner } else { top };
        let is_kept = !table.is_lost(replicas.standby) && replicas.standby != owner;
        let standby = if is_kept {
            replicas.standby
        } else {
            best(shard, Some(owner)).unwrap_or(owner)
        };
        let next = ReplicaSet { owner, standby };
        if next != *replicas {
            moves.push(Move {
                shard: Shard(shard),
                replicas: next,
            });
        }
    }
    moves
}

/// Returns changes that create a table with members and vacant shards. Each change fits a log
/// record, also at full size. A [`crate::Planner`] then assigns the shards to members.
pub fn create_vacant(members: Vec<UpstreamName>, shards: u32) -> Vec<Change> {
    let mut changes = vec![Change::Vacant { shards }];
    changes.extend(add_members(&Table::default(), members));
    changes
}

/// Returns changes that add members, first at the free indices of lost members, then at new ones.
pub fn add_members(table: &Table, mut members: Vec<UpstreamName>) -> Vec<Change> {
    let free = table.free_indices();
    let appended = members.split_off(members.len().min(free.len()));
    let replacements = free.into_iter().zip(members);
    let replacements = replacements.map(|(member, name)| Replacement { member, name });
    let replacements: Vec<Replacement> = replacements.collect();
    let mut changes = Vec::new();
    changes.extend(
        replacements
            .chunks(MEMBERS_PER_CHANGE)
            .map(|members| Change::Replace {
                members: members.to_vec(),
            }),
    );
    changes.extend(
        appended
            .chunks(MEMBERS_PER_CHANGE)
            .map(|members| Change::Join {
                members: members.to_vec(),
            }),
    );
    changes
}
