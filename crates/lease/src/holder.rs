//! Holder side of a lease: sends heartbeats, counts promises and changes witnesses.
//!
//! A promise is counted from the send time of its heartbeat. The witness makes the promise later,
//! so the witness's own timer ends later, independently of the delay of either message. The holder
//! also shortens the duration by the largest difference between two clock rates. Its count
//! therefore ends first in real time even if its clock is the slowest allowed and the witness's the
//! fastest.
//!
//! # End of the lease
//!
//! An incarnation never resumes a lease that has ended: the holder sends no more heartbeats, and
//! the process restarts under a new host id. If it kept sending heartbeats while only the answers
//! to it are lost, it could never be replaced: its witnesses would renew promises that it does not
//! receive, so it could not act, and no other host could act in its place. Because it stops, the
//! witnesses attest the expiry at most one lease later, which is 3 s after the fault.
//!
//! A refusal does not end a lease early. Promises already given still hold, and the holder acts
//! until they run out.
//!
//! # Change of generation
//!
//! The holder relies on the current generation alone until it has asked a witness to close it. From
//! then on it relies on both generations, and once a majority of the old witnesses has closed, on
//! the next one alone. Each step follows only from a permanent fact:
//!
//! - Before any witness has been asked to close, a majority of attestations of the current
//!   generation proves that the lease has ended.
//! - While the holder relies on both, a majority of either proves it.
//! - Once a majority has closed, no majority can attest the old generation, and a majority of
//!   attestations of the next one proves it.
//!
//! The holder asks for the closing only after the next generation has been valid once, so a change
//! does not interrupt its authority. If a majority refuses the next generation before that, the
//! holder abandons it, and the state chart has no second attempt: with a record of a third
//! generation, successors would take a closing of the first as a step to the second. The process
//! then drains and restarts under a new host id, which is a planned stop and fails no request.

use std::time::Duration;

use serde::Deserialize;
use smallvec::SmallVec;
use trefoil_core::chart::ChartError;
use trefoil_core::{HostId, StateChart, Tick};

use crate::message::{Effect, Message, Peer, Refusal};
use crate::records::{Generation, Lease, Records, majority};
use crate::switches::Switches;
use crate::timing::Timing;

/// End of a lease that is not valid.
const NO_LEASE: Tick = Tick(Duration::ZERO);

const CHART: &str = include_str!("../charts/holder.yaml");

/// State of a holder, as described in `charts/holder.yaml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HolderState {
    /// Relies on the current generation.
    Steady,
    /// Waits for promises of the next generation.
    Preparing,
    /// Relies on both generations and closes the current one.
    Closing,
    /// Relies on the current generation alone and can make no further change.
    ChangeFailed,
    /// Never valid again.
    Ended,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Event {
    Change,
    Ready,
    Closed,
    Failed,
    Expired,
}

/// Answers received from one witness.
#[derive(Debug, Clone, Copy, Default)]
struct Answers {
    /// Tick from which the latest promise is counted.
    counted_from: Option<Tick>,
    refused: bool,
    closed: bool,
}

/// One generation of the lease and the answers of its witnesses.
#[derive(Debug, Clone)]
struct WitnessSet {
    lease: Lease,
    answers: SmallVec<[Answers; 5]>,
}

impl WitnessSet {
    fn new(lease: Lease) -> Self {
        let answers = lease.witnesses.iter().map(|_| Answers::default()).collect();
        Self { lease, answers }
    }

    /// First tick that is not covered by promises from a majority; `None` without witnesses.
    fn covered_until(&self, span: Duration) -> Option<Tick> {
        if self.answers.is_empty() {
            return None;
        }
        let mut starts: SmallVec<[Option<Tick>; 5]> =
            self.answers.iter().map(|a| a.counted_from).collect();
        // `None`, for witnesses without a promise, sorts first.
        starts.sort_unstable();
        let index = starts.len() - majority(starts.len());
        let end = starts[index].map(|t| t.after(span));
        Some(end.unwrap_or(NO_LEASE))
    }

    /// Returns true if a majority of the witnesses satisfies `test`.
    fn has_majority<F>(&self, test: F) -> bool
    where
        F: Fn(&Answers) -> bool,
    {
        self.answers.iter().filter(|a| test(a)).count() >= majority(self.answers.len())
    }

    /// Returns true if so many witnesses have refused that no majority can promise any more.
    fn is_refused(&self) -> bool {
        let open = self.answers.iter().filter(|a| !a.refused).count();
        !self.answers.is_empty() && open < majority(self.answers.len())
    }

    fn is_closed(&self) -> bool {
        self.answers.is_empty() || self.has_majority(|a| a.closed)
    }
}

/// The lease of this host.
#[derive(Debug, Clone)]
pub struct Holder {
    host: HostId,
    timing: Timing,
    switches: Switches,
    chart: StateChart<HolderState, Event>,
    state: HolderState,
    current: Option<WitnessSet>,
    next: Option<WitnessSet>,
    /// Start of the grace time of the first record.
    grace_start: Tick,
    /// Tick at which the next heartbeats are due.
    next_heartbeat: Tick,
    /// End of the lease that the last [`Effect::Extended`] named.
    reported_end: Option<Tick>,
}

impl Holder {
    /// Creates a holder that has no lease yet.
    ///
    /// # Errors
    ///
    /// Fails if `charts/holder.yaml` does not load.
    pub fn new(host: HostId, timing: Timing) -> Result<Self, ChartError> {
        Self::with_switches(host, timing, Switches::default())
    }

    /// Creates a holder with some mechanisms turned off.
    ///
    /// # Errors
    ///
    /// Fails if `charts/holder.yaml` does not load.
    #[doc(hidden)]
    pub fn with_switches(
        host: HostId,
        timing: Timing,
        switches: Switches,
    ) -> Result<Self, ChartError> {
        let chart = StateChart::parse(CHART)?;
        Ok(Self {
            host,
            timing,
            switches,
            state: chart.initial(),
            chart,
            current: None,
            next: None,
            grace_start: Tick::default(),
            next_heartbeat: Tick::default(),
            reported_end: None,
        })
    }

    /// Returns the incarnation that holds the lease.
    pub fn host(&self) -> HostId {
        self.host
    }

    /// Returns the state of the holder.
    pub fn state(&self) -> HolderState {
        self.state
    }

    /// Returns the generation that the holder relies on, if it has read its first record.
    pub fn generation(&self) -> Option<Generation> {
        self.current.as_ref().map(|s| s.lease.generation)
    }

    /// Returns true if the record of the next generation may be written.
    ///
    /// The caller writes one record at a time and waits until it has read it back.
    pub fn can_change(&self) -> bool {
        self.current.is_some() && self.chart.next(self.state, &Event::Change).is_some()
    }

    /// Returns the number of current witnesses that will promise no more, because they have
    /// attested the expiry or were replaced.
    ///
    /// Only a change of generation replaces them. The caller should make one while they are a
    /// minority.
    pub fn refusals(&self) -> usize {
        let answers = self.current.iter().flat_map(|s| &s.answers);
        answers.filter(|a| a.refused).count()
    }

    /// Applies new lease records of this host.
    pub fn sync(&mut self, records: &Records, now: Tick) -> Vec<Effect> {
        let Some(leases) = records.leases_of(self.host) else {
            // The log records the expiry of this incarnation.
            let ended = self.current.is_some() && self.transition(Event::Expired);
            return ended.then_some(Effect::Ended).into_iter().collect();
        };
        let newest = &leases.current;
        let known = self.next.as_ref().or(self.current.as_ref());
        match known.map(|s| s.lease.generation) {
            // A host that reads its first two records at once has never relied on the first one,
            // but other hosts cannot know that, so it makes a regular change from the first to the
            // second.
            None => {
                let first = leases.previous.as_ref().unwrap_or(newest);
                self.current = Some(WitnessSet::new(first.clone()));
                self.grace_start = now;
                self.next_heartbeat = now;
                if leases.previous.is_some() {
                    self.prepare(newest, now);
                }
            }
            Some(g) if g < newest.generation && self.next.is_none() => self.prepare(newest, now),
            Some(_) => {}
        }
        self.advance(now)
    }

    fn prepare(&mut self, lease: &Lease, now: Tick) {
        if self.transition(Event::Change) {
            self.next = Some(WitnessSet::new(lease.clone()));
            self.next_heartbeat = now;
        }
    }

    /// Returns the duration for which a promise is counted.
    fn promise_span(&self) -> Duration {
        if self.switches.ignore_drift {
            self.timing.lease
        } else {
            self.timing.holder_lease()
        }
    }

    fn transition(&mut self, event: Event) -> bool {
        let next = self.chart.next(self.state, &event);
        self.state = next.unwrap_or(self.state);
        next.is_some()
    }

    /// Makes the transitions that the received answers allow, and reports the new end of the lease.
    fn advance(&mut self, now: Tick) -> Vec<Effect> {
        let mut effects = Vec::new();
        let next = self.next.as_ref();
        let until = next.map(|s| {
            (
                s.covered_until(self.promise_span()),
                s.is_refused(),
                s.lease.generation,
            )
        });
        match (self.state, until) {
            (HolderState::Preparing, Some((_, true, generation))) => {
                self.transition(Event::Failed);
                self.next = None;
                effects.push(Effect::ChangeFailed { generation });
            }
            (HolderState::Preparing, Some((end, false, _))) if end.is_none_or(|e| now < e) => {
                self.transition(Event::Ready);
            }
            _ => {}
        }
        let closed =
            self.switches.skip_closing || self.current.as_ref().is_some_and(WitnessSet::is_closed);
        if self.state == HolderState::Closing && closed && self.transition(Event::Closed) {
            self.current = self.next.take();
        }
        let until = self.valid_until();
        if until != self.reported_end {
            self.reported_end = until;
            let ahead = until.filter(|&end| now < end);
            effects.extend(ahead.map(|until| Effect::Extended { until }));
        }
        effects
    }

    /// Returns the first tick at which the lease is not valid; `None` if it does not end.
    ///
    /// The lease of a host without witnesses does not end. That of a host that has not read its
    /// first record ends at tick zero.
    pub fn valid_until(&self) -> Option<Tick> {
        let none = Some(NO_LEASE);
        let end = |set: &Option<WitnessSet>| {
            set.as_ref()
                .map_or(none, |s| s.covered_until(self.promise_span()))
        };
        match self.state {
            HolderState::Ended => none,
            HolderState::Closing => match (end(&self.current), end(&self.next)) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            },
            HolderState::Steady | HolderState::Preparing | HolderState::ChangeFailed => {
                end(&self.current)
            }
        }
    }

    /// Returns true if the host may act at `now`.
    ///
    /// The caller checks this immediately before it hands each request to the socket.
    pub fn is_valid(&self, now: Tick) -> bool {
        self.valid_until().is_none_or(|end| now < end)
    }

    /// Returns the tick from which the host must close its upstream connections, which is the
    /// margin before the end of the lease; `None` if the lease does not end.
    pub fn stop_at(&self) -> Option<Tick> {
        let margin = self.timing.margin;
        self.valid_until().map(|end| Tick(end.since(Tick(margin))))
    }

    /// Returns true if the host must close its upstream connections.
    pub fn must_stop(&self, now: Tick) -> bool {
        self.stop_at().is_some_and(|at| at <= now)
    }

    /// Returns the tick at which [`poll`](Self::poll) is to be called next.
    pub fn next_wake(&self) -> Option<Tick> {
        let active = self.current.is_some() && self.state != HolderState::Ended;
        let end = self.ends_at();
        active.then(|| end.map_or(self.next_heartbeat, |end| end.min(self.next_heartbeat)))
    }

    /// Returns the tick at which the holder ends its lease; `None` if the lease does not end.
    ///
    /// A lease that has never been valid ends after the grace time.
    fn ends_at(&self) -> Option<Tick> {
        let first = self.grace_start.after(self.timing.grace);
        let end = self.valid_until();
        end.map(|end| if end == NO_LEASE { first } else { end })
    }

    /// Sends the heartbeats that are due, and asks the old witnesses to close their generation.
    ///
    /// A holder whose lease has ended sends nothing.
    pub fn poll(&mut self, now: Tick) -> Vec<Effect> {
        if self.next_wake().is_none_or(|at| now < at) {
            return Vec::new();
        }
        let expired = self.ends_at().is_some_and(|end| end <= now);
        if expired && !self.switches.heartbeat_after_end && self.transition(Event::Expired) {
            return vec![Effect::Ended];
        }
        if now < self.next_heartbeat {
            return Vec::new();
        }
        self.next_heartbeat = now.after(self.timing.heartbeat);
        let mut effects = Vec::new();
        let closing = self.state == HolderState::Closing;
        let sets = [(&self.current, true), (&self.next, closing)];
        for (set, relied_on) in sets
            .into_iter()
            .filter_map(|(s, r)| s.as_ref().map(|s| (s, r)))
        {
            let generation = set.lease.generation;
            let open = set.lease.witnesses.iter().zip(&set.answers);
            for (witness, _) in open.filter(|(_, a)| !a.refused && !a.closed) {
                let heartbeat = Message::Heartbeat {
                    generation,
                    sent: now,
                    relied_on,
                };
                effects.push(send(witness.host, heartbeat));
            }
        }
        effects.extend(self.close_requests());
        effects
    }

    fn close_requests(&self) -> Vec<Effect> {
        let set = self.current.as_ref();
        let set = set.filter(|_| self.state == HolderState::Closing);
        let witnesses = set.into_iter().flat_map(|s| {
            let open = s.lease.witnesses.iter().zip(&s.answers);
            let open = open.filter(|(_, a)| !a.refused && !a.closed);
            open.map(|(w, _)| (w.host, s.lease.generation))
        });
        witnesses
            .map(|(to, generation)| send(to, Message::Close { generation }))
            .collect()
    }

    /// Handles an answer of a witness.
    pub fn receive(&mut self, from: Peer, message: &Message, now: Tick) -> Vec<Effect> {
        let generation = match message {
            Message::Promise { generation, .. }
            | Message::Refused { generation, .. }
            | Message::Closed { generation } => *generation,
            _ => return Vec::new(),
        };
        let invalid = self.valid_until() == Some(NO_LEASE);
        let sets = self.current.iter_mut().chain(&mut self.next);
        let Some(set) = sets.into_iter().find(|s| s.lease.generation == generation) else {
            return Vec::new();
        };
        // Promises and closings count only from the incarnation that the record names. A refusal
        // also counts from a later process at its address, which has replaced that incarnation.
        let recorded = set.lease.index_of(from.host);
        let index = recorded.or_else(|| set.lease.index_at(from.address));
        let Some(answers) = index.and_then(|i| set.answers.get_mut(usize::from(i.0))) else {
            return Vec::new();
        };
        let recorded = recorded.is_some() || self.switches.renew_in_place;
        match message {
            Message::Promise { sent, .. } if recorded => {
                let start = if self.switches.count_from_arrival {
                    now
                } else {
                    *sent
                };
                answers.counted_from = answers.counted_from.max(Some(start));
            }
            Message::Closed { .. }
            | Message::Refused {
                reason: Refusal::Superseded,
                ..
            } if recorded => answers.closed = true,
            Message::Refused {
                reason: Refusal::Expired | Refusal::Replaced,
                ..
            } => answers.refused = true,
            // A witness that has not read the first record gives no promise that could keep other
            // hosts from acting, so the grace time starts again.
            Message::Refused { .. } if invalid => self.grace_start = now,
            _ => {}
        }
        let before = self.state;
        let mut effects = self.advance(now);
        // Sent at once and not with the next heartbeat, so that a change takes two round trips.
        if before != HolderState::Closing {
            effects.extend(self.close_requests());
        }
        effects
    }
}

pub(crate) fn send(to: HostId, message: Message) -> Effect {
    Effect::Send { to, message }
}
