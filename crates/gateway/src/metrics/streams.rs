//! Metrics of streamed answers.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use trefoil_core::ServiceName;

use super::{Builder, ResultLabels};

/// Metrics of answers that are passed on while they arrive.
#[derive(Debug)]
pub(crate) struct StreamMetrics {
    /// Streams that have begun and not ended.
    pub(crate) open: Gauge,
    /// Bytes of bodies that were taken from upstreams.
    pub(crate) bytes: Counter,
    ended: Family<ResultLabels, Counter>,
}

impl StreamMetrics {
    pub(super) fn new(b: &mut Builder) -> Self {
        Self {
            open: b.add(
                "streams_open",
                "Streamed responses in progress",
                Gauge::default(),
            ),
            bytes: b.bytes(
                "streamed",
                "Body bytes of streamed responses",
                Counter::default(),
            ),
            ended: b.add("streams", "Streamed responses by result", Family::default()),
        }
    }

    /// Counts a stream that has ended.
    pub(crate) fn record_end(&self, service: &ServiceName, result: &'static str) {
        let service = service.as_str().to_owned();
        let labels = ResultLabels { service, result };
        self.ended.get_or_create(&labels).inc();
    }
}
