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
use trefoil_core::{DomainName, HostId, KeyHash, ServiceName, UpstreamName};
use trefoil_log::{Assignment, Body, HostRecord, Placement, Verdict, View};
use trefoil_placement::{Change, Member, Table, initial};

use crate::dispatcher::Dispatchers;
use crate::shared::Shared;

/// Wait for each position in the member list before a host plans.
const STAGGER: Duration = Duration::from_millis(500);

/// Longest time between two looks at the view.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Time in which a record must be read back.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Hosts named in an assignment: the dispatcher and two successors.
const RANKS: usize = 3;

/// Plans for as long as the process runs.
pub async fn run(shared: Arc<Shared>, dispatchers: Arc<Dispatchers>) {
    loop {
        shared
            .wait_change(shared.clock.now().after(LOOK_EVERY))
            .await;
        let needed = |view: &View| wanted(view, &dispatchers.observed());
        if !shared.is_current() || needed(&shared.view()).is_none() {
            continue;
        }
        let position = shared
            .view()
            .hosts
            .keys()
            .position(|h| *h == shared.host.id);
        let Some(position) = position else { continue };
        let wait = STAGGER * u32::try_from(position).unwrap_or(u32::MAX);
        shared.clock.sleep(wait).await;
        let view = shared.view();
        if let Some(placement) = needed(&view) {
            submit(&shared, &view, placement).await;
        }
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
    if view.hosts.is_empty() {
        return None;
    }
    let mut placement = Placement::default();
    for service in view.services() {
        let changes = table_changes(view, service, observed);
        placement
            .changes
            .extend(changes.into_iter().map(|c| (service.name.clone(), c)));
    }
    placement.assignments = assignments(view);
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
        return vec![initial(members, service.shards)];
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

fn assignments(view: &View) -> Vec<Assignment> {
    let live = |host: &HostId| view.hosts.contains_key(host);
    let mut load: BTreeMap<HostId, usize> = view.hosts.keys().map(|h| (*h, 0)).collect();
    for assigned in view.dispatchers.values() {
        if let Some(count) = assigned
            .assignment
            .hosts
            .first()
            .and_then(|h| load.get_mut(h))
        {
            *count += 1;
        }
    }
    let mut list = Vec::new();
    for service in view.services() {
        for upstream in &service.upstreams {
            let current = view.dispatchers.get(&upstream.name);
            let full = RANKS.min(view.hosts.len());
            let fits = |a: &Assignment| a.hosts.iter().filter(|h| live(h)).count() >= full;
            let current = current.map(|a| &a.assignment);
            if current.is_some_and(|a| a.hosts.first().is_some_and(live) && fits(a)) {
                continue;
            }
            let hosts = ranked(
                view,
                &load,
                current,
                &service.name,
                &upstream.domain,
                &upstream.name,
            );
            if let Some(count) = hosts.first().and_then(|h| load.get_mut(h)) {
                *count += 1;
            }
            list.push(Assignment {
                upstream: upstream.name.clone(),
                hosts,
            });
        }
    }
    list
}

/// Hosts for an upstream: the present ones that are live come first, so that a change of
/// successors does not move the dispatcher; then hosts of the upstream's failure domain with the
/// fewest upstreams.
fn ranked(
    view: &View,
    load: &BTreeMap<HostId, usize>,
    current: Option<&Assignment>,
    service: &ServiceName,
    domain: &DomainName,
    upstream: &UpstreamName,
) -> SmallVec<[HostId; 3]> {
    let present = |id: &HostId| current.and_then(|a| a.hosts.iter().position(|h| h == id));
    let score =
        |host: &HostRecord| KeyHash::of(format!("{service}/{upstream}/{}", host.id).as_bytes());
    let order = |host: &HostRecord| {
        let id = host.id;
        let rank = present(&id).unwrap_or(usize::MAX);
        (
            rank,
            host.domain != *domain,
            load.get(&id).copied().unwrap_or(0),
            score(host),
        )
    };
    let mut hosts: Vec<_> = view.hosts.values().collect();
    hosts.sort_by_cached_key(|h| order(h));
    hosts.into_iter().take(RANKS).map(|h| h.id).collect()
}
