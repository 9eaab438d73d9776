//! Which hosts dispatch to which upstreams.

use std::collections::BTreeMap;

use smallvec::SmallVec;
use trefoil_core::{DomainName, HostId, KeyHash, UpstreamName};
use trefoil_log::{HostRecord, Ranking, View};

/// Hosts named in an assignment: the dispatcher and two successors.
const RANKS: usize = 3;

/// Upstreams that a host may have more than another before one is moved. Below that, moving would
/// cost more than it evens out.
const LOAD_GAP: usize = 2;

/// Assignments that are needed, without the hosts in `excluded`.
pub fn plan_assignments(view: &View, excluded: &[HostId]) -> Vec<Ranking> {
    // A host takes part once it has a lease: without one it could not act.
    let hosts: Vec<_> = view
        .hosts
        .values()
        .filter(|h| view.is_active(h.id) && view.records.leases_of(h.id).is_some())
        .filter(|h| !excluded.contains(&h.id))
        .collect();
    let mut load = Load::new(view, &hosts);
    let live = |load: &Load, id: &HostId| load.counts.contains_key(id);
    let full = RANKS.min(hosts.len());
    let mut list = Vec::new();
    for upstream in view.services().flat_map(|s| &s.upstreams) {
        let current = view.records.assignment(&upstream.name).map(|a| &*a.hosts);
        let ranks = current.unwrap_or_default();
        let complete = ranks.iter().filter(|h| live(&load, h)).count() >= full;
        let first = ranks.first().copied().filter(|h| live(&load, h));
        let moves = first.filter(|h| load.is_over(*h));
        if complete && first.is_some() && moves.is_none() {
            continue;
        }
        let ranked = ranked(
            &hosts,
            &load,
            ranks,
            moves,
            &upstream.domain,
            &upstream.name,
        );
        if ranked.is_empty() || (complete && ranked.first() == first.as_ref()) {
            continue;
        }
        let next = ranked.first().copied().filter(|h| Some(*h) != first);
        load.change(moves, next);
        list.push(Ranking {
            upstream: upstream.name.clone(),
            hosts: ranked,
        });
    }
    list
}

/// Number of upstreams that each host dispatches to.
#[derive(Debug)]
struct Load {
    counts: BTreeMap<HostId, usize>,
    /// The smallest count. It is kept, because to look for it once for each upstream made a look at
    /// the view quadratic in the hosts.
    least: usize,
}

impl Load {
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

    /// Whether a host dispatches to so many more upstreams than another that moving one pays.
    fn is_over(&self, host: HostId) -> bool {
        self.count(host) > self.least + LOAD_GAP
    }

    /// Counts an upstream that goes from one host to another.
    fn change(&mut self, from: Option<HostId>, to: Option<HostId>) {
        if let Some(count) = from.and_then(|h| self.counts.get_mut(&h)) {
            *count -= 1;
        }
        if let Some(count) = to.and_then(|h| self.counts.get_mut(&h)) {
            *count += 1;
        }
        self.find_least();
    }
}

/// Hosts for an upstream. Those ranked at present come first, so that a change of successors does
/// not move the dispatcher; then hosts of the upstream's failure domain, those with the fewest
/// upstreams first. The host in `moves` is to give the upstream up, so it comes last.
fn ranked(
    hosts: &[&HostRecord],
    load: &Load,
    present: &[HostId],
    moves: Option<HostId>,
    domain: &DomainName,
    upstream: &UpstreamName,
) -> SmallVec<[HostId; 3]> {
    let score = |host: &HostRecord| KeyHash::of(format!("{upstream}/{}", host.id).as_bytes());
    let order = |host: &&HostRecord| {
        let id = host.id;
        let rank = present.iter().position(|h| *h == id).unwrap_or(usize::MAX);
        let rank = if moves.is_some() { usize::MAX } else { rank };
        let count = load.count(id);
        (
            moves == Some(id),
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
