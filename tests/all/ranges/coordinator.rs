//! Orders of a single coordinator.

use std::time::Duration;

use trefoil_core::{KeyRange, Tick};
use trefoil_ranges::{Coordinator, Handover, Order, OrderKind, OrderOutcome, Phase, Table, Timing};

use super::simulation::{incarnation, range};

const START: Tick = Tick(Duration::from_secs(1000));

fn at(ms: u64) -> Tick {
    START.after(Duration::from_millis(ms))
}

fn table() -> Table {
    let mut table = Table::new("offers".parse().unwrap_or_else(|e| panic!("{e}")));
    table.assign(KeyRange::ALL, &incarnation("a", 1));
    table
}

/// A coordinator without a predecessor, whose only upstream owns all keys.
fn sole_owner() -> Coordinator {
    let mut coordinator = Coordinator::new(START, table(), Timing::default(), START);
    let orders = coordinator.poll(START);
    assert_eq!(orders.len(), 1);
    coordinator.on_outcome(at(5), orders[0].id, OrderOutcome::Confirmed(None));
    coordinator
}

fn assign_part(coordinator: &mut Coordinator, now: Tick, part: KeyRange, to: &str) {
    let mut table = coordinator.table().clone();
    table.assign(part, &incarnation(to, 1));
    coordinator.adopt_table(now, table);
}

fn record_cleared(coordinator: &mut Coordinator, now: Tick) {
    let mut table = coordinator.table().clone();
    for first in coordinator.cleared() {
        table.clear_former(first);
    }
    coordinator.adopt_table(now, table);
}

fn describe(orders: &[Order]) -> Vec<String> {
    let line = |order: &Order| {
        let kind = match &order.kind {
            OrderKind::Grant { ttl, handover } => {
                let proof = handover.as_ref().map_or("-", |h| h.0.as_str());
                format!("grant for {} ms with {proof}", ttl.as_millis())
            }
            OrderKind::Release => "release".to_owned(),
        };
        format!(
            "{} {} #{}: {kind}",
            order.incarnation.name, order.range, order.fence
        )
    };
    orders.iter().map(line).collect()
}

fn phase(coordinator: &Coordinator, index: usize) -> Option<Phase> {
    coordinator.phases().nth(index).map(|(_, phase)| phase)
}

/// Guards against a grant to the new owner before the former owner has released the range, or
/// before the table without the former owner is in the store.
#[test]
fn a_move_releases_records_and_grants() {
    let mut coordinator = sole_owner();
    assign_part(&mut coordinator, at(100), range(0, 3), "b");
    let orders = coordinator.poll(at(100));
    assert_eq!(describe(&orders), ["a 0-16383 #2: release"]);
    coordinator.on_outcome(
        at(150),
        orders[0].id,
        OrderOutcome::Confirmed(Some(Handover("proof".into()))),
    );
    assert_eq!(describe(&coordinator.poll(at(150))), [""; 0]);
    assert_eq!(phase(&coordinator, 0), Some(Phase::Recording));
    record_cleared(&mut coordinator, at(160));
    assert_eq!(
        describe(&coordinator.poll(at(160))),
        ["b 0-16383 #4: grant for 4000 ms with proof"]
    );
}

/// Guards against a grant to the new owner while the former one does not answer and may hold a
/// valid grant.
#[test]
fn a_silent_owner_keeps_its_range_until_its_grants_expire() {
    let mut coordinator = sole_owner();
    assign_part(&mut coordinator, at(100), range(0, 15), "b");
    let mut now = at(100);
    let end = START.after(Duration::from_millis(4080 + 400));
    while now < end {
        for order in coordinator.poll(now) {
            assert_eq!(order.incarnation, incarnation("a", 1), "at {now}");
            coordinator.on_outcome(now, order.id, OrderOutcome::NotApplied);
        }
        assert_eq!(phase(&coordinator, 0), Some(Phase::Clearing), "at {now}");
        now = now.after(Duration::from_millis(50));
    }
    coordinator.poll(now);
    assert_eq!(phase(&coordinator, 0), Some(Phase::Recording));
}

/// Guards against keys that are moved while their former owner still works on them: a fencing grant
/// expires soon, but work begun under an earlier coordinator's grant continues after that.
#[test]
fn a_fencing_grant_does_not_end_running_work() {
    let mut table = table();
    table.assign(range(0, 15), &incarnation("b", 1));
    table.refence_moves();
    let mut coordinator = Coordinator::new(START, table, Timing::default(), at(5000));
    // The last of those grants has arrived by then.
    let silent = at(5000 - 4080);
    let fencing = coordinator.poll(silent);
    coordinator.on_outcome(at(950), fencing[0].id, OrderOutcome::Confirmed(None));
    let release = coordinator.poll(at(950));
    assert!(describe(&release)[0].ends_with("release"), "{release:?}");
    coordinator.poll(at(4900));
    assert_eq!(phase(&coordinator, 0), Some(Phase::Clearing), "it may work");
    coordinator.poll(at(5000));
    assert_eq!(phase(&coordinator, 0), Some(Phase::Recording));
}

/// Guards against a grant that is applied after the release that was sent after it. An unanswered
/// grant may still be applied, so a fencing grant is sent before the release.
#[test]
fn an_unanswered_grant_is_fenced_before_the_release() {
    let mut coordinator = sole_owner();
    let renewal = coordinator.poll(at(1200));
    coordinator.on_outcome(at(1800), renewal[0].id, OrderOutcome::NoAnswer);
    assign_part(&mut coordinator, at(1900), range(0, 15), "b");
    let fencing = coordinator.poll(at(1900));
    assert_eq!(
        describe(&fencing),
        ["a 0-65535 #3: grant for 300 ms with -"]
    );
    coordinator.on_outcome(at(1950), fencing[0].id, OrderOutcome::Confirmed(None));
    assert_eq!(
        describe(&coordinator.poll(at(1950))),
        ["a 0-65535 #3: release"]
    );
}

/// Guards against taking the answer to an order from before a division of its range for that of the
/// fencing grant sent after it, which is still pending and would reach the former owner after the
/// new owner's grant.
#[test]
fn an_answer_counts_only_for_the_order_under_way() {
    let mut coordinator = sole_owner();
    let renewal = coordinator.poll(at(1200));
    coordinator.on_outcome(at(1800), renewal[0].id, OrderOutcome::NoAnswer);
    assign_part(&mut coordinator, at(1900), range(4, 15), "b");
    let first = coordinator.poll(at(1900));
    assert_eq!(
        describe(&first),
        ["a 16384-65535 #3: grant for 300 ms with -"]
    );
    assign_part(&mut coordinator, at(2000), range(4, 7), "c");
    let now = at(2000).after(Duration::from_millis(306 + 400));
    coordinator.confirm_term(at(2000));
    let second = coordinator.poll(now);
    let fencing_grants = second.iter().filter(|o| o.fence > first[0].fence).count();
    assert_eq!(fencing_grants, 1, "{:?}", describe(&second));
    coordinator.on_outcome(now, first[0].id, OrderOutcome::Confirmed(None));
    let orders = coordinator.poll(now);
    assert!(
        orders.iter().all(|o| o.kind != OrderKind::Release),
        "{:?}",
        describe(&orders)
    );
}

/// Guards against renewals by a coordinator whose term was not confirmed for too long.
#[test]
fn an_unconfirmed_term_sends_no_grants() {
    let mut coordinator = sole_owner();
    assert_eq!(coordinator.poll(at(1200)).len(), 1);
    let mut coordinator = sole_owner();
    assert_eq!(coordinator.poll(at(2600)).len(), 0);
    coordinator.confirm_term(at(2600));
    assert_eq!(coordinator.poll(at(2600)).len(), 1);
}

/// Guards against two owners after a restart of an upstream. A grant for the earlier incarnation
/// may have reached the present one, so that one is sent a release before another upstream is
/// granted the range, and the earlier incarnation gets no more grants.
#[test]
fn a_restarted_upstream_is_released_first() {
    let mut coordinator = sole_owner();
    coordinator.set_incarnations([incarnation("a", 2)]);
    assert_eq!(
        describe(&coordinator.poll(at(2_000))),
        [""; 0],
        "no renewal"
    );
    let mut table = coordinator.table().clone();
    table.assign(KeyRange::ALL, &incarnation("b", 1));
    coordinator.adopt_table(at(2_100), table);
    let orders = coordinator.poll(at(2_100));
    assert_eq!(describe(&orders), ["a 0-65535 #2: release"]);
    assert_eq!(orders[0].incarnation, incarnation("a", 2));
    coordinator.on_outcome(at(2_110), orders[0].id, OrderOutcome::Confirmed(None));
    assert_eq!(describe(&coordinator.poll(at(2_110))), [""; 0]);
    record_cleared(&mut coordinator, at(2_120));
    assert_eq!(
        describe(&coordinator.poll(at(2_120))),
        ["b 0-65535 #4: grant for 4000 ms with -"]
    );
}

/// Guards against a successor that moves a range while its predecessor may renew the former owner's
/// grant, and against one that waits although its predecessor has resigned.
#[test]
fn a_successor_waits_for_its_predecessor() {
    let timing = Timing::default();
    let earlier = timing.earlier_expiry(START);
    let mut coordinator = Coordinator::new(START, table(), timing, earlier);
    let grant = coordinator.poll(START);
    coordinator.on_outcome(at(5), grant[0].id, OrderOutcome::Confirmed(None));
    assign_part(&mut coordinator, at(100), KeyRange::ALL, "b");
    // The predecessor may send grants until its term expires, and the owner may restart and forget
    // its fences before one arrives.
    coordinator.confirm_term(at(1000));
    let silent = Timing::default().earlier_arrival(START);
    let before = Tick(silent.0.saturating_sub(Duration::from_millis(1)));
    assert_eq!(describe(&coordinator.poll(before)), [""; 0]);
    assert_eq!(phase(&coordinator, 0), Some(Phase::Clearing));
    let serving = coordinator.routes(before).next();
    assert_eq!(
        serving
            .and_then(|(_, o)| o.map(ToString::to_string))
            .as_deref(),
        Some("a")
    );
    // A grant may still be applied late, so the owner is fenced first.
    let fencing = coordinator.poll(silent);
    assert_eq!(
        describe(&fencing),
        ["a 0-65535 #3: grant for 300 ms with -"]
    );
    coordinator.on_outcome(at(3000), fencing[0].id, OrderOutcome::NotApplied);
    coordinator.limit_earlier(at(150));
    coordinator.confirm_term(at(4000));
    let late = START.after(Duration::from_millis(4080 + 400));
    coordinator.poll(late);
    assert_eq!(phase(&coordinator, 0), Some(Phase::Recording));
}

/// Guards against a move that waits for a predecessor which has announced that it sends no more.
#[test]
fn a_resignation_ends_the_wait_for_grants_in_transit() {
    let timing = Timing::default();
    let mut coordinator = Coordinator::new(START, table(), timing, timing.earlier_expiry(START));
    let grant = coordinator.poll(START);
    coordinator.on_outcome(at(5), grant[0].id, OrderOutcome::Confirmed(None));
    assign_part(&mut coordinator, at(100), KeyRange::ALL, "b");
    assert_eq!(describe(&coordinator.poll(at(100))), [""; 0]);
    coordinator.limit_earlier(timing.grant_expiry(at(100), timing.ttl));
    assert_eq!(describe(&coordinator.poll(at(499))), [""; 0]);
    assert_eq!(
        describe(&coordinator.poll(at(500))),
        ["a 0-65535 #3: grant for 300 ms with -"]
    );
}

/// Guards against keys of a restarted upstream that go to another one while an earlier coordinator,
/// which does not know of the restart, may grant them to the restarted one.
#[test]
fn a_restarted_upstream_is_fenced_once_earlier_coordinators_are_silent() {
    let timing = Timing::default();
    let mut coordinator = Coordinator::new(START, table(), timing, timing.earlier_expiry(START));
    coordinator.set_incarnations([incarnation("a", 2), incarnation("b", 1)]);
    assign_part(&mut coordinator, at(100), KeyRange::ALL, "b");
    coordinator.confirm_term(at(1000));
    let silent = timing.earlier_arrival(START);
    let before = Tick(silent.0.saturating_sub(Duration::from_millis(1)));
    assert_eq!(describe(&coordinator.poll(before)), [""; 0]);
    let fencing = coordinator.poll(silent);
    assert_eq!(
        describe(&fencing),
        ["a 0-65535 #3: grant for 300 ms with -"]
    );
    assert_eq!(fencing[0].incarnation, incarnation("a", 2));
    coordinator.on_outcome(at(2950), fencing[0].id, OrderOutcome::Confirmed(None));
    let release = coordinator.poll(at(2950));
    assert_eq!(describe(&release), ["a 0-65535 #3: release"]);
    coordinator.on_outcome(at(2960), release[0].id, OrderOutcome::Confirmed(None));
    coordinator.poll(at(2960));
    assert_eq!(phase(&coordinator, 0), Some(Phase::Recording));
}

/// Guards against requests to a former owner after its release was sent, and against requests that
/// wait while it still serves.
#[test]
fn the_former_owner_serves_until_it_is_released() {
    let mut coordinator = sole_owner();
    assign_part(&mut coordinator, at(100), KeyRange::ALL, "b");
    let owner = |s: &Coordinator, now| {
        let route = s.routes(now).next();
        route.and_then(|(_, owner)| owner.map(ToString::to_string))
    };
    assert_eq!(owner(&coordinator, at(100)).as_deref(), Some("a"));
    let release = coordinator.poll(at(100));
    assert_eq!(owner(&coordinator, at(100)), None);
    coordinator.on_outcome(at(200), release[0].id, OrderOutcome::Confirmed(None));
    coordinator.poll(at(200));
    record_cleared(&mut coordinator, at(210));
    let grant = coordinator.poll(at(210));
    assert_eq!(owner(&coordinator, at(210)), None);
    coordinator.on_outcome(at(220), grant[0].id, OrderOutcome::Confirmed(None));
    assert_eq!(owner(&coordinator, at(220)).as_deref(), Some("b"));
}

/// Guards against long validities while the store answers, and against short ones while it is
/// unavailable and no host can take over.
#[test]
fn grants_last_longer_while_the_store_is_unavailable() {
    let mut coordinator = sole_owner();
    coordinator.set_store_unavailable(true);
    let orders = coordinator.poll(at(1200));
    assert_eq!(
        describe(&orders),
        ["a 0-65535 #2: grant for 8000 ms with -"]
    );
}

/// Guards against the end of a term because an upstream refused a renewal for a range that was
/// divided meanwhile: the fencing grant for the other part has overtaken it.
#[test]
fn an_overtaken_renewal_does_not_end_the_term() {
    let mut coordinator = sole_owner();
    let renewal = coordinator.poll(at(1200));
    assign_part(&mut coordinator, at(1250), range(4, 15), "b");
    let orders = coordinator.poll(at(1250));
    let fencing: Vec<&Order> = orders
        .iter()
        .filter(|o| o.fence > renewal[0].fence)
        .collect();
    assert_eq!(fencing.len(), 1, "{:?}", describe(&orders));
    coordinator.on_outcome(at(1300), fencing[0].id, OrderOutcome::Confirmed(None));
    coordinator.on_outcome(at(1310), renewal[0].id, OrderOutcome::Fenced);
    assert!(!coordinator.is_deposed());
    let kept = orders.iter().find(|o| o.range == range(0, 3));
    let kept = kept.expect("a grant for the part that stays");
    coordinator.on_outcome(at(1320), kept.id, OrderOutcome::Fenced);
    assert!(coordinator.is_deposed(), "a refusal of the latest order");
}
