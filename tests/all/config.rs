//! Tests of `trefoil-config` and of `trefoilctl`.

mod cli;
mod examples;
mod properties;
mod routing;
mod settings;

/// A valid resource that tests change.
const ROUTING: &str = include_str!("config/files/routing.yaml");

/// Valid settings that tests change.
const SETTINGS: &str = include_str!("config/files/settings.yaml");

/// Replaces the only occurrence of `from`, so that a test cannot pass because nothing was changed.
fn changed(text: &str, from: &str, to: &str) -> String {
    assert_eq!(text.matches(from).count(), 1, "{from:?} must occur once");
    text.replace(from, to)
}
