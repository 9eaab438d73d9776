//! Why a plan moves something.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use trefoil_core::{KeyHash, Shard};

use crate::table::ReplicaSet;

/// What is moved.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    /// A shard, without the hot keys that have entries of their own.
    #[display("shard {_0}")]
    Shard(Shard),
    /// A hot key.
    #[display("key {:016x}", _0.0)]
    Key(KeyHash),
}

/// Why something is moved.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The owner was lost and the standby became the owner.
    #[display("owner lost, standby promoted")]
    Promoted,
    /// Owner and standby were lost.
    #[display("owner and standby lost")]
    Orphaned,
    /// There was no owner yet.
    #[display("no owner yet")]
    Vacant,
    /// The owner is leaving.
    #[display("owner leaving")]
    Leaving,
    /// The owner had more load than another member, by more than the churn costs.
    #[display("load balance")]
    Balance,
    /// The entry of a hot key has the same owner as its shard and is not needed.
    #[display("hot-key entry not needed")]
    EntryUnused,
    /// Owner unchanged: there was no standby.
    #[display("standby missing")]
    StandbyMissing,
    /// Owner unchanged: the standby is leaving.
    #[display("standby leaving")]
    StandbyLeaving,
    /// Owner unchanged: the standby was in the failure domain of the owner.
    #[display("standby in the owner's failure domain")]
    StandbyDomain,
    /// Owner unchanged: the standbys of the owner were more than the group may have.
    #[display("standby outside the group")]
    StandbyGroup,
}

impl Reason {
    /// All reasons, in the order in which reports list them.
    pub const ALL: [Self; 10] = [
        Self::Promoted,
        Self::Orphaned,
        Self::Vacant,
        Self::Leaving,
        Self::Balance,
        Self::EntryUnused,
        Self::StandbyMissing,
        Self::StandbyLeaving,
        Self::StandbyDomain,
        Self::StandbyGroup,
    ];

    /// Whether the objective had no choice: the keys would have no owner without the move.
    pub fn is_forced(self) -> bool {
        matches!(
            self,
            Self::Promoted | Self::Orphaned | Self::Vacant | Self::Leaving
        )
    }

    /// Whether the owner changes.
    pub fn changes_owner(self) -> bool {
        self.is_forced() || self == Self::Balance
    }
}

/// One move of a plan and why it is made.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PlannedMove {
    /// What is moved.
    pub unit: Unit,
    /// Its seat before the plan.
    pub from: ReplicaSet,
    /// Its seat after the plan.
    pub to: ReplicaSet,
    /// Why.
    pub reason: Reason,
    /// What the objective gains, without the price.
    pub gain: f64,
    /// What churn and hand-over cost, see [`crate::Objective::price`]. Zero if the owner stays.
    pub price: f64,
}
