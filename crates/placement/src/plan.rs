//! Plans: changes that bring a table to a wanted state.

use trefoil_core::UpstreamName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::table::{Change, Member, Seat};

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
