//! Overrides of settings by environment variables and flags.

use crate::findings::{Finding, Location};
use crate::path::Path;
use crate::read::set_entry;
use crate::tree::{Node, Value};

/// Prefix of the environment variables of all trefoilcart binaries.
const PREFIX: &str = "TREFOIL_";

/// Variables of `trefoilctl`. They may be present in a daemon's environment and are not settings.
const CLIENT_VARIABLES: [&str; 2] = ["TREFOIL_OPERATOR_KEY", "TREFOIL_SERVER"];

/// Paths of the settings that can be overridden. The elements of lists are separated by commas.
pub const SETTING_PATHS: [&str; 22] = [
    "name",
    "domain",
    "region",
    "caller",
    "peer",
    "operator",
    "seeds",
    "platform.log",
    "platform.hosts",
    "tls.authority",
    "tls.certificate",
    "tls.key",
    "keys.operators",
    "keys.hosts",
    "keys.signing",
    "snapshots.retention",
    "snapshots.records",
    "limits.header",
    "limits.headers",
    "limits.connections",
    "trace",
    "log-level",
];

/// Settings whose values are lists.
const LIST_SETTINGS: [&str; 3] = ["seeds", "keys.operators", "keys.hosts"];

/// Returns the environment variable of a setting: `TREFOIL_PLATFORM_LOG` for `platform.log`.
pub fn variable_name(setting: &str) -> String {
    format!(
        "{PREFIX}{}",
        setting.replace(['.', '-'], "_").to_uppercase()
    )
}

/// Returns the flag of a setting without leading dashes: `platform-log` for `platform.log`.
pub fn flag_name(setting: &str) -> String {
    setting.replace('.', "-")
}

/// Values that override those of the settings file. Flags take precedence over environment
/// variables.
#[derive(Debug, Clone, Default)]
pub struct Overrides {
    variables: Vec<(String, String)>,
    flags: Vec<(String, String)>,
}

impl Overrides {
    /// Returns an empty set of overrides.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the variables whose names start with `TREFOIL_` and that are not variables of
    /// `trefoilctl`, for example from [`std::env::vars`].
    #[must_use]
    pub fn variables<I>(mut self, all: I) -> Self
    where
        I: IntoIterator<Item = (String, String)>,
    {
        let is_setting = |(name, _): &(String, String)| {
            name.starts_with(PREFIX) && !CLIENT_VARIABLES.contains(&name.as_str())
        };
        self.variables.extend(all.into_iter().filter(is_setting));
        self
    }

    /// Adds the value of a flag, given the path of its setting.
    #[must_use]
    pub fn flag(mut self, setting: &str, value: &str) -> Self {
        self.flags.push((setting.to_owned(), value.to_owned()));
        self
    }

    /// Applies the overrides to a document. Returns findings for variables and flags that match no
    /// setting.
    pub(crate) fn apply(&self, tree: &mut Node) -> Vec<Finding> {
        if tree.is_null() {
            tree.value = Value::Map(Vec::new());
        }
        let mut findings = Vec::new();
        for (name, value) in &self.variables {
            let location = Location::without_position(name);
            match SETTING_PATHS
                .iter()
                .find(|setting| variable_name(setting) == *name)
            {
                Some(setting) => set_value(tree, setting, &location, value),
                None => findings.push(unknown_setting(location)),
            }
        }
        for (name, value) in &self.flags {
            let location = Location::without_position(&format!("--{}", flag_name(name)));
            match SETTING_PATHS.iter().find(|setting| *setting == name) {
                Some(setting) => set_value(tree, setting, &location, value),
                None => findings.push(unknown_setting(location)),
            }
        }
        findings
    }
}

fn unknown_setting(location: Location) -> Finding {
    Finding {
        location,
        path: Path::root(),
        message: "does not match any setting".to_owned(),
    }
}

fn set_value(tree: &mut Node, setting: &str, location: &Location, text: &str) {
    let scalar = |part| Node::scalar(location.clone(), part);
    let value = if LIST_SETTINGS.contains(&setting) {
        let parts = text.split(',').map(str::trim);
        Node {
            location: location.clone(),
            value: Value::List(parts.filter(|part| !part.is_empty()).map(scalar).collect()),
        }
    } else {
        scalar(text)
    };
    let Some((section, key)) = setting.split_once('.') else {
        set_entry(tree, setting, location.clone(), value);
        return;
    };
    let path = Path::root().key(section);
    if tree.get(&path).is_none_or(Node::is_null) {
        set_entry(
            tree,
            section,
            location.clone(),
            Node::empty_map(location.clone()),
        );
    }
    // A section that is not a mapping is left unchanged; deserialization reports it.
    if let Some(node) = tree.get_mut(&path) {
        set_entry(node, key, location.clone(), value);
    }
}
