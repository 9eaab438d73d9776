//! Members of a table as the planner sees them: failure domain, capacity and state.

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
    /// Returns the position of the domain in the list of domains.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// State of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The member joined and does not serve at full rate yet.
    Cold {
        /// Measure windows since the member joined.
        age: u32,
    },
    /// The member serves at full rate.
    Serving,
    /// The member is draining: it must not own any unit after the next plan.
    Leaving,
    /// The member failed.
    Lost,
}

/// Failure domain, capacity and state of one member.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// The failure domain.
    pub domain: Domain,
    /// The request rate that the member can serve when warm. Only the ratio between members
    /// matters.
    pub capacity: PerSecond,
    /// The state.
    pub state: MemberState,
}

impl MemberInfo {
    /// Returns true if the member can become an owner or a standby.
    pub fn is_eligible(&self) -> bool {
        matches!(self.state, MemberState::Cold { .. } | MemberState::Serving)
    }
}

/// Slow start: the number of measure windows over which the share of a joining member grows.
///
/// A member that receives its whole share at once serves it with cold caches and few slots (design,
/// section 8), so its share grows in equal steps, one in each window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SlowStart(pub u32);

impl Default for SlowStart {
    /// Four windows. With windows of 10 s a member reaches its full share within a minute.
    fn default() -> Self {
        Self(4)
    }
}

impl SlowStart {
    /// Returns the usable fraction of the capacity of a member, from 0 to 1.
    pub fn fraction(self, state: MemberState) -> f64 {
        match state {
            MemberState::Cold { age } => (f64::from(age) + 1.0) / (f64::from(self.0) + 1.0),
            MemberState::Serving => 1.0,
            MemberState::Leaving | MemberState::Lost => 0.0,
        }
        .min(1.0)
    }

    /// Returns the usable capacity of a member.
    pub fn capacity(self, profile: &MemberInfo) -> f64 {
        self.fraction(profile.state) * profile.capacity.0.max(0.0)
    }
}
