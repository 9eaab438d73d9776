//! Assignment of shards to upstreams, and the planner that changes it.
//!
//! Every function is a pure function of its inputs: the crate does no I/O and reads no clock. The
//! [`Table`] of a service changes only through [`Change`] records from the log, so all hosts that
//! replay the same records hold the same table.
//!
//! One host measures load with a [`Meter`], makes a [`Plan`] with a [`Planner`] and appends the
//! plan's changes to the log. A [`Recorder`] collects the data of the [`Report`]. Only the planning
//! host computes with floating-point numbers. The other hosts replay integers, so rounding cannot
//! make their tables differ.
//!
//! The design does not fix the terms of the objective, the time over which a move has to pay off,
//! or the unit of the churn budget. [`objective`] and [`planner`] document the chosen definitions,
//! [`compare`] measures them, and docs/experiments.md has the results.

pub mod baseline;
pub mod changes;
pub mod compare;
pub mod load;
pub mod member;
pub mod objective;
pub mod planner;
pub mod reason;
pub mod report;
pub mod sketch;
pub mod table;

pub use baseline::PlacementStrategy;
pub use changes::create_by_rendezvous;
pub use load::{KeyLoad, Load, Meter};
pub use member::{Domain, MemberInfo, MemberState, SlowStart};
pub use objective::{Cost, Objective};
pub use planner::{Plan, PlanError, PlanInput, Planner};
pub use reason::{PlannedMove, Reason, Unit};
pub use report::{Recorder, Report, WindowSample};
pub use sketch::{HotKey, HotKeys};
pub use table::{
    Change, HOT_KEYS_MAX, HotMove, Member, Move, Replacement, ReplicaSet, Table, TableError,
};
