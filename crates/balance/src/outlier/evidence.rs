//! Whether the failures of an upstream can be explained by those of its service.

use crate::health::Counts;

/// Fewest failures in the last 2 s for an ejection. Two occur by chance at a share of failures that is
/// usual without a fault.
const FAILURES_MIN: u32 = 3;

/// Log-likelihood ratio between the upstream's own share of failures and that of its service for an
/// ejection. Three failures of nine requests reach it, three of twenty do not.
const EVIDENCE_MIN: f64 = 7.0;

/// Smallest share of failures that is taken for that of a service. With a smaller one, few failures
/// by chance would be evidence.
const BASELINE_MIN: f64 = 0.01;

/// How far the share must exceed that of the service.
const SHARE_FACTOR: f64 = 3.0;

/// Smallest share of failures for an ejection. Other upstreams would have to take over more requests
/// than fail.
pub(super) const SHARE_MIN: f64 = 0.15;

/// Share of failures that a service has without the worse half of its upstreams, which includes the
/// ejected ones. `suspects` are the counts of those with failures that are not ejected; the
/// `without_failures` others are taken to have as many requests each.
pub(super) fn baseline(members: usize, without_failures: usize, mut suspects: Vec<Counts>) -> f64 {
    let better = members.div_ceil(2);
    if without_failures >= better || suspects.is_empty() {
        return 0.0;
    }
    suspects.sort_by(|a, b| a.share().total_cmp(&b.share()));
    let sum = |counts: &[Counts]| counts.iter().fold(Counts::default(), |a, b| a.plus(*b));
    let counted = (better - without_failures).min(suspects.len());
    let count = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
    let mean = f64::from(sum(&suspects).total) / count(suspects.len());
    let own = sum(&suspects[..counted]);
    let total = f64::from(own.total) + mean * count(without_failures);
    f64::from(own.failed) / total.max(1.0)
}

/// Returns whether the failures are far above those of the service.
pub(super) fn is_outlier(counts: Counts, baseline: f64) -> bool {
    if counts.failed < FAILURES_MIN {
        return false;
    }
    // The better half has fewer failures than the whole by chance.
    let usual = (2.0 * baseline).min(f64::midpoint(1.0, baseline));
    let usual = usual.max(BASELINE_MIN);
    let share = counts.share();
    let needed = (SHARE_FACTOR * usual).min(f64::midpoint(1.0, usual));
    if share < needed.max(SHARE_MIN) {
        return false;
    }
    let (failed, total) = (f64::from(counts.failed), f64::from(counts.total));
    let answered = (total - failed).max(0.0);
    let mut evidence = failed * (share / usual).ln();
    if answered > 0.0 {
        evidence += answered * ((1.0 - share) / (1.0 - usual)).ln();
    }
    evidence >= EVIDENCE_MIN
}
