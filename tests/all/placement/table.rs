//! Tests of the shard table and its changes.

use proptest::collection::vec;
use proptest::prelude::*;
use smallvec::smallvec;
use trefoil_core::{KeyHash, Shard};
use trefoil_placement::table::{MEMBERS_PER_CHANGE, MOVES_PER_CHANGE};
use trefoil_placement::{
    Change, HOT_KEYS_MAX, HotMove, Member, Move, Replacement, ReplicaSet, Table, TableError,
    changes, create_by_rendezvous,
};

use super::{names, seeded_runner};

fn table(members: usize, shards: u32) -> Table {
    let mut table = Table::default();
    let first = create_by_rendezvous(names(members), shards);
    table.apply(&first).expect("the first table applies");
    table
}

fn replicas(owner: u16, standby: u16) -> ReplicaSet {
    ReplicaSet {
        owner: Member(owner),
        standby: Member(standby),
    }
}

fn hot(key: u64, replicas: ReplicaSet) -> HotMove {
    HotMove {
        key: KeyHash(key),
        replicas,
    }
}

/// Guards against a hot key that is routed to the owner of its shard instead of its own owner.
#[test]
fn hot_key_has_its_own_owner() {
    let mut table = table(4, 16);
    let key = KeyHash(0x35);
    let shard = table.locate(key).expect("seat");
    let other = replicas((shard.owner.0 + 1) % 4, (shard.owner.0 + 2) % 4);
    let moves = vec![hot(0x35, shard), hot(0x35, other), hot(3, shard)];
    table.apply(&Change::HotMoves { moves }).expect("applies");
    assert_eq!(table.locate(key), Some(other));
    assert_eq!(table.locate(KeyHash(0x45)), table.replicas(Shard(5)));
    let keys = vec![key, KeyHash(99)];
    table.apply(&Change::HotDrops { keys }).expect("applies");
    assert_eq!(table.locate(key), Some(shard));
    assert_eq!(table.hot_entries().len(), 1);
}

/// Guards against unbounded memory for hot keys.
#[test]
fn hot_entries_are_bounded() {
    let mut table = table(2, 2);
    let entries = |from: u64, to: u64| Change::HotMoves {
        moves: (from..to).map(|k| hot(k, replicas(0, 1))).collect(),
    };
    table.apply(&entries(0, 4096)).expect("applies");
    let before = table.clone();
    let rejected = table.apply(&entries(4000, 4097));
    let count = HOT_KEYS_MAX + 1;
    assert_eq!(rejected, Err(TableError::TooManyHotKeys { count }));
    assert_eq!(table, before);
    table.apply(&entries(0, 4096)).expect("the same keys fit");
}

/// Guards against a lost member that still owns a hot key or is still a standby.
#[test]
fn loss_promotes_standbys_of_shards_and_hot_keys() {
    let mut table = table(3, 8);
    let moves = vec![
        hot(1, replicas(0, 1)),
        hot(2, replicas(1, 0)),
        hot(3, replicas(0, 0)),
    ];
    table.apply(&Change::HotMoves { moves }).expect("applies");
    let members = smallvec![Member(0)];
    table.apply(&Change::Lost { members }).expect("applies");
    assert_eq!(table.hot_replicas(KeyHash(1)), Some(replicas(1, 1)));
    assert_eq!(table.hot_replicas(KeyHash(2)), Some(replicas(1, 1)));
    assert_eq!(
        table.hot_replicas(KeyHash(3)),
        Some(replicas(0, 0)),
        "no member serves it"
    );
    assert!(table.replica_sets().iter().all(|s| s.owner != Member(0)));
    assert!(table.replica_sets().iter().all(|s| s.standby != Member(0)));
}

/// Guards against a move that assigns a shard to a lost member, and against a rejected change that
/// is applied in part.
#[test]
fn rejected_changes_leave_the_table_unchanged() {
    let mut table = table(3, 8);
    let members = smallvec![Member(2)];
    table.apply(&Change::Lost { members }).expect("applies");
    let moves = |shard, replicas| Change::Moves {
        moves: vec![
            Move {
                shard: Shard(0),
                replicas: self::replicas(1, 0),
            },
            Move {
                shard: Shard(shard),
                replicas,
            },
        ],
    };
    let replace = |member: u16| Change::Replace {
        members: vec![Replacement {
            member: Member(member),
            name: "new".parse().expect("valid name"),
        }],
    };
    let before = table.clone();
    let cases = [
        (
            moves(0, replicas(2, 1)),
            TableError::LostMember { member: Member(2) },
        ),
        (
            moves(0, replicas(0, 9)),
            TableError::UnknownMember { member: Member(9) },
        ),
        (
            moves(8, replicas(0, 1)),
            TableError::UnknownShard { shard: Shard(8) },
        ),
        (replace(0), TableError::IndexInUse { member: Member(0) }),
        (replace(9), TableError::UnknownMember { member: Member(9) }),
        (
            Change::Vacant { shards: 3 },
            TableError::InvalidShardCount { count: 3 },
        ),
        (
            Change::Join {
                members: names(65_533),
            },
            TableError::TooManyMembers { count: 65_536 },
        ),
    ];
    for (change, error) in cases {
        assert_eq!(table.apply(&change), Err(error));
        assert_eq!(table, before);
    }
}

/// Guards against exhaustion of the 65,535 indices when servers are replaced every day.
#[test]
fn indices_of_lost_members_are_reused() {
    let mut table = table(3, 8);
    let members = smallvec![Member(1)];
    table.apply(&Change::Lost { members }).expect("applies");
    assert_eq!(table.free_indices(), [Member(1)]);
    let name: trefoil_core::UpstreamName = "u1".parse().expect("valid name");
    let more = names(2).swap_remove(0);
    for change in changes::add_members(&table, vec![name.clone(), more]) {
        table.apply(&change).expect("applies");
    }
    assert_eq!(table.member(&name), Some(Member(1)));
    assert_eq!(table.members().len(), 4, "one more index is needed");
    assert_eq!(table.free_indices(), []);
}

/// Guards against a change that does not fit a log record of 256 KiB, and against a new variant
/// that changes the encoding of an old one.
#[test]
fn batches_fit_a_log_record() {
    const RECORD: usize = 256 * 1024;
    let long = "x".repeat(63).parse::<trefoil_core::UpstreamName>();
    let changes = [
        Change::HotMoves {
            moves: vec![hot(u64::MAX, ReplicaSet::VACANT); MOVES_PER_CHANGE],
        },
        Change::Moves {
            moves: vec![
                Move {
                    shard: Shard(u32::MAX),
                    replicas: ReplicaSet::VACANT,
                };
                MOVES_PER_CHANGE
            ],
        },
        Change::Join {
            members: vec![long.expect("valid name"); MEMBERS_PER_CHANGE],
        },
    ];
    for change in changes {
        let bytes = postcard::to_stdvec(&change).expect("encodes");
        assert!(bytes.len() < RECORD, "{} bytes", bytes.len());
        let back: Change = postcard::from_bytes(&bytes).expect("decodes");
        assert_eq!(back, change);
    }
    let lost = Change::Lost {
        members: smallvec![Member(5)],
    };
    assert_eq!(postcard::to_stdvec(&lost).expect("encodes"), [3, 1, 5]);
}

/// Guards against two hosts that have different tables after the same records, also when one of
/// them started from a snapshot.
#[test]
fn replay_is_deterministic() {
    let change = prop_oneof![
        (0u16..6).prop_map(|m| Change::Lost {
            members: smallvec![Member(m)],
        }),
        (0u32..16, 0u16..6, 0u16..6).prop_map(|(s, a, b)| Change::Moves {
            moves: vec![Move {
                shard: Shard(s),
                replicas: replicas(a, b),
            }],
        }),
        (0u64..9, 0u16..6, 0u16..6).prop_map(|(k, a, b)| Change::HotMoves {
            moves: vec![hot(k, replicas(a, b))],
        }),
        (0u64..9).prop_map(|k| Change::HotDrops {
            keys: vec![KeyHash(k)],
        }),
    ];
    let check = |changes: Vec<Change>| {
        let mut left = table(6, 16);
        let mut right = left.clone();
        for change in changes {
            let bytes = postcard::to_stdvec(&right).expect("encodes");
            right = postcard::from_bytes(&bytes).expect("decodes");
            prop_assert_eq!(left.apply(&change), right.apply(&change));
            prop_assert_eq!(&left, &right);
            for replicas in left.replica_sets() {
                let stale = left.is_lost(replicas.standby) && !left.is_lost(replicas.owner);
                prop_assert!(!stale, "a lost standby of a live owner");
            }
        }
        Ok(())
    };
    let run = seeded_runner(128).run(&vec(change, 0..40), check);
    run.expect("replay is deterministic");
}
