//! Metrics of the host in the `OpenMetrics` text format.
//!
//! docs/OPERATIONS.md lists every metric; a test compares that list with the registry.

mod admission;
mod evacuation;
mod health;
mod links;
mod memory;
mod permits;
mod streams;

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry, Unit};
use trefoil_core::ServiceName;

use crate::cause::{Cause, Ending};
use crate::freshness::Source;
use evacuation::EvacuationMetrics;
use links::LinkMetrics;
use memory::MemoryMetrics;
use permits::PermitMetrics;

use admission::AdmissionMetrics;
use health::HealthMetrics;
pub(crate) use streams::StreamMetrics;

/// Smallest latency bucket in seconds; buckets double from here to about 8 s.
const SMALLEST_BUCKET: f64 = 0.004;
const BUCKETS: u16 = 12;

/// A gauge of seconds.
type Seconds = Gauge<f64, AtomicU64>;

/// Histograms with labels.
type Histograms<L> = Family<L, Histogram, fn() -> Histogram>;

/// Labels of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The service, or `-` if the request selected none.
    pub service: String,
    /// Outcome that the caller received.
    pub outcome: Ending,
    /// Cause of the outcome.
    pub cause: Cause,
}

/// Label of metrics per service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// The service.
    pub service: String,
}

/// Labels of operations with a result.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResultLabels {
    /// The service.
    pub service: String,
    /// Result of the operation.
    pub result: &'static str,
}

/// Label of a hop.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct HopLabels {
    /// `connect`, `upstream`, `order` or `store`.
    pub hop: &'static str,
}

/// Labels of calls of the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// The call.
    pub call: &'static str,
    /// The topic.
    pub topic: String,
    /// Result of the call.
    pub result: &'static str,
}

/// Labels of orders to upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrderLabels {
    /// The order.
    pub order: &'static str,
    /// Result of the order.
    pub result: &'static str,
}

/// Labels of ownership changes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MoveLabels {
    /// The service.
    pub service: String,
    /// Reason of the change.
    pub reason: String,
}

/// Labels of changes of the directory.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ChangeLabels {
    /// `joined`, `updated` or `gone`.
    pub change: &'static str,
    /// Where this host has learned of the change.
    pub source: String,
}

/// Counters of log lines that were not written.
#[derive(Debug, Clone, Default)]
pub struct LostLines {
    /// Lines above the limit of their event.
    pub limited: Counter,
    /// Lines that did not fit the queue.
    pub dropped: Counter,
}

/// Metrics of the host.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Histograms<ServiceLabels>,
    queued: Histograms<ServiceLabels>,
    hops: Histograms<HopLabels>,
    attempts: Family<ResultLabels, Counter>,
    retries: Family<ResultLabels, Counter>,
    /// Answers that are passed on while they arrive.
    pub(crate) streams: StreamMetrics,
    calls: Family<CallLabels, Counter>,
    orders: Family<OrderLabels, Counter>,
    moves: Family<MoveLabels, Counter>,
    /// Requests that wait for room.
    pub(crate) admission: AdmissionMetrics,
    /// Open requests of this host at upstreams.
    pub(crate) open: Family<ServiceLabels, Gauge>,
    /// Retries that the budget still allows this host.
    pub(crate) budget: Family<ServiceLabels, Gauge>,
    /// Number of services that this host coordinates.
    pub(crate) terms: Gauge,
    /// Version of the configuration.
    pub(crate) version: Gauge,
    /// Time since the configuration came into force.
    pub(crate) config_age: Seconds,
    /// Time since the configuration was last known to be the newest.
    pub(crate) config_staleness: Seconds,
    /// Time since the directory last contained every change of the registry.
    pub(crate) directory_age: Seconds,
    /// Time since the store last answered this host.
    pub(crate) store_age: Seconds,
    /// Era of the store.
    pub(crate) store_era: Gauge,
    pub(crate) evacuation: EvacuationMetrics,
    /// Upstreams in the directory.
    pub(crate) upstreams: Gauge,
    /// Upstreams that limit their requests.
    pub(crate) limited: Gauge,
    /// Permits for requests to cold upstreams.
    pub(crate) permits: PermitMetrics,
    /// Health of upstreams.
    pub(crate) health: HealthMetrics,
    /// Changes of the directory.
    changes: Family<ChangeLabels, Counter>,
    /// Changes of the directory that are kept for digests.
    pub(crate) kept_changes: Gauge,
    /// Number of live hosts, including this one.
    pub(crate) hosts: Gauge,
    /// Bytes of the datagrams sent to other hosts.
    pub(crate) datagram_bytes: Counter,
    /// Open connections of callers and operators.
    pub(crate) connections: Gauge,
    /// Connections to upstreams.
    pub(crate) links: LinkMetrics,
    /// Bytes of requests and answers.
    pub(crate) memory: MemoryMetrics,
    /// 1 while the host is ready.
    pub(crate) ready: Gauge,
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(SMALLEST_BUCKET, 2.0, BUCKETS))
}

fn histograms<L>() -> Histograms<L>
where
    L: Clone + std::hash::Hash + Eq,
{
    Family::new_with_constructor(histogram)
}

fn per_service(service: &ServiceName) -> ServiceLabels {
    ServiceLabels {
        service: service.as_str().to_owned(),
    }
}

/// A registry whose methods return the metric that they register.
struct Builder(Registry);

impl Builder {
    fn add<M>(&mut self, name: &'static str, help: &'static str, metric: M) -> M
    where
        M: Metric + Clone,
    {
        self.0.register(name, help, metric.clone());
        metric
    }

    fn bytes<M>(&mut self, name: &'static str, help: &'static str, metric: M) -> M
    where
        M: Metric + Clone,
    {
        let unit = Unit::Bytes;
        self.0.register_with_unit(name, help, unit, metric.clone());
        metric
    }

    fn seconds<M>(&mut self, name: &'static str, help: &'static str, metric: M) -> M
    where
        M: Metric + Clone,
    {
        let unit = Unit::Seconds;
        self.0.register_with_unit(name, help, unit, metric.clone());
        metric
    }
}

impl Metrics {
    /// Creates the metrics, including the counters of log lines that were not written.
    pub fn new(lost: LostLines) -> Self {
        let mut b = Builder(Registry::with_prefix("trefoil"));
        b.add(
            "log_lines_limited",
            "Log lines above the limit of their event",
            lost.limited,
        );
        b.add(
            "log_lines_dropped",
            "Log lines that did not fit the queue",
            lost.dropped,
        );
        Self {
            requests: b.add("requests", "Requests that ended", Family::default()),
            latency: b.seconds(
                "latency",
                "Time from the arrival of a request to its answer",
                histograms(),
            ),
            queued: b.seconds(
                "queued",
                "Time from the arrival of a request to its first sending",
                histograms(),
            ),
            hops: b.seconds("hop", "Time of one hop", histograms()),
            attempts: b.add("attempts", "Attempts by result", Family::default()),
            retries: b.add("repeats", "Wishes to send again", Family::default()),
            streams: StreamMetrics::new(&mut b),
            calls: b.add("store_calls", "Calls of the store", Family::default()),
            orders: b.add("orders", "Orders to upstreams", Family::default()),
            moves: b.add("moves", "Tables written", Family::default()),
            admission: AdmissionMetrics::new(&mut b),
            open: b.add("open_requests", "Requests at upstreams", Family::default()),
            budget: b.add("budget_left", "Repeats that are left", Family::default()),
            terms: b.add(
                "terms",
                "Services that this host stewards",
                Gauge::default(),
            ),
            version: b.add(
                "config_version",
                "Version of the configuration in force",
                Gauge::default(),
            ),
            config_age: b.seconds(
                "config_age",
                "Time since the configuration came into force",
                Seconds::default(),
            ),
            config_staleness: b.seconds(
                "config_staleness",
                "Time since the configuration in force was known to be the newest",
                Seconds::default(),
            ),
            directory_age: b.seconds(
                "directory_age",
                "Time since the directory contained every change of the registry",
                Seconds::default(),
            ),
            store_age: b.seconds(
                "store_age",
                "Time since the store answered this host",
                Seconds::default(),
            ),
            store_era: b.add(
                "store_era",
                "Number of returns of the store from an older copy",
                Gauge::default(),
            ),
            evacuation: EvacuationMetrics::register(&mut b),
            upstreams: b.add("upstreams", "Upstreams in the directory", Gauge::default()),
            limited: b.add(
                "limited_upstreams",
                "Upstreams that limit their requests",
                Gauge::default(),
            ),
            permits: PermitMetrics::new(&mut b),
            health: HealthMetrics::new(&mut b),
            changes: b.add(
                "directory_changes",
                "Changes of the directory",
                Family::default(),
            ),
            kept_changes: b.add(
                "kept_changes",
                "Changes of the directory that are kept for digests",
                Gauge::default(),
            ),
            hosts: b.add("hosts", "Live hosts, this one included", Gauge::default()),
            datagram_bytes: b.add(
                "datagram_bytes",
                "Bytes of the datagrams sent to other hosts",
                Counter::default(),
            ),
            connections: b.add("connections", "Accepted connections", Gauge::default()),
            links: LinkMetrics::new(&mut b),
            memory: MemoryMetrics::new(&mut b),
            ready: b.add("ready", "1 while the host is ready", Gauge::default()),
            registry: b.0,
        }
    }

    /// Records the end of a request. `service` is `-` if it selected none.
    pub fn record_request(&self, service: &str, outcome: Ending, cause: Cause, span: Duration) {
        let service = service.to_owned();
        let labels = RequestLabels {
            service: service.clone(),
            outcome,
            cause,
        };
        self.requests.get_or_create(&labels).inc();
        let latency = self.latency.get_or_create(&ServiceLabels { service });
        latency.observe(span.as_secs_f64());
    }

    /// Records the time that a request waited before its first attempt.
    pub fn record_queued(&self, service: &ServiceName, span: Duration) {
        let queued = self.queued.get_or_create(&per_service(service));
        queued.observe(span.as_secs_f64());
    }

    /// Records the duration of a hop.
    pub fn record_hop(&self, hop: &'static str, span: Duration) {
        let hops = self.hops.get_or_create(&HopLabels { hop });
        hops.observe(span.as_secs_f64());
    }

    /// Counts an attempt.
    pub fn record_attempt(&self, service: &ServiceName, result: &'static str) {
        let service = service.as_str().to_owned();
        let labels = ResultLabels { service, result };
        self.attempts.get_or_create(&labels).inc();
    }

    /// Counts a decision whether a request is retried.
    pub fn record_retry(&self, service: &ServiceName, result: &'static str) {
        let service = service.as_str().to_owned();
        let labels = ResultLabels { service, result };
        self.retries.get_or_create(&labels).inc();
    }

    /// Records a call of the store.
    pub fn record_store_call(
        &self,
        call: &'static str,
        topic: &str,
        result: &'static str,
        span: Duration,
    ) {
        let topic = topic.to_owned();
        let labels = CallLabels {
            call,
            topic,
            result,
        };
        self.calls.get_or_create(&labels).inc();
        self.record_hop("store", span);
    }

    /// Records an order to an upstream.
    pub fn record_order(&self, order: &'static str, result: &'static str, span: Duration) {
        let labels = OrderLabels { order, result };
        self.orders.get_or_create(&labels).inc();
        self.record_hop("order", span);
    }

    /// Counts a written table.
    pub fn record_table_write(&self, service: &ServiceName, reason: String) {
        let service = service.as_str().to_owned();
        let labels = MoveLabels { service, reason };
        self.moves.get_or_create(&labels).inc();
    }

    /// Counts a change of the directory.
    pub(crate) fn record_change(&self, change: &'static str, source: Source) {
        let source = source.to_string();
        let labels = ChangeLabels { change, source };
        self.changes.get_or_create(&labels).inc();
    }

    /// Sets a gauge of a service.
    pub(crate) fn set_gauge(
        family: &Family<ServiceLabels, Gauge>,
        service: &ServiceName,
        value: i64,
    ) {
        family.get_or_create(&per_service(service)).set(value);
    }

    /// Encodes the metrics as text.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn encode(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
