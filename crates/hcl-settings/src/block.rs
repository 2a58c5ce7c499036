//! A block of a settings file, whose attributes and nested blocks are read by name.

use crate::errors::{ErrorCollector, ErrorKind, Scope};
use crate::SettingsAttribute;
use hcl_edit::expr::Expression;
use hcl_edit::structure::{Attribute, Block, Body};
use hcl_edit::Span;
use std::cell::RefCell;
use std::ops::Range;

/// A block of the file, or the root block that represents the whole file.
pub struct SettingsBlock<'t> {
    collector: &'t ErrorCollector<'t>,
    body: &'t Body,
    label: Option<String>,
    /// Name and label as shown in error messages, such as `class "read"`.
    name: String,
    /// Byte offset of the block in the file.
    offset: usize,
    requested: RefCell<RequestedNames>,
}

/// Names of attributes and blocks that the caller has read.
#[derive(Default)]
struct RequestedNames {
    attributes: Vec<&'static str>,
    blocks: Vec<&'static str>,
}

/// Number of labels required on blocks of a given name.
#[derive(Clone, Copy, PartialEq)]
enum Labels {
    None,
    One,
}

impl<'t> SettingsBlock<'t> {
    pub(crate) fn root(collector: &'t ErrorCollector<'t>, body: &'t Body) -> SettingsBlock<'t> {
        SettingsBlock {
            collector,
            body,
            label: None,
            name: String::new(),
            offset: 0,
            requested: RefCell::default(),
        }
    }

    /// Returns the block's label, or an empty string if the block has none.
    pub fn label(&self) -> &str {
        self.label.as_deref().unwrap_or("")
    }

    /// Returns all labelled blocks of a given name in file order. Two blocks with the same label are an error, recorded at
    /// the later block.
    pub fn labelled_blocks(&self, name: &'static str) -> Vec<SettingsBlock<'t>> {
        let blocks = self.blocks(name, Labels::One);
        for (i, block) in blocks.iter().enumerate() {
            if blocks[..i].iter().any(|other| other.label == block.label) {
                block.add_error(ErrorKind::LabelRepeated(block.name.clone()));
            }
        }
        blocks
    }

    /// Returns all labelled blocks of a given name in file order; labels may repeat.
    pub fn repeated_blocks(&self, name: &'static str) -> Vec<SettingsBlock<'t>> {
        self.blocks(name, Labels::One)
    }

    /// Returns the unlabelled block of a given name, if present; records an error for each further block of the name.
    pub fn optional_block(&self, name: &'static str) -> Option<SettingsBlock<'t>> {
        let mut blocks = self.blocks(name, Labels::None);
        for block in blocks.iter().skip(1) {
            block.add_error(ErrorKind::BlockRepeated(name));
        }
        (!blocks.is_empty()).then(|| blocks.swap_remove(0))
    }

    /// Returns the unlabelled block of a given name; records an error if the block is absent.
    pub fn required_block(&self, name: &'static str) -> Option<SettingsBlock<'t>> {
        let block = self.optional_block(name);
        if block.is_none() {
            self.add_error(ErrorKind::BlockMissing { scope: self.scope(), name });
        }
        block
    }

    /// Returns the attribute of a given name, which may be absent.
    pub fn attribute<'b>(&'b self, name: &'static str) -> SettingsAttribute<'b, 't> {
        self.requested.borrow_mut().attributes.push(name);
        SettingsAttribute::new(self, name, self.body.get_attribute(name))
    }

    /// Records an error at the start of the block.
    pub fn report_error(&self, message: impl Into<String>) {
        self.add_error(ErrorKind::Invalid(message.into()));
    }

    /// Records an error at an attribute, or at the start of the block if the attribute is absent.
    pub fn report_attribute_error(&self, name: &str, message: impl Into<String>) {
        let offset = self.body.get_attribute(name).map_or(self.offset, |a| self.attribute_offset(a));
        self.collector.add(offset, ErrorKind::Invalid(message.into()));
    }

    /// Records an error of the given kind at the start of the block.
    pub(crate) fn add_error(&self, kind: ErrorKind) {
        self.collector.add(self.offset, kind);
    }

    /// Records an error at the position of a value in the block.
    pub(crate) fn add_value_error(&self, value: &Expression, kind: ErrorKind) {
        self.collector.add(start(value.span(), self.offset), kind);
    }

    /// Returns the error scope that names this block.
    pub(crate) fn scope(&self) -> Scope {
        Scope(self.name.clone())
    }

    fn blocks(&self, name: &'static str, labels: Labels) -> Vec<SettingsBlock<'t>> {
        self.requested.borrow_mut().blocks.push(name);
        self.body.get_blocks(name).map(|block| self.child(block, name, labels)).collect()
    }

    fn child(&self, block: &'t Block, name: &str, expected: Labels) -> SettingsBlock<'t> {
        let offset = start(block.ident.span(), self.offset);
        let labels: Vec<&str> = block.labels.iter().map(|l| l.as_str()).collect();
        match (expected, labels.len()) {
            (Labels::One, 1) | (Labels::None, 0) => {}
            (Labels::One, labels) => {
                self.collector.add(offset, ErrorKind::LabelExpected { name: name.to_string(), labels });
            }
            (Labels::None, labels) => {
                self.collector.add(offset, ErrorKind::LabelUnexpected { name: name.to_string(), labels });
            }
        }
        let label = labels.first().map(|l| l.to_string());
        let name = label.as_ref().map_or(name.to_string(), |l| format!("{name} {l:?}"));
        let requested = RefCell::default();
        SettingsBlock { collector: self.collector, body: &block.body, label, name, offset, requested }
    }

    fn attribute_offset(&self, attribute: &Attribute) -> usize {
        start(attribute.key.span(), start(attribute.value.span(), self.offset))
    }

    fn add_unknown(&self, offset: usize, item: &'static str, name: &str, known: &[&'static str]) {
        let scope = self.scope();
        let hint = hint(name, known);
        self.collector.add(offset, ErrorKind::Unknown { scope, item, name: name.to_string(), hint });
    }
}

impl Drop for SettingsBlock<'_> {
    /// Records an error for each attribute and block that the caller has not read.
    fn drop(&mut self) {
        let RequestedNames { attributes, blocks } = &*self.requested.borrow();
        for a in self.body.attributes().filter(|a| !attributes.contains(&a.key.as_str())) {
            self.add_unknown(self.attribute_offset(a), "setting", a.key.as_str(), attributes);
        }
        for b in self.body.blocks().filter(|b| !blocks.contains(&b.ident.as_str())) {
            self.add_unknown(start(b.ident.span(), self.offset), "block", b.ident.as_str(), blocks);
        }
    }
}

/// Returns a message suffix with the most similar known name, or with all known names if none is similar.
fn hint(name: &str, known: &[&'static str]) -> String {
    let nearest = known.iter().map(|k| (strsim::damerau_levenshtein(k, name), *k)).min();
    match nearest {
        Some((distance, nearest)) if distance <= 1 + name.len() / 3 => format!("; did you mean {nearest}?"),
        Some(_) => format!("; known here: {}", known.join(", ")),
        None => String::new(),
    }
}

fn start(span: Option<Range<usize>>, default: usize) -> usize {
    span.map_or(default, |s| s.start)
}
