//! Metrics of the process in the `OpenMetrics` text format.

use std::sync::Arc;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use trefoil_core::Outcome;

/// Smallest latency bucket in seconds; buckets double from here to about 8 s.
const SMALLEST_BUCKET: f64 = 0.000_25;
const BUCKETS: u16 = 16;

/// Labels of a request at the ingress.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The service, or `-` if the request matched no declared service.
    pub service: String,
    /// The outcome that was reported to the caller.
    pub outcome: String,
}

/// Labels of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UpstreamLabels {
    /// The upstream.
    pub upstream: String,
}

/// Metrics of the process.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    /// Answered requests.
    pub requests: Family<RequestLabels, Counter>,
    /// Time from the arrival of a request's head to the head of its answer.
    pub latency: Histogram,
    /// Requests in progress at an upstream.
    pub active: Family<UpstreamLabels, Gauge>,
    /// Requests sent to an upstream.
    pub sent: Family<UpstreamLabels, Counter>,
    /// Revision of the view.
    pub revision: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("trefoil");
        let requests = Family::default();
        let latency = Histogram::new(exponential_buckets(SMALLEST_BUCKET, 2.0, BUCKETS));
        let active = Family::default();
        let sent = Family::default();
        let revision = Gauge::default();
        registry.register(
            "requests",
            "Requests answered at the ingress",
            requests.clone(),
        );
        registry.register_with_unit(
            "latency",
            "Time to the head of the answer",
            Unit::Seconds,
            latency.clone(),
        );
        registry.register("active", "Requests at an upstream", active.clone());
        registry.register("sent", "Requests sent to an upstream", sent.clone());
        registry.register("revision", "Revision of the view", revision.clone());
        Self {
            registry: Arc::new(registry),
            requests,
            latency,
            active,
            sent,
            revision,
        }
    }
}

impl Metrics {
    /// Records an answered request.
    pub fn record_answer(&self, service: &str, outcome: Outcome, span: Duration) {
        let labels = RequestLabels {
            service: service.to_owned(),
            outcome: outcome.to_string(),
        };
        self.requests.get_or_create(&labels).inc();
        self.latency.observe(span.as_secs_f64());
    }

    /// Returns the labels of an upstream.
    pub fn upstream_labels(name: &str) -> UpstreamLabels {
        UpstreamLabels {
            upstream: name.to_owned(),
        }
    }

    /// Encodes the metrics as text.
    ///
    /// # Errors
    ///
    /// Fails if a metric does not encode.
    pub fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
