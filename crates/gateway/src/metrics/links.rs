//! Metrics of connections to upstreams.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use super::Builder;

/// Label of a connection to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LinkLabels {
    /// `new` or `reused`.
    kind: &'static str,
}

/// Metrics of connections to upstreams.
#[derive(Debug)]
pub(crate) struct LinkMetrics {
    taken: Family<LinkLabels, Counter>,
}

impl LinkMetrics {
    pub(super) fn new(b: &mut Builder) -> Self {
        Self {
            taken: b.add(
                "upstream_connections",
                "Connections to upstreams taken for a request, new or reused",
                Family::default(),
            ),
        }
    }

    /// Counts a connection that was taken for a request.
    pub(crate) fn record_taken(&self, reused: bool) {
        let kind = if reused { "reused" } else { "new" };
        self.taken.get_or_create(&LinkLabels { kind }).inc();
    }
}
