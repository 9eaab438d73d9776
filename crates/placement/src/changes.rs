//! Changes that create tables and add members.

use trefoil_core::{Shard, UpstreamName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::table::{Change, MEMBERS_PER_CHANGE, Member, Move, Replacement, ReplicaSet, Table};

/// Score of a member for a shard in rendezvous hashing.
fn score(name: &UpstreamName, shard: u32) -> u64 {
    xxh3_64_with_seed(name.as_str().as_bytes(), u64::from(shard))
}

/// The first table of a service: each shard goes to the members with the two highest rendezvous
/// scores.
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

/// Moves that give every shard an owner and a standby that are not lost, and give members that
/// own too little their share. Shards whose seats are fine stay where they are.
pub fn repair_by_rendezvous(table: &Table) -> Vec<Move> {
    let live: Vec<_> = table.live_members().collect();
    let best = |shard: u32, not: Option<Member>| {
        let others = live.iter().filter(|(m, _)| Some(*m) != not);
        others
            .max_by_key(|(m, name)| (score(name, shard), *m))
            .map(|(m, _)| *m)
    };
    let mut moves = Vec::new();
    for (shard, replicas) in (0u32..).zip(table.replica_sets()) {
        let Some(top) = best(shard, None) else {
            continue;
        };
        // A member with a higher index than the owner joined after the shard was placed.
        let keep = !table.is_lost(replicas.owner) && top <= replicas.owner;
        let owner = if keep { replicas.owner } else { top };
        let keep = !table.is_lost(replicas.standby) && replicas.standby != owner;
        let standby = if keep {
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

/// Changes that create a table whose shards are vacant, in records that fit the log at full size.
/// A [`crate::Planner`] then gives the shards to members.
pub fn create_vacant(members: Vec<UpstreamName>, shards: u32) -> Vec<Change> {
    let mut changes = vec![Change::Vacant { shards }];
    changes.extend(add_members(&Table::default(), members));
    changes
}

/// Changes that add members: to indices of lost members that no seat names, and to new ones.
pub fn add_members(table: &Table, mut members: Vec<UpstreamName>) -> Vec<Change> {
    let free = table.free_indices();
    let fresh = members.split_off(members.len().min(free.len()));
    let taken = free.into_iter().zip(members);
    let taken = taken.map(|(member, name)| Replacement { member, name });
    let taken: Vec<Replacement> = taken.collect();
    let mut changes = Vec::new();
    changes.extend(
        taken
            .chunks(MEMBERS_PER_CHANGE)
            .map(|members| Change::Replace {
                members: members.to_vec(),
            }),
    );
    changes.extend(
        fresh
            .chunks(MEMBERS_PER_CHANGE)
            .map(|members| Change::Join {
                members: members.to_vec(),
            }),
    );
    changes
}
