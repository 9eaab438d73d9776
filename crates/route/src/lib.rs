//! Routing by host and path prefix.
//!
//! An operator publishes a complete [`Config`] under a version, and [`Router`] indexes it. A
//! request takes the route with the longest matching prefix among those of its host; the cost of a
//! lookup does not depend on the number of routes. A route with several services distributes its
//! requests by weight. [`Spread`] keeps the distribution even over short times, because the users
//! judge the shares over short times as well.

mod config;
mod router;
mod spread;

pub use config::{
    Config, Delivery, Idempotency, Limits, Priority, Route, RouteName, Service, Target, Version,
    WarmupLimit,
};
pub use router::Router;
pub use spread::Spread;
