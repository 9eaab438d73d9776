//! Numeric keys, key ranges, and the fencing tokens that order successive owners of a range.

use std::str::FromStr;

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A key of a service that is sharded by key ranges.
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
    From,
    FromStr,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Key(pub u16);

/// Number of keys of a service.
pub const KEYS: u32 = 1 << 16;

/// Two keys or a text do not denote a range.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum RangeError {
    /// The first key is above the last key.
    #[snafu(display("the range begins at {first} and ends before it, at {last}"))]
    Reversed {
        /// First key.
        first: Key,
        /// Last key.
        last: Key,
    },
    /// The text is not of the form `FIRST-LAST`.
    #[snafu(display("{text:?} is not a range such as 0-4095"))]
    Syntax {
        /// The text.
        text: String,
    },
}

/// An inclusive range of keys. It is never empty.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{first}-{last}")]
#[serde(try_from = "Bounds")]
pub struct KeyRange {
    first: Key,
    last: Key,
}

/// First and last key of a range as decoded, in any order.
#[derive(Deserialize)]
struct Bounds {
    first: Key,
    last: Key,
}

impl TryFrom<Bounds> for KeyRange {
    type Error = RangeError;

    fn try_from(bounds: Bounds) -> Result<Self, RangeError> {
        Self::new(bounds.first, bounds.last)
    }
}

impl KeyRange {
    /// All keys.
    pub const ALL: Self = Self {
        first: Key(0),
        last: Key(u16::MAX),
    };

    /// Creates the range from `first` to `last`, both inclusive.
    ///
    /// # Errors
    ///
    /// Fails if `first` is above `last`.
    pub fn new(first: Key, last: Key) -> Result<Self, RangeError> {
        if first > last {
            return Err(RangeError::Reversed { first, last });
        }
        Ok(Self { first, last })
    }

    /// First key.
    pub fn first(self) -> Key {
        self.first
    }

    /// Last key.
    pub fn last(self) -> Key {
        self.last
    }

    /// Number of keys.
    pub fn len(self) -> u32 {
        u32::from(self.last.0 - self.first.0) + 1
    }

    /// Returns false, because ranges have at least one key.
    pub fn is_empty(self) -> bool {
        false
    }

    /// Returns true if the key is in the range.
    pub fn contains(self, key: Key) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Returns the keys that are in both ranges, if any.
    pub fn intersection(self, other: Self) -> Option<Self> {
        let (first, last) = (self.first.max(other.first), self.last.min(other.last));
        Self::new(first, last).ok()
    }

    /// Returns true if `next` begins with the key after the last key of this range.
    pub fn is_followed_by(self, next: Self) -> bool {
        self.last.0.checked_add(1) == Some(next.first.0)
    }
}

impl FromStr for KeyRange {
    type Err = RangeError;

    fn from_str(text: &str) -> Result<Self, RangeError> {
        let parsed = text
            .split_once('-')
            .and_then(|(first, last)| Some((first.parse().ok()?, last.parse().ok()?)));
        let (first, last) = parsed.ok_or_else(|| RangeError::Syntax {
            text: text.to_owned(),
        })?;
        Self::new(first, last)
    }
}

/// Fencing token of a grant. An upstream refuses a grant with a lower fence than the highest that
/// it has seen for the key.
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
    From,
    FromStr,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Fence(pub u64);

impl Fence {
    /// The fence after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
