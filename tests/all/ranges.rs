//! Ownership of key ranges.

mod coordinator;
mod planner;
mod property;
mod table;
mod world;
