//! The planner: computes changes of a table from its members and load.
//!
//! A plan is made in five steps, each on the result of the one before:
//!
//! 1. Members that were lost since the last plan are recorded, which promotes their standbys.
//! 2. Units (shards and hot keys) whose owner is lost or leaving get a new owner. These moves are
//!    *forced*: they are made independently of the weights and the churn budget, because no member
//!    would serve the keys otherwise.
//! 3. Units move from members with high utilization to members with low utilization, each only if
//!    it gains more than its churn costs, and all together within the churn budget.
//! 4. Hot-key entries that have the same owner as their shard are dropped.
//! 5. Standbys are repaired: each is in another failure domain than its owner, and the standbys of
//!    one owner form a group of bounded size, so that the loss of a server spreads its load over
//!    several members but affects few.
//!
//! A plan that has forced moves spends at most [`BALANCE_ALLOWANCE`] times their churn on balance.
//! This bounds the churn on the loss of a server to 1.2 times the minimum.
//!
//! A plan has several changes if it does not fit one log record. The table is valid after each of
//! them, so if a concurrent planner interrupts the plan, the next plan makes the remaining changes.

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

/// Churn that a plan with forced moves may spend on balance, as a fraction of their churn.
pub const BALANCE_ALLOWANCE: f64 = 0.2;

/// The input of a plan.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// The table.
    pub table: &'a Table,
    /// State and capacity of each member of the table, in the order of the member list.
    pub members: &'a [MemberInfo],
    /// Load of the last measure window.
    pub load: &'a Load,
}

/// Error of an input for which no plan can be made.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum PlanError {
    /// The input does not describe each member of the table.
    #[snafu(display("the input must describe the {expected} members of the table, found {found}"))]
    MemberCountMismatch {
        /// Members in the input.
        found: usize,
        /// Members of the table.
        expected: usize,
    },
    /// The input does not have one load for each shard.
    #[snafu(display("the input must have the load of {expected} shards, found {found}"))]
    LoadCountMismatch {
        /// Loads in the input.
        found: usize,
        /// Shards of the table.
        expected: usize,
    },
    /// All members are lost or leaving.
    #[snafu(display("the table must have a member that is not lost or leaving, found none"))]
    NoEligibleMember,
}

/// Changes of a table and the reasons for them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The changes, in the order in which they must be applied.
    pub changes: Vec<Change>,
    /// All moves, including the promotions that result from [`Change::Lost`].
    pub moves: Vec<PlannedMove>,
    /// Terms of the objective after the losses are recorded and before any other change.
    pub before: Cost,
    /// Terms of the objective after the plan.
    pub after: Cost,
    /// Churn of the forced moves.
    pub forced: f64,
    /// Churn of the moves that were chosen for balance.
    pub chosen: f64,
}

impl Plan {
    /// Returns true if the plan has no changes.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

/// Order in which the planner makes the moves that gain more than their price.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MoveOrder {
    /// Greatest difference of gain and price first. This evens out a difference of load with few
    /// moves.
    #[default]
    Net,
    /// Greatest net gain per churn first, as in the first version. This prefers hot keys whose load
    /// is too small to even out the difference, and needs more moves.
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
    /// Creates a planner with a churn budget of 20% for each plan and groups of 16 standbys.
    ///
    /// When the 20 hottest keys change, their moves take up to 8% of churn, because half of the
    /// churn is load. A budget of 5% spread these moves over two windows (docs/experiments.md,
    /// round 4).
    pub fn new(objective: Objective) -> Self {
        Self {
            objective,
            churn_budget: 0.2,
            group_size: 16,
            slow_start: SlowStart::default(),
            move_order: MoveOrder::default(),
        }
    }

    /// Sets the largest churn of one plan, as a share (see [`crate::objective`]). Forced moves
    /// count against it first and may exceed it.
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

    /// Sets the slow start of joining members.
    #[must_use]
    pub fn slow_start(mut self, slow_start: SlowStart) -> Self {
        self.slow_start = slow_start;
        self
    }

    /// Sets the order in which moves are made.
    #[must_use]
    pub fn move_order(mut self, move_order: MoveOrder) -> Self {
        self.move_order = move_order;
        self
    }

    /// Computes a plan.
    ///
    /// # Errors
    ///
    /// Fails if the lengths of the input's lists differ from those of the table, or if all members
    /// are lost or leaving.
    pub fn plan(&self, input: &PlanInput<'_>) -> Result<Plan, PlanError> {
        let mut draft = Draft::new(self, input)?;
        let before = draft.cost();
        draft.place_forced();
        let forced = draft.churn;
        let keys = draft.keys;
        let budget = match forced {
            none if none <= 0.0 => balance::Budget {
                churn: self.churn_budget,
                keys: f64::INFINITY,
            },
            _ => balance::Budget {
                churn: (self.churn_budget - forced).clamp(0.0, BALANCE_ALLOWANCE * forced),
                keys: BALANCE_ALLOWANCE * keys,
            },
        };
        balance::balance(&mut draft, budget);
        draft.drop_unused_entries();
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
