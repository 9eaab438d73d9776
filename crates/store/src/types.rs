//! Arguments and answers of the store's calls.

use std::borrow::Cow;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, From, Into};
use snafu::{Snafu, ensure};
use trefoil_core::Offset;

/// Longest topic name in bytes.
const TOPIC_MAX: usize = 100;

/// Why a text is not a topic name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not 1 to {TOPIC_MAX} characters of a-z, 0-9, '.' and '-'"))]
pub struct TopicError {
    /// The text.
    text: String,
}

/// Name of a topic: 1 to 100 characters of `a-z`, `0-9`, `.` and `-`, so that it can stand in a
/// query string as it is.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Topic(Cow<'static, str>);

impl Topic {
    /// A name that the program fixes.
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

/// Number of a partition of a topic.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into,
)]
pub struct PartitionNumber(pub u16);

/// A partition of a topic.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{topic}/{part}")]
pub struct PartitionId {
    /// The topic.
    pub topic: Topic,
    /// The partition.
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

/// Epoch of a producer. The store refuses a lower one than it has seen in the partition.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into,
)]
pub struct Epoch(pub u64);

/// Identity of a writer within one partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Producer {
    /// Name of the producer; epochs and sequence numbers are counted for each name.
    pub name: String,
    /// Epoch of this writer.
    pub epoch: Epoch,
    /// Number of this append. It follows the last one of the same epoch.
    pub sequence: u64,
}

/// An append of records to one partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Append {
    /// Where to append.
    pub partition: PartitionId,
    /// The records, in order. Without records, the append only sets the producer's epoch.
    pub records: Vec<Bytes>,
    /// The offset at which the partition must end.
    pub at: Option<Offset>,
    /// Who appends.
    pub producer: Option<Producer>,
}

impl Append {
    /// An append of one record without a condition.
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

    /// Names the producer.
    #[must_use]
    pub fn by(mut self, producer: Producer) -> Self {
        self.producer = Some(producer);
        self
    }
}

/// Answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the first record.
    pub offset: Offset,
    /// Offset after the last record.
    pub end: Offset,
}

/// A read of records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read {
    /// Where to read.
    pub partition: PartitionId,
    /// First offset.
    pub from: Offset,
    /// Longest wait for a record if there is none yet.
    pub wait: Duration,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Records in the order of their offsets, from the first one that was asked for.
    pub records: Vec<Bytes>,
    /// Offset at which the next read goes on.
    pub next: Offset,
    /// Offset after the newest record at the time of the read.
    pub end: Offset,
}

/// A read of the newest records of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Newest {
    /// Where to read.
    pub partition: PartitionId,
    /// The last key of the page before.
    pub after: Option<String>,
}

/// The newest record of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Bytes,
    /// Offset of the record.
    pub offset: Offset,
}

/// A page of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Records in the order of their keys.
    pub items: Vec<Item>,
    /// Whether keys after the last one exist.
    pub more: bool,
    /// Offset after the newest record of the partition at the time of the read.
    pub end: Offset,
}
