//! Periodic snapshots of the view, written before the log drops the records that led to it.
//!
//! A snapshot is due after a quarter of the log's retention, or after a number of records,
//! whichever comes first. With a quarter, two complete snapshots are always retained, so that one
//! damaged or incomplete snapshot is tolerated. Snapshots are also written on a log without new
//! decisions, because the parts of the last one are dropped by retention like any record.
//!
//! Any host may write a snapshot. A host first waits for `STAGGER` times its position in the member
//! list and then checks again if one is due, which is not the case while another host appends
//! parts. Two concurrent writers cost only space: each part carries its writer, and the snapshot of
//! each writer is complete or ignored independently of the other.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use trefoil_core::{Clock, Offset, Revision, Tick};
use trefoil_log::snapshot::{SnapshotProgress, split_view};
use trefoil_log::{Body, Verdict, View};

use crate::shared::Shared;

/// Delay per position in the member list before a host writes a snapshot.
const STAGGER: Duration = Duration::from_millis(500);

/// Maximum time between two checks of the view.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout for a part to be replayed after its append.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without a new part after which another host's snapshot is considered abandoned. It is above
/// the timeout of a part.
const WRITER_TIMEOUT: Duration = Duration::from_secs(6);

/// When a snapshot is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Number of records after the last snapshot.
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

/// Determines when a snapshot is due, from the progress of snapshots that this host has seen.
#[derive(Debug)]
pub struct SnapshotMonitor {
    policy: Policy,
    last_progress: SnapshotProgress,
    changed_at: Tick,
}

impl SnapshotMonitor {
    /// Creates a monitor that has seen no progress at `now`.
    pub fn new(policy: Policy, now: Tick) -> Self {
        Self {
            policy,
            last_progress: SnapshotProgress::default(),
            changed_at: now,
        }
    }

    /// Returns true if a snapshot of the view is due and no other host is writing one.
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
        // The writer's clock may be wrong, so the time without progress on this host's clock counts
        // as well. It would not suffice alone, because it restarts with each process.
        let age = Duration::from_millis(clock.unix().0.saturating_sub(self.last_progress.time.0));
        records >= self.policy.records || age.max(quiet) >= self.policy.interval
    }
}

/// Writes snapshots when they are due, until the process ends.
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

/// Writes one snapshot. It is abandoned at the first part that is not known to be in the log. The
/// parts before it are ignored, and the next snapshot starts from its first part.
async fn write_snapshot(shared: &Shared, view: &View) {
    let parts = match split_view(view) {
        Ok(parts) => parts,
        Err(e) => {
            warn!(shared.logger, "snapshot not encoded"; "error" => %e);
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
                warn!(shared.logger, "snapshot abandoned"; "part" => index, "verdict" => ?verdict);
                return;
            }
            Err(e) => {
                warn!(shared.logger, "snapshot abandoned"; "part" => index, "error" => %e);
                return;
            }
        }
    }
    info!(shared.logger, "snapshot written"; "revision" => %view.revision, "parts" => count);
}
