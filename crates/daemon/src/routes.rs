//! Which host an ingress tries first.
//!
//! The log names the dispatcher of an upstream and its successors. Which of them acts at the moment
//! is not in the log; a host that does not act says so, which is proof that the request did not
//! run, and the next one is tried. The host that answered last is tried first, and hosts that do
//! not answer are tried last.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smallvec::SmallVec;
use trefoil_core::{HostId, ServiceName, Tick, UpstreamName};
use trefoil_dispatch::RetryBudget;
use trefoil_log::{HostRecord, View};

/// Time for which a host that did not answer is tried last.
const SUSPECT_PERIOD: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct State {
    answered: BTreeMap<UpstreamName, HostId>,
    suspects: BTreeMap<HostId, Tick>,
    probes: BTreeSet<HostId>,
    budgets: BTreeMap<ServiceName, RetryBudget>,
}

/// What an ingress has learnt of the hosts.
#[derive(Debug, Default)]
pub struct Routes {
    state: Mutex<State>,
}

impl Routes {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The live hosts that may be the dispatcher of an upstream, in the order to try them.
    pub fn candidates<'a>(
        &self,
        view: &'a View,
        upstream: &UpstreamName,
        now: Tick,
    ) -> SmallVec<[&'a HostRecord; 4]> {
        let Some(assignment) = view.records.assignment(upstream) else {
            return SmallVec::new();
        };
        let state = self.lock();
        let assigned = assignment.hosts.iter().chain(&assignment.prior);
        let mut hosts = SmallVec::<[&HostRecord; 4]>::new();
        for host in assigned.filter_map(|h| view.hosts.get(h)) {
            if !hosts.iter().any(|h| h.id == host.id) {
                hosts.push(host);
            }
        }
        let last = state.answered.get(upstream);
        let suspect = |id| {
            state
                .suspects
                .get(id)
                .is_some_and(|at| now.since(*at) < SUSPECT_PERIOD)
        };
        // The sort is stable, so hosts that are alike stay in the order of their ranks.
        hosts.sort_by_key(|h| (suspect(&h.id), last != Some(&h.id)));
        hosts
    }

    /// Notes that a host answered for an upstream.
    pub fn record_answer(&self, upstream: &UpstreamName, host: HostId) {
        let mut state = self.lock();
        state.suspects.remove(&host);
        if state.answered.get(upstream) != Some(&host) {
            state.answered.insert(upstream.clone(), host);
        }
    }

    /// Notes that a host does not answer.
    pub fn mark_suspect(&self, host: HostId, now: Tick) {
        let mut state = self.lock();
        state
            .suspects
            .retain(|_, at| now.since(*at) < SUSPECT_PERIOD);
        state.suspects.insert(host, now);
    }

    /// Whether a host did not answer of late.
    pub fn is_suspect(&self, host: HostId, now: Tick) -> bool {
        let state = self.lock();
        state
            .suspects
            .get(&host)
            .is_some_and(|at| now.since(*at) < SUSPECT_PERIOD)
    }

    /// Notes that a host is being asked whether it is alive. Returns false if it is asked already.
    pub fn begin_probe(&self, host: HostId) -> bool {
        self.lock().probes.insert(host)
    }

    /// Notes whether a host has answered that question.
    pub fn end_probe(&self, host: HostId, alive: bool, now: Tick) {
        self.lock().probes.remove(&host);
        if !alive {
            self.mark_suspect(host, now);
        }
    }

    /// Counts a request towards the retry budget of its service.
    pub fn deposit(&self, service: &ServiceName) {
        let mut state = self.lock();
        match state.budgets.get_mut(service) {
            Some(budget) => budget.deposit(),
            None => state.budgets.entry(service.clone()).or_default().deposit(),
        }
    }

    /// Takes a retry from the budget of a service, if one is left.
    pub fn withdraw(&self, service: &ServiceName) -> bool {
        self.lock()
            .budgets
            .get_mut(service)
            .is_some_and(RetryBudget::withdraw)
    }
}
