//! Terms that go on, and terms that begin, after the store has come back from an older copy.

use std::time::Duration;

use trefoil_core::{Era, Fence, HostId, KeyRange, Tick};
use trefoil_ranges::{
    Author, Claim, Coordinator, OrderKind, OrderOutcome, Table, Takeover, Timing,
};

use super::simulation::{incarnation, range};

const START: Tick = Tick(Duration::from_secs(1000));

/// Number of a term that began in 2026.
const TERM: u64 = 1_790_000_000_000 << 10;

fn at(ms: u64) -> Tick {
    START.after(Duration::from_millis(ms))
}

fn claim(term: u64, era: u64) -> Claim {
    Claim {
        address: None,
        host: HostId::random(),
        term,
        era: Era(era),
    }
}

/// A table of era 1 in which `a` owns all keys.
fn table() -> Table {
    let mut table = Table::new("offers".parse().expect("a name"));
    table.assign(KeyRange::ALL, &incarnation("a", 1));
    table.version = 7;
    table.era = Era(1);
    table.author = Some(Author {
        host: HostId::random(),
        term: 5,
        earlier_grants: Duration::ZERO,
        resigned: true,
        unlisted_grants: Duration::ZERO,
        address: None,
    });
    table
}

/// A coordinator that takes over `table` in era 2, which this host has known for `known`.
fn take_over(table: Table, known: Duration) -> Coordinator {
    let takeover = Takeover {
        lost_since: (table.era < Era(2)).then(|| Tick(START.0.saturating_sub(known))),
        table,
        known_version: 40,
        earlier: START,
    };
    let timing = Timing::default();
    let (table, earlier) = claim(TERM, 2).take_over(START, &timing, takeover);
    let mut coordinator = Coordinator::new(START, table, timing, earlier);
    coordinator.confirm_term(at(60_000));
    coordinator
}

/// Adopts the table that ends the wait for unlisted grants.
fn settle(coordinator: &mut Coordinator, now: Tick) {
    let mut table = coordinator.settled_table(now).expect("the wait is over");
    claim(TERM, 2).sign_change(now, &mut table, coordinator);
    coordinator.adopt_table(now, table);
}

/// The tick from which no grant of an earlier era can be valid.
fn expiry() -> Tick {
    Timing::default().earlier_expiry(START)
}

/// Guards against a grant to an owner from an older copy while another upstream may hold its keys,
/// and against fences and versions that are given out again.
#[test]
fn a_table_from_an_older_copy_is_not_granted() {
    let mut coordinator = take_over(table(), Duration::ZERO);
    assert!(coordinator.withholds_grants());
    assert!(
        coordinator.table().version > 40 + 1000,
        "above unheard ones"
    );
    let mut now = START;
    while now < expiry() {
        assert_eq!(coordinator.poll(now), [], "at {now}");
        assert_eq!(coordinator.settled_table(now), None, "at {now}");
        now = now.after(Duration::from_millis(100));
    }
    // A resignation that the older table tells of, or one that is heard, shortens nothing.
    coordinator.limit_earlier(START);
    coordinator.exclude_unlisted(START);
    assert_eq!(coordinator.unlisted_until(), Some(expiry()));
    assert_eq!(
        coordinator.poll(expiry()),
        [],
        "before the table is written"
    );
    settle(&mut coordinator, expiry());
    let orders = coordinator.poll(expiry());
    assert_eq!(orders.len(), 1);
    assert!(matches!(orders[0].kind, OrderKind::Grant { .. }));
    assert!(orders[0].fence > Fence(TERM) && orders[0].fence < Fence(1 << 53));
}

/// Guards against a wait that begins anew with each takeover: grants of earlier eras expire by a
/// tick that depends on the return of the store only.
#[test]
fn the_wait_counts_from_the_return_of_the_store() {
    let known = Duration::from_secs(5);
    let coordinator = take_over(table(), known);
    assert_eq!(
        coordinator.unlisted_until(),
        Some(Tick(expiry().0.saturating_sub(known)))
    );
}

/// Guards against a successor that does not know of the wait of its predecessor, and against one
/// that waits although the table of its era lists all grants.
#[test]
fn a_successor_continues_the_wait() {
    let first = take_over(table(), Duration::ZERO);
    let second = take_over(first.table().clone(), Duration::ZERO);
    assert!(second.withholds_grants());
    assert_eq!(second.unlisted_until(), Some(expiry()));
    let mut listed = first.table().clone();
    listed.author = listed.author.map(|author| Author {
        unlisted_grants: Duration::ZERO,
        ..author
    });
    let mut third = take_over(listed, Duration::ZERO);
    assert_eq!(third.poll(START).len(), 1);
}

/// Guards against keys that are not served because the store has lost records, and against a move
/// beside an owner that only an unknown successor knows: a coordinator that goes on renews grants
/// under the same fences and moves nothing until grants of others have expired.
#[test]
fn a_coordinator_that_goes_on_renews_and_moves_nothing() {
    let timing = Timing::default();
    let mut coordinator = Coordinator::new(START, table(), timing, START);
    let grant = coordinator.poll(START);
    let fence = grant[0].fence;
    coordinator.on_outcome(at(5), grant[0].id, OrderOutcome::Confirmed(None));
    let mut moved = coordinator.table().clone();
    moved.assign(range(0, 3), &incarnation("b", 1));
    coordinator.adopt_table(at(100), moved);
    coordinator.suspend_changes(at(200));
    let renewed = claim(TERM, 2).reestablish(at(300), &coordinator, 0);
    assert_eq!(renewed.era, Era(2));
    coordinator.adopt_table(at(300), renewed);
    coordinator.confirm_term(at(60_000));
    let until = timing.earlier_expiry(at(300));
    assert_eq!(coordinator.unlisted_until(), Some(until));
    let mut now = at(300);
    let mut renewals = 0;
    while now < until {
        for order in coordinator.poll(now) {
            assert!(matches!(order.kind, OrderKind::Grant { .. }), "{order:?}");
            assert_eq!((order.range, order.fence), (range(4, 15), fence));
            coordinator.on_outcome(now, order.id, OrderOutcome::Confirmed(None));
            renewals += 1;
        }
        now = now.after(Duration::from_millis(100));
    }
    assert!(renewals >= 8, "{renewals}");
    settle(&mut coordinator, until);
    let orders = coordinator.poll(until.after(timing.max_delay));
    assert!(orders.iter().any(|o| o.fence > Fence(TERM)), "{orders:?}");
    // Once no other coordinator can have sent grants, the wait ends.
    coordinator.suspend_changes(until);
    coordinator.exclude_unlisted(until);
    settle(&mut coordinator, until);
    assert_eq!(coordinator.unlisted_until(), None);
}

/// Guards against an end of the wait by a table that was written before its end.
#[test]
fn a_second_loss_of_records_extends_the_wait() {
    let mut coordinator = take_over(table(), Duration::ZERO);
    coordinator.suspend_changes(at(5000));
    let table = claim(TERM + (1 << 20), 3).reestablish(at(6000), &coordinator, 0);
    coordinator.adopt_table(at(6000), table);
    let until = Timing::default().earlier_expiry(at(6000));
    assert_eq!(coordinator.unlisted_until(), Some(until));
    assert!(
        coordinator.withholds_grants(),
        "the owners are still unknown"
    );
}

/// Guards against fences of an older copy that are used again because the longest grant had expired
/// before the takeover.
#[test]
fn a_late_takeover_of_an_older_copy_has_new_fences() {
    let coordinator = take_over(table(), Duration::from_secs(20));
    assert!(!coordinator.withholds_grants());
    let owners = coordinator.table().entries().iter();
    let fences: Vec<Fence> = owners
        .filter_map(|e| e.owner.as_ref().map(|o| o.fence))
        .collect();
    assert!(
        fences.iter().all(|fence| *fence > Fence(TERM)),
        "{fences:?}"
    );
}

/// Guards against a takeover without a wait from a build that knows no era, because the host has
/// known the era of the store for long.
#[test]
fn a_table_of_an_earlier_build_is_not_granted_at_once() {
    let mut earlier_build = table();
    earlier_build.era = Era::default();
    let coordinator = take_over(earlier_build, Duration::from_mins(1));
    assert!(coordinator.withholds_grants());
    assert_eq!(coordinator.unlisted_until(), Some(expiry()));
}
