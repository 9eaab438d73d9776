//! Order in which an ingress tries the hosts that may be the dispatcher of an upstream.
//!
//! The view contains the assigned dispatcher of an upstream and its successors, but not which of
//! them is active. A host that is not active refuses the request, which proves that the request did
//! not run, and the ingress tries the next one. The host that answered last is tried first; hosts
//! that recently failed to answer are tried last.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smallvec::SmallVec;
use trefoil_core::{HostId, ServiceName, Tick, UpstreamName};
use trefoil_dispatch::RetryBudget;
use trefoil_log::{HostRecord, View};

/// Time for which a host that failed to answer is tried last.
const SUSPECT_PERIOD: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct State {
    answered: BTreeMap<UpstreamName, HostId>,
    suspects: BTreeMap<HostId, Tick>,
    probes: BTreeSet<HostId>,
    budgets: BTreeMap<ServiceName, RetryBudget>,
}

/// Observations of an ingress about the hosts, and the retry budgets of services.
#[derive(Debug, Default)]
pub struct Routes {
    state: Mutex<State>,
}

impl Routes {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks up the live hosts that may be the dispatcher of an upstream, in the order in which to
    /// try them.
    pub fn lookup<'a>(
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
        // The sort is stable, so hosts with equal keys stay in the order of their ranks.
        hosts.sort_by_key(|h| (suspect(&h.id), last != Some(&h.id)));
        hosts
    }

    /// Records that a host answered a request for an upstream.
    pub fn record_answer(&self, upstream: &UpstreamName, host: HostId) {
        let mut state = self.lock();
        state.suspects.remove(&host);
        if state.answered.get(upstream) != Some(&host) {
            state.answered.insert(upstream.clone(), host);
        }
    }

    /// Records that a host failed to answer.
    pub fn mark_suspect(&self, host: HostId, now: Tick) {
        let mut state = self.lock();
        state
            .suspects
            .retain(|_, at| now.since(*at) < SUSPECT_PERIOD);
        state.suspects.insert(host, now);
    }

    /// Returns true if a host recently failed to answer.
    pub fn is_suspect(&self, host: HostId, now: Tick) -> bool {
        let state = self.lock();
        state
            .suspects
            .get(&host)
            .is_some_and(|at| now.since(*at) < SUSPECT_PERIOD)
    }

    /// Records the start of a probe of a host. Returns false if another probe is outstanding.
    pub fn begin_probe(&self, host: HostId) -> bool {
        self.lock().probes.insert(host)
    }

    /// Records the result of a probe.
    pub fn end_probe(&self, host: HostId, alive: bool, now: Tick) {
        self.lock().probes.remove(&host);
        if !alive {
            self.mark_suspect(host, now);
        }
    }

    /// Adds the share of one request to the retry budget of its service.
    pub fn deposit(&self, service: &ServiceName) {
        let mut state = self.lock();
        match state.budgets.get_mut(service) {
            Some(budget) => budget.deposit(),
            None => state.budgets.entry(service.clone()).or_default().deposit(),
        }
    }

    /// Takes one retry from the budget of a service. Returns false if the budget is exhausted.
    pub fn withdraw(&self, service: &ServiceName) -> bool {
        self.lock()
            .budgets
            .get_mut(service)
            .is_some_and(RetryBudget::withdraw)
    }
}
