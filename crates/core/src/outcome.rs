//! Outcomes of requests, as reported to callers.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Execution status of a request at its upstream.
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
    /// The upstream answered, and the complete answer is forwarded.
    Done,
    /// It is proven that the request was not executed.
    NotRun,
    /// The request may or may not have been executed.
    Unknown,
}
