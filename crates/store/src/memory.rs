//! An in-memory store.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use event_listener::Event;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use trefoil_core::{Clock, Offset};

use crate::{
    Append, Appended, Batch, Epoch, Era, Item, KeyedRecord, Newest, Page, PartitionId, Producer,
    Read, Store, StoreError,
};

/// Name prefix of topics that keep the newest record of each key.
const KEYED: &str = "keyed.";

/// Maximum number of keys in a page of [`Store::newest`].
const PAGE_MAX: usize = 500;

/// Recent appends per producer whose results are kept for deduplication.
const DEDUPLICATED: usize = 5;

#[derive(Debug, Clone, Default)]
struct Writer {
    epoch: Epoch,
    next: Option<u64>,
    recent: VecDeque<(u64, Appended)>,
}

#[derive(Debug, Clone, Default)]
struct Partition {
    first: u64,
    records: VecDeque<Bytes>,
    newest: BTreeMap<String, (Bytes, Offset)>,
    writers: HashMap<String, Writer>,
}

impl Partition {
    fn end(&self) -> Offset {
        Offset(self.first + u64::try_from(self.records.len()).unwrap_or(u64::MAX))
    }

    fn append(&mut self, era: Era, append: Append) -> Result<Appended, StoreError> {
        if let Some(producer) = &append.producer
            && let Some(appended) = self.admit(producer, append.records.is_empty())?
        {
            return Ok(Appended { era, ..appended });
        }
        let end = self.end();
        if append.at.is_some_and(|at| at != end) {
            return Err(StoreError::Conflict { end });
        }
        let keyed = append.partition.topic.as_str().starts_with(KEYED);
        let appended = Appended {
            offset: end,
            end: Offset(end.0 + u64::try_from(append.records.len()).unwrap_or_default()),
            era,
        };
        if let Some(producer) = &append.producer {
            self.remember(producer, append.records.is_empty(), appended);
        }
        for record in append.records {
            if keyed {
                self.compact(record.clone());
            }
            self.records.push_back(record);
        }
        Ok(appended)
    }

    fn compact(&mut self, record: Bytes) {
        let offset = self.end();
        match KeyedRecord::decode(record) {
            Some(KeyedRecord {
                key,
                value: Some(value),
            }) => {
                self.newest.insert(key, (value, offset));
            }
            Some(KeyedRecord { key, value: None }) => {
                self.newest.remove(&key);
            }
            None => {}
        }
    }

    /// Checks epoch and sequence number, and returns the first result of a duplicate append.
    fn admit(&self, producer: &Producer, empty: bool) -> Result<Option<Appended>, StoreError> {
        let Some(writer) = self.writers.get(&producer.name) else {
            return Ok(None);
        };
        if producer.epoch < writer.epoch {
            return Err(StoreError::Fenced);
        }
        if producer.epoch > writer.epoch || empty {
            return Ok(None);
        }
        let duplicate = writer.recent.iter().find(|(n, _)| *n == producer.sequence);
        match (duplicate, writer.next) {
            (Some((_, appended)), _) => Ok(Some(*appended)),
            (None, Some(next)) if next != producer.sequence => Err(StoreError::Sequence {
                expected: Some(next),
            }),
            _ => Ok(None),
        }
    }

    fn remember(&mut self, producer: &Producer, empty: bool, appended: Appended) {
        let writer = self.writers.entry(producer.name.clone()).or_default();
        if producer.epoch > writer.epoch {
            *writer = Writer {
                epoch: producer.epoch,
                ..Writer::default()
            };
        }
        if empty {
            return;
        }
        writer.next = Some(producer.sequence + 1);
        writer.recent.push_back((producer.sequence, appended));
        if writer.recent.len() > DEDUPLICATED {
            writer.recent.pop_front();
        }
    }

    fn read(&self, era: Era, from: Offset) -> Result<Batch, StoreError> {
        let end = self.end();
        let first = Offset(self.first);
        let skip = from.0.checked_sub(first.0).filter(|_| from <= end);
        let skip = skip.ok_or(StoreError::Truncated { first })?;
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let records: Vec<_> = self.records.iter().skip(skip).cloned().collect();
        Ok(Batch {
            next: end,
            end,
            records,
            era,
        })
    }

    fn page(&self, era: Era, after: Option<&str>) -> Page {
        let rest = self
            .newest
            .iter()
            .filter(|(key, _)| after.is_none_or(|a| key.as_str() > a));
        let mut items: Vec<_> = rest
            .take(PAGE_MAX + 1)
            .map(|(key, (value, offset))| Item {
                key: key.clone(),
                value: value.clone(),
                offset: *offset,
            })
            .collect();
        let more = items.len() > PAGE_MAX;
        items.truncate(PAGE_MAX);
        Page {
            items,
            more,
            end: self.end(),
            era,
        }
    }

    /// Records after `end` that are still retained.
    fn records_after(&self, end: Offset) -> Vec<Bytes> {
        let skip = usize::try_from(end.0.saturating_sub(self.first)).unwrap_or(usize::MAX);
        self.records.iter().skip(skip).cloned().collect()
    }
}

type Partitions = HashMap<PartitionId, Partition>;

#[derive(Debug, Default)]
struct Content {
    era: Era,
    partitions: Partitions,
}

impl Content {
    fn partition(&mut self, id: &PartitionId) -> (Era, &mut Partition) {
        (self.era, self.partitions.entry(id.clone()).or_default())
    }
}

#[derive(Debug, Default)]
struct State {
    content: Mutex<Content>,
    appended: Event,
}

/// A copy of all partitions of a [`MemoryStore`].
#[derive(Debug, Clone)]
pub struct StoreCopy(Partitions);

/// An in-memory store. Clones share their content.
#[derive(Debug, Clone)]
pub struct MemoryStore {
    state: Arc<State>,
    clock: Arc<dyn Clock>,
    /// Number of records that each partition retains.
    retain: usize,
}

impl MemoryStore {
    /// Creates an empty store whose reads wait on `clock`.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            state: Arc::default(),
            clock,
            retain: usize::MAX,
        }
    }

    /// Limits each partition to its newest `count` records, besides the newest record of each key.
    #[must_use]
    pub fn retaining(mut self, count: usize) -> Self {
        self.retain = count;
        self
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        let content = &self.state.content;
        content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Copies all partitions.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.lock().partitions.clone())
    }

    /// Puts all partitions back to an earlier copy, with their offsets, epochs and sequence
    /// numbers, and raises the era. Returns appends of the records that are lost by that.
    pub fn restore(&self, copy: StoreCopy) -> Vec<Append> {
        let lost = {
            let mut content = self.lock();
            let lost = content.partitions.iter().map(|(id, partition)| {
                let kept = copy.0.get(id).map(Partition::end);
                Append {
                    partition: id.clone(),
                    records: partition.records_after(kept.unwrap_or_default()),
                    at: None,
                    producer: None,
                }
            });
            let lost = lost.filter(|append| !append.records.is_empty()).collect();
            content.partitions = copy.0;
            content.era.0 += 1;
            lost
        };
        self.state.appended.notify(usize::MAX);
        lost
    }

    /// Deletes the records of a partition before `offset`, as retention does. The newest record of
    /// each key is kept.
    pub fn trim(&self, id: &PartitionId, offset: Offset) {
        if let Some(partition) = self.lock().partitions.get_mut(id) {
            while partition.first < offset.0 && partition.records.pop_front().is_some() {
                partition.first += 1;
            }
        }
    }
}

impl Store for MemoryStore {
    fn append(&self, append: Append) -> Boxed<Result<Appended, StoreError>> {
        let id = append.partition.clone();
        let result = {
            let mut content = self.lock();
            let (era, partition) = content.partition(&id);
            let result = partition.append(era, append);
            while partition.records.len() > self.retain && partition.records.pop_front().is_some() {
                partition.first += 1;
            }
            result
        };
        self.state.appended.notify(usize::MAX);
        async move { result }.boxed()
    }

    fn read(&self, read: Read) -> Boxed<Result<Batch, StoreError>> {
        let store = self.clone();
        let until = self.clock.now().after(read.wait);
        async move {
            loop {
                let listener = store.state.appended.listen();
                let batch = {
                    let mut content = store.lock();
                    let (era, partition) = content.partition(&read.partition);
                    partition.read(era, read.from)?
                };
                if !batch.records.is_empty() || store.clock.now() >= until {
                    return Ok(batch);
                }
                listener.or(store.clock.sleep_until(until)).await;
            }
        }
        .boxed()
    }

    fn newest(&self, newest: Newest) -> Boxed<Result<Page, StoreError>> {
        let page = {
            let mut content = self.lock();
            let (era, partition) = content.partition(&newest.partition);
            partition.page(era, newest.after.as_deref())
        };
        async move { Ok(page) }.boxed()
    }

    fn era(&self) -> Era {
        self.lock().era
    }
}
