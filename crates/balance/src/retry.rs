//! Budget of repeats, shared by all hosts.

use std::collections::VecDeque;
use std::time::Duration;

use trefoil_core::Tick;

/// Share of the bound that is used. The rest covers hosts that have just joined and are not known
/// to all others, and windows that do not coincide.
const USED: f64 = 0.7;

/// Repeats that this host may send to the upstreams of one service.
///
/// All hosts together may repeat a share of the requests of a window, and a fixed number on top. A
/// host uses the share of its own requests and its part of the fixed number, so that the sum stays
/// within the bound however the requests are spread over the hosts.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    fixed: f64,
    window: Duration,
    requests: VecDeque<Tick>,
    repeats: VecDeque<Tick>,
}

impl RetryBudget {
    /// A budget of `ratio` of the requests of a `window` and `fixed` on top, for all hosts.
    pub fn new(ratio: f64, fixed: f64, window: Duration) -> Self {
        Self {
            ratio,
            fixed,
            window,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn record_request(&mut self, now: Tick) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Repeats that this host may still send in the present window; `hosts` is the number of hosts.
    pub fn remaining(&mut self, now: Tick, hosts: u32) -> f64 {
        self.forget(now);
        let count = |ticks: &VecDeque<Tick>| u32::try_from(ticks.len()).unwrap_or(u32::MAX);
        let requests = f64::from(count(&self.requests));
        let most = USED * (self.ratio * requests + self.fixed / f64::from(hosts.max(1)));
        most - f64::from(count(&self.repeats))
    }

    /// Takes a repeat out of the budget. At least one must be [`remaining`](Self::remaining).
    pub fn spend(&mut self, now: Tick) {
        self.repeats.push_back(now);
    }

    fn forget(&mut self, now: Tick) {
        for ticks in [&mut self.requests, &mut self.repeats] {
            while ticks.front().is_some_and(|at| now.since(*at) > self.window) {
                ticks.pop_front();
            }
        }
    }
}
