//! Ownership of key ranges.

mod claim;
mod coordinator;
mod planner;
mod property;
mod simulation;
mod table;
