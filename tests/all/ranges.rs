//! Ownership of key ranges.

mod coordinator;
mod planner;
mod property;
mod simulation;
mod table;
