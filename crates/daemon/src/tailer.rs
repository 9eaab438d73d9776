//! Reads the log and publishes the replayed view.

use std::sync::Arc;
use std::time::Duration;

use slog::{error, info, warn};
use snafu::Snafu;
use trefoil_log::view::ReplayError;
use trefoil_log::{Batch, Keyring, LogError, Verdict, View};

use crate::shared::Shared;

/// Records read in one call.
const READ_MAX: usize = 512;

/// Time that the log may hold a read for new records.
const READ_WAIT: Duration = Duration::from_secs(1);

/// Wait after a failed read.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// Why the reader cannot go on.
#[derive(Debug, Snafu)]
pub enum TailError {
    /// A record cannot be replayed by this version.
    #[snafu(display("{source}"), context(false))]
    Replay {
        /// The error of the replay.
        source: ReplayError,
    },
    /// The log no longer keeps a record that was not read yet.
    #[snafu(display("{source}"))]
    Truncated {
        /// The error of the log.
        source: LogError,
    },
}

/// Reads the log for ever.
///
/// # Errors
///
/// Ends only if the view cannot be continued. The view stays as it is then, because a record that
/// is passed over would make it differ from the views of other hosts.
pub async fn run(shared: Arc<Shared>, keys: Keyring) -> TailError {
    loop {
        let next = shared.view().next;
        match shared.log.read(next, READ_MAX, READ_WAIT).await {
            Ok(batch) => {
                if let Err(e) = replay(&shared, &keys, &batch) {
                    error!(shared.logger, "replay stopped"; "error" => %e);
                    return e;
                }
                if batch.next >= batch.end {
                    shared.set_caught_up();
                }
            }
            Err(source @ LogError::Truncated { .. }) => {
                error!(shared.logger, "replay stopped"; "error" => %source);
                return TailError::Truncated { source };
            }
            Err(e) => {
                warn!(shared.logger, "log read failed"; "from" => %next, "error" => %e);
                shared.clock.sleep(RETRY_WAIT).await;
            }
        }
    }
}

fn replay(shared: &Shared, keys: &Keyring, batch: &Batch) -> Result<(), TailError> {
    if batch.records.is_empty() {
        return Ok(());
    }
    let mut view = View::clone(&shared.view());
    let mut verdicts = Vec::with_capacity(batch.records.len());
    for record in &batch.records {
        let (tables, placement) = (view.tables.clone(), view.placement);
        let verdict = view.apply(record.offset, &record.data, keys)?;
        if view.placement != placement {
            shared.placed(&view);
            let reports = &shared.reports;
            reports.placed(&tables, &view, &record.data, shared.window);
        }
        match &verdict {
            Verdict::Accepted { revision } => {
                info!(shared.logger, "record accepted"; "offset" => %record.offset, "revision" => %revision);
            }
            other => {
                info!(shared.logger, "record not accepted"; "offset" => %record.offset, "verdict" => ?other);
            }
        }
        verdicts.push((record.offset, verdict));
    }
    shared.publish(view, verdicts);
    Ok(())
}
