//! Appends with an unambiguous result.
//!
//! The log's answer to an append can be lost. The writer then searches the log for its record
//! before it retries, and replay drops the second of two copies.

use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;
use trefoil_core::{Clock, Offset, Tick, WriterId};

use crate::log::{Log, LogError};
use crate::record::{RecordError, SignedRecord};

/// Number of records per read when the log is searched after a lost answer.
const READ_BATCH: usize = 256;

/// Delay before a failed append is retried.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// A record was not found in the log before the deadline.
#[derive(Debug, Snafu)]
pub enum SubmitError {
    /// The record is not in the log, and no outstanding call can still append it.
    #[snafu(display("the record was not appended: {source}"))]
    NotAppended {
        /// The last error of the log.
        source: LogError,
    },
    /// The record may have been appended, or may still be.
    #[snafu(display("the record may have been appended: {source}"))]
    Unknown {
        /// The last error of the log.
        source: LogError,
    },
    /// The record does not decode.
    #[snafu(display("{source}"), context(false))]
    BadRecord {
        /// The decoder's error.
        source: RecordError,
    },
}

enum Search {
    Found(Offset),
    Absent,
}

/// Appends a signed record and returns the offset of its first copy. After a lost answer, searches
/// the log from `from` on, which must not be above the log's end at the time of the call. Calling
/// it again with the same record is safe.
///
/// # Errors
///
/// Fails if the record was not found in the log before `until`. The error distinguishes a
/// record that is certainly absent from one that may have been appended.
pub async fn submit(
    log: &dyn Log,
    clock: &dyn Clock,
    data: Bytes,
    from: Offset,
    until: Tick,
) -> Result<Offset, SubmitError> {
    let envelope = SignedRecord::decode(&data)?.envelope()?;
    let id = (envelope.writer, envelope.sequence);
    // A call whose answer was lost may still take effect, so no later failure may be reported as
    // "not appended".
    let mut ambiguous = false;
    loop {
        let error = match log.append(data.clone()).await {
            Ok(offset) if !ambiguous => return Ok(offset),
            Ok(offset) => return Ok(find_first_copy(log, id, from).await.unwrap_or(offset)),
            Err(e @ LogError::TooLarge { .. }) => {
                return Err(SubmitError::NotAppended { source: e });
            }
            Err(e) => e,
        };
        ambiguous |= matches!(error, LogError::Ambiguous { .. });
        if ambiguous && let Some(offset) = find_first_copy(log, id, from).await {
            return Ok(offset);
        }
        match clock.now() >= until {
            true if ambiguous => return Err(SubmitError::Unknown { source: error }),
            true => return Err(SubmitError::NotAppended { source: error }),
            false => clock.sleep(RETRY_WAIT).await,
        }
    }
}

async fn find_first_copy(log: &dyn Log, id: (WriterId, u64), from: Offset) -> Option<Offset> {
    match find_record(log, id, from).await {
        Ok(Search::Found(offset)) => Some(offset),
        Ok(Search::Absent) | Err(_) => None,
    }
}

async fn find_record(
    log: &dyn Log,
    id: (WriterId, u64),
    mut from: Offset,
) -> Result<Search, LogError> {
    loop {
        let batch = log.read(from, READ_BATCH, Duration::ZERO).await?;
        let matches = |data: &[u8]| {
            let envelope = SignedRecord::decode(data).and_then(|s| s.envelope());
            envelope.is_ok_and(|e| (e.writer, e.sequence) == id)
        };
        if let Some(found) = batch.records.iter().find(|r| matches(&r.data)) {
            return Ok(Search::Found(found.offset));
        }
        if batch.next >= batch.end {
            return Ok(Search::Absent);
        }
        from = batch.next;
    }
}
