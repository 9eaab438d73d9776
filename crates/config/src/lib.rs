//! Routing resources and daemon settings.
//!
//! Operators declare services and their upstreams in a [`Routing`] resource. It is parsed from
//! YAML, validated, and published on the log in its typed form, so that replay never parses YAML.
//! The [`Settings`] of a daemon are parsed and validated by the same code; environment variables
//! and flags override them.
//!
//! Validation reports all errors of a file together as [`Findings`]. Each has the file, line and
//! column, and the path of the value. The module `read` describes the algorithm.

mod de;
pub mod findings;
pub mod key;
pub mod path;
mod read;
pub mod resource;
pub mod serve;
pub mod settings;
mod tree;

pub use findings::{Finding, Findings, Location};
pub use key::PublicKey;
pub use path::{Path, Segment};
pub use resource::{
    Deadlines, Key, Limits, Methods, Routing, RoutingSpec, Service, Upstream, Weights,
};
pub use serve::{BoundSettings, ServeSettings};
pub use settings::{LogLevel, Overrides, Settings, SettingsBuilder};
pub use tree::DOCUMENT_SIZE_MAX;
