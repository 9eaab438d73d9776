//! Interface to the platform's log service.

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future::Boxed;
use snafu::Snafu;
use trefoil_core::Offset;

/// Largest record in bytes.
pub const RECORD_MAX: usize = 256 * 1024;

/// A failed call of the log.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum LogError {
    /// The log rejected the call, which had no effect.
    #[snafu(display("the log is unavailable: {reason}"))]
    Unavailable {
        /// Error reported by the log or the connection.
        reason: String,
    },
    /// The answer was lost, so the append may or may not have taken effect.
    #[snafu(display("the log's answer was lost: {reason}"))]
    Ambiguous {
        /// Error reported by the connection.
        reason: String,
    },
    /// The offset is below that of the oldest retained record.
    #[snafu(display("the log no longer keeps offset {from}, its oldest is {first}"))]
    Truncated {
        /// The requested offset.
        from: Offset,
        /// The oldest retained offset.
        first: Offset,
    },
    /// The record is larger than [`RECORD_MAX`].
    #[snafu(display("the record has {size} bytes, at most {RECORD_MAX} are allowed"))]
    TooLarge {
        /// Size in bytes.
        size: usize,
    },
}

/// A stored record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// Position in the log.
    pub offset: Offset,
    /// The bytes as appended.
    pub data: Bytes,
}

/// Result of a read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// Records in the order of their offsets.
    pub records: Vec<StoredRecord>,
    /// Offset at which the next read continues.
    pub next: Offset,
    /// Offset after the newest record at the time of the read.
    pub end: Offset,
}

/// An append-only log with offsets.
pub trait Log: Debug + Send + Sync {
    /// Appends a record and returns its offset.
    fn append(&self, data: Bytes) -> Boxed<Result<Offset, LogError>>;

    /// Reads up to `max` records, starting at `from`. Waits up to `wait` for the first of them.
    fn read(&self, from: Offset, max: usize, wait: Duration) -> Boxed<Result<Batch, LogError>>;
}
