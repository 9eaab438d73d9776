//! Request rates by key.

use std::collections::VecDeque;
use std::time::Duration;

use trefoil_core::{KEYS, Key, KeyRange, Tick};

/// Sliding window of requests by key.
#[derive(Debug)]
pub struct RequestWindow {
    window: Duration,
    requests: VecDeque<(Tick, Key)>,
}

impl RequestWindow {
    /// Creates an empty window of length `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            requests: VecDeque::new(),
        }
    }

    /// Adds requests that arrived at `now`.
    pub fn record<I>(&mut self, now: Tick, keys: I)
    where
        I: IntoIterator<Item = Key>,
    {
        self.expire(now);
        self.requests.extend(keys.into_iter().map(|key| (now, key)));
    }

    /// Drops requests older than the window.
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

/// Requests per second, by key.
///
/// A twentieth of all requests is added, spread evenly over all keys, so that keys without requests
/// have a rate as well and no range counts as free.
#[derive(Debug, Clone)]
pub struct Demand {
    keys: Vec<Key>,
    per_request: f64,
}

/// Share of the requests that is added, spread over all keys.
const BASE_SHARE: f64 = 0.05;

/// Minimum of the added rate, in requests per second.
const BASE_MIN: f64 = 1.0;

impl Demand {
    /// Number of requests counted.
    pub fn count(&self) -> usize {
        self.keys.len()
    }

    /// Rate that one counted request corresponds to.
    pub fn rate_per_request(&self) -> f64 {
        self.per_request
    }

    fn observed(&self, count: usize) -> f64 {
        f64::from(u32::try_from(count).unwrap_or(u32::MAX)) * self.per_request
    }

    /// Added rate of one key.
    fn base_rate(&self) -> f64 {
        (BASE_SHARE * self.observed(self.keys.len())).max(BASE_MIN) / f64::from(KEYS)
    }

    /// Requests per second for all keys.
    pub fn total(&self) -> f64 {
        self.rate(KeyRange::ALL)
    }

    /// Requests per second for a range.
    pub fn rate(&self, range: KeyRange) -> f64 {
        let from = self.keys.partition_point(|k| *k < range.first());
        let to = self.keys.partition_point(|k| *k <= range.last());
        self.observed(to - from) + self.base_rate() * f64::from(range.len())
    }

    /// The shortest prefix of `range` whose rate is at least `rate`, or all of it.
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

    /// The shortest suffix of `range` whose rate is at least `rate`, or all of it.
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
