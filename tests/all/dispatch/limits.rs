//! Concurrency limit, service time and budgets.

use std::collections::VecDeque;
use std::time::Duration;

use proptest::prelude::*;
use trefoil_core::{Shard, Slots, Tick};
use trefoil_dispatch::limit::Sample;
use trefoil_dispatch::{
    Admission, Cause, ConnectionBudget, Decision, Limit, Origin, Request, RetryBudget, ServiceTime,
    Status, WallClock,
};

use super::ms;
use super::properties::fixed;

const FAST: Duration = Duration::from_millis(10);

/// Observes `count` successful answers of `time` each, one after the other.
fn observe_successes(limit: &mut Limit, now: &mut Tick, time: Duration, count: u32) {
    for _ in 0..count {
        let started = *now;
        *now = now.after(time);
        limit.observe(*now, started, Sample::Success(time));
    }
}

/// Guards against a cold upstream that receives its whole load at once.
#[test]
fn cold_start_gains_a_slot_for_eight_answers() {
    let mut limit = Limit::new(Slots(4));
    let mut now = Tick::default();
    let mut seen = Vec::new();
    for _ in 0..5 {
        seen.push(limit.current().0);
        observe_successes(&mut limit, &mut now, FAST, 8);
    }
    assert_eq!(seen, [1, 2, 3, 4, 4]);
}

/// Guards against a limit that ignores refusals, and against one that falls by one for each of
/// several requests that were refused together.
#[test]
fn refusals_lower_the_limit_once_for_requests_started_together() {
    let mut limit = Limit::new(Slots(4));
    let mut now = Tick::default();
    observe_successes(&mut limit, &mut now, FAST, 32);
    let started = now;
    for _ in 0..4 {
        now = now.after(FAST);
        limit.observe(now, started, Sample::Overload);
    }
    assert_eq!(limit.current(), Slots(3));
    for _ in 0..10 {
        limit.observe(now, now, Sample::Overload);
    }
    assert_eq!(limit.current(), Slots(1));
}

/// Guards against a limit that saturates an upstream whose latency has risen, and against one that
/// never recovers when the work has become slower permanently.
#[test]
fn slowdown_lowers_the_limit_until_it_is_the_baseline() {
    let mut limit = Limit::new(Slots(4));
    let mut now = Tick::default();
    observe_successes(&mut limit, &mut now, FAST, 200);
    assert_eq!(limit.current(), Slots(4));
    observe_successes(&mut limit, &mut now, FAST * 5, 20);
    assert!(limit.current() < Slots(4), "{}", limit.current());
    observe_successes(&mut limit, &mut now, FAST * 5, 400);
    assert_eq!(limit.current(), Slots(4));
}

/// Guards against retries beyond a tenth of the requests.
#[test]
fn retries_are_a_tenth_of_the_requests() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..1000 {
        budget.deposit();
        retries += u32::from(budget.withdraw());
    }
    assert_eq!(retries, 100);
    assert!(!budget.withdraw());
}

/// Guards against a burst of retries after a long time without failures.
#[test]
fn saved_retries_are_bounded() {
    let mut budget = RetryBudget::default();
    (0..100_000).for_each(|_| budget.deposit());
    let burst = std::iter::repeat_with(|| budget.withdraw()).take_while(|&ok| ok);
    assert_eq!(burst.count(), 10);
}

/// Guards against more connections than the upstream accepts.
#[test]
fn connections_keep_to_their_budget() {
    let mut budget = ConnectionBudget::new(2);
    let first = budget.open().expect("the first connection");
    let _second = budget.open().expect("the second connection");
    let error = budget.open().expect_err("no third connection");
    assert_eq!(
        error.to_string(),
        "all 2 connections to the upstream are in use"
    );
    budget.close(first);
    assert_eq!(budget.in_use(), 1);
    let again = budget.open();
    assert!(again.is_ok(), "a connection was returned");
}

/// Guards against a ticket of one upstream that frees a slot of another.
#[test]
fn tickets_of_another_upstream_are_refused() {
    let admission = || {
        let wall = WallClock::default();
        let mut admission = Admission::builder(wall).build().expect("the charts load");
        let origin = Origin::New;
        let shard = trefoil_core::Shard(0);
        admission.assign(ms(0), shard, origin).expect("a new shard");
        admission
    };
    let (mut one, mut other) = (admission(), admission());
    let request = Request::new(Shard(0), ms(100));
    let Decision::Start(ticket) = one.offer(ms(0), request.clone()) else {
        panic!("an idle upstream starts a request");
    };
    let _started = other.offer(ms(0), request);
    let finished = other.finish(ms(1), ticket, Cause::Answered(Status(200)));
    finished.expect_err("the ticket is of another admission");
    assert_eq!(other.running(), 1);
}

proptest! {
    #![proptest_config(fixed(500))]

    /// Guards against a limit outside its bounds.
    #[test]
    fn limit_stays_between_one_and_the_slots(
        slots in 1u32..8,
        samples in prop::collection::vec((0u8..4, 1u64..200), 0..300),
    ) {
        let mut limit = Limit::new(Slots(slots));
        let mut now = Tick::default();
        for (kind, millis) in samples {
            let (started, time) = (now, Duration::from_millis(millis));
            now = now.after(time);
            let sample = match kind {
                0 => Sample::Overload,
                1 => Sample::Answer(time),
                _ => Sample::Success(time),
            };
            limit.observe(now, started, sample);
            prop_assert!((1..=slots).contains(&limit.current().0));
        }
    }

    /// Guards against an error in the incremental mean and quantile.
    #[test]
    fn service_time_equals_its_definition(
        times in prop::collection::vec(1u64..500, 1..600),
    ) {
        let mut service = ServiceTime::default();
        let mut window = VecDeque::new();
        let mut now = Tick::default();
        for millis in times {
            let time = Duration::from_millis(millis);
            now = now.after(time);
            service.observe(now, time);
            window.push_back(time);
            if window.len() > 256 {
                window.pop_front();
            }
            let count = u32::try_from(window.len()).expect("a short window");
            prop_assert_eq!(service.mean(), window.iter().sum::<Duration>() / count);
            let above = window.iter().filter(|&&t| t > service.tail()).count();
            prop_assert!(above <= 2 * window.len() / 256);
            prop_assert!(window.contains(&service.tail()));
        }
    }
}
