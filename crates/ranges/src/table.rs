//! Who is to own which range.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use trefoil_core::{Fence, HostId, Key, KeyRange, ServiceName, UpstreamName};
use trefoil_directory::Incarnation;

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
#[display("{incarnation}#{fence}")]
pub struct Owner {
    /// The upstream.
    pub incarnation: Incarnation,
    /// Fence of its grant.
    pub fence: Fence,
}

/// The steward who wrote a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// Its host's process.
    pub host: HostId,
    /// Its term.
    pub term: u64,
    /// Time from the writing on in which grants of stewards before it can be valid.
    pub earlier_grants: Duration,
    /// It has ended its term and sends no more orders.
    pub resigned: bool,
}

/// A range and its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The range.
    pub range: KeyRange,
    /// Who is to own it.
    pub owner: Option<Owner>,
    /// The upstream that may still hold a grant of it. Nobody has granted the range to the owner
    /// while there is a former one; it is left out only when none of its grants can be valid.
    pub former: Option<Owner>,
    /// Fence for barring older grants at the former owner, below the owner's own.
    pub fencing: Fence,
}

impl Entry {
    fn owned_by(&self, incarnation: &Incarnation) -> bool {
        self.owner
            .as_ref()
            .is_some_and(|o| o.incarnation == *incarnation)
    }
}

/// Gives an entry the next two fences.
fn fence(entry: &mut Entry, next: &mut Fence) {
    entry.fencing = *next;
    let own = next.next();
    if let Some(owner) = &mut entry.owner {
        owner.fence = own;
    }
    *next = own.next();
}

/// Who is to own which range of a service. Entries cover every key once, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The service.
    pub service: ServiceName,
    /// Number of changes so far.
    pub version: u64,
    /// The steward who wrote the table, which is the only one that may have sent orders since.
    pub author: Option<Author>,
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
            former: None,
            fencing: Fence(0),
        };
        Self {
            service,
            version: 0,
            author: None,
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
        let owns = |e: &Entry| {
            e.owner
                .as_ref()
                .is_some_and(|o| o.incarnation.name == *name)
        };
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

    /// Gives a range to an upstream. The owner before becomes the former one, unless it was never
    /// granted the range, which is so as long as there is a former owner already.
    pub fn assign(&mut self, range: KeyRange, incarnation: &Incarnation) {
        self.split(range.first());
        if let Some(after) = range.last().0.checked_add(1) {
            self.split(Key(after));
        }
        for entry in &mut self.entries {
            if !range.contains(entry.range.first()) || entry.owned_by(incarnation) {
                continue;
            }
            let before = entry.owner.take();
            let former = entry.former.take().or(before);
            entry.former = former.filter(|f| f.incarnation != *incarnation);
            entry.owner = Some(Owner {
                incarnation: incarnation.clone(),
                fence: Fence::default(),
            });
            fence(entry, &mut self.next_fence);
        }
    }

    /// Gives the entry of `key` new fences under the same owner, because others have been seen.
    pub fn refence(&mut self, key: Key) {
        let index = self.index(key);
        fence(&mut self.entries[index], &mut self.next_fence);
    }

    /// Gives new fences to all entries with a former owner; says whether there are any. Whoever
    /// takes over a table does this first: another steward may have used their fences for orders
    /// that are still on their way.
    pub fn refence_moves(&mut self) -> bool {
        let moving = self.entries.iter_mut().filter(|e| e.former.is_some());
        let mut any = false;
        for entry in moving {
            fence(entry, &mut self.next_fence);
            any = true;
        }
        any
    }

    /// Records that the former owner of the entry that begins at `first` holds nothing.
    pub fn clear_former(&mut self, first: Key) {
        let index = self.index(first);
        let entry = &mut self.entries[index];
        if entry.range.first() == first {
            entry.former = None;
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
        let meets = |pair: &[Entry]| pair[0].range.is_followed_by(pair[1].range);
        let whole = first == Some(Key(0)) && last == Some(Key(u16::MAX));
        ensure!(whole && table.entries.windows(2).all(meets), CoverageSnafu);
        Ok(table)
    }
}
