//! Deserialization and validation of a document with recovery, so that one run reports all errors.
//!
//! serde-saphyr's `garde` feature gives validation errors a location, but it stops at the first
//! value of a wrong type, as every derived `Deserialize` does. An operator would need five runs to
//! correct a file with five errors. This module instead deserializes the same tree repeatedly: it
//! records each error and replaces the invalid value by the value at the same path of a valid
//! sample document, until the whole tree deserializes. The declared bounds and the checks across
//! fields then run on the typed value. Findings that depend on a replaced value are dropped.
//!
//! After a syntax error, the part before it is validated in this way too. Missing fields and the
//! lengths of incomplete mappings and lists are not reported then, because the rest of the file may
//! contain them.
//!
//! The loop terminates: every iteration removes or renames an unknown entry, or replaces a path
//! that was not replaced before.

use std::str::FromStr;

use garde::Validate;
use serde::de::DeserializeOwned;
use strsim::damerau_levenshtein;

use crate::de::{Error, ErrorKind};
use crate::findings::{Finding, Findings, Location};
use crate::path::{Path, Segment};
use crate::tree::{Entry, Node, Value, parse};

/// Maximum number of deserialization errors that are collected from one file. Each one costs
/// another pass over the tree, and a file with more is probably a file of another kind.
const ERRORS_MAX: usize = 100;

/// A type that is deserialized from a YAML file and validated.
pub(crate) trait Document: DeserializeOwned + Validate<Context = ()> {
    /// A valid document that contains every field, and in which every list has one element. Its
    /// values replace invalid ones during recovery.
    const SAMPLE: &'static str;

    /// Runs the checks that involve several fields.
    fn check(&self, validator: &mut Validator<'_>);
}

/// Collects the findings of validation, and drops those that depend on a replaced value.
pub(crate) struct Validator<'a> {
    tree: &'a Node,
    /// Paths whose values were taken from the sample.
    replaced: &'a [Path],
    /// Paths of mappings and lists that a syntax error left incomplete.
    incomplete: &'a [Path],
    findings: &'a mut Vec<Finding>,
}

impl Validator<'_> {
    /// Reports an error in the value at `path`.
    pub(crate) fn report<M>(&mut self, path: &Path, message: M)
    where
        M: Into<String>,
    {
        self.report_with(path, &[], message);
    }

    /// Reports an error in the value at `path` that also depends on the values at `others`.
    pub(crate) fn report_with<M>(&mut self, path: &Path, others: &[Path], message: M)
    where
        M: Into<String>,
    {
        let is_affected =
            self.replaced.iter().any(|r| path.starts_with(r)) || self.incomplete.contains(path);
        let overlaps = |o: &Path| {
            self.replaced
                .iter()
                .any(|r| o.starts_with(r) || r.starts_with(o))
        };
        let others_affected = others
            .iter()
            .any(|o| overlaps(o) || self.incomplete.contains(o));
        if !is_affected && !others_affected {
            self.findings.push(Finding {
                location: self.tree.location_of(path).clone(),
                path: path.clone(),
                message: message.into(),
            });
        }
    }

    /// Converts a path of Rust field names, as garde reports it, to the keys of the file.
    fn source_path(&self, path: &Path) -> Path {
        let mut resolved = Path::root();
        for segment in path.segments() {
            resolved = match (segment, self.tree.get(&resolved).map(|n| &n.value)) {
                // garde gives the field index of an enum variant; the file has the variant's name.
                (Segment::Index(_), Some(Value::Map(entries))) if entries.len() == 1 => {
                    resolved.key(&entries[0].key)
                }
                (Segment::Key(key), _) => resolved.key(&key.replace('_', "-")),
                (Segment::Index(i), _) => resolved.index(*i),
            };
        }
        resolved
    }
}

/// Deserializes and validates the text of a file.
pub(crate) fn read<T>(text: &str, file: &str) -> Result<T, Findings>
where
    T: Document,
{
    read_with(text, file, |_| Vec::new())
}

/// Deserializes and validates the text of a file after `edit` has changed its tree.
pub(crate) fn read_with<T, F>(text: &str, file: &str, edit: F) -> Result<T, Findings>
where
    T: Document,
    F: FnOnce(&mut Node) -> Vec<Finding>,
{
    let mut findings = Vec::new();
    let Some(parsed) = parse(text, file, &mut findings) else {
        return Err(Findings::new(findings));
    };
    let mut tree = parsed.root;
    findings.extend(edit(&mut tree));
    let mut reader = Reader {
        tree,
        sample: sample::<T>(),
        replaced: Vec::new(),
        incomplete: parsed.incomplete,
        findings,
    };
    for path in parsed.rejected {
        // Values without a counterpart in the sample belong to unknown fields. They stay in the
        // tree, and deserialization reports the unknown field.
        if reader.sample.get(&sample_path(&path)).is_some() {
            reader.replace_invalid(path);
        }
    }
    let value = reader.deserialize::<T>();
    let Reader {
        tree,
        replaced,
        incomplete,
        mut findings,
        ..
    } = reader;
    if let Some(value) = &value {
        let mut validator = Validator {
            tree: &tree,
            replaced: &replaced,
            incomplete: &incomplete,
            findings: &mut findings,
        };
        collect_findings(value, &mut validator);
    }
    match value {
        Some(value) if findings.is_empty() => Ok(value),
        _ => Err(Findings::new(findings)),
    }
}

/// Validates a value that a program built. Findings have `source` in place of a file name.
pub(crate) fn validate_value<T>(value: &T, source: &str) -> Result<(), Findings>
where
    T: Document,
{
    let mut findings = Vec::new();
    let mut validator = Validator {
        tree: &Node::empty_map(Location::without_position(source)),
        replaced: &[],
        incomplete: &[],
        findings: &mut findings,
    };
    collect_findings(value, &mut validator);
    if findings.is_empty() {
        Ok(())
    } else {
        Err(Findings::new(findings))
    }
}

fn collect_findings<T>(value: &T, validator: &mut Validator<'_>)
where
    T: Document,
{
    let report = value.validate().err();
    for (path, error) in report.iter().flat_map(garde::Report::iter) {
        let field_path = Path::from_str(&path.to_string()).unwrap_or_default();
        let source_path = validator.source_path(&field_path);
        let message = bound_message(error.message());
        let message = match &validator.tree.get(&source_path).map(|n| &n.value) {
            Some(Value::Scalar { text, .. }) if message.starts_with("must be at") => {
                format!("is {text}, {message}")
            }
            _ => message,
        };
        validator.report(&source_path, message);
    }
    value.check(validator);
}

/// Rewords a message of garde, which states the violation, so that it states the required bound.
fn bound_message(message: &str) -> String {
    message
        .replace("length is lower than", "length must be at least")
        .replace("length is greater than", "length must be at most")
        .replace("lower than", "must be at least")
        .replace("greater than", "must be at most")
}

/// Parses the sample document. It is valid: the tests break each value of a full document in turn
/// and expect one finding, which fails for a field that the sample lacks.
fn sample<T>() -> Node
where
    T: Document,
{
    let parsed = parse(T::SAMPLE, "sample", &mut Vec::new());
    parsed.map_or_else(
        || Node::empty_map(Location::without_position("sample")),
        |p| p.root,
    )
}

/// State of the recovery loop.
struct Reader {
    tree: Node,
    sample: Node,
    replaced: Vec<Path>,
    incomplete: Vec<Path>,
    findings: Vec<Finding>,
}

impl Reader {
    fn deserialize<T>(&mut self) -> Option<T>
    where
        T: Document,
    {
        for _ in 0..ERRORS_MAX {
            match T::deserialize(&self.tree) {
                Ok(value) => return Some(value),
                Err(error) => {
                    if !self.recover(error) {
                        return None;
                    }
                }
            }
        }
        self.findings.push(Finding {
            location: self.tree.location.clone(),
            path: Path::root(),
            message: format!("has more than {ERRORS_MAX} mistakes, the rest is not listed"),
        });
        None
    }

    /// Records a deserialization error and changes the tree so that it does not recur. Returns
    /// false if recovery is impossible and the rest of the document cannot be checked.
    fn recover(&mut self, error: Error) -> bool {
        let key_location = error
            .in_key
            .then(|| self.tree.key_location(&error.path))
            .flatten();
        let location = key_location
            .unwrap_or_else(|| self.tree.location_of(&error.path))
            .clone();
        let Error {
            path,
            kind,
            message,
            in_key,
        } = error;
        match kind {
            ErrorKind::MissingField(field) => {
                let field_path = path.key(field);
                // In an incomplete mapping, the field may follow the syntax error.
                if !self.incomplete.contains(&path) {
                    self.add_finding(&location, &field_path, message);
                }
                self.insert_missing(&path, field_path, field, location)
            }
            ErrorKind::UnknownField => {
                if let (Some(name), Some(Segment::Key(key))) =
                    (self.similar_field(&path), path.segments().last())
                {
                    let hint = format!("unknown field \"{key}\", did you mean \"{name}\"?");
                    self.add_finding(&location, &path, hint);
                    rename_key(&mut self.tree, &path, &name)
                } else {
                    self.add_finding(&location, &path, message);
                    remove_key(&mut self.tree, &path)
                }
            }
            ErrorKind::InvalidValue => {
                // The value of an incomplete mapping or list may be invalid only because it is
                // cut off.
                if !self.incomplete.contains(&path) {
                    self.add_finding(&location, &path, message);
                }
                // For an invalid variant name, the enclosing value is replaced.
                let value = if in_key { path.parent() } else { Some(path) };
                value.is_some_and(|value| self.replace_invalid(value))
            }
        }
    }

    fn add_finding(&mut self, location: &Location, path: &Path, message: String) {
        self.findings.push(Finding {
            location: location.clone(),
            path: path.clone(),
            message,
        });
    }

    /// Inserts a missing field with its value from the sample.
    fn insert_missing(
        &mut self,
        parent: &Path,
        path: Path,
        field: &str,
        location: Location,
    ) -> bool {
        let value = self.sample.get(&sample_path(&path)).cloned();
        match (value, self.tree.get_mut(parent)) {
            (Some(value), Some(node)) if !self.replaced.contains(&path) => {
                self.replaced.push(path);
                set_entry(node, field, location, value)
            }
            _ => false,
        }
    }

    /// Replaces the value at `path` by that of the sample. If the sample has no such path or it was
    /// replaced before, the closest ancestor without this problem is replaced.
    fn replace_invalid(&mut self, path: Path) -> bool {
        let mut next = Some(path);
        while let Some(path) = next.filter(|path| !path.is_root()) {
            let value = self.sample.get(&sample_path(&path));
            match (value, self.tree.get_mut(&path)) {
                (Some(value), Some(node)) if !self.replaced.contains(&path) => {
                    node.value = value.value.clone();
                    self.replaced.push(path);
                    return true;
                }
                _ => next = path.parent(),
            }
        }
        false
    }

    /// Finds an absent field whose name is similar to the unknown key at the end of `path`. Without
    /// it, a misspelt required field would also be reported as missing, and its value would not be
    /// checked.
    fn similar_field(&self, path: &Path) -> Option<String> {
        let parent = path.parent()?;
        let Some(Segment::Key(key)) = path.segments().last() else {
            return None;
        };
        let Value::Map(fields) = &self.sample.get(&sample_path(&parent))?.value else {
            return None;
        };
        let absent = fields
            .iter()
            .filter(|field| self.tree.get(&parent.key(&field.key)).is_none());
        let ranked = absent.map(|field| (damerau_levenshtein(key, &field.key), &field.key));
        let close = ranked.filter(|(distance, name)| *distance <= 2 && *distance < name.len() / 2);
        close.min().map(|(_, name)| name.clone())
    }
}

/// Returns the corresponding path in a sample, whose lists have one element each.
fn sample_path(path: &Path) -> Path {
    path.segments()
        .iter()
        .fold(Path::root(), |path, segment| match segment {
            Segment::Key(_) => path.join(segment.clone()),
            Segment::Index(_) => path.index(0),
        })
}

fn rename_key(tree: &mut Node, path: &Path, name: &str) -> bool {
    let parent = path.parent().and_then(|parent| tree.get_mut(&parent));
    let (Some(Value::Map(entries)), Some(Segment::Key(key))) =
        (parent.map(|node| &mut node.value), path.segments().last())
    else {
        return false;
    };
    match entries.iter_mut().find(|entry| &entry.key == key) {
        Some(entry) => {
            name.clone_into(&mut entry.key);
            true
        }
        None => false,
    }
}

fn remove_key(tree: &mut Node, path: &Path) -> bool {
    let parent = path.parent().and_then(|parent| tree.get_mut(&parent));
    match (parent.map(|node| &mut node.value), path.segments().last()) {
        (Some(Value::Map(entries)), Some(Segment::Key(key))) => {
            let before = entries.len();
            entries.retain(|entry| &entry.key != key);
            entries.len() < before
        }
        _ => false,
    }
}

/// Sets an entry of a mapping. Returns false if the node is not a mapping.
pub(crate) fn set_entry(node: &mut Node, key: &str, location: Location, value: Node) -> bool {
    match &mut node.value {
        Value::Map(entries) => {
            entries.retain(|entry| entry.key != key);
            entries.push(Entry {
                key: key.to_owned(),
                location,
                value,
            });
            true
        }
        _ => false,
    }
}
