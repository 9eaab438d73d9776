//! Paths of values within a YAML document.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// One segment of a [`Path`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Segment {
    /// Key of a mapping entry.
    Key(String),
    /// Index of a list element, from 0.
    Index(usize),
}

/// Path of a value from the root of its document, written as `spec.services[0].name`.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Path(Vec<Segment>);

/// Error from parsing a [`Path`].
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the path {text:?} has an index that is not a number in brackets"))]
pub struct PathError {
    text: String,
}

impl Path {
    /// Returns the path of the whole document.
    pub fn root() -> Self {
        Self::default()
    }

    /// Returns the path of the entry `key` of the mapping at this path.
    #[must_use]
    pub fn key(&self, key: &str) -> Self {
        self.join(Segment::Key(key.to_owned()))
    }

    /// Returns the path of element `index` of the list at this path.
    #[must_use]
    pub fn index(&self, index: usize) -> Self {
        self.join(Segment::Index(index))
    }

    /// Returns this path extended by one segment.
    #[must_use]
    pub fn join(&self, segment: Segment) -> Self {
        let mut segments = self.0.clone();
        segments.push(segment);
        Self(segments)
    }

    /// Returns the path of the enclosing mapping or list, or `None` for the root.
    pub fn parent(&self) -> Option<Self> {
        let (_, rest) = self.0.split_last()?;
        Some(Self(rest.to_vec()))
    }

    /// Returns the segments, starting at the root.
    pub fn segments(&self) -> &[Segment] {
        &self.0
    }

    /// Returns true for the path of the whole document.
    pub fn is_root(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns true if `other` is this path or one of its ancestors.
    pub fn starts_with(&self, other: &Self) -> bool {
        self.0.starts_with(&other.0)
    }

    /// Inserts a segment at the front. The deserializer calls this once per level while it returns
    /// an error from the value to the root.
    pub(crate) fn prepend(&mut self, segment: Segment) {
        self.0.insert(0, segment);
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, segment) in self.0.iter().enumerate() {
            match segment {
                Segment::Key(key) if i == 0 => f.write_str(key)?,
                Segment::Key(key) => write!(f, ".{key}")?,
                Segment::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}

impl FromStr for Path {
    type Err = PathError;

    /// Parses the output of [`Display`](fmt::Display). Keys that contain dots or brackets would be
    /// ambiguous, but no document of this crate has any.
    fn from_str(text: &str) -> Result<Self, PathError> {
        let error = || PathError {
            text: text.to_owned(),
        };
        let mut segments = Vec::new();
        for part in text.split('.').filter(|part| !part.is_empty()) {
            let mut pieces = part.split('[');
            match pieces.next() {
                Some(key) if !key.is_empty() => segments.push(Segment::Key(key.to_owned())),
                _ => {}
            }
            for piece in pieces {
                let digits = piece.strip_suffix(']').ok_or_else(error)?;
                let index = digits.parse().ok().ok_or_else(error)?;
                segments.push(Segment::Index(index));
            }
        }
        Ok(Self(segments))
    }
}

impl TryFrom<String> for Path {
    type Error = PathError;

    fn try_from(text: String) -> Result<Self, PathError> {
        text.parse()
    }
}

impl From<Path> for String {
    fn from(path: Path) -> Self {
        path.to_string()
    }
}
