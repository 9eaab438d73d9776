//! What a caller can be told about the execution of its request.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Whether the upstream executed a request.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Outcome {
    /// The upstream answered, and the answer is passed on whole.
    Done,
    /// Proof exists that the request was not executed.
    NotRun,
    /// The request may or may not have been executed.
    Unknown,
}
