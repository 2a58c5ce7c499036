//! One attribute, read as the type that its reader expects.

use crate::errors::ErrorKind;
use crate::SettingsBlock;
use hcl_edit::expr::Expression;
use hcl_edit::structure::Attribute;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// An attribute, present or not. Reading it as another type than it has collects an error; the value is then the type's
/// default, which is never used.
pub struct SettingsAttribute<'b, 't> {
    block: &'b SettingsBlock<'t>,
    name: &'static str,
    attribute: Option<&'t Attribute>,
}

/// Units of time that a value may name, and their lengths in milliseconds.
const UNITS: [(&str, f64); 5] =
    [("us", 0.001), ("ms", 1.0), ("s", 1000.0), ("min", 60_000.0), ("h", 3_600_000.0)];

/// Characters of a value that a message shows.
const SHOWN_CHARACTERS: usize = 40;

const DURATION: &str = "a time as \"200ms\" or \"1.5s\"";
const NUMBER: &str = "a number from 0";
const ADDRESS: &str = "an address and port as \"127.0.0.1:7400\"";

impl<'b, 't> SettingsAttribute<'b, 't> {
    pub(crate) fn new(
        block: &'b SettingsBlock<'t>,
        name: &'static str,
        attribute: Option<&'t Attribute>,
    ) -> Self {
        SettingsAttribute { block, name, attribute }
    }

    /// Whether the file has the attribute.
    pub fn is_present(&self) -> bool {
        self.attribute.is_some()
    }

    /// The value through `parse`; none where the attribute is absent or wrong.
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

    /// Collects an error where the attribute is absent.
    fn require<T: Default>(&self, value: Option<T>, expected: &str) -> T {
        if self.attribute.is_none() {
            let (scope, name, expected) = (self.block.scope(), self.name, expected.to_string());
            self.block.add_error(ErrorKind::AttributeMissing { scope, name, expected });
        }
        value.unwrap_or_default()
    }

    /// A length of time in milliseconds, written as "200ms".
    pub fn duration_ms(&self) -> f64 {
        self.require(self.read(DURATION, parse_duration_ms), DURATION)
    }

    /// A length of time in milliseconds, with a default.
    pub fn duration_ms_or(&self, default: f64) -> f64 {
        self.read(DURATION, parse_duration_ms).unwrap_or(default)
    }

    /// A number that is finite and not below 0.
    pub fn number(&self) -> f64 {
        self.require(self.read(NUMBER, parse_number), NUMBER)
    }

    /// A number that is finite and not below 0, with a default.
    pub fn number_or(&self, default: f64) -> f64 {
        self.read(NUMBER, parse_number).unwrap_or(default)
    }

    /// A fraction from 0 to 1, with a default.
    pub fn fraction_or(&self, default: f64) -> f64 {
        self.read("a number from 0 to 1", |v| parse_number(v).filter(|n| *n <= 1.0)).unwrap_or(default)
    }

    /// An integer within a range.
    pub fn integer(&self, range: RangeInclusive<u64>) -> u64 {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        self.require(self.read(&expected, |v| parse_integer(v).filter(|n| range.contains(n))), &expected)
    }

    /// An integer within a range, with a default.
    pub fn integer_or(&self, range: RangeInclusive<u64>, default: u64) -> u64 {
        if self.is_present() {
            self.integer(range)
        } else {
            default
        }
    }

    /// A list of integers.
    pub fn integers(&self) -> Vec<u64> {
        let expected = "a list of whole numbers as [0, 1]";
        self.require(self.read(expected, |v| v.as_array()?.iter().map(parse_integer).collect()), expected)
    }

    /// True or false, with a default.
    pub fn bool_or(&self, default: bool) -> bool {
        self.read("true or false", Expression::as_bool).unwrap_or(default)
    }

    /// A string.
    pub fn string(&self) -> String {
        self.require(self.read("a text", |v| v.as_str().map(str::to_string)), "a text")
    }

    /// A string, with a default.
    pub fn string_or(&self, default: &str) -> String {
        if self.is_present() {
            self.string()
        } else {
            default.to_string()
        }
    }

    /// An address and port as "127.0.0.1:7400".
    pub fn address(&self) -> Option<SocketAddr> {
        self.require(self.read(ADDRESS, |v| v.as_str()?.parse().ok()).map(Some), ADDRESS)
    }

    /// An address and port, with a default.
    pub fn address_or(&self, default: SocketAddr) -> SocketAddr {
        if self.is_present() {
            self.address().unwrap_or(default)
        } else {
            default
        }
    }

    /// One of a table's names, as the value beside it.
    pub fn one_of<T: Copy>(&self, table: &[(&str, T)]) -> Option<T> {
        let names: Vec<String> = table.iter().map(|(name, _)| format!("{name:?}")).collect();
        let expected = names.join(" or ");
        let find = |v: &Expression| {
            let text = v.as_str()?;
            table.iter().find(|(name, _)| *name == text).map(|(_, value)| *value)
        };
        self.require(self.read(&expected, find).map(Some), &expected)
    }

    /// One of a table's names, as the value beside it, with a default.
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
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(digits);
    let length = UNITS.iter().find(|(name, _)| *name == unit.trim())?.1;
    number.parse::<f64>().ok().map(|n| n * length)
}

/// A value as the file has it, shortened where it is long.
fn shorten(value: &Expression) -> String {
    let text = value.to_string();
    let text = text.trim();
    match text.char_indices().nth(SHOWN_CHARACTERS) {
        Some((cut, _)) => format!("{}...", &text[..cut]),
        None => text.to_string(),
    }
}
