//! Plans that follow the load, once per measure window.
//!
//! The host that is first in the member list collects the load after the end of each window and
//! writes a plan if one gains more than its churn costs. A host that becomes the first starts with
//! the load of one window and takes all members as warm; the smoothing and the ramp of its
//! predecessor are not handed over, because both are rebuilt within a minute.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use slog::debug;
use trefoil_core::{ServiceName, Term, Tick};
use trefoil_log::View;
use trefoil_placement::{Member, SlowStart};

use super::takeovers::{Dispatched, Takeovers};
use super::{Cold, Loads, balanced, decision, submit};
use crate::dispatcher::Dispatchers;
use crate::dispatcher::driver::longest_work;
use crate::load::{Collector, GRACE, Window, collect};
use crate::shared::Shared;

/// Term of an upstream's first assignment.
const FIRST: Term = Term(1);

/// The load of the last window, if this host collected it.
#[derive(Debug, Default)]
pub struct MeasuredLoads {
    loads: Mutex<Arc<Loads>>,
}

impl MeasuredLoads {
    /// The load of each service. Empty on a host that does not collect.
    pub fn loads(&self) -> Arc<Loads> {
        Arc::clone(&self.loads.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn set(&self, loads: Arc<Loads>) {
        *self.loads.lock().unwrap_or_else(PoisonError::into_inner) = loads;
    }
}

/// Ages of the members since this host became the first in the member list.
#[derive(Debug, Default)]
pub struct Ages {
    seen: BTreeMap<ServiceName, BTreeMap<Member, Option<Window>>>,
}

impl Ages {
    /// The members that are cold in a window. Members of a table that is seen for the first time
    /// count as warm.
    pub fn cold(&mut self, view: &View, window: Window, slow_start: SlowStart) -> Cold {
        self.seen.retain(|name, _| view.tables.contains_key(name));
        let mut cold = Cold::new();
        for (name, table) in &view.tables {
            let is_new = !self.seen.contains_key(name);
            let seen = self.seen.entry(name.clone()).or_default();
            seen.retain(|member, _| !table.is_lost(*member));
            for (member, _) in table.live_members() {
                let since = *seen.entry(member).or_insert((!is_new).then_some(window));
                let age = since.map(|s| window.0.saturating_sub(s.0));
                let age = age.and_then(|a| u32::try_from(a).ok());
                if let Some(age) = age.filter(|a| *a < slow_start.0) {
                    cold.insert((name.clone(), member), age);
                }
            }
        }
        cold
    }
}

/// Collects and plans for as long as the process runs.
pub async fn run(shared: Arc<Shared>, dispatchers: Arc<Dispatchers>) {
    let grace = GRACE.min(shared.window / 4);
    let (mut collector, mut ages) = (Collector::default(), Ages::default());
    let mut takeovers = Takeovers::default();
    loop {
        let window = Window::at(shared.clock.unix(), shared.window);
        let wait =
            window.end(shared.window).0 - shared.clock.unix().0.min(window.end(shared.window).0);
        shared
            .clock
            .sleep(Duration::from_millis(wait) + grace)
            .await;
        let view = shared.view();
        takeovers.note(shared.clock.now(), dispatched(&view));
        if !shared.can_serve() || view.hosts.keys().next() != Some(&shared.host.id) {
            (collector, ages) = Default::default();
            shared.measured.set(Arc::default());
            let (loads, cold) = (Loads::new(), Cold::new());
            shared
                .reports
                .close(&view, window, &loads, &cold, shared.window);
            continue;
        }
        let replies = collect(&shared, &dispatchers, window).await;
        let view = shared.view();
        let loads = Arc::new(collector.close(&view, &replies));
        for (service, closed) in &*loads {
            debug!(shared.logger, "load collected"; "service" => %service, "window" => %window,
                "requests" => closed.load.shards.iter().sum::<f64>(),
                "hottest" => closed.hot.first().map_or(0.0, |h| h.load), "silent" => closed.silent.len());
        }
        shared.measured.set(Arc::clone(&loads));
        let cold = ages.cold(&view, window, SlowStart::default());
        let mut plans = balanced(&view, &dispatchers.observed(), &loads, &cold);
        let now = shared.clock.now();
        plans.retain(|(service, _)| !is_settling(&view, &takeovers, now, service));
        shared
            .reports
            .close(&view, window, &loads, &cold, shared.window);
        shared.reports.planned(&view, &plans);
        if let Some(placement) = decision(&plans) {
            submit(&shared, &view, placement).await;
        }
    }
}

/// Whether the dispatcher of an upstream of a service was taken over so lately that its shards
/// cannot be moved on yet.
fn is_settling(view: &View, takeovers: &Takeovers, now: Tick, name: &ServiceName) -> bool {
    let services = view.services().filter(|s| s.name == *name);
    let mut upstreams = services.flat_map(|s| s.upstreams.iter().map(move |u| (s, u)));
    upstreams.any(|(s, u)| takeovers.is_recent(now, &u.name, longest_work(s)))
}

/// The dispatchers of all upstreams, as the log assigns them.
fn dispatched(view: &View) -> impl Iterator<Item = Dispatched> {
    view.records.assignments().filter_map(|assignment| {
        Some(Dispatched {
            upstream: assignment.upstream.clone(),
            host: *assignment.hosts.first()?,
            replaced: assignment.term > FIRST,
        })
    })
}
