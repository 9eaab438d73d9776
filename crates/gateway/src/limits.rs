//! Limits that upstreams state in their answers.
//!
//! A host reports its requests to limited upstreams to its relays, and what the upstreams have said
//! to itself; relays join the reports, see [`crate::relay`]. What a host has only heard of is not
//! reported, so no statement comes back as a newer one.

use std::collections::BTreeMap;
use std::time::Duration;

use slog::info;
use trefoil_balance::{Fleet, LimitReport, Statement, Tag, Usage, without_own};
use trefoil_core::{HostId, PerSecond, Tick};
use trefoil_directory::{Incarnation, UpstreamId};
use trefoil_http::h1::ResponseHead;

use crate::host::Host;
use crate::message::{LimitItem, StatementItem};
use crate::peers::whole_millis;
use crate::request_log::NONE;

/// Units of a rate in datagrams per request a second.
const RATE_UNITS: f64 = 1000.0;

/// An answer in which an upstream speaks of itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Source<'a> {
    /// The upstream that the request was sent to.
    pub(crate) upstream: &'a Incarnation,
    /// When the request was sent.
    pub(crate) sent: Tick,
    /// The upstream has carried out the request. Only such answers show that a limit has ended.
    pub(crate) carried_out: bool,
}

impl Host {
    /// Records what an upstream says about itself in the head of an answer.
    pub(crate) fn record_notice(&self, source: Source<'_>, head: &ResponseHead) {
        let notice = match self.platform.decode_notice(head) {
            Ok(notice) => notice,
            Err(reason) => return self.log_rejected("statement of an upstream", &reason),
        };
        let Some(id) = self.directory.borrow().id_of(source.upstream) else {
            return;
        };
        if let Some(stated) = notice.load
            && let Some(load) = self.balancer.borrow_mut().load_mut(id)
        {
            let open = stated.running.saturating_add(stated.waiting);
            load.record_stated(self.now(), open, stated.pace);
        }
        if notice.limit.is_none() && !source.carried_out {
            return;
        }
        let mut limits = self.limits.borrow_mut();
        if limits.record_answer(self.now(), id, source.sent, notice.limit) {
            self.log_limit(id, notice.limit, "answer");
        }
    }

    /// Decides whether a request may be sent to an upstream.
    ///
    /// # Errors
    ///
    /// Fails with the time after which the upstream takes the next request.
    pub(crate) fn admit_limited(&self, now: Tick, id: UpstreamId) -> Result<(), Duration> {
        let mut limits = self.limits.borrow_mut();
        if limits.rate(id).is_none() {
            return Ok(());
        }
        let peers = self.peers.borrow();
        let fleet = Fleet {
            hosts: peers.all_hosts(now),
            connected: peers.position(now) == 0 || peers.hears_relay(now),
        };
        limits.admit(now, id, fleet, rand::random())
    }

    /// This host's report about limits for its relays.
    pub(crate) fn report_limits(&self, now: Tick) -> Vec<LimitItem> {
        let own = self.limits.borrow_mut().own_reports(now);
        let items = self.limit_items(now, &own);
        self.reported_limits.replace(own);
        items
    }

    /// Records the report of another host of this domain.
    pub(crate) fn record_limit_report(&self, now: Tick, from: HostId, items: &[LimitItem]) {
        let mut tally = self.local_limits.borrow_mut();
        for (id, report) in self.decode_limits(now, items) {
            tally.set(now, from, id, report);
        }
    }

    /// Joins the reports that this relay has, and applies them to itself. Returns those of its
    /// domain and those of all domains.
    pub(crate) fn join_limits(
        &self,
        now: Tick,
    ) -> (
        BTreeMap<UpstreamId, LimitReport>,
        BTreeMap<UpstreamId, LimitReport>,
    ) {
        let (mut local, mut remote) = (
            self.local_limits.borrow_mut(),
            self.remote_limits.borrow_mut(),
        );
        local.expire(now);
        remote.expire(now);
        let mut limits = self.limits.borrow_mut();
        limits.expire(now);
        let domain = join(local.merged(), limits.own_reports(now));
        let all = join(domain.clone(), remote.merged());
        drop(limits);
        self.reported_limits
            .replace(self.limits.borrow_mut().own_reports(now));
        self.apply_limits(now, &all);
        (domain, all)
    }

    /// Applies joint reports of all hosts, this one included.
    pub(crate) fn apply_limits(&self, now: Tick, all: &BTreeMap<UpstreamId, LimitReport>) {
        let reported = self.reported_limits.borrow();
        let mut limits = self.limits.borrow_mut();
        for (id, joint) in all {
            let others = without_own(*joint, reported.get(id));
            let before = limits.rate(*id);
            let news = limits.record_others(now, *id, others);
            let rate = limits.rate(*id);
            if news && before != rate {
                self.log_limit(*id, rate, "report");
            }
        }
    }

    fn log_limit(&self, id: UpstreamId, rate: Option<PerSecond>, source: &'static str) {
        let directory = self.directory.borrow();
        let name = directory
            .by_id(id)
            .map_or(NONE, |u| u.registration.incarnation.name.as_str());
        let rate = rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
        info!(self.log, "upstream limit"; "upstream" => name, "limit" => rate,
            "source" => source);
    }

    /// Encodes reports for a datagram. Upstreams whose run has ended are left out.
    pub(crate) fn limit_items(
        &self,
        now: Tick,
        reports: &BTreeMap<UpstreamId, LimitReport>,
    ) -> Vec<LimitItem> {
        let directory = self.directory.borrow();
        let item = |(id, report): (&UpstreamId, &LimitReport)| {
            let upstream = &directory.by_id(*id)?.registration.incarnation;
            Some(LimitItem {
                tag: Tag::of(&upstream.name),
                sent: report.usage.sent,
                wanted: report.usage.wanted,
                stated: report.stated.map(|stated| StatementItem {
                    rate: stated.rate.map(encode_rate),
                    age_ms: whole_millis(now.since(stated.at)),
                }),
                upstream: Some(upstream.clone()),
            })
        };
        reports.iter().filter_map(item).collect()
    }

    /// Decodes reports of a datagram. Those about runs that this host does not know are dropped;
    /// they are repeated several times per second.
    pub(crate) fn decode_limits(
        &self,
        now: Tick,
        items: &[LimitItem],
    ) -> BTreeMap<UpstreamId, LimitReport> {
        let directory = self.directory.borrow();
        let id = |item: &LimitItem| match &item.upstream {
            Some(upstream) => directory.id_of(upstream),
            None => self.balancer.borrow().sole_tagged(item.tag),
        };
        let decoded = items
            .iter()
            .filter_map(|item| Some((id(item)?, decode_item(now, item))));
        decoded.collect()
    }
}

fn join(
    mut first: BTreeMap<UpstreamId, LimitReport>,
    second: BTreeMap<UpstreamId, LimitReport>,
) -> BTreeMap<UpstreamId, LimitReport> {
    for (id, report) in second {
        let known = first.entry(id).or_default();
        *known = known.merge(report);
    }
    first
}

fn decode_item(now: Tick, item: &LimitItem) -> LimitReport {
    let stated = item.stated.map(|stated| Statement {
        rate: stated
            .rate
            .map(|rate| PerSecond(f64::from(rate) / RATE_UNITS)),
        at: Tick(
            now.0
                .saturating_sub(Duration::from_millis(stated.age_ms.into())),
        ),
    });
    LimitReport {
        usage: Usage {
            sent: item.sent,
            wanted: item.wanted,
        },
        stated,
    }
}

fn encode_rate(rate: PerSecond) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to the range of the type"
    )]
    let units = (rate.0 * RATE_UNITS).clamp(0.0, f64::from(u32::MAX)) as u32;
    units
}
