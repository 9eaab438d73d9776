//! State that all parts of the process share.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use event_listener::Event;
use futures_lite::FutureExt;
use slog::Logger;
use trefoil_core::{Clock, Offset, Revision, Tick, WriterId};
use trefoil_log::record::{Body, Envelope, RecordError, SignedRecord};
use trefoil_log::{HostRecord, Log, Signer, SubmitError, Verdict, View, submit};

use crate::catchup::SplitViews;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::planner::balance::MeasuredLoads;
use crate::report::Reports;
use crate::trace::Tracing;

/// Verdicts that are kept for those who wait for them.
const VERDICTS_MAX: usize = 4096;

/// Views after placement records that are kept for the dispatchers. They take a view over within
/// 500 ms, in which few placement records are written but after an outage of the log.
const PLACEMENT_VIEWS_MAX: usize = 64;
/// How far the log can be read.
#[derive(Debug, Clone, Default, PartialEq, Eq, derive_more::Display)]
pub enum ReplayState {
    /// Nothing was read yet.
    #[default]
    #[display("starting")]
    Starting,
    /// The log is read.
    #[display("read")]
    Current,
    /// The log cannot be read at present. The host serves the view that it has.
    #[display("unavailable: {_0}")]
    LogUnavailable(String),
    /// Records are missing, so the host is not ready.
    #[display("records are missing: {_0}")]
    RecordsMissing(String),
    /// A record cannot be replayed by this build, so the host drains.
    #[display("stopped: {_0}")]
    Stopped(String),
}

/// State that all parts of the process share.
#[derive(Debug)]
pub struct Shared {
    /// This incarnation.
    pub host: HostRecord,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// Logger of the process.
    pub logger: Logger,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// The load of the last measure window.
    pub measured: MeasuredLoads,
    /// What the placement report tells.
    pub reports: Reports,
    /// Length of a measure window.
    pub window: Duration,
    /// Views that were split for other hosts.
    pub split_views: SplitViews,
    /// Source of trace spans; off unless the node sets it.
    pub tracing: Tracing,
    /// Accepted changes of resources.
    pub journal: Journal,
    signer: Signer,
    writer: WriterId,
    sequence: async_lock::Mutex<u64>,
    view: ArcSwap<View>,
    changed: Event,
    verdicts: Mutex<VecDeque<(Offset, Verdict)>>,
    placement_views: Mutex<VecDeque<Arc<View>>>,
    highest_revision: AtomicU64,
    caught_up: AtomicBool,
    synced: AtomicBool,
    draining: AtomicBool,
    replay_state: Mutex<ReplayState>,
    seed_majority_until: Mutex<Tick>,
}

impl Shared {
    /// Shared state with an empty view.
    pub fn new(
        host: HostRecord,
        clock: Arc<dyn Clock>,
        log: Arc<dyn Log>,
        logger: Logger,
        signer: Signer,
    ) -> Self {
        Self {
            host,
            clock,
            log,
            logger,
            metrics: Metrics::default(),
            measured: MeasuredLoads::default(),
            reports: Reports::default(),
            window: crate::load::WINDOW,
            split_views: SplitViews::default(),
            tracing: Tracing::default(),
            journal: Journal::default(),
            signer,
            writer: WriterId::random(),
            sequence: async_lock::Mutex::new(0),
            view: ArcSwap::default(),
            changed: Event::new(),
            verdicts: Mutex::default(),
            placement_views: Mutex::default(),
            highest_revision: AtomicU64::new(0),
            caught_up: AtomicBool::new(false),
            synced: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            replay_state: Mutex::default(),
            seed_majority_until: Mutex::default(),
        }
    }

    /// Sets the length of a measure window, which all hosts of a deployment must share.
    #[must_use]
    pub fn window(mut self, length: Duration) -> Self {
        self.window = length;
        self
    }

    /// Keeps the view after a placement record. Called before the view is published.
    pub fn keep_placement_view(&self, view: &View) {
        let mut placement_views = self
            .placement_views
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        placement_views.push_back(Arc::new(view.clone()));
        let excess = placement_views.len().saturating_sub(PLACEMENT_VIEWS_MAX);
        placement_views.drain(..excess);
    }

    /// The kept views whose placement is above `from` and below `to`, in order.
    pub fn placement_views_between(&self, from: Revision, to: Revision) -> Vec<Arc<View>> {
        let placement_views = self
            .placement_views
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let between = |v: &&Arc<View>| v.placement > from && v.placement < to;
        placement_views
            .iter()
            .filter(between)
            .map(Arc::clone)
            .collect()
    }

    /// The view in force.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    fn verdicts(&self) -> MutexGuard<'_, VecDeque<(Offset, Verdict)>> {
        self.verdicts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes a newer view with the verdicts that led to it. The log reader and the catch-up from
    /// other hosts may both publish; whichever has replayed less comes too late and is dropped.
    pub fn publish<I>(&self, view: View, verdicts: I)
    where
        I: IntoIterator<Item = (Offset, Verdict)>,
    {
        let mut kept = self.verdicts();
        if view.next < self.view.load().next {
            return;
        }
        kept.extend(verdicts);
        let excess = kept.len().saturating_sub(VERDICTS_MAX);
        kept.drain(..excess);
        let revision = view.revision;
        self.journal.on_publish(revision);
        self.metrics
            .revision
            .set(i64::try_from(revision.0).unwrap_or(i64::MAX));
        self.view.store(Arc::new(view));
        drop(kept);
        self.observe_revision(revision);
        self.changed.notify(usize::MAX);
    }

    /// Records that some host has reached `revision`.
    pub fn observe_revision(&self, revision: Revision) {
        self.highest_revision
            .fetch_max(revision.0, Ordering::SeqCst);
    }

    /// The highest revision that this host has learnt of.
    pub fn highest_known(&self) -> Revision {
        Revision(self.highest_revision.load(Ordering::SeqCst))
    }

    /// Whether the view is at least as new as every revision this host has learnt of.
    pub fn is_up_to_date(&self) -> bool {
        self.view.load().revision.0 >= self.highest_revision.load(Ordering::SeqCst)
    }

    /// Marks whether the log was read to its end at least once.
    pub fn set_caught_up(&self) {
        if !self.caught_up.swap(true, Ordering::SeqCst) {
            self.set_synced();
            self.changed.notify(usize::MAX);
        }
    }

    /// Marks that the view is as new as the log's end or as a majority of the seeds was.
    pub fn set_synced(&self) {
        if !self.synced.swap(true, Ordering::SeqCst) {
            self.changed.notify(usize::MAX);
        }
    }

    /// Whether the view was as new as the log's end or as a majority of the seeds at least once.
    pub fn is_synced(&self) -> bool {
        self.synced.load(Ordering::SeqCst)
    }

    /// Notes how far the log can be read. Returns whether that is new.
    pub fn set_replay_state(&self, replay_state: ReplayState) -> bool {
        let mut state = self
            .replay_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let new = *state != replay_state;
        *state = replay_state;
        drop(state);
        if new {
            self.changed.notify(usize::MAX);
        }
        new
    }

    /// How far the log can be read.
    pub fn replay_state(&self) -> ReplayState {
        let state = self
            .replay_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        state.clone()
    }

    /// Notes that a majority of the seeds answers for this host until `until`.
    pub fn extend_seed_majority(&self, until: Tick) {
        let mut seed_majority_until = self
            .seed_majority_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *seed_majority_until = until.max(*seed_majority_until);
        drop(seed_majority_until);
        self.changed.notify(usize::MAX);
    }

    /// Whether a majority of the seeds has answered recently enough for this host to serve callers
    /// before it has joined.
    pub fn has_seed_majority(&self) -> bool {
        let seed_majority_until = self
            .seed_majority_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.clock.now() < *seed_majority_until
    }

    /// Whether the log was read to its end at least once.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up.load(Ordering::SeqCst)
    }

    /// Starts to refuse new callers and leaves the ready list.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Whether the host is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Whether the host may serve callers: its view is not older than one it has learnt of.
    pub fn can_serve(&self) -> bool {
        let replays = !matches!(
            self.replay_state(),
            ReplayState::RecordsMissing(_) | ReplayState::Stopped(_)
        );
        replays && self.is_synced() && self.is_up_to_date()
    }

    /// Whether the host should get new callers.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && !self.is_draining()
    }

    /// Waits until `done` holds, checking again whenever the view or the host's state changes.
    /// Returns whether it held before `until`.
    pub async fn wait_until<F>(&self, until: Tick, done: F) -> bool
    where
        F: Fn(&Self) -> bool,
    {
        loop {
            let listener = self.changed.listen();
            if done(self) {
                return true;
            }
            let timeout = async {
                self.clock.sleep_until(until).await;
                true
            };
            let changed = async {
                listener.await;
                false
            };
            if changed.or(timeout).await {
                return done(self);
            }
        }
    }

    /// Waits for the next change of the view, at most until `until`.
    pub async fn wait_change(&self, until: Tick) {
        let listener = self.changed.listen();
        listener.or(self.clock.sleep_until(until)).await;
    }

    /// Appends a decision of this host and waits for its verdict.
    ///
    /// # Errors
    ///
    /// Fails if the record is not known to be in the log before `until`.
    pub async fn submit_decision(
        &self,
        base: Revision,
        body: Body,
        until: Tick,
    ) -> Result<Verdict, SubmitError> {
        // One append at a time: a record that lands after its successor would be taken for a
        // duplicate, because replay keeps only the newest sequence of a writer.
        let mut sequence = self.sequence.lock().await;
        *sequence += 1;
        let envelope = Envelope {
            format: body.format(),
            writer: self.writer,
            sequence: *sequence,
            base,
            time: self.clock.unix(),
            body,
        };
        let data = encode(&envelope, &self.signer)?;
        self.submit(data, until).await
    }

    /// Appends a signed record and waits for its verdict. Safe to repeat with the same record.
    ///
    /// # Errors
    ///
    /// Fails if the record is not known to be in the log before `until`.
    pub async fn submit(&self, data: bytes::Bytes, until: Tick) -> Result<Verdict, SubmitError> {
        let signed = SignedRecord::decode(&data)?;
        let envelope = signed.envelope()?;
        let id = (envelope.writer, envelope.sequence);
        let first = |s: &Self| s.view().verdict(id.0, id.1, signed.signed_bytes());
        if let Some(verdict) = first(self) {
            return Ok(verdict);
        }
        let (format, level) = (envelope.format, self.view().format_level());
        if format > level {
            return Err(RecordError::AboveLevel { format, level }.into());
        }
        let from = self.view().next;
        let offset = submit(&*self.log, &*self.clock, data, from, until).await?;
        let found = |s: &Self| s.view.load().next > offset;
        if !self.wait_until(until, found).await {
            let reason = "the record was not read back in time".to_owned();
            return Err(SubmitError::Unknown {
                source: trefoil_log::LogError::Ambiguous { reason },
            });
        }
        let verdicts = self.verdicts();
        let read = verdicts.iter().find(|(o, _)| *o == offset);
        let read = read.map(|(_, v)| v.clone());
        // The offset may be that of a copy that landed late, or the view may have come from a
        // snapshot or another host; the first verdict is in the view then.
        match read.unwrap_or(Verdict::Duplicate) {
            Verdict::Duplicate => Ok(first(self).unwrap_or(Verdict::Duplicate)),
            verdict => Ok(verdict),
        }
    }
}

fn encode(envelope: &Envelope, signer: &Signer) -> Result<bytes::Bytes, RecordError> {
    SignedRecord::new(envelope, signer)?.encode()
}
