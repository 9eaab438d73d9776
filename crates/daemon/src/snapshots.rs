//! Writing snapshots of the view before the log drops the records that led to it.
//!
//! A snapshot is due after a quarter of the log's retention, or after a number of records, whichever
//! comes first. With a quarter, two complete snapshots are always retained, so one that is damaged
//! or was left half-way does no harm. On a quiet log snapshots are repeated all the same, because
//! the parts of the last one are dropped like any record.
//!
//! Any host may write. Each waits its position in the member list times `STAGGER` and looks again.
//! While another host's parts arrive, it goes on waiting. Two writers at once cost only space: the
//! parts carry their writer, and each snapshot is complete or unused on its own.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use trefoil_core::{Clock, Offset, Revision, Tick};
use trefoil_log::snapshot::{SnapshotProgress, split_view};
use trefoil_log::{Body, Verdict, View};

use crate::shared::Shared;

/// Wait for each position in the member list before a host writes.
const STAGGER: Duration = Duration::from_millis(500);

/// Longest time between two looks at the view.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time in which a part must be read back.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without a new part after which another host's snapshot counts as left half-way. It is above
/// the time in which a part must be read back.
const WRITER_TIMEOUT: Duration = Duration::from_secs(6);

/// When a snapshot is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Records after the last snapshot.
    pub records: u64,
    /// Time after the last snapshot: a quarter of the log's retention.
    pub interval: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            records: 10_000,
            interval: Duration::from_hours(6),
        }
    }
}

/// When this host last saw the snapshots in the log make progress.
#[derive(Debug)]
pub struct SnapshotMonitor {
    policy: Policy,
    last_progress: SnapshotProgress,
    changed_at: Tick,
}

impl SnapshotMonitor {
    /// A watch that has seen nothing at `now`.
    pub fn new(policy: Policy, now: Tick) -> Self {
        Self {
            policy,
            last_progress: SnapshotProgress::default(),
            changed_at: now,
        }
    }

    /// Whether the view needs a new snapshot and nobody is writing one.
    pub fn is_due(&mut self, view: &View, clock: &dyn Clock) -> bool {
        let now = clock.now();
        if self.last_progress != view.snapshot_progress {
            self.last_progress.clone_from(&view.snapshot_progress);
            self.changed_at = now;
        }
        let quiet = now.since(self.changed_at);
        if view.next == Offset(0) || (self.last_progress.has_incomplete() && quiet < WRITER_TIMEOUT)
        {
            return false;
        }
        let records = view.next.0.saturating_sub(self.last_progress.end_offset.0);
        // The writer's clock may be wrong, so this host's own wait counts as well. It alone would
        // not do: it starts anew with each process.
        let age = Duration::from_millis(clock.unix().0.saturating_sub(self.last_progress.time.0));
        records >= self.policy.records || age.max(quiet) >= self.policy.interval
    }
}

/// Writes snapshots when they are due, for as long as the process runs.
pub async fn run(shared: Arc<Shared>, policy: Policy) {
    let mut monitor = SnapshotMonitor::new(policy, shared.clock.now());
    loop {
        shared
            .wait_change(shared.clock.now().after(CHECK_INTERVAL))
            .await;
        let view = shared.view();
        if !shared.is_ready() || !monitor.is_due(&view, &*shared.clock) {
            continue;
        }
        let position = view.hosts.keys().position(|h| *h == shared.host.id);
        let Some(position) = position else { continue };
        let wait = STAGGER * u32::try_from(position).unwrap_or(u32::MAX);
        shared.clock.sleep(wait).await;
        let view = shared.view();
        if monitor.is_due(&view, &*shared.clock) {
            write_snapshot(&shared, &view).await;
        }
    }
}

/// Writes one snapshot. It is given up at the first part that is not known to be in the log; the
/// parts so far are used by nobody, and the next snapshot starts from its first part.
async fn write_snapshot(shared: &Shared, view: &View) {
    let parts = match split_view(view) {
        Ok(parts) => parts,
        Err(e) => {
            warn!(shared.logger, "snapshot not split"; "error" => %e);
            return;
        }
    };
    let count = parts.len();
    for part in parts {
        let index = part.index;
        let until = shared.clock.now().after(SUBMIT_TIMEOUT);
        match shared
            .submit_decision(Revision(0), Body::Snapshot(part), until)
            .await
        {
            Ok(Verdict::Noted) => {}
            Ok(verdict) => {
                warn!(shared.logger, "snapshot given up"; "part" => index, "verdict" => ?verdict);
                return;
            }
            Err(e) => {
                warn!(shared.logger, "snapshot given up"; "part" => index, "error" => %e);
                return;
            }
        }
    }
    info!(shared.logger, "snapshot written"; "revision" => %view.revision, "parts" => count);
}
