//! Tails the log, replays its records and publishes the resulting view.
//!
//! While the log is unavailable the tailer retries, and the host serves with its current view. If
//! the next record is no longer retained, the tailer loads the newest usable snapshot. Without one
//! the host is not ready until a snapshot is in the log or [another host](crate::catchup) provides
//! a newer view. A record that this build cannot replay stops replay permanently and the host
//! drains, because a view without the record would diverge from the views of other hosts.

use std::sync::Arc;
use std::time::Duration;

use slog::{error, info, warn};
use trefoil_core::Offset;
use trefoil_log::view::ReplayError;
use trefoil_log::{Batch, Keyring, LogError, Verdict, View, recover};

use crate::shared::{ReplayState, Shared};

/// Number of records per read.
const READ_BATCH: usize = 512;

/// Maximum time for which the log may delay a read until new records arrive.
const READ_WAIT: Duration = Duration::from_secs(1);

/// Delay after a failed read.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// Delay after a search without a usable snapshot. A search reads the whole retained log. It is
/// also the delay after replay has stopped.
const SNAPSHOT_RETRY_WAIT: Duration = Duration::from_secs(1);

/// Tails the log until the process ends.
pub async fn run(shared: Arc<Shared>, keys: Keyring) {
    loop {
        let wait = read_batch(&shared, &keys).await;
        if !wait.is_zero() {
            shared.clock.sleep(wait).await;
        }
    }
}

/// Reads and replays one batch. Returns the delay before the next read.
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

/// Loads the newest usable snapshot after the record at `next` was dropped; the oldest retained
/// record is at `first`. Returns the delay before the next read.
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
        // Retention dropped records during the search.
        Err(LogError::Truncated { .. }) => RETRY_WAIT,
        Err(e) => {
            update_replay_state(shared, ReplayState::LogUnavailable(e.to_string()));
            RETRY_WAIT
        }
    }
}

/// Sets the replay state and logs it if it changed.
fn update_replay_state(shared: &Shared, replay_state: ReplayState) {
    if !shared.set_replay_state(replay_state.clone()) {
        return;
    }
    match replay_state {
        ReplayState::Starting | ReplayState::Current => info!(shared.logger, "reading the log"),
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
    // The records before one that cannot be replayed are in force.
    shared.publish(view, verdicts);
    result
}
