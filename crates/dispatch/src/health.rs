//! Health of one upstream, derived from its dispatcher's observations.
//!
//! Three kinds of observation count: answers to probes, answers to requests, and the `leaving`
//! setting of the routing resource. Health and load endpoints lag or mislead, so a
//! [`Health::on_hint`] from them only makes the next probe due. States and transitions are in
//! `health.yaml`.
//!
//! # Silence
//!
//! A probe is sent every [`PROBE_INTERVAL`] and has failed if it is not answered within the same
//! time. Three failed probes in a row without any answer in between make the upstream lost. A
//! failed request makes it suspect and the next probe due at once, but does not count towards the
//! three: otherwise a burst of requests on one broken connection would decide within a millisecond.
//! A refusal is an answer: it proves that the upstream is alive.
//!
//! An upstream that freezes right after an answered probe is lost [`PROBE_INTERVAL`] × 4 = 1.6 s
//! later; if a request fails first or the freeze precedes a probe, 1.2 s.
//!
//! # Stall
//!
//! An upstream can answer probes from a healthy thread while its workers are stuck. If
//! [`STALL_FAILURES`] requests in a row fail over at least [`STALL_PERIOD`], without a single
//! answer to a request, the upstream is lost although its probes are answered. Both conditions are
//! needed: the count prevents a decision on one or two requests to an upstream with little traffic,
//! and the period prevents a restart of the upstream's process from moving all its keys.
//!
//! A leaving upstream that becomes silent or stalls has left. It never becomes cold again by
//! itself, since it would then receive new work while it is declared to be leaving.
//!
//! # Recovery
//!
//! An upstream that was silent is cold again after three answered probes in a row. It owns nothing
//! then, since its shards were released, and gets shards only from a new plan. After a stall,
//! answered probes prove little, and an early return would move keys back and forth for as long as
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

/// Failed probes in a row that make an upstream lost, and answered ones after which it is cold
/// again.
pub const PROBE_THRESHOLD: u32 = 3;

/// Minimum time over which requests must fail to make an upstream lost that answers probes.
pub const STALL_PERIOD: Duration = Duration::from_millis(1600);

/// Requests in a row that must fail to make an upstream lost that answers probes.
pub const STALL_FAILURES: u32 = 8;

/// Answered probes in a row after which a stalled upstream is cold again.
pub const STALL_PROBES: u32 = 75;

const CHART: &str = include_str!("health.yaml");

/// State of an upstream.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum HealthState {
    /// Receives requests; has answered fewer than [`SUCCESSES_PER_SLOT`] since it became cold.
    Cold,
    /// Receives and answers requests.
    Serving,
    /// A probe or request has failed, and nothing has been answered since.
    Suspect,
    /// Finishes its requests and receives no new ones.
    Draining,
    /// Does not answer.
    Lost,
    /// Has left.
    Left,
}

/// Event that changes the state of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum HealthEvent {
    /// [`SUCCESSES_PER_SLOT`] requests were answered since the upstream became cold.
    Warmed,
    /// A probe or request failed.
    Failed,
    /// A probe or request was answered or refused.
    Answered,
    /// [`PROBE_THRESHOLD`] probes failed in a row.
    Silent,
    /// Requests fail although probes may be answered.
    Stalled,
    /// Enough probes of a lost upstream were answered in a row.
    Recovered,
    /// The upstream is declared to be leaving.
    Leaving,
    /// A leaving upstream owns no shards and has nothing in flight.
    Emptied,
    /// The upstream is no longer declared to be leaving.
    Returned,
}

/// Number of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Probe(u64);

#[derive(Debug, Clone, Copy)]
struct Outstanding {
    probe: Probe,
    sent_at: Tick,
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
    state_since: Tick,
    /// Probe that is neither answered nor failed.
    outstanding: Option<Outstanding>,
    /// Tick at which the next probe is due.
    probe_due: Tick,
    next_probe: u64,
    /// Number of probes that failed in a row without an answer in between.
    failed_probes: u32,
    /// Number of probes that were answered in a row.
    answered_probes: u32,
    /// Number of answered probes in a row after which a lost upstream is cold again.
    recovery_probes: u32,
    /// Requests that failed since one was answered.
    failures: Streak,
    /// Number of requests that were answered since the last change of state.
    answers: u32,
}

impl Health {
    /// Creates the health of an upstream without observations. The first probe is due immediately.
    ///
    /// # Errors
    ///
    /// Fails if `health.yaml` does not load.
    pub fn new(now: Tick) -> Result<Self, ChartError> {
        let chart = StateChart::parse(CHART)?;
        Ok(Self {
            state: chart.initial(),
            chart,
            state_since: now,
            outstanding: None,
            probe_due: now,
            next_probe: 0,
            failed_probes: 0,
            answered_probes: 0,
            recovery_probes: PROBE_THRESHOLD,
            failures: Streak::default(),
            answers: 0,
        })
    }

    /// Returns the state.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Returns the tick at which the upstream entered its state.
    pub fn since(&self) -> Tick {
        self.state_since
    }

    /// Returns the access to the upstream that its state allows.
    pub fn access(&self) -> Access {
        match self.state {
            HealthState::Cold | HealthState::Serving | HealthState::Suspect => Access::Open,
            HealthState::Draining => Access::Draining(self.state_since.after(DRAIN_QUEUE_TIME)),
            HealthState::Lost | HealthState::Left => Access::Closed,
        }
    }

    /// Returns true if the grant of an upstream that checks fences may be renewed.
    ///
    /// It is not renewed while the upstream is suspect, so that the last grant expires during the
    /// probes and not after them. A suspicion ends within 1.2 s, by an answer or by loss, and the
    /// last grant was sent at most 400 ms before it, so an upstream that answers is without a grant
    /// for at most the last 100 ms.
    pub fn may_grant(&self) -> bool {
        matches!(
            self.state,
            HealthState::Cold | HealthState::Serving | HealthState::Draining
        )
    }

    fn transition(&mut self, now: Tick, event: HealthEvent) {
        if let Some(state) = self.chart.next(self.state, &event) {
            self.state = state;
            self.state_since = now;
            self.answers = 0;
            self.answered_probes = 0;
        }
    }

    /// Counts a probe that was not answered in time as failed, and returns the next probe if it is
    /// due.
    pub fn poll(&mut self, now: Tick) -> Option<Probe> {
        if let Some(outstanding) = self.outstanding
            && now.since(outstanding.sent_at) >= PROBE_INTERVAL
        {
            self.on_probe_failed(now, outstanding.probe);
        }
        if self.outstanding.is_some() || now < self.probe_due || self.state == HealthState::Left {
            return None;
        }
        let probe = Probe(self.next_probe);
        self.next_probe += 1;
        self.outstanding = Some(Outstanding {
            probe,
            sent_at: now,
        });
        self.probe_due = now.after(PROBE_INTERVAL);
        Some(probe)
    }

    /// Returns the tick at which [`Health::poll`] is to be called next.
    pub fn next_wake(&self) -> Option<Tick> {
        let timeout = self.outstanding.map(|p| p.sent_at.after(PROBE_INTERVAL));
        (self.state != HealthState::Left).then(|| timeout.unwrap_or(self.probe_due))
    }

    /// Handles the answer to a probe, which may be late and of any content.
    pub fn on_probe_answered(&mut self, now: Tick, probe: Probe) {
        if self.outstanding.is_some_and(|p| p.probe == probe) {
            self.outstanding = None;
        }
        self.failed_probes = 0;
        self.answered_probes += 1;
        self.on_answer(now);
    }

    /// Handles a probe that could not be sent or whose connection failed. A probe that has already
    /// timed out is not counted again.
    pub fn on_probe_failed(&mut self, now: Tick, probe: Probe) {
        if self.outstanding.is_some_and(|p| p.probe == probe) {
            self.outstanding = None;
            self.failed_probes += 1;
            self.answered_probes = 0;
            self.transition(now, HealthEvent::Failed);
            if self.failed_probes >= PROBE_THRESHOLD {
                self.transition(now, HealthEvent::Silent);
            }
        }
    }

    fn on_answer(&mut self, now: Tick) {
        if self.answered_probes >= self.recovery_probes {
            self.recovery_probes = PROBE_THRESHOLD;
            self.transition(now, HealthEvent::Recovered);
        }
        self.transition(now, HealthEvent::Answered);
    }

    /// Handles the signal of a finished attempt to send a request.
    pub fn on_signal(&mut self, now: Tick, signal: Signal) {
        match signal {
            Signal::None => {}
            Signal::Answer | Signal::Refusal => {
                self.failed_probes = 0;
                self.failures = Streak::default();
                self.transition(now, HealthEvent::Answered);
                self.answers += u32::from(signal == Signal::Answer);
                if self.answers >= SUCCESSES_PER_SLOT {
                    self.transition(now, HealthEvent::Warmed);
                }
            }
            Signal::Failure => self.count_failure(now),
        }
    }

    fn count_failure(&mut self, now: Tick) {
        if self.access() == Access::Closed {
            return;
        }
        if self.failures.count == 0 {
            self.failures.since = now;
        }
        self.failures.count += 1;
        self.transition(now, HealthEvent::Failed);
        self.probe_due = self.probe_due.min(now);
        if self.failures.count >= STALL_FAILURES && now.since(self.failures.since) >= STALL_PERIOD {
            self.failures = Streak::default();
            self.recovery_probes = STALL_PROBES;
            self.transition(now, HealthEvent::Stalled);
        }
    }

    /// Makes the next probe due because of a hint that the upstream may be impaired. Changes
    /// nothing else.
    pub fn on_hint(&mut self, now: Tick) {
        self.probe_due = self.probe_due.min(now);
    }

    /// Sets whether the upstream is declared to be leaving.
    pub fn set_leaving(&mut self, now: Tick, leaving: bool) {
        let event = if leaving {
            HealthEvent::Leaving
        } else {
            HealthEvent::Returned
        };
        self.transition(now, event);
    }

    /// Handles the report that the upstream owns no shards and has nothing in flight.
    pub fn on_emptied(&mut self, now: Tick) {
        self.transition(now, HealthEvent::Emptied);
    }
}
