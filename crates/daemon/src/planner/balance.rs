//! Balancing plans, once per measurement window.
//!
//! The first host of the member list collects the load after the end of each window and writes a
//! plan if its gain exceeds the cost of its churn. A host that becomes the first starts with the
//! load of one window and treats all members as warm. The smoothed load and the slow starts of
//! its predecessor are not handed over, because both are rebuilt within a minute.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use slog::debug;
use trefoil_core::{ServiceName, Term, Tick};
use trefoil_log::View;
use trefoil_placement::{Member, SlowStart};

use super::takeovers::{CurrentDispatcher, Takeovers};
use super::{ColdMembers, Loads, balance_plans, merge_plans, submit};
use crate::dispatcher::Dispatchers;
use crate::dispatcher::driver::max_request_time;
use crate::load::{COLLECT_DELAY, Collector, Window, collect};
use crate::shared::Shared;

/// Term of an upstream's first assignment.
const FIRST_TERM: Term = Term(1);

/// Load of the last measurement window, if this host collected it.
#[derive(Debug, Default)]
pub struct MeasuredLoads {
    loads: Mutex<Arc<Loads>>,
}

impl MeasuredLoads {
    /// Returns the load of each service. Empty on a host that does not collect.
    pub fn loads(&self) -> Arc<Loads> {
        Arc::clone(&self.loads.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn set(&self, loads: Arc<Loads>) {
        *self.loads.lock().unwrap_or_else(PoisonError::into_inner) = loads;
    }
}

/// Windows in which this host first saw each member since it became the first of the member list.
#[derive(Debug, Default)]
pub struct MemberAges {
    seen: BTreeMap<ServiceName, BTreeMap<Member, Option<Window>>>,
}

impl MemberAges {
    /// Returns the members that are in slow start in a window. All members of a table
    /// that is seen for the first time count as warm.
    pub fn cold(&mut self, view: &View, window: Window, slow_start: SlowStart) -> ColdMembers {
        self.seen.retain(|name, _| view.tables.contains_key(name));
        let mut cold = ColdMembers::new();
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

/// Collects the load and plans once per window, for as long as the process runs.
pub async fn run(shared: Arc<Shared>, dispatchers: Arc<Dispatchers>) {
    let delay = COLLECT_DELAY.min(shared.window / 4);
    let (mut collector, mut ages) = (Collector::default(), MemberAges::default());
    let mut takeovers = Takeovers::default();
    loop {
        let window = Window::at(shared.clock.unix(), shared.window);
        let wait =
            window.end(shared.window).0 - shared.clock.unix().0.min(window.end(shared.window).0);
        shared
            .clock
            .sleep(Duration::from_millis(wait) + delay)
            .await;
        let view = shared.view();
        takeovers.observe(shared.clock.now(), current_dispatchers(&view));
        if !shared.is_current() || view.hosts.keys().next() != Some(&shared.host.id) {
            (collector, ages) = Default::default();
            shared.measured.set(Arc::default());
            let (loads, cold) = (Loads::new(), ColdMembers::new());
            shared
                .reports
                .close_window(&view, window, &loads, &cold, shared.window);
            continue;
        }
        let replies = collect(&shared, &dispatchers, window).await;
        let view = shared.view();
        let loads = Arc::new(collector.close_window(&view, &replies));
        for (service, closed) in &*loads {
            debug!(shared.logger, "load of the window collected";
                "service" => %service, "window" => %window,
                "requests" => closed.load.shards.iter().sum::<f64>(),
                "hottest" => closed.hot.first().map_or(0.0, |h| h.load),
                "silent" => closed.silent.len());
        }
        shared.measured.set(Arc::clone(&loads));
        let cold = ages.cold(&view, window, SlowStart::default());
        let mut plans = balance_plans(&view, &dispatchers.observations(), &loads, &cold);
        let now = shared.clock.now();
        plans.retain(|(service, _)| !has_recent_takeover(&view, &takeovers, now, service));
        shared
            .reports
            .close_window(&view, window, &loads, &cold, shared.window);
        shared.reports.record_plans(&view, &plans);
        if let Some(placement) = merge_plans(&plans) {
            submit(&shared, &view, placement).await;
        }
    }
}

/// Returns whether an upstream of a service has a dispatcher that took over so recently that it
/// cannot release its shards yet.
fn has_recent_takeover(view: &View, takeovers: &Takeovers, now: Tick, name: &ServiceName) -> bool {
    let services = view.services().filter(|s| s.name == *name);
    let mut upstreams = services.flat_map(|s| s.upstreams.iter().map(move |u| (s, u)));
    upstreams.any(|(s, u)| takeovers.is_recent(now, &u.name, max_request_time(s)))
}

/// Returns the dispatchers of all upstreams according to the log.
fn current_dispatchers(view: &View) -> impl Iterator<Item = CurrentDispatcher> {
    view.records.assignments().filter_map(|assignment| {
        Some(CurrentDispatcher {
            upstream: assignment.upstream.clone(),
            host: *assignment.hosts.first()?,
            replaced: assignment.term > FIRST_TERM,
        })
    })
}
