//! Changes that create tables and add members.

use trefoil_core::UpstreamName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::table::{BATCH_MEMBERS, Change, Member, Replacement, Seat, Table};

/// Score of a member for a shard in rendezvous hashing.
fn score(name: &UpstreamName, shard: u32) -> u64 {
    xxh3_64_with_seed(name.as_str().as_bytes(), u64::from(shard))
}

/// The first table of a service: each shard goes to the members with the two highest rendezvous
/// scores.
pub fn initial(members: Vec<UpstreamName>, shards: u32) -> Change {
    let seat = |shard: u32| {
        let mut ranked = (0u16..)
            .zip(&members)
            .map(|(i, m)| (score(m, shard), Member(i)));
        let first = ranked.next().unwrap_or((0, Member(0)));
        let (best, next) = ranked.fold((first, first), |(best, next), it| match it {
            _ if it.0 > best.0 => (it, best),
            _ if it.0 > next.0 || next.1 == best.1 => (best, it),
            _ => (best, next),
        });
        Seat {
            owner: best.1,
            standby: next.1,
        }
    };
    let seats = (0..shards).map(seat).collect();
    Change::Reset { members, seats }
}

/// Changes that create a table whose shards are vacant, in records that fit the log at full size.
/// A [`crate::Planner`] then gives the shards to members.
pub fn create(members: Vec<UpstreamName>, shards: u32) -> Vec<Change> {
    let mut changes = vec![Change::Vacant { shards }];
    changes.extend(join(&Table::default(), members));
    changes
}

/// Changes that add members: to indices of lost members that no seat names, and to new ones.
pub fn join(table: &Table, mut members: Vec<UpstreamName>) -> Vec<Change> {
    let free = table.free_indices();
    let fresh = members.split_off(members.len().min(free.len()));
    let taken = free.into_iter().zip(members);
    let taken = taken.map(|(member, name)| Replacement { member, name });
    let taken: Vec<Replacement> = taken.collect();
    let mut changes = Vec::new();
    changes.extend(taken.chunks(BATCH_MEMBERS).map(|members| Change::Replace {
        members: members.to_vec(),
    }));
    changes.extend(fresh.chunks(BATCH_MEMBERS).map(|members| Change::Join {
        members: members.to_vec(),
    }));
    changes
}
