//! Simulation of one strategy in one scenario.

use trefoil_core::{PerSecond, UpstreamName};

use super::workload::Workload;
use super::{
    Churn, Event, HANDOVER_SECONDS, Measurements, Scenario, TAKEOVER_SECONDS, WINDOW_SECONDS,
};
use crate::baseline::PlacementStrategy;
use crate::changes::create_by_rendezvous;
use crate::load::Meter;
use crate::member::{Domain, MemberInfo, MemberState, SlowStart};
use crate::objective::to_f64;
use crate::planner::{PlanError, PlanInput};
use crate::table::{Change, Member, ReplicaSet, Table};

/// Number of counters in the hot-key sketch, and number of hot keys in the input of a strategy.
const HOT_KEYS: (usize, usize) = (4096, 64);

/// Simulates a scenario with a strategy and returns the measurements.
///
/// # Errors
///
/// Fails if the strategy cannot compute a plan.
///
/// # Panics
///
/// Panics if a plan does not apply to the table from which it was computed.
pub fn run(
    scenario: &Scenario,
    strategy: &dyn PlacementStrategy,
    seed: u64,
) -> Result<Measurements, PlanError> {
    Simulation::new(scenario, seed, strategy.history_weight()).run_windows(strategy)
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    workload: Workload,
    table: Table,
    members: Vec<MemberInfo>,
    meter: Meter,
    slow_start: SlowStart,
    /// Members that were lost or left and are not replaced yet.
    departed: Vec<Member>,
    measurements: Measurements,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, seed: u64, history_weight: f64) -> Self {
        let domains = (0u16..).zip(&scenario.domains);
        let domains = domains.flat_map(|(d, &n)| std::iter::repeat_n(Domain(d), n.into()));
        let members: Vec<MemberInfo> = domains.map(new_member).collect();
        let mut table = Table::default();
        let names = (0..members.len()).map(name).collect();
        apply(&mut table, &create_by_rendezvous(names, scenario.shards));
        Self {
            scenario,
            workload: Workload::new(scenario, seed),
            table,
            members,
            meter: Meter::new(scenario.shards, HOT_KEYS.0, history_weight),
            slow_start: SlowStart::default(),
            departed: Vec::new(),
            measurements: Measurements {
                runs: 1.0,
                ..Measurements::default()
            },
        }
    }

    fn run_windows(mut self, strategy: &dyn PlacementStrategy) -> Result<Measurements, PlanError> {
        // Each strategy starts from its own plan for the load of one window, which is not part of
        // the measurements.
        self.measure();
        self.apply_plan(strategy)?;
        self.measure();
        let mut joined = None;
        for window in 0..self.scenario.windows {
            if window % self.scenario.shift_interval == self.scenario.shift_interval - 1 {
                self.workload.shift_popularity();
            }
            let due = self.scenario.events.iter().find(|e| e.0 == window);
            let event = due.map(|e| e.1);
            let before = self.replica_sets();
            let minimum = self.apply_event(event);
            self.apply_plan(strategy)?;
            let moved = self.count_moves(&before);
            match event {
                Some(Event::Lose(_) | Event::LoseDomain) => {
                    self.measurements.loss.add(Churn { moved, minimum });
                }
                Some(Event::Leave) => self.measurements.leave.add(Churn { moved, minimum }),
                Some(Event::Replace) => {
                    joined = Some(window);
                    self.measurements.join.add(Churn { moved, minimum });
                }
                None if joined.is_some_and(|w| window <= w + self.slow_start.0) => {
                    self.measurements.join.add(Churn {
                        moved,
                        minimum: 0.0,
                    });
                }
                None => {
                    self.measurements.quiet.0 += 1.0;
                    self.measurements.quiet.1 += moved;
                }
            }
            let peak = self.measure();
            self.measurements.peaks.push(peak);
            self.age();
        }
        Ok(self.measurements)
    }

    fn replica_sets(&self) -> Vec<ReplicaSet> {
        let replicas = |&key| self.table.locate(key).unwrap_or(ReplicaSet::VACANT);
        self.workload.keys.iter().map(replicas).collect()
    }

    fn apply_plan(&mut self, strategy: &dyn PlacementStrategy) -> Result<(), PlanError> {
        let load = self.meter.end_window(HOT_KEYS.1);
        let plan = strategy.place(&PlanInput {
            table: &self.table,
            members: &self.members,
            load: &load,
        })?;
        for change in &plan.changes {
            apply(&mut self.table, change);
        }
        if strategy.tracks_hot_keys() {
            self.meter
                .track_keys(self.table.hot_entries().map(|m| m.key));
        }
        Ok(())
    }

    /// Draws the requests of a window. Returns the peak divided by the mean utilization.
    fn measure(&mut self) -> f64 {
        let counts = self.workload.window();
        let mut member_load = vec![0u64; self.members.len()];
        for (&key, count) in self.workload.keys.iter().zip(counts) {
            if count > 0 {
                self.meter.observe(key, count);
                let owner = self.table.locate(key).map(|s| s.owner.index());
                if let Some(sum) = owner.and_then(|o| member_load.get_mut(o)) {
                    *sum += count;
                }
            }
        }
        let member_load = member_load
            .into_iter()
            .map(|u| to_f64(usize::try_from(u).unwrap_or(0)));
        let capacity = self.members.iter().map(|p| self.slow_start.capacity(p));
        let eligible: Vec<(f64, f64)> = member_load
            .zip(capacity)
            .filter(|(_, c)| *c > 0.0)
            .collect();
        let sum = eligible
            .iter()
            .fold((0.0, 0.0), |s, o| (s.0 + o.0, s.1 + o.1));
        let peak = eligible.iter().map(|(u, c)| u / c).fold(0.0, f64::max);
        peak / (sum.0 / sum.1)
    }

    /// Increments the age of cold members. Members that are warm change to full rate.
    fn age(&mut self) {
        for member in &mut self.members {
            if let MemberState::Cold { age } = member.state {
                member.state = match age + 1 {
                    age if age < self.slow_start.0 => MemberState::Cold { age },
                    _ => MemberState::Serving,
                };
            }
        }
    }

    /// Applies an event to the states of the members. Returns the number of keys that have to move.
    fn apply_event(&mut self, event: Option<Event>) -> f64 {
        let serving = |p: &MemberInfo| p.state == MemberState::Serving;
        let mut candidates: Vec<usize> = (0..self.members.len())
            .filter(|&m| serving(&self.members[m]))
            .collect();
        self.workload.shuffle(&mut candidates);
        let (chosen, state) = match event {
            None => return 0.0,
            Some(Event::Lose(count)) => (candidates[..count].to_vec(), MemberState::Lost),
            Some(Event::Leave) => (candidates[..1].to_vec(), MemberState::Leaving),
            Some(Event::LoseDomain) => {
                let domain = self.workload.draw(self.scenario.domains.len());
                let is_in = |&m: &usize| self.members[m].domain.index() == domain;
                (
                    (0..self.members.len()).filter(is_in).collect(),
                    MemberState::Lost,
                )
            }
            Some(Event::Replace) => return self.join_replacements(),
        };
        for &member in &chosen {
            self.members[member].state = state;
            self.departed
                .push(Member(u16::try_from(member).unwrap_or(u16::MAX)));
        }
        let replica_sets = self.replica_sets();
        to_f64(
            replica_sets
                .iter()
                .filter(|s| chosen.contains(&s.owner.index()))
                .count(),
        )
    }

    /// Adds a new cold member for each departed one. Returns the number of keys that have to move.
    fn join_replacements(&mut self) -> f64 {
        let departed = std::mem::take(&mut self.departed);
        let domains = departed.iter().map(|m| self.members[m.index()].domain);
        let cold = MemberState::Cold { age: 0 };
        let joining: Vec<MemberInfo> = domains
            .map(|d| MemberInfo {
                state: cold,
                ..new_member(d)
            })
            .collect();
        for member in &departed {
            self.members[member.index()].state = MemberState::Lost;
        }
        let first = self.members.len();
        let names = (first..first + departed.len()).map(name).collect();
        apply(&mut self.table, &Change::Join { members: names });
        self.members.extend(joining);
        let eligible = self.members.iter().filter(|p| p.is_eligible()).count();
        to_f64(self.workload.keys.len() * departed.len()) / to_f64(eligible)
    }

    /// Adds the keys that moved and their unavailable time to the measurements. Returns the number
    /// of keys that moved.
    fn count_moves(&mut self, before: &[ReplicaSet]) -> f64 {
        let mut moved = 0.0;
        for (old, new) in before.iter().zip(self.replica_sets()) {
            let is_lost = |m: Member| self.members[m.index()].state == MemberState::Lost;
            self.measurements.unavailable += match old.owner {
                owner if is_lost(owner) && is_lost(old.standby) => {
                    TAKEOVER_SECONDS + WINDOW_SECONDS
                }
                owner if is_lost(owner) => TAKEOVER_SECONDS,
                owner if owner != new.owner => HANDOVER_SECONDS,
                _ => 0.0,
            };
            moved += f64::from(u8::from(old.owner != new.owner));
        }
        self.measurements.moved += moved;
        moved
    }
}

fn new_member(domain: Domain) -> MemberInfo {
    MemberInfo {
        domain,
        capacity: PerSecond(1.0),
        state: MemberState::Serving,
    }
}

fn name(index: usize) -> UpstreamName {
    let name = format!("server-{index}");
    name.parse()
        .expect("the name is short and of allowed characters")
}

fn apply(table: &mut Table, change: &Change) {
    table.apply(change).expect("a plan fits its table");
}
