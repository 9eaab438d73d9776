//! Simulates upstreams, a store and a network on a manual clock.
//!
//! Time advances in ticks. Orders arrive after a random delay, answers can be lost, and an
//! unanswered grant can be applied seconds later, with its TTL counted from its arrival. After
//! every tick the grants of all upstreams are checked for overlaps.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use trefoil_core::{Fence, Key, KeyRange, Tick, UnixMillis, UpstreamName};
use trefoil_directory::Incarnation;
use trefoil_ranges::{
    Author, Coordinator, Handover, Order, OrderId, OrderKind, OrderOutcome, Table, Timing,
};

/// Duration of a tick.
pub const TICK: Duration = Duration::from_millis(20);

/// Number of keys in a cell. Ranges consist of whole cells, and ownership is checked per cell.
pub const CELL: u32 = 4096;

const CELLS: usize = 16;

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
    /// Term of the coordinator.
    pub term: u64,
    /// The process is paused until this tick.
    pub paused_until: Tick,
    /// The store does not answer the host until this tick.
    pub cut_off_until: Tick,
    /// Set once the store has reported a later term.
    pub deposed: bool,
    /// A table whose write the store has not confirmed.
    writing: Option<Table>,
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

    /// Incarnations of the live upstreams.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        let alive = self.upstreams.values().filter(|u| u.alive);
        alive.map(|u| u.incarnation.clone()).collect()
    }

    /// Makes a new host the coordinator, in the steps that the gateway takes.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        let service = "offers".parse().unwrap_or_else(|e| panic!("{e}"));
        let mut table = self.table.clone().unwrap_or_else(|| Table::new(service));
        let earlier = match table.author {
            None => self.now,
            Some(author) => {
                let before = self.now.after(author.earlier_grants);
                self.timing.earlier_expiry(self.now).max(before)
            }
        };
        table.refence_moves();
        self.sign(&mut table, self.epoch, earlier);
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
        self.hosts.push(Host {
            coordinator,
            term: self.epoch,
            paused_until: Tick::default(),
            cut_off_until: Tick::default(),
            deposed: false,
            writing: None,
        });
    }

    fn sign(&self, table: &mut Table, term: u64, earlier: Tick) {
        table.version += 1;
        table.author = Some(Author {
            host: trefoil_core::HostId::random(),
            term,
            earlier_grants: earlier.since(self.now),
            resigned: false,
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
        let mut table = coordinator.table().clone();
        for first in coordinator.cleared() {
            table.clear_former(first);
        }
        change(&mut table, &mut self.random);
        if table == *coordinator.table() {
            return;
        }
        let (term, earlier) = (self.hosts[host].term, coordinator.earlier_until());
        self.sign(&mut table, term, earlier);
        self.hosts[host].writing = Some(table);
    }

    /// Restarts an upstream, which loses its state.
    pub fn restart(&mut self, index: usize) {
        let now = self.now;
        if let Some(upstream) = self.upstreams.values_mut().nth(index) {
            upstream.incarnation.started =
                UnixMillis(u64::try_from(now.0.as_millis()).unwrap_or(1));
            upstream.started_at = now;
            upstream.alive = true;
            upstream.highest_fence = [Fence(0); CELLS];
            upstream.held = [None; CELLS];
        }
    }

    /// Stops an upstream.
    pub fn crash(&mut self, index: usize) {
        if let Some(upstream) = self.upstreams.values_mut().nth(index) {
            upstream.alive = false;
            upstream.held = [None; CELLS];
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
    }

    fn chance(&mut self, likelihood: f64) -> bool {
        self.random.random_bool(likelihood)
    }

    fn random_duration(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.random.random_range(least..=most))
    }

    fn run_host(&mut self, index: usize) {
        let now = self.now;
        let incarnations = self.incarnations();
        let reaches = self.hosts[index].cut_off_until <= now;
        let host = &mut self.hosts[index];
        if host.deposed {
            return;
        }
        if reaches && host.term < self.epoch {
            host.deposed = true;
            return;
        }
        host.coordinator.set_incarnations(incarnations);
        if reaches {
            host.coordinator.confirm_term(now);
            if let Some(table) = host.writing.clone() {
                self.table = Some(table.clone());
                if !self.chance(self.faults.write_lost) {
                    self.hosts[index].writing = None;
                    for entry in table.entries() {
                        self.record(entry.range, &format!("host {index} adopts {entry:?}"));
                    }
                    self.hosts[index].coordinator.adopt_table(now, table);
                }
            }
        }
        for order in self.hosts[index].coordinator.poll(now) {
            self.send(index, order);
        }
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
