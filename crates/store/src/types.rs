//! Arguments and results of store calls.

use std::borrow::Cow;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, From, Into};
use snafu::{Snafu, ensure};
use trefoil_core::{Era, Offset};

/// Maximum length of a topic name in bytes.
const TOPIC_MAX: usize = 100;

/// Error for a text that is not a topic name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not 1 to {TOPIC_MAX} characters of a-z, 0-9, '.' and '-'"))]
pub struct TopicError {
    /// The rejected text.
    text: String,
}

/// Name of a topic: 1 to 100 characters of `a-z`, `0-9`, `.` and `-`, which need no escaping in a
/// query string.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Topic(Cow<'static, str>);

impl Topic {
    /// Creates a topic from a constant name.
    ///
    /// # Panics
    ///
    /// Panics, in a constant at compile time, if the name is not valid.
    pub const fn fixed(name: &'static str) -> Self {
        assert!(valid(name), "the topic's name is not valid");
        Self(Cow::Borrowed(name))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

const fn valid(name: &str) -> bool {
    let bytes = name.as_bytes();
    let mut i = 0;
    while i < bytes.len() {
        if !matches!(bytes[i], b'a'..=b'z' | b'0'..=b'9' | b'.' | b'-') {
            return false;
        }
        i += 1;
    }
    matches!(bytes.len(), 1..=TOPIC_MAX)
}

impl FromStr for Topic {
    type Err = TopicError;

    fn from_str(text: &str) -> Result<Self, TopicError> {
        ensure!(valid(text), TopicSnafu { text });
        Ok(Self(Cow::Owned(text.to_owned())))
    }
}

/// Number of a partition within its topic.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into,
)]
pub struct PartitionNumber(pub u16);

/// Identifies a partition of a topic.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{topic}/{part}")]
pub struct PartitionId {
    /// The topic.
    pub topic: Topic,
    /// Number of the partition.
    pub part: PartitionNumber,
}

impl PartitionId {
    /// Partition 0 of a topic.
    pub const fn first(topic: Topic) -> Self {
        Self {
            topic,
            part: PartitionNumber(0),
        }
    }
}

/// Epoch of a producer. The store refuses an epoch below the highest that it has seen in the
/// partition.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into,
)]
pub struct Epoch(pub u64);

/// Identity of a writer within one partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Producer {
    /// Name of the producer. Epochs and sequence numbers are counted per name.
    pub name: String,
    /// Epoch of this writer.
    pub epoch: Epoch,
    /// Sequence number of this append, which is one above the last one of the same epoch.
    pub sequence: u64,
}

/// An append of records to a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Append {
    /// The partition.
    pub partition: PartitionId,
    /// The records, in order. Without records, the append only sets the producer's epoch.
    pub records: Vec<Bytes>,
    /// Offset at which the partition must end for the append to succeed.
    pub at: Option<Offset>,
    /// The writer, if appends are to be fenced and deduplicated.
    pub producer: Option<Producer>,
}

impl Append {
    /// An unconditional append of one record.
    pub fn new(partition: PartitionId, record: Bytes) -> Self {
        Self {
            partition,
            records: vec![record],
            at: None,
            producer: None,
        }
    }

    /// An append without records, which sets the epoch of `producer`.
    pub fn epoch(partition: PartitionId, producer: Producer) -> Self {
        Self {
            partition,
            records: Vec::new(),
            at: None,
            producer: Some(producer),
        }
    }

    /// Requires that the partition ends at `offset`.
    #[must_use]
    pub fn at(mut self, offset: Offset) -> Self {
        self.at = Some(offset);
        self
    }

    /// Sets the producer.
    #[must_use]
    pub fn by(mut self, producer: Producer) -> Self {
        self.producer = Some(producer);
        self
    }
}

/// Result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the first record.
    pub offset: Offset,
    /// Offset after the last record.
    pub end: Offset,
    /// Era of the store.
    pub era: Era,
}

/// A read of records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read {
    /// The partition.
    pub partition: PartitionId,
    /// First offset.
    pub from: Offset,
    /// Maximum wait for a record if there is none yet.
    pub wait: Duration,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Records in the order of their offsets, starting at the requested one.
    pub records: Vec<Bytes>,
    /// First offset of the next read.
    pub next: Offset,
    /// Offset after the newest record at the time of the read.
    pub end: Offset,
    /// Era of the store.
    pub era: Era,
}

/// A read of the newest records of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Newest {
    /// The partition.
    pub partition: PartitionId,
    /// Last key of the previous page, after which this page starts.
    pub after: Option<String>,
}

/// The newest record of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Offset of the record.
    pub offset: Offset,
}

/// A page of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Records in the order of their keys.
    pub items: Vec<Item>,
    /// Set if there are further keys after the last one.
    pub more: bool,
    /// Offset after the newest record of the partition at the time of the read.
    pub end: Offset,
    /// Era of the store.
    pub era: Era,
}
