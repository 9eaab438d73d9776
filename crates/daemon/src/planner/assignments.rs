//! Assignment of dispatchers and successors to upstreams.

use std::collections::BTreeMap;

use smallvec::SmallVec;
use trefoil_core::{DomainName, HostId, KeyHash, UpstreamName};
use trefoil_log::{HostRecord, Ranking, View};

/// Number of hosts in an assignment: the dispatcher and two successors.
const RANKS: usize = 3;

/// Largest difference in the number of upstreams of two hosts at which none is moved. Up to this
/// difference, a move would cost more than the better balance is worth.
const LOAD_GAP: usize = 2;

/// Plans the assignments that must change, without the hosts in `excluded`.
pub fn plan_assignments(view: &View, excluded: &[HostId]) -> Vec<Ranking> {
    // Only hosts with a lease are assigned: a host without one has no authority to dispatch.
    let hosts: Vec<_> = view
        .hosts
        .values()
        .filter(|h| view.stays(h.id) && view.records.leases_of(h.id).is_some())
        .filter(|h| !excluded.contains(&h.id))
        .collect();
    let mut load = HostLoad::new(view, &hosts);
    let live = |load: &HostLoad, id: &HostId| load.counts.contains_key(id);
    let full = RANKS.min(hosts.len());
    let mut list = Vec::new();
    for upstream in view.services().flat_map(|s| &s.upstreams) {
        let current = view.records.assignment(&upstream.name).map(|a| &*a.hosts);
        let ranks = current.unwrap_or_default();
        let complete = ranks.iter().filter(|h| live(&load, h)).count() >= full;
        let first = ranks.first().copied().filter(|h| live(&load, h));
        let overloaded = first.filter(|h| load.is_overloaded(*h));
        if complete && first.is_some() && overloaded.is_none() {
            continue;
        }
        let ranked = rank_hosts(
            &hosts,
            &load,
            ranks,
            overloaded,
            &upstream.domain,
            &upstream.name,
        );
        if ranked.is_empty() || (complete && ranked.first() == first.as_ref()) {
            continue;
        }
        let next = ranked.first().copied().filter(|h| Some(*h) != first);
        load.reassign(overloaded, next);
        list.push(Ranking {
            upstream: upstream.name.clone(),
            hosts: ranked,
        });
    }
    list
}

/// Number of upstreams that each host dispatches to.
#[derive(Debug)]
struct HostLoad {
    counts: BTreeMap<HostId, usize>,
    /// The smallest count. It is cached, because a search for each upstream made a planning pass
    /// quadratic in the number of hosts.
    least: usize,
}

impl HostLoad {
    fn new(view: &View, hosts: &[&HostRecord]) -> Self {
        let mut counts: BTreeMap<HostId, usize> = hosts.iter().map(|h| (h.id, 0)).collect();
        for assignment in view.records.assignments() {
            if let Some(count) = assignment.hosts.first().and_then(|h| counts.get_mut(h)) {
                *count += 1;
            }
        }
        let mut load = Self { counts, least: 0 };
        load.find_least();
        load
    }

    fn find_least(&mut self) {
        self.least = self.counts.values().min().copied().unwrap_or(0);
    }

    fn count(&self, host: HostId) -> usize {
        self.counts.get(&host).copied().unwrap_or(0)
    }

    /// Returns whether a host has more than [`LOAD_GAP`] upstreams above the smallest count.
    fn is_overloaded(&self, host: HostId) -> bool {
        self.count(host) > self.least + LOAD_GAP
    }

    /// Updates the counts for an upstream that moves from one host to another.
    fn reassign(&mut self, from: Option<HostId>, to: Option<HostId>) {
        if let Some(count) = from.and_then(|h| self.counts.get_mut(&h)) {
            *count -= 1;
        }
        if let Some(count) = to.and_then(|h| self.counts.get_mut(&h)) {
            *count += 1;
        }
        self.find_least();
    }
}

/// Ranks the hosts for an upstream. The hosts of the current assignment come first, so that a
/// change of successors does not move the dispatcher. Hosts in the failure domain of the upstream
/// follow, those with the fewest upstreams first. If `overloaded` is set, the current ranks are
/// ignored and that host comes last, so that the upstream moves to another one.
fn rank_hosts(
    hosts: &[&HostRecord],
    load: &HostLoad,
    current: &[HostId],
    overloaded: Option<HostId>,
    domain: &DomainName,
    upstream: &UpstreamName,
) -> SmallVec<[HostId; 3]> {
    let score = |host: &HostRecord| KeyHash::of(format!("{upstream}/{}", host.id).as_bytes());
    let order = |host: &&HostRecord| {
        let id = host.id;
        let rank = current.iter().position(|h| *h == id).unwrap_or(usize::MAX);
        let rank = if overloaded.is_some() {
            usize::MAX
        } else {
            rank
        };
        let count = load.count(id);
        (
            overloaded == Some(id),
            rank,
            host.domain != *domain,
            count,
            score(host),
        )
    };
    let mut ranked = hosts.to_vec();
    ranked.sort_by_cached_key(|h| order(h));
    ranked.into_iter().take(RANKS).map(|h| h.id).collect()
}
