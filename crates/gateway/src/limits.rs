//! Limits that upstreams state in their answers.
//!
//! A host reports its requests to limited upstreams to its relays, and what the upstreams have said
//! to itself; relays join the reports, see [`crate::relay`]. What a host has only heard of is not
//! reported, so no statement comes back as a newer one.

use std::collections::BTreeMap;
use std::time::Duration;

use slog::info;
use trefoil_balance::{Fleet, LimitReport, Statement, Usage, without_own};
use trefoil_core::{HostId, PerSecond, Tick, UpstreamName};
use trefoil_directory::Tag;
use trefoil_http::h1::ResponseHead;

use crate::host::Host;
use crate::message::{LimitItem, StatementItem};
use crate::peers::whole_millis;

/// Units of a rate in datagrams per request a second.
const RATE_UNITS: f64 = 1000.0;

/// An answer in which an upstream speaks of itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Source<'a> {
    /// Name of the upstream.
    pub(crate) upstream: &'a UpstreamName,
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
        if notice.limit.is_none() && !source.carried_out {
            return;
        }
        let (now, tag) = (self.now(), Tag::of(source.upstream));
        let mut limits = self.limits.borrow_mut();
        if limits.record_answer(now, tag, source.sent, notice.limit) {
            self.log_limit(source.upstream.as_str(), notice.limit, "answer");
        }
    }

    /// Decides whether a request may be sent to an upstream.
    ///
    /// # Errors
    ///
    /// Fails with the time after which the upstream takes the next request.
    pub(crate) fn admit_limited(&self, now: Tick, tag: Tag) -> Result<(), Duration> {
        let mut limits = self.limits.borrow_mut();
        if limits.rate(tag).is_none() {
            return Ok(());
        }
        let peers = self.peers.borrow();
        let fleet = Fleet {
            hosts: peers.all_hosts(now),
            connected: peers.position(now) == 0 || peers.hears_relay(now),
        };
        limits.admit(now, tag, fleet, rand::random())
    }

    /// This host's report about limits for its relays.
    pub(crate) fn report_limits(&self, now: Tick) -> Vec<LimitItem> {
        let own = self.limits.borrow_mut().own_reports(now);
        let items = limit_items(now, &own);
        self.reported_limits.replace(own);
        items
    }

    /// Records the report of another host of this domain.
    pub(crate) fn record_limit_report(&self, now: Tick, from: HostId, items: &[LimitItem]) {
        let mut tally = self.local_limits.borrow_mut();
        for item in items {
            tally.set(now, from, item.tag, decode_item(now, item));
        }
    }

    /// Joins the reports that this relay has, and applies them to itself. Returns those of its
    /// domain and those of all domains.
    pub(crate) fn join_limits(
        &self,
        now: Tick,
    ) -> (BTreeMap<Tag, LimitReport>, BTreeMap<Tag, LimitReport>) {
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
    pub(crate) fn apply_limits(&self, now: Tick, all: &BTreeMap<Tag, LimitReport>) {
        let reported = self.reported_limits.borrow();
        let mut limits = self.limits.borrow_mut();
        for (tag, joint) in all {
            let others = without_own(*joint, reported.get(tag));
            let before = limits.rate(*tag);
            let news = limits.record_others(now, *tag, others);
            let rate = limits.rate(*tag);
            if news && before != rate {
                let directory = self.directory.borrow();
                let name = directory.by_tag(*tag).map(|r| &r.incarnation.name);
                self.log_limit(name.map_or("-", UpstreamName::as_str), rate, "report");
            }
        }
    }

    fn log_limit(&self, upstream: &str, rate: Option<PerSecond>, source: &'static str) {
        let rate = rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
        info!(self.log, "upstream limit"; "upstream" => upstream, "limit" => rate,
            "source" => source);
    }
}

fn join(
    mut first: BTreeMap<Tag, LimitReport>,
    second: BTreeMap<Tag, LimitReport>,
) -> BTreeMap<Tag, LimitReport> {
    for (tag, report) in second {
        let known = first.entry(tag).or_default();
        *known = known.merge(report);
    }
    first
}

/// Encodes reports for a datagram.
pub(crate) fn limit_items(now: Tick, reports: &BTreeMap<Tag, LimitReport>) -> Vec<LimitItem> {
    let item = |(tag, report): (&Tag, &LimitReport)| LimitItem {
        tag: *tag,
        sent: report.usage.sent,
        wanted: report.usage.wanted,
        stated: report.stated.map(|stated| StatementItem {
            rate: stated.rate.map(encode_rate),
            age_ms: whole_millis(now.since(stated.at)),
        }),
    };
    reports.iter().map(item).collect()
}

/// Decodes reports of a datagram.
pub(crate) fn decode_items(now: Tick, items: &[LimitItem]) -> BTreeMap<Tag, LimitReport> {
    let decoded = items.iter().map(|item| (item.tag, decode_item(now, item)));
    decoded.collect()
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
