//! Gauges of the host's state.

use std::collections::BTreeMap;

use trefoil_core::{ServiceName, Tick};

use super::Host;
use crate::metrics::Metrics;

impl Host {
    /// Updates the gauges that are computed only when the metrics are read.
    pub fn update_gauges(&self) {
        let now = self.now();
        let age = |since| now.since(since).as_secs_f64();
        let m = &self.metrics;
        m.ready.set(self.is_ready().into());
        m.config_age.set(age(self.config_changed.get()));
        let known_age = |at: Option<Tick>| age(at.unwrap_or(self.started));
        m.config_staleness
            .set(known_age(self.config_freshness.as_of()));
        m.directory_age
            .set(known_age(self.directory_freshness.as_of()));
        if self.has_evacuations() {
            let gauge = &m.evacuation.age;
            gauge.set(known_age(self.config_freshness.as_of()));
        }
        m.store_age.set(known_age(self.store_seen.get()));
        let limited = self.limits.borrow().count();
        m.limited.set(i64::try_from(limited).unwrap_or(i64::MAX));
        let cold = self.cold_upstreams(now);
        m.permits.cold.set(i64::try_from(cold).unwrap_or(i64::MAX));
        m.connections
            .set(i64::try_from(self.connections.get()).unwrap_or(i64::MAX));
        for (kind, share) in self.memory.kinds() {
            m.memory.set(kind, share);
        }
        m.terms
            .set(i64::try_from(self.terms.borrow().len()).unwrap_or(i64::MAX));
        let hosts = self.peers.borrow().all_hosts(now);
        for (service, budget) in self.budgets.borrow_mut().iter_mut() {
            #[expect(
                clippy::cast_possible_truncation,
                reason = "a budget is far below the range of the type"
            )]
            let left = budget.remaining(now, hosts) as i64;
            Metrics::set_gauge(&m.budget, service, left);
        }
        self.update_open_gauges();
        let waiting = self.waiting.counts();
        for class in self.waiting.all_classes(self) {
            let count = waiting.get(&class).copied().unwrap_or_default();
            m.admission.set_waiting(&class.0, class.1, count);
        }
    }

    fn update_open_gauges(&self) {
        let directory = self.directory.borrow();
        let mut open: BTreeMap<&ServiceName, i64> = BTreeMap::new();
        for (id, load) in self.balancer.borrow().loads() {
            if let Some(upstream) = directory.by_id(id) {
                *open.entry(&upstream.registration.service).or_default() +=
                    i64::from(load.own_open());
            }
        }
        let router = self.router();
        let services = router.iter().flat_map(|router| router.services());
        let balancer = self.balancer.borrow();
        for (service, _) in services {
            self.metrics
                .health
                .set_ejected(service, balancer.ejected_count(service));
            let count = open.get(service).copied().unwrap_or_default();
            Metrics::set_gauge(&self.metrics.open, service, count);
        }
    }
}
