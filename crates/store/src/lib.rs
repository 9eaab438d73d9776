//! Durable storage for state that must outlast the entry hosts.
//!
//! Entry hosts have no disks and can all be lost at once, so every lasting decision is written as a
//! record to a [`Store`]. A store has topics, which are divided into partitions, each a log with
//! offsets. The design relies on three properties:
//!
//! - An append can name the offset at which it must land, which makes it a compare-and-set.
//! - An append can name a [`Producer`] with an epoch. The store refuses epochs below the highest
//!   that it has seen in the partition, which fences a former writer. It answers a repeated
//!   sequence number as it did the first time, so an append whose answer was lost can be retried
//!   safely.
//! - A [keyed](KeyedRecord) topic keeps the newest record of each key, so a new host can read the
//!   current state without the history.
//!
//! A store that comes back from an older copy has lost records that it had acknowledged, and epochs
//! with them. It tells so by a higher [`Era`], which every answer carries.
//!
//! [`MemoryStore`] implements the trait in memory, for tests and for `trefoild dev`.

mod error;
mod keyed;
mod memory;
mod types;

pub use error::StoreError;
pub use keyed::KeyedRecord;
pub use memory::{MemoryStore, StoreCopy};
pub use trefoil_core::Era;
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

    /// Reads one page of the newest record of each key of a keyed topic. Pages are not a snapshot:
    /// a key can change between two of them.
    fn newest(&self, newest: Newest) -> Boxed<Result<Page, StoreError>>;

    /// Returns the highest era that any answer to this client has carried, refusals and errors
    /// included. It is 0 before the first answer.
    fn era(&self) -> Era;
}
