//! A log in memory, for a deployment in one process and for stand-ins.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use event_listener::Event;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use trefoil_core::{Clock, Offset};

use crate::log::{Batch, Log, LogError, RECORD_MAX, Stored};

#[derive(Debug, Default)]
struct Records {
    first: u64,
    data: Vec<Bytes>,
}

impl Records {
    fn end(&self) -> Offset {
        Offset(self.first + self.data.len() as u64)
    }

    fn batch(&self, from: Offset, max: usize) -> Result<Batch, LogError> {
        let first = Offset(self.first);
        if from < first {
            return Err(LogError::Truncated { from, first });
        }
        let skip = usize::try_from(from.0 - self.first).unwrap_or(usize::MAX);
        let records: Vec<_> = (from.0..)
            .zip(self.data.iter().skip(skip).take(max))
            .map(|(offset, data)| Stored {
                offset: Offset(offset),
                data: data.clone(),
            })
            .collect();
        let next = records.last().map_or(from, |r| r.offset.next());
        Ok(Batch {
            records,
            next,
            end: self.end(),
        })
    }
}

/// A log in memory with a bounded number of retained records.
#[derive(Debug, Clone)]
pub struct MemoryLog {
    records: Arc<Mutex<Records>>,
    appended: Arc<Event>,
    clock: Arc<dyn Clock>,
    retain: usize,
}

impl MemoryLog {
    /// An empty log that keeps the newest `retain` records.
    pub fn new(clock: Arc<dyn Clock>, retain: usize) -> Self {
        Self {
            records: Arc::default(),
            appended: Arc::default(),
            clock,
            retain,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops all records below `first`, as retention does.
    pub fn truncate(&self, first: Offset) {
        let mut records = self.lock();
        let drop = first.0.min(records.end().0).saturating_sub(records.first);
        records
            .data
            .drain(..usize::try_from(drop).unwrap_or(usize::MAX));
        records.first += drop;
    }

    fn push(&self, data: Bytes) -> Result<Offset, LogError> {
        if data.len() > RECORD_MAX {
            return Err(LogError::TooLarge { size: data.len() });
        }
        let mut records = self.lock();
        let offset = records.end();
        records.data.push(data);
        let first = Offset((offset.0 + 1).saturating_sub(self.retain as u64));
        drop(records);
        self.truncate(first);
        self.appended.notify(usize::MAX);
        Ok(offset)
    }
}

impl Log for MemoryLog {
    fn append(&self, data: Bytes) -> Boxed<Result<Offset, LogError>> {
        let result = self.push(data);
        async move { result }.boxed()
    }

    fn read(&self, from: Offset, max: usize, wait: Duration) -> Boxed<Result<Batch, LogError>> {
        let log = self.clone();
        let until = self.clock.now().after(wait);
        async move {
            loop {
                let listener = log.appended.listen();
                let batch = log.lock().batch(from, max)?;
                if !batch.records.is_empty() || log.clock.now() >= until {
                    return Ok(batch);
                }
                listener.or(log.clock.sleep_until(until)).await;
            }
        }
        .boxed()
    }
}
