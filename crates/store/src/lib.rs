//! The store that keeps what must outlast the entry hosts.
//!
//! Entry hosts have no disks and all of them can be lost at once, so every decision that must last
//! is a record in a [`Store`]: topics of partitions, each a log with offsets. Three properties carry
//! the design:
//!
//! - an append can name the offset at which it must land, which makes it a compare-and-set;
//! - an append can name a [`Producer`] with an epoch. The store refuses epochs below the highest one
//!   that it has seen in the partition, which fences a former writer, and answers a repeated
//!   sequence number as it did the first time, which makes a lost answer harmless;
//! - a [keyed](KeyedRecord) topic keeps the newest record of each key, so that a new host can read the
//!   present state without the history.
//!
//! [`MemoryStore`] is the same in memory, for tests and for `trefoild dev`.

mod error;
mod keyed;
mod memory;
mod types;

pub use error::StoreError;
pub use keyed::KeyedRecord;
pub use memory::MemoryStore;
pub use types::{
    Append, Appended, Batch, Epoch, Item, Newest, Page, PartitionId, PartitionNumber, Producer,
    Read, Topic, TopicError,
};

use std::fmt::Debug;

use futures_lite::future::Boxed;

/// A linearizable store of topics.
pub trait Store: Debug + Send + Sync {
    /// Appends records to a partition, all or none.
    fn append(&self, append: Append) -> Boxed<Result<Appended, StoreError>>;

    /// Reads records from an offset on.
    fn read(&self, read: Read) -> Boxed<Result<Batch, StoreError>>;

    /// Reads one page of the newest record of each key of a keyed topic. Pages are no snapshot:
    /// a key can change between two of them.
    fn newest(&self, newest: Newest) -> Boxed<Result<Page, StoreError>>;
}
