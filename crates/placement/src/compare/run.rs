//! One run of one placement.

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

/// Counters of the hot-key sketch and number of hot keys that a placement is told.
const HOT: (usize, usize) = (4096, 64);

/// Runs a placement through a scenario.
///
/// # Errors
///
/// Fails if the placement makes no plan.
///
/// # Panics
///
/// Panics if a plan does not apply to the table it was made for.
pub fn run(
    scenario: &Scenario,
    strategy: &dyn PlacementStrategy,
    seed: u64,
) -> Result<Measurements, PlanError> {
    Run::new(scenario, seed, strategy.history_weight()).play(strategy)
}

struct Run<'a> {
    scenario: &'a Scenario,
    workload: Workload,
    table: Table,
    members: Vec<MemberInfo>,
    meter: Meter,
    slow_start: SlowStart,
    /// Members to replace when servers return.
    gone: Vec<Member>,
    measurements: Measurements,
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario, seed: u64, history_weight: f64) -> Self {
        let domains = (0u16..).zip(&scenario.domains);
        let domains = domains.flat_map(|(d, &n)| std::iter::repeat_n(Domain(d), n.into()));
        let members: Vec<MemberInfo> = domains.map(profile).collect();
        let mut table = Table::default();
        let names = (0..members.len()).map(name).collect();
        apply(&mut table, &create_by_rendezvous(names, scenario.shards));
        Self {
            scenario,
            workload: Workload::new(scenario, seed),
            table,
            members,
            meter: Meter::new(scenario.shards, HOT.0, history_weight),
            slow_start: SlowStart::default(),
            gone: Vec::new(),
            measurements: Measurements {
                runs: 1.0,
                ..Measurements::default()
            },
        }
    }

    fn play(mut self, strategy: &dyn PlacementStrategy) -> Result<Measurements, PlanError> {
        // The placements start from what they make of one window of load, which is not measured.
        self.measure();
        self.place(strategy)?;
        self.measure();
        let mut joined = None;
        for window in 0..self.scenario.windows {
            if window % self.scenario.shift_interval == self.scenario.shift_interval - 1 {
                self.workload.shift_popularity();
            }
            let due = self.scenario.events.iter().find(|e| e.0 == window);
            let event = due.map(|e| e.1);
            let before = self.replica_sets();
            let minimum = self.happen(event);
            self.place(strategy)?;
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

    fn place(&mut self, strategy: &dyn PlacementStrategy) -> Result<(), PlanError> {
        let load = self.meter.end_window(HOT.1);
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

    /// Draws the requests of a window. Returns peak over mean utilization.
    fn measure(&mut self) -> f64 {
        let counts = self.workload.window();
        let mut used = vec![0u64; self.members.len()];
        for (&key, count) in self.workload.keys.iter().zip(counts) {
            if count > 0 {
                self.meter.observe(key, count);
                let owner = self.table.locate(key).map(|s| s.owner.index());
                if let Some(sum) = owner.and_then(|o| used.get_mut(o)) {
                    *sum += count;
                }
            }
        }
        let used = used
            .into_iter()
            .map(|u| to_f64(usize::try_from(u).unwrap_or(0)));
        let capacity = self.members.iter().map(|p| self.slow_start.capacity(p));
        let open: Vec<(f64, f64)> = used.zip(capacity).filter(|(_, c)| *c > 0.0).collect();
        let sum = open.iter().fold((0.0, 0.0), |s, o| (s.0 + o.0, s.1 + o.1));
        let peak = open.iter().map(|(u, c)| u / c).fold(0.0, f64::max);
        peak / (sum.0 / sum.1)
    }

    /// Members get older; those that are warm serve at full rate.
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

    /// Changes the members' states. Returns the number of keys that have to move.
    fn happen(&mut self, event: Option<Event>) -> f64 {
        let serving = |p: &MemberInfo| p.state == MemberState::Serving;
        let mut open: Vec<usize> = (0..self.members.len())
            .filter(|&m| serving(&self.members[m]))
            .collect();
        self.workload.shuffle(&mut open);
        let (chosen, state) = match event {
            None => return 0.0,
            Some(Event::Lose(count)) => (open[..count].to_vec(), MemberState::Lost),
            Some(Event::Leave) => (open[..1].to_vec(), MemberState::Leaving),
            Some(Event::LoseDomain) => {
                let domain = self.workload.draw(self.scenario.domains.len());
                let is_in = |&m: &usize| self.members[m].domain.index() == domain;
                (
                    (0..self.members.len()).filter(is_in).collect(),
                    MemberState::Lost,
                )
            }
            Some(Event::Replace) => return self.restore(),
        };
        for &member in &chosen {
            self.members[member].state = state;
            self.gone
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

    /// New servers join for those that are gone.
    fn restore(&mut self) -> f64 {
        let gone = std::mem::take(&mut self.gone);
        let domains = gone.iter().map(|m| self.members[m.index()].domain);
        let cold = MemberState::Cold { age: 0 };
        let fresh: Vec<MemberInfo> = domains
            .map(|d| MemberInfo {
                state: cold,
                ..profile(d)
            })
            .collect();
        for member in &gone {
            self.members[member.index()].state = MemberState::Lost;
        }
        let first = self.members.len();
        let names = (first..first + gone.len()).map(name).collect();
        apply(&mut self.table, &Change::Join { members: names });
        self.members.extend(fresh);
        let open = self.members.iter().filter(|p| p.is_eligible()).count();
        to_f64(self.workload.keys.len() * gone.len()) / to_f64(open)
    }

    /// Counts the keys that moved and the time they were unavailable.
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

fn profile(domain: Domain) -> MemberInfo {
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
