//! Newtypes for identifiers and positions.
//!
//! Names consist of 1 to [`NAME_MAX`] characters out of `a-z`, `0-9` and `-`, so that they need no
//! escaping in headers, metric labels and file names.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

/// Longest name in bytes, equal to the limit of a DNS label.
pub const NAME_MAX: usize = 63;

/// Longest request id in bytes.
pub const REQUEST_ID_MAX: usize = 64;

/// A text is not a valid name or request id.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum NameError {
    /// The text is empty.
    #[snafu(display("must not be empty"))]
    Empty,
    /// The text is too long.
    #[snafu(display("is {len} bytes long, at most {max} are allowed"))]
    TooLong {
        /// Length in bytes.
        len: usize,
        /// Longest allowed length in bytes.
        max: usize,
    },
    /// The text contains a character that is not allowed.
    #[snafu(display("has the character {found:?}, allowed are {allowed}"))]
    BadCharacter {
        /// First character that is not allowed.
        found: char,
        /// Description of the allowed set.
        allowed: &'static str,
    },
}

fn check_text<F>(
    text: &str,
    max: usize,
    allowed: &'static str,
    is_allowed: F,
) -> Result<(), NameError>
where
    F: Fn(char) -> bool,
{
    match text.chars().find(|&c| !is_allowed(c)) {
        _ if text.is_empty() => Err(NameError::Empty),
        _ if text.len() > max => Err(NameError::TooLong {
            len: text.len(),
            max,
        }),
        Some(found) => Err(NameError::BadCharacter { found, allowed }),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
                check_text(text, NAME_MAX, "a-z, 0-9 and '-'", is_allowed)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

name_type!(
    /// Name of an entry host, from its settings. Unlike [`HostId`] it stays the same across
    /// restarts.
    HostName
);
name_type!(
    /// Name of a failure domain.
    DomainName
);
name_type!(
    /// Name of a region.
    RegionName
);
name_type!(
    /// Name of a service: a set of upstreams that share a key space.
    ServiceName
);
name_type!(
    /// Name of an upstream.
    UpstreamName
);
name_type!(
    /// Name of a routing resource.
    ResourceName
);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From,
            FromStr, Into, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    };
}

number_type!(
    /// Index of a shard in its service's table.
    Shard(u32)
);
number_type!(
    /// Number of the dispatcher assignment of an upstream; it increases with each assignment.
    Term(u64)
);
number_type!(
    /// Position in the order of succession of a term. Rank 0 is the assigned dispatcher.
    Rank(u8)
);
number_type!(
    /// Position of a record in the log.
    Offset(u64)
);
number_type!(
    /// Version of the accepted state: the offset of the accepted record plus one. 0 is the empty
    /// state.
    Revision(u64)
);
number_type!(
    /// 64-bit hash of a key.
    KeyHash(u64)
);

impl Offset {
    /// Returns the following offset.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the revision of a record that is accepted at this offset.
    pub fn revision(self) -> Revision {
        Revision(self.0 + 1)
    }
}

impl KeyHash {
    /// Hashes a key with the hash function of the placement tables (64-bit xxh3).
    pub fn of(key: &[u8]) -> Self {
        Self(xxh3_64(key))
    }

    /// Returns the shard of this hash in a table of `count` shards, which must be a power of two.
    pub fn shard(self, count: u32) -> Shard {
        debug_assert!(
            count.is_power_of_two(),
            "shard count must be a power of two"
        );
        let mask = u64::from(count) - 1;
        // The mask is below 2^32, so the value fits.
        Shard(u32::try_from(self.0 & mask).unwrap_or_default())
    }
}

macro_rules! uuid_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, FromStr, Into,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub Uuid);

        impl $name {
            /// Generates a random identifier.
            pub fn random() -> Self {
                Self(Uuid::new_v4())
            }
        }
    };
}

uuid_type!(
    /// One incarnation of an entry host, from the start of its process to its end. Each process
    /// generates a new identifier, so a process that was suspended and resumes with stale state
    /// cannot be mistaken for its successor.
    HostId
);
uuid_type!(
    /// A writer of log records. Together with a sequence number it identifies one record.
    WriterId
);

/// Fencing token of a dispatcher, ordered by term, then by rank.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{term}.{rank}")]
pub struct Token {
    /// Term of the assignment.
    pub term: Term,
    /// Rank of the host that acts as dispatcher in this term.
    pub rank: Rank,
}

impl FromStr for Token {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (term, rank) = text.split_once('.').unwrap_or((text, "0"));
        Ok(Self {
            term: Term(term.parse()?),
            rank: Rank(rank.parse()?),
        })
    }
}

/// A caller's identifier of one request, from the `Idempotency-Key` header.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId(String);

impl RequestId {
    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the creation time in a `UUIDv7` id, or `None` for an id of another kind.
    pub fn minted_at(&self) -> Option<crate::UnixMillis> {
        let uuid = Uuid::parse_str(&self.0).ok()?;
        let stamp = (uuid.get_version_num() == 7)
            .then(|| uuid.get_timestamp())
            .flatten()?;
        let (secs, nanos) = stamp.to_unix();
        Some(crate::UnixMillis(
            secs * 1000 + u64::from(nanos / 1_000_000),
        ))
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for RequestId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        check_text(text, REQUEST_ID_MAX, "visible ASCII", |c| {
            c.is_ascii_graphic()
        })?;
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for RequestId {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        text.parse()
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> Self {
        id.0
    }
}

/// Number of times the store has come back from an older copy, which lacks acknowledged records.
///
/// Offsets, epochs, sequence numbers and contents are comparable only within one era: after the
/// return the store gives out again those that it has lost.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    FromStr,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);
