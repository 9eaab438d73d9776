//! Division of the counts of failures into datagrams.

use super::{ITEMS_BESIDE_LIMITS, ITEMS_MAX};
use crate::message::{Digest, Exchange, Extensions, HEALTH_ITEMS_MAX, HealthItem, Report};

/// Reports with counts of failures. Each replaces the open requests of the one before, so all repeat
/// them. Requested keys must be counted once.
pub(super) fn report_parts(report: &Report, health: &[HealthItem]) -> Vec<Report> {
    let open = report.open.iter().take(ITEMS_BESIDE_LIMITS).copied();
    let empty = Report {
        open: open.collect(),
        times: Vec::new(),
        keys: Vec::new(),
        limits: Vec::new(),
        ..report.clone()
    };
    let part = |chunk: &[HealthItem]| Report {
        extensions: with_health(&empty.extensions, chunk),
        ..empty.clone()
    };
    health.chunks(HEALTH_ITEMS_MAX).map(part).collect()
}

/// Digests with counts of failures. `first` has the fields that all digests have.
pub(super) fn digest_parts(first: &Digest, health: &[HealthItem]) -> Vec<Digest> {
    let part = |chunk: &[HealthItem]| Digest {
        from: first.from,
        status: first.status,
        live: Vec::new(),
        hosts: first.hosts,
        local: Vec::new(),
        remote: Vec::new(),
        times: Vec::new(),
        terms: Vec::new(),
        changes: Vec::new(),
        limits: Vec::new(),
        extensions: with_health(&first.extensions, chunk),
    };
    health.chunks(HEALTH_ITEMS_MAX).map(part).collect()
}

/// Exchanges with counts of failures. Each is read as a part with open requests as well, so it
/// repeats the first one as far as there is room; a complete part must follow.
pub(super) fn exchange_parts(first: &Exchange, health: &[HealthItem]) -> Vec<Exchange> {
    let open = first.open.iter().take(ITEMS_BESIDE_LIMITS).copied();
    let parts = first.open.chunks(ITEMS_MAX).len().max(1);
    let empty = Exchange {
        open: open.collect(),
        part: 0,
        // Receivers drop the open requests of parts that do not exist.
        parts: u16::try_from(parts).unwrap_or(u16::MAX),
        times: Vec::new(),
        limits: Vec::new(),
        ..first.clone()
    };
    let part = |chunk: &[HealthItem]| Exchange {
        extensions: with_health(&empty.extensions, chunk),
        ..empty.clone()
    };
    health.chunks(HEALTH_ITEMS_MAX).map(part).collect()
}

fn with_health(extensions: &Extensions, health: &[HealthItem]) -> Extensions {
    Extensions {
        health: health.to_vec(),
        ..extensions.clone()
    }
}
