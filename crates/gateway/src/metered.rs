//! A store wrapper that counts calls.

use std::sync::Arc;

use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use trefoil_core::{Clock, Tick};
use trefoil_store::{Append, Appended, Batch, Era, Newest, Page, Read, Store, StoreError, Topic};

use crate::metrics::Metrics;

/// Counts and times the calls of a store.
#[derive(Debug)]
pub(crate) struct MeteredStore {
    store: Arc<dyn Store>,
    metrics: Arc<Metrics>,
    clock: Arc<dyn Clock>,
}

/// Labels and start of one call.
struct CallTimer {
    name: &'static str,
    topic: Topic,
    started: Tick,
    metrics: Arc<Metrics>,
    clock: Arc<dyn Clock>,
}

impl CallTimer {
    fn end<T>(self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        let span = self.clock.now().since(self.started);
        let topic = self.topic.as_str();
        self.metrics
            .record_store_call(self.name, topic, result_name(&result), span);
        result
    }
}

impl MeteredStore {
    pub(crate) fn new(store: Arc<dyn Store>, metrics: Arc<Metrics>, clock: Arc<dyn Clock>) -> Self {
        Self {
            store,
            metrics,
            clock,
        }
    }

    fn call(&self, name: &'static str, topic: &Topic) -> CallTimer {
        CallTimer {
            name,
            topic: topic.clone(),
            started: self.clock.now(),
            metrics: Arc::clone(&self.metrics),
            clock: Arc::clone(&self.clock),
        }
    }
}

impl Store for MeteredStore {
    fn append(&self, append: Append) -> Boxed<Result<Appended, StoreError>> {
        // An append without records sets the epoch of a producer.
        let name = if append.records.is_empty() {
            "epoch"
        } else {
            "append"
        };
        let call = self.call(name, &append.partition.topic);
        let appending = self.store.append(append);
        async move { call.end(appending.await) }.boxed()
    }

    fn read(&self, read: Read) -> Boxed<Result<Batch, StoreError>> {
        let call = self.call("read", &read.partition.topic);
        let reading = self.store.read(read);
        async move { call.end(reading.await) }.boxed()
    }

    fn newest(&self, newest: Newest) -> Boxed<Result<Page, StoreError>> {
        let call = self.call("newest", &newest.partition.topic);
        let reading = self.store.newest(newest);
        async move { call.end(reading.await) }.boxed()
    }

    fn era(&self) -> Era {
        self.store.era()
    }
}

/// Name of a result in metrics.
fn result_name<T>(result: &Result<T, StoreError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(StoreError::Unreachable { .. }) => "unreachable",
        Err(StoreError::Refused { .. }) => "refused",
        Err(StoreError::Ambiguous { .. }) => "lost",
        Err(StoreError::Conflict { .. }) => "conflict",
        Err(StoreError::Fenced) => "fenced",
        Err(StoreError::Sequence { .. }) => "sequence",
        Err(StoreError::Truncated { .. }) => "dropped",
        Err(StoreError::Rejected { .. }) => "rejected",
    }
}
