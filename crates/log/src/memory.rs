//! In-memory log for tests and development mode.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future::Boxed;
use trefoil_core::{Clock, Offset};
use trefoil_store::MemoryStore;

use crate::log::{Batch, Log, LogError};
use crate::topic::{PARTITION, TopicLog};

/// An in-memory log with a bounded number of retained records. Clones share their content.
#[derive(Debug, Clone)]
pub struct MemoryLog {
    store: MemoryStore,
    log: TopicLog,
}

impl MemoryLog {
    /// Creates an empty log that retains the newest `retain` records.
    pub fn new(clock: Arc<dyn Clock>, retain: usize) -> Self {
        let store = MemoryStore::new(clock).retaining(retain);
        let log = TopicLog::new(Arc::new(store.clone()));
        Self { store, log }
    }

    /// The store that holds the records.
    pub fn store(&self) -> &MemoryStore {
        &self.store
    }

    /// Drops all records below offset `first`, like retention.
    pub fn truncate(&self, first: Offset) {
        self.store.trim(&PARTITION, first);
    }
}

impl Log for MemoryLog {
    fn append(&self, data: Bytes) -> Boxed<Result<Offset, LogError>> {
        self.log.append(data)
    }

    fn read(&self, from: Offset, max: usize, wait: Duration) -> Boxed<Result<Batch, LogError>> {
        self.log.read(from, max, wait)
    }
}
