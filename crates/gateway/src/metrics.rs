//! Metrics of the host, in the `OpenMetrics` text format.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// Smallest latency bucket in seconds; buckets double from here to about 8 s.
const SMALLEST_BUCKET: f64 = 0.004;
const BUCKETS: u16 = 12;

/// Labels of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The service.
    pub service: String,
    /// Why the request ended as it did.
    pub cause: &'static str,
}

/// Labels of a call of the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// The call.
    pub call: &'static str,
    /// What became of it.
    pub result: &'static str,
}

/// Labels of an order to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrderLabels {
    /// The order.
    pub order: &'static str,
    /// What became of it.
    pub result: &'static str,
}

/// Metrics of the host.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that were answered, by service and cause.
    pub requests: Family<RequestLabels, Counter>,
    /// Time from the arrival of a request to its answer.
    pub latency: Histogram,
    /// Time from the arrival of a request to its first sending.
    pub queued: Histogram,
    /// Requests that were sent again.
    pub repeats: Counter,
    /// Calls of the store.
    pub calls: Family<CallLabels, Counter>,
    /// Orders to upstreams.
    pub orders: Family<OrderLabels, Counter>,
    /// Version of the configuration.
    pub version: Gauge,
    /// Upstreams in the directory.
    pub upstreams: Gauge,
    /// Live hosts, this one included.
    pub hosts: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("trefoil");
        let histogram = || Histogram::new(exponential_buckets(SMALLEST_BUCKET, 2.0, BUCKETS));
        let metrics = Self {
            registry: Registry::default(),
            requests: Family::default(),
            latency: histogram(),
            queued: histogram(),
            repeats: Counter::default(),
            calls: Family::default(),
            orders: Family::default(),
            version: Gauge::default(),
            upstreams: Gauge::default(),
            hosts: Gauge::default(),
        };
        registry.register("requests", "Requests answered", metrics.requests.clone());
        registry.register_with_unit(
            "latency",
            "Time from the arrival of a request to its answer",
            Unit::Seconds,
            metrics.latency.clone(),
        );
        registry.register_with_unit(
            "queued",
            "Time from the arrival of a request to its first sending",
            Unit::Seconds,
            metrics.queued.clone(),
        );
        registry.register("repeats", "Requests sent again", metrics.repeats.clone());
        registry.register("store_calls", "Calls of the store", metrics.calls.clone());
        registry.register("orders", "Orders to upstreams", metrics.orders.clone());
        registry.register(
            "config_version",
            "Version of the configuration in force",
            metrics.version.clone(),
        );
        registry.register(
            "upstreams",
            "Upstreams in the directory",
            metrics.upstreams.clone(),
        );
        registry.register(
            "hosts",
            "Live hosts, this one included",
            metrics.hosts.clone(),
        );
        Self {
            registry,
            ..metrics
        }
    }
}

impl Metrics {
    /// Counts an answered request.
    pub fn answered(&self, service: &str, cause: &'static str, span: Duration) {
        let labels = RequestLabels {
            service: service.to_owned(),
            cause,
        };
        self.requests.get_or_create(&labels).inc();
        self.latency.observe(span.as_secs_f64());
    }

    /// Counts a call of the store.
    pub fn called(&self, call: &'static str, result: &'static str) {
        self.calls.get_or_create(&CallLabels { call, result }).inc();
    }

    /// Counts an order to an upstream.
    pub fn ordered(&self, order: &'static str, result: &'static str) {
        let labels = OrderLabels { order, result };
        self.orders.get_or_create(&labels).inc();
    }

    /// The metrics as text.
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
