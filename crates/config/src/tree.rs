//! YAML documents as trees whose nodes know their places.
//!
//! The tree is built from the parser's events, not through serde, because serde's data model has no
//! place for positions and a typed target stops at the first mistake. Scalars keep their text, so
//! that a name of digits stays a name.
//!
//! Aliases, tags and merge keys are refused: a value is written where it applies, so that every
//! finding has one place, and a small file cannot expand to a large document.
//!
//! The part before a syntax error is kept, so that its mistakes are reported together with the
//! syntax error.

use std::sync::Arc;

use serde_saphyr::granit_parser::{Event, Marker, Options, Parser, ScalarStyle, Span, StrInput};

use crate::findings::{Finding, Location};
use crate::path::{Path, Segment};

/// Largest file that is parsed, in bytes. It bounds the work on a file that is no configuration;
/// a routing resource is limited more tightly, by what fits into one log record.
pub const DOCUMENT_SIZE_MAX: usize = 1024 * 1024;

/// Deepest nesting. The deepest document of this crate has 6 levels.
const DEPTH_MAX: usize = 32;

/// A value and where it was written.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Node {
    pub(crate) location: Location,
    pub(crate) value: Value,
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Value {
    Scalar {
        text: String,
        /// Whether the scalar has no quotes. Quoted scalars are always text.
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
    /// A plain null.
    fn null(location: Location) -> Self {
        let value = Value::Scalar {
            text: String::new(),
            plain: true,
        };
        Self { location, value }
    }

    /// A mapping without entries.
    pub(crate) fn empty(location: Location) -> Self {
        Self {
            location,
            value: Value::Map(Vec::new()),
        }
    }

    /// A text value that did not come from a file.
    pub(crate) fn text(location: Location, text: &str) -> Self {
        let value = Value::Scalar {
            text: text.to_owned(),
            plain: !text.is_empty(),
        };
        Self { location, value }
    }

    /// Whether the node is a plain null.
    pub(crate) fn is_null(&self) -> bool {
        match &self.value {
            Value::Scalar { text, plain: true } => {
                matches!(text.as_str(), "" | "~" | "null" | "Null" | "NULL")
            }
            _ => false,
        }
    }

    /// The node one step below. A key matches in its kebab-case and its `snake_case` form, because
    /// garde reports Rust field names.
    fn child(&self, step: &Segment) -> Option<&Self> {
        match (&self.value, step) {
            (Value::List(items), Segment::Index(i)) => items.get(*i),
            (Value::Map(entries), Segment::Key(key)) => entries
                .iter()
                .find(|e| same_key(&e.key, key))
                .map(|e| &e.value),
            _ => None,
        }
    }

    /// The node at a path.
    pub(crate) fn get(&self, path: &Path) -> Option<&Self> {
        path.segments().iter().try_fold(self, Self::child)
    }

    /// The node at a path, for changes.
    pub(crate) fn get_mut(&mut self, path: &Path) -> Option<&mut Self> {
        path.segments()
            .iter()
            .try_fold(self, |node, step| match (&mut node.value, step) {
                (Value::List(items), Segment::Index(i)) => items.get_mut(*i),
                (Value::Map(entries), Segment::Key(key)) => entries
                    .iter_mut()
                    .find(|e| same_key(&e.key, key))
                    .map(|e| &mut e.value),
                _ => None,
            })
    }

    /// The place of the value at a path, or of its closest ancestor that is written down.
    pub(crate) fn place_of(&self, path: &Path) -> &Location {
        let mut node = self;
        for step in path.segments() {
            match node.child(step) {
                Some(child) => node = child,
                None => break,
            }
        }
        &node.location
    }

    /// The place of the key at the end of a path.
    pub(crate) fn key_place(&self, path: &Path) -> Option<&Location> {
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

/// What was read from a text.
pub(crate) struct Parsed {
    /// The document, without the part after a syntax error.
    pub(crate) root: Node,
    /// Paths of the mappings and lists that a syntax error left incomplete.
    pub(crate) open: Vec<Path>,
    /// Paths whose values were reported and must not be checked.
    pub(crate) unusable: Vec<Path>,
}

/// Parses one document. Mistakes in its structure are added to `findings`. Nothing is returned if
/// there is nothing to check.
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
    let mut builder = Builder {
        events: Parser::new_from_str_with_options(text, options),
        file: start.clone(),
        broken: false,
        open: Vec::new(),
        unusable: Vec::new(),
        last: None,
        findings,
    };
    let root = match builder.document() {
        None if builder.broken => return None,
        root => root.unwrap_or_else(|| Node::null(start)),
    };
    Some(Parsed {
        root,
        open: builder.open,
        unusable: builder.unusable,
    })
}

struct Builder<'a> {
    events: Parser<'a, StrInput<'a>>,
    file: Location,
    /// Whether a syntax error ended the events.
    broken: bool,
    open: Vec<Path>,
    unusable: Vec<Path>,
    /// Path of the value that was read last, if it is a scalar. A syntax error may be its
    /// continuation: a mapping that is indented too far is read as part of the scalar before it.
    last: Option<Path>,
    findings: &'a mut Vec<Finding>,
}

impl<'a> Builder<'a> {
    fn location(&self, mark: Marker) -> Location {
        Location {
            file: Arc::clone(&self.file.file),
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

    /// The next event, or nothing at the end and from a syntax error on.
    fn next(&mut self) -> Option<(Event<'a>, Span)> {
        while !self.broken {
            match self.events.next_event()? {
                Ok((Event::Comment(..), _)) => {}
                Ok(event) => return Some(event),
                Err(error) => {
                    let location = self.location(*error.marker());
                    self.report(
                        location,
                        Path::root(),
                        format!("is not YAML: {}", error.info()),
                    );
                    self.broken = true;
                    self.unusable.extend(self.last.take());
                }
            }
        }
        None
    }

    fn document(&mut self) -> Option<Node> {
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
                event => root = self.node(event, span, &Path::root()),
            }
        }
        root
    }

    /// The node that starts with `event`, or nothing if a syntax error comes before its value.
    fn node(&mut self, event: Event<'a>, span: Span, path: &Path) -> Option<Node> {
        let location = self.location(span.start);
        if path.segments().len() > DEPTH_MAX {
            self.report(location, path.clone(), "is nested too deeply");
            self.broken = true;
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
                self.last = Some(path.clone());
                Value::Scalar {
                    text: text.into_owned(),
                    plain: style == ScalarStyle::Plain,
                }
            }
            Event::SequenceStart(..) => Value::List(self.list(path)),
            Event::MappingStart(..) => Value::Map(self.map(path)),
            // Only aliases are left: the parser gives the other events outside of values only.
            _ => {
                let message = "aliases are not supported, write the value out";
                self.report(location.clone(), path.clone(), message);
                self.unusable.push(path.clone());
                return Some(Node::null(location));
            }
        };
        Some(Node { location, value })
    }

    fn list(&mut self, path: &Path) -> Vec<Node> {
        let mut items = Vec::new();
        loop {
            let item = match self.next() {
                Some((Event::SequenceEnd, _)) => return items,
                Some((event, span)) => self.node(event, span, &path.index(items.len())),
                None => None,
            };
            match item {
                Some(item) => items.push(item),
                None => break,
            }
        }
        self.open.push(path.clone());
        items
    }

    fn map(&mut self, path: &Path) -> Vec<Entry> {
        let mut entries: Vec<Entry> = Vec::new();
        loop {
            let key = match self.next() {
                Some((Event::MappingEnd, _)) => return entries,
                Some((event, span)) => self.node(event, span, path),
                None => None,
            };
            let Some(key) = key else { break };
            self.last = None;
            let text = match key.value {
                Value::Scalar { text, .. } => Some(text),
                _ => None,
            };
            let below = path.key(text.as_deref().unwrap_or_default());
            let value = match self.next() {
                Some((event, span)) => self.node(event, span, &below),
                None => None,
            };
            let Some(value) = value else { break };
            match text {
                None if self.broken => {}
                None => self.report(key.location, path.clone(), "a key must be a name"),
                Some(key_text) if entries.iter().any(|e| e.key == key_text) => {
                    let message = "is written twice in the same mapping";
                    self.report(key.location, below, message);
                }
                Some(key_text) => entries.push(Entry {
                    key: key_text,
                    location: key.location,
                    value,
                }),
            }
        }
        self.open.push(path.clone());
        entries
    }
}
