//! Which upstream owns which shard.
//!
//! Everything here is a pure function of its inputs: the crate does no I/O and reads no clock. The
//! [`Table`] of a service changes only by [`Change`] records that come from the log, so all hosts
//! that replay the same records hold the same table.
//!
//! One host measures load with a [`Meter`], makes a [`Plan`] with a [`Planner`] and appends its
//! changes; a [`Recorder`] keeps what the [`Report`] shows. Only the planning host computes with
//! floating-point numbers. What the other hosts replay are integers, so rounding cannot make their
//! tables differ.
//!
//! The design leaves open what the terms of the objective are, over which time a move has to pay
//! off, and what the churn budget counts; [`objective`] and [`planner`] state what is chosen.
//! [`compare`] measures the choices, and docs/experiments.md has the figures.

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
