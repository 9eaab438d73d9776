//! Metrics of evacuations.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;

use super::{Builder, Seconds};

/// Metrics of evacuations.
#[derive(Debug)]
pub(crate) struct EvacuationMetrics {
    /// Evacuated failure domains.
    pub(crate) domains: Gauge,
    /// Time since the evacuated domains were last known to be all.
    pub(crate) age: Seconds,
    /// Evacuations that have begun or ended.
    pub(crate) changes: Counter,
}

impl EvacuationMetrics {
    pub(super) fn register(b: &mut Builder) -> Self {
        Self {
            domains: b.add(
                "evacuated_domains",
                "Evacuated failure domains",
                Gauge::default(),
            ),
            age: b.seconds(
                "evacuations_age",
                "Time since the evacuated domains were known to be all",
                Seconds::default(),
            ),
            changes: b.add(
                "evacuation_changes",
                "Evacuations that have begun or ended",
                Counter::default(),
            ),
        }
    }
}
