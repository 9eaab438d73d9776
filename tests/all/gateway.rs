//! State and decisions of a gateway host, tested without a network.

mod balance;
mod bounds;
mod budget;
mod directory;
mod forward;
mod message;
mod peers;
mod pool;
mod routes;
