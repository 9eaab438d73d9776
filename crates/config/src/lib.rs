//! Routing resources and daemon settings.
//!
//! Operators declare what is routed in a [`Routing`] resource. It is parsed from YAML, validated,
//! and published on the log in its typed form, so that replay never parses YAML.

pub mod resource;

pub use resource::{
    Deadlines, Key, Limits, Methods, Routing, RoutingSpec, Service, Upstream, Weights,
};
