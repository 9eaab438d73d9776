//! Metrics of requests that wait for room at an upstream.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use trefoil_balance::Refusal;
use trefoil_core::ServiceName;
use trefoil_route::Priority;

use super::Builder;

/// Labels of a class of requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    /// The service.
    service: String,
    /// Priority of the routes.
    priority: u8,
}

/// Labels of a class with a result.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassResultLabels {
    /// The service.
    service: String,
    /// Priority of the routes.
    priority: u8,
    /// Result or reason.
    result: String,
}

/// Metrics of requests that wait for room at an upstream.
#[derive(Debug)]
pub(crate) struct AdmissionMetrics {
    waiting: Family<ClassLabels, Gauge>,
    waited: Family<ClassResultLabels, Counter>,
    refused: Family<ClassResultLabels, Counter>,
    overtaken: Family<ClassLabels, Counter>,
}

fn class(service: &ServiceName, priority: Priority) -> ClassLabels {
    ClassLabels {
        service: service.as_str().to_owned(),
        priority: priority.0,
    }
}

fn result(service: &ServiceName, priority: Priority, result: String) -> ClassResultLabels {
    ClassResultLabels {
        service: service.as_str().to_owned(),
        priority: priority.0,
        result,
    }
}

impl AdmissionMetrics {
    pub(super) fn new(b: &mut Builder) -> Self {
        Self {
            waiting: b.add(
                "waiting_requests",
                "Requests that wait for room at an upstream",
                Family::default(),
            ),
            waited: b.add(
                "waited_requests",
                "Requests that have waited for room, by result",
                Family::default(),
            ),
            refused: b.add(
                "refused_waits",
                "Requests that found no room and did not wait any longer, by reason",
                Family::default(),
            ),
            overtaken: b.add(
                "overtaken_requests",
                "Waiting requests that a later one has overtaken",
                Family::default(),
            ),
        }
    }

    /// Sets the number of waiting requests of a class. The counters of the class begin at zero.
    pub(crate) fn set_waiting(&self, service: &ServiceName, priority: Priority, count: u32) {
        let labels = class(service, priority);
        self.waiting.get_or_create(&labels).set(count.into());
        self.overtaken.get_or_create(&labels).inc_by(0);
        let waited = result(service, priority, "sent".to_owned());
        self.waited.get_or_create(&waited).inc_by(0);
        let refused = result(service, priority, Refusal::Late.to_string());
        self.refused.get_or_create(&refused).inc_by(0);
    }

    /// Counts the end of a wait.
    pub(crate) fn record_waited(&self, service: &ServiceName, priority: Priority, by: &str) {
        let labels = result(service, priority, by.to_owned());
        self.waited.get_or_create(&labels).inc();
    }

    /// Counts a refusal.
    pub(crate) fn record_refused(
        &self,
        service: &ServiceName,
        priority: Priority,
        reason: Refusal,
    ) {
        let labels = result(service, priority, reason.to_string());
        self.refused.get_or_create(&labels).inc();
    }

    /// Counts a waiting request that a later one has overtaken.
    pub(crate) fn record_overtaken(&self, service: &ServiceName, priority: Priority) {
        self.overtaken
            .get_or_create(&class(service, priority))
            .inc();
    }
}
