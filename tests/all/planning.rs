//! Tests of the daemon's planner: planned changes, their records, load collection and the report.

mod balance;
mod chain;
mod cluster;
mod load;
mod report;
mod required;
mod takeovers;
mod world;
