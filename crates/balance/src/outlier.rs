//! Ejection of upstreams that fail far more requests than the others of their service.
//!
//! Answers the load of upstreams that fail fast or fail a part of their requests: those look idle,
//! so a choice by predicted latency would send them more. Every host decides for itself, from the
//! sums of all hosts, see [`crate::HealthTally`], so all decide alike within a few reports.
//!
//! An upstream is ejected if its failures cannot be explained by the share of failures that its
//! service has otherwise. It gets no requests for a second, and twice as long each further time.
//! After that, each host sends a probe at random times, rarely enough that all hosts together send
//! a few per second. The first probe that fails ejects the upstream again.

mod decision;
mod evidence;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use trefoil_core::{ServiceName, Tick};
use trefoil_directory::UpstreamId;

use crate::health::{Answers, Counts, Others, REPORT_AGE_MAX};
pub use decision::{Basis, Change, Decision, End};
use evidence::{SHARE_MIN, baseline, is_outlier};

/// Consecutive failures of this host's own requests for an ejection, over any time. They reveal
/// failures of an upstream that gets few requests.
const STREAK_MIN: u32 = 3;

/// Time since the last failure within which an upstream is ejected. If all upstreams of a service
/// have failed and recover, their earlier failures stand out one by one for the next 2 s.
const FRESH: Duration = Duration::from_millis(700);

/// Time after the first known failure in which shared counts eject nothing. The answers of an
/// upstream are reported only once it is known to fail, and arrive up to 300 ms after the failures.
const TOTALS_DELAY: Duration = Duration::from_millis(400);

/// Requests of the own domain that show that an upstream answers there, if none failed. An upstream
/// that fails 0.45 of its requests answers that many with a probability of 0.05.
const ANSWERS_MIN: u32 = 5;

/// Duration of the first ejection. It doubles with each further one.
const EJECTION: Duration = Duration::from_secs(1);

/// Longest ejection.
const EJECTION_MAX: Duration = Duration::from_secs(8);

/// Time after an ejection in which this host still reports its earlier counts, so that the other
/// hosts see the same evidence. It is shorter than [`EJECTION`] by the delay of reports.
const EVIDENCE_KEPT: Duration = Duration::from_millis(500);

/// Probes per second to one upstream, of all hosts together.
const PROBE_RATE: f64 = 4.0;

/// Time of probing without a failure after which an upstream counts as healthy, even with few
/// probes. The owner of no keys gets none.
const PROBING_MAX: Duration = Duration::from_secs(3);

/// How far an ejected upstream's share of failures must exceed that of the others to stay ejected.
/// If all upstreams fail, only some are ejected, and the load of these would be added to the others.
const JUSTIFIED_FACTOR: f64 = 2.0;

/// Time without an ejection after which the next one is short again.
const RESET_TIME: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
enum State {
    Healthy { since: Tick },
    Ejected { since: Tick, until: Tick },
    Probing { since: Tick, next: Tick },
}

#[derive(Debug, Clone, Copy)]
struct Record {
    own: Answers,
    /// When this host has last learned of a failure.
    failed_at: Tick,
    /// Since when failures have been known without a pause.
    failing_since: Option<Tick>,
    /// Consecutive failures of this host's own requests.
    streak: u32,
    others: (Others, Tick),
    /// Counts of all hosts at the last decision.
    judged: Counts,
    state: State,
    /// Whose requests the last ejection was based on.
    basis: Basis,
    /// Their share of failures.
    share: f64,
    /// Number of ejections in short succession.
    level: u32,
    /// Requests that were sent before do not count.
    counted_from: Tick,
    /// The counts of before the ejection were dropped.
    cleared: bool,
}

impl Record {
    fn new() -> Self {
        Self {
            own: Answers::default(),
            failed_at: Tick::default(),
            failing_since: None,
            streak: 0,
            others: (Others::default(), Tick::default()),
            judged: Counts::default(),
            state: State::Healthy {
                since: Tick::default(),
            },
            basis: Basis::All,
            share: 0.0,
            level: 0,
            counted_from: Tick::default(),
            cleared: false,
        }
    }

    fn is_ejected(&self) -> bool {
        !matches!(self.state, State::Healthy { .. })
    }

    /// Other hosts may still count what this one reported before the ejection.
    fn reports_none(&self, now: Tick) -> bool {
        matches!(self.state, State::Ejected { since, .. } if now.since(since) < 2 * EJECTION)
    }

    /// Counts of all hosts, this one included.
    fn counts(&mut self, now: Tick) -> Others {
        let own = self.own.counts(now);
        let (others, at) = self.others;
        let others = if now.since(at) < REPORT_AGE_MAX {
            others
        } else {
            Others::default()
        };
        Others {
            domain: own.plus(others.domain),
            all: own.plus(others.all),
        }
    }

    /// The counts that an ejection is based on. Others include the ordinary requests of domains and
    /// hosts that have not ejected the upstream.
    fn counts_of(&mut self, now: Tick, basis: Basis, counts: Others) -> Counts {
        match basis {
            Basis::Host => self.own.counts(now),
            Basis::Domain => counts.domain,
            Basis::All | Basis::Probe => counts.all,
        }
    }

    fn release(&mut self, now: Tick, end: End) -> Change {
        self.state = State::Healthy { since: now };
        self.streak = 0;
        if end == End::Unjustified {
            self.level = self.level.saturating_sub(1);
        }
        Change::Ended(end)
    }

    fn eject(&mut self, now: Tick) -> Duration {
        let healthy_for = match self.state {
            State::Healthy { since } => now.since(since),
            _ => Duration::ZERO,
        };
        self.level = if healthy_for < RESET_TIME {
            self.level + 1
        } else {
            1
        };
        let doublings = (self.level - 1).min(8);
        let span = EJECTION.saturating_mul(1 << doublings).min(EJECTION_MAX);
        self.state = State::Ejected {
            since: now,
            until: now.after(span),
        };
        self.counted_from = now;
        self.cleared = false;
        span
    }
}

/// Upstreams of a service with failures, or that are ejected.
#[derive(Debug, Default)]
struct Suspects {
    /// Number of upstreams of the service.
    members: usize,
    counts: Vec<(UpstreamId, Others)>,
}

/// Health of all upstreams that this host sends to or that others report.
#[derive(Debug, Default)]
pub struct Outliers {
    records: HashMap<UpstreamId, Record>,
    /// Upstreams with failures, or that are ejected.
    suspected: BTreeSet<UpstreamId>,
    ejected: usize,
    /// Live hosts.
    hosts: u32,
    /// Probes since they were taken last.
    probes: Vec<UpstreamId>,
}

impl Outliers {
    fn record(&mut self, id: UpstreamId) -> &mut Record {
        self.records.entry(id).or_insert_with(Record::new)
    }

    /// Records the end of this host's request that was sent at `sent`.
    pub fn record_end(&mut self, now: Tick, id: UpstreamId, sent: Tick, failed: bool) {
        let record = self.record(id);
        // Requests from before the ejection say nothing about a recovery.
        if sent < record.counted_from {
            return;
        }
        record.streak = if failed { record.streak + 1 } else { 0 };
        record.own.add(now, failed);
        if failed {
            record.failed_at = now;
            record.failing_since.get_or_insert(now);
            self.suspected.insert(id);
        }
    }

    /// Records the counts of the other hosts.
    pub fn record_others(&mut self, now: Tick, id: UpstreamId, others: Others) {
        let has_failed = others.all.failed > 0;
        let record = self.record(id);
        record.others = (others, now);
        if has_failed {
            record.failing_since.get_or_insert(now);
            self.suspected.insert(id);
        }
    }

    /// This host's counts for the upstreams that it or others have seen failing. Those of an
    /// upstream that was just ejected are reported even if there are none, so that earlier ones do
    /// not count any longer.
    pub fn own_counts(&mut self, now: Tick) -> Vec<(UpstreamId, Counts)> {
        let mut counts = Vec::new();
        for id in &self.suspected {
            if let Some(record) = self.records.get_mut(id) {
                let own = record.own.counts(now);
                if own.total > 0 || record.reports_none(now) {
                    counts.push((*id, own));
                }
            }
        }
        counts
    }

    /// Failures of an upstream in the last 2 s, those of all hosts.
    pub fn known_failures(&self, id: UpstreamId) -> u32 {
        self.records.get(&id).map_or(0, |r| r.judged.failed)
    }

    /// Share of the requests to an upstream in the last 2 s that failed, lowered if there were few.
    pub fn smoothed_share(&self, id: UpstreamId) -> f64 {
        if !self.suspected.contains(&id) {
            return 0.0;
        }
        let judged = self.records.get(&id).map(|r| r.judged);
        let Counts { failed, total } = judged.unwrap_or_default();
        f64::from(failed.saturating_sub(1)) / (f64::from(total) + f64::from(ANSWERS_MIN))
    }

    /// Returns whether an upstream is ejected or probed.
    pub fn is_ejected(&self, id: UpstreamId) -> bool {
        self.ejected > 0 && self.records.get(&id).is_some_and(Record::is_ejected)
    }

    /// Returns whether this host's next request should probe an upstream.
    pub fn is_probe_due(&self, now: Tick, id: UpstreamId) -> bool {
        let state = self.records.get(&id).map(|r| r.state);
        matches!(state, Some(State::Probing { next, .. }) if now >= next)
    }

    /// Records that a request is sent.
    pub fn begin(&mut self, now: Tick, id: UpstreamId) {
        if !self.is_ejected(id) {
            return;
        }
        let next = now.after(probe_wait(self.hosts));
        if let Some(record) = self.records.get_mut(&id)
            && let State::Probing { since, .. } = record.state
        {
            record.state = State::Probing { since, next };
            self.probes.push(id);
        }
    }

    /// The probes since the last call.
    pub fn take_probes(&mut self) -> Vec<UpstreamId> {
        std::mem::take(&mut self.probes)
    }

    /// Drops an upstream.
    pub fn remove(&mut self, id: UpstreamId) {
        self.suspected.remove(&id);
        if let Some(record) = self.records.remove(&id)
            && record.is_ejected()
        {
            self.ejected -= 1;
        }
    }

    /// Decides about the upstreams with failures, of which `service_of` tells the service and its
    /// number of upstreams. Called several times per second.
    pub fn judge<'a, F>(&mut self, now: Tick, hosts: u32, service_of: F) -> Vec<Decision>
    where
        F: Fn(UpstreamId) -> Option<(&'a ServiceName, usize)>,
    {
        self.hosts = hosts;
        let mut services: BTreeMap<&ServiceName, Suspects> = BTreeMap::new();
        let records = &mut self.records;
        self.suspected.retain(|id| {
            let Some(record) = records.get_mut(id) else {
                return false;
            };
            let counts = record.counts(now);
            if counts.all.failed > record.judged.failed {
                record.failed_at = now;
            }
            record.judged = counts.all;
            if counts.all.failed == 0 {
                record.failing_since = None;
            }
            if let Some((service, members)) = service_of(*id) {
                let suspects = services.entry(service).or_default();
                suspects.members = members;
                suspects.counts.push((*id, counts));
            }
            counts.all.failed > 0 || record.is_ejected()
        });
        let mut decisions = Vec::new();
        for (service, suspects) in services {
            self.judge_service(now, service, &suspects, &mut decisions);
        }
        let suspected = self.suspected.iter().filter_map(|id| self.records.get(id));
        self.ejected = suspected.filter(|r| r.is_ejected()).count();
        decisions
    }

    fn judge_service(
        &mut self,
        now: Tick,
        service: &ServiceName,
        suspects: &Suspects,
        decisions: &mut Vec<Decision>,
    ) {
        let Suspects { members, counts } = suspects;
        let in_use = counts.iter().filter(|(id, _)| !self.is_ejected(*id));
        let known = in_use.map(|(_, counts)| counts.all);
        // One that was just taken back has no requests yet.
        let known = known.filter(|counts| counts.total > 0).collect();
        let without_failures = members.saturating_sub(counts.len());
        let baseline = baseline(*members, without_failures, known);
        let decision = |id, change, counts| Decision {
            id,
            service: service.clone(),
            change,
            counts,
            baseline,
        };
        let mut ejected: Vec<(Tick, UpstreamId)> = Vec::new();
        let mut failing: Vec<(UpstreamId, Others, Basis)> = Vec::new();
        for (id, counts) in counts {
            let Some(record) = self.records.get_mut(id) else {
                continue;
            };
            let unjustified = record.is_ejected() && record.share < JUSTIFIED_FACTOR * baseline;
            let change = if unjustified {
                Some(record.release(now, End::Unjustified))
            } else {
                update_ejected(now, record, *counts, self.hosts)
            };
            if let Some(change) = change {
                decisions.push(decision(*id, change, *counts));
                if matches!(change, Change::Ended(_)) {
                    continue;
                }
            }
            match record.state {
                State::Ejected { since, .. } | State::Probing { since, .. } => {
                    ejected.push((since, *id));
                }
                State::Healthy { .. } if now.since(record.failed_at) >= FRESH => {}
                State::Healthy { .. } => {
                    if let Some(basis) = find_basis(now, record, *counts, baseline) {
                        failing.push((*id, *counts, basis));
                    }
                }
            }
        }
        let room = members / 2;
        // Upstreams have left the service since: the earliest ejected get requests again.
        ejected.sort_unstable();
        for (_, id) in ejected.iter().take(ejected.len().saturating_sub(room)) {
            if let Some(record) = self.records.get_mut(id) {
                let change = record.release(now, End::Room);
                decisions.push(decision(*id, change, Others::default()));
            }
        }
        let worst_first = |a: &(UpstreamId, Others, Basis), b: &(UpstreamId, Others, Basis)| {
            b.1.all.share().total_cmp(&a.1.all.share())
        };
        failing.sort_by(worst_first);
        failing.truncate(room.saturating_sub(ejected.len()));
        for (id, counts, basis) in failing {
            if let Some(record) = self.records.get_mut(&id) {
                record.basis = basis;
                record.share = record.counts_of(now, basis, counts).share();
                let span = record.eject(now);
                decisions.push(decision(id, Change::Ejected(span, basis), counts));
            }
        }
    }
}

/// Advances the state of an ejected upstream.
fn update_ejected(now: Tick, record: &mut Record, counts: Others, hosts: u32) -> Option<Change> {
    match record.state {
        State::Healthy { .. } => None,
        State::Ejected { since, until } => {
            if !record.cleared && now.since(since) >= EVIDENCE_KEPT {
                record.cleared = true;
                record.own = Answers::default();
            }
            if now >= until {
                let next = now.after(probe_wait(hosts));
                record.state = State::Probing { since: now, next };
            }
            None
        }
        State::Probing { since, .. } => {
            let probed = record.counts_of(now, record.basis, counts);
            let fails = probed.failed > 0 && probed.share() >= SHARE_MIN;
            if fails {
                return Some(Change::Ejected(record.eject(now), Basis::Probe));
            }
            if probed.total >= ANSWERS_MIN || now.since(since) >= PROBING_MAX {
                return Some(record.release(now, End::Recovered));
            }
            None
        }
    }
}

/// Whose requests show that the upstream fails, if any do.
fn find_basis(now: Tick, record: &Record, counts: Others, baseline: f64) -> Option<Basis> {
    let since = record.failing_since;
    let has_totals = since.is_some_and(|since| now.since(since) >= TOTALS_DELAY);
    let justified = (JUSTIFIED_FACTOR * baseline).max(SHARE_MIN);
    let answers = |c: Counts| c.total >= ANSWERS_MIN && c.failed == 0;
    match () {
        () if has_totals && is_outlier(counts.domain, baseline) => Some(Basis::Domain),
        () if has_totals && is_outlier(counts.all, baseline) && !answers(counts.domain) => {
            Some(Basis::All)
        }
        () if record.streak >= STREAK_MIN && counts.all.share() >= justified => Some(Basis::Host),
        () => None,
    }
}

/// Random time until this host's next probe, such that `hosts` hosts together send [`PROBE_RATE`].
fn probe_wait(hosts: u32) -> Duration {
    let draw = 1.0 - rand::random::<f64>();
    let mean = f64::from(hosts.max(1)) / PROBE_RATE;
    Duration::try_from_secs_f64(-draw.ln() * mean).unwrap_or(PROBING_MAX)
}
