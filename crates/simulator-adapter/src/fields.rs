//! Reader of the fields of a frame, which are little-endian and packed; every length is checked.

use crate::error::AdapterError;
use std::fmt::Display;

/// Cursor over one frame.
pub(crate) struct Fields<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Fields<'a> {
    /// Creates a cursor at the start of a frame.
    pub(crate) fn new(bytes: &'a [u8]) -> Fields<'a> {
        Fields { bytes, position: 0 }
    }

    /// Returns whether the whole frame was read.
    pub(crate) fn at_end(&self) -> bool {
        self.position == self.bytes.len()
    }

    /// Returns an error about the last field read.
    pub(crate) fn invalid(&self, problem: impl Display) -> AdapterError {
        AdapterError::Invalid { problem: problem.to_string(), position: self.position }
    }

    /// Reads the next `length` bytes.
    pub(crate) fn bytes(&mut self, length: usize, field: &'static str) -> Result<&'a [u8], AdapterError> {
        self.check_remaining(length, field)?;
        let start = self.position;
        self.position += length;
        Ok(&self.bytes[start..self.position])
    }

    /// Checks that at least `length` bytes remain in the frame. Callers check a count from the frame before they
    /// allocate memory by it.
    pub(crate) fn check_remaining(&self, length: usize, field: &'static str) -> Result<(), AdapterError> {
        if self.bytes.len() - self.position < length {
            return Err(AdapterError::TruncatedField { field, position: self.position });
        }
        Ok(())
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], AdapterError> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N, field)?);
        Ok(array)
    }

    /// Reads the next byte.
    pub(crate) fn u8(&mut self, field: &'static str) -> Result<u8, AdapterError> {
        Ok(self.array::<1>(field)?[0])
    }

    /// Reads the next two bytes as an integer.
    pub(crate) fn u16(&mut self, field: &'static str) -> Result<u16, AdapterError> {
        Ok(u16::from_le_bytes(self.array(field)?))
    }

    /// Reads the next four bytes as an integer.
    pub(crate) fn u32(&mut self, field: &'static str) -> Result<u32, AdapterError> {
        Ok(u32::from_le_bytes(self.array(field)?))
    }

    /// Reads the next eight bytes as an integer.
    pub(crate) fn u64(&mut self, field: &'static str) -> Result<u64, AdapterError> {
        Ok(u64::from_le_bytes(self.array(field)?))
    }

    /// Reads the next four bytes as a number, which must be finite.
    pub(crate) fn f32(&mut self, field: &'static str) -> Result<f64, AdapterError> {
        let value = f32::from_le_bytes(self.array(field)?);
        if !value.is_finite() {
            return Err(self.invalid(format_args!("{field} is not a finite number")));
        }
        Ok(f64::from(value))
    }
}
