//! Settings from the environment and from flags.

use crate::findings::{Finding, Location};
use crate::path::Path;
use crate::read::insert;
use crate::tree::{Node, Value};

/// Prefix of the environment variables of all trefoilcart programs.
const PREFIX: &str = "TREFOIL_";

/// Variables of `trefoilctl`, which a daemon's environment may also have.
const CLIENT: [&str; 2] = ["TREFOIL_OPERATOR_KEY", "TREFOIL_SERVER"];

/// Paths of the settings that can be overridden. Lists are given with commas between elements.
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

/// Settings that are lists.
const LISTS: [&str; 3] = ["seeds", "keys.operators", "keys.hosts"];

/// The environment variable of a setting: `TREFOIL_PLATFORM_LOG` for `platform.log`.
pub fn variable_name(setting: &str) -> String {
    format!(
        "{PREFIX}{}",
        setting.replace(['.', '-'], "_").to_uppercase()
    )
}

/// The flag of a setting without its dashes: `platform-log` for `platform.log`.
pub fn flag_name(setting: &str) -> String {
    setting.replace('.', "-")
}

/// Values that override those of the settings file. Flags override environment variables.
#[derive(Debug, Clone, Default)]
pub struct Overrides {
    variables: Vec<(String, String)>,
    flags: Vec<(String, String)>,
}

impl Overrides {
    /// No overrides.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the variables whose names start with `TREFOIL_`, as from [`std::env::vars`].
    #[must_use]
    pub fn variables<I>(mut self, all: I) -> Self
    where
        I: IntoIterator<Item = (String, String)>,
    {
        let own = |(name, _): &(String, String)| {
            name.starts_with(PREFIX) && !CLIENT.contains(&name.as_str())
        };
        self.variables.extend(all.into_iter().filter(own));
        self
    }

    /// Takes the value of a flag, by the path of its setting.
    #[must_use]
    pub fn flag(mut self, setting: &str, value: &str) -> Self {
        self.flags.push((setting.to_owned(), value.to_owned()));
        self
    }

    /// Changes a document, and reports variables and flags that belong to no setting.
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
                Some(setting) => set(tree, setting, &location, value),
                None => findings.push(unknown(location)),
            }
        }
        for (name, value) in &self.flags {
            let location = Location::without_position(&format!("--{}", flag_name(name)));
            match SETTING_PATHS.iter().find(|setting| *setting == name) {
                Some(setting) => set(tree, setting, &location, value),
                None => findings.push(unknown(location)),
            }
        }
        findings
    }
}

fn unknown(location: Location) -> Finding {
    Finding {
        location,
        path: Path::root(),
        message: "belongs to no setting".to_owned(),
    }
}

fn set(tree: &mut Node, setting: &str, location: &Location, text: &str) {
    let one = |part| Node::text(location.clone(), part);
    let value = if LISTS.contains(&setting) {
        let parts = text.split(',').map(str::trim);
        Node {
            location: location.clone(),
            value: Value::List(parts.filter(|part| !part.is_empty()).map(one).collect()),
        }
    } else {
        one(text)
    };
    let Some((section, key)) = setting.split_once('.') else {
        insert(tree, setting, location.clone(), value);
        return;
    };
    let path = Path::root().key(section);
    if tree.get(&path).is_none_or(Node::is_null) {
        insert(
            tree,
            section,
            location.clone(),
            Node::empty(location.clone()),
        );
    }
    // A section that is no mapping stays as it is and is reported when the document is read.
    if let Some(node) = tree.get_mut(&path) {
        insert(node, key, location.clone(), value);
    }
}
