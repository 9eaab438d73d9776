//! Metrics of the memory of requests and answers.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use trefoil_http::h1::MemoryShare;

use super::Builder;

/// Label of memory.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MemoryLabels {
    /// What is in the memory.
    kind: &'static str,
}

/// Metrics of the memory of requests and answers.
#[derive(Debug)]
pub(crate) struct MemoryMetrics {
    used: Family<MemoryLabels, Gauge>,
    limit: Family<MemoryLabels, Gauge>,
}

impl MemoryMetrics {
    pub(super) fn new(b: &mut Builder) -> Self {
        Self {
            used: b.bytes("memory", "Bytes of requests and answers", Family::default()),
            limit: b.bytes(
                "memory_limit",
                "Most bytes of requests and answers",
                Family::default(),
            ),
        }
    }

    /// Sets the use and the limit of a kind of memory.
    pub(crate) fn set(&self, kind: &'static str, share: &MemoryShare) {
        let labels = MemoryLabels { kind };
        let size = |bytes: usize| i64::try_from(bytes).unwrap_or(i64::MAX);
        let used = self.used.get_or_create(&labels);
        used.set(size(share.used()));
        let limit = self.limit.get_or_create(&labels);
        limit.set(size(share.limit()));
    }
}
