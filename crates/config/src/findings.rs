//! Findings: what is wrong with a file, and where.

use std::fmt;
use std::sync::Arc;

use derive_more::{Display, IntoIterator};
use serde::{Deserialize, Serialize};

use crate::path::Path;

/// Where a value was written.
///
/// Lines and columns count from 1, columns in characters. Both are 0 for a value that does not come
/// from a file: an environment variable, a flag, or a value that a program built.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Location {
    /// File name, name of the environment variable, or the flag.
    pub file: Arc<str>,
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
}

impl Location {
    /// A place without line and column.
    pub fn without_position(name: &str) -> Self {
        Self {
            file: name.into(),
            line: 0,
            column: 0,
        }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => f.write_str(&self.file),
            line => write!(f, "{}:{line}:{}", self.file, self.column),
        }
    }
}

/// One mistake.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Finding {
    /// Where the mistake was written.
    #[serde(flatten)]
    pub location: Location,
    /// Path of the value from the root of the document; empty for the whole document.
    pub path: Path,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.location)?;
        if !self.path.is_root() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

/// All mistakes of a file, sorted by place.
#[derive(Debug, Clone, Default, PartialEq, Eq, Display, Serialize, Deserialize, IntoIterator)]
#[display("{}", self.lines())]
#[serde(transparent)]
pub struct Findings(#[into_iterator(owned, ref)] Vec<Finding>);

impl Findings {
    /// Sorts findings by place; a finding that occurs twice is kept once.
    pub fn new(mut list: Vec<Finding>) -> Self {
        list.sort();
        list.dedup();
        Self(list)
    }

    /// The findings in the order of their places.
    pub fn as_slice(&self) -> &[Finding] {
        &self.0
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of findings.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    fn lines(&self) -> String {
        let lines: Vec<String> = self.0.iter().map(Finding::to_string).collect();
        lines.join("\n")
    }
}

impl std::error::Error for Findings {}
