//! Reads settings files in HCL. All errors of a file are reported together, each with line, column, actual value and
//! expected value, so that an operator can correct the file in one pass. A file with any error yields no value.
//!
//! The caller declares the attributes and blocks that it supports by reading them. Attributes and blocks that have not
//! been read when a [`SettingsBlock`] is dropped are reported as unknown, together with the most similar known name.

mod attribute;
mod block;
mod errors;

pub use attribute::SettingsAttribute;
pub use block::SettingsBlock;
pub use errors::{ErrorKind, Scope, SettingsError, SettingsErrors};

use errors::ErrorCollector;
use std::path::Path;

/// Reads the file at `path` and returns the value built by `reader`, or all errors of the file if there are any.
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

/// Reads settings from `text` like [`read_file`]; `file` is the name shown in error messages.
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
