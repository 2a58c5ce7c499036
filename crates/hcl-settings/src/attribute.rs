//! A single attribute, read as the type that the caller expects.

use crate::errors::ErrorKind;
use crate::SettingsBlock;
use hcl_edit::expr::Expression;
use hcl_edit::structure::Attribute;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// An attribute that may be absent from the file. Reading a value of the wrong type records an error and returns the
/// type's default, which is never used, since a file with an error yields no value.
pub struct SettingsAttribute<'b, 't> {
    block: &'b SettingsBlock<'t>,
    name: &'static str,
    attribute: Option<&'t Attribute>,
}

/// Time units allowed in a duration, with their lengths in milliseconds.
const UNITS: [(&str, f64); 5] =
    [("us", 0.001), ("ms", 1.0), ("s", 1000.0), ("min", 60_000.0), ("h", 3_600_000.0)];

/// Maximum number of characters of a value shown in an error message.
const MAX_SHOWN_CHARACTERS: usize = 40;

const DURATION: &str = "a duration such as \"200ms\" or \"1.5s\"";
const NUMBER: &str = "a non-negative number";
const ADDRESS: &str = "an address and port such as \"127.0.0.1:7400\"";

impl<'b, 't> SettingsAttribute<'b, 't> {
    pub(crate) fn new(
        block: &'b SettingsBlock<'t>,
        name: &'static str,
        attribute: Option<&'t Attribute>,
    ) -> Self {
        SettingsAttribute { block, name, attribute }
    }

    /// Returns whether the file contains the attribute.
    pub fn is_present(&self) -> bool {
        self.attribute.is_some()
    }

    /// Returns the value converted by `parse`, or `None` if the attribute is absent. Records an error and returns `None`
    /// if `parse` rejects the value.
    fn read<T>(&self, expected: &str, parse: impl FnOnce(&Expression) -> Option<T>) -> Option<T> {
        let value = &self.attribute?.value;
        let parsed = parse(value);
        if parsed.is_none() {
            let (scope, name, found) = (self.block.scope(), self.name, shorten(value));
            let kind = ErrorKind::UnexpectedValue { scope, name, found, expected: expected.to_string() };
            self.block.add_value_error(value, kind);
        }
        parsed
    }

    /// Returns the value or the type's default; records an error if the attribute is absent.
    fn require<T: Default>(&self, value: Option<T>, expected: &str) -> T {
        if self.attribute.is_none() {
            let (scope, name, expected) = (self.block.scope(), self.name, expected.to_string());
            self.block.add_error(ErrorKind::AttributeMissing { scope, name, expected });
        }
        value.unwrap_or_default()
    }

    /// Returns a duration in milliseconds, written in the file as "200ms", for example.
    pub fn duration_ms(&self) -> f64 {
        self.require(self.read(DURATION, parse_duration_ms), DURATION)
    }

    /// Returns a duration in milliseconds, or `default` if the attribute is absent.
    pub fn duration_ms_or(&self, default: f64) -> f64 {
        self.read(DURATION, parse_duration_ms).unwrap_or(default)
    }

    /// Returns a finite number of at least 0.
    pub fn number(&self) -> f64 {
        self.require(self.read(NUMBER, parse_number), NUMBER)
    }

    /// Returns a finite number of at least 0, or `default` if the attribute is absent.
    pub fn number_or(&self, default: f64) -> f64 {
        self.read(NUMBER, parse_number).unwrap_or(default)
    }

    /// Returns a fraction from 0 to 1, or `default` if the attribute is absent.
    pub fn fraction_or(&self, default: f64) -> f64 {
        self.read("a number from 0 to 1", |v| parse_number(v).filter(|n| *n <= 1.0)).unwrap_or(default)
    }

    /// Returns an integer within `range`.
    pub fn integer(&self, range: RangeInclusive<u64>) -> u64 {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        self.require(self.read(&expected, |v| parse_integer(v).filter(|n| range.contains(n))), &expected)
    }

    /// Returns an integer within `range`, or `default` if the attribute is absent.
    pub fn integer_or(&self, range: RangeInclusive<u64>, default: u64) -> u64 {
        if self.is_present() {
            self.integer(range)
        } else {
            default
        }
    }

    /// Returns a list of integers.
    pub fn integers(&self) -> Vec<u64> {
        let expected = "a list of whole numbers such as [0, 1]";
        self.require(self.read(expected, |v| v.as_array()?.iter().map(parse_integer).collect()), expected)
    }

    /// Returns a boolean, or `default` if the attribute is absent.
    pub fn bool_or(&self, default: bool) -> bool {
        self.read("true or false", Expression::as_bool).unwrap_or(default)
    }

    /// Returns a string.
    pub fn string(&self) -> String {
        self.require(self.read("a string", |v| v.as_str().map(str::to_string)), "a string")
    }

    /// Returns a string, or `default` if the attribute is absent.
    pub fn string_or(&self, default: &str) -> String {
        if self.is_present() {
            self.string()
        } else {
            default.to_string()
        }
    }

    /// Returns an address and port, written in the file as "127.0.0.1:7400", for example.
    pub fn address(&self) -> Option<SocketAddr> {
        self.require(self.read(ADDRESS, |v| v.as_str()?.parse().ok()).map(Some), ADDRESS)
    }

    /// Returns an address and port, or `default` if the attribute is absent.
    pub fn address_or(&self, default: SocketAddr) -> SocketAddr {
        if self.is_present() {
            self.address().unwrap_or(default)
        } else {
            default
        }
    }

    /// Looks up the string in a table of allowed names and returns the value for the name.
    pub fn one_of<T: Copy>(&self, table: &[(&str, T)]) -> Option<T> {
        let names: Vec<String> = table.iter().map(|(name, _)| format!("{name:?}")).collect();
        let expected = names.join(" or ");
        let find = |v: &Expression| {
            let text = v.as_str()?;
            table.iter().find(|(name, _)| *name == text).map(|(_, value)| *value)
        };
        self.require(self.read(&expected, find).map(Some), &expected)
    }

    /// Looks up the string in a table of allowed names; returns `default` if the attribute is absent.
    pub fn one_of_or<T: Copy>(&self, table: &[(&str, T)], default: T) -> T {
        if self.is_present() {
            self.one_of(table).unwrap_or(default)
        } else {
            default
        }
    }
}

fn parse_number(value: &Expression) -> Option<f64> {
    value.as_number()?.as_f64().filter(|n| n.is_finite() && *n >= 0.0)
}

fn parse_integer(value: &Expression) -> Option<u64> {
    value.as_number()?.as_u64()
}

fn parse_duration_ms(value: &Expression) -> Option<f64> {
    let text = value.as_str()?;
    let unit_start = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(unit_start);
    let length = UNITS.iter().find(|(name, _)| *name == unit.trim())?.1;
    number.parse::<f64>().ok().map(|n| n * length)
}

/// Returns the source text of a value, truncated to [`MAX_SHOWN_CHARACTERS`].
fn shorten(value: &Expression) -> String {
    let text = value.to_string();
    let text = text.trim();
    match text.char_indices().nth(MAX_SHOWN_CHARACTERS) {
        Some((cut, _)) => format!("{}...", &text[..cut]),
        None => text.to_string(),
    }
}
