//! Memory and time of the outcome memory and the admission of one upstream.

use std::time::Duration;

use trefoil_core::{Outcome, RequestId, Shard, Slots, Tick, UnixMillis};
use trefoil_dispatch::{
    Admission, Cause, Decision, Digest, Origin, OutcomeMemory, Record, Request, Status, WallClock,
};
use uuid::{NoContext, Timestamp, Uuid};

use crate::fit::{Series, time_operations};
use crate::{Error, alloc};

/// Repeats at each size.
const REPEATS: usize = 5;

/// Time of the measured operations, later than the timestamps of all ids.
const NOW: Tick = Tick(Duration::from_mins(2));

fn wall_clock() -> WallClock {
    WallClock {
        tick: Tick::default(),
        unix: UnixMillis(1_700_000_000_000),
    }
}

fn request(i: usize) -> Result<Request, Error> {
    // Each id has its own millisecond, because an id that is not newer than an evicted one counts
    // as forgotten.
    let nanos = (i % 1_000 * 1_000_000) as u32;
    let minted = Timestamp::from_unix(NoContext, 1_700_000_050 + i as u64 / 1_000, nanos);
    let id: RequestId = Uuid::new_v7(minted).to_string().parse()?;
    let until = NOW.after(Duration::from_secs(5));
    Ok(Request::new(Shard(0), until).id(id, Digest(i as u128)))
}

/// Measures and prints the outcome memory and the admission.
pub fn run() -> Result<(), Error> {
    let mut memory_bytes = Series::new("outcome memory", "bytes; n ids");
    let mut remember_times = Series::new("look up, begin and finish", "us; n ids");
    let mut admit_times = Series::new("offer, check and finish with an id", "us; n ids in memory");
    for n in [4_096, 16_384, 65_536] {
        let requests: Result<Vec<_>, Error> = (0..n).map(request).collect();
        let requests = requests?;
        let more: Result<Vec<_>, Error> = (n..n + 2_000).map(request).collect();
        let more = more?;
        let record = Record::of(Outcome::Done);
        let fill = || {
            let mut memory = OutcomeMemory::new(wall_clock());
            for request in &requests {
                memory.begin(request);
                memory.finish(NOW, request, record);
            }
            memory
        };
        let before = alloc::live_bytes();
        let memory = fill();
        memory_bytes.add(n, vec![(alloc::live_bytes() - before) as f64; 3]);
        drop(memory);
        let run = |memory: &mut OutcomeMemory| {
            for request in &more {
                std::hint::black_box(memory.look_up(NOW, request, Some(wall_clock().unix)));
                memory.begin(request);
                memory.finish(NOW, request, record);
            }
        };
        remember_times.add(n, time_operations(REPEATS, more.len(), fill, run));
        let setup = || {
            let mut admission = Admission::builder(wall_clock()).slots(Slots(4)).build()?;
            admission.assign(Tick::default(), Shard(0), Origin::New)?;
            for request in &requests {
                admit_and_finish(&mut admission, request.clone())?;
            }
            Ok::<_, Error>(admission)
        };
        let mut allocations = 0;
        let run = |admission: &mut Result<Admission, Error>| {
            let admission = admission.as_mut().expect("the admission is set up");
            let before = alloc::allocations();
            for request in &more {
                admit_and_finish(admission, request.clone()).expect("the request is admitted");
            }
            allocations = alloc::allocations() - before;
        };
        admit_times.add(n, time_operations(REPEATS, more.len(), setup, run));
        println!(
            "{n} ids: {:.1} allocations for each admitted request",
            allocations as f64 / more.len() as f64
        );
    }
    for series in [memory_bytes, remember_times, admit_times] {
        series.print();
    }
    Ok(())
}

fn admit_and_finish(admission: &mut Admission, request: Request) -> Result<(), Error> {
    match admission.offer(NOW, request) {
        Decision::Start(ticket) => {
            admission.check_write(NOW, &ticket)?;
            std::hint::black_box(admission.finish(NOW, ticket, Cause::Answered(Status(200)))?);
            Ok(())
        }
        other => Err(format!("the admission must start the request, found {other:?}").into()),
    }
}
