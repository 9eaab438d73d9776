//! The planner: derives placement records from the view and the observations of this host.
//!
//! Every host runs a planner, and placement records are subject to optimistic concurrency control:
//! a record names the placement revision that it builds on, so of two concurrent records one is
//! rejected, and its planner plans again on the new state. To keep such conflicts rare, each host
//! waits for its position in the member list times `STAGGER` and then plans only the changes that
//! are still required.
//!
//! There are two kinds of plans:
//!
//! - *Required* changes do not depend on the load: a first table, an upstream that joins, and the
//!   shards of upstreams that are lost, leaving or no longer declared ([`required_placement`]).
//!   They are planned at once by the rule above, and no other shards are moved.
//! - *Balancing* changes follow the load of the last measurement window ([`balance_plans`]). Only
//!   the first host of the member list plans them, once per window, after it has
//!   [collected](balance) the load of all hosts.
//!
//! An upstream gets no shards when it joins. The plans of the following windows raise its share
//! during its slow start.
//!
//! The daemon has no table entries for hot keys. `trefoil-dispatch` hands over whole shards, and
//! its proof that no request is in flight cannot distinguish the requests for a hot key from the
//! others of the shard. The planner therefore gets no hot keys as input and moves whole shards.

pub mod assignments;
pub mod balance;
pub mod tables;
pub mod takeovers;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use trefoil_config::Service;
use trefoil_core::{HostId, Revision, ServiceName, UpstreamName};
use trefoil_log::log::RECORD_MAX;
use trefoil_log::{Body, Placement, Ranking, Verdict, View};
use trefoil_placement::{Change, Plan};
use trefoil_wire::encode;

use crate::authority::Authority;
use crate::dispatcher::Dispatchers;
use crate::load::WindowLoad;
use crate::shared::Shared;

pub use assignments::plan_assignments;
pub use tables::ColdMembers;

/// Load of each service in the last measurement window.
pub type Loads = BTreeMap<ServiceName, WindowLoad>;

/// Delay per position in the member list before a host plans.
const STAGGER: Duration = Duration::from_millis(500);

/// Delay per host that can prove the same loss and precedes this one.
const PROVER_STAGGER: Duration = Duration::from_millis(100);

/// Longest interval between two checks for required changes.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout for a record to be read back from the log.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of the changes and assignments in one record. The remaining 4 KiB are reserved for
/// the envelope and the signature, which take less than 1 KiB.
const BATCH_BYTES: usize = RECORD_MAX - 4096;

/// Size of a change besides its own encoding: a service name of at most 63 characters.
const CHANGE_OVERHEAD_BYTES: usize = 64;

/// Size of an assignment: an upstream name of at most 63 characters and three host ids.
const RANKING_BYTES: usize = 128;

/// Plans required changes for as long as the process runs.
pub async fn run(shared: Arc<Shared>, authority: Arc<Authority>, dispatchers: Arc<Dispatchers>) {
    // The revision and the observations for which no change was required. No other input decides
    // this, so the tables are not checked again until one of them changes.
    let mut idle_input = None;
    loop {
        shared
            .wait_change(shared.clock.now().after(POLL_INTERVAL))
            .await;
        record_lost(&shared, &authority).await;
        let (view, observations) = (shared.view(), dispatchers.observations());
        let input = Some((view.revision, observations.clone()));
        if !shared.is_current() || idle_input == input {
            continue;
        }
        let loads = shared.measured.loads();
        if required_placement(&view, &observations, &loads).is_none() {
            idle_input = input;
            continue;
        }
        // No other host plans changes that follow from the observations of this host alone, so only
        // changes that follow from the view are delayed.
        let from_view = required_placement(&view, &Observations::default(), &loads).is_some();
        let position = view.hosts.keys().position(|h| *h == shared.host.id);
        let Some(position) = position else { continue };
        if from_view {
            shared
                .clock
                .sleep(STAGGER * u32::try_from(position).unwrap_or(u32::MAX))
                .await;
        }
        let view = shared.view();
        if let Some(placement) = required_placement(&view, &dispatchers.observations(), &loads) {
            submit(&shared, &view, placement).await;
        }
    }
}

/// Records the hosts whose expired leases this host can prove. The successors and witnesses of a
/// lost host have this proof; each of them waits for those before it in the list.
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
        Ok(verdict) => info!(shared.logger, "expiry of a host recorded";
            "lost" => %host, "verdict" => ?verdict),
        Err(e) => warn!(shared.logger, "cannot record the expiry of a host";
            "lost" => %host, "error" => %e),
    }
}

/// Assigns the upstreams of this host to other hosts before it stops.
pub async fn hand_over(shared: &Shared) {
    let view = shared.view();
    let assignments = plan_assignments(&view, &[shared.host.id]);
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

/// Writes a placement, split into several records if it is large. Each record builds on the
/// revision of the one before it, so a concurrent record of another planner ends the submission.
async fn submit(shared: &Shared, view: &View, placement: Placement) {
    let mut base = view.placement;
    for batch in batches(placement) {
        match write(shared, base, batch).await {
            Some(revision) => base = revision,
            None => return,
        }
    }
}

/// Writes one placement record. Returns the revision of the placement if the record was accepted.
async fn write(shared: &Shared, base: Revision, placement: Placement) -> Option<Revision> {
    let until = shared.clock.now().after(SUBMIT_TIMEOUT);
    let changes = placement.changes.len();
    let assignments = placement.assignments.len();
    match shared.decide(base, Body::Placement(placement), until).await {
        Ok(Verdict::Accepted { revision }) => {
            info!(shared.logger, "placement changed";
                "revision" => %revision, "changes" => changes, "assignments" => assignments);
            Some(revision)
        }
        Ok(verdict) => {
            info!(shared.logger, "placement record not accepted"; "verdict" => ?verdict);
            None
        }
        Err(e) => {
            warn!(shared.logger, "cannot write the placement record"; "error" => %e);
            None
        }
    }
}

/// Health of the upstreams that this host dispatches to. Only the dispatcher of an upstream probes
/// it, so an upstream that is in neither list may have any state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Observations {
    /// Upstreams that do not answer probes, or that have failed over.
    pub lost: Vec<UpstreamName>,
    /// Upstreams that have answered several probes in a row.
    pub healthy: Vec<UpstreamName>,
}

/// Returns the placement changes that the view requires independent of the load, if any. `loads`
/// only determines which upstream gets a shard that must move.
pub fn required_placement(
    view: &View,
    observations: &Observations,
    loads: &Loads,
) -> Option<Placement> {
    let mut changes = Vec::new();
    for service in view.services() {
        let load = loads.get(&service.name).map(|c| &c.load);
        let required = tables::required_changes(view, service, observations, load);
        changes.extend(required.into_iter().map(|c| (service.name.clone(), c)));
    }
    build_placement(changes, plan_assignments(view, &[]))
}

/// Plans moves that balance the load of a window. Only services for which a plan gains more than it
/// costs are included.
pub fn balance_plans(
    view: &View,
    observations: &Observations,
    loads: &Loads,
    cold: &ColdMembers,
) -> Vec<(ServiceName, Plan)> {
    let plan = |service: &Service| {
        let load = &loads.get(&service.name)?.load;
        let plan = tables::balance_plan(view, service, observations, load, cold)?;
        Some((service.name.clone(), plan))
    };
    view.services().filter_map(plan).collect()
}

/// Merges plans into one placement. Returns `None` if no plan has changes.
pub fn merge_plans(plans: &[(ServiceName, Plan)]) -> Option<Placement> {
    let changes = plans.iter().flat_map(|(service, plan)| {
        let changes = plan.changes.iter().cloned();
        changes.map(|c| (service.clone(), c))
    });
    build_placement(changes.collect(), Vec::new())
}

fn build_placement(
    mut changes: Vec<(ServiceName, Change)>,
    assignments: Vec<Ranking>,
) -> Option<Placement> {
    // Changes of members, such as losses, come first, so that all of them are in the first record.
    // The sort is stable and keeps the changes of one service in order, because these are already
    // changes of members first and moves after them.
    changes.sort_by_key(|(_, change)| moves_shards(change));
    let empty = changes.is_empty() && assignments.is_empty();
    (!empty).then_some(Placement {
        changes,
        assignments,
    })
}

fn moves_shards(change: &Change) -> bool {
    matches!(
        change,
        Change::Moves { .. } | Change::HotMoves { .. } | Change::HotDrops { .. }
    )
}

/// Splits a placement into batches that each fit into one log record. Each batch is valid on the
/// result of those before it, so a plan that ends early leaves a valid table, and the next plan
/// completes it.
pub fn batches(placement: Placement) -> Vec<Placement> {
    let mut all = vec![Placement::default()];
    let mut used = 0;
    for (service, change) in placement.changes {
        // Every change of the planner takes at most 128 KiB (see `trefoil_placement::table`).
        let size = encode(&change).map_or(BATCH_BYTES, |b| b.len()) + CHANGE_OVERHEAD_BYTES;
        let batch = batch_with_room(&mut all, &mut used, size);
        batch.changes.push((service, change));
    }
    for ranking in placement.assignments {
        let batch = batch_with_room(&mut all, &mut used, RANKING_BYTES);
        batch.assignments.push(ranking);
    }
    all
}

fn batch_with_room<'a>(
    all: &'a mut Vec<Placement>,
    used: &mut usize,
    size: usize,
) -> &'a mut Placement {
    if *used > 0 && *used + size > BATCH_BYTES {
        all.push(Placement::default());
        *used = 0;
    }
    *used += size;
    let last = all.len() - 1;
    &mut all[last]
}
