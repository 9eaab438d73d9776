//! Validation findings: error messages with the location and path of the value.

use std::fmt;
use std::sync::Arc;

use derive_more::{Display, IntoIterator};
use serde::{Deserialize, Serialize};

use crate::path::Path;

/// Source location of a value.
///
/// Lines and columns count from 1, columns in characters. Both are 0 for a value that does not come
/// from a file but from an environment variable, a flag, or a program that builds the document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Location {
    /// Name of the file, environment variable or flag.
    pub file: Arc<str>,
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
}

impl Location {
    /// Returns a location without line and column.
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

/// One validation error.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Finding {
    /// Source location of the value.
    #[serde(flatten)]
    pub location: Location,
    /// Path of the value from the root of the document; empty for the whole document.
    pub path: Path,
    /// Error message.
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

/// All validation errors of a file, sorted by location.
#[derive(Debug, Clone, Default, PartialEq, Eq, Display, Serialize, Deserialize, IntoIterator)]
#[display("{}", self.to_lines())]
#[serde(transparent)]
pub struct Findings(#[into_iterator(owned, ref)] Vec<Finding>);

impl Findings {
    /// Sorts findings by location and removes duplicates.
    pub fn new(mut list: Vec<Finding>) -> Self {
        list.sort();
        list.dedup();
        Self(list)
    }

    /// Returns the findings in the order of their locations.
    pub fn as_slice(&self) -> &[Finding] {
        &self.0
    }

    /// Returns true if there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of findings.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    fn to_lines(&self) -> String {
        let lines: Vec<String> = self.0.iter().map(Finding::to_string).collect();
        lines.join("\n")
    }
}

impl std::error::Error for Findings {}
