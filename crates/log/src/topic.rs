//! Log implementation on a topic of the platform's store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use snafu::ensure;
use trefoil_core::Offset;
use trefoil_store::{Append, PartitionId, Read, Store, StoreError, Topic};

use crate::log::{Batch, Log, LogError, RECORD_MAX, StoredRecord, TooLargeSnafu};

/// The partition that holds the records.
pub(crate) const PARTITION: PartitionId = PartitionId::first(Topic::fixed("trefoil"));

/// A log stored in one partition of a topic.
#[derive(Debug, Clone)]
pub struct TopicLog {
    store: Arc<dyn Store>,
    partition: PartitionId,
}

impl TopicLog {
    /// The log of a deployment in `store`.
    pub fn new(store: Arc<dyn Store>) -> Self {
        let partition = PARTITION;
        Self { store, partition }
    }

    async fn append_record(self, data: Bytes) -> Result<Offset, LogError> {
        let size = data.len();
        ensure!(size <= RECORD_MAX, TooLargeSnafu { size });
        let appended = self.store.append(Append::new(self.partition, data)).await;
        appended
            .map(|a| a.offset)
            .map_err(|e| to_log_error(&e, Offset(0)))
    }

    async fn read_batch(self, from: Offset, max: usize, wait: Duration) -> Result<Batch, LogError> {
        let partition = self.partition;
        let batch = self
            .store
            .read(Read {
                partition,
                from,
                wait,
            })
            .await;
        let batch = batch.map_err(|e| to_log_error(&e, from))?;
        let records = (from.0..).zip(batch.records).take(max);
        let records: Vec<StoredRecord> = records
            .map(|(offset, data)| StoredRecord {
                offset: Offset(offset),
                data,
            })
            .collect();
        let next = records.last().map_or(from, |r| r.offset.next());
        let end = batch.end;
        Ok(Batch { records, next, end })
    }
}

impl Log for TopicLog {
    fn append(&self, data: Bytes) -> Boxed<Result<Offset, LogError>> {
        self.clone().append_record(data).boxed()
    }

    fn read(&self, from: Offset, max: usize, wait: Duration) -> Boxed<Result<Batch, LogError>> {
        self.clone().read_batch(from, max, wait).boxed()
    }
}

fn to_log_error(error: &StoreError, from: Offset) -> LogError {
    let reason = error.to_string();
    match error {
        StoreError::Truncated { first } => LogError::Truncated {
            from,
            first: *first,
        },
        StoreError::Ambiguous { .. } => LogError::Ambiguous { reason },
        _ => LogError::Unavailable { reason },
    }
}
