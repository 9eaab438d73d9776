//! What the planner knows of a member: failure domain, capacity and state.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use trefoil_core::PerSecond;

/// Index of a failure domain in the caller's list of domains.
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
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Domain(pub u16);

impl Domain {
    /// The position of the domain in the list of domains.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It joined and does not serve at full rate yet.
    Cold {
        /// Measure windows since it joined.
        age: u32,
    },
    /// It serves at full rate.
    Serving,
    /// It is drained: it must not own anything.
    Leaving,
    /// It is lost.
    Lost,
}

/// What the planner knows of one member.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Its failure domain.
    pub domain: Domain,
    /// The request rate it can serve when it is warm. Only the ratio between members matters.
    pub capacity: PerSecond,
    /// Its state.
    pub state: MemberState,
}

impl MemberInfo {
    /// Whether the member may get shards, as owner or as standby.
    pub fn is_eligible(&self) -> bool {
        matches!(self.state, MemberState::Cold { .. } | MemberState::Serving)
    }
}

/// How the share of a joining member grows.
///
/// A member that gets its whole share at once serves it with cold caches and few slots (design,
/// section 8), so the share grows in equal steps over some measure windows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SlowStart(pub u32);

impl Default for SlowStart {
    /// Four windows: with windows of 10 s a member reaches its share within a minute.
    fn default() -> Self {
        Self(4)
    }
}

impl SlowStart {
    /// The part of its capacity that a member can use, from 0 to 1.
    pub fn fraction(self, state: MemberState) -> f64 {
        match state {
            MemberState::Cold { age } => (f64::from(age) + 1.0) / (f64::from(self.0) + 1.0),
            MemberState::Serving => 1.0,
            MemberState::Leaving | MemberState::Lost => 0.0,
        }
        .min(1.0)
    }

    /// The capacity that a member can use.
    pub fn capacity(self, profile: &MemberInfo) -> f64 {
        self.fraction(profile.state) * profile.capacity.0.max(0.0)
    }
}
