//! Tables of owners.

use trefoil_core::{Fence, Key};
use trefoil_ranges::{Table, TableError};

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
