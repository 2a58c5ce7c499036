//! Reading and writing of a frame's fields, which are little-endian and packed. Every length is checked.

use crate::DecodeError;

/// A cursor over the fields of one frame.
pub(crate) struct FieldReader<'a>(&'a [u8]);

impl<'a> FieldReader<'a> {
    /// Creates a cursor at the first field.
    pub(crate) fn new(bytes: &'a [u8]) -> FieldReader<'a> {
        FieldReader(bytes)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], DecodeError> {
        let (field_bytes, remainder) =
            self.0.split_first_chunk::<N>().ok_or(DecodeError::Truncated(field))?;
        self.0 = remainder;
        Ok(*field_bytes)
    }

    /// Reads one byte.
    pub(crate) fn u8(&mut self, field: &'static str) -> Result<u8, DecodeError> {
        Ok(self.array::<1>(field)?[0])
    }

    /// Reads two bytes.
    pub(crate) fn u16(&mut self, field: &'static str) -> Result<u16, DecodeError> {
        Ok(u16::from_le_bytes(self.array(field)?))
    }

    /// Reads four bytes.
    pub(crate) fn u32(&mut self, field: &'static str) -> Result<u32, DecodeError> {
        Ok(u32::from_le_bytes(self.array(field)?))
    }

    /// Reads eight bytes.
    pub(crate) fn u64(&mut self, field: &'static str) -> Result<u64, DecodeError> {
        Ok(u64::from_le_bytes(self.array(field)?))
    }

    /// Reads `length` bytes.
    pub(crate) fn bytes(&mut self, length: usize, field: &'static str) -> Result<&'a [u8], DecodeError> {
        let (field_bytes, remainder) =
            self.0.split_at_checked(length).ok_or(DecodeError::Truncated(field))?;
        self.0 = remainder;
        Ok(field_bytes)
    }

    /// Returns whether all bytes have been read.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Reads a number that must be finite and not below 0.
    pub(crate) fn amount(&mut self, field: &'static str) -> Result<f32, DecodeError> {
        let value = f32::from_le_bytes(self.array(field)?);
        let is_amount = value.is_finite() && value >= 0.0;
        is_amount.then_some(value).ok_or(DecodeError::InvalidField(field))
    }

    /// Reads a byte that must be 0 or 1.
    pub(crate) fn flag(&mut self, field: &'static str) -> Result<bool, DecodeError> {
        match self.u8(field)? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(DecodeError::InvalidField(field)),
        }
    }

    /// Reads a byte that is an index into a table of values.
    pub(crate) fn one_of<T: Copy>(&mut self, values: &[T], field: &'static str) -> Result<T, DecodeError> {
        let index = usize::from(self.u8(field)?);
        values.get(index).copied().ok_or(DecodeError::InvalidField(field))
    }
}

/// Writer that appends fields to the output.
pub(crate) struct FieldWriter<'a>(pub &'a mut Vec<u8>);

impl FieldWriter<'_> {
    /// Appends bytes as they are.
    pub(crate) fn bytes(&mut self, bytes: &[u8]) -> &mut Self {
        self.0.extend_from_slice(bytes);
        self
    }

    /// Appends one byte.
    pub(crate) fn u8(&mut self, value: u8) -> &mut Self {
        self.0.push(value);
        self
    }

    /// Appends two bytes.
    pub(crate) fn u16(&mut self, value: u16) -> &mut Self {
        self.bytes(&value.to_le_bytes())
    }

    /// Appends four bytes.
    pub(crate) fn u32(&mut self, value: u32) -> &mut Self {
        self.bytes(&value.to_le_bytes())
    }

    /// Appends eight bytes.
    pub(crate) fn u64(&mut self, value: u64) -> &mut Self {
        self.bytes(&value.to_le_bytes())
    }

    /// Appends a number in four bytes.
    pub(crate) fn f32(&mut self, value: f32) -> &mut Self {
        self.bytes(&value.to_le_bytes())
    }

    /// Appends a byte that is 0 or 1.
    pub(crate) fn flag(&mut self, value: bool) -> &mut Self {
        self.u8(u8::from(value))
    }

    /// Appends the index of a value in a table, which must contain the value.
    pub(crate) fn one_of<T: PartialEq>(&mut self, values: &[T], value: &T) -> &mut Self {
        let index = values.iter().position(|v| v == value);
        self.u8(index.unwrap_or(0) as u8)
    }
}
