//! Collection of the windows of one service for the report.

use std::collections::{BTreeMap, VecDeque};

use trefoil_core::{DomainName, ServiceName, UnixMillis, UpstreamName};

use super::{DomainRow, MoveRow, ReasonRow, ServiceReport, Trade, UpstreamRow, WindowRow};
use crate::load::Load;
use crate::member::{MemberInfo, MemberState, SlowStart};
use crate::objective::{HOT_KEY_SHARE, Objective};
use crate::planner::Plan;
use crate::reason::{Reason, Unit};
use crate::table::{Member, Table};

/// Largest number of windows, moves and trades that a recorder keeps. With windows of 10 s the
/// windows cover a day. The loss of a failure domain at full size causes more moves than this, so
/// the oldest of them are dropped.
const ROWS_KEPT: usize = 8_640;

/// One measure window of a service.
#[derive(Debug, Clone, Copy)]
pub struct WindowSample<'a> {
    /// End of the window.
    pub at: UnixMillis,
    /// The table that was in force in the window.
    pub table: &'a Table,
    /// State and capacity of each member of the table, in the order of the member list.
    pub members: &'a [MemberInfo],
    /// Load of the window.
    pub load: &'a Load,
    /// The plan that was made at the end of the window.
    pub plan: &'a Plan,
    /// Seconds without service in the window, for each member that was unavailable.
    pub unavailable: &'a [(Member, f64)],
}

/// Collects the windows of one service and keeps a bounded number of them.
#[derive(Debug, Clone)]
pub struct Recorder {
    service: ServiceName,
    domains: Vec<DomainName>,
    objective: Objective,
    slow_start: SlowStart,
    windows: VecDeque<WindowRow>,
    moves: VecDeque<MoveRow>,
    omitted: u64,
    trades: VecDeque<Trade>,
    reasons: BTreeMap<Reason, u64>,
    upstreams: BTreeMap<UpstreamName, UpstreamTotals>,
    /// Load of each failure domain over all windows, and its greatest share in a window.
    shares: Vec<(f64, f64)>,
    total: f64,
}

#[derive(Debug, Clone, Default)]
struct UpstreamTotals {
    domain: usize,
    state: Option<MemberState>,
    shards: u64,
    hot: u64,
    load: f64,
    peak: f64,
    gained: u64,
    given: u64,
    unavailable: f64,
}

impl Recorder {
    /// Creates a recorder without windows. [`MemberInfo::domain`] is an index into `domains`.
    pub fn new(service: ServiceName, domains: Vec<DomainName>, objective: Objective) -> Self {
        Self {
            service,
            shares: vec![(0.0, 0.0); domains.len()],
            domains,
            objective,
            slow_start: SlowStart::default(),
            windows: VecDeque::new(),
            moves: VecDeque::new(),
            omitted: 0,
            trades: VecDeque::new(),
            reasons: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            total: 0.0,
        }
    }

    /// Replaces the objective after a change of the weights.
    pub fn set_objective(&mut self, objective: Objective) {
        self.objective = objective;
    }

    /// Adds a window.
    pub fn record(&mut self, sample: &WindowSample<'_>) {
        let WindowSample {
            table,
            plan,
            unavailable,
            ..
        } = *sample;
        let member_load = self.add_load(sample);
        for &(member, seconds) in unavailable {
            if let Some(upstream) = self.upstream_totals(table, member) {
                upstream.unavailable += seconds;
            }
        }
        let (moved, keys) = self.add_moves(sample);
        let load: f64 = member_load.iter().sum();
        let row = WindowRow {
            at: sample.at,
            load,
            peak: self.add_peaks(sample, &member_load),
            moved,
            churn: keys / f64::from(table.shard_count().max(1)),
            // The sum of an empty iterator of floats is -0.0.
            unavailable: 0.0 + unavailable.iter().map(|u| u.1).sum::<f64>(),
        };
        push_bounded(&mut self.windows, row);
        if !plan.is_empty() {
            push_bounded(&mut self.trades, summarize_plan(sample.at, plan));
        }
    }

    fn upstream_totals(&mut self, table: &Table, member: Member) -> Option<&mut UpstreamTotals> {
        let name = table.name(member)?;
        Some(self.upstreams.entry(name.clone()).or_default())
    }

    /// Adds the load of each member and updates its number of shards and hot keys. Returns the load
    /// of each member.
    fn add_load(&mut self, sample: &WindowSample<'_>) -> Vec<f64> {
        let table = sample.table;
        let mut member_load = vec![0.0; sample.members.len()];
        let mut counts = vec![(0, 0); sample.members.len()];
        let mut loads = sample.load.shards.clone();
        loads.resize(table.replica_sets().len(), 0.0);
        for hot in &sample.load.hot {
            let Some(replicas) = table.hot_replicas(hot.key) else {
                continue;
            };
            let shard = &mut loads[table.shard(hot.key).0 as usize];
            let load = hot.load.min(*shard);
            *shard -= load;
            if let Some(sum) = member_load.get_mut(replicas.owner.index()) {
                *sum += load;
            }
        }
        for (replicas, load) in table.replica_sets().iter().zip(loads) {
            if let Some(sum) = member_load.get_mut(replicas.owner.index()) {
                *sum += load;
                counts[replicas.owner.index()].0 += 1;
            }
        }
        for entry in table.hot_entries() {
            if let Some(count) = counts.get_mut(entry.replicas.owner.index()) {
                count.1 += 1;
            }
        }
        let members = (0u16..).map(Member).zip(sample.members);
        for ((member, profile), (&load, &(shards, hot))) in
            members.zip(member_load.iter().zip(&counts))
        {
            if let Some(upstream) = self.upstream_totals(table, member) {
                upstream.domain = profile.domain.index();
                upstream.state = Some(profile.state);
                upstream.load += load;
                (upstream.shards, upstream.hot) = (shards, hot);
            }
        }
        member_load
    }

    /// Updates the greatest utilization of each member and the greatest share of each failure
    /// domain. Returns the highest utilization in the window divided by the mean.
    fn add_peaks(&mut self, sample: &WindowSample<'_>, member_load: &[f64]) -> f64 {
        let load: f64 = member_load.iter().sum();
        let slow_start = self.slow_start;
        let capacity: f64 = sample.members.iter().map(|p| slow_start.capacity(p)).sum();
        self.total += load;
        if load <= 0.0 || capacity <= 0.0 {
            return 1.0;
        }
        let mut peak = 0.0f64;
        let mut shares = vec![0.0; self.domains.len()];
        let members = (0u16..).map(Member).zip(sample.members);
        for ((member, profile), member_load) in members.zip(member_load) {
            let own = slow_start.capacity(profile);
            let ratio = match own {
                own if own > 0.0 => member_load / own / (load / capacity),
                _ => 0.0,
            };
            peak = peak.max(ratio);
            if let Some(sum) = shares.get_mut(profile.domain.index()) {
                *sum += member_load / load;
            }
            if let Some(upstream) = self.upstream_totals(sample.table, member) {
                upstream.peak = upstream.peak.max(ratio);
            }
        }
        for ((sum, greatest), share) in self.shares.iter_mut().zip(shares) {
            *sum += share * load;
            *greatest = greatest.max(share);
        }
        peak
    }

    /// Adds the moves of a plan. Returns the number of changed owners, and the number of moved keys
    /// in multiples of the keys of one shard.
    fn add_moves(&mut self, sample: &WindowSample<'_>) -> (u64, f64) {
        let (mut moved, mut keys) = (0, 0.0);
        for m in &sample.plan.moves {
            *self.reasons.entry(m.reason).or_default() += 1;
            if m.from.owner == m.to.owner {
                continue;
            }
            moved += 1;
            keys += match m.unit {
                Unit::Shard(_) => 1.0,
                Unit::Key(_) => HOT_KEY_SHARE,
            };
            if let Some(upstream) = self.upstream_totals(sample.table, m.from.owner) {
                upstream.given += 1;
            }
            if let Some(upstream) = self.upstream_totals(sample.table, m.to.owner) {
                upstream.gained += 1;
            }
            let row = MoveRow {
                at: sample.at,
                unit: m.unit,
                from: sample.table.name(m.from.owner).cloned(),
                to: sample.table.name(m.to.owner).cloned(),
                reason: m.reason,
                gain: m.gain,
                price: m.price,
            };
            self.omitted += push_bounded(&mut self.moves, row);
        }
        (moved, keys)
    }

    /// Returns the report of the recorded windows.
    pub fn report(&self) -> ServiceReport {
        let total = if self.total > 0.0 { self.total } else { 1.0 };
        let domain = |i: usize| match self.domains.get(i) {
            Some(name) => name.clone(),
            None => unknown_domain(),
        };
        let upstreams = self.upstreams.iter().map(|(name, totals)| UpstreamRow {
            name: name.clone(),
            domain: domain(totals.domain),
            state: state_name(totals.state).to_owned(),
            shards: totals.shards,
            hot: totals.hot,
            share: totals.load / total,
            peak: totals.peak,
            gained: totals.gained,
            given: totals.given,
            unavailable: totals.unavailable,
        });
        let mut upstreams: Vec<UpstreamRow> = upstreams.collect();
        // The sort is stable, so upstreams with equal shares stay in the order of their names.
        upstreams.sort_by(|a, b| b.share.total_cmp(&a.share));
        let rows = self.shares.iter().enumerate().map(|(i, &(load, peak))| {
            let in_domain = self.upstreams.values().filter(|u| u.domain == i);
            let live = in_domain
                .clone()
                .filter(|u| u.state != Some(MemberState::Lost));
            DomainRow {
                domain: domain(i),
                upstreams: live.count() as u64,
                share: load / total,
                peak,
                unavailable: 0.0 + in_domain.map(|u| u.unavailable).sum::<f64>(),
            }
        });
        let mut domains: Vec<DomainRow> = rows.collect();
        domains.sort_by(|a, b| b.share.total_cmp(&a.share));
        let reasons = Reason::ALL.into_iter();
        let reasons = reasons.filter_map(|reason| {
            let &moves = self.reasons.get(&reason)?;
            Some(ReasonRow { reason, moves })
        });
        ServiceReport {
            service: self.service.clone(),
            weights: self.objective.weights,
            windows: self.windows.iter().copied().collect(),
            upstreams,
            domains,
            reasons: reasons.collect(),
            moves: self.moves.iter().cloned().collect(),
            omitted: self.omitted,
            trades: self.trades.iter().copied().collect(),
        }
    }
}

/// Appends to a bounded list. Returns the number of items that were dropped.
fn push_bounded<T>(list: &mut VecDeque<T>, item: T) -> u64 {
    list.push_back(item);
    let full = list.len() > ROWS_KEPT;
    if full {
        list.pop_front();
    }
    u64::from(full)
}

fn summarize_plan(at: UnixMillis, plan: &Plan) -> Trade {
    let chosen = plan.moves.iter().filter(|m| !m.reason.is_forced());
    let (gained, paid) = chosen.fold((0.0, 0.0), |s, m| (s.0 + m.gain, s.1 + m.price));
    Trade {
        at,
        before: plan.before,
        after: plan.after,
        forced: plan.forced,
        chosen: plan.chosen,
        gained,
        paid,
    }
}

fn state_name(state: Option<MemberState>) -> &'static str {
    match state {
        Some(MemberState::Cold { .. }) => "cold",
        Some(MemberState::Serving) => "serving",
        Some(MemberState::Leaving) => "leaving",
        Some(MemberState::Lost) => "lost",
        None => "unknown",
    }
}

fn unknown_domain() -> DomainName {
    "unknown".parse().expect("the name is valid")
}
