//! Placement plans of the daemon: what is planned, how it is written and what is reported.

mod chain;
mod even;
mod load;
mod needed;
mod report;
mod small;
mod takeovers;
mod world;
