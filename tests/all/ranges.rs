//! Ownership of key ranges.

mod planner;
mod property;
mod steward;
mod table;
mod world;
