//! Reads a settings file in HCL as a whole. Every fault is collected with its line and column, what was
//! found and what was expected, so that an operator mends a file once; a file with a fault yields nothing.
//!
//! A reader names the attributes and blocks that it knows by asking for them. What is left when a [`Part`]
//! is dropped is unknown and reported with the nearest known name.

mod field;

pub use field::Field;

use hcl_edit::expr::Expression;
use hcl_edit::structure::{Attribute, Block, Body};
use hcl_edit::Span;
use std::cell::RefCell;
use std::fmt;
use std::ops::Range;
use std::path::Path;

/// One thing wrong in a file; line and column count from 1, both 0 where the file could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub line: usize,
    pub column: usize,
    pub message: String,
}

/// All that is wrong with a file, in the order of its lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults {
    pub file: String,
    pub faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (i, fault) in self.faults.iter().enumerate() {
            let gap = if i > 0 { "\n" } else { "" };
            match fault.line {
                0 => write!(f, "{gap}{}: {}", self.file, fault.message)?,
                line => write!(f, "{gap}{}:{line}:{}: {}", self.file, fault.column, fault.message)?,
            }
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Where faults of one file are collected; a place is a byte of the file.
pub(crate) struct Collected<'t> {
    text: &'t str,
    faults: RefCell<Vec<Fault>>,
}

impl Collected<'_> {
    fn add(&self, at: usize, message: String) {
        let before = &self.text[..at.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        self.faults.borrow_mut().push(Fault { line, column, message });
    }
}

/// A block of the file, or the whole file.
pub struct Part<'t> {
    all: &'t Collected<'t>,
    body: &'t Body,
    label: Option<String>,
    /// What messages call it, as `class "read"`.
    name: String,
    at: usize,
    known: RefCell<(Vec<&'static str>, Vec<&'static str>)>,
}

/// Reads the file at `path` through `reader`; what it makes counts only where nothing was wrong.
pub fn read_file<T>(path: &Path, reader: impl FnOnce(&Part) -> T) -> Result<T, Faults> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => read_text(&file, &text, reader),
        Err(e) => {
            let message = format!("cannot be read: {e}");
            Err(Faults { file, faults: vec![Fault { line: 0, column: 0, message }] })
        }
    }
}

/// Reads a text as [`read_file`] reads a file; `file` is what messages call it.
pub fn read_text<T>(file: &str, text: &str, reader: impl FnOnce(&Part) -> T) -> Result<T, Faults> {
    let failed = |mut faults: Vec<Fault>| {
        faults.sort_by_key(|f| (f.line, f.column));
        Err(Faults { file: file.to_string(), faults })
    };
    let body: Body = match hcl_edit::parser::parse_body(text) {
        Ok(body) => body,
        Err(e) => {
            let place = e.location();
            let message = format!("not HCL: {}", e.message().replace('\n', "; "));
            return failed(vec![Fault { line: place.line(), column: place.column(), message }]);
        }
    };
    let all = Collected { text, faults: RefCell::default() };
    let root =
        Part { all: &all, body: &body, label: None, name: String::new(), at: 0, known: RefCell::default() };
    let made = reader(&root);
    drop(root);
    let faults = all.faults.into_inner();
    if faults.is_empty() {
        Ok(made)
    } else {
        failed(faults)
    }
}

fn start(span: Option<Range<usize>>, otherwise: usize) -> usize {
    span.map_or(otherwise, |s| s.start)
}

impl<'t> Part<'t> {
    /// The block's label; none for the whole file.
    pub fn label(&self) -> &str {
        self.label.as_deref().unwrap_or("")
    }

    /// All blocks of a name that carry a label, in the order of the file; two of one label are a fault.
    pub fn labelled(&self, name: &'static str) -> Vec<Part<'t>> {
        let parts = self.blocks(name, true);
        for (i, part) in parts.iter().enumerate() {
            if parts[..i].iter().any(|other| other.label == part.label) {
                part.fault(format!("a second {}", part.name));
            }
        }
        parts
    }

    /// All blocks of a name whose labels may repeat.
    pub fn repeated(&self, name: &'static str) -> Vec<Part<'t>> {
        self.blocks(name, true)
    }

    /// The one block of a name without a label.
    pub fn part(&self, name: &'static str) -> Option<Part<'t>> {
        let mut parts = self.blocks(name, false);
        for part in parts.iter().skip(1) {
            part.fault(format!("a second {name} block; one is the most"));
        }
        (!parts.is_empty()).then(|| parts.swap_remove(0))
    }

    /// The one block of a name, which must be there.
    pub fn must(&self, name: &'static str) -> Option<Part<'t>> {
        let part = self.part(name);
        if part.is_none() {
            self.fault(format!("{}the block {name} is missing", self.within()));
        }
        part
    }

    fn blocks(&self, name: &'static str, labelled: bool) -> Vec<Part<'t>> {
        self.known.borrow_mut().1.push(name);
        let found = self.body.get_blocks(name).collect::<Vec<&'t Block>>();
        found.into_iter().map(|block| self.inner(block, name, labelled)).collect()
    }

    fn inner(&self, block: &'t Block, name: &str, labelled: bool) -> Part<'t> {
        let at = start(block.ident.span(), self.at);
        let labels: Vec<&str> = block.labels.iter().map(|l| l.as_str()).collect();
        match (labelled, labels.len()) {
            (true, 1) | (false, 0) => {}
            (true, n) => self.all.add(at, format!("the block {name} has {n} labels; expected one, its name")),
            (false, n) => self.all.add(at, format!("the block {name} has {n} labels; expected none")),
        }
        let label = labels.first().map(|l| l.to_string());
        let name = label.as_ref().map_or(name.to_string(), |l| format!("{name} {l:?}"));
        Part { all: self.all, body: &block.body, label, name, at, known: RefCell::default() }
    }

    /// The attribute of a name, there or not.
    pub fn field<'p>(&'p self, name: &'static str) -> Field<'p, 't> {
        self.known.borrow_mut().0.push(name);
        Field::new(self, name, self.body.get_attribute(name))
    }

    /// A fault of the block as a whole.
    pub fn fault(&self, message: impl Into<String>) {
        self.all.add(self.at, message.into());
    }

    /// A fault of one attribute; of the block where that is absent.
    pub fn fault_at(&self, name: &str, message: impl Into<String>) {
        let at = self.body.get_attribute(name).map_or(self.at, |a| self.place(a));
        self.all.add(at, message.into());
    }

    fn place(&self, attribute: &Attribute) -> usize {
        start(attribute.key.span(), start(attribute.value.span(), self.at))
    }

    fn within(&self) -> String {
        if self.name.is_empty() {
            String::new()
        } else {
            format!("in {}: ", self.name)
        }
    }

    fn value_place(&self, value: &Expression) -> usize {
        start(value.span(), self.at)
    }

    fn unknown(&self, at: usize, what: &str, name: &str, known: &[&'static str]) {
        let near = known.iter().map(|k| (strsim::damerau_levenshtein(k, name), *k)).min();
        let hint = match near {
            Some((far, near)) if far <= 1 + name.len() / 3 => format!("; did you mean {near}?"),
            _ if known.is_empty() => String::new(),
            _ => format!("; known here: {}", known.join(", ")),
        };
        self.all.add(at, format!("{}unknown {what} {name}{hint}", self.within()));
    }
}

impl Drop for Part<'_> {
    fn drop(&mut self) {
        let (fields, blocks) = &*self.known.borrow();
        for a in self.body.attributes().filter(|a| !fields.contains(&a.key.as_str())) {
            self.unknown(self.place(a), "setting", a.key.as_str(), fields);
        }
        for b in self.body.blocks().filter(|b| !blocks.contains(&b.ident.as_str())) {
            self.unknown(start(b.ident.span(), self.at), "block", b.ident.as_str(), blocks);
        }
    }
}
