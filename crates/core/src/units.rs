//! Newtypes for sizes and rates.

use derive_more::{Add, AddAssign, Display, From, FromStr, Into, Sum};
use serde::{Deserialize, Serialize};

/// A size in bytes.
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
    Add,
    AddAssign,
    Sum,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
#[display("{_0} B")]
pub struct Bytes(pub u64);

/// A number of concurrent requests at one upstream.
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
    Add,
    AddAssign,
    Sum,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Slots(pub u32);

/// A rate in events per second.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    PartialOrd,
    Display,
    From,
    FromStr,
    Into,
    Add,
    AddAssign,
    Sum,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
#[display("{_0}/s")]
pub struct PerSecond(pub f64);
