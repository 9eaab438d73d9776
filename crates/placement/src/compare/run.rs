//! One run of one placement.

use trefoil_core::{PerSecond, UpstreamName};

use super::workload::Workload;
use super::{Churn, Event, HANDOVER, Measures, Scenario, TAKEOVER, WINDOW};
use crate::baseline::Placer;
use crate::load::Meter;
use crate::member::{Domain, Profile, Ramp, State};
use crate::objective::float;
use crate::plan::initial;
use crate::planner::{Input, PlanError};
use crate::table::{Change, Member, Seat, Table};

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
pub fn run(scenario: &Scenario, placer: &dyn Placer, seed: u64) -> Result<Measures, PlanError> {
    Run::new(scenario, seed, placer.keep()).play(placer)
}

struct Run<'a> {
    scenario: &'a Scenario,
    workload: Workload,
    table: Table,
    members: Vec<Profile>,
    meter: Meter,
    ramp: Ramp,
    /// Members to replace when servers return.
    gone: Vec<Member>,
    measures: Measures,
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario, seed: u64, keep: f64) -> Self {
        let domains = (0u16..).zip(&scenario.domains);
        let domains = domains.flat_map(|(d, &n)| std::iter::repeat_n(Domain(d), n.into()));
        let members: Vec<Profile> = domains.map(profile).collect();
        let mut table = Table::default();
        let names = (0..members.len()).map(name).collect();
        apply(&mut table, &initial(names, scenario.shards));
        Self {
            scenario,
            workload: Workload::new(scenario, seed),
            table,
            members,
            meter: Meter::new(scenario.shards, HOT.0, keep),
            ramp: Ramp::default(),
            gone: Vec::new(),
            measures: Measures {
                runs: 1.0,
                ..Measures::default()
            },
        }
    }

    fn play(mut self, placer: &dyn Placer) -> Result<Measures, PlanError> {
        // The placements start from what they make of one window of load, which is not measured.
        self.measure();
        self.place(placer)?;
        self.measure();
        let mut joined = None;
        for window in 0..self.scenario.windows {
            if window % self.scenario.shift == self.scenario.shift - 1 {
                self.workload.shift();
            }
            let due = self.scenario.events.iter().find(|e| e.0 == window);
            let event = due.map(|e| e.1);
            let before = self.seats();
            let least = self.happen(event);
            self.place(placer)?;
            let moved = self.count_moves(&before);
            match event {
                Some(Event::Lose(_) | Event::LoseDomain) => {
                    self.measures.loss.add(Churn { moved, least });
                }
                Some(Event::Leave) => self.measures.leave.add(Churn { moved, least }),
                Some(Event::Return) => {
                    joined = Some(window);
                    self.measures.join.add(Churn { moved, least });
                }
                None if joined.is_some_and(|w| window <= w + self.ramp.0) => {
                    self.measures.join.add(Churn { moved, least: 0.0 });
                }
                None => {
                    self.measures.quiet.0 += 1.0;
                    self.measures.quiet.1 += moved;
                }
            }
            let peak = self.measure();
            self.measures.peaks.push(peak);
            self.age();
        }
        Ok(self.measures)
    }

    fn seats(&self) -> Vec<Seat> {
        let seat = |&key| self.table.locate(key).unwrap_or(Seat::VACANT);
        self.workload.keys.iter().map(seat).collect()
    }

    fn place(&mut self, placer: &dyn Placer) -> Result<(), PlanError> {
        let load = self.meter.close(HOT.1);
        let plan = placer.place(&Input {
            table: &self.table,
            members: &self.members,
            load: &load,
        })?;
        for change in &plan.changes {
            apply(&mut self.table, change);
        }
        if placer.tracks() {
            self.meter.track(self.table.hot().map(|m| m.key));
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
            .map(|u| float(usize::try_from(u).unwrap_or(0)));
        let capacity = self.members.iter().map(|p| self.ramp.capacity(p));
        let open: Vec<(f64, f64)> = used.zip(capacity).filter(|(_, c)| *c > 0.0).collect();
        let sum = open.iter().fold((0.0, 0.0), |s, o| (s.0 + o.0, s.1 + o.1));
        let peak = open.iter().map(|(u, c)| u / c).fold(0.0, f64::max);
        peak / (sum.0 / sum.1)
    }

    /// Members get older; those that are warm serve at full rate.
    fn age(&mut self) {
        for member in &mut self.members {
            if let State::Cold { age } = member.state {
                member.state = match age + 1 {
                    age if age < self.ramp.0 => State::Cold { age },
                    _ => State::Serving,
                };
            }
        }
    }

    /// Changes the members' states. Returns the number of keys that have to move.
    fn happen(&mut self, event: Option<Event>) -> f64 {
        let serving = |p: &Profile| p.state == State::Serving;
        let mut open: Vec<usize> = (0..self.members.len())
            .filter(|&m| serving(&self.members[m]))
            .collect();
        self.workload.shuffle(&mut open);
        let (chosen, state) = match event {
            None => return 0.0,
            Some(Event::Lose(count)) => (open[..count].to_vec(), State::Lost),
            Some(Event::Leave) => (open[..1].to_vec(), State::Leaving),
            Some(Event::LoseDomain) => {
                let domain = self.workload.draw(self.scenario.domains.len());
                let is_in = |&m: &usize| self.members[m].domain.index() == domain;
                ((0..self.members.len()).filter(is_in).collect(), State::Lost)
            }
            Some(Event::Return) => return self.restore(),
        };
        for &member in &chosen {
            self.members[member].state = state;
            self.gone
                .push(Member(u16::try_from(member).unwrap_or(u16::MAX)));
        }
        let seats = self.seats();
        float(
            seats
                .iter()
                .filter(|s| chosen.contains(&s.owner.index()))
                .count(),
        )
    }

    /// New servers join for those that are gone.
    fn restore(&mut self) -> f64 {
        let gone = std::mem::take(&mut self.gone);
        let domains = gone.iter().map(|m| self.members[m.index()].domain);
        let cold = State::Cold { age: 0 };
        let fresh: Vec<Profile> = domains
            .map(|d| Profile {
                state: cold,
                ..profile(d)
            })
            .collect();
        for member in &gone {
            self.members[member.index()].state = State::Lost;
        }
        let first = self.members.len();
        let names = (first..first + gone.len()).map(name).collect();
        apply(&mut self.table, &Change::Join { members: names });
        self.members.extend(fresh);
        let open = self.members.iter().filter(|p| p.is_open()).count();
        float(self.workload.keys.len() * gone.len()) / float(open)
    }

    /// Counts the keys that moved and the time they were unavailable.
    fn count_moves(&mut self, before: &[Seat]) -> f64 {
        let mut moved = 0.0;
        for (old, new) in before.iter().zip(self.seats()) {
            let is_lost = |m: Member| self.members[m.index()].state == State::Lost;
            self.measures.unavailable += match old.owner {
                owner if is_lost(owner) && is_lost(old.standby) => TAKEOVER + WINDOW,
                owner if is_lost(owner) => TAKEOVER,
                owner if owner != new.owner => HANDOVER,
                _ => 0.0,
            };
            moved += f64::from(u8::from(old.owner != new.owner));
        }
        self.measures.moved += moved;
        moved
    }
}

fn profile(domain: Domain) -> Profile {
    Profile {
        domain,
        capacity: PerSecond(1.0),
        state: State::Serving,
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
