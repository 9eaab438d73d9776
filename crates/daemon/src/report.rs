//! The placement report of a host.
//!
//! Moves are derived from the log: each host compares the tables before and after each placement
//! record that it replays, so all hosts that replayed the same records list the same moves with the
//! same times and reasons. The load, the unavailable time and the trade-offs of the objective are
//! known only to the host that collects the load (see [`crate::planner::balance`]).
//! [`deployment_report`] therefore queries that host, and falls back to the moves that this host
//! knows, without load, if it does not reply.
//!
//! A host that starts from a snapshot does not know the moves before it. The first table of a
//! service is not listed, because it changes the owner of no key.

mod replay;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use trefoil_core::{DomainName, ServiceName};
use trefoil_log::{Signed, View};
use trefoil_placement::report::ServiceReport;
use trefoil_placement::{
    Load, Member, MemberInfo, Plan, PlannedMove, Recorder, Report, Table, Unit, WindowSample,
};
use trefoil_wire::codec::FRAME_MAX;
use trefoil_wire::{Peers, encode};

use crate::load::{Window, WindowLoad, query_host};
use crate::message::{Message, Reply};
use crate::planner::tables::{domains, member_infos, objective};
use crate::planner::{ColdMembers, Loads, Observations};
use crate::shared::Shared;

/// Size of a reply besides the reports.
const REPLY_OVERHEAD_BYTES: usize = 64;

/// Shard tables by service.
pub type Tables = BTreeMap<ServiceName, Arc<Table>>;

/// Moves of one window that were not passed to the recorder yet.
#[derive(Debug)]
struct Pending {
    window: Window,
    moves: Vec<PlannedMove>,
    table: Arc<Table>,
    members: Vec<MemberInfo>,
}

#[derive(Debug)]
struct History {
    domains: Vec<DomainName>,
    recorder: Recorder,
    pending: Option<Pending>,
    /// The last plan of this host. It has the gains and costs of moves, which records do not have.
    plan: Option<Plan>,
}

/// Placement history of each service, as known to this host.
#[derive(Debug, Default)]
pub struct Reports {
    services: Mutex<BTreeMap<ServiceName, History>>,
}

impl Reports {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceName, History>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the moves of an accepted placement record. `before` has the tables before the
    /// record, and `view` is the state after it.
    pub fn record_placement(&self, before: &Tables, view: &View, record: &[u8], length: Duration) {
        let envelope = Signed::decode(record).and_then(|s| s.envelope());
        let Ok(envelope) = envelope else { return };
        let window = Window::at(envelope.time, length);
        let mut services = self.lock();
        for service in view.services() {
            let (old, new) = (before.get(&service.name), view.tables.get(&service.name));
            let (Some(old), Some(new)) = (old, new) else {
                continue;
            };
            if Arc::ptr_eq(old, new) {
                continue;
            }
            let members = member_infos(
                view,
                service,
                new,
                &Observations::default(),
                &ColdMembers::new(),
            );
            let moves = replay::moves(old, new, &members);
            let Some(history) = history(&mut services, view, &service.name) else {
                continue;
            };
            if history.pending.as_ref().is_some_and(|p| p.window != window) {
                history.flush(length, None);
            }
            let pending = history.pending.get_or_insert_with(|| Pending {
                window,
                moves: Vec::new(),
                table: Arc::clone(new),
                members: Vec::new(),
            });
            pending.moves.extend(moves);
            pending.table = Arc::clone(new);
            pending.members = members;
        }
    }

    /// Stores the plans of this host. To be called before they are written to the log.
    pub fn record_plans(&self, view: &View, plans: &[(ServiceName, Plan)]) {
        let mut services = self.lock();
        for (service, plan) in plans {
            if let Some(history) = history(&mut services, view, service) {
                history.plan = Some(plan.clone());
            }
        }
    }

    /// Closes a window. `loads` has the services whose load this host collected.
    pub fn close_window(
        &self,
        view: &View,
        window: Window,
        loads: &Loads,
        cold: &ColdMembers,
        length: Duration,
    ) {
        let mut services = self.lock();
        services.retain(|name, _| view.tables.contains_key(name));
        for service in view.services() {
            let Some(table) = view.tables.get(&service.name) else {
                continue;
            };
            let Some(history) = history(&mut services, view, &service.name) else {
                continue;
            };
            history.recorder.set_objective(objective(service));
            if history.pending.as_ref().is_some_and(|p| p.window < window) {
                history.flush(length, None);
            }
            let Some(closed) = loads.get(&service.name) else {
                history.flush(length, None);
                continue;
            };
            let pending = history.pending.get_or_insert_with(|| Pending {
                window,
                moves: Vec::new(),
                table: Arc::clone(table),
                members: Vec::new(),
            });
            // If records of the next window were already replayed, the pending moves belong to that
            // window and stay pending.
            if pending.window == window {
                pending.table = Arc::clone(table);
                pending.members =
                    member_infos(view, service, table, &Observations::default(), cold);
                history.flush(length, Some(closed));
            }
        }
    }

    /// Returns the report of each service, as known to this host.
    pub fn services(&self) -> Vec<ServiceReport> {
        let services = self.lock();
        services.values().map(|h| h.recorder.report()).collect()
    }
}

/// Returns the history of a service. It is reset when the failure domains change, because the
/// recorder refers to them by index.
fn history<'a>(
    services: &'a mut BTreeMap<ServiceName, History>,
    view: &View,
    name: &ServiceName,
) -> Option<&'a mut History> {
    let (_, service) = view.service(name)?;
    let domains = domains(view, name);
    let fresh = || History {
        recorder: Recorder::new(name.clone(), domains.clone(), objective(service)),
        domains: domains.clone(),
        pending: None,
        plan: None,
    };
    let history = services.entry(name.clone()).or_insert_with(fresh);
    if history.domains != domains {
        *history = fresh();
    }
    Some(history)
}

impl History {
    /// Passes the pending moves to the recorder, with the load of their window if it is known.
    fn flush(&mut self, length: Duration, closed: Option<&WindowLoad>) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let Pending {
            window,
            mut moves,
            table,
            members,
        } = pending;
        let plan = match self.plan.take_if(|p| copy_gains(p, &mut moves)) {
            Some(plan) => Plan { moves, ..plan },
            None => Plan {
                moves,
                ..Plan::default()
            },
        };
        let unknown = Load {
            shards: vec![0.0; table.replica_sets().len()],
            hot: Vec::new(),
        };
        let unavailable = closed.map_or_else(Vec::new, |c| unavailable(&table, c));
        self.recorder.record(&WindowSample {
            at: window.end(length),
            table: &table,
            members: &members,
            load: closed.map_or(&unknown, |c| &c.load),
            plan: &plan,
            unavailable: &unavailable,
        });
    }
}

/// Copies the gains and costs of a plan to the moves if all of them are part of it. Returns whether
/// they are.
fn copy_gains(plan: &Plan, moves: &mut [PlannedMove]) -> bool {
    let planned: BTreeMap<Unit, &PlannedMove> = plan.moves.iter().map(|m| (m.unit, m)).collect();
    let same = |m: &PlannedMove| planned.get(&m.unit).is_some_and(|p| p.to == m.to);
    if moves.is_empty() || !moves.iter().all(same) {
        return false;
    }
    for m in moves {
        (m.gain, m.price) = planned
            .get(&m.unit)
            .map_or((0.0, 0.0), |p| (p.gain, p.price));
    }
    true
}

fn unavailable(table: &Table, closed: &WindowLoad) -> Vec<(Member, f64)> {
    let seconds = closed.unavailable.iter();
    let of_member = seconds.filter_map(|(name, &seconds)| {
        let index = table.members().iter().rposition(|m| m == name)?;
        Some((Member(u16::try_from(index).ok()?), seconds))
    });
    of_member.collect()
}

/// Truncates the reports so that they fit into a frame. The oldest rows are removed first.
pub fn truncate_to_frame(mut services: Vec<ServiceReport>) -> Vec<ServiceReport> {
    let fits = |list: &Vec<ServiceReport>| {
        encode(list).is_ok_and(|b| b.len() <= FRAME_MAX - REPLY_OVERHEAD_BYTES)
    };
    while !fits(&services) {
        let rows = |s: &ServiceReport| s.windows.len() + s.moves.len() + s.trades.len();
        if services.iter().map(rows).sum::<usize>() == 0 {
            return Vec::new();
        }
        for service in &mut services {
            service.windows.drain(..service.windows.len().div_ceil(2));
            service.trades.drain(..service.trades.len().div_ceil(2));
            let cut = service.moves.len().div_ceil(2);
            service.moves.drain(..cut);
            service.omitted += cut as u64;
        }
    }
    services
}

/// Builds the placement report of the deployment. It comes from the host that collects the load, or
/// from this host if that one does not reply or has no report.
pub async fn deployment_report(shared: &Shared, peers: &Arc<dyn Peers>) -> Report {
    let view = shared.view();
    let collector = view.hosts.values().next();
    let message = Message::Report {
        sender: view.revision,
    };
    let reply = match collector.filter(|h| h.id != shared.host.id) {
        Some(host) => query_host(shared, peers, host, &message).await,
        None => None,
    };
    let services = match reply {
        Some(Reply::Report { services }) if !services.is_empty() => services,
        _ => shared.reports.services(),
    };
    Report {
        title: format!("region {}", shared.host.region),
        services,
    }
}
