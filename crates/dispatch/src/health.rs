//! Health of one upstream from what its dispatcher observes.
//!
//! Three kinds of observation count: whether probes are answered, whether requests are answered,
//! and what the routing resource says about leaving. Health and load endpoints lag or mislead, so a
//! [`Health::on_hint`] from them only brings the next probe forward. States and transitions are in
//! `health.yaml`.
//!
//! # Silence
//!
//! A probe is sent every [`PROBE_INTERVAL`] and has failed if it is not answered within the same time. Three
//! failed probes in a row without any answer in between make the upstream lost. A failed request
//! makes it suspect and the next probe due at once, but does not count towards the three: a burst
//! of requests on one broken connection would otherwise decide within a millisecond. A refusal is
//! an answer: it proves that the upstream is alive.
//!
//! An upstream that freezes right after an answered probe is lost [`PROBE_INTERVAL`] × 4 = 1.6 s later; if a
//! request fails first or the freeze precedes a probe, 1.2 s.
//!
//! # Stall
//!
//! An upstream can answer probes from a healthy thread while its workers are stuck. If
//! [`STALL_FAILURES`] requests in a row fail over at least [`STALL_PERIOD`], without a single answer to a
//! request, the upstream is lost although its probes are answered. Both conditions are needed: the
//! count keeps a quiet upstream from being judged on one or two requests, and the time keeps a
//! restart of the upstream's process from moving all its keys.
//!
//! A leaving upstream that falls silent or stalls has left. It never becomes cold again by itself,
//! since then it would receive new work while it is declared to be leaving.
//!
//! # Recovery
//!
//! An upstream that was silent is cold again after three answered probes in a row. It owns nothing
//! then, since its shards were released, and gets shards only from a new plan. After a stall,
//! answered probes prove little, and an early return would move keys there and back for as long as
//! the stall lasts. It then takes [`STALL_PROBES`] answered probes in a row, which is 30 s.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use trefoil_core::chart::ChartError;
use trefoil_core::{StateChart, Tick};

use crate::admission::DRAIN_QUEUE_TIME;
use crate::limit::SUCCESSES_PER_SLOT;
use crate::{Access, Signal};

/// Time between probes, and time after which an unanswered probe has failed.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Failed probes in a row that make an upstream lost, and answered ones that bring it back.
pub const PROBE_THRESHOLD: u32 = 3;

/// Shortest time over which requests must fail to make an upstream lost that answers probes.
pub const STALL_PERIOD: Duration = Duration::from_millis(1600);

/// Requests in a row that must fail to make an upstream lost that answers probes.
pub const STALL_FAILURES: u32 = 8;

/// Answered probes in a row that bring an upstream back after a stall.
pub const STALL_PROBES: u32 = 75;

const CHART: &str = include_str!("health.yaml");

/// State of an upstream.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum HealthState {
    /// Receives requests; few were answered so far.
    Cold,
    /// Receives and answers requests.
    Serving,
    /// A probe or request failed and nothing was answered since.
    Suspect,
    /// Leaves: finishes what it has and receives nothing new.
    Draining,
    /// Does not answer.
    Lost,
    /// Has left.
    Left,
}

/// What moves an upstream between states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum HealthEvent {
    /// Enough requests were answered.
    Warmed,
    /// A probe or request failed.
    Failed,
    /// A probe or request was answered or refused.
    Answered,
    /// [`PROBE_THRESHOLD`] probes failed in a row.
    Silent,
    /// Requests fail although probes may be answered.
    Stalled,
    /// [`PROBE_THRESHOLD`] probes of a lost upstream were answered in a row.
    Recovered,
    /// The upstream is declared to be leaving.
    Leaving,
    /// A leaving upstream owns no shards and has nothing in flight.
    Emptied,
    /// The upstream is no longer declared to be leaving.
    Returned,
}

/// One probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Probe(u64);

#[derive(Debug, Clone, Copy)]
struct Sent {
    probe: Probe,
    at: Tick,
}

#[derive(Debug, Clone, Copy, Default)]
struct Streak {
    count: u32,
    since: Tick,
}

/// Health of one upstream.
#[derive(Debug)]
pub struct Health {
    chart: StateChart<HealthState, HealthEvent>,
    state: HealthState,
    since: Tick,
    /// The probe that is neither answered nor failed.
    sent: Option<Sent>,
    due: Tick,
    next: u64,
    failed: u32,
    answered: u32,
    /// Answered probes that bring a lost upstream back.
    needed: u32,
    /// Requests that failed since one was answered.
    stall: Streak,
    /// Requests that were answered since the state was last cold.
    warm: u32,
}

impl Health {
    /// Health of an upstream that was not observed before. The first probe is due at once.
    ///
    /// # Errors
    ///
    /// Fails if the crate's own chart does not load.
    pub fn new(now: Tick) -> Result<Self, ChartError> {
        let chart = StateChart::parse(CHART)?;
        Ok(Self {
            state: chart.initial(),
            chart,
            since: now,
            sent: None,
            due: now,
            next: 0,
            failed: 0,
            answered: 0,
            needed: PROBE_THRESHOLD,
            stall: Streak::default(),
            warm: 0,
        })
    }

    /// The state.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Since when the upstream is in its state.
    pub fn since(&self) -> Tick {
        self.since
    }

    /// Whether the upstream may receive requests.
    pub fn access(&self) -> Access {
        match self.state {
            HealthState::Cold | HealthState::Serving | HealthState::Suspect => Access::Open,
            HealthState::Draining => Access::Draining(self.since.after(DRAIN_QUEUE_TIME)),
            HealthState::Lost | HealthState::Left => Access::Closed,
        }
    }

    /// Whether the grant of an upstream that checks fences is renewed.
    ///
    /// It is not renewed while the upstream is suspect, so that the last grant expires while the
    /// probes still run and not after them. A suspicion ends within 1.2 s, by an answer or by loss,
    /// and the last grant was sent at most 400 ms before it, so an upstream that answers keeps its
    /// grant but for at most the last 100 ms.
    pub fn may_grant(&self) -> bool {
        matches!(
            self.state,
            HealthState::Cold | HealthState::Serving | HealthState::Draining
        )
    }

    fn apply(&mut self, now: Tick, event: HealthEvent) {
        if let Some(state) = self.chart.next(self.state, &event) {
            self.state = state;
            self.since = now;
            self.warm = 0;
            self.answered = 0;
        }
    }

    /// Sends a probe if one is due, after a probe that was not answered in time has failed.
    pub fn poll(&mut self, now: Tick) -> Option<Probe> {
        if let Some(sent) = self.sent
            && now.since(sent.at) >= PROBE_INTERVAL
        {
            self.on_probe_failed(now, sent.probe);
        }
        if self.sent.is_some() || now < self.due || self.state == HealthState::Left {
            return None;
        }
        let probe = Probe(self.next);
        self.next += 1;
        self.sent = Some(Sent { probe, at: now });
        self.due = now.after(PROBE_INTERVAL);
        Some(probe)
    }

    /// The tick at which [`Health::poll`] is to be called next.
    pub fn next_wake(&self) -> Option<Tick> {
        let timeout = self.sent.map(|s| s.at.after(PROBE_INTERVAL));
        (self.state != HealthState::Left).then(|| timeout.unwrap_or(self.due))
    }

    /// A probe was answered, possibly late. What the answer says does not matter.
    pub fn on_probe_answered(&mut self, now: Tick, probe: Probe) {
        if self.sent.is_some_and(|s| s.probe == probe) {
            self.sent = None;
        }
        self.failed = 0;
        self.answered += 1;
        self.apply_answer(now);
    }

    /// A probe could not be sent or its connection failed. A probe that has already counted as
    /// failed does not count again.
    pub fn on_probe_failed(&mut self, now: Tick, probe: Probe) {
        if self.sent.is_some_and(|s| s.probe == probe) {
            self.sent = None;
            self.failed += 1;
            self.answered = 0;
            self.apply(now, HealthEvent::Failed);
            if self.failed >= PROBE_THRESHOLD {
                self.apply(now, HealthEvent::Silent);
            }
        }
    }

    fn apply_answer(&mut self, now: Tick) {
        if self.answered >= self.needed {
            self.needed = PROBE_THRESHOLD;
            self.apply(now, HealthEvent::Recovered);
        }
        self.apply(now, HealthEvent::Answered);
    }

    /// Takes in what an attempt to send a request showed.
    pub fn on_signal(&mut self, now: Tick, signal: Signal) {
        match signal {
            Signal::None => {}
            Signal::Answer | Signal::Refusal => {
                self.failed = 0;
                self.stall = Streak::default();
                self.apply(now, HealthEvent::Answered);
                self.warm += u32::from(signal == Signal::Answer);
                if self.warm >= SUCCESSES_PER_SLOT {
                    self.apply(now, HealthEvent::Warmed);
                }
            }
            Signal::Failure => self.count_failure(now),
        }
    }

    fn count_failure(&mut self, now: Tick) {
        if self.access() == Access::Closed {
            return;
        }
        if self.stall.count == 0 {
            self.stall.since = now;
        }
        self.stall.count += 1;
        self.apply(now, HealthEvent::Failed);
        self.due = self.due.min(now);
        if self.stall.count >= STALL_FAILURES && now.since(self.stall.since) >= STALL_PERIOD {
            self.stall = Streak::default();
            self.needed = STALL_PROBES;
            self.apply(now, HealthEvent::Stalled);
        }
    }

    /// Takes in a hint that the upstream may be unwell. It only makes the next probe due.
    pub fn on_hint(&mut self, now: Tick) {
        self.due = self.due.min(now);
    }

    /// The upstream is declared to be leaving, or no longer so.
    pub fn set_leaving(&mut self, now: Tick, leaving: bool) {
        let event = if leaving {
            HealthEvent::Leaving
        } else {
            HealthEvent::Returned
        };
        self.apply(now, event);
    }

    /// The upstream owns no shards and has nothing in flight.
    pub fn on_emptied(&mut self, now: Tick) {
        self.apply(now, HealthEvent::Emptied);
    }
}
