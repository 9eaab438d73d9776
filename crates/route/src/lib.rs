//! Routes by host and path prefix.
//!
//! An operator publishes the whole [`Config`] under a version. [`Router`] is its index: the route of
//! a request is the one with the longest prefix among those of its host, whatever the number of
//! routes. A route that names several services spreads its requests by weight; [`Spread`] does so
//! evenly over short times, because the shares are also judged over short times.

mod config;
mod router;
mod spread;

pub use config::{
    Config, Idempotency, Limits, Priority, Route, RouteName, Service, Target, Version,
};
pub use router::Router;
pub use spread::Spread;
