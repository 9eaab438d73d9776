//! What hosts know of each other and of the keys, without a network.

mod balance;
mod bounds;
mod budget;
mod directory;
mod peers;
mod routes;
