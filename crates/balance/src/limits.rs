//! Rate limits that upstreams state in their answers.
//!
//! A limit holds for the requests of all hosts together, and every host sends to every upstream. A
//! host therefore admits a request by what all hosts have sent lately: its own requests and the sums
//! that the others report. Reports are late, so several hosts could take the same room at once. Each
//! admits a request only with the probability that keeps all of them together within the room, given
//! the rate of the requests that they want to send.

use std::collections::BTreeMap;
use std::time::Duration;

use trefoil_core::{PerSecond, Tick};
use trefoil_directory::UpstreamId;

/// Steps in which requests are counted.
const STEP: Duration = Duration::from_millis(250);

/// Steps in which sent requests count. An upstream may count over any 4 s.
const SENT_STEPS: usize = 17;

/// Time in which sent requests count.
const SENT_WINDOW: Duration = Duration::from_secs(4);

/// Steps in which wanted requests count. A sudden rise must show soon.
const WANTED_STEPS: usize = 4;

/// Time in which wanted requests count.
const WANTED_WINDOW: Duration = Duration::from_secs(1);

/// Time until the other hosts know of a request.
const REPORT_DELAY: Duration = Duration::from_millis(400);

/// Age at which reports expire. They are repeated several times per second.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1200);

/// Requests that may be sent in a window in addition to the rate.
const BURST: f64 = 1.0;

/// Largest rate at which room is used, as a multiple of the limit.
const CATCH_UP: f64 = 1.5;

/// Requests that are sent before others know of them, in addition to that rate.
const CATCH_UP_MIN: f64 = 0.7;

/// Smallest rate that a limit is taken for. Without any request, nobody would learn that the limit
/// has ended.
const RATE_MIN: f64 = 0.1;

/// Time for which a host reports what it has last heard of an upstream.
const REPORTED_FOR: Duration = Duration::from_secs(3);

/// Requests to one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests sent in the last 4 s.
    pub sent: u32,
    /// Requests in the last second for which the upstream was considered.
    pub wanted: u32,
}

impl Usage {
    fn plus(self, other: Self) -> Self {
        Self {
            sent: self.sent.saturating_add(other.sent),
            wanted: self.wanted.saturating_add(other.wanted),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            sent: self.sent.saturating_sub(other.sent),
            wanted: self.wanted.saturating_sub(other.wanted),
        }
    }
}

/// What an upstream has said of its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statement {
    /// The limit, or `None` if it limits requests no longer.
    pub rate: Option<PerSecond>,
    /// When the answer arrived.
    pub at: Tick,
}

/// Report about one upstream, of one or more hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitReport {
    /// Their requests.
    pub usage: Usage,
    /// The newest statement in an answer to them.
    pub stated: Option<Statement>,
}

impl LimitReport {
    /// Joins two reports of different hosts.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        let newer = |a: Statement, b: Statement| if a.at < b.at { b } else { a };
        let stated = match (self.stated, other.stated) {
            (Some(a), Some(b)) => Some(newer(a, b)),
            (a, b) => a.or(b),
        };
        Self {
            usage: self.usage.plus(other.usage),
            stated,
        }
    }
}

/// Counts events in the last steps.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Window<const N: usize> {
    counts: [u32; N],
    /// Number of the newest step.
    step: u128,
}

impl<const N: usize> Default for Window<N> {
    fn default() -> Self {
        Self {
            counts: [0; N],
            step: 0,
        }
    }
}

impl<const N: usize> Window<N> {
    /// Starts the steps until `now` and returns the index of the newest.
    fn advance(&mut self, now: Tick) -> usize {
        let index = |step: u128| usize::try_from(step % N as u128).unwrap_or_default();
        let step = now.0.as_millis() / STEP.as_millis();
        let passed = step.saturating_sub(self.step).min(N as u128);
        for old in 0..passed {
            self.counts[index(step - old)] = 0;
        }
        self.step = self.step.max(step);
        index(self.step)
    }

    pub(crate) fn add(&mut self, now: Tick) {
        let newest = self.advance(now);
        self.counts[newest] = self.counts[newest].saturating_add(1);
    }

    pub(crate) fn sum(&mut self, now: Tick) -> u32 {
        self.advance(now);
        self.counts.iter().fold(0, |a, b| a.saturating_add(*b))
    }
}

/// Limit of one upstream.
#[derive(Debug, Clone, Copy)]
struct Limit {
    known: Statement,
    /// The last statement in an answer to this host.
    own: Option<Statement>,
    sent: Window<SENT_STEPS>,
    wanted: Window<WANTED_STEPS>,
    /// Requests of the other hosts, and when they were reported.
    others: (Usage, Tick),
}

impl Limit {
    fn new(known: Statement) -> Self {
        Self {
            known,
            own: None,
            sent: Window::default(),
            wanted: Window::default(),
            others: (Usage::default(), Tick::default()),
        }
    }

    fn own_usage(&mut self, now: Tick) -> Usage {
        Usage {
            sent: self.sent.sum(now),
            wanted: self.wanted.sum(now),
        }
    }
}

/// What this host knows of the others.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// Live hosts, this one included.
    pub hosts: u32,
    /// Reports of the other hosts arrive.
    pub connected: bool,
}

/// Limits of all upstreams that have stated one.
#[derive(Debug, Default)]
pub struct Limits {
    limits: BTreeMap<UpstreamId, Limit>,
}

impl Limits {
    /// Number of upstreams that limit their requests.
    pub fn count(&self) -> usize {
        let limits = self.limits.values();
        limits.filter(|l| l.known.rate.is_some()).count()
    }

    /// The limit of an upstream.
    pub fn rate(&self, id: UpstreamId) -> Option<PerSecond> {
        self.limits.get(&id)?.known.rate
    }

    /// Records an answer to a request that was sent at `sent`, which states this limit or none.
    /// Returns whether that is news.
    ///
    /// An answer without a limit ends a known one only if its request was sent after the limit was
    /// stated last; others may have been written before.
    pub fn record_answer(
        &mut self,
        now: Tick,
        id: UpstreamId,
        sent: Tick,
        rate: Option<PerSecond>,
    ) -> bool {
        let statement = Statement { rate, at: now };
        match self.limits.get_mut(&id) {
            None if rate.is_none() => false,
            None => {
                let own = Some(statement);
                let limit = Limit {
                    own,
                    ..Limit::new(statement)
                };
                self.limits.insert(id, limit);
                true
            }
            Some(limit) if rate.is_none() && sent <= limit.known.at => false,
            Some(limit) => {
                let before = std::mem::replace(&mut limit.known, statement);
                limit.own = Some(statement);
                before.rate != rate
            }
        }
    }

    /// Records what others report: their requests, and the newest statement in an answer to them.
    /// Returns whether the statement is news.
    pub fn record_others(&mut self, now: Tick, id: UpstreamId, report: LimitReport) -> bool {
        let news = report.stated.filter(|stated| match self.limits.get(&id) {
            Some(limit) => limit.known.at < stated.at,
            None => stated.rate.is_some(),
        });
        if let Some(stated) = news {
            let limit = self.limits.entry(id);
            let limit = limit.or_insert_with(|| Limit::new(stated));
            limit.known = stated;
        }
        if let Some(limit) = self.limits.get_mut(&id) {
            limit.others = (report.usage, now);
        }
        news.is_some()
    }

    /// Decides whether a request may be sent to an upstream, with a random `draw` below 1.
    ///
    /// # Errors
    ///
    /// Fails with the time after which the upstream takes the next request.
    pub fn admit(
        &mut self,
        now: Tick,
        id: UpstreamId,
        fleet: Fleet,
        draw: f64,
    ) -> Result<(), Duration> {
        let Some(limit) = self.limits.get_mut(&id) else {
            return Ok(());
        };
        limit.wanted.add(now);
        let Some(rate) = limit.known.rate else {
            return Ok(());
        };
        let rate = rate.0.max(RATE_MIN);
        let own = limit.own_usage(now);
        let (reported, at) = limit.others;
        let others = match () {
            () if now.since(at) < REPORT_AGE_MAX => reported,
            // Hosts without requests to the upstream report nothing.
            () if fleet.connected => Usage::default(),
            // The others probably send as much as this host.
            () => Usage {
                sent: own.sent.saturating_mul(fleet.hosts.saturating_sub(1)),
                wanted: own.wanted.saturating_mul(fleet.hosts.saturating_sub(1)),
            },
        };
        let all = own.plus(others);
        let room = rate * SENT_WINDOW.as_secs_f64() + BURST - f64::from(all.sent);
        let delay = REPORT_DELAY.as_secs_f64();
        // Room that many hosts take at once becomes free at once again, a window later.
        let next = room.min(CATCH_UP * rate * delay + CATCH_UP_MIN);
        let wanted = f64::from(all.wanted) / WANTED_WINDOW.as_secs_f64();
        if draw * (1.0 + wanted * delay) < next {
            Ok(())
        } else {
            Err(Duration::from_secs_f64(1.0 / rate))
        }
    }

    /// Records a request that is sent.
    pub fn record_sent(&mut self, now: Tick, id: UpstreamId) {
        if let Some(limit) = self.limits.get_mut(&id) {
            limit.sent.add(now);
        }
    }

    /// This host's report of each upstream with requests, or that has said something lately.
    pub fn own_reports(&mut self, now: Tick) -> BTreeMap<UpstreamId, LimitReport> {
        let report = |(id, limit): (&UpstreamId, &mut Limit)| {
            let usage = limit.own_usage(now);
            let stated = limit.own.filter(|own| now.since(own.at) < REPORTED_FOR);
            let has_news = usage != Usage::default() || stated.is_some();
            has_news.then_some((*id, LimitReport { usage, stated }))
        };
        self.limits.iter_mut().filter_map(report).collect()
    }

    /// Drops an upstream that has ended or restarted.
    pub fn remove(&mut self, id: UpstreamId) {
        self.limits.remove(&id);
    }

    /// Drops the upstreams that have not limited their requests for a while.
    pub fn expire(&mut self, now: Tick) {
        let is_kept =
            |l: &Limit| l.known.rate.is_some() || now.since(l.known.at) < 2 * REPORTED_FOR;
        self.limits.retain(|_, limit| is_kept(limit));
    }
}

/// Joins the reports of several sources, each identified by a `K`.
#[derive(Debug)]
pub struct LimitTally<K> {
    reports: BTreeMap<(K, UpstreamId), (LimitReport, Tick)>,
}

impl<K> Default for LimitTally<K> {
    fn default() -> Self {
        Self {
            reports: BTreeMap::new(),
        }
    }
}

impl<K> LimitTally<K>
where
    K: Ord,
{
    /// Replaces the report of a source about an upstream.
    pub fn set(&mut self, now: Tick, source: K, id: UpstreamId, report: LimitReport) {
        self.reports.insert((source, id), (report, now));
    }

    /// Removes the reports that were not repeated for a while.
    pub fn expire(&mut self, now: Tick) {
        self.reports
            .retain(|_, (_, at)| now.since(*at) < REPORT_AGE_MAX);
    }

    /// The joined reports of all sources.
    pub fn merged(&self) -> BTreeMap<UpstreamId, LimitReport> {
        let mut merged: BTreeMap<UpstreamId, LimitReport> = BTreeMap::new();
        for ((_, id), (report, _)) in &self.reports {
            let known = merged.entry(*id).or_default();
            *known = known.merge(*report);
        }
        merged
    }
}

/// The part of a joint report that is not this host's own.
pub fn without_own(joint: LimitReport, own: Option<&LimitReport>) -> LimitReport {
    let own = own.copied().unwrap_or_default();
    LimitReport {
        usage: joint.usage.minus(own.usage),
        ..joint
    }
}
