//! Metrics of the health of upstreams.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use trefoil_core::ServiceName;

use super::{Builder, Metrics, ServiceLabels, per_service};

/// Metrics of the health of upstreams.
#[derive(Debug)]
pub(crate) struct HealthMetrics {
    ejected: Family<ServiceLabels, Gauge>,
    ejections: Family<ServiceLabels, Counter>,
    probes: Family<ServiceLabels, Counter>,
}

impl HealthMetrics {
    pub(super) fn new(b: &mut Builder) -> Self {
        Self {
            ejected: b.add("ejected_upstreams", "Ejected upstreams", Family::default()),
            ejections: b.add("ejections", "Ejections of upstreams", Family::default()),
            probes: b.add("probes", "Requests to ejected upstreams", Family::default()),
        }
    }

    /// Counts an ejection.
    pub(crate) fn record_ejection(&self, service: &ServiceName) {
        self.ejections.get_or_create(&per_service(service)).inc();
    }

    /// Counts a probe of an ejected upstream.
    pub(crate) fn record_probe(&self, service: &ServiceName) {
        self.probes.get_or_create(&per_service(service)).inc();
    }

    /// Sets the number of ejected upstreams, and lets the counters of a service begin at 0.
    pub(crate) fn set_ejected(&self, service: &ServiceName, count: usize) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        Metrics::set_gauge(&self.ejected, service, count);
        self.ejections
            .get_or_create(&per_service(service))
            .inc_by(0);
        self.probes.get_or_create(&per_service(service)).inc_by(0);
    }
}
