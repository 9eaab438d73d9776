//! The side of a lease that holds it.
//!
//! A promise is counted from the time at which the heartbeat was sent. The witness made it later
//! than that, so its own count ends later, whatever the delay of either message was. The count is
//! shortened by the largest difference between two clocks' rates, so it also ends earlier by real
//! time when the holder's clock is the slowest allowed and the witness's the fastest.
//!
//! # End of the lease
//!
//! A lease that has ended is not resumed by the same incarnation: the holder sends no heartbeats
//! any more, and the process restarts under a new host id. A holder that went on would never be
//! replaced if only the answers to it are lost. Its witnesses would renew promises that it does not
//! learn of, it would not act, and nobody could act in its place. With this rule the witnesses
//! attest the expiry at most one lease after the holder has stopped, which is 3 s after the fault.
//!
//! A refusal does not end a lease early. The promises that were given still hold, and the holder
//! acts until they run out.
//!
//! # Change of generation
//!
//! The holder relies on the current generation alone until it has asked a witness to close it.
//! From then on it relies on both, and once a majority of the old witnesses has closed, on the
//! next one alone. Each step only follows a fact that lasts:
//!
//! - While no witness has been asked to close, a majority of attestations of the current
//!   generation proves that the lease has ended.
//! - While both are relied on, either majority proves it.
//! - Once a majority has closed, no majority can attest the old generation, and a majority of
//!   attestations of the next one proves it.
//!
//! The holder starts to close only after the next generation has been valid once, so a change
//! does not interrupt its authority. A next generation that a majority refuses before that is
//! given up, and the state chart has no second attempt: a record of a third generation would make
//! successors read a closing of the first as a step to the second. The process then drains and
//! restarts under a new host id, which is a planned stop and costs no request.

use std::time::Duration;

use serde::Deserialize;
use smallvec::SmallVec;
use trefoil_core::chart::ChartError;
use trefoil_core::{HostId, StateChart, Tick};

use crate::message::{Effect, Message, Peer, Refusal};
use crate::records::{Generation, Lease, Records, majority};
use crate::switches::Switches;
use crate::timing::Timing;

/// End of a lease that has not been valid.
const NEVER: Tick = Tick(Duration::ZERO);

const CHART: &str = include_str!("../charts/holder.yaml");

/// State of a holder; `charts/holder.yaml` describes each one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HolderState {
    /// Relies on the current generation.
    Steady,
    /// Waits for promises of the next generation.
    Preparing,
    /// Relies on both generations and closes the current one.
    Closing,
    /// Relies on the current generation, which can no longer be changed.
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
    Lapsed,
}

/// What the holder knows of one seat.
#[derive(Debug, Clone, Copy, Default)]
struct Vote {
    /// Start of the count of the latest promise.
    counted: Option<Tick>,
    refused: bool,
    closed: bool,
}

#[derive(Debug, Clone)]
struct Set {
    lease: Lease,
    votes: SmallVec<[Vote; 5]>,
}

impl Set {
    fn new(lease: Lease) -> Self {
        let votes = lease.witnesses.iter().map(|_| Vote::default()).collect();
        Self { lease, votes }
    }

    /// The latest tick that promises from a majority cover; `None` for no end.
    fn until(&self, span: Duration) -> Option<Tick> {
        if self.votes.is_empty() {
            return None;
        }
        let mut counted: SmallVec<[Option<Tick>; 5]> =
            self.votes.iter().map(|v| v.counted).collect();
        // Seats without a promise sort first.
        counted.sort_unstable();
        let index = counted.len() - majority(counted.len());
        let end = counted[index].map(|t| t.after(span));
        Some(end.unwrap_or(NEVER))
    }

    fn count<F>(&self, test: F) -> bool
    where
        F: Fn(&Vote) -> bool,
    {
        self.votes.iter().filter(|v| test(v)).count() >= majority(self.votes.len())
    }

    /// Whether promises from a majority are out of reach for good.
    fn is_refused(&self) -> bool {
        let open = self.votes.iter().filter(|v| !v.refused).count();
        !self.votes.is_empty() && open < majority(self.votes.len())
    }

    fn is_closed(&self) -> bool {
        self.votes.is_empty() || self.count(|v| v.closed)
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
    current: Option<Set>,
    next: Option<Set>,
    /// When the grace time of the first record began.
    since: Tick,
    /// When the next heartbeats are due.
    next_heartbeat: Tick,
    /// The end of the lease that was last reported.
    reported: Option<Tick>,
}

impl Holder {
    /// A holder that has no lease yet.
    ///
    /// # Errors
    ///
    /// Fails if the state chart of this build does not load.
    pub fn new(host: HostId, timing: Timing) -> Result<Self, ChartError> {
        Self::with_switches(host, timing, Switches::default())
    }

    /// A holder with mechanisms turned off.
    ///
    /// # Errors
    ///
    /// Fails if the state chart of this build does not load.
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
            since: Tick::default(),
            next_heartbeat: Tick::default(),
            reported: None,
        })
    }

    /// The incarnation that holds the lease.
    pub fn host(&self) -> HostId {
        self.host
    }

    /// The state of the holder.
    pub fn state(&self) -> HolderState {
        self.state
    }

    /// The generation that the holder relies on, if its first record has been read.
    pub fn generation(&self) -> Option<Generation> {
        self.current.as_ref().map(|s| s.lease.generation)
    }

    /// Whether the record of the next generation may be written.
    ///
    /// The caller writes one record at a time: it waits until it has read back the last one.
    pub fn can_change(&self) -> bool {
        self.current.is_some() && self.chart.next(self.state, &Event::Change).is_some()
    }

    /// Number of current witnesses that give no promise again, because they have attested the expiry
    /// or were replaced.
    ///
    /// Only a change of generation brings their number back. The caller should make one while they
    /// are a minority.
    pub fn refusals(&self) -> usize {
        let votes = self.current.iter().flat_map(|s| &s.votes);
        votes.filter(|v| v.refused).count()
    }

    /// Takes over new lease records of this host.
    pub fn sync(&mut self, records: &Records, now: Tick) -> Vec<Effect> {
        let Some(tenure) = records.leases_of(self.host) else {
            // The log has the expiry of this incarnation.
            let over = self.current.is_some() && self.step(Event::Lapsed);
            return over.then_some(Effect::Ended).into_iter().collect();
        };
        let newest = &tenure.current;
        let known = self.next.as_ref().or(self.current.as_ref());
        match known.map(|s| s.lease.generation) {
            // A host that reads its second record first has never relied on the first one, but
            // others cannot know that. It goes through the same steps.
            None => {
                let first = tenure.previous.as_ref().unwrap_or(newest);
                self.current = Some(Set::new(first.clone()));
                self.since = now;
                self.next_heartbeat = now;
                if tenure.previous.is_some() {
                    self.prepare(newest, now);
                }
            }
            Some(g) if g < newest.generation && self.next.is_none() => self.prepare(newest, now),
            Some(_) => {}
        }
        self.advance(now)
    }

    fn prepare(&mut self, lease: &Lease, now: Tick) {
        if self.step(Event::Change) {
            self.next = Some(Set::new(lease.clone()));
            self.next_heartbeat = now;
        }
    }

    /// How long a promise counts.
    fn span(&self) -> Duration {
        if self.switches.ignore_drift {
            self.timing.lease
        } else {
            self.timing.holder_lease()
        }
    }

    fn step(&mut self, event: Event) -> bool {
        let next = self.chart.next(self.state, &event);
        self.state = next.unwrap_or(self.state);
        next.is_some()
    }

    /// Takes the steps that promises and answers allow, and reports the new end of the lease.
    fn advance(&mut self, now: Tick) -> Vec<Effect> {
        let mut effects = Vec::new();
        let next = self.next.as_ref();
        let until = next.map(|s| (s.until(self.span()), s.is_refused(), s.lease.generation));
        match (self.state, until) {
            (HolderState::Preparing, Some((_, true, generation))) => {
                self.step(Event::Failed);
                self.next = None;
                effects.push(Effect::ChangeFailed { generation });
            }
            (HolderState::Preparing, Some((end, false, _))) if end.is_none_or(|e| now < e) => {
                self.step(Event::Ready);
            }
            _ => {}
        }
        let closed =
            self.switches.skip_closing || self.current.as_ref().is_some_and(Set::is_closed);
        if self.state == HolderState::Closing && closed && self.step(Event::Closed) {
            self.current = self.next.take();
        }
        let until = self.valid_until();
        if until != self.reported {
            self.reported = until;
            let ahead = until.filter(|&end| now < end);
            effects.extend(ahead.map(|until| Effect::Extended { until }));
        }
        effects
    }

    /// First tick at which the lease is not valid; `None` if it does not end.
    ///
    /// A host without witnesses has a lease without end. A host that has not read its first record
    /// has a lease that ends at tick zero.
    pub fn valid_until(&self) -> Option<Tick> {
        let never = Some(NEVER);
        let end = |set: &Option<Set>| set.as_ref().map_or(never, |s| s.until(self.span()));
        match self.state {
            HolderState::Ended => never,
            HolderState::Closing => match (end(&self.current), end(&self.next)) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            },
            HolderState::Steady | HolderState::Preparing | HolderState::ChangeFailed => {
                end(&self.current)
            }
        }
    }

    /// Whether the host may act at `now`.
    ///
    /// It must be called immediately before each request is handed to the socket.
    pub fn is_valid(&self, now: Tick) -> bool {
        self.valid_until().is_none_or(|end| now < end)
    }

    /// The tick from which the host must close its upstream connections, a margin before the lease
    /// ends; `None` if it does not end.
    pub fn stop_at(&self) -> Option<Tick> {
        let margin = self.timing.margin;
        self.valid_until().map(|end| Tick(end.since(Tick(margin))))
    }

    /// Whether the host must close its upstream connections.
    pub fn must_stop(&self, now: Tick) -> bool {
        self.stop_at().is_some_and(|at| at <= now)
    }

    /// The tick at which [`poll`](Self::poll) has something to do.
    pub fn next_wake(&self) -> Option<Tick> {
        let active = self.current.is_some() && self.state != HolderState::Ended;
        let end = self.lapse();
        active.then(|| end.map_or(self.next_heartbeat, |end| end.min(self.next_heartbeat)))
    }

    /// When the holder gives up; `None` if its lease does not end.
    ///
    /// A lease that has never been valid gets the grace time.
    fn lapse(&self) -> Option<Tick> {
        let first = self.since.after(self.timing.grace);
        let end = self.valid_until();
        end.map(|end| if end == NEVER { first } else { end })
    }

    /// Sends the heartbeats that are due, and asks the old witnesses to close.
    ///
    /// A holder whose lease has ended sends nothing more.
    pub fn poll(&mut self, now: Tick) -> Vec<Effect> {
        if self.next_wake().is_none_or(|at| now < at) {
            return Vec::new();
        }
        let lapsed = self.lapse().is_some_and(|end| end <= now);
        if lapsed && !self.switches.heartbeat_after_end && self.step(Event::Lapsed) {
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
            let open = set.lease.witnesses.iter().zip(&set.votes);
            for (seat, _) in open.filter(|(_, v)| !v.refused && !v.closed) {
                let heartbeat = Message::Heartbeat {
                    generation,
                    sent: now,
                    relied_on,
                };
                effects.push(send(seat.host, heartbeat));
            }
        }
        effects.extend(self.close());
        effects
    }

    fn close(&self) -> Vec<Effect> {
        let set = self.current.as_ref();
        let set = set.filter(|_| self.state == HolderState::Closing);
        let seats = set.into_iter().flat_map(|s| {
            let open = s.lease.witnesses.iter().zip(&s.votes);
            let open = open.filter(|(_, v)| !v.refused && !v.closed);
            open.map(|(seat, _)| (seat.host, s.lease.generation))
        });
        seats
            .map(|(to, generation)| send(to, Message::Close { generation }))
            .collect()
    }

    /// Handles a witness's answer.
    pub fn receive(&mut self, from: Peer, message: &Message, now: Tick) -> Vec<Effect> {
        let generation = match message {
            Message::Promise { generation, .. }
            | Message::Refused { generation, .. }
            | Message::Closed { generation } => *generation,
            _ => return Vec::new(),
        };
        let never = self.valid_until() == Some(NEVER);
        let sets = self.current.iter_mut().chain(&mut self.next);
        let Some(set) = sets.into_iter().find(|s| s.lease.generation == generation) else {
            return Vec::new();
        };
        // Promises and closings count for the incarnation that the record names and for no other.
        // A refusal also counts from a later process at its address, which has replaced it.
        let own = set.lease.index_of(from.host);
        let index = own.or_else(|| set.lease.index_at(from.address));
        let Some(vote) = index.and_then(|s| set.votes.get_mut(usize::from(s.0))) else {
            return Vec::new();
        };
        let own = own.is_some() || self.switches.renew_in_place;
        match message {
            Message::Promise { sent, .. } if own => {
                let start = if self.switches.count_from_arrival {
                    now
                } else {
                    *sent
                };
                vote.counted = vote.counted.max(Some(start));
            }
            Message::Closed { .. }
            | Message::Refused {
                reason: Refusal::Superseded,
                ..
            } if own => vote.closed = true,
            Message::Refused {
                reason: Refusal::Expired | Refusal::Replaced,
                ..
            } => vote.refused = true,
            // A witness that has not read the first record yet promises nothing that would keep
            // others from acting, so the grace time begins anew.
            Message::Refused { .. } if never => self.since = now,
            _ => {}
        }
        let before = self.state;
        let mut effects = self.advance(now);
        // The requests to close leave at once, so that a change takes two round trips.
        if before != HolderState::Closing {
            effects.extend(self.close());
        }
        effects
    }
}

pub(crate) fn send(to: HostId, message: Message) -> Effect {
    Effect::Send { to, message }
}
