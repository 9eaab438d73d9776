//! The table that maps key ranges to owners.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use trefoil_core::{Era, Fence, HostId, Key, KeyRange, ServiceName, UpstreamName};
use trefoil_directory::Incarnation;

/// Version of the encoding. Tables in another format are rejected.
const FORMAT: u16 = 1;

/// Reasons why a table cannot be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TableError {
    /// The encoder or decoder failed.
    #[snafu(display("the table does not decode: {source}"))]
    Decode {
        /// Its error.
        source: postcard::Error,
    },
    /// The table was written by a build with another format.
    #[snafu(display("the table has format {found}, this build reads {FORMAT}"))]
    Format {
        /// Format of the table.
        found: u16,
    },
    /// The entries omit keys or overlap.
    #[snafu(display("the entries do not cover every key once"))]
    Coverage,
}

/// An upstream that is or was granted a range.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{incarnation}#{fence}")]
pub struct Owner {
    /// The incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Fence of its grant.
    pub fence: Fence,
}

/// The coordinator that wrote a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// Host of the coordinator.
    pub host: HostId,
    /// Term of the coordinator.
    pub term: u64,
    /// Time after the write until which grants of earlier coordinators can be valid.
    pub earlier_grants: Duration,
    /// Set if the coordinator has ended its term and sends no more orders.
    pub resigned: bool,
    /// Time after the write until which grants can be valid that no table lists, because the store
    /// has lost it. Encoded behind the table, where earlier builds ignore it.
    #[serde(skip)]
    pub unlisted_grants: Duration,
    /// Address of its host for datagrams, so that a host that reads the table can reach it without
    /// having found it otherwise. Encoded behind the other fields, where earlier builds ignore it.
    #[serde(skip)]
    pub address: Option<SocketAddr>,
}

/// Fields that earlier builds do not know, encoded behind the table.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct Appendix {
    era: Era,
    unlisted_ms: u32,
}

/// A range and its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The range.
    pub range: KeyRange,
    /// The upstream that is to own the range.
    pub owner: Option<Owner>,
    /// The upstream that may still hold a grant of the range. While it is listed, nobody has
    /// granted the range to `owner`; it is removed only when none of its grants can be valid.
    pub former: Option<Owner>,
    /// Fence of the fencing grant to the former owner. It is lower than the fence of `owner`.
    pub fencing: Fence,
}

impl Entry {
    fn owned_by(&self, incarnation: &Incarnation) -> bool {
        self.owner
            .as_ref()
            .is_some_and(|o| o.incarnation == *incarnation)
    }
}

/// Assigns the next two fences to an entry.
fn assign_fences(entry: &mut Entry, next: &mut Fence) {
    entry.fencing = *next;
    let own = next.next();
    if let Some(owner) = &mut entry.owner {
        owner.fence = own;
    }
    *next = own.next();
}

/// Owners of the key ranges of a service. The entries cover every key exactly once, in key order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The service.
    pub service: ServiceName,
    /// Number of changes so far.
    pub version: u64,
    /// The coordinator that wrote the table. No other can have sent orders since.
    pub author: Option<Author>,
    /// Era of the store in which the table was written. Encoded behind the table, where earlier
    /// builds ignore it; their own tables have era 0.
    #[serde(skip)]
    pub era: Era,
    /// Lowest fence that was never used.
    next_fence: Fence,
    entries: Vec<Entry>,
}

impl Table {
    /// Creates a table without owners.
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
            era: Era::default(),
            next_fence: Fence(1),
            entries: vec![entry],
        }
    }

    /// All entries, in key order.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// The entry of a key.
    pub fn find(&self, key: Key) -> &Entry {
        &self.entries[self.index(key)]
    }

    fn index(&self, key: Key) -> usize {
        // The entries cover every key, so the last one that starts at or below `key` contains it.
        self.entries
            .partition_point(|e| e.range.first() <= key)
            .saturating_sub(1)
    }

    /// Returns whether an upstream of this name is to own any key.
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

    /// Assigns a range to an upstream. The previous owner becomes the former owner, unless it was
    /// never granted the range, which is the case while the entry still lists a former owner.
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
            assign_fences(entry, &mut self.next_fence);
        }
    }

    /// Assigns new fences to the entry of `key` under the same owner, which has seen higher ones.
    pub fn refence(&mut self, key: Key) {
        let index = self.index(key);
        assign_fences(&mut self.entries[index], &mut self.next_fence);
    }

    /// Assigns new fences to all entries with a former owner, and returns whether there are any. A
    /// coordinator does this first when it takes over a table, because its predecessor may have
    /// used the fences in orders that are still in transit.
    pub fn refence_moves(&mut self) -> bool {
        let moving = self.entries.iter_mut().filter(|e| e.former.is_some());
        let mut any = false;
        for entry in moving {
            assign_fences(entry, &mut self.next_fence);
            any = true;
        }
        any
    }

    /// Assigns new fences to all entries that have an owner, because fences that this table does not
    /// know of may have been used.
    pub fn refence_all(&mut self) {
        for entry in self.entries.iter_mut().filter(|e| e.owner.is_some()) {
            assign_fences(entry, &mut self.next_fence);
        }
    }

    /// Raises the lowest fence that was never used.
    pub(crate) fn raise_fences(&mut self, lowest: Fence) {
        self.next_fence = self.next_fence.max(lowest);
    }

    /// Removes the former owner of the entry that begins at `first`, because it holds nothing any
    /// more.
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
    /// Fails if the encoder does, which happens only when memory is exhausted.
    pub fn encode(&self) -> Result<Vec<u8>, TableError> {
        let bytes = postcard::to_allocvec(&(FORMAT, self)).context(DecodeSnafu)?;
        let unlisted = self.author.map_or(Duration::ZERO, |a| a.unlisted_grants);
        // Rounded up, because the value is a bound on the validity of grants.
        let unlisted_ms = unlisted.as_nanos().div_ceil(1_000_000);
        let appendix = Appendix {
            era: self.era,
            unlisted_ms: u32::try_from(unlisted_ms).unwrap_or(u32::MAX),
        };
        let bytes = postcard::to_extend(&appendix, bytes).context(DecodeSnafu)?;
        match self.author.and_then(|author| author.address) {
            Some(address) => postcard::to_extend(&address, bytes).context(DecodeSnafu),
            None => Ok(bytes),
        }
    }

    /// Decodes a table.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a table of this format that covers every key exactly once.
    pub fn decode(bytes: &[u8]) -> Result<Self, TableError> {
        let (found, rest) = postcard::take_from_bytes::<u16>(bytes).context(DecodeSnafu)?;
        ensure!(found == FORMAT, FormatSnafu { found });
        let (mut table, rest): (Self, _) = postcard::take_from_bytes(rest).context(DecodeSnafu)?;
        let (appendix, rest): (Appendix, _) = match rest {
            [] => (Appendix::default(), rest),
            _ => postcard::take_from_bytes(rest).context(DecodeSnafu)?,
        };
        table.era = appendix.era;
        let address = match rest {
            [] => None,
            _ => Some(postcard::from_bytes(rest).context(DecodeSnafu)?),
        };
        if let Some(author) = &mut table.author {
            author.unlisted_grants = Duration::from_millis(appendix.unlisted_ms.into());
            author.address = address;
        }
        let first = table.entries.first().map(|e| e.range.first());
        let last = table.entries.last().map(|e| e.range.last());
        let meets = |pair: &[Entry]| pair[0].range.is_followed_by(pair[1].range);
        let whole = first == Some(Key(0)) && last == Some(Key(u16::MAX));
        ensure!(whole && table.entries.windows(2).all(meets), CoverageSnafu);
        Ok(table)
    }
}
