//! Reads a settings file in HCL as a whole. Every error is collected with its line and column, what was found and what
//! was expected, so that an operator corrects a file once; a file with an error yields no value.
//!
//! A reader names the attributes and blocks that it knows by asking for them. What is left when a [`SettingsBlock`] is
//! dropped is unknown, and is reported with the nearest known name.

mod attribute;
mod block;
mod errors;

pub use attribute::SettingsAttribute;
pub use block::SettingsBlock;
pub use errors::{ErrorKind, Scope, SettingsError, SettingsErrors};

use errors::ErrorCollector;
use std::path::Path;

/// Reads the file at `path` through `reader`, whose value counts only where the file has no error.
pub fn read_file<T>(path: &Path, reader: impl FnOnce(&SettingsBlock<'_>) -> T) -> Result<T, SettingsErrors> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => read_text(&file, &text, reader),
        Err(error) => {
            let kind = ErrorKind::Unreadable(error.to_string());
            Err(SettingsErrors::new(file, vec![SettingsError { line: 0, column: 0, kind }]))
        }
    }
}

/// Reads a text as [`read_file`] reads a file; `file` is its name in messages.
pub fn read_text<T>(
    file: &str,
    text: &str,
    reader: impl FnOnce(&SettingsBlock<'_>) -> T,
) -> Result<T, SettingsErrors> {
    let body = hcl_edit::parser::parse_body(text).map_err(|error| {
        let position = error.location();
        let kind = ErrorKind::Syntax(error.message().replace('\n', "; "));
        let error = SettingsError { line: position.line(), column: position.column(), kind };
        SettingsErrors::new(file.to_string(), vec![error])
    })?;
    let collector = ErrorCollector::new(text);
    let root = SettingsBlock::root(&collector, &body);
    let value = reader(&root);
    drop(root);
    let errors = collector.into_errors();
    if errors.is_empty() {
        Ok(value)
    } else {
        Err(SettingsErrors::new(file.to_string(), errors))
    }
}
