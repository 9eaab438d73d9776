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
pub mod compare;
pub mod load;
pub mod member;
pub mod objective;
pub mod plan;
pub mod planner;
pub mod reason;
pub mod report;
pub mod sketch;
pub mod table;

pub use baseline::Placer;
pub use load::{KeyLoad, Load, Meter};
pub use member::{Domain, Profile, Ramp, State};
pub use objective::{Cost, Objective};
pub use plan::initial;
pub use planner::{Input, Plan, PlanError, Planner};
pub use reason::{Reason, Reasoned, Unit};
pub use report::{Recorder, Report, Sample};
pub use sketch::{HotKey, HotKeys};
pub use table::{Change, HOT_MAX, HotMove, Member, Move, Replacement, Seat, Table, TableError};
