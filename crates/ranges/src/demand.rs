//! Which keys are asked for.

use std::collections::VecDeque;
use std::time::Duration;

use trefoil_core::{KEYS, Key, KeyRange, Tick};

/// Requests of the last seconds, by key.
#[derive(Debug)]
pub struct RequestWindow {
    window: Duration,
    requests: VecDeque<(Tick, Key)>,
}

impl RequestWindow {
    /// A trace of the last `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            requests: VecDeque::new(),
        }
    }

    /// Adds requests.
    pub fn record<I>(&mut self, now: Tick, keys: I)
    where
        I: IntoIterator<Item = Key>,
    {
        self.requests.extend(keys.into_iter().map(|key| (now, key)));
    }

    /// Forgets what is older than the window.
    pub fn expire(&mut self, now: Tick) {
        while let Some((at, _)) = self.requests.front()
            && now.since(*at) > self.window
        {
            self.requests.pop_front();
        }
    }

    /// Counts the requests of the last `span`, which is at most the window.
    pub fn demand(&self, now: Tick, span: Duration) -> Demand {
        let recent = self.requests.iter().rev();
        let recent = recent.take_while(|(at, _)| now.since(*at) <= span);
        let mut keys: Vec<Key> = recent.map(|(_, key)| *key).collect();
        keys.sort_unstable();
        Demand {
            keys,
            per_request: span.as_secs_f64().recip(),
        }
    }
}

/// Requests a second, by key.
///
/// Keys that were not asked for count as well, with a twentieth of the requests spread over all
/// keys, so that a range is never free.
#[derive(Debug, Clone)]
pub struct Demand {
    keys: Vec<Key>,
    per_request: f64,
}

/// Share of the requests that is spread over all keys.
const BASE: f64 = 0.05;

/// Least rate that is spread over all keys, in requests a second.
const BASE_MIN: f64 = 1.0;

impl Demand {
    /// Requests that were seen.
    pub fn count(&self) -> usize {
        self.keys.len()
    }

    /// Rate that one request of the window stands for.
    pub fn rate_per_request(&self) -> f64 {
        self.per_request
    }

    fn seen(&self, count: usize) -> f64 {
        f64::from(u32::try_from(count).unwrap_or(u32::MAX)) * self.per_request
    }

    /// Rate that is spread over all keys, for one key.
    fn base(&self) -> f64 {
        (BASE * self.seen(self.keys.len())).max(BASE_MIN) / f64::from(KEYS)
    }

    /// Requests a second for all keys.
    pub fn total(&self) -> f64 {
        self.rate(KeyRange::ALL)
    }

    /// Requests a second for a range.
    pub fn rate(&self, range: KeyRange) -> f64 {
        let from = self.keys.partition_point(|k| *k < range.first());
        let to = self.keys.partition_point(|k| *k <= range.last());
        self.seen(to - from) + self.base() * f64::from(range.len())
    }

    /// The shortest part at the start of `range` whose rate is at least `rate`, or all of it.
    pub fn prefix(&self, range: KeyRange, rate: f64) -> KeyRange {
        let (mut low, mut high) = (range.first().0, range.last().0);
        let part = |last: u16| KeyRange::new(range.first(), Key(last)).unwrap_or(range);
        while low < high {
            let middle = low + (high - low) / 2;
            if self.rate(part(middle)) >= rate {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        part(low)
    }

    /// The shortest part at the end of `range` whose rate is at least `rate`, or all of it.
    pub fn suffix(&self, range: KeyRange, rate: f64) -> KeyRange {
        let (mut low, mut high) = (range.first().0, range.last().0);
        let part = |first: u16| KeyRange::new(Key(first), range.last()).unwrap_or(range);
        while low < high {
            let middle = high - (high - low) / 2;
            if self.rate(part(middle)) >= rate {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        part(low)
    }
}
