//! The moves of a plan and their reasons.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use trefoil_core::{KeyHash, Shard};

use crate::table::ReplicaSet;

/// The unit of placement: a plan moves whole units.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    /// A shard, without its hot keys that have entries of their own.
    #[display("shard {_0}")]
    Shard(Shard),
    /// A hot key.
    #[display("key {:016x}", _0.0)]
    Key(KeyHash),
}

/// The reason for a move.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The owner was lost and the standby became the owner.
    #[display("owner lost, standby promoted")]
    Promoted,
    /// The owner and the standby were lost.
    #[display("owner and standby lost")]
    Orphaned,
    /// There was no owner yet.
    #[display("no owner yet")]
    Vacant,
    /// The owner is leaving.
    #[display("owner leaving")]
    Leaving,
    /// The owner had more load than another member, and the gain exceeds the price of the move.
    #[display("load balance")]
    Balance,
    /// The entry of a hot key has the same owner as the key's shard and is redundant.
    #[display("hot-key entry not needed")]
    EntryUnused,
    /// The owner stays; there was no standby.
    #[display("standby missing")]
    StandbyMissing,
    /// The owner stays; the standby is leaving.
    #[display("standby leaving")]
    StandbyLeaving,
    /// The owner stays; the standby was in the failure domain of the owner.
    #[display("standby in the owner's failure domain")]
    StandbyDomain,
    /// The owner stays; it had more standbys than the largest group allows.
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

    /// Returns true if the keys would have no owner without the move, so that it is made
    /// independently of the objective.
    pub fn is_forced(self) -> bool {
        matches!(
            self,
            Self::Promoted | Self::Orphaned | Self::Vacant | Self::Leaving
        )
    }

    /// Returns true if the owner changes.
    pub fn changes_owner(self) -> bool {
        self.is_forced() || self == Self::Balance
    }
}

/// One move of a plan with its reason.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PlannedMove {
    /// The moved unit.
    pub unit: Unit,
    /// Owner and standby before the plan.
    pub from: ReplicaSet,
    /// Owner and standby after the plan.
    pub to: ReplicaSet,
    /// The reason.
    pub reason: Reason,
    /// Decrease of the objective, before the price is subtracted.
    pub gain: f64,
    /// Cost of churn and handover, see [`crate::Objective::price`]. Zero if the owner stays.
    pub price: f64,
}
