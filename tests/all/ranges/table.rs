//! Tables of owners.

use std::time::Duration;

use trefoil_core::{Era, Fence, HostId, Key};
use trefoil_ranges::{Author, Table, TableError};

use super::simulation::{incarnation, range};

fn table() -> Table {
    Table::new("offers".parse().unwrap_or_else(|e| panic!("{e}")))
}

/// Guards against keys that are lost or listed twice when a range is divided.
#[test]
fn assignments_divide_ranges() {
    let mut table = table();
    table.assign(range(0, 15), &incarnation("a", 1));
    table.assign(range(4, 7), &incarnation("b", 1));
    let entries: Vec<String> = table
        .entries()
        .iter()
        .map(|e| {
            format!(
                "{} {}",
                e.range,
                e.owner.as_ref().map_or("-".to_owned(), ToString::to_string)
            )
        })
        .collect();
    insta::assert_snapshot!(entries.join("\n"), @r"
    0-16383 a@1#2
    16384-32767 b@1#4
    32768-65535 a@1#2
    ");
    assert_eq!(table.find(Key(20_000)).range, range(4, 7));
}

/// Guards against a grant to the new owner while an older owner may hold one: the former owner
/// stays listed until it is cleared, even if the owner changes again in the meantime.
#[test]
fn the_former_owner_stays_until_it_is_cleared() {
    let mut table = table();
    table.assign(range(0, 15), &incarnation("a", 1));
    table.assign(range(0, 15), &incarnation("b", 1));
    table.assign(range(0, 15), &incarnation("c", 1));
    let entry = table.find(Key(0));
    assert_eq!(
        entry.former.as_ref().map(|o| &o.incarnation),
        Some(&incarnation("a", 1))
    );
    assert!(
        entry
            .owner
            .as_ref()
            .is_some_and(|o| o.fence > entry.fencing)
    );
    table.clear_former(Key(0));
    table.assign(range(0, 15), &incarnation("d", 1));
    let former = table.find(Key(0)).former.clone();
    assert_eq!(former.map(|o| o.incarnation), Some(incarnation("c", 1)));
}

/// Guards against a release sent to the owner itself when a range returns to it before its release.
#[test]
fn a_range_can_return_to_its_former_owner() {
    let mut table = table();
    table.assign(range(0, 15), &incarnation("a", 1));
    table.assign(range(0, 15), &incarnation("b", 1));
    table.assign(range(0, 15), &incarnation("a", 1));
    let entry = table.find(Key(0));
    assert_eq!(entry.former, None);
    assert_eq!(
        entry.owner.as_ref().map(|o| o.incarnation.clone()),
        Some(incarnation("a", 1))
    );
}

/// Guards against a successor that reuses the fences of a move that its predecessor has begun.
#[test]
fn moves_get_new_fences() {
    let mut table = table();
    table.assign(range(0, 15), &incarnation("a", 1));
    assert!(!table.refence_moves());
    table.assign(range(0, 3), &incarnation("b", 1));
    let before = table.find(Key(0)).clone();
    assert!(table.refence_moves());
    let after = table.find(Key(0));
    assert!(after.fencing > before.owner.map_or(Fence(0), |o| o.fence));
    assert!(
        after
            .owner
            .as_ref()
            .is_some_and(|o| o.fence > after.fencing)
    );
}

/// Guards against bytes that decode to a table which does not cover all keys.
#[test]
fn encoding_round_trips_and_is_checked() {
    let mut table = table();
    table.assign(range(2, 9), &incarnation("a", 7));
    let bytes = table.encode().unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(Table::decode(&bytes), Ok(table));
    let mut newer = bytes.clone();
    newer[0] += 1;
    assert!(matches!(
        Table::decode(&newer),
        Err(TableError::Format { found: 2 })
    ));
    assert!(matches!(
        Table::decode(&bytes[..9]),
        Err(TableError::Decode { .. })
    ));
}

/// Guards against tables that builds before and after the era was added cannot exchange.
#[test]
fn builds_without_an_era_read_the_table_and_theirs_is_read() {
    let mut table = table();
    table.assign(range(2, 9), &incarnation("a", 7));
    table.era = Era(3);
    table.author = Some(Author {
        host: HostId::random(),
        term: 9,
        earlier_grants: Duration::from_millis(1500),
        resigned: false,
        unlisted_grants: Duration::from_micros(2_000_300),
        address: "192.0.2.7:7002".parse().ok(),
    });
    let bytes = table.encode().expect("encoded");
    let decoded = Table::decode(&bytes).expect("decoded");
    let unlisted = decoded.author.map(|a| a.unlisted_grants);
    assert_eq!(decoded.era, Era(3));
    assert_eq!(unlisted, Some(Duration::from_millis(2001)), "rounded up");
    let address = decoded.author.and_then(|a| a.address);
    assert_eq!(address, table.author.and_then(|a| a.address));
    // The build before the address ends before it.
    let encoded = postcard::to_allocvec(&address.expect("an address")).expect("encoded");
    let earlier = Table::decode(&bytes[..bytes.len() - encoded.len()]).expect("decoded");
    assert_eq!(
        earlier.author.map(|a| (a.unlisted_grants, a.address)),
        Some((Duration::from_millis(2001), None))
    );
    // An earlier build ignores what follows the table.
    let (_, rest) = postcard::take_from_bytes::<u16>(&bytes).expect("a format");
    let (earlier, appendix) = postcard::take_from_bytes::<Table>(rest).expect("a table");
    assert_eq!(earlier.entries(), table.entries());
    let (era, unlisted) = (earlier.era, earlier.author.map(|a| a.unlisted_grants));
    assert_eq!((era, unlisted), (Era(0), Some(Duration::ZERO)));
    // It writes a table that ends there.
    let length = bytes.len() - appendix.len();
    assert_eq!(Table::decode(&bytes[..length]), Ok(earlier));
}

/// Guards against a panic on bytes that another writer has left in the topic.
#[test]
fn foreign_bytes_are_refused() {
    let mut table = table();
    table.assign(range(2, 9), &incarnation("a", 7));
    table.era = Era(300);
    let bytes = table.encode().expect("encoded");
    for length in 0..bytes.len() {
        let _ = Table::decode(&bytes[..length]);
        for value in [0, 0x7f, 0x80, 0xff] {
            let mut changed = bytes.clone();
            changed[length] = value;
            let _ = Table::decode(&changed);
        }
    }
    let cut = Table::decode(&bytes[..bytes.len() - 1]);
    assert!(matches!(cut, Err(TableError::Decode { .. })));
}
