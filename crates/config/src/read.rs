//! Reading a document so that all its mistakes are found in one pass of the operator.
//!
//! serde-saphyr's `garde` feature places validation errors, but it stops at the first value of a
//! wrong type, and so does every derived `Deserialize`. A file with five mistakes would then take
//! five runs to correct. This module deserializes the same tree repeatedly instead: each mistake is
//! recorded and its value replaced by the value at the same path of a valid sample document, until
//! the rest of the tree deserializes. Declared bounds and the checks across fields then run on the
//! typed value, and findings that depend on a replaced value are dropped.
//!
//! After a syntax error, the part before it is checked in the same way, except for what the rest of
//! the file may contain: missing fields, and the lengths of mappings and lists that are incomplete.
//!
//! Every repetition removes or renames an unknown entry or replaces a path that was not replaced
//! before, so the loop ends.

use std::str::FromStr;

use garde::Validate;
use serde::de::DeserializeOwned;
use strsim::damerau_levenshtein;

use crate::de::{Error, Kind};
use crate::findings::{Finding, Findings, Location};
use crate::path::{Path, Segment};
use crate::tree::{Entry, Node, Value, parse};

/// Most mistakes of form that are collected from one file. Each one costs another pass over the
/// tree, and a file with more is more likely a file of another kind.
const MISTAKES_MAX: usize = 100;

/// A type that is read from a file.
pub(crate) trait Document: DeserializeOwned + Validate<Context = ()> {
    /// A valid document in which every field is written out and every list has one element.
    const SAMPLE: &'static str;

    /// Checks that involve several fields.
    fn check(&self, checks: &mut Checks<'_>);
}

/// The findings of the checks across fields of one document.
pub(crate) struct Checks<'a> {
    tree: &'a Node,
    /// Paths whose values come from the sample, not from the file.
    replaced: &'a [Path],
    /// Paths of mappings and lists that are incomplete.
    open: &'a [Path],
    list: &'a mut Vec<Finding>,
}

impl Checks<'_> {
    /// Reports a mistake in the value at `path`.
    pub(crate) fn report<M>(&mut self, path: &Path, message: M)
    where
        M: Into<String>,
    {
        self.report_with(path, &[], message);
    }

    /// Reports a mistake in the value at `path` that follows from the values at `others` too.
    pub(crate) fn report_with<M>(&mut self, path: &Path, others: &[Path], message: M)
    where
        M: Into<String>,
    {
        let own = self.replaced.iter().any(|r| path.starts_with(r)) || self.open.contains(path);
        let overlaps = |o: &Path| {
            self.replaced
                .iter()
                .any(|r| o.starts_with(r) || r.starts_with(o))
        };
        let related = others.iter().any(|o| overlaps(o) || self.open.contains(o));
        if !own && !related {
            self.list.push(Finding {
                location: self.tree.place_of(path).clone(),
                path: path.clone(),
                message: message.into(),
            });
        }
    }

    /// The path as the file writes it, for a path with Rust field names.
    fn written(&self, path: &Path) -> Path {
        let mut known = Path::root();
        for step in path.segments() {
            known = match (step, self.tree.get(&known).map(|n| &n.value)) {
                // garde counts the fields of a variant where the file names the variant.
                (Segment::Index(_), Some(Value::Map(entries))) if entries.len() == 1 => {
                    known.key(&entries[0].key)
                }
                (Segment::Key(key), _) => known.key(&key.replace('_', "-")),
                (Segment::Index(i), _) => known.index(*i),
            };
        }
        known
    }
}

/// Reads a document from the text of a file.
pub(crate) fn read<T>(text: &str, file: &str) -> Result<T, Findings>
where
    T: Document,
{
    read_with(text, file, |_| Vec::new())
}

/// Reads a document after `change` was applied to its tree.
pub(crate) fn read_with<T, F>(text: &str, file: &str, change: F) -> Result<T, Findings>
where
    T: Document,
    F: FnOnce(&mut Node) -> Vec<Finding>,
{
    let mut list = Vec::new();
    let Some(parsed) = parse(text, file, &mut list) else {
        return Err(Findings::new(list));
    };
    let mut tree = parsed.root;
    list.extend(change(&mut tree));
    let mut reader = Reader {
        tree,
        sample: sample::<T>(),
        replaced: Vec::new(),
        open: parsed.open,
        list,
    };
    for path in parsed.unusable {
        // An unknown field stays, and is reported as such.
        if reader.sample.get(&in_sample(&path)).is_some() {
            reader.replace(path);
        }
    }
    let value = reader.deserialize::<T>();
    let Reader {
        tree,
        replaced,
        open,
        mut list,
        ..
    } = reader;
    if let Some(value) = &value {
        let mut checks = Checks {
            tree: &tree,
            replaced: &replaced,
            open: &open,
            list: &mut list,
        };
        validate(value, &mut checks);
    }
    match value {
        Some(value) if list.is_empty() => Ok(value),
        _ => Err(Findings::new(list)),
    }
}

/// Checks a value that a program built. `source` stands for the file name in findings.
pub(crate) fn check<T>(value: &T, source: &str) -> Result<(), Findings>
where
    T: Document,
{
    let mut list = Vec::new();
    let mut checks = Checks {
        tree: &Node::empty(Location::without_position(source)),
        replaced: &[],
        open: &[],
        list: &mut list,
    };
    validate(value, &mut checks);
    if list.is_empty() {
        Ok(())
    } else {
        Err(Findings::new(list))
    }
}

fn validate<T>(value: &T, checks: &mut Checks<'_>)
where
    T: Document,
{
    let report = value.validate().err();
    for (path, error) in report.iter().flat_map(garde::Report::iter) {
        let rust = Path::from_str(&path.to_string()).unwrap_or_default();
        let written = checks.written(&rust);
        let message = bound(error.message());
        let message = match &checks.tree.get(&written).map(|n| &n.value) {
            Some(Value::Scalar { text, .. }) if message.starts_with("must be at") => {
                format!("is {text}, {message}")
            }
            _ => message,
        };
        checks.report(&written, message);
    }
    value.check(checks);
}

/// Says what a bound demands, where garde says how it is violated.
fn bound(message: &str) -> String {
    message
        .replace("length is lower than", "length must be at least")
        .replace("length is greater than", "length must be at most")
        .replace("lower than", "must be at least")
        .replace("greater than", "must be at most")
}

/// The sample document. Its own text has no mistakes, which the tests check with every document
/// that lacks a field.
fn sample<T>() -> Node
where
    T: Document,
{
    let parsed = parse(T::SAMPLE, "sample", &mut Vec::new());
    parsed.map_or_else(
        || Node::empty(Location::without_position("sample")),
        |p| p.root,
    )
}

/// A document on the way to its type.
struct Reader {
    tree: Node,
    sample: Node,
    replaced: Vec<Path>,
    open: Vec<Path>,
    list: Vec<Finding>,
}

impl Reader {
    fn deserialize<T>(&mut self) -> Option<T>
    where
        T: Document,
    {
        for _ in 0..MISTAKES_MAX {
            match T::deserialize(&self.tree) {
                Ok(value) => return Some(value),
                Err(error) => {
                    if !self.record(error) {
                        return None;
                    }
                }
            }
        }
        self.list.push(Finding {
            location: self.tree.location.clone(),
            path: Path::root(),
            message: format!("has more than {MISTAKES_MAX} mistakes, the rest is not listed"),
        });
        None
    }

    /// Lists a mistake and changes the tree so that it does not occur again. Returns false if the
    /// rest of the document cannot be checked.
    fn record(&mut self, error: Error) -> bool {
        let key = error
            .in_key
            .then(|| self.tree.key_place(&error.path))
            .flatten();
        let location = key
            .unwrap_or_else(|| self.tree.place_of(&error.path))
            .clone();
        let Error {
            path,
            kind,
            message,
            in_key,
        } = error;
        match kind {
            Kind::Missing(field) => {
                let below = path.key(field);
                // The field may come after the syntax error.
                if !self.open.contains(&path) {
                    self.add(&location, &below, message);
                }
                self.fill(&path, below, field, location)
            }
            Kind::Unknown => {
                if let (Some(name), Some(Segment::Key(key))) =
                    (self.similar(&path), path.segments().last())
                {
                    let hint = format!("unknown field \"{key}\", did you mean \"{name}\"?");
                    self.add(&location, &path, hint);
                    rename(&mut self.tree, &path, &name)
                } else {
                    self.add(&location, &path, message);
                    remove(&mut self.tree, &path)
                }
            }
            Kind::Value => {
                // An incomplete mapping or list may be the result of the syntax error.
                if !self.open.contains(&path) {
                    self.add(&location, &path, message);
                }
                // A mistake in the name of a variant is one in the value that holds it.
                let value = if in_key { path.parent() } else { Some(path) };
                value.is_some_and(|value| self.replace(value))
            }
        }
    }

    fn add(&mut self, location: &Location, path: &Path, message: String) {
        self.list.push(Finding {
            location: location.clone(),
            path: path.clone(),
            message,
        });
    }

    /// Adds a missing field from the sample.
    fn fill(&mut self, parent: &Path, path: Path, field: &str, location: Location) -> bool {
        let value = self.sample.get(&in_sample(&path)).cloned();
        match (value, self.tree.get_mut(parent)) {
            (Some(value), Some(node)) if !self.replaced.contains(&path) => {
                self.replaced.push(path);
                insert(node, field, location, value)
            }
            _ => false,
        }
    }

    /// Replaces the value at `path`, or its closest ancestor that the sample has and that was not
    /// replaced before.
    fn replace(&mut self, path: Path) -> bool {
        let mut next = Some(path);
        while let Some(path) = next.filter(|path| !path.is_root()) {
            let value = self.sample.get(&in_sample(&path));
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

    /// The absent field whose name is close to the unknown key at the end of `path`. Without this,
    /// a misspelt required field would be reported as missing too, and its value not be checked.
    fn similar(&self, path: &Path) -> Option<String> {
        let parent = path.parent()?;
        let Some(Segment::Key(key)) = path.segments().last() else {
            return None;
        };
        let Value::Map(fields) = &self.sample.get(&in_sample(&parent))?.value else {
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

/// The path of the corresponding value in a sample, whose lists have one element.
fn in_sample(path: &Path) -> Path {
    path.segments()
        .iter()
        .fold(Path::root(), |path, step| match step {
            Segment::Key(_) => path.join(step.clone()),
            Segment::Index(_) => path.index(0),
        })
}

fn rename(tree: &mut Node, path: &Path, name: &str) -> bool {
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

fn remove(tree: &mut Node, path: &Path) -> bool {
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

/// Adds an entry to a mapping, and says whether the node was one.
pub(crate) fn insert(node: &mut Node, key: &str, location: Location, value: Node) -> bool {
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
