//! One attribute, read as what it must be.

use crate::Part;
use hcl_edit::expr::Expression;
use hcl_edit::structure::Attribute;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// An attribute that is there or not. Reading it as something collects a fault where it is something else;
/// the value is then the type's default, which never comes to use.
pub struct Field<'p, 't> {
    part: &'p Part<'t>,
    name: &'static str,
    attribute: Option<&'t Attribute>,
}

/// Units of time that a value may name, and their lengths in milliseconds.
const UNITS: [(&str, f64); 5] =
    [("us", 0.001), ("ms", 1.0), ("s", 1000.0), ("min", 60_000.0), ("h", 3_600_000.0)];

impl<'p, 't> Field<'p, 't> {
    pub(crate) fn new(part: &'p Part<'t>, name: &'static str, attribute: Option<&'t Attribute>) -> Self {
        Field { part, name, attribute }
    }

    pub fn given(&self) -> bool {
        self.attribute.is_some()
    }

    /// The value through `reading`; none where the attribute is absent or at fault.
    fn read<T>(&self, expected: &str, reading: impl FnOnce(&Expression) -> Option<T>) -> Option<T> {
        let value = &self.attribute?.value;
        let read = reading(value);
        if read.is_none() {
            let found = shown(value);
            let message = format!("{}{} is {found}; expected {expected}", self.part.within(), self.name);
            self.part.all.add(self.part.value_place(value), message);
        }
        read
    }

    /// Collects a fault where the attribute is absent.
    fn must<T: Default>(&self, value: Option<T>, expected: &str) -> T {
        if self.attribute.is_none() {
            let message = format!("{}{} is missing; expected {expected}", self.part.within(), self.name);
            self.part.all.add(self.part.at, message);
        }
        value.unwrap_or_default()
    }

    /// A length of time in milliseconds, written as "200ms".
    pub fn time(&self) -> f64 {
        let expected = "a time as \"200ms\" or \"1.5s\"";
        self.must(self.read(expected, time), expected)
    }

    pub fn time_or(&self, absent: f64) -> f64 {
        self.read("a time as \"200ms\" or \"1.5s\"", time).unwrap_or(absent)
    }

    /// A number that is finite and not below 0.
    pub fn number(&self) -> f64 {
        self.must(self.read("a number from 0", amount), "a number from 0")
    }

    pub fn number_or(&self, absent: f64) -> f64 {
        self.read("a number from 0", amount).unwrap_or(absent)
    }

    /// A part of a whole, from 0 to 1.
    pub fn part_or(&self, absent: f64) -> f64 {
        self.read("a number from 0 to 1", |v| amount(v).filter(|n| *n <= 1.0)).unwrap_or(absent)
    }

    /// A whole number within a range.
    pub fn whole(&self, range: RangeInclusive<u64>) -> u64 {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        self.must(self.read(&expected, |v| whole(v).filter(|n| range.contains(n))), &expected)
    }

    pub fn whole_or(&self, range: RangeInclusive<u64>, absent: u64) -> u64 {
        if self.given() {
            self.whole(range)
        } else {
            absent
        }
    }

    pub fn wholes(&self) -> Vec<u64> {
        let expected = "a list of whole numbers as [0, 1]";
        self.must(self.read(expected, |v| v.as_array()?.iter().map(whole).collect()), expected)
    }

    pub fn flag_or(&self, absent: bool) -> bool {
        self.read("true or false", Expression::as_bool).unwrap_or(absent)
    }

    pub fn text(&self) -> String {
        self.must(self.read("a text", |v| v.as_str().map(str::to_string)), "a text")
    }

    pub fn text_or(&self, absent: &str) -> String {
        if self.given() {
            self.text()
        } else {
            absent.to_string()
        }
    }

    /// An address and port as "127.0.0.1:7400".
    pub fn address(&self) -> Option<SocketAddr> {
        let expected = "an address and port as \"127.0.0.1:7400\"";
        self.must(self.read(expected, |v| v.as_str()?.parse().ok()).map(Some), expected)
    }

    pub fn address_or(&self, absent: SocketAddr) -> SocketAddr {
        if self.given() {
            self.address().unwrap_or(absent)
        } else {
            absent
        }
    }

    /// One of a table's names, as what it stands for.
    pub fn one_of<T: Copy>(&self, table: &[(&str, T)]) -> Option<T> {
        let names: Vec<String> = table.iter().map(|(name, _)| format!("{name:?}")).collect();
        let expected = names.join(" or ");
        let find = |v: &Expression| {
            let text = v.as_str()?;
            table.iter().find(|(name, _)| *name == text).map(|(_, meant)| *meant)
        };
        self.must(self.read(&expected, find).map(Some), &expected)
    }

    pub fn one_of_or<T: Copy>(&self, table: &[(&str, T)], absent: T) -> T {
        if self.given() {
            self.one_of(table).unwrap_or(absent)
        } else {
            absent
        }
    }
}

fn amount(value: &Expression) -> Option<f64> {
    value.as_number()?.as_f64().filter(|n| n.is_finite() && *n >= 0.0)
}

fn whole(value: &Expression) -> Option<u64> {
    value.as_number()?.as_u64()
}

fn time(value: &Expression) -> Option<f64> {
    let text = value.as_str()?;
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(digits);
    let length = UNITS.iter().find(|(name, _)| *name == unit.trim())?.1;
    number.parse::<f64>().ok().map(|n| n * length)
}

/// A value as the file shows it, cut where it is long.
fn shown(value: &Expression) -> String {
    let text = value.to_string();
    let text = text.trim();
    match text.char_indices().nth(40) {
        Some((cut, _)) => format!("{}...", &text[..cut]),
        None => text.to_string(),
    }
}
