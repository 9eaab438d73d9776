//! Paths of values in a document.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// One step of a [`Path`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Segment {
    /// The value of a key in a mapping.
    Key(String),
    /// The element of a list, from 0.
    Index(usize),
}

/// The path of a value from the root of its document, written as `spec.services[0].name`.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Path(Vec<Segment>);

/// Why a text is not a path.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the path {text:?} has an index that is not a number in brackets"))]
pub struct PathError {
    text: String,
}

impl Path {
    /// The path of the whole document.
    pub fn root() -> Self {
        Self::default()
    }

    /// The path of `key` in the mapping at this path.
    #[must_use]
    pub fn key(&self, key: &str) -> Self {
        self.join(Segment::Key(key.to_owned()))
    }

    /// The path of element `index` in the list at this path.
    #[must_use]
    pub fn index(&self, index: usize) -> Self {
        self.join(Segment::Index(index))
    }

    /// The path of a value one step below this path.
    #[must_use]
    pub fn join(&self, step: Segment) -> Self {
        let mut steps = self.0.clone();
        steps.push(step);
        Self(steps)
    }

    /// The path of the mapping or list that holds the value, or nothing for the root.
    pub fn parent(&self) -> Option<Self> {
        let (_, rest) = self.0.split_last()?;
        Some(Self(rest.to_vec()))
    }

    /// The steps from the root.
    pub fn segments(&self) -> &[Segment] {
        &self.0
    }

    /// Whether this is the whole document.
    pub fn is_root(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether this path is `other` or below it.
    pub fn starts_with(&self, other: &Self) -> bool {
        self.0.starts_with(&other.0)
    }

    /// Puts a step in front, for errors that travel from the value towards the root.
    pub(crate) fn prepend(&mut self, step: Segment) {
        self.0.insert(0, step);
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, step) in self.0.iter().enumerate() {
            match step {
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

    /// Reads the form that [`Display`](fmt::Display) writes. Keys with dots or brackets do not
    /// occur in this crate's documents.
    fn from_str(text: &str) -> Result<Self, PathError> {
        let error = || PathError {
            text: text.to_owned(),
        };
        let mut steps = Vec::new();
        for part in text.split('.').filter(|part| !part.is_empty()) {
            let mut pieces = part.split('[');
            match pieces.next() {
                Some(key) if !key.is_empty() => steps.push(Segment::Key(key.to_owned())),
                _ => {}
            }
            for piece in pieces {
                let digits = piece.strip_suffix(']').ok_or_else(error)?;
                let index = digits.parse().ok().ok_or_else(error)?;
                steps.push(Segment::Index(index));
            }
        }
        Ok(Self(steps))
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
