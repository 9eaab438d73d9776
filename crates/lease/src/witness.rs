//! Witness side of a lease: keeps timers for the leases of other hosts.
//!
//! A witness has one entry for each lease whose record names its own incarnation, or an earlier
//! incarnation at its address, as a witness. An entry ends in one of three final states, and its
//! verdict is sent to every recorded successor until that successor has acknowledged it.
//!
//! # Entries of an earlier process
//!
//! Only one process can serve an address, so when a fresh process runs there, its predecessor has
//! stopped, and all of the predecessor's promises end within one lease of the fresh process's
//! start. After that wait the fresh process knows that no promise is outstanding. It does not know
//! about closings: the predecessor may have closed a generation, and the holder may have moved on
//! because of it. A majority of "expired" verdicts on the old generation would then prove nothing.
//!
//! The log settles this. A holder closes a generation only after the record of the next one is in
//! the log. A process that has read the log to its tail after its own start has therefore seen the
//! next generation, if its predecessor closed this one. So a fresh process
//!
//! - attests nothing in its predecessor's place before [`Witness::mark_caught_up`],
//! - attests [`Verdict::Expired`] for a generation that is then the newest, and
//! - attests [`Verdict::ExpiredOrClosed`] for a generation that is not, which proves something only
//!   together with the expiry of the newer one.
//!
//! # Restart of a process whose lease has ended
//!
//! A host remains a useful witness after its own lease has ended. If it restarted at once, the
//! holders that it serves would lose its promises; and where three of a holder's five witnesses
//! restart together, that holder ends and restarts as well, which withdraws promises from other
//! holders in turn. The process therefore stays as a witness, holders leave it out of their next
//! generations, and it restarts when [`Witness::outstanding_promises`] is zero.
//!
//! # Memory
//!
//! Entries exist only for leases in the records, at most two generations for each holder, and at
//! most the configured capacity. When the capacity is reached, a new entry is refused. Dropping an
//! old one instead is not safe, because a witness that forgets an attested expiry could promise
//! again.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::Deserialize;
use trefoil_core::chart::ChartError;
use trefoil_core::{HostId, StateChart, Tick};

use crate::holder::send;
use crate::message::{Attestation, Effect, Message, Peer, Refusal, Verdict};
use crate::records::{Generation, Lease, Records, WitnessIndex};
use crate::switches::Switches;
use crate::timing::Timing;

const CHART: &str = include_str!("../charts/witness.yaml");

/// State of an entry, as described in `charts/witness.yaml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryState {
    /// No heartbeat has arrived.
    Waiting,
    /// A promise was given, and no verdict has been attested since.
    Promised,
    /// The record names an earlier process at this address as the witness.
    Inherited,
    /// The expiry is attested.
    Expired,
    /// The generation is closed.
    Closed,
    /// No promise is outstanding, but the earlier process may have closed the generation.
    ExpiredOrClosed,
}

impl EntryState {
    fn verdict(self) -> Option<Verdict> {
        match self {
            Self::Waiting | Self::Promised | Self::Inherited => None,
            Self::Expired => Some(Verdict::Expired),
            Self::Closed => Some(Verdict::Closed),
            Self::ExpiredOrClosed => Some(Verdict::ExpiredOrClosed),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Event {
    Heartbeat,
    Timeout,
    Outdated,
    Close,
}

#[derive(Debug, Clone)]
struct Entry {
    index: WitnessIndex,
    state: EntryState,
    /// Tick at which the entry times out or its verdict is sent again.
    due: Tick,
    relied_on: bool,
    newest: bool,
    /// Successors that have yet to acknowledge the verdict.
    pending: BTreeSet<HostId>,
    acknowledged: BTreeSet<HostId>,
}

/// Witness of other hosts' leases.
#[derive(Debug, Clone)]
pub struct Witness {
    host: HostId,
    address: SocketAddr,
    started: Tick,
    caught_up: bool,
    timing: Timing,
    switches: Switches,
    chart: StateChart<EntryState, Event>,
    entries: BTreeMap<(HostId, Generation), Entry>,
}

impl Witness {
    /// Creates a witness without entries, for the process that starts at `now` and serves
    /// `address`.
    ///
    /// # Errors
    ///
    /// Fails if `charts/witness.yaml` does not load.
    pub fn new(
        host: HostId,
        address: SocketAddr,
        timing: Timing,
        now: Tick,
    ) -> Result<Self, ChartError> {
        Self::with_switches(host, address, timing, now, Switches::default())
    }

    /// Creates a witness with some mechanisms turned off.
    ///
    /// # Errors
    ///
    /// Fails if `charts/witness.yaml` does not load.
    #[doc(hidden)]
    pub fn with_switches(
        host: HostId,
        address: SocketAddr,
        timing: Timing,
        now: Tick,
        switches: Switches,
    ) -> Result<Self, ChartError> {
        Ok(Self {
            host,
            address,
            started: now,
            caught_up: false,
            timing,
            switches,
            chart: StateChart::parse(CHART)?,
            entries: BTreeMap::new(),
        })
    }

    /// Reports that the records include everything that was in the log when this process started.
    pub fn mark_caught_up(&mut self) {
        self.caught_up = true;
    }

    /// Returns true if this process may attest in its predecessor's place once the wait is over.
    fn may_attest_inherited(&self) -> bool {
        self.caught_up || self.switches.skip_tail || self.switches.skip_wait
    }

    /// Returns the state of the entry for one generation of a holder's lease.
    pub fn state(&self, holder: HostId, generation: Generation) -> Option<EntryState> {
        self.entries.get(&(holder, generation)).map(|e| e.state)
    }

    /// Returns the number of generations to which this witness has given a promise and attested no
    /// verdict.
    ///
    /// A process whose own lease has ended should run until this is zero, and then restart.
    pub fn outstanding_promises(&self) -> usize {
        let states = self.entries.values().map(|e| e.state);
        states.filter(|s| *s == EntryState::Promised).count()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies changed records: adds and removes entries, and updates the successors of each.
    pub fn sync(&mut self, records: &Records, now: Tick) {
        let recorded =
            |holder, generation| records.leases_of(holder).and_then(|t| t.get(generation));
        self.entries
            .retain(|&(holder, generation), _| recorded(holder, generation).is_some());
        for (lease, newest) in records.leases() {
            let key = (lease.holder, lease.generation);
            let room = self.entries.len() < self.timing.capacity;
            let initial = self.initial_entry(lease, now);
            match (self.entries.get_mut(&key), initial) {
                (Some(entry), _) => entry.newest = newest,
                (None, Some((index, state, due))) if room => {
                    let entry = Entry {
                        index,
                        state,
                        due,
                        relied_on: false,
                        newest,
                        pending: BTreeSet::new(),
                        acknowledged: BTreeSet::new(),
                    };
                    self.entries.insert(key, entry);
                }
                _ => {}
            }
        }
        for (&(holder, _), entry) in &mut self.entries {
            let mut successors = records.successors(holder);
            entry.acknowledged.retain(|h| successors.contains(h));
            successors.retain(|h| !entry.acknowledged.contains(h));
            // A new successor receives a final verdict at once and not with the next repetition.
            if entry.state.verdict().is_some() && !successors.is_subset(&entry.pending) {
                entry.due = now;
            }
            entry.pending = successors;
        }
    }

    /// Returns the index of this witness in the lease, and the first state and timeout of the
    /// entry.
    fn initial_entry(&self, lease: &Lease, now: Tick) -> Option<(WitnessIndex, EntryState, Tick)> {
        let own = lease.index_of(self.host);
        let inherited = lease
            .index_at(self.address)
            .filter(|_| !self.switches.no_address_rule && lease.holder != self.host);
        let wait = if self.switches.skip_wait {
            now
        } else {
            self.started.after(self.timing.lease)
        };
        let grace = now.after(self.timing.grace);
        own.map(|index| (index, self.chart.initial(), grace))
            .or_else(|| inherited.map(|index| (index, EntryState::Inherited, wait)))
    }

    /// Handles a message from a holder or a successor.
    pub fn receive(&mut self, from: Peer, message: &Message, now: Tick) -> Vec<Effect> {
        match message {
            Message::Heartbeat {
                generation,
                sent,
                relied_on,
            } => self.on_heartbeat(from.host, *generation, *sent, *relied_on, now),
            Message::Close { generation } => self.on_close(from.host, *generation, now),
            Message::AttestAck(attestation) => {
                let key = (attestation.holder, attestation.generation);
                if let Some(entry) = self.entries.get_mut(&key)
                    && entry.pending.remove(&from.host)
                {
                    entry.acknowledged.insert(from.host);
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn on_heartbeat(
        &mut self,
        holder: HostId,
        generation: Generation,
        sent: Tick,
        relied_on: bool,
        now: Tick,
    ) -> Vec<Effect> {
        let Some(entry) = self.entries.get_mut(&(holder, generation)) else {
            return refuse(holder, generation, Refusal::Unknown);
        };
        entry.relied_on |= relied_on;
        let switches = self.switches;
        let forced = (switches.renew_after_attesting && entry.state == EntryState::Expired)
            || (switches.renew_in_place && entry.state == EntryState::Inherited);
        match self.chart.next(entry.state, &Event::Heartbeat) {
            Some(state) => {
                entry.state = state;
                entry.due = now.after(self.timing.lease);
                vec![send(holder, Message::Promise { generation, sent })]
            }
            None if forced => vec![send(holder, Message::Promise { generation, sent })],
            None => refuse(holder, generation, refusal(entry.state)),
        }
    }

    fn on_close(&mut self, holder: HostId, generation: Generation, now: Tick) -> Vec<Effect> {
        let Some(entry) = self.entries.get_mut(&(holder, generation)) else {
            return refuse(holder, generation, Refusal::Unknown);
        };
        match self.chart.next(entry.state, &Event::Close) {
            Some(state) => {
                entry.state = state;
                entry.due = now;
                vec![send(holder, Message::Closed { generation })]
            }
            // A repeated request: the answer to an earlier one was lost.
            None if entry.state == EntryState::Closed => {
                vec![send(holder, Message::Closed { generation })]
            }
            None => refuse(holder, generation, refusal(entry.state)),
        }
    }

    /// Returns the tick at which [`poll`](Self::poll) is to be called next.
    pub fn next_wake(&self) -> Option<Tick> {
        let active = self.entries.values().filter(|e| match e.state {
            EntryState::Waiting | EntryState::Promised => true,
            EntryState::Inherited => self.may_attest_inherited(),
            _ => !e.pending.is_empty(),
        });
        active.map(|e| e.due).min()
    }

    /// Attests the expiries that are due, and repeats unacknowledged verdicts.
    pub fn poll(&mut self, now: Tick) -> Vec<Effect> {
        let mut effects = Vec::new();
        let may_attest = self.may_attest_inherited();
        for (&(holder, generation), entry) in &mut self.entries {
            if now < entry.due || (entry.state == EntryState::Inherited && !may_attest) {
                continue;
            }
            let outdated = entry.state == EntryState::Inherited && !entry.newest;
            let event = if outdated && !self.switches.attest_outdated {
                Event::Outdated
            } else {
                Event::Timeout
            };
            entry.state = self.chart.next(entry.state, &event).unwrap_or(entry.state);
            let Some(verdict) = entry.state.verdict() else {
                continue;
            };
            entry.due = now.after(self.timing.retry);
            let attestation = Attestation {
                holder,
                generation,
                witness: entry.index,
                verdict,
                relied_on: entry.relied_on,
            };
            let pending = entry.pending.iter();
            effects.extend(pending.map(|&to| send(to, Message::Attest(attestation))));
        }
        effects
    }
}

/// Returns the reason for which an entry in `state` gives no promise or closing.
fn refusal(state: EntryState) -> Refusal {
    match state {
        EntryState::Inherited | EntryState::ExpiredOrClosed => Refusal::Replaced,
        EntryState::Closed => Refusal::Superseded,
        EntryState::Waiting | EntryState::Promised | EntryState::Expired => Refusal::Expired,
    }
}

fn refuse(holder: HostId, generation: Generation, reason: Refusal) -> Vec<Effect> {
    vec![send(holder, Message::Refused { generation, reason })]
}
