//! Reads the log and publishes the replayed view.
//!
//! The reader never ends. While the log is unavailable it keeps trying, and the host serves what it
//! has. If the log no longer keeps the next record, it loads the newest usable snapshot; without
//! one the host is not ready until the log or [another host](crate::catchup) has something usable.
//! A record that this build cannot replay stops it for good: the host drains, because a view that
//! left the record out would differ from the views of other hosts.

use std::sync::Arc;
use std::time::Duration;

use slog::{error, info, warn};
use trefoil_core::Offset;
use trefoil_log::view::ReplayError;
use trefoil_log::{Batch, Keyring, LogError, Verdict, View, recover};

use crate::shared::{ReplayState, Shared};

/// Records read in one call.
const READ_BATCH: usize = 512;

/// Time that the log may hold a read for new records.
const READ_WAIT: Duration = Duration::from_secs(1);

/// Wait after a failed read.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// Wait before the next search for a snapshot, which reads the whole log.
const SNAPSHOT_RETRY_WAIT: Duration = Duration::from_secs(1);

/// Reads the log for ever.
pub async fn run(shared: Arc<Shared>, keys: Keyring) {
    loop {
        let wait = read_batch(&shared, &keys).await;
        if !wait.is_zero() {
            shared.clock.sleep(wait).await;
        }
    }
}

/// Reads once and returns the wait before the next read.
async fn read_batch(shared: &Shared, keys: &Keyring) -> Duration {
    let next = shared.view().next;
    match shared.log.read(next, READ_BATCH, READ_WAIT).await {
        Ok(batch) => match replay_batch(shared, keys, &batch) {
            Ok(()) => {
                update_replay_state(shared, ReplayState::Current);
                if batch.next >= batch.end {
                    shared.set_caught_up();
                }
                Duration::ZERO
            }
            Err(e) => {
                update_replay_state(shared, ReplayState::Stopped(e.to_string()));
                shared.start_drain();
                SNAPSHOT_RETRY_WAIT
            }
        },
        Err(LogError::Truncated { first, .. }) => {
            recover_from_snapshot(shared, keys, next, first).await
        }
        Err(e) => {
            update_replay_state(shared, ReplayState::LogUnavailable(e.to_string()));
            RETRY_WAIT
        }
    }
}

/// Loads the newest snapshot, because the log keeps records only from `first` on.
async fn recover_from_snapshot(
    shared: &Shared,
    keys: &Keyring,
    next: Offset,
    first: Offset,
) -> Duration {
    match recover::load_snapshot(&*shared.log, keys, first).await {
        Ok(Some(view)) => {
            info!(shared.logger, "snapshot loaded"; "missing" => %next, "revision" => %view.revision,
                "next" => %view.next);
            shared.publish(view, []);
            Duration::ZERO
        }
        Ok(None) => {
            let reason = format!(
                "the log no longer keeps offset {next}, its oldest is {first}, \
                 and it has no usable snapshot"
            );
            update_replay_state(shared, ReplayState::RecordsMissing(reason));
            SNAPSHOT_RETRY_WAIT
        }
        // Retention has overtaken the search, or the log has become unavailable.
        Err(LogError::Truncated { .. }) => RETRY_WAIT,
        Err(e) => {
            update_replay_state(shared, ReplayState::LogUnavailable(e.to_string()));
            RETRY_WAIT
        }
    }
}

/// Notes the state of the reader and logs each change of it once.
fn update_replay_state(shared: &Shared, replay_state: ReplayState) {
    if !shared.set_replay_state(replay_state.clone()) {
        return;
    }
    match replay_state {
        ReplayState::Starting | ReplayState::Current => info!(shared.logger, "log read"),
        ReplayState::LogUnavailable(e) => warn!(shared.logger, "log read failed"; "error" => e),
        ReplayState::RecordsMissing(e) | ReplayState::Stopped(e) => {
            error!(shared.logger, "replay stopped"; "error" => e);
        }
    }
}

fn replay_batch(shared: &Shared, keys: &Keyring, batch: &Batch) -> Result<(), ReplayError> {
    if batch.records.is_empty() {
        return Ok(());
    }
    let mut view = View::clone(&shared.view());
    let mut verdicts = Vec::with_capacity(batch.records.len());
    let mut result = Ok(());
    for record in &batch.records {
        let (tables, placement) = (view.tables.clone(), view.placement);
        let verdict = match view.apply(record.offset, &record.data, keys) {
            Ok(verdict) => verdict,
            Err(e) => {
                result = Err(e);
                break;
            }
        };
        if view.placement != placement {
            shared.keep_placement_view(&view);
            let reports = &shared.reports;
            reports.record_placement(&tables, &view, &record.data, shared.window);
        }
        match &verdict {
            Verdict::Accepted { revision } => {
                shared.journal.record(*revision, &view);
                info!(shared.logger, "record accepted"; "offset" => %record.offset, "revision" => %revision);
            }
            other => {
                info!(shared.logger, "record not accepted"; "offset" => %record.offset, "verdict" => ?other);
            }
        }
        verdicts.push((record.offset, verdict));
    }
    // What comes before a record that cannot be replayed is in force all the same.
    shared.publish(view, verdicts);
    result
}
