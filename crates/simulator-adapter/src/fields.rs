//! Reads the fields of a frame: little-endian, packed, every length checked.

use crate::error::AdapterError;
use std::fmt::Display;

/// A cursor over one frame.
pub(crate) struct Fields<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Fields<'a> {
    /// A cursor at the start of a frame.
    pub(crate) fn new(bytes: &'a [u8]) -> Fields<'a> {
        Fields { bytes, position: 0 }
    }

    /// Whether the whole frame was read.
    pub(crate) fn at_end(&self) -> bool {
        self.position == self.bytes.len()
    }

    /// An error about what was just read.
    pub(crate) fn invalid(&self, problem: impl Display) -> AdapterError {
        AdapterError::Invalid { problem: problem.to_string(), position: self.position }
    }

    /// The next `length` bytes.
    pub(crate) fn bytes(&mut self, length: usize, field: &'static str) -> Result<&'a [u8], AdapterError> {
        self.check_remaining(length, field)?;
        let start = self.position;
        self.position += length;
        Ok(&self.bytes[start..self.position])
    }

    /// Checks that the frame still holds so many bytes, before anything is allocated by a count from it.
    pub(crate) fn check_remaining(&self, length: usize, field: &'static str) -> Result<(), AdapterError> {
        if self.bytes.len() - self.position < length {
            return Err(AdapterError::FieldCutShort { field, position: self.position });
        }
        Ok(())
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], AdapterError> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N, field)?);
        Ok(array)
    }

    /// The next byte.
    pub(crate) fn u8(&mut self, field: &'static str) -> Result<u8, AdapterError> {
        Ok(self.array::<1>(field)?[0])
    }

    /// The next two bytes.
    pub(crate) fn u16(&mut self, field: &'static str) -> Result<u16, AdapterError> {
        Ok(u16::from_le_bytes(self.array(field)?))
    }

    /// The next four bytes.
    pub(crate) fn u32(&mut self, field: &'static str) -> Result<u32, AdapterError> {
        Ok(u32::from_le_bytes(self.array(field)?))
    }

    /// The next eight bytes.
    pub(crate) fn u64(&mut self, field: &'static str) -> Result<u64, AdapterError> {
        Ok(u64::from_le_bytes(self.array(field)?))
    }

    /// The next number, which must be finite.
    pub(crate) fn f32(&mut self, field: &'static str) -> Result<f64, AdapterError> {
        let value = f32::from_le_bytes(self.array(field)?);
        if !value.is_finite() {
            return Err(self.invalid(format_args!("{field} is not a finite number")));
        }
        Ok(f64::from(value))
    }
}
