//! Load of the shards, as the dispatchers count it.
//!
//! Each [`Counter`] belongs to one upstream's driver and has a lock of its own, so counting a
//! request never waits for the request path of another upstream. It counts in measure windows that
//! all hosts derive from the wall clock: window `n` ends when the clock reaches `(n + 1)` times the
//! window's length. A counter keeps the window that is open and the one before it, so any host can
//! ask for the last closed window and gets the same answer each time.
//!
//! Nothing of this goes through the log. The host that plans asks all live hosts by a control
//! message and leaves out those that do not answer; [`Collector`] fills their shards with the load
//! of the window before, because a shard that looks idle would attract other shards.
//!
//! A request counts when it reaches the dispatcher, also if it is shed: load that an upstream
//! could not serve has to count against it.

mod collector;

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use trefoil_core::{KeyHash, ServiceName, Shard, Tick, UnixMillis, UpstreamName};
use trefoil_placement::{HotKey, HotKeys};

pub use collector::{Closed, Collector, ask, collect};

/// Length of a measure window, the one that the objective's horizon is tuned for.
pub const WINDOW: Duration = Duration::from_secs(10);

/// Time after the end of a window before its counts are asked for. It covers a difference of the
/// hosts' wall clocks of 1 s.
pub const GRACE: Duration = Duration::from_secs(1);

/// Counters of each upstream's sketch. An estimate is wrong by at most a 256th of the upstream's
/// requests, and the hottest keys of an upstream exceed that many times over.
const SKETCH: usize = 256;

/// Hot keys of each upstream in a reply.
pub const HOT_KEYS: usize = 16;

/// Shards in one reply, over all its upstreams. A shard and its count take at most 15 bytes, so a
/// reply stays below the frame limit of 1 MiB.
pub const SHARDS_MAX: usize = 50_000;

/// Upstreams in one reply. With name, service and hot keys one takes at most 600 bytes.
pub const UPSTREAMS_MAX: usize = 400;

/// Number of a measure window.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Window(pub u64);

impl Window {
    /// The window that contains a time.
    pub fn at(time: UnixMillis, length: Duration) -> Self {
        Self(time.0 / millis(length))
    }

    /// When the window ends.
    pub fn end(self, length: Duration) -> UnixMillis {
        UnixMillis((self.0 + 1).saturating_mul(millis(length)))
    }
}

fn millis(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1)
}

/// What a dispatcher counted for its upstream in one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its service.
    pub service: ServiceName,
    /// Requests of each shard that had any.
    pub shards: Vec<(Shard, u32)>,
    /// The hottest keys.
    pub hot: Vec<HotKey>,
    /// Milliseconds in which the upstream owned shards and admitted no request.
    pub unavailable: u32,
}

#[derive(Debug)]
struct Counts {
    window: Window,
    shards: BTreeMap<Shard, u32>,
    hot: HotKeys,
    unavailable: Duration,
}

impl Counts {
    fn new(window: Window) -> Self {
        Self {
            window,
            shards: BTreeMap::new(),
            hot: HotKeys::new(SKETCH),
            unavailable: Duration::ZERO,
        }
    }
}

#[derive(Debug)]
struct Windows {
    open: Counts,
    closed: Option<Counts>,
    /// Last time at which [`Counter::available`] was told the state.
    checked: Option<Tick>,
}

impl Windows {
    /// Closes the open window if `window` is a later one. A clock that was set back counts into the
    /// open window.
    fn roll(&mut self, window: Window) -> &mut Counts {
        if window > self.open.window {
            let closed = std::mem::replace(&mut self.open, Counts::new(window));
            self.closed = Some(closed);
        }
        &mut self.open
    }
}

/// Counts the load of one upstream.
#[derive(Debug)]
pub struct Counter {
    length: Duration,
    windows: Mutex<Windows>,
}

impl Counter {
    /// A counter with windows of the given length.
    pub fn new(now: UnixMillis, length: Duration) -> Self {
        let windows = Windows {
            open: Counts::new(Window::at(now, length)),
            closed: None,
            checked: None,
        };
        Self {
            length,
            windows: Mutex::new(windows),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Windows> {
        self.windows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request.
    pub fn count(&self, now: UnixMillis, shard: Shard, key: KeyHash) {
        let mut windows = self.lock();
        let counts = windows.roll(Window::at(now, self.length));
        let sum = counts.shards.entry(shard).or_default();
        *sum = sum.saturating_add(1);
        counts.hot.observe(key, 1);
    }

    /// Notes whether the upstream was available since the last call. The state is taken to have
    /// held for the whole time, so calls must be frequent.
    pub fn available(&self, now: (Tick, UnixMillis), available: bool) {
        let mut windows = self.lock();
        let since = windows.checked.replace(now.0);
        let counts = windows.roll(Window::at(now.1, self.length));
        if let Some(since) = since.filter(|_| !available) {
            counts.unavailable += now.0.since(since);
        }
    }

    /// What was counted in a closed window, and nothing if the window is still open or this counter
    /// did not exist then. A window without requests gives empty counts.
    pub fn closed(
        &self,
        now: UnixMillis,
        window: Window,
        names: (&UpstreamName, &ServiceName),
    ) -> Option<UpstreamLoad> {
        let mut windows = self.lock();
        windows.roll(Window::at(now, self.length));
        let is_open = windows.open.window <= window;
        let closed = windows.closed.as_ref().filter(|_| !is_open);
        let counts = closed.filter(|c| c.window <= window)?;
        let mut load = UpstreamLoad {
            upstream: names.0.clone(),
            service: names.1.clone(),
            shards: Vec::new(),
            hot: Vec::new(),
            unavailable: 0,
        };
        if counts.window == window {
            load.shards = counts.shards.iter().map(|(&s, &n)| (s, n)).collect();
            load.hot = counts.hot.top(HOT_KEYS);
            load.unavailable = u32::try_from(counts.unavailable.as_millis()).unwrap_or(u32::MAX);
        }
        Some(load)
    }
}

/// Cuts a reply so that it fits a frame. The shards with the fewest requests are left out first.
pub fn bounded(mut loads: Vec<UpstreamLoad>) -> Vec<UpstreamLoad> {
    loads.truncate(UPSTREAMS_MAX);
    let each = SHARDS_MAX / loads.len().max(1);
    for load in &mut loads {
        if load.shards.len() > each {
            load.shards.sort_by_key(|&(s, n)| (std::cmp::Reverse(n), s));
            load.shards.truncate(each);
        }
        load.hot.truncate(HOT_KEYS);
    }
    loads
}
