//! A syntax tree of a YAML document in which every node has its source location.
//!
//! The tree is built from the parser's events rather than through serde, because serde's data model
//! cannot carry locations and deserializing into a typed target stops at the first error. Scalars
//! keep their text, so that a name of digits remains a name.
//!
//! Aliases, tags and merge keys are rejected. Every value is then written where it applies, so that
//! each finding has exactly one location, and a small file cannot expand to a large document.
//!
//! After a syntax error, the part before it is kept, so that its errors are reported together with
//! the syntax error.

use std::sync::Arc;

use serde_saphyr::granit_parser::{Event, Marker, Options, Parser, ScalarStyle, Span, StrInput};

use crate::findings::{Finding, Location};
use crate::path::{Path, Segment};

/// Maximum size of a file, in bytes. It bounds the work on a file that is not a configuration. The
/// limit of a routing resource is lower, because it must fit into one log record.
pub const DOCUMENT_SIZE_MAX: usize = 1024 * 1024;

/// Maximum nesting depth. The documents of this crate have at most 6 levels.
const DEPTH_MAX: usize = 32;

/// A value with its source location.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Node {
    pub(crate) location: Location,
    pub(crate) value: Value,
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Value {
    Scalar {
        text: String,
        /// True if the scalar is unquoted. Quoted scalars are always text.
        plain: bool,
    },
    List(Vec<Node>),
    Map(Vec<Entry>),
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) location: Location,
    pub(crate) value: Node,
}

impl Node {
    /// Returns an unquoted null.
    fn null(location: Location) -> Self {
        let value = Value::Scalar {
            text: String::new(),
            plain: true,
        };
        Self { location, value }
    }

    /// Returns a mapping without entries.
    pub(crate) fn empty_map(location: Location) -> Self {
        Self {
            location,
            value: Value::Map(Vec::new()),
        }
    }

    /// Returns a scalar for a value that does not come from a file.
    pub(crate) fn scalar(location: Location, text: &str) -> Self {
        let value = Value::Scalar {
            text: text.to_owned(),
            plain: !text.is_empty(),
        };
        Self { location, value }
    }

    /// Returns true for an unquoted null.
    pub(crate) fn is_null(&self) -> bool {
        match &self.value {
            Value::Scalar { text, plain: true } => {
                matches!(text.as_str(), "" | "~" | "null" | "Null" | "NULL")
            }
            _ => false,
        }
    }

    /// Returns the child at `segment`. A key matches in its kebab-case and its `snake_case` form,
    /// because garde reports Rust field names.
    fn child(&self, segment: &Segment) -> Option<&Self> {
        match (&self.value, segment) {
            (Value::List(items), Segment::Index(i)) => items.get(*i),
            (Value::Map(entries), Segment::Key(key)) => entries
                .iter()
                .find(|e| same_key(&e.key, key))
                .map(|e| &e.value),
            _ => None,
        }
    }

    /// Returns the node at a path.
    pub(crate) fn get(&self, path: &Path) -> Option<&Self> {
        path.segments().iter().try_fold(self, Self::child)
    }

    /// Returns the node at a path for modification.
    pub(crate) fn get_mut(&mut self, path: &Path) -> Option<&mut Self> {
        path.segments()
            .iter()
            .try_fold(self, |node, segment| match (&mut node.value, segment) {
                (Value::List(items), Segment::Index(i)) => items.get_mut(*i),
                (Value::Map(entries), Segment::Key(key)) => entries
                    .iter_mut()
                    .find(|e| same_key(&e.key, key))
                    .map(|e| &mut e.value),
                _ => None,
            })
    }

    /// Returns the location of the value at a path, or of its closest ancestor in the tree.
    pub(crate) fn location_of(&self, path: &Path) -> &Location {
        let mut node = self;
        for segment in path.segments() {
            match node.child(segment) {
                Some(child) => node = child,
                None => break,
            }
        }
        &node.location
    }

    /// Returns the location of the key at the end of a path.
    pub(crate) fn key_location(&self, path: &Path) -> Option<&Location> {
        let parent = self.get(&path.parent()?)?;
        match (&parent.value, path.segments().last()?) {
            (Value::Map(entries), Segment::Key(key)) => {
                entries.iter().find(|e| &e.key == key).map(|e| &e.location)
            }
            _ => None,
        }
    }
}

fn same_key(a: &str, b: &str) -> bool {
    let fold = |c| if c == '_' { '-' } else { c };
    a.chars().map(fold).eq(b.chars().map(fold))
}

/// Result of parsing a text.
pub(crate) struct Parsed {
    /// The document, without the part after a syntax error.
    pub(crate) root: Node,
    /// Paths of the mappings and lists that a syntax error left incomplete.
    pub(crate) incomplete: Vec<Path>,
    /// Paths of values that were already reported and must not be checked again.
    pub(crate) rejected: Vec<Path>,
}

/// Parses one document and adds structural errors to `findings`. Returns `None` if no part of the
/// text can be checked.
pub(crate) fn parse(text: &str, file: &str, findings: &mut Vec<Finding>) -> Option<Parsed> {
    let start = Location {
        file: file.into(),
        line: 1,
        column: 1,
    };
    if text.len() > DOCUMENT_SIZE_MAX {
        let len = text.len();
        findings.push(Finding {
            location: start,
            path: Path::root(),
            message: format!("is {len} bytes long, at most {DOCUMENT_SIZE_MAX} are allowed"),
        });
        return None;
    }
    let mut options = Options::default();
    options.emit_unresolved_aliases = true;
    let mut builder = TreeBuilder {
        parser: Parser::new_from_str_with_options(text, options),
        start: start.clone(),
        stopped: false,
        incomplete: Vec::new(),
        rejected: Vec::new(),
        last_scalar: None,
        findings,
    };
    let root = match builder.build_document() {
        None if builder.stopped => return None,
        root => root.unwrap_or_else(|| Node::null(start)),
    };
    Some(Parsed {
        root,
        incomplete: builder.incomplete,
        rejected: builder.rejected,
    })
}

struct TreeBuilder<'a> {
    parser: Parser<'a, StrInput<'a>>,
    start: Location,
    /// True after a syntax error or too deep nesting, when no further event is read.
    stopped: bool,
    incomplete: Vec<Path>,
    rejected: Vec<Path>,
    /// Path of the last value, if it is a scalar. A syntax error may belong to it: the parser takes
    /// a mapping that is indented too far for a continuation of the scalar before it.
    last_scalar: Option<Path>,
    findings: &'a mut Vec<Finding>,
}

impl<'a> TreeBuilder<'a> {
    fn location(&self, mark: Marker) -> Location {
        Location {
            file: Arc::clone(&self.start.file),
            line: u32::try_from(mark.line()).unwrap_or(u32::MAX),
            column: u32::try_from(mark.col() + 1).unwrap_or(u32::MAX),
        }
    }

    fn report<M>(&mut self, location: Location, path: Path, message: M)
    where
        M: Into<String>,
    {
        self.findings.push(Finding {
            location,
            path,
            message: message.into(),
        });
    }

    /// Returns the next event, or `None` at the end and after a syntax error.
    fn next(&mut self) -> Option<(Event<'a>, Span)> {
        while !self.stopped {
            match self.parser.next_event()? {
                Ok((Event::Comment(..), _)) => {}
                Ok(event) => return Some(event),
                Err(error) => {
                    let location = self.location(*error.marker());
                    self.report(
                        location,
                        Path::root(),
                        format!("is not YAML: {}", error.info()),
                    );
                    self.stopped = true;
                    self.rejected.extend(self.last_scalar.take());
                }
            }
        }
        None
    }

    fn build_document(&mut self) -> Option<Node> {
        let mut root = None;
        while let Some((event, span)) = self.next() {
            match event {
                Event::DocumentStart(..) if root.is_some() => {
                    let location = self.location(span.start);
                    self.report(
                        location,
                        Path::root(),
                        "only one document is allowed in a file",
                    );
                    break;
                }
                Event::StreamStart
                | Event::StreamEnd
                | Event::DocumentStart(..)
                | Event::DocumentEnd => {}
                event => root = self.build_node(event, span, &Path::root()),
            }
        }
        root
    }

    /// Builds the node that starts with `event`, or returns `None` if a syntax error precedes its
    /// value.
    fn build_node(&mut self, event: Event<'a>, span: Span, path: &Path) -> Option<Node> {
        let location = self.location(span.start);
        if path.segments().len() > DEPTH_MAX {
            self.report(location, path.clone(), "is nested too deeply");
            self.stopped = true;
            return None;
        }
        if let Event::Scalar(_, _, _, Some(_))
        | Event::SequenceStart(_, _, Some(_))
        | Event::MappingStart(_, _, Some(_)) = &event
        {
            self.report(location.clone(), path.clone(), "tags are not supported");
        }
        let value = match event {
            Event::Scalar(text, style, ..) => {
                self.last_scalar = Some(path.clone());
                Value::Scalar {
                    text: text.into_owned(),
                    plain: style == ScalarStyle::Plain,
                }
            }
            Event::SequenceStart(..) => Value::List(self.build_list(path)),
            Event::MappingStart(..) => Value::Map(self.build_map(path)),
            // An alias: the parser emits all other events only outside of values.
            _ => {
                let message = "aliases are not supported, write the value out";
                self.report(location.clone(), path.clone(), message);
                self.rejected.push(path.clone());
                return Some(Node::null(location));
            }
        };
        Some(Node { location, value })
    }

    fn build_list(&mut self, path: &Path) -> Vec<Node> {
        let mut items = Vec::new();
        loop {
            let item = match self.next() {
                Some((Event::SequenceEnd, _)) => return items,
                Some((event, span)) => self.build_node(event, span, &path.index(items.len())),
                None => None,
            };
            match item {
                Some(item) => items.push(item),
                None => break,
            }
        }
        self.incomplete.push(path.clone());
        items
    }

    fn build_map(&mut self, path: &Path) -> Vec<Entry> {
        let mut entries: Vec<Entry> = Vec::new();
        loop {
            let key = match self.next() {
                Some((Event::MappingEnd, _)) => return entries,
                Some((event, span)) => self.build_node(event, span, path),
                None => None,
            };
            let Some(key) = key else { break };
            self.last_scalar = None;
            let text = match key.value {
                Value::Scalar { text, .. } => Some(text),
                _ => None,
            };
            let value_path = path.key(text.as_deref().unwrap_or_default());
            let value = match self.next() {
                Some((event, span)) => self.build_node(event, span, &value_path),
                None => None,
            };
            let Some(value) = value else { break };
            match text {
                None if self.stopped => {}
                None => self.report(key.location, path.clone(), "a key must be a name"),
                Some(key_text) if entries.iter().any(|e| e.key == key_text) => {
                    let message = "is written twice in the same mapping";
                    self.report(key.location, value_path, message);
                }
                Some(key_text) => entries.push(Entry {
                    key: key_text,
                    location: key.location,
                    value,
                }),
            }
        }
        self.incomplete.push(path.clone());
        entries
    }
}
