//! Hosts, a log and a network on manual time.
//!
//! A message is delivered to the process that serves the receiver's address on arrival, even if
//! that is a later incarnation. A paused process queues its messages and handles them when it
//! resumes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use trefoil_core::{HostId, UpstreamName};
use trefoil_lease::{Effect, Generation, HolderState, Lease, Message, Peer, Switches, WitnessSlot};
use uuid::Uuid;

use super::checker::Checker;
use super::node::{Entry, Log, Node};

/// Length of one step.
pub const STEP: Duration = Duration::from_millis(5);

/// Time for which requests stay in flight after a host stops admitting new ones.
const DRAIN: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct InTransit {
    at: Duration,
    from: usize,
    peer: Peer,
    to: usize,
    message: Message,
}

/// All hosts, the network and the log.
#[derive(Debug)]
pub struct World {
    pub now: Duration,
    pub checker: Checker,
    pub switches: Switches,
    pub delay: (u64, u64),
    /// Share of lost messages in percent.
    pub loss: u32,
    pub log_up: bool,
    nodes: Vec<Node>,
    ids: BTreeMap<HostId, usize>,
    log: Log,
    upstreams: BTreeSet<UpstreamName>,
    cuts: BTreeSet<(usize, usize)>,
    transit: Vec<InTransit>,
    random: StdRng,
}

impl World {
    pub fn new(seed: u64, switches: Switches) -> Self {
        Self {
            now: Duration::from_secs(10),
            checker: Checker::default(),
            switches,
            delay: (5, 5),
            loss: 0,
            log_up: true,
            nodes: Vec::new(),
            ids: BTreeMap::new(),
            log: Vec::new(),
            upstreams: BTreeSet::new(),
            cuts: BTreeSet::new(),
            transit: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    pub fn index(&self, name: &str) -> usize {
        let found = self.nodes.iter().position(|n| n.name == name);
        found.unwrap_or_else(|| panic!("no host {name}"))
    }

    pub fn names(&self) -> Vec<String> {
        self.nodes.iter().map(|n| n.name.clone()).collect()
    }

    pub fn is_running(&self, name: &str) -> bool {
        self.nodes[self.index(name)].running
    }

    /// Returns true if a host must restart to get a lease or to change its witnesses.
    fn needs_restart(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let state = node.holder.state();
        !node.running || matches!(state, HolderState::Ended | HolderState::ChangeFailed)
    }

    /// Maintains the hosts as the daemons do: restarts processes that have stopped, or that have
    /// ended and have no outstanding promise, and records a lease for each host with outdated
    /// witnesses.
    pub fn maintain(&mut self) {
        for name in self.names() {
            let index = self.index(&name);
            let node = &self.nodes[index];
            if self.needs_restart(index)
                && (!node.running || node.witness.outstanding_promises() == 0)
            {
                self.crash(&name);
                self.start(&name);
            }
        }
        let names = self.names();
        for (i, name) in names.iter().enumerate() {
            let others = names.iter().cycle().skip(i + 1).take(names.len() - 1);
            let others = others.filter(|n| !self.needs_restart(self.index(n)));
            let witnesses: Vec<_> = others.take(5).cloned().collect();
            let ids = witnesses.iter().map(|w| self.nodes[self.index(w)].id);
            let ids: Vec<_> = ids.collect();
            let records = &self.nodes[i].records;
            let leases = records.leases_of(self.nodes[i].id);
            let recorded =
                leases.is_some_and(|t| t.current.witnesses.iter().map(|s| s.host).eq(ids));
            let refused = self.nodes[i].holder.refusals() > 0;
            if (!recorded || refused) && self.may_change(name) {
                self.lease(name, &witnesses);
            }
        }
    }

    /// Starts a process; a host of that name gets a new incarnation at the same address.
    pub fn start(&mut self, name: &str) {
        let id = HostId(Uuid::from_u128(self.ids.len() as u128 + 1));
        let old = self.nodes.iter().position(|n| n.name == name);
        let index = old.unwrap_or(self.nodes.len());
        let port = 9000 + u16::try_from(index).expect("few hosts");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let rate = old.map_or(0, |i| self.nodes[i].rate);
        let mut node = Node::new(name, (id, address), self.switches, rate, self.now);
        node.predecessor = old.map(|i| self.nodes[i].id);
        node.tail = self.log.len();
        self.ids.insert(id, index);
        match old {
            Some(i) => self.nodes[i] = node,
            None => self.nodes.push(node),
        }
        // Without the log a fresh process gets the records that the peers it can reach have read.
        let reached =
            |peer| !self.cuts.contains(&(index, peer)) && !self.cuts.contains(&(peer, index));
        let peers = (0..self.nodes.len()).filter(|&p| reached(p) && self.nodes[p].up());
        let known = peers.map(|p| self.nodes[p].read).max();
        if !self.log_up {
            self.catch_up(index, known.unwrap_or(0));
        }
        self.read_log(index);
    }

    pub fn crash(&mut self, name: &str) {
        let index = self.index(name);
        self.lost(index);
        self.nodes[index].running = false;
        self.nodes[index].inbox.clear();
    }

    pub fn pause(&mut self, name: &str) {
        let index = self.index(name);
        self.lost(index);
        self.nodes[index].paused = true;
    }

    /// Resumes a process. The checker runs before the process handles anything.
    pub fn resume(&mut self, name: &str) {
        let index = self.index(name);
        self.nodes[index].paused = false;
        self.check();
        self.recover();
    }

    /// Returns true if a host acts for any upstream now.
    fn acts(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let tick = node.tick(self.now);
        let mut upstreams = node.records.assignments().map(|a| &a.upstream);
        let acts = |u| node.succession.authority(u, &node.holder, tick).is_some();
        node.up() && upstreams.any(acts)
    }

    fn lost(&mut self, index: usize) {
        let acts = self.acts(index);
        let name = &self.nodes[index].name;
        self.checker.lost(name, self.now, acts);
    }

    fn recover(&mut self) {
        for index in 0..self.nodes.len() {
            if self.acts(index) {
                self.checker.recovered(&self.nodes[index].name);
            }
        }
    }

    /// Drops all messages from one host to another.
    pub fn cut(&mut self, from: &str, to: &str) {
        let link = (self.index(from), self.index(to));
        self.lost(link.0);
        self.lost(link.1);
        self.cuts.insert(link);
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.recover();
    }

    pub fn clock(&mut self, name: &str, rate: i32) {
        let index = self.index(name);
        self.nodes[index].rate = rate;
    }

    pub fn lag(&mut self, name: &str, lag: Duration) {
        let index = self.index(name);
        self.nodes[index].lag = lag;
    }

    /// Returns true if a host may write the record of its next generation.
    pub fn may_change(&self, name: &str) -> bool {
        let node = &self.nodes[self.index(name)];
        let recorded = self.log.iter().filter(|(_, e)| match e {
            Entry::Lease(l) => l.holder == node.id,
            _ => false,
        });
        let recorded = Generation(recorded.count() as u64);
        let first = recorded == Generation::default();
        first || (node.holder.can_change() && node.holder.generation() == Some(recorded))
    }

    /// Records the next generation of a host's lease.
    pub fn lease(&mut self, name: &str, witnesses: &[String]) {
        let holder = self.nodes[self.index(name)].id;
        let newest = self.log.iter().rev().find_map(|(_, e)| match e {
            Entry::Lease(l) if l.holder == holder => Some(l.generation.next()),
            _ => None,
        });
        let slots = witnesses.iter().map(|w| {
            let node = &self.nodes[self.index(w)];
            WitnessSlot {
                host: node.id,
                address: node.address,
            }
        });
        let lease = Lease {
            holder,
            generation: newest.unwrap_or(Generation::FIRST),
            witnesses: slots.collect(),
        };
        self.append(Entry::Lease(Box::new(lease)));
    }

    /// Records the next term of an upstream.
    pub fn assign(&mut self, upstream: &str, hosts: &[String]) {
        let upstream = upstream.parse().expect("a name");
        let hosts = hosts.iter().map(|h| self.nodes[self.index(h)].id).collect();
        self.append(Entry::Assign(upstream, hosts));
    }

    /// Records the expiry of a host's stopped or previous incarnation.
    pub fn expire(&mut self, name: &str) {
        let node = &self.nodes[self.index(name)];
        let id = if node.up() {
            node.predecessor
        } else {
            Some(node.id)
        };
        self.append(Entry::Expire(id.expect("an earlier incarnation")));
    }

    /// Records the expiry of every incarnation that a running host has found lost.
    pub fn expire_lost(&mut self) {
        let lost = self.ids.keys().copied().filter(|&id| {
            let mut up = self.nodes.iter().filter(|n| n.up());
            up.any(|n| n.succession.is_lost(id) && !n.records.is_dead(id))
        });
        for id in lost.collect::<Vec<_>>() {
            self.append(Entry::Expire(id));
        }
    }

    fn append(&mut self, entry: Entry) {
        assert!(self.log_up, "the log is down");
        if let Entry::Assign(upstream, _) = &entry {
            self.upstreams.insert(upstream.clone());
        }
        self.log.push((self.now, entry));
    }

    /// Reads the log as far as it is visible to a host.
    fn read_log(&mut self, index: usize) {
        if !self.log_up {
            return;
        }
        let lag = self.nodes[index].lag;
        let visible = self.log.partition_point(|(at, _)| *at + lag <= self.now);
        self.catch_up(index, visible);
        let node = &mut self.nodes[index];
        if node.read >= node.tail {
            node.witness.mark_caught_up();
        }
    }

    fn catch_up(&mut self, index: usize, end: usize) {
        let effects = self.nodes[index].apply(&self.log, end, self.now);
        self.perform(index, effects, None);
    }

    /// Carries out effects; `cause` is the host whose message led to them.
    fn perform(&mut self, index: usize, effects: Vec<Effect>, cause: Option<usize>) {
        let millis = self.now.as_millis();
        for effect in effects {
            let name = &self.nodes[index].name;
            match effect {
                Effect::Send { to, message } => self.send(index, to, message),
                Effect::Ended => {
                    let text = format!("{millis} ms {name} has ended");
                    self.checker.events.push(text);
                }
                Effect::ChangeFailed { generation } => {
                    let text = format!("{millis} ms {name} cannot change to {generation}");
                    self.checker.events.push(text);
                }
                Effect::Drain { upstream } => {
                    let end = self.now + DRAIN;
                    self.nodes[index].in_flight.insert(upstream, end);
                }
                Effect::CatchUp => {
                    let end = cause.map_or(0, |c| self.nodes[c].read);
                    self.catch_up(index, end);
                }
                Effect::Extended { .. } | Effect::Acquired { .. } | Effect::Stopped { .. } => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: HostId, message: Message) {
        let lost = self.loss > 0 && self.random.random_range(0..100) < self.loss;
        let delay = self.random.random_range(self.delay.0..=self.delay.1);
        let to = self.ids[&to];
        if !lost && !self.cuts.contains(&(from, to)) {
            self.transit.push(InTransit {
                at: self.now + Duration::from_millis(delay),
                from,
                peer: self.nodes[from].peer(),
                to,
                message,
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let cuts = &self.cuts;
        for f in self.transit.extract_if(.., |f| f.at <= now) {
            if self.nodes[f.to].running && !cuts.contains(&(f.from, f.to)) {
                self.nodes[f.to].inbox.push((f.peer, f.message));
            }
        }
    }

    fn handle(&mut self, index: usize) {
        for (peer, message) in std::mem::take(&mut self.nodes[index].inbox) {
            let effects = self.nodes[index].receive(peer, &message, self.now);
            let cause = self.ids[&peer.host];
            self.perform(index, effects, Some(cause));
        }
    }

    fn poll(&mut self, index: usize) {
        let effects = self.nodes[index].poll(self.now);
        self.perform(index, effects, None);
    }

    fn check(&mut self) {
        for upstream in &self.upstreams {
            let found: Vec<_> = self
                .nodes
                .iter()
                .filter(|n| n.up())
                .filter_map(|n| {
                    let tick = n.tick(self.now);
                    let token = n.succession.authority(upstream, &n.holder, tick);
                    // Requests in flight of a host without a lease are not counted: as for a
                    // crashed host, only fences and deadlines bound them.
                    let in_flight = n.in_flight.contains_key(upstream) && n.holder.is_valid(tick);
                    let active = token.is_some() || in_flight;
                    active.then(|| (n.name.clone(), token))
                })
                .collect();
            self.checker.check(self.now, upstream.as_str(), &found);
        }
    }

    /// Returns the hosts that act for an upstream now.
    pub fn acting(&self, upstream: &str) -> Vec<String> {
        let upstream = upstream.parse().expect("a name");
        let up = self.nodes.iter().filter(|n| n.up());
        let acting = up.filter(|n| {
            let tick = n.tick(self.now);
            n.succession.authority(&upstream, &n.holder, tick).is_some()
        });
        acting.map(|n| n.name.clone()).collect()
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for index in 0..self.nodes.len() {
            if self.nodes[index].up() {
                self.read_log(index);
                self.handle(index);
                self.poll(index);
            }
        }
        self.check();
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }
}
