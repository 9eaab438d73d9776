//! The planner: from a table, members and load to changes with reasons.
//!
//! A plan is made in five steps, each on the result of the one before:
//!
//! 1. Members that were lost since the last plan are recorded, which promotes their standbys.
//! 2. Units (shards and hot keys) whose owner is lost or leaving get a new owner. These moves are
//!    *forced*: they are made whatever the weights and the churn budget are, since nobody would
//!    serve the keys otherwise.
//! 3. Units move from members with much load to members with little, each only if it gains more
//!    than its churn costs, and all together within the churn budget.
//! 4. Hot-key entries that have the same owner as their shard are dropped.
//! 5. Standbys are repaired: each in another failure domain than its owner, and those of one owner
//!    within a bounded group, so that the loss of a server spreads its load over several members
//!    but concerns few.
//!
//! A plan that has forced moves spends at most [`BALANCE_ALLOWANCE`] of their churn on balance, which bounds
//! the churn on the loss of a server by 1.2 times the least possible.
//!
//! A plan has several changes if it does not fit one log record. The table is valid after each of
//! them, so a plan that is cut short by a concurrent planner leaves work for the next plan and
//! nothing else.

mod balance;
mod draft;
mod emit;
mod standby;
mod units;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::load::Load;
use crate::member::{MemberInfo, SlowStart};
use crate::objective::{Cost, Objective};
use crate::reason::PlannedMove;
use crate::table::{Change, Table};

use draft::Draft;

/// Part of the churn of forced moves that a plan may spend on balance.
pub const BALANCE_ALLOWANCE: f64 = 0.2;

/// What a plan is made from.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// The table.
    pub table: &'a Table,
    /// One profile for each member of the table.
    pub members: &'a [MemberInfo],
    /// Load of the last measure window.
    pub load: &'a Load,
}

/// Why no plan can be made.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PlanError {
    /// The number of profiles differs from the number of members.
    #[snafu(display("{found} profiles for {expected} members"))]
    MemberCountMismatch {
        /// Profiles.
        found: usize,
        /// Members of the table.
        expected: usize,
    },
    /// The number of loads differs from the number of shards.
    #[snafu(display("{found} loads for {expected} shards"))]
    LoadCountMismatch {
        /// Loads.
        found: usize,
        /// Shards of the table.
        expected: usize,
    },
    /// All members are lost or leaving.
    #[snafu(display("no member can own shards"))]
    NoEligibleMember,
}

/// Changes of a table, with reasons.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The changes, in the order in which they must be applied.
    pub changes: Vec<Change>,
    /// Every move, including the promotions that follow from [`Change::Lost`].
    pub moves: Vec<PlannedMove>,
    /// Terms of the objective if only the losses were recorded.
    pub before: Cost,
    /// Terms of the objective after the plan.
    pub after: Cost,
    /// Churn of the forced moves.
    pub forced: f64,
    /// Churn of the other moves.
    pub chosen: f64,
}

impl Plan {
    /// Whether the plan changes anything.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

/// Which of the moves that gain more than they cost is made first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveOrder {
    /// The one with the greatest gain less its cost. It closes a difference of load with few moves.
    #[default]
    Net,
    /// The one with the greatest gain for its churn, the choice of the first version. It prefers
    /// hot keys that are too small to close the difference, and needs more moves.
    PerChurn,
}

/// Plans the placement of one service.
///
/// ```
/// use trefoil_placement::{Planner, objective::Objective};
///
/// let planner = Planner::new(Objective::default()).churn_budget(0.02).group_size(8);
/// assert_eq!(planner, planner.clone());
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Planner {
    objective: Objective,
    churn_budget: f64,
    group_size: usize,
    slow_start: SlowStart,
    move_order: MoveOrder,
}

impl Planner {
    /// A planner with a churn budget of 20% for each plan and groups of 16 standbys.
    ///
    /// When the 20 hottest keys change, their moves take up to 8% of churn, because half of the
    /// churn is load. A budget of 5% stretched them over two windows (docs/experiments.md, round
    /// 4).
    pub fn new(objective: Objective) -> Self {
        Self {
            objective,
            churn_budget: 0.2,
            group_size: 16,
            slow_start: SlowStart::default(),
            move_order: MoveOrder::default(),
        }
    }

    /// Sets the largest churn of one plan, as a share (see [`crate::objective`]). Forced moves use
    /// it up first and are made even beyond it.
    #[must_use]
    pub fn churn_budget(mut self, share: f64) -> Self {
        self.churn_budget = share;
        self
    }

    /// Sets the largest number of members that are standbys of one owner, at least 1.
    #[must_use]
    pub fn group_size(mut self, members: usize) -> Self {
        self.group_size = members.max(1);
        self
    }

    /// Sets how the share of a joining member grows.
    #[must_use]
    pub fn slow_start(mut self, slow_start: SlowStart) -> Self {
        self.slow_start = slow_start;
        self
    }

    /// Sets which move is made first.
    #[must_use]
    pub fn move_order(mut self, move_order: MoveOrder) -> Self {
        self.move_order = move_order;
        self
    }

    /// Makes a plan.
    ///
    /// # Errors
    ///
    /// Fails if the input's lists do not fit the table, or if no member can own shards.
    pub fn plan(&self, input: &PlanInput<'_>) -> Result<Plan, PlanError> {
        let mut draft = Draft::new(self, input)?;
        let before = draft.cost();
        draft.place_forced();
        let forced = draft.churn;
        let keys = draft.keys;
        let limit = match forced {
            none if none <= 0.0 => balance::Limit {
                churn: self.churn_budget,
                keys: f64::INFINITY,
            },
            _ => balance::Limit {
                churn: (self.churn_budget - forced).clamp(0.0, BALANCE_ALLOWANCE * forced),
                keys: BALANCE_ALLOWANCE * keys,
            },
        };
        balance::balance(&mut draft, limit);
        draft.drop_entries();
        standby::repair(&mut draft, self.group_size);
        let after = Cost {
            churn: draft.churn,
            ..draft.cost()
        };
        Ok(Plan {
            before,
            after,
            forced,
            chosen: draft.churn - forced,
            ..emit::emit(&draft)
        })
    }
}
