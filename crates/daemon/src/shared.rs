//! State shared by all tasks of the process.

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

/// Number of verdicts kept for tasks that wait for the verdict on their record.
const VERDICTS_MAX: usize = 4096;

/// Number of views after placement records that are kept for the dispatchers. Dispatchers process a
/// view within 500 ms, in which few placement records are replayed except after an outage of the
/// log.
const PLACEMENT_VIEWS_MAX: usize = 64;

/// State of log replay.
#[derive(Debug, Clone, Default, PartialEq, Eq, derive_more::Display)]
pub enum ReplayState {
    /// The log has not been read yet.
    #[default]
    #[display("starting")]
    Starting,
    /// Reads of the log succeed.
    #[display("read")]
    Current,
    /// The log cannot be read at present. The host serves with its current view.
    #[display("unavailable: {_0}")]
    LogUnavailable(String),
    /// Records were dropped before this host read them, so it is not ready.
    #[display("records are missing: {_0}")]
    RecordsMissing(String),
    /// This build cannot replay a record, so the host drains.
    #[display("stopped: {_0}")]
    Stopped(String),
}

/// State shared by all tasks of the process.
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
    /// The load of the last measured window.
    pub measured: MeasuredLoads,
    /// Data of the placement report.
    pub reports: Reports,
    /// Length of a window of load measurement.
    pub window: Duration,
    /// Views that are split for other hosts.
    pub split_views: SplitViews,
    /// Source of trace spans. Disabled unless the node sets it.
    pub tracing: Tracing,
    /// Recent accepted changes of resources.
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
    /// Creates the shared state with an empty view.
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

    /// Sets the length of a window of load measurement. It must be equal on all hosts of a
    /// deployment.
    #[must_use]
    pub fn window(mut self, length: Duration) -> Self {
        self.window = length;
        self
    }

    /// Keeps the view after a placement record. Must be called before the view is published.
    pub fn keep_placement_view(&self, view: &View) {
        let mut placement_views = self
            .placement_views
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        placement_views.push_back(Arc::new(view.clone()));
        let excess = placement_views.len().saturating_sub(PLACEMENT_VIEWS_MAX);
        placement_views.drain(..excess);
    }

    /// Returns the kept views whose placement revision is above `from` and below `to`, in order.
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

    /// Returns the view in force.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    fn verdicts(&self) -> MutexGuard<'_, VecDeque<(Offset, Verdict)>> {
        self.verdicts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes a view with the verdicts that led to it. The tailer and the catch-up from other
    /// hosts publish independently, so a view that is older than the published one is ignored.
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

    /// Records that some host has reached `revision`, which raises the highest known revision.
    pub fn observe_revision(&self, revision: Revision) {
        self.highest_revision
            .fetch_max(revision.0, Ordering::SeqCst);
    }

    /// Returns the highest revision that this host knows.
    pub fn highest_known(&self) -> Revision {
        Revision(self.highest_revision.load(Ordering::SeqCst))
    }

    /// Returns true if the view has reached the highest known revision.
    pub fn is_up_to_date(&self) -> bool {
        self.view.load().revision.0 >= self.highest_revision.load(Ordering::SeqCst)
    }

    /// Records that the log has been read to its end.
    pub fn set_caught_up(&self) {
        if !self.caught_up.swap(true, Ordering::SeqCst) {
            self.set_synced();
            self.changed.notify(usize::MAX);
        }
    }

    /// Records that the view has reached the end of the log or the views of a majority of the
    /// seeds.
    pub fn set_synced(&self) {
        if !self.synced.swap(true, Ordering::SeqCst) {
            self.changed.notify(usize::MAX);
        }
    }

    /// Returns true if the view has once reached the end of the log or the views of a majority of
    /// the seeds.
    pub fn is_synced(&self) -> bool {
        self.synced.load(Ordering::SeqCst)
    }

    /// Sets the state of log replay. Returns true if it changed.
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

    /// Returns the state of log replay.
    pub fn replay_state(&self) -> ReplayState {
        let state = self
            .replay_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        state.clone()
    }

    /// Records that the replies of a majority of the seeds are valid until `until`.
    pub fn extend_seed_majority(&self, until: Tick) {
        let mut seed_majority_until = self
            .seed_majority_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *seed_majority_until = until.max(*seed_majority_until);
        drop(seed_majority_until);
        self.changed.notify(usize::MAX);
    }

    /// Returns true if the replies of a majority of the seeds are valid, so that this host may
    /// serve callers before it has joined.
    pub fn has_seed_majority(&self) -> bool {
        let seed_majority_until = self
            .seed_majority_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.clock.now() < *seed_majority_until
    }

    /// Returns true if the log has once been read to its end.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up.load(Ordering::SeqCst)
    }

    /// Starts draining: the host is no longer ready for new callers.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Returns true if the host is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Returns true if the view is current enough to serve callers: no record is missing, and the
    /// view has reached the highest known revision.
    pub fn can_serve(&self) -> bool {
        let replays = !matches!(
            self.replay_state(),
            ReplayState::RecordsMissing(_) | ReplayState::Stopped(_)
        );
        replays && self.is_synced() && self.is_up_to_date()
    }

    /// Returns true if the host accepts new callers.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && !self.is_draining()
    }

    /// Waits until `done` returns true, checking it whenever the view or the host's state changes.
    /// Returns false if it does not before `until`.
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

    /// Waits for the next change of the view or the host's state, at most until `until`.
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
        // One append at a time: replay keeps only the newest sequence number of a writer, so a
        // record that is appended after its successor would be dropped as a duplicate.
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

    /// Appends a signed record and waits for its verdict. Calling it again with the same record is
    /// safe.
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
        // If the offset is that of a second copy, or the view came from a snapshot or another host,
        // the first verdict is in the view.
        match read.unwrap_or(Verdict::Duplicate) {
            Verdict::Duplicate => Ok(first(self).unwrap_or(Verdict::Duplicate)),
            verdict => Ok(verdict),
        }
    }
}

fn encode(envelope: &Envelope, signer: &Signer) -> Result<bytes::Bytes, RecordError> {
    SignedRecord::new(envelope, signer)?.encode()
}
