//! Measurement of the load per shard at the dispatchers.
//!
//! Each [`Counter`] belongs to the driver of one upstream and has a lock of its own, so counting a
//! request never waits for the request path of another upstream. Requests are counted per
//! measurement window, and all hosts derive the windows from the wall clock: window `n` ends when
//! the clock reaches `(n + 1)` times the length of a window. A counter keeps the open window and
//! the last closed one, so queries for the last closed window always get the same counts.
//!
//! The load is not written to the log. The host that plans queries all live hosts with a control
//! message and ignores those that do not answer. For the shards of these hosts, [`Collector`]
//! substitutes the load of the previous window, because shards that seem idle would attract others.
//!
//! A request is counted when it reaches the dispatcher, even if it is shed: load that an upstream
//! cannot serve must count against it.

mod collector;

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use trefoil_core::{KeyHash, ServiceName, Shard, Tick, UnixMillis, UpstreamName};
use trefoil_placement::{HotKey, HotKeys};

pub use collector::{Collector, WindowLoad, collect, query_host};

/// Length of a measurement window. The horizon of the placement objective is tuned for this length.
pub const WINDOW: Duration = Duration::from_secs(10);

/// Delay after the end of a window before its counts are queried. It covers a skew of 1 s between
/// the wall clocks of the hosts.
pub const COLLECT_DELAY: Duration = Duration::from_secs(1);

/// Number of counters in the hot-key sketch of an upstream. The error of an estimate is at most a
/// 256th of the requests of the upstream, and its hottest keys are far above that.
const SKETCH_COUNTERS: usize = 256;

/// Maximum number of hot keys per upstream in a reply.
pub const HOT_KEYS: usize = 16;

/// Maximum number of shards in one reply, over all its upstreams. A shard and its count take at
/// most 15 bytes, so a reply stays below the frame limit of 1 MiB.
pub const SHARDS_MAX: usize = 50_000;

/// Maximum number of upstreams in one reply. The name, service and hot keys of an upstream take at
/// most 600 bytes.
pub const UPSTREAMS_MAX: usize = 400;

/// Number of a measurement window.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Window(pub u64);

impl Window {
    /// Returns the window that contains a time.
    pub fn at(time: UnixMillis, length: Duration) -> Self {
        Self(time.0 / millis(length))
    }

    /// Returns the end of the window.
    pub fn end(self, length: Duration) -> UnixMillis {
        UnixMillis((self.0 + 1).saturating_mul(millis(length)))
    }
}

fn millis(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1)
}

/// Load of one upstream in one window, as counted by its dispatcher.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its service.
    pub service: ServiceName,
    /// Number of requests of each shard that had any.
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
            hot: HotKeys::new(SKETCH_COUNTERS),
            unavailable: Duration::ZERO,
        }
    }
}

#[derive(Debug)]
struct Windows {
    open: Counts,
    closed: Option<Counts>,
    /// Time of the last call of [`Counter::record_availability`].
    checked_at: Option<Tick>,
}

impl Windows {
    /// Closes the open window if `window` is later. If the wall clock was set back, requests are
    /// counted in the open window.
    fn advance(&mut self, window: Window) -> &mut Counts {
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
    /// Creates a counter with windows of the given length.
    pub fn new(now: UnixMillis, length: Duration) -> Self {
        let windows = Windows {
            open: Counts::new(Window::at(now, length)),
            closed: None,
            checked_at: None,
        };
        Self {
            length,
            windows: Mutex::new(windows),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Windows> {
        self.windows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request for a key.
    pub fn record_request(&self, now: UnixMillis, shard: Shard, key: KeyHash) {
        let mut windows = self.lock();
        let counts = windows.advance(Window::at(now, self.length));
        let sum = counts.shards.entry(shard).or_default();
        *sum = sum.saturating_add(1);
        counts.hot.observe(key, 1);
    }

    /// Records whether the upstream was available since the last call. The state is assumed for the
    /// whole time since then, so calls must be frequent.
    pub fn record_availability(&self, now: (Tick, UnixMillis), available: bool) {
        let mut windows = self.lock();
        let since = windows.checked_at.replace(now.0);
        let counts = windows.advance(Window::at(now.1, self.length));
        if let Some(since) = since.filter(|_| !available) {
            counts.unavailable += now.0.since(since);
        }
    }

    /// Returns the load of a closed window. Returns `None` if the window is still open or ended
    /// before this counter was created. The load of a window without requests is empty.
    pub fn window_load(
        &self,
        now: UnixMillis,
        window: Window,
        names: (&UpstreamName, &ServiceName),
    ) -> Option<UpstreamLoad> {
        let mut windows = self.lock();
        windows.advance(Window::at(now, self.length));
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

/// Truncates a reply so that it fits into a frame. The shards with the fewest requests are removed
/// first.
pub fn truncate_to_frame(mut loads: Vec<UpstreamLoad>) -> Vec<UpstreamLoad> {
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
