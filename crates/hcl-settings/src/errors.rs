//! Errors of a settings file, and the collector that records them while the file is read.

use std::cell::RefCell;
use std::fmt;
use thiserror::Error;

/// Kind of an error in a settings file, with the details for its message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ErrorKind {
    /// The file cannot be read.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// The file is not HCL.
    #[error("not HCL: {0}")]
    Syntax(String),
    /// A required attribute is absent.
    #[error("{scope}{name} is missing; expected {expected}")]
    AttributeMissing {
        /// Block in which the attribute is missing.
        scope: Scope,
        /// Name of the attribute.
        name: &'static str,
        /// Description of the expected value.
        expected: String,
    },
    /// The value of an attribute has the wrong type or is out of range.
    #[error("{scope}{name} is {found}; expected {expected}")]
    UnexpectedValue {
        /// Block that contains the attribute.
        scope: Scope,
        /// Name of the attribute.
        name: &'static str,
        /// Source text of the value, truncated.
        found: String,
        /// Description of the expected value.
        expected: String,
    },
    /// A required block is absent.
    #[error("{scope}the block {name} is missing")]
    BlockMissing {
        /// Block in which the required block is missing.
        scope: Scope,
        /// Name of the missing block.
        name: &'static str,
    },
    /// A block that may occur only once is repeated.
    #[error("duplicate block {0}; at most one is allowed")]
    BlockRepeated(&'static str),
    /// Two blocks of the same name have the same label; the value is the name and label of the second block.
    #[error("duplicate {0}")]
    LabelRepeated(String),
    /// A block that requires exactly one label has none or several.
    #[error("the block {name} has {labels} labels; expected exactly one label, the name")]
    LabelExpected {
        /// Name of the block.
        name: String,
        /// Number of labels found.
        labels: usize,
    },
    /// A block that must not have a label has one or more.
    #[error("the block {name} has {labels} labels; expected none")]
    LabelUnexpected {
        /// Name of the block.
        name: String,
        /// Number of labels found.
        labels: usize,
    },
    /// The file contains an attribute or block that the caller does not read.
    #[error("{scope}unknown {item} {name}{hint}")]
    Unknown {
        /// Block that contains the unknown item.
        scope: Scope,
        /// Kind of the item: "setting" or "block".
        item: &'static str,
        /// Name of the item.
        name: String,
        /// Message suffix with the most similar known name, or with all known names.
        hint: String,
    },
    /// An error reported by the caller, such as values that contradict each other.
    #[error("{0}")]
    Invalid(String),
}

/// Block in which an error occurred, displayed as a prefix of the message; empty for the whole file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scope(pub(crate) String);

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            Ok(())
        } else {
            write!(f, "in {}: ", self.0)
        }
    }
}

/// A single error in a file. Line and column start at 1; both are 0 if the file cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Line number.
    pub line: usize,
    /// Column in characters.
    pub column: usize,
    /// Kind of the error at this position.
    pub kind: ErrorKind,
}

/// All errors of a file, ordered by position; displayed as one line per error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors {
    /// Name of the file as shown in messages.
    pub file: String,
    /// Errors, ordered by position.
    pub errors: Vec<SettingsError>,
}

impl SettingsErrors {
    pub(crate) fn new(file: String, mut errors: Vec<SettingsError>) -> SettingsErrors {
        errors.sort_by_key(|error| (error.line, error.column));
        SettingsErrors { file, errors }
    }
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, SettingsError { line, column, kind }) in self.errors.iter().enumerate() {
            let separator = if i > 0 { "\n" } else { "" };
            match line {
                0 => write!(f, "{separator}{}: {kind}", self.file)?,
                line => write!(f, "{separator}{}:{line}:{column}: {kind}", self.file)?,
            }
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}

/// Collects the errors found while one text is read.
pub(crate) struct ErrorCollector<'t> {
    text: &'t str,
    errors: RefCell<Vec<SettingsError>>,
}

impl<'t> ErrorCollector<'t> {
    pub(crate) fn new(text: &'t str) -> ErrorCollector<'t> {
        ErrorCollector { text, errors: RefCell::default() }
    }

    /// Records an error at a byte offset of the text.
    pub(crate) fn add(&self, offset: usize, kind: ErrorKind) {
        let before = &self.text[..offset.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        self.errors.borrow_mut().push(SettingsError { line, column, kind });
    }

    pub(crate) fn into_errors(self) -> Vec<SettingsError> {
        self.errors.into_inner()
    }
}
