//! The planner: turns the view and what this host has seen into placement records.
//!
//! Any host may plan. A record names the placement revision that it builds on, so of two planners
//! that act at once one is rejected and looks again. To keep such races rare, each host waits its
//! position in the member list times `STAGGER` and then plans only what is still needed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use smallvec::SmallVec;
use trefoil_config::Service;
use trefoil_core::{DomainName, HostId, KeyHash, Revision, UpstreamName};
use trefoil_log::{Body, HostRecord, Placement, Ranking, Verdict, View};
use trefoil_placement::{Change, Member, Table, initial};

use crate::authority::Authority;
use crate::dispatcher::Dispatchers;
use crate::shared::Shared;

/// Wait for each position in the member list before a host plans.
const STAGGER: Duration = Duration::from_millis(500);

/// Wait for each host before this one that can prove the loss of a host as well.
const PROVER_STAGGER: Duration = Duration::from_millis(100);

/// Longest time between two looks at the view.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Time in which a record must be read back.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Hosts named in an assignment: the dispatcher and two successors.
const RANKS: usize = 3;

/// Upstreams that a host may have more than another before one is moved. Below that, moving would
/// cost more than it evens out.
const LOAD_GAP: usize = 2;

/// Plans for as long as the process runs.
pub async fn run(shared: Arc<Shared>, authority: Arc<Authority>, dispatchers: Arc<Dispatchers>) {
    loop {
        shared
            .wait_change(shared.clock.now().after(LOOK_EVERY))
            .await;
        record_lost(&shared, &authority).await;
        let view = shared.view();
        let needed = |view: &View| wanted(view, &dispatchers.observed());
        if !shared.is_current() || needed(&view).is_none() {
            continue;
        }
        // What only this host has seen is planned by nobody else, so there is nothing to wait for.
        let shown = wanted(&view, &Observed::default()).is_some();
        let position = view.hosts.keys().position(|h| *h == shared.host.id);
        let Some(position) = position else { continue };
        if shown {
            shared
                .clock
                .sleep(STAGGER * u32::try_from(position).unwrap_or(u32::MAX))
                .await;
        }
        let view = shared.view();
        if let Some(placement) = needed(&view) {
            submit(&shared, &view, placement).await;
        }
    }
}

/// Records the hosts of which this host can prove that their leases have expired. Those that can
/// prove it are the successors and witnesses of the lost host; each waits for those before it.
async fn record_lost(shared: &Shared, authority: &Authority) {
    for host in authority.lost_hosts(&shared.view()) {
        let view = shared.view();
        let provers = view.records.successors(host);
        let position = provers
            .iter()
            .position(|h| *h == shared.host.id)
            .unwrap_or(provers.len());
        let wait = PROVER_STAGGER * u32::try_from(position).unwrap_or(u32::MAX);
        shared.clock.sleep(wait).await;
        if shared.view().hosts.contains_key(&host) {
            record_expiry(shared, host).await;
        }
    }
}

/// Records that a host's lease has expired.
async fn record_expiry(shared: &Shared, host: HostId) {
    let until = shared.clock.now().after(SUBMIT_TIMEOUT);
    match shared
        .decide(Revision(0), Body::Expired { host }, until)
        .await
    {
        Ok(verdict) => info!(shared.logger, "host expired"; "lost" => %host, "verdict" => ?verdict),
        Err(e) => warn!(shared.logger, "expiry not written"; "lost" => %host, "error" => %e),
    }
}

/// Gives the upstreams of this host to others, because it stops.
pub async fn hand_over(shared: &Shared) {
    let view = shared.view();
    let assignments = assignments(&view, &[shared.host.id]);
    if !assignments.is_empty() {
        submit(
            shared,
            &view,
            Placement {
                changes: Vec::new(),
                assignments,
            },
        )
        .await;
    }
}

async fn submit(shared: &Shared, view: &View, placement: Placement) {
    let until = shared.clock.now().after(SUBMIT_TIMEOUT);
    let changes = placement.changes.len();
    let assignments = placement.assignments.len();
    match shared
        .decide(view.placement, Body::Placement(placement), until)
        .await
    {
        Ok(Verdict::Accepted { revision }) => {
            info!(shared.logger, "placement changed"; "revision" => %revision, "changes" => changes, "assignments" => assignments);
        }
        Ok(verdict) => {
            info!(shared.logger, "placement not accepted"; "verdict" => ?verdict);
        }
        Err(e) => warn!(shared.logger, "placement not written"; "error" => %e),
    }
}

/// What this host has seen of the upstreams that it dispatches to. Only an upstream's dispatcher
/// probes it, so other hosts must not conclude anything from its absence here.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Observed {
    /// Upstreams that do not answer.
    pub lost: Vec<UpstreamName>,
    /// Upstreams that have answered several probes in a row.
    pub healthy: Vec<UpstreamName>,
}

/// The placement decision that the view needs, if any.
pub fn wanted(view: &View, observed: &Observed) -> Option<Placement> {
    let mut placement = Placement::default();
    for service in view.services() {
        let changes = table_changes(view, service, observed);
        placement
            .changes
            .extend(changes.into_iter().map(|c| (service.name.clone(), c)));
    }
    placement.assignments = assignments(view, &[]);
    let empty = placement.changes.is_empty() && placement.assignments.is_empty();
    (!empty).then_some(placement)
}

fn table_changes(view: &View, service: &Service, observed: &Observed) -> Vec<Change> {
    let staying = service.upstreams.iter().filter(|u| !u.leaving);
    let staying: Vec<_> = staying.map(|u| u.name.clone()).collect();
    let Some(table) = view.tables.get(&service.name) else {
        let members = if staying.is_empty() {
            declared(service)
        } else {
            staying
        };
        // A resource that an older build published may have values that no table can have.
        let fits = service.shards.is_power_of_two()
            && service.shards <= trefoil_config::resource::SHARDS_MAX;
        return if fits && !members.is_empty() {
            vec![initial(members, service.shards)]
        } else {
            Vec::new()
        };
    };
    let ends = |name: &UpstreamName| !staying.contains(name) || observed.lost.contains(name);
    let gone: SmallVec<[Member; 4]> = table
        .live()
        .filter(|(_, name)| ends(name))
        .map(|(member, _)| member)
        .collect();
    if gone.len() == table.live().count() {
        return Vec::new();
    }
    // A member that was lost joins again only when its dispatcher has seen it answer. A host that
    // does not probe it would otherwise undo the loss, and the two would go on for ever.
    let joins = |name: &UpstreamName| match table.member(name) {
        Some(_) => false,
        None => !table.members().contains(name) || observed.healthy.contains(name),
    };
    let joined: Vec<_> = staying.into_iter().filter(joins).collect();
    if gone.is_empty() && joined.is_empty() {
        return Vec::new();
    }
    rebalanced(table, gone, joined)
}

fn declared(service: &Service) -> Vec<UpstreamName> {
    service.upstreams.iter().map(|u| u.name.clone()).collect()
}

/// Marks members as lost, adds members, and gives the shards whose seats are affected new seats.
fn rebalanced(
    table: &Table,
    gone: SmallVec<[Member; 4]>,
    joined: Vec<UpstreamName>,
) -> Vec<Change> {
    let mut changes = Vec::new();
    if !joined.is_empty() {
        changes.push(Change::Join { members: joined });
    }
    if !gone.is_empty() {
        changes.push(Change::Lost { members: gone });
    }
    let mut next = table.clone();
    if changes.iter().any(|c| next.apply(c).is_err()) {
        return Vec::new();
    }
    let moves = trefoil_placement::plan::reseat(&next);
    if !moves.is_empty() {
        changes.push(Change::Moves { moves });
    }
    changes
}

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
