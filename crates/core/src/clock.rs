//! Clocks and timers.
//!
//! [`SystemClock`] reads `CLOCK_BOOTTIME`, which advances while a host is suspended. With
//! `CLOCK_MONOTONIC`, a lease holder that resumes from suspension would take its expired lease for
//! valid.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, SystemTime};

use async_io::Timer;
use derive_more::{Add, Display, From, Into};
use event_listener::Event;
use futures_lite::FutureExt;
use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// Shortest period for which [`QueueClock`] sets the runtime's timer.
const TIMER_GRANULARITY: Duration = Duration::from_millis(1);

/// A monotonic timestamp of a [`Clock`], as the time since the clock's origin.
///
/// Ticks of different hosts are not comparable.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{} ms", _0.as_millis())]
pub struct Tick(pub Duration);

impl Tick {
    /// Returns the tick `span` later, or the last tick if `span` reaches beyond it. Spans from
    /// registrations and configurations can be of any length.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }

    /// Returns the time from `earlier` to this tick, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// Wall clock time in milliseconds since the Unix epoch.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Add,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

/// A future that completes at a tick.
pub type Sleep = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Source of time for all decisions and waits.
pub trait Clock: Debug + Send + Sync {
    /// The current tick.
    fn now(&self) -> Tick;

    /// The current wall clock time. It can jump, and is compared only with timestamps of other
    /// hosts.
    fn unix(&self) -> UnixMillis;

    /// Waits until `at`. Completes immediately if `at` has passed.
    fn sleep_until(&self, at: Tick) -> Sleep;

    /// Waits for `span`.
    fn sleep(&self, span: Duration) -> Sleep {
        self.sleep_until(self.now().after(span))
    }
}

/// The clock of the host.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Tick {
        // CLOCK_BOOTTIME exists on every Linux that this project supports.
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
        Tick(time.unwrap_or_default())
    }

    fn unix(&self) -> UnixMillis {
        let since = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        UnixMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }

    fn sleep_until(&self, at: Tick) -> Sleep {
        let clock = *self;
        Box::pin(async move {
            // The timer uses CLOCK_MONOTONIC, so it can fire before `at` is reached.
            while clock.now() < at {
                Timer::after(at.since(clock.now())).await;
            }
        })
    }
}

/// Wakers of sleeping tasks, ordered by the tick at which they are due.
#[derive(Debug, Default)]
struct TimerQueue {
    next: u64,
    wakers: BTreeMap<(Duration, u64), Waker>,
}

impl TimerQueue {
    fn register(&mut self, at: Tick, id: Option<u64>, waker: Waker) -> u64 {
        let id = id.unwrap_or(self.next);
        self.next = self.next.max(id + 1);
        self.wakers.insert((at.0, id), waker);
        id
    }

    fn remove(&mut self, at: Tick, id: u64) {
        self.wakers.remove(&(at.0, id));
    }

    fn earliest(&self) -> Option<Tick> {
        self.wakers.keys().next().map(|&(at, _)| Tick(at))
    }

    /// Removes and returns the wakers that are due, earliest first.
    fn take_due(&mut self, now: Tick) -> Vec<Waker> {
        let later = self.wakers.split_off(&(now.0, u64::MAX));
        let due = std::mem::replace(&mut self.wakers, later);
        due.into_values().collect()
    }
}

#[derive(Debug, Default)]
struct QueueState {
    timers: TimerQueue,
    /// The tick for which the runtime's timer is set.
    next_wakeup: Option<Tick>,
}

/// The clock of the host, with a single timer of the runtime for all sleeping tasks.
///
/// Setting a timer of the runtime costs a system call, and most timeouts of requests are set and
/// never reached. With this clock, setting a timeout is an insertion into a map. A task must run
/// [`drive`](Self::drive); otherwise no sleep completes.
#[derive(Debug, Clone, Default)]
pub struct QueueClock {
    queue: Arc<Mutex<QueueState>>,
    rearm: Arc<Event>,
}

impl QueueClock {
    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the tick at which the first sleeping task is due. Whoever waits until then calls
    /// [`wake_due`](Self::wake_due) afterwards, in place of [`drive`](Self::drive).
    pub fn next_due(&self) -> Option<Tick> {
        let mut queue = self.lock();
        queue.next_wakeup = queue.timers.earliest();
        queue.next_wakeup
    }

    /// Wakes the tasks that are due.
    pub fn wake_due(&self) {
        let due = self.lock().timers.take_due(self.now());
        for waker in due {
            waker.wake();
        }
    }

    /// Wakes sleeping tasks when they are due. Never returns.
    pub async fn drive(&self) {
        loop {
            let rearm = self.rearm.listen();
            match self.next_due() {
                None => rearm.await,
                Some(at) => {
                    // Tasks that are due within the granularity are woken together.
                    let span = at.since(self.now()).max(TIMER_GRANULARITY);
                    let timer = async {
                        Timer::after(span).await;
                    };
                    timer.or(rearm).await;
                }
            }
            self.wake_due();
        }
    }
}

impl Clock for QueueClock {
    fn now(&self) -> Tick {
        SystemClock.now()
    }

    fn unix(&self) -> UnixMillis {
        SystemClock.unix()
    }

    fn sleep_until(&self, at: Tick) -> Sleep {
        Box::pin(QueueSleep {
            clock: self.clone(),
            at,
            id: None,
        })
    }
}

struct QueueSleep {
    clock: QueueClock,
    at: Tick,
    id: Option<u64>,
}

impl Future for QueueSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.clock.now() >= self.at {
            return Poll::Ready(());
        }
        let clock = self.clock.clone();
        let mut queue = clock.lock();
        let id = queue.timers.register(self.at, self.id, cx.waker().clone());
        if queue.next_wakeup.is_none_or(|wakeup| self.at < wakeup) {
            queue.next_wakeup = Some(self.at);
            clock.rearm.notify(1);
        }
        self.id = Some(id);
        Poll::Pending
    }
}

impl Drop for QueueSleep {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.clock.lock().timers.remove(self.at, id);
        }
    }
}

#[derive(Debug, Default)]
struct ManualState {
    now: Duration,
    timers: TimerQueue,
}

/// A clock that advances only on request, for tests.
#[derive(Debug, Clone, Default)]
pub struct ManualClock {
    state: Arc<Mutex<ManualState>>,
    epoch: UnixMillis,
}

impl ManualClock {
    /// Creates a clock at tick zero whose wall clock time is `epoch`.
    pub fn new(epoch: UnixMillis) -> Self {
        Self {
            state: Arc::default(),
            epoch,
        }
    }

    fn lock(&self) -> MutexGuard<'_, ManualState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Advances the clock and wakes all tasks that are due, earliest first.
    pub fn advance(&self, span: Duration) {
        let due = {
            let mut state = self.lock();
            state.now += span;
            let now = Tick(state.now);
            state.timers.take_due(now)
        };
        for waker in due {
            waker.wake();
        }
    }

    /// Returns the earliest tick for which a task sleeps.
    pub fn next_wake(&self) -> Option<Tick> {
        self.lock().timers.earliest()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Tick {
        Tick(self.lock().now)
    }

    fn unix(&self) -> UnixMillis {
        let millis = u64::try_from(self.lock().now.as_millis()).unwrap_or(u64::MAX);
        UnixMillis(self.epoch.0 + millis)
    }

    fn sleep_until(&self, at: Tick) -> Sleep {
        Box::pin(ManualSleep {
            clock: self.clone(),
            at,
            id: None,
        })
    }
}

struct ManualSleep {
    clock: ManualClock,
    at: Tick,
    id: Option<u64>,
}

impl Future for ManualSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let clock = self.clock.clone();
        let mut state = clock.lock();
        if state.now >= self.at.0 {
            return Poll::Ready(());
        }
        let id = state.timers.register(self.at, self.id, cx.waker().clone());
        self.id = Some(id);
        Poll::Pending
    }
}

impl Drop for ManualSleep {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.clock.lock().timers.remove(self.at, id);
        }
    }
}
