//! A block of a settings file, read by name.

use crate::errors::{ErrorCollector, ErrorKind, Scope};
use crate::SettingsAttribute;
use hcl_edit::expr::Expression;
use hcl_edit::structure::{Attribute, Block, Body};
use hcl_edit::Span;
use std::cell::RefCell;
use std::ops::Range;

/// A block of the file, or the whole file.
pub struct SettingsBlock<'t> {
    collector: &'t ErrorCollector<'t>,
    body: &'t Body,
    label: Option<String>,
    /// Its name in messages, as `class "read"`.
    name: String,
    /// Where it begins, in bytes of the file.
    offset: usize,
    known: RefCell<KnownNames>,
}

/// The names that a reader has asked for.
#[derive(Default)]
struct KnownNames {
    attributes: Vec<&'static str>,
    blocks: Vec<&'static str>,
}

/// Whether blocks of a name carry a label.
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
            known: RefCell::default(),
        }
    }

    /// The block's label; empty for the whole file.
    pub fn label(&self) -> &str {
        self.label.as_deref().unwrap_or("")
    }

    /// All blocks of a name that carry a label, in the order of the file; two with one label are an error.
    pub fn labelled_blocks(&self, name: &'static str) -> Vec<SettingsBlock<'t>> {
        let blocks = self.blocks(name, Labels::One);
        for (i, block) in blocks.iter().enumerate() {
            if blocks[..i].iter().any(|other| other.label == block.label) {
                block.add_error(ErrorKind::LabelRepeated(block.name.clone()));
            }
        }
        blocks
    }

    /// All blocks of a name whose labels may repeat.
    pub fn repeated_blocks(&self, name: &'static str) -> Vec<SettingsBlock<'t>> {
        self.blocks(name, Labels::One)
    }

    /// The one block of a name without a label, if there is one.
    pub fn optional_block(&self, name: &'static str) -> Option<SettingsBlock<'t>> {
        let mut blocks = self.blocks(name, Labels::None);
        for block in blocks.iter().skip(1) {
            block.add_error(ErrorKind::BlockRepeated(name));
        }
        (!blocks.is_empty()).then(|| blocks.swap_remove(0))
    }

    /// The one block of a name without a label; its absence is an error.
    pub fn required_block(&self, name: &'static str) -> Option<SettingsBlock<'t>> {
        let block = self.optional_block(name);
        if block.is_none() {
            self.add_error(ErrorKind::BlockMissing { scope: self.scope(), name });
        }
        block
    }

    /// The attribute of a name, present or not.
    pub fn attribute<'b>(&'b self, name: &'static str) -> SettingsAttribute<'b, 't> {
        self.known.borrow_mut().attributes.push(name);
        SettingsAttribute::new(self, name, self.body.get_attribute(name))
    }

    /// Reports an error of the block as a whole.
    pub fn report_error(&self, message: impl Into<String>) {
        self.add_error(ErrorKind::Invalid(message.into()));
    }

    /// Reports an error of one attribute; of the block where that is absent.
    pub fn report_attribute_error(&self, name: &str, message: impl Into<String>) {
        let offset = self.body.get_attribute(name).map_or(self.offset, |a| self.attribute_offset(a));
        self.collector.add(offset, ErrorKind::Invalid(message.into()));
    }

    /// Adds an error at the block's beginning.
    pub(crate) fn add_error(&self, kind: ErrorKind) {
        self.collector.add(self.offset, kind);
    }

    /// Adds an error at a value of the block.
    pub(crate) fn add_value_error(&self, value: &Expression, kind: ErrorKind) {
        self.collector.add(start(value.span(), self.offset), kind);
    }

    /// The block as the scope of an error.
    pub(crate) fn scope(&self) -> Scope {
        Scope(self.name.clone())
    }

    fn blocks(&self, name: &'static str, labels: Labels) -> Vec<SettingsBlock<'t>> {
        self.known.borrow_mut().blocks.push(name);
        self.body.get_blocks(name).map(|block| self.inner(block, name, labels)).collect()
    }

    fn inner(&self, block: &'t Block, name: &str, expected: Labels) -> SettingsBlock<'t> {
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
        let known = RefCell::default();
        SettingsBlock { collector: self.collector, body: &block.body, label, name, offset, known }
    }

    fn attribute_offset(&self, attribute: &Attribute) -> usize {
        start(attribute.key.span(), start(attribute.value.span(), self.offset))
    }

    fn add_unknown(&self, offset: usize, what: &'static str, name: &str, known: &[&'static str]) {
        let scope = self.scope();
        let hint = hint(name, known);
        self.collector.add(offset, ErrorKind::Unknown { scope, what, name: name.to_string(), hint });
    }
}

impl Drop for SettingsBlock<'_> {
    /// Reports what no reader has asked for.
    fn drop(&mut self) {
        let KnownNames { attributes, blocks } = &*self.known.borrow();
        for a in self.body.attributes().filter(|a| !attributes.contains(&a.key.as_str())) {
            self.add_unknown(self.attribute_offset(a), "setting", a.key.as_str(), attributes);
        }
        for b in self.body.blocks().filter(|b| !blocks.contains(&b.ident.as_str())) {
            self.add_unknown(start(b.ident.span(), self.offset), "block", b.ident.as_str(), blocks);
        }
    }
}

/// The nearest known name; all known names where none is near.
fn hint(name: &str, known: &[&'static str]) -> String {
    let nearest = known.iter().map(|k| (strsim::damerau_levenshtein(k, name), *k)).min();
    match nearest {
        Some((distance, nearest)) if distance <= 1 + name.len() / 3 => format!("; did you mean {nearest}?"),
        Some(_) => format!("; known here: {}", known.join(", ")),
        None => String::new(),
    }
}

fn start(span: Option<Range<usize>>, otherwise: usize) -> usize {
    span.map_or(otherwise, |s| s.start)
}
