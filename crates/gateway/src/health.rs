//! Failures of upstreams, as seen by all hosts.
//!
//! A host reports its counts of the upstreams that it or others have seen failing to the first relay
//! of its domain, which sums them up over hosts and domains, see [`crate::relay`]. Only the first
//! relay has the reports of all hosts of its domain, so only its digests and exchanges have sums.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use slog::{info, warn};
use trefoil_balance::{Change, Counts, Decision, Others, Tag};
use trefoil_core::{DomainName, HostId, Tick};

use crate::host::Host;
use crate::message::HealthItem;
use crate::request_log::NONE;

/// Most upstreams in a report or digest, those with the most failures at all hosts. A digest has about ten
/// datagrams of them.
const HEALTH_MAX: usize = 480;

impl Host {
    /// This host's counts for its relay.
    pub(crate) fn report_health(&self, now: Tick) -> Vec<HealthItem> {
        let mut balancer = self.balancer.borrow_mut();
        let own = balancer.own_counts(now);
        let counts = own.iter().map(|(tag, counts)| (*tag, both(*counts)));
        let items = items(counts, |tag| balancer.known_failures(tag));
        self.reported_health.replace(own);
        items
    }

    /// Records the counts of another host of this domain.
    pub(crate) fn record_health_report(&self, now: Tick, from: HostId, items: &[HealthItem]) {
        let mut tally = self.local_health.borrow_mut();
        for item in items {
            tally.set(now, from, item.tag, all_counts(item));
        }
    }

    /// Records the counts of another domain.
    pub(crate) fn record_remote_health(
        &self,
        now: Tick,
        domain: &DomainName,
        items: &[HealthItem],
    ) {
        let mut tally = self.remote_health.borrow_mut();
        for item in items {
            tally.set(now, domain.clone(), item.tag, all_counts(item));
        }
    }

    /// Sums up the counts that this relay has, and applies those of the others to itself. Returns
    /// the sums of its domain and those of all domains. There are none unless it is the first relay.
    pub(crate) fn join_health(&self, now: Tick) -> (Vec<HealthItem>, Vec<HealthItem>) {
        let (mut local, mut remote) = (
            self.local_health.borrow_mut(),
            self.remote_health.borrow_mut(),
        );
        // The second relay receives the counts of other domains as well.
        local.expire(now);
        remote.expire(now);
        if self.peers.borrow().position(now) > 0 {
            return Default::default();
        }
        let mut joint: BTreeMap<Tag, Others> = BTreeMap::new();
        for (tag, domain) in local.sums() {
            joint.insert(tag, both(domain));
        }
        for (tag, counts) in remote.sums() {
            let known = joint.entry(tag).or_default();
            known.all = known.all.plus(counts);
        }
        let mut balancer = self.balancer.borrow_mut();
        for (tag, others) in &joint {
            balancer.record_counts(now, *tag, *others);
        }
        let own = balancer.own_counts(now);
        for (tag, own) in &own {
            let known = joint.entry(*tag).or_default();
            known.domain = known.domain.plus(*own);
            known.all = known.all.plus(*own);
        }
        self.reported_health.replace(own);
        let domain = joint.iter().map(|(tag, sums)| (*tag, both(sums.domain)));
        let all = joint.iter().map(|(tag, sums)| (*tag, *sums));
        let failures = |tag| joint.get(&tag).map_or(0, |sums| sums.all.failed);
        (items(domain, failures), items(all, failures))
    }

    /// Applies the sums of all hosts, this one included.
    pub(crate) fn apply_health(&self, now: Tick, items: &[HealthItem]) {
        let reported = self.reported_health.borrow();
        let mut balancer = self.balancer.borrow_mut();
        for item in items {
            let own = reported.get(&item.tag).copied().unwrap_or_default();
            let domain = Counts {
                failed: item.domain_failed,
                total: item.domain_total,
            };
            let others = Others {
                domain: domain.minus(own),
                all: all_counts(item).minus(own),
            };
            balancer.record_counts(now, item.tag, others);
        }
    }

    /// Ejects upstreams that fail and takes back those that have recovered.
    pub(crate) fn judge_upstreams(&self, now: Tick) {
        let hosts = self.peers.borrow().all_hosts(now);
        let mut balancer = self.balancer.borrow_mut();
        let decisions = balancer.judge(now, hosts);
        let probes = balancer.take_probes();
        drop(balancer);
        for service in probes {
            self.metrics.health.record_probe(&service);
        }
        for decision in &decisions {
            self.record_decision(decision);
        }
        if !decisions.is_empty() {
            // Coordinators look for new owners of the keys, and requests for other upstreams.
            self.events.directory.notify(usize::MAX);
            self.events.capacity.notify(usize::MAX);
        }
    }

    /// Logs and counts a decision.
    fn record_decision(&self, decision: &Decision) {
        let directory = self.directory.borrow();
        let name = directory
            .by_id(decision.id)
            .map_or(NONE, |u| u.registration.incarnation.name.as_str());
        let service = &decision.service;
        let Others { domain, all } = decision.counts;
        match decision.change {
            Change::Ejected(span, basis) => {
                self.metrics.health.record_ejection(service);
                warn!(self.log, "upstream ejected"; "service" => %service, "upstream" => name,
                    "reason" => %basis, "for_ms" => span.as_millis(), "failed" => all.failed,
                    "total" => all.total, "domain_failed" => domain.failed,
                    "domain_total" => domain.total,
                    "baseline" => format!("{:.3}", decision.baseline));
            }
            Change::Ended(end) => info!(self.log, "ejection ended"; "service" => %service,
                "upstream" => name, "reason" => %end, "failed" => all.failed,
                "total" => all.total, "baseline" => format!("{:.3}", decision.baseline)),
        }
    }
}

fn both(counts: Counts) -> Others {
    Others {
        domain: counts,
        all: counts,
    }
}

fn all_counts(item: &HealthItem) -> Counts {
    Counts {
        failed: item.failed,
        total: item.total,
    }
}

/// Encodes counts for datagrams. `failures` gives those of all hosts, by which all leave out the same
/// upstreams if there are too many.
fn items<I, F>(counts: I, failures: F) -> Vec<HealthItem>
where
    I: IntoIterator<Item = (Tag, Others)>,
    F: Fn(Tag) -> u32,
{
    let item = |(tag, Others { domain, all })| HealthItem {
        tag,
        failed: all.failed,
        total: all.total,
        domain_failed: domain.failed,
        domain_total: domain.total,
    };
    let mut items: Vec<HealthItem> = counts.into_iter().map(item).collect();
    if items.len() > HEALTH_MAX {
        items.sort_by_key(|item| (Reverse(failures(item.tag)), item.tag));
        items.truncate(HEALTH_MAX);
    }
    items
}
