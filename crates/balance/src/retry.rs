//! Retry budget, shared by all hosts.

use std::collections::VecDeque;
use std::time::Duration;

use trefoil_core::Tick;

/// Share of the bound that is used. The rest covers hosts that have just joined and are not known
/// to all others yet, and windows that are not aligned between hosts.
const USED_SHARE: f64 = 0.7;

/// Bounds the retries that this host sends to the upstreams of one service.
///
/// All hosts together may retry a share of the requests of a window, and a fixed number on top.
/// Each host uses that share of its own requests and an equal part of the fixed number, so the sum
/// stays within the bound for any distribution of requests over hosts.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    fixed: f64,
    window: Duration,
    requests: VecDeque<Tick>,
    retries: VecDeque<Tick>,
    /// Those of `retries` that follow a failed response.
    after_failure: VecDeque<Tick>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` times the requests of a `window`, plus `fixed`, for all hosts
    /// together.
    pub fn new(ratio: f64, fixed: f64, window: Duration) -> Self {
        Self {
            ratio,
            fixed,
            window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            after_failure: VecDeque::new(),
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn record_request(&mut self, now: Tick) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Number of retries that this host may still send in the current window, if there are `hosts`
    /// hosts.
    pub fn remaining(&mut self, now: Tick, hosts: u32) -> f64 {
        self.expire(now);
        let count = |ticks: &VecDeque<Tick>| u32::try_from(ticks.len()).unwrap_or(u32::MAX);
        let requests = f64::from(count(&self.requests));
        let most = USED_SHARE * (self.ratio * requests + self.fixed / f64::from(hosts.max(1)));
        most - f64::from(count(&self.retries))
    }

    /// Number of retries after a failed response that this host may still send. Such retries leave
    /// half of the budget to requests whose response was lost, which have no response at all.
    pub fn remaining_after_failure(&mut self, now: Tick, hosts: u32) -> f64 {
        let left = self.remaining(now, hosts);
        let spent = u32::try_from(self.after_failure.len()).unwrap_or(u32::MAX);
        f64::midpoint(left, f64::from(spent)) - f64::from(spent)
    }

    /// Takes one retry after a failed response from the budget.
    pub fn spend_after_failure(&mut self, now: Tick) {
        self.after_failure.push_back(now);
        self.spend(now);
    }

    /// Takes one retry from the budget, of which at least one must be
    /// [`remaining`](Self::remaining).
    pub fn spend(&mut self, now: Tick) {
        self.retries.push_back(now);
    }

    fn expire(&mut self, now: Tick) {
        for ticks in [
            &mut self.requests,
            &mut self.retries,
            &mut self.after_failure,
        ] {
            while ticks.front().is_some_and(|at| now.since(*at) > self.window) {
                ticks.pop_front();
            }
        }
    }
}
