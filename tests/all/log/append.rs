//! Appends with lost answers and duplicate copies.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future::{Boxed, yield_now};
use trefoil_core::{Clock, ManualClock, Offset, UnixMillis};
use trefoil_log::{Batch, Body, Log, LogError, MemoryLog, SubmitError, Verdict, View, submit};

use super::{Keys, envelope, routing, signed};

/// Behaviour of the log on one append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The record is appended and the answer arrives.
    Ok,
    /// The record is appended, but the answer is lost.
    Lost,
    /// The record is not appended, and the answer is ambiguous.
    Vanished,
    /// The log is unavailable and refuses the record.
    Down,
    /// The record is appended twice, and the answer has the second offset.
    Twice,
    /// The answer is lost, and the record is appended right after the next one.
    Late,
    /// The answer is lost, and the record is appended right before the next one.
    Delayed,
}

/// A log whose appends fail according to a list, and succeed after its end.
#[derive(Debug)]
struct Faulty {
    log: MemoryLog,
    faults: Mutex<VecDeque<Fault>>,
    late: Mutex<Vec<Bytes>>,
    delayed: Mutex<Vec<Bytes>>,
}

impl Faulty {
    fn push(&self, data: Bytes) -> Result<Offset, LogError> {
        smol::block_on(self.log.append(data))
    }
}

impl Log for Faulty {
    fn append(&self, data: Bytes) -> Boxed<Result<Offset, LogError>> {
        let fault = self.faults.lock().expect("not poisoned").pop_front();
        for data in std::mem::take(&mut *self.delayed.lock().expect("not poisoned")) {
            self.push(data).expect("a delayed record is appended");
        }
        let reason = "fault".to_owned();
        let ambiguous = Err(LogError::Ambiguous {
            reason: reason.clone(),
        });
        let result = match fault.unwrap_or(Fault::Ok) {
            Fault::Ok => self.push(data),
            Fault::Lost => self.push(data).and(ambiguous),
            Fault::Vanished => ambiguous,
            Fault::Down => Err(LogError::Unavailable { reason }),
            Fault::Twice => self.push(data.clone()).and_then(|_| self.push(data)),
            Fault::Delayed => {
                self.delayed.lock().expect("not poisoned").push(data);
                ambiguous
            }
            Fault::Late => {
                self.late.lock().expect("not poisoned").push(data);
                return async { ambiguous }.boxed();
            }
        };
        for data in std::mem::take(&mut *self.late.lock().expect("not poisoned")) {
            self.push(data).expect("a late record is appended");
        }
        async { result }.boxed()
    }

    fn read(&self, from: Offset, max: usize, wait: Duration) -> Boxed<Result<Batch, LogError>> {
        self.log.read(from, max, wait)
    }
}

/// Submits a record under the given faults and replays the log.
fn run(faults: &[Fault]) -> (Result<Offset, SubmitError>, Vec<Verdict>) {
    let clock = ManualClock::new(UnixMillis(0));
    let log = Faulty {
        log: MemoryLog::new(Arc::new(clock.clone()), 100),
        faults: Mutex::new(faults.iter().copied().collect()),
        late: Mutex::default(),
        delayed: Mutex::default(),
    };
    let keys = Keys::new();
    let body = Body::Config(Box::new(routing("r", "u", 1, 0)));
    let data = signed(&envelope(1, 1, body), &keys.operator);
    let until = clock.now().after(Duration::from_secs(1));
    let ticking = async {
        loop {
            yield_now().await;
            if clock.next_wake().is_some() {
                clock.advance(Duration::from_millis(50));
            }
        }
    };
    let result = smol::block_on(submit(&log, &clock, data, Offset(0), until).or(ticking));
    let batch = smol::block_on(log.read(Offset(0), 100, Duration::ZERO)).expect("a batch");
    let (mut view, ring) = (View::default(), keys.ring());
    let verdicts = batch.records.iter();
    let verdicts = verdicts.map(|r| view.apply(r.offset, &r.data, &ring).expect("replay"));
    (result, verdicts.collect())
}

/// Guards against trust in the log's answers: under any sequence of faults the record is found, it
/// is accepted exactly once, and the returned offset is that of the accepted copy.
#[test]
fn a_record_is_accepted_once() {
    let down = [Fault::Down; 100];
    let outage = [&[Fault::Down, Fault::Lost][..], &down].concat();
    let cases: [&[Fault]; 10] = [
        &[Fault::Ok],
        &[Fault::Lost],
        &[Fault::Vanished, Fault::Lost],
        &[Fault::Down, Fault::Down, Fault::Ok],
        &[Fault::Lost, Fault::Down],
        // The log is down before and after the append that takes effect, and its answer is lost.
        &outage,
        // The first attempt is appended just before its retry.
        &[Fault::Delayed, Fault::Ok],
        &[Fault::Delayed, Fault::Lost],
        // The retry is appended before the first attempt.
        &[Fault::Late, Fault::Ok],
        &[Fault::Late, Fault::Lost],
    ];
    for faults in cases {
        let (result, verdicts) = run(faults);
        let offset = result.unwrap_or_else(|e| panic!("{faults:?}: {e}"));
        let accepted = |v: &&Verdict| matches!(v, Verdict::Accepted { .. });
        let count = verdicts.iter().filter(accepted).count();
        assert_eq!(count, 1, "{faults:?}: {verdicts:?}");
        let revision = offset.revision();
        let at = &verdicts[usize::try_from(offset.0).expect("small")];
        assert_eq!(*at, Verdict::Accepted { revision }, "{faults:?}");
    }
}

/// Guards against a second copy that takes effect: the second copy of a record is a duplicate.
#[test]
fn a_record_appended_twice_takes_effect_once() {
    let (_, verdicts) = run(&[Fault::Twice]);
    assert!(
        matches!(verdicts[0], Verdict::Accepted { .. }),
        "{verdicts:?}"
    );
    assert_eq!(verdicts[1..], [Verdict::Duplicate]);
}

/// Guards against "not appended" for a record that may still be appended, and against "unknown" for
/// one that is certainly absent.
#[test]
fn a_failure_tells_if_the_record_may_be_appended() {
    let (result, _) = run(&[Fault::Down; 100]);
    assert!(
        matches!(result, Err(SubmitError::NotAppended { .. })),
        "{result:?}"
    );
    let faults = [&[Fault::Vanished][..], &[Fault::Down; 100]].concat();
    let (result, _) = run(&faults);
    assert!(
        matches!(result, Err(SubmitError::Unknown { .. })),
        "{result:?}"
    );
}
