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
pub fn assignments(view: &View, excluded: &[HostId]) -> Vec<Ranking> {
    // A host takes part once it has a lease: without one it could not act.
    let hosts: Vec<_> = view
        .hosts
        .values()
        .filter(|h| view.stays(h.id) && view.records.tenure(h.id).is_some())
        .filter(|h| !excluded.contains(&h.id))
        .collect();
    let live = |id: &HostId| hosts.iter().any(|h| h.id == *id);
    let mut load: BTreeMap<HostId, usize> = hosts.iter().map(|h| (h.id, 0)).collect();
    for assignment in view.records.assignments() {
        if let Some(count) = assignment.hosts.first().and_then(|h| load.get_mut(h)) {
            *count += 1;
        }
    }
    let full = RANKS.min(hosts.len());
    let mut list = Vec::new();
    for upstream in view.services().flat_map(|s| &s.upstreams) {
        let current = view.records.assignment(&upstream.name).map(|a| &*a.hosts);
        let ranks = current.unwrap_or_default();
        let complete = ranks.iter().filter(|h| live(h)).count() >= full;
        let first = ranks.first().copied().filter(live);
        if complete && first.is_some_and(|h| !overloaded(&load, h)) {
            continue;
        }
        let moves = first.filter(|h| overloaded(&load, *h));
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
        if let Some(count) = moves.and_then(|h| load.get_mut(&h)) {
            *count -= 1;
        }
        if let Some(count) = ranked
            .first()
            .filter(|h| Some(**h) != first)
            .and_then(|h| load.get_mut(h))
        {
            *count += 1;
        }
        list.push(Ranking {
            upstream: upstream.name.clone(),
            hosts: ranked,
        });
    }
    list
}

/// Whether a host dispatches to so many more upstreams than another that moving one pays.
fn overloaded(load: &BTreeMap<HostId, usize>, host: HostId) -> bool {
    let least = load.values().min().copied().unwrap_or(0);
    load.get(&host).is_some_and(|n| *n > least + LOAD_GAP)
}

/// Hosts for an upstream. Those ranked at present come first, so that a change of successors does
/// not move the dispatcher; then hosts of the upstream's failure domain, those with the fewest
/// upstreams first. The host in `moves` is to give the upstream up, so it comes last.
fn ranked(
    hosts: &[&HostRecord],
    load: &BTreeMap<HostId, usize>,
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
        let count = load.get(&id).copied().unwrap_or(0);
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
