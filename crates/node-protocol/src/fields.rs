//! A cursor over the fields of one frame, little-endian and packed, every length checked.

use crate::Fault;

pub struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    pub fn new(bytes: &'a [u8]) -> Fields<'a> {
        Fields(bytes)
    }

    fn fixed<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], Fault> {
        let (first, rest) = self.0.split_first_chunk::<N>().ok_or(Fault::CutShort(field))?;
        self.0 = rest;
        Ok(*first)
    }

    pub fn u8(&mut self, field: &'static str) -> Result<u8, Fault> {
        Ok(self.fixed::<1>(field)?[0])
    }

    pub fn u16(&mut self, field: &'static str) -> Result<u16, Fault> {
        Ok(u16::from_le_bytes(self.fixed(field)?))
    }

    pub fn u32(&mut self, field: &'static str) -> Result<u32, Fault> {
        Ok(u32::from_le_bytes(self.fixed(field)?))
    }

    pub fn u64(&mut self, field: &'static str) -> Result<u64, Fault> {
        Ok(u64::from_le_bytes(self.fixed(field)?))
    }

    pub fn bytes(&mut self, length: usize, field: &'static str) -> Result<&'a [u8], Fault> {
        let (first, rest) = self.0.split_at_checked(length).ok_or(Fault::CutShort(field))?;
        self.0 = rest;
        Ok(first)
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// A number that must be finite and not below 0.
    pub fn amount(&mut self, field: &'static str) -> Result<f32, Fault> {
        let value = f32::from_le_bytes(self.fixed(field)?);
        (value.is_finite() && value >= 0.0).then_some(value).ok_or(Fault::Impossible(field))
    }

    pub fn flag(&mut self, field: &'static str) -> Result<bool, Fault> {
        match self.u8(field)? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(Fault::Impossible(field)),
        }
    }
}
