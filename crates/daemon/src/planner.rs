//! The planner: turns the view and what this host has seen into placement records.
//!
//! Any host may plan. A record names the placement revision that it builds on, so of two planners
//! that act at once one is rejected and looks again. To keep such races rare, each host waits its
//! position in the member list times `STAGGER` and then plans only what is still needed.
//!
//! There are two kinds of plans:
//!
//! - What is *needed* does not depend on the load: a first table, an upstream that joins, and the
//!   shards of upstreams that are lost, leaving or no longer declared ([`wanted`]). It is planned at
//!   once by the rule above and moves nothing else.
//! - What *improves balance* follows the load of the last measure window ([`balanced`]). Only the
//!   host first in the member list plans it, once per window, when it has [collected](balance) the
//!   load of all hosts.
//!
//! A joining upstream gets no shards when it joins. The plans of the next windows raise its share
//! along the ramp of its cold start.
//!
//! Hot keys have no entries of their own here: `trefoil-dispatch` hands over shards, and a request
//! for a hot key could not be told from the others of its shard in the proof that nothing is in
//! flight. The planner is therefore given no hot keys, and moves whole shards.

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
use crate::load::Closed;
use crate::shared::Shared;

pub use assignments::plan_assignments;
pub use tables::Cold;

/// Load of each service in the last measure window.
pub type Loads = BTreeMap<ServiceName, Closed>;

/// Wait for each position in the member list before a host plans.
const STAGGER: Duration = Duration::from_millis(500);

/// Wait for each host before this one that can prove the loss of a host as well.
const PROVER_STAGGER: Duration = Duration::from_millis(100);

/// Longest time between two looks at the view.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Time in which a record must be read back.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes of changes and assignments in one record. The rest of the record is left to the envelope
/// and the signature, which take less than 1 KiB.
const BATCH_BYTES: usize = RECORD_MAX - 4096;

/// Bytes that a change takes besides itself: a service name of at most 63 characters.
const ITEM_BYTES: usize = 64;

/// Bytes of an assignment: an upstream name of at most 63 characters and three host ids.
const RANKING_BYTES: usize = 128;

/// Plans for as long as the process runs.
pub async fn run(shared: Arc<Shared>, authority: Arc<Authority>, dispatchers: Arc<Dispatchers>) {
    // The view and what was seen when nothing was needed. Nothing else decides whether a plan is
    // needed, so the tables are not looked at again until one of them changes.
    let mut idle = None;
    loop {
        shared
            .wait_change(shared.clock.now().after(LOOK_EVERY))
            .await;
        record_lost(&shared, &authority).await;
        let (view, observed) = (shared.view(), dispatchers.observed());
        let seen = Some((view.revision, observed.clone()));
        if !shared.can_serve() || idle == seen {
            continue;
        }
        let loads = shared.measured.loads();
        if wanted(&view, &observed, &loads).is_none() {
            idle = seen;
            continue;
        }
        // What only this host has seen is planned by nobody else, so there is nothing to wait for.
        let shown = wanted(&view, &Observed::default(), &loads).is_some();
        let position = view.hosts.keys().position(|h| *h == shared.host.id);
        let Some(position) = position else { continue };
        if shown {
            shared
                .clock
                .sleep(STAGGER * u32::try_from(position).unwrap_or(u32::MAX))
                .await;
        }
        let view = shared.view();
        if let Some(placement) = wanted(&view, &dispatchers.observed(), &loads) {
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
        .submit_decision(Revision(0), Body::Expired { host }, until)
        .await
    {
        Ok(verdict) => info!(shared.logger, "host expired"; "lost" => %host, "verdict" => ?verdict),
        Err(e) => warn!(shared.logger, "expiry not written"; "lost" => %host, "error" => %e),
    }
}

/// Gives the upstreams of this host to others, because it stops.
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

/// Writes a decision, in several records if it is large. Each names the revision of the one before
/// it, so a concurrent planner ends the plan.
async fn submit(shared: &Shared, view: &View, placement: Placement) {
    let mut base = view.placement;
    for batch in batches(placement) {
        match write(shared, base, batch).await {
            Some(revision) => base = revision,
            None => return,
        }
    }
}

/// Writes one record. Returns the revision of the placement if it was accepted.
async fn write(shared: &Shared, base: Revision, placement: Placement) -> Option<Revision> {
    let until = shared.clock.now().after(SUBMIT_TIMEOUT);
    let changes = placement.changes.len();
    let assignments = placement.assignments.len();
    match shared
        .submit_decision(base, Body::Placement(placement), until)
        .await
    {
        Ok(Verdict::Accepted { revision }) => {
            info!(shared.logger, "placement changed"; "revision" => %revision, "changes" => changes, "assignments" => assignments);
            Some(revision)
        }
        Ok(verdict) => {
            info!(shared.logger, "placement not accepted"; "verdict" => ?verdict);
            None
        }
        Err(e) => {
            warn!(shared.logger, "placement not written"; "error" => %e);
            None
        }
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

/// The placement decision that the view needs whatever the load is, if any. `loads` only decides
/// which upstream gets a shard that has to move.
pub fn wanted(view: &View, observed: &Observed, loads: &Loads) -> Option<Placement> {
    let mut changes = Vec::new();
    for service in view.services() {
        let load = loads.get(&service.name).map(|c| &c.load);
        let needed = tables::needed(view, service, observed, load);
        changes.extend(needed.into_iter().map(|c| (service.name.clone(), c)));
    }
    placement(changes, plan_assignments(view, &[]))
}

/// The plans that even out the load of a window, of the services where one gains more than it
/// costs.
pub fn balanced(
    view: &View,
    observed: &Observed,
    loads: &Loads,
    cold: &Cold,
) -> Vec<(ServiceName, Plan)> {
    let plan = |service: &Service| {
        let load = &loads.get(&service.name)?.load;
        let plan = tables::balanced(view, service, observed, load, cold)?;
        Some((service.name.clone(), plan))
    };
    view.services().filter_map(plan).collect()
}

/// The decision that carries out plans, if there are any.
pub fn decision(plans: &[(ServiceName, Plan)]) -> Option<Placement> {
    let changes = plans.iter().flat_map(|(service, plan)| {
        let changes = plan.changes.iter().cloned();
        changes.map(|c| (service.clone(), c))
    });
    placement(changes.collect(), Vec::new())
}

fn placement(
    mut changes: Vec<(ServiceName, Change)>,
    assignments: Vec<Ranking>,
) -> Option<Placement> {
    // Losses come first, so that all of them are in the first record. The sort is stable: the
    // changes of one service stay in their order, because they are members first, then moves.
    changes.sort_by_key(|(_, change)| moves_seats(change));
    let empty = changes.is_empty() && assignments.is_empty();
    (!empty).then_some(Placement {
        changes,
        assignments,
    })
}

fn moves_seats(change: &Change) -> bool {
    matches!(
        change,
        Change::Moves { .. } | Change::HotMoves { .. } | Change::HotDrops { .. }
    )
}

/// Splits a decision into decisions that fit one log record each. Each is valid on the result of
/// those before it, so a plan that is cut short leaves work for the next one and nothing else.
pub fn batches(placement: Placement) -> Vec<Placement> {
    let mut all = vec![Placement::default()];
    let mut used = 0;
    for (service, change) in placement.changes {
        // Every change of the planner takes at most 128 KiB (see `trefoil_placement::table`).
        let size = encode(&change).map_or(BATCH_BYTES, |b| b.len()) + ITEM_BYTES;
        let batch = room(&mut all, &mut used, size);
        batch.changes.push((service, change));
    }
    for ranking in placement.assignments {
        let batch = room(&mut all, &mut used, RANKING_BYTES);
        batch.assignments.push(ranking);
    }
    all
}

fn room<'a>(all: &'a mut Vec<Placement>, used: &mut usize, size: usize) -> &'a mut Placement {
    if *used > 0 && *used + size > BATCH_BYTES {
        all.push(Placement::default());
        *used = 0;
    }
    *used += size;
    let last = all.len() - 1;
    &mut all[last]
}
