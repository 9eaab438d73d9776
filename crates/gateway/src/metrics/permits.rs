//! Metrics of upstreams that warm up.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

use super::Builder;

/// Labels of permits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PermitLabels {
    /// `asked`, `issued`, `refused` or `expired`.
    step: &'static str,
    /// The reason, if the step has any.
    reason: String,
}

/// Metrics of permits for requests to cold upstreams.
#[derive(Debug)]
pub(crate) struct PermitMetrics {
    /// Upstreams that get requests with permits only.
    pub(crate) cold: Gauge,
    permits: Family<PermitLabels, Counter>,
}

impl PermitMetrics {
    pub(super) fn new(b: &mut Builder) -> Self {
        let metrics = Self {
            cold: b.add(
                "cold_upstreams",
                "Upstreams that warm up within a limit",
                Gauge::default(),
            ),
            permits: b.add(
                "permits",
                "Permits for requests to upstreams that warm up",
                Family::default(),
            ),
        };
        // A family is served once it has a sample.
        let labels = PermitLabels {
            step: "issued",
            reason: String::new(),
        };
        metrics.permits.get_or_create(&labels).inc_by(0);
        metrics
    }

    /// Counts a step of a permit.
    pub(crate) fn record(&self, step: &'static str, reason: &str) {
        let reason = reason.to_owned();
        let labels = PermitLabels { step, reason };
        self.permits.get_or_create(&labels).inc();
    }
}
