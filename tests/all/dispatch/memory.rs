//! Outcome memory at its full capacity.

use std::time::Duration;

use trefoil_core::{Outcome, Shard, Tick, UnixMillis};
use trefoil_dispatch::memory::{CAPACITY, HANDOVER_MAX, Lookup, OutcomeMemory, RETENTION};
use trefoil_dispatch::{Digest, Record, Request, WallClock};

use super::{ms, v7};

const DONE: Record = Record {
    outcome: Outcome::Done,
    status: None,
};

fn request(minted: u64, number: u64) -> Request {
    Request::new(Shard(0), ms(1_000_000)).id(v7(minted, number), Digest(1))
}

/// Returns a memory with 100,000 ids, of which the last `open` are in flight, long after the start
/// of service.
fn filled(open: u64) -> (OutcomeMemory, Tick) {
    let mut memory = OutcomeMemory::new(WallClock::default());
    let now = ms(60_000);
    for number in 0..100_000 {
        // Ten ids for each millisecond.
        let request = request(20_000 + number / 10, number);
        assert_eq!(
            memory.look_up(now, &request, Some(UnixMillis(0))),
            Lookup::New
        );
        memory.begin(&request);
        if number < 100_000 - open {
            memory.finish(now, &request, DONE);
        }
        assert!(memory.len() <= CAPACITY);
    }
    (memory, now)
}

/// Guards against an unbounded memory, and against an evicted id that runs again.
#[test]
fn memory_is_bounded_and_evicted_ids_are_not_covered() {
    let (mut memory, now) = filled(1000);
    assert_eq!((memory.len(), memory.in_flight()), (CAPACITY, 1000));
    for number in (0..100_000).step_by(97) {
        let request = request(20_000 + number / 10, number);
        let evicted = number < 100_000 - 65_536;
        let expected = match number {
            _ if evicted => Lookup::NotCovered,
            0..99_000 => Lookup::Finished(DONE),
            _ => Lookup::InFlight,
        };
        let found = memory.look_up(now, &request, Some(UnixMillis(0)));
        assert_eq!(found, expected, "id {number}");
    }
}

/// Guards against records older than ten minutes, and against the loss of an id in flight.
#[test]
fn outcomes_expire_after_ten_minutes() {
    let (mut memory, now) = filled(10);
    let probe = request(1, 0);
    let before = now.after(RETENTION.saturating_sub(Duration::from_millis(1)));
    memory.look_up(before, &probe, None);
    assert_eq!(memory.len(), CAPACITY);
    memory.look_up(now.after(RETENTION), &probe, None);
    assert_eq!((memory.len(), memory.in_flight()), (10, 10));
}

/// Guards against ids in flight that leave no room for the outcome of a shed request.
#[test]
fn half_of_the_memory_may_be_in_flight() {
    let mut memory = OutcomeMemory::with_capacity(WallClock::default(), 8);
    for number in 0..4 {
        assert!(!memory.is_full());
        memory.begin(&request(50_000, number));
    }
    assert!(memory.is_full());
}

/// Guards against a handover that does not fit a frame, and against one that claims to cover ids
/// whose records it leaves out.
#[test]
fn handover_covers_what_it_carries() {
    let (memory, now) = filled(0);
    let handover = memory.export(now, Shard(0), UnixMillis(0));
    assert_eq!(handover.records, []);
    assert_eq!(handover.since, UnixMillis(60_000));

    let mut memory = OutcomeMemory::with_capacity(WallClock::default(), 8);
    for number in 0..10 {
        let request = request(50_000 + number, number);
        memory.begin(&request);
        if number != 9 {
            memory.finish(now, &request, DONE);
        }
    }
    let handover = memory.export(now, Shard(0), UnixMillis(0));
    assert!(handover.records.len() <= HANDOVER_MAX);
    // The ids 0 and 1 were evicted, so coverage begins after the mint time of id 1, less the clock
    // skew that coverage adds. The outcome of the open request 9 is unknown.
    assert_eq!(handover.since, UnixMillis(49_002));
    let outcomes = handover.records.iter().map(|(_, _, r)| r.outcome);
    let unknown = outcomes.filter(|&o| o == Outcome::Unknown).count();
    assert_eq!((handover.records.len(), unknown), (8, 1));
}
