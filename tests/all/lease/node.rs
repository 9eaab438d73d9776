//! One process with a holder, a witness and a succession, and the host that it runs on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use trefoil_core::{HostId, Tick, UpstreamName};
use trefoil_lease::{
    Effect, Holder, Lease, Message, Peer, Records, Succession, Switches, Timing, Witness,
};

/// An entry of the log.
#[derive(Debug, Clone)]
pub enum Entry {
    Lease(Box<Lease>),
    Assign(UpstreamName, Vec<HostId>),
    Expire(HostId),
}

/// Entries with the times at which they were appended.
pub type Log = Vec<(Duration, Entry)>;

/// A process and its host.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    pub id: HostId,
    /// Previous incarnation of the host.
    pub predecessor: Option<HostId>,
    pub running: bool,
    pub paused: bool,
    /// Deviation of the clock's rate from true time, in parts per thousand.
    pub rate: i32,
    /// Delay of this host's reading of the log.
    pub lag: Duration,
    /// Number of entries read.
    pub read: usize,
    /// Number of entries in the log when the process started.
    pub tail: usize,
    pub records: Records,
    pub holder: Holder,
    pub witness: Witness,
    pub succession: Succession,
    /// Arrived messages that the process has not handled.
    pub inbox: Vec<(Peer, Message)>,
    /// Upstreams with requests in flight, and when the last one ends.
    pub in_flight: BTreeMap<UpstreamName, Duration>,
    /// True if records or messages have arrived since the last poll.
    changed: bool,
}

impl Node {
    /// Creates a process that starts at `now`, in the time of the world.
    pub fn new(
        name: &str,
        (id, address): (HostId, SocketAddr),
        switches: Switches,
        rate: i32,
        now: Duration,
    ) -> Self {
        let timing = Timing::default();
        let start = local(now, rate);
        Self {
            name: name.to_owned(),
            address,
            id,
            predecessor: None,
            running: true,
            paused: false,
            rate,
            lag: Duration::ZERO,
            read: 0,
            tail: 0,
            records: Records::default(),
            holder: Holder::with_switches(id, timing, switches).expect("chart"),
            witness: Witness::with_switches(id, address, timing, start, switches).expect("chart"),
            succession: Succession::with_switches(id, timing, switches),
            inbox: Vec::new(),
            in_flight: BTreeMap::new(),
            changed: true,
        }
    }

    /// Returns the time on this host's clock.
    pub fn tick(&self, now: Duration) -> Tick {
        local(now, self.rate)
    }

    pub fn up(&self) -> bool {
        self.running && !self.paused
    }

    pub fn peer(&self) -> Peer {
        Peer {
            host: self.id,
            address: self.address,
        }
    }

    /// Reads the log up to the entry `end`.
    pub fn apply(&mut self, log: &Log, end: usize, now: Duration) -> Vec<Effect> {
        if self.read >= end {
            return Vec::new();
        }
        let records = &mut self.records;
        for (_, entry) in &log[self.read..end] {
            match entry {
                Entry::Lease(lease) => {
                    records.apply_lease(Lease::clone(lease));
                }
                Entry::Assign(upstream, hosts) => {
                    records.apply_assignment(upstream, hosts.iter().copied());
                }
                Entry::Expire(host) => records.apply_expiry(*host),
            }
        }
        self.read = end;
        self.changed = true;
        let tick = self.tick(now);
        self.witness.sync(&self.records, tick);
        let mut effects = self.holder.sync(&self.records, tick);
        effects.extend(self.succession.sync(&self.records, tick));
        effects
    }

    /// Handles one message.
    pub fn receive(&mut self, from: Peer, message: &Message, now: Duration) -> Vec<Effect> {
        self.changed = true;
        let tick = self.tick(now);
        let mut effects = self.witness.receive(from, message, tick);
        effects.extend(self.holder.receive(from, message, tick));
        effects.extend(self.succession.receive(from, message, &self.records));
        effects
    }

    /// Polls holder, witness and succession if a `next_wake` has passed or anything has arrived.
    pub fn poll(&mut self, now: Duration) -> Vec<Effect> {
        let tick = self.tick(now);
        for upstream in self.in_flight.extract_if(.., |_, end| *end <= now) {
            self.succession.mark_drained(&upstream.0);
            self.changed = true;
        }
        let wakes = [
            self.holder.next_wake(),
            self.witness.next_wake(),
            self.succession.next_wake(&self.holder),
        ];
        let due = wakes.into_iter().flatten().any(|at| at <= tick);
        if !std::mem::take(&mut self.changed) && !due {
            return Vec::new();
        }
        let mut effects = self.holder.poll(tick);
        effects.extend(self.witness.poll(tick));
        effects.extend(self.succession.poll(&self.holder, tick));
        effects
    }
}

fn local(now: Duration, rate: i32) -> Tick {
    let rate = u32::try_from(1000 + rate).expect("a small deviation");
    Tick(now * rate / 1000)
}
