//! The errors of a settings file, and their collection while it is read.

use std::cell::RefCell;
use std::fmt;
use thiserror::Error;

/// What is wrong at one place of a file.
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
        /// The block that lacks it.
        scope: Scope,
        /// The attribute's name.
        name: &'static str,
        /// The form of its value.
        expected: String,
    },
    /// An attribute's value has the wrong type or lies out of its range.
    #[error("{scope}{name} is {found}; expected {expected}")]
    UnexpectedValue {
        /// The block that holds it.
        scope: Scope,
        /// The attribute's name.
        name: &'static str,
        /// The value in the file, shortened.
        found: String,
        /// The form of its value.
        expected: String,
    },
    /// A required block is absent.
    #[error("{scope}the block {name} is missing")]
    BlockMissing {
        /// The block that lacks it.
        scope: Scope,
        /// Its name.
        name: &'static str,
    },
    /// A block that may stand once stands again.
    #[error("a second {0} block; one is the most")]
    BlockRepeated(&'static str),
    /// Two blocks of a name have the same label; this is the second one's name and label.
    #[error("a second {0}")]
    LabelRepeated(String),
    /// A block that needs a label has none or several.
    #[error("the block {name} has {labels} labels; expected one, its name")]
    LabelExpected {
        /// The block's name.
        name: String,
        /// How many labels it has.
        labels: usize,
    },
    /// A block that takes no label has one.
    #[error("the block {name} has {labels} labels; expected none")]
    LabelUnexpected {
        /// The block's name.
        name: String,
        /// How many labels it has.
        labels: usize,
    },
    /// An attribute or a block that no reader asked for.
    #[error("{scope}unknown {what} {name}{hint}")]
    Unknown {
        /// The block that holds it.
        scope: Scope,
        /// What it is.
        what: &'static str,
        /// Its name.
        name: String,
        /// The nearest known name, or all of them.
        hint: String,
    },
    /// What a reader reported itself: values that do not fit each other.
    #[error("{0}")]
    Invalid(String),
}

/// The block to which an error belongs, as a prefix of its message; empty for the whole file.
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

/// One error of a file; line and column count from 1, both 0 where the file cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The line.
    pub line: usize,
    /// The column in characters.
    pub column: usize,
    /// What is wrong there.
    pub kind: ErrorKind,
}

/// All errors of a file in the order of their positions; its display has one line for each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors {
    /// The file's name.
    pub file: String,
    /// Its errors.
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

/// Collects the errors of one text while it is read.
pub(crate) struct ErrorCollector<'t> {
    text: &'t str,
    errors: RefCell<Vec<SettingsError>>,
}

impl<'t> ErrorCollector<'t> {
    pub(crate) fn new(text: &'t str) -> ErrorCollector<'t> {
        ErrorCollector { text, errors: RefCell::default() }
    }

    /// Adds an error at a byte of the text.
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
