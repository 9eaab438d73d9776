//! The daemon's tailer and catch-up, in simulated time.

mod catchup;
mod reader;

use std::sync::Arc;
use std::time::Duration;

use slog::{Discard, Logger, o};
use smol::Executor;
use trefoil_core::{Clock, ManualClock, Offset, Revision, UnixMillis};
use trefoil_daemon::{Shared, tailer};
use trefoil_log::{Body, FORMAT, HostRecord, Log, MemoryLog, TopicLog, View};
use trefoil_standin::{FaultyStore, StoreFault};

use super::script::host;
use super::{Keys, envelope, routing, signed};

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(20);

/// Maximum number of steps for a state that a test expects.
const STEPS_MAX: usize = 5_000;

/// Hosts without ports that share one log and one clock.
struct Simulation {
    executor: Executor<'static>,
    clock: Arc<ManualClock>,
    /// The log itself, without faults.
    log: MemoryLog,
    /// The log that the hosts read, with faults.
    visible_log: TopicLog,
    faults: Arc<FaultyStore>,
    keys: Keys,
    sequence: u128,
}

impl Simulation {
    fn new() -> Self {
        let clock = Arc::new(ManualClock::new(UnixMillis(1_000)));
        let log = MemoryLog::new(Arc::<ManualClock>::clone(&clock), 10_000);
        let store = Arc::new(log.store().clone());
        let faults = Arc::new(FaultyStore::new(store, Arc::<ManualClock>::clone(&clock)));
        let visible_log = TopicLog::new(Arc::<FaultyStore>::clone(&faults));
        Self {
            executor: Executor::new(),
            clock,
            log,
            visible_log,
            faults,
            keys: Keys::new(),
            sequence: 100,
        }
    }

    /// Creates a host without tasks.
    fn create_host(&self, number: u16) -> Arc<Shared> {
        Arc::new(Shared::new(
            record(number),
            Arc::<ManualClock>::clone(&self.clock),
            Arc::new(self.visible_log.clone()),
            Logger::root(Discard, o!()),
            self.keys.host_signer(),
        ))
    }

    /// Creates a host that tails the log.
    fn start_reader(&self, number: u16) -> Arc<Shared> {
        let shared = self.create_host(number);
        let run = tailer::run(Arc::clone(&shared), self.keys.ring());
        self.executor.spawn(run).detach();
        shared
    }

    fn append(&self, data: bytes::Bytes) -> Offset {
        smol::block_on(self.log.append(data)).expect("the log takes it")
    }

    /// Appends a record of an operator or of a host outside the simulation.
    fn write(&mut self, body: Body) -> Offset {
        self.sequence += 1;
        let operator = matches!(body, Body::Config(_) | Body::FormatLevel { .. });
        let record = envelope(self.sequence, 1, body);
        let key = if operator {
            &self.keys.operator
        } else {
            &self.keys.host
        };
        let data = signed(&record, key);
        self.append(data)
    }

    fn publish(&mut self, base: u64) -> u64 {
        let resource = routing("r", "u", 1, base);
        self.write(Body::Config(Box::new(resource))).revision().0
    }

    /// Returns the view of a host that has replayed the whole log.
    fn replayed(&self) -> View {
        let (mut view, ring) = (View::default(), self.keys.ring());
        let read = self.log.read(Offset(0), 10_000, Duration::ZERO);
        for record in smol::block_on(read).expect("a batch").records {
            view.apply(record.offset, &record.data, &ring)
                .expect("replay");
        }
        view
    }

    /// Advances time until `done` returns true. Returns false if it does not within [`STEPS_MAX`].
    fn run_until<F>(&self, done: F) -> bool
    where
        F: Fn() -> bool,
    {
        smol::block_on(self.executor.run(async {
            for _ in 0..STEPS_MAX {
                if done() {
                    return true;
                }
                // Tasks on other threads need real time as well.
                smol::Timer::after(Duration::from_micros(200)).await;
                self.clock.advance(STEP);
            }
            done()
        }))
    }

    /// Advances time by `span`.
    fn advance(&self, span: Duration) {
        let until = self.clock.now().after(span);
        assert!(self.run_until(|| self.clock.now() >= until));
    }

    fn set_fault(&self, fault: StoreFault) {
        self.faults.set_fault(fault);
    }
}

fn record(number: u16) -> HostRecord {
    host(number, number, FORMAT)
}

fn revision(shared: &Shared) -> Revision {
    shared.view().revision
}
