//! Who is to own which range.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use snafu::{ResultExt, Snafu, ensure};
use trefoil_core::{Fence, Key, KeyRange, ServiceName, UpstreamName};
use trefoil_directory::Life;

/// Format of an encoded table. A process refuses a table of another format.
const FORMAT: u16 = 1;

/// Why bytes are not a table.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TableError {
    /// The bytes cannot be decoded.
    #[snafu(display("the table does not decode: {source}"))]
    Decode {
        /// The decoder's error.
        source: postcard::Error,
    },
    /// The table was written by a build with another format.
    #[snafu(display("the table has format {found}, this build reads {FORMAT}"))]
    Format {
        /// Format of the table.
        found: u16,
    },
    /// The entries leave out keys or name some twice.
    #[snafu(display("the entries do not cover every key once"))]
    Coverage,
}

/// An upstream that is or was granted a range.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{life}#{fence}")]
pub struct Owner {
    /// The upstream.
    pub life: Life,
    /// Fence of its grant.
    pub fence: Fence,
}

/// A range and its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The range.
    pub range: KeyRange,
    /// Who is to own it.
    pub owner: Option<Owner>,
    /// Upstreams that may still hold grants of it. The owner is granted the range only when none
    /// of these can be valid any more.
    pub former: SmallVec<[Owner; 1]>,
    /// Fence for barring older grants at the former owners, below the owner's own.
    pub bar: Fence,
}

impl Entry {
    fn owned_by(&self, life: &Life) -> bool {
        self.owner.as_ref().is_some_and(|o| o.life == *life)
    }
}

/// Who is to own which range of a service. Entries cover every key once, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The service.
    pub service: ServiceName,
    /// Number of changes so far.
    pub version: u64,
    /// Lowest fence that no grant has had.
    next_fence: Fence,
    entries: Vec<Entry>,
}

impl Table {
    /// A table in which nobody owns anything.
    pub fn new(service: ServiceName) -> Self {
        let entry = Entry {
            range: KeyRange::ALL,
            owner: None,
            former: SmallVec::new(),
            bar: Fence(0),
        };
        Self {
            service,
            version: 0,
            next_fence: Fence(1),
            entries: vec![entry],
        }
    }

    /// All entries, in the order of their keys.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// The entry of a key.
    pub fn find(&self, key: Key) -> &Entry {
        &self.entries[self.index(key)]
    }

    fn index(&self, key: Key) -> usize {
        // Entries cover every key, so the entry before the first one above `key` has it.
        self.entries
            .partition_point(|e| e.range.first() <= key)
            .saturating_sub(1)
    }

    /// Whether an upstream of this name is to own any key.
    pub fn owns(&self, name: &UpstreamName) -> bool {
        let owns = |e: &Entry| e.owner.as_ref().is_some_and(|o| o.life.name == *name);
        self.entries.iter().any(owns)
    }

    /// Splits entries so that one begins at `first`.
    fn split(&mut self, first: Key) {
        let index = self.index(first);
        let entry = &self.entries[index];
        let Some(before) = first.0.checked_sub(1).map(Key) else {
            return;
        };
        let (low, high) = (
            KeyRange::new(entry.range.first(), before),
            KeyRange::new(first, entry.range.last()),
        );
        if let (Ok(low), Ok(high)) = (low, high) {
            let mut rest = entry.clone();
            rest.range = high;
            self.entries[index].range = low;
            self.entries.insert(index + 1, rest);
        }
    }

    /// Gives a range to an upstream, or to nobody. The owners before become former owners, unless
    /// it is the same upstream.
    pub fn assign(&mut self, range: KeyRange, life: Option<&Life>) {
        self.split(range.first());
        if let Some(after) = range.last().0.checked_add(1) {
            self.split(Key(after));
        }
        for entry in &mut self.entries {
            let inside = range.contains(entry.range.first());
            if !inside || life.is_some_and(|life| entry.owned_by(life)) {
                continue;
            }
            if let Some(owner) = entry.owner.take() {
                entry.former.push(owner);
            }
            if let Some(life) = life {
                entry.former.retain(|f| f.life != *life);
                entry.bar = self.next_fence;
                let owner = Owner {
                    life: life.clone(),
                    fence: self.next_fence.next(),
                };
                self.next_fence = owner.fence.next();
                entry.owner = Some(owner);
            }
        }
    }

    /// Gives the entry of `key` a new fence under the same owner, because an upstream has seen a
    /// higher one.
    pub fn refence(&mut self, key: Key) {
        let index = self.index(key);
        let entry = &mut self.entries[index];
        if let Some(owner) = &mut entry.owner {
            entry.bar = self.next_fence;
            owner.fence = self.next_fence.next();
            self.next_fence = owner.fence.next();
        }
    }

    /// Forgets the former owners of the entry that begins at `first`.
    pub fn clear_former(&mut self, first: Key) {
        let index = self.index(first);
        let entry = &mut self.entries[index];
        if entry.range.first() == first {
            entry.former.clear();
        }
    }

    /// Joins neighbours with the same owner and nothing left to be cleared, under a new fence.
    /// `settled` says whether an entry may be joined.
    pub fn merge<F>(&mut self, settled: F)
    where
        F: Fn(&Entry) -> bool,
    {
        let mut merged: Vec<Entry> = Vec::with_capacity(self.entries.len());
        let mut joined = Vec::new();
        for entry in std::mem::take(&mut self.entries) {
            let mergeable = |e: &Entry| e.former.is_empty() && settled(e);
            match merged.last_mut() {
                Some(last)
                    if last.owner.is_some()
                        && last.owner.as_ref().map(|o| &o.life)
                            == entry.owner.as_ref().map(|o| &o.life)
                        && (mergeable(last) || joined.contains(&last.range.first()))
                        && mergeable(&entry) =>
                {
                    // Both ranges are valid and adjacent, so their union is valid.
                    if let Ok(range) = KeyRange::new(last.range.first(), entry.range.last()) {
                        last.range = range;
                        joined.push(range.first());
                    }
                }
                _ => merged.push(entry),
            }
        }
        self.entries = merged;
        joined.dedup();
        for first in joined {
            self.refence(first);
        }
    }

    /// Encodes the table.
    ///
    /// # Errors
    ///
    /// Fails if the encoder does, which needs more memory than the process has.
    pub fn encode(&self) -> Result<Vec<u8>, TableError> {
        postcard::to_allocvec(&(FORMAT, self)).context(DecodeSnafu)
    }

    /// Decodes a table.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a table of this format that covers every key once.
    pub fn decode(bytes: &[u8]) -> Result<Self, TableError> {
        let (found, rest) = postcard::take_from_bytes::<u16>(bytes).context(DecodeSnafu)?;
        ensure!(found == FORMAT, FormatSnafu { found });
        let table: Self = postcard::from_bytes(rest).context(DecodeSnafu)?;
        let first = table.entries.first().map(|e| e.range.first());
        let last = table.entries.last().map(|e| e.range.last());
        let meets = |pair: &[Entry]| pair[0].range.meets(pair[1].range);
        let whole = first == Some(Key(0)) && last == Some(Key(u16::MAX));
        ensure!(whole && table.entries.windows(2).all(meets), CoverageSnafu);
        Ok(table)
    }
}
