//! Simulates upstreams, a store and a network on a manual clock.
//!
//! Time advances in ticks. Orders arrive after a random delay, answers can be lost, and an
//! unanswered grant can be applied seconds later, with its TTL counted from its arrival. After
//! every tick the grants of all upstreams are checked for overlaps.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use trefoil_core::{Era, Fence, HostId, Key, KeyRange, Tick, UnixMillis, UpstreamName};
use trefoil_directory::Incarnation;
use trefoil_ranges::{
    Claim, Coordinator, Handover, Order, OrderId, OrderKind, OrderOutcome, Table, Takeover, Timing,
};

/// Duration of a tick.
pub const TICK: Duration = Duration::from_millis(20);

/// Number of keys in a cell. Ranges consist of whole cells, and ownership is checked per cell.
pub const CELL: u32 = 4096;

const CELLS: usize = 16;

/// Age of the oldest copy that the store can come back from.
const COPY_AGE_MAX: Duration = Duration::from_secs(12);

/// Slowdown of the slowest upstream clock.
const DRIFT: f64 = 1.02;

/// Probabilities of faults.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// An order does not reach its upstream.
    pub unsent: f64,
    /// The answer to an order is lost.
    pub lost: f64,
    /// A grant is applied only seconds later, and not answered.
    pub late: f64,
    /// The store carries out a write of the table, and its answer is lost.
    pub write_lost: f64,
    /// Longest time until a host learns that an upstream has ended or started again.
    pub lag: Duration,
}

#[derive(Debug, Clone, Copy)]
struct HeldGrant {
    fence: Fence,
    until: Tick,
}

#[derive(Debug)]
struct Upstream {
    incarnation: Incarnation,
    alive: bool,
    /// Start of the current incarnation on the simulation's clock.
    started_at: Tick,
    highest_fence: [Fence; CELLS],
    held: [Option<HeldGrant>; CELLS],
    /// Highest fence of an accepted grant, kept over restarts.
    granted: [Fence; CELLS],
    /// Changes of its registration, and when they reach the registry.
    registered: Vec<(Tick, Option<Incarnation>)>,
}

impl Upstream {
    /// The incarnation that was registered at a tick.
    fn registered_at(&self, at: Tick) -> Option<&Incarnation> {
        let change = self.registered.iter().rfind(|(from, _)| *from <= at);
        change.and_then(|(_, incarnation)| incarnation.as_ref())
    }

    fn register(&mut self, at: Tick, incarnation: Option<Incarnation>) {
        let last = self.registered.last().map(|(at, _)| *at);
        let at = last.map_or(at, |last| last.max(at));
        self.registered.push((at, incarnation));
    }
}

#[derive(Debug)]
struct InFlight {
    from: usize,
    order: Order,
    sent: Tick,
    arrives: Tick,
    /// Tick at which the order is applied, which can be later than its arrival.
    applied: Tick,
    answered: bool,
}

#[derive(Debug)]
struct Reply {
    to: usize,
    id: OrderId,
    answer: OrderOutcome,
    at: Tick,
}

/// A host that is or was the coordinator.
#[derive(Debug)]
pub struct Host {
    /// Decides on orders.
    pub coordinator: Coordinator,
    /// Host, term and era of the coordinator.
    pub claim: Claim,
    /// The claim whose epoch is in the store, before the table is written under it.
    next_claim: Option<Claim>,
    /// When the store last confirmed the term.
    confirmed_at: Tick,
    /// The process is paused until this tick.
    pub paused_until: Tick,
    /// The store does not answer the host until this tick.
    pub cut_off_until: Tick,
    /// Set once the store has reported a later term.
    pub deposed: bool,
    /// A table whose write the store has not confirmed.
    writing: Option<Table>,
    /// Age of its view of the registry.
    view_age: Duration,
}

/// Upstreams, hosts and messages in transit.
#[derive(Debug)]
pub struct Simulation {
    /// Current tick.
    pub now: Tick,
    /// Source of all randomness.
    pub random: StdRng,
    /// Timing of grants and terms.
    pub timing: Timing,
    /// Probabilities of faults.
    pub faults: Faults,
    /// All hosts that have been coordinator, the newest last.
    pub hosts: Vec<Host>,
    upstreams: BTreeMap<UpstreamName, Upstream>,
    table: Option<Table>,
    epoch: u64,
    era: Era,
    /// When the store came back from a copy.
    restored_at: Tick,
    /// Copies of the table and the epoch, the newest last.
    copies: VecDeque<(Tick, Option<Table>, u64)>,
    /// The store answers nobody until this tick.
    down_until: Tick,
    in_flight: Vec<InFlight>,
    replies: Vec<Reply>,
    /// Violations of exclusive ownership or of the order of fences.
    pub violations: BTreeSet<String>,
    /// Events by range, to explain a violation.
    history: Vec<(KeyRange, String)>,
}

/// Indexes of the cells of a range.
fn cells(range: KeyRange) -> impl Iterator<Item = usize> {
    let cell = |key: Key| usize::try_from(u32::from(key.0) / CELL).unwrap_or(CELLS);
    cell(range.first())..=cell(range.last())
}

/// Range of the cells `first` to `last`.
pub fn range(first: u32, last: u32) -> KeyRange {
    let first = u16::try_from(first * CELL).unwrap_or(u16::MAX);
    let last = u16::try_from(last * CELL + CELL - 1).unwrap_or(u16::MAX);
    KeyRange::new(Key(first), Key(last)).unwrap_or(KeyRange::ALL)
}

/// An incarnation of an upstream.
pub fn incarnation(name: &str, started: u64) -> Incarnation {
    let name = name.parse().unwrap_or_else(|e| panic!("{name}: {e}"));
    Incarnation {
        name,
        started: UnixMillis(started),
    }
}

impl Simulation {
    /// Creates a simulation with `count` upstreams and no coordinator.
    pub fn new(seed: u64, count: usize, faults: Faults) -> Self {
        let upstreams = (0..count).map(|i| {
            let incarnation = incarnation(&format!("u{i}"), 1);
            let upstream = Upstream {
                incarnation: incarnation.clone(),
                alive: true,
                started_at: Tick::default(),
                highest_fence: [Fence(0); CELLS],
                held: [None; CELLS],
                granted: [Fence(0); CELLS],
                registered: vec![(Tick::default(), Some(incarnation.clone()))],
            };
            (incarnation.name, upstream)
        });
        Self {
            now: Tick(Duration::from_secs(100)),
            random: StdRng::seed_from_u64(seed),
            timing: Timing::default(),
            faults,
            hosts: Vec::new(),
            upstreams: upstreams.collect(),
            table: None,
            epoch: 0,
            era: Era::default(),
            restored_at: Tick::default(),
            copies: VecDeque::new(),
            down_until: Tick::default(),
            in_flight: Vec::new(),
            replies: Vec::new(),
            violations: BTreeSet::new(),
            history: Vec::new(),
        }
    }

    fn record(&mut self, range: KeyRange, text: &str) {
        let ms = self.now.0.as_millis();
        self.history.push((range, format!("{ms} {text}")));
    }

    /// The last events in the cell of the first violation.
    pub fn explain(&self) -> String {
        let violation = self.violations.first().cloned().unwrap_or_default();
        let number = violation
            .strip_prefix("cell ")
            .and_then(|v| v.split(' ').next());
        let cell = number
            .and_then(|n| n.parse().ok())
            .map_or(KeyRange::ALL, |n| range(n, n));
        let concerned = self.history.iter();
        let concerned = concerned.filter(|(r, _)| r.intersection(cell).is_some());
        let lines: Vec<&str> = concerned.map(|(_, text)| text.as_str()).collect();
        let from = lines.len().saturating_sub(60);
        format!("{violation}\n{}", lines[from..].join("\n"))
    }

    /// Incarnations of the upstreams that a host sees in the registry.
    pub fn incarnations(&self, host: usize) -> Vec<Incarnation> {
        let as_of = Tick(self.now.0.saturating_sub(self.hosts[host].view_age));
        let upstreams = self.upstreams.values();
        upstreams
            .filter_map(|u| u.registered_at(as_of).cloned())
            .collect()
    }

    /// A random delay of what a host learns of an upstream. Half of [`Faults::lag`] at most, as it
    /// takes a registration and a read of it.
    fn random_lag(&mut self) -> Duration {
        if self.faults.lag.is_zero() {
            return Duration::ZERO;
        }
        self.faults.lag.mul_f64(self.random.random_range(0.0..0.5))
    }

    /// Ends the store for a while and brings it back from a copy that is `age` old.
    pub fn restore(&mut self, age: Duration, outage: Duration) {
        let at = Tick(self.now.0.saturating_sub(age));
        let older = self.copies.iter().rfind(|(copied, ..)| *copied <= at);
        let Some((_, table, epoch)) = older.or(self.copies.front()).cloned() else {
            return;
        };
        let text = format!(
            "the store comes back with {:?} epoch {epoch}",
            table.as_ref().map(|t| t.version)
        );
        self.record(KeyRange::ALL, &text);
        (self.table, self.epoch) = (table, epoch);
        self.era.0 += 1;
        self.restored_at = self.now.after(outage);
        self.down_until = self.now.after(outage);
        self.copies.clear();
        self.copy_store();
    }

    /// Advances time until the store answers.
    pub fn await_store(&mut self) {
        while self.now < self.down_until {
            self.tick();
        }
    }

    fn copy_store(&mut self) {
        let copy = (self.now, self.table.clone(), self.epoch);
        self.copies.push_back(copy);
        while self
            .copies
            .front()
            .is_some_and(|(at, ..)| self.now.since(*at) > COPY_AGE_MAX)
        {
            self.copies.pop_front();
        }
    }

    /// A term number from the time of day, as the gateway takes it.
    fn next_term(&self) -> u64 {
        let latest = self
            .hosts
            .iter()
            .map(|h| h.claim.term)
            .max()
            .unwrap_or_default();
        let time = u64::try_from(self.now.0.as_millis()).unwrap_or(u64::MAX);
        (time << 10).max(latest + 1)
    }

    /// Makes a new host the coordinator, in the steps that the gateway takes.
    pub fn take_over(&mut self) {
        if self.now < self.down_until {
            return;
        }
        self.epoch = self.next_term();
        let service = "offers".parse().unwrap_or_else(|e| panic!("{e}"));
        let lost = match &self.table {
            Some(table) => table.era < self.era,
            None => self.era > Era::default(),
        };
        let lost_since = lost.then_some(self.restored_at);
        let table = self.table.clone().unwrap_or_else(|| Table::new(service));
        let earlier = match table.author {
            None => self.now,
            Some(author) => {
                let before = self.now.after(author.earlier_grants);
                self.timing.earlier_expiry(self.now).max(before)
            }
        };
        let claim = Claim {
            host: HostId::random(),
            address: None,
            term: self.epoch,
            era: self.era,
        };
        let takeover = Takeover {
            table,
            lost_since,
            known_version: 0,
            earlier,
        };
        let (table, earlier) = claim.take_over(self.now, &self.timing, takeover);
        self.record(
            KeyRange::ALL,
            &format!(
                "host {} takes over, earlier until {earlier}",
                self.hosts.len()
            ),
        );
        self.table = Some(table.clone());
        let mut coordinator = Coordinator::new(self.now, table, self.timing, earlier);
        coordinator.confirm_term(self.now);
        let view_age = self.random_lag();
        self.hosts.push(Host {
            view_age,
            coordinator,
            claim,
            next_claim: None,
            confirmed_at: self.now,
            paused_until: Tick::default(),
            cut_off_until: Tick::default(),
            deposed: false,
            writing: None,
        });
    }

    /// Changes the table of a host and starts to write it. Ignored while another write is
    /// unconfirmed.
    pub fn plan<F>(&mut self, host: usize, change: F)
    where
        F: FnOnce(&mut Table, &mut StdRng),
    {
        let Host {
            coordinator,
            writing,
            ..
        } = &self.hosts[host];
        if writing.is_some() || self.hosts[host].deposed {
            return;
        }
        if coordinator.unlisted_until().is_some() {
            if let Some(mut table) = coordinator.settled_table(self.now) {
                let claim = self.hosts[host].claim;
                claim.sign_change(self.now, &mut table, coordinator);
                self.hosts[host].writing = Some(table);
            }
            return;
        }
        let mut table = coordinator.table().clone();
        for first in coordinator.cleared() {
            table.clear_former(first);
        }
        change(&mut table, &mut self.random);
        if table == *coordinator.table() {
            return;
        }
        let claim = self.hosts[host].claim;
        claim.sign_change(self.now, &mut table, coordinator);
        self.hosts[host].writing = Some(table);
    }

    /// Restarts an upstream, which loses its state.
    pub fn restart(&mut self, index: usize) {
        let now = self.now;
        let registered = now.after(self.random_lag());
        if let Some(upstream) = self.upstreams.values_mut().nth(index) {
            upstream.incarnation.started =
                UnixMillis(u64::try_from(now.0.as_millis()).unwrap_or(1));
            upstream.started_at = now;
            upstream.alive = true;
            upstream.highest_fence = [Fence(0); CELLS];
            upstream.held = [None; CELLS];
            upstream.register(registered, Some(upstream.incarnation.clone()));
        }
    }

    /// Stops an upstream.
    pub fn crash(&mut self, index: usize) {
        let registered = self.now.after(self.random_lag());
        if let Some(upstream) = self.upstreams.values_mut().nth(index) {
            upstream.alive = false;
            upstream.held = [None; CELLS];
            upstream.register(registered, None);
        }
    }

    /// Number of cells served by the upstream that the newest coordinator routes them to.
    pub fn count_served(&self) -> usize {
        let Some(host) = self.hosts.last() else {
            return 0;
        };
        let routes: Vec<_> = host.coordinator.routes(self.now).collect();
        let served_cells = routes.iter().map(|(range, owner)| {
            let upstream = owner.and_then(|name| self.upstreams.get(name));
            let held = |cell: &usize| {
                let grant = upstream.and_then(|u| u.held[*cell]);
                grant.is_some_and(|h| h.until > self.now)
            };
            cells(*range).filter(held).count()
        });
        served_cells.sum()
    }

    /// Advances time by one tick.
    pub fn tick(&mut self) {
        self.now = self.now.after(TICK);
        self.deliver();
        self.reply();
        for host in 0..self.hosts.len() {
            if self.hosts[host].paused_until <= self.now {
                self.run_host(host);
            }
        }
        self.check_exclusive();
        self.copy_store();
    }

    fn chance(&mut self, likelihood: f64) -> bool {
        self.random.random_bool(likelihood)
    }

    fn random_duration(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.random.random_range(least..=most))
    }

    fn run_host(&mut self, index: usize) {
        let now = self.now;
        let incarnations = self.incarnations(index);
        let reaches = self.hosts[index].cut_off_until.max(self.down_until) <= now;
        let host = &mut self.hosts[index];
        if host.deposed {
            return;
        }
        host.coordinator.set_incarnations(incarnations);
        if reaches && host.claim.era < self.era {
            self.reestablish(index);
        } else if reaches && host.claim.term < self.epoch {
            host.deposed = true;
        } else if reaches {
            host.confirmed_at = now;
            host.coordinator.confirm_term(now);
            self.write_table(index);
        }
        if self.hosts[index].deposed {
            return;
        }
        for order in self.hosts[index].coordinator.poll(now) {
            self.send(index, order);
        }
    }

    fn write_table(&mut self, index: usize) {
        let Some(table) = self.hosts[index].writing.clone() else {
            return;
        };
        self.table = Some(table.clone());
        if self.chance(self.faults.write_lost) {
            return;
        }
        self.hosts[index].writing = None;
        for entry in table.entries() {
            self.record(entry.range, &format!("host {index} adopts {entry:?}"));
        }
        self.hosts[index].coordinator.adopt_table(self.now, table);
    }

    /// Goes on in a new era of the store, in the steps that the gateway takes.
    fn reestablish(&mut self, index: usize) {
        let now = self.now;
        let number = self.next_term();
        let (era, epoch) = (self.era, self.epoch);
        let author = self.table.as_ref().filter(|t| t.era == era);
        let author = author.and_then(|t| t.author).map(|a| a.host);
        let host = &mut self.hosts[index];
        host.writing = None;
        host.coordinator.suspend_changes(now);
        let others = author.is_some_and(|author| author != host.claim.host);
        let late = now >= self.timing.continuation_end(host.confirmed_at);
        match host.next_claim {
            _ if others || late => host.deposed = true,
            Some(claim) if claim.era == era && claim.term < epoch => host.deposed = true,
            Some(claim) if claim.era == era => {
                let table = claim.reestablish(now, &host.coordinator, 0);
                self.table = Some(table.clone());
                let lost = self.chance(self.faults.write_lost);
                let host = &mut self.hosts[index];
                if !lost {
                    host.coordinator.adopt_table(now, table);
                    host.coordinator.confirm_term(now);
                    (host.claim, host.confirmed_at) = (claim, now);
                    host.next_claim = None;
                }
            }
            _ => {
                let term = number;
                host.next_claim = Some(Claim {
                    term,
                    era,
                    ..host.claim
                });
                self.epoch = number;
            }
        }
        let host = &self.hosts[index];
        let text = format!(
            "host {index} in era {era}: deposed {} claim {:?}",
            host.deposed, host.claim
        );
        self.record(KeyRange::ALL, &text);
    }

    fn send(&mut self, from: usize, order: Order) {
        let text = format!("host {from} sends {order:?}");
        self.record(order.range, &text);
        if self.chance(self.faults.unsent) {
            let at = tick_after(self.now, TICK);
            let id = order.id;
            let answer = OrderOutcome::NotApplied;
            self.replies.push(Reply {
                to: from,
                id,
                answer,
                at,
            });
            return;
        }
        let arrives = self.now.after(self.random_duration(1, 300));
        let grant = matches!(order.kind, OrderKind::Grant { .. });
        let late = grant && self.chance(self.faults.late);
        let applied = if late {
            arrives.after(self.random_duration(2000, 12_000))
        } else {
            arrives
        };
        let answered = !late && !self.chance(self.faults.lost);
        self.in_flight.push(InFlight {
            from,
            order,
            sent: self.now,
            arrives,
            applied,
            answered,
        });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|m| m.applied <= now);
        self.in_flight = later;
        for message in due {
            let answer = self.apply(&message);
            let text = format!(
                "{} of host {} applied: {answer:?} (answered {}, arrived {})",
                message.order.id, message.from, message.answered, message.arrives
            );
            self.record(message.order.range, &text);
            // A release is answered when the running work has ended.
            let work = match message.order.kind {
                OrderKind::Release => self.random_duration(0, 500),
                OrderKind::Grant { .. } => Duration::ZERO,
            };
            let back = self.random_duration(1, 100);
            let answer = if message.answered {
                answer
            } else {
                OrderOutcome::NoAnswer
            };
            let wait = if message.answered {
                work + back
            } else {
                Duration::from_millis(600)
            };
            self.replies.push(Reply {
                to: message.from,
                id: message.order.id,
                answer,
                at: now.after(wait),
            });
        }
    }

    fn apply(&mut self, message: &InFlight) -> OrderOutcome {
        let order = &message.order;
        let now = self.now;
        let Some(upstream) = self.upstreams.get_mut(&order.incarnation.name) else {
            return OrderOutcome::NotApplied;
        };
        // An order names the upstream, not its incarnation: sent after a restart, it reaches the
        // new incarnation even if it is meant for the old one. An order sent before the restart
        // ends with its connection.
        if !upstream.alive || message.sent <= upstream.started_at {
            return OrderOutcome::NoAnswer;
        }
        let all: Vec<usize> = cells(order.range).collect();
        let OrderKind::Grant { ttl, .. } = order.kind else {
            for cell in all {
                upstream.held[cell] = None;
            }
            return OrderOutcome::Confirmed(Some(Handover("proof".to_owned())));
        };
        if all
            .iter()
            .any(|cell| upstream.highest_fence[*cell] > order.fence)
        {
            return OrderOutcome::Fenced;
        }
        let until = message.arrives.after(ttl.mul_f64(DRIFT));
        for cell in &all {
            upstream.highest_fence[*cell] = order.fence;
            upstream.held[*cell] = Some(HeldGrant {
                fence: order.fence,
                until,
            });
        }
        if until > now {
            self.check_fence(order, &all);
        }
        OrderOutcome::Confirmed(None)
    }

    /// Checks that a grant that takes effect has a higher fence than all grants to other upstreams.
    fn check_fence(&mut self, order: &Order, cells: &[usize]) {
        for cell in cells {
            let others = self.upstreams.iter();
            let others = others.filter(|(name, _)| **name != order.incarnation.name);
            let highest = others.map(|(_, u)| u.granted[*cell]).max();
            if highest.is_some_and(|fence| fence >= order.fence) {
                let seen = format!(
                    "{} granted {} below another's fence",
                    order.incarnation, order.fence
                );
                self.violations.insert(seen);
            }
        }
        if let Some(upstream) = self.upstreams.get_mut(&order.incarnation.name) {
            for cell in cells {
                upstream.granted[*cell] = upstream.granted[*cell].max(order.fence);
            }
        }
    }

    fn reply(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition(|r| r.at <= now);
        self.replies = later;
        for reply in due {
            let host = &mut self.hosts[reply.to];
            if host.paused_until > now {
                // The answer waits in the socket of the paused process.
                let at = host.paused_until;
                self.replies.push(Reply { at, ..reply });
            } else {
                host.coordinator.on_outcome(now, reply.id, reply.answer);
            }
        }
    }

    /// Checks that no two upstreams hold a grant for the same cell.
    fn check_exclusive(&mut self) {
        let now = self.now;
        for cell in 0..CELLS {
            let holders = self.upstreams.values().filter(|u| u.alive);
            let holders = holders.filter(|u| u.held[cell].is_some_and(|h| h.until > now));
            let holders: Vec<String> = holders
                .map(|u| {
                    format!(
                        "{}#{}",
                        u.incarnation,
                        u.held[cell].map_or(Fence(0), |h| h.fence)
                    )
                })
                .collect();
            if holders.len() > 1 {
                let seen = format!("cell {cell} is held by {}", holders.join(" and "));
                self.violations.insert(seen);
            }
        }
    }
}

fn tick_after(now: Tick, span: Duration) -> Tick {
    now.after(span)
}
