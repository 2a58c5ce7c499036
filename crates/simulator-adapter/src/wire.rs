//! Reads and writes the fields of the bench's frames: little-endian, packed, every length checked.

use std::fmt::Display;

/// What was wrong with the input, and where; the adapter ends with it.
pub type Fault = String;

/// A cursor over one frame.
pub struct Fields<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Fields<'a> {
    pub fn new(bytes: &'a [u8]) -> Fields<'a> {
        Fields { bytes, at: 0 }
    }

    pub fn at_end(&self) -> bool {
        self.at == self.bytes.len()
    }

    pub fn fault(&self, what: impl Display) -> Fault {
        format!("{what}, before byte {} of the frame", self.at)
    }

    pub fn take(&mut self, n: usize, what: &str) -> Result<&'a [u8], Fault> {
        self.holds(n, what)?;
        self.at += n;
        Ok(&self.bytes[self.at - n..self.at])
    }

    /// Whether the frame still holds so many bytes, before anything is sized by a count from it.
    pub fn holds(&self, n: usize, what: &str) -> Result<(), Fault> {
        if self.bytes.len() - self.at < n {
            return Err(format!("{what} is cut short at byte {} of the frame", self.at));
        }
        Ok(())
    }

    fn fixed<const N: usize>(&mut self, what: &str) -> Result<[u8; N], Fault> {
        let mut field = [0; N];
        field.copy_from_slice(self.take(N, what)?);
        Ok(field)
    }

    pub fn u8(&mut self, what: &str) -> Result<u8, Fault> {
        Ok(self.fixed::<1>(what)?[0])
    }

    pub fn u16(&mut self, what: &str) -> Result<u16, Fault> {
        Ok(u16::from_le_bytes(self.fixed(what)?))
    }

    pub fn u32(&mut self, what: &str) -> Result<u32, Fault> {
        Ok(u32::from_le_bytes(self.fixed(what)?))
    }

    pub fn u64(&mut self, what: &str) -> Result<u64, Fault> {
        Ok(u64::from_le_bytes(self.fixed(what)?))
    }

    /// A number that must be finite.
    pub fn f32(&mut self, what: &str) -> Result<f64, Fault> {
        let value = f32::from_le_bytes(self.fixed(what)?);
        if value.is_finite() {
            return Ok(f64::from(value));
        }
        Err(self.fault(format!("{what} is not a finite number")))
    }
}

/// One reply under way.
#[derive(Default)]
pub struct Reply {
    pub bytes: Vec<u8>,
}

impl Reply {
    pub fn open(&mut self, batch: u32) {
        self.bytes.clear();
        self.u32(0).u32(batch);
    }

    pub fn close(&mut self) -> Result<&[u8], Fault> {
        let len =
            u32::try_from(self.bytes.len()).map_err(|_| "a reply outgrew its length field".to_string())?;
        self.bytes[..4].copy_from_slice(&len.to_le_bytes());
        Ok(&self.bytes)
    }

    pub fn put(&mut self, bytes: &[u8]) -> &mut Reply {
        self.bytes.extend_from_slice(bytes);
        self
    }

    pub fn u8(&mut self, v: u8) -> &mut Reply {
        self.bytes.push(v);
        self
    }

    pub fn u16(&mut self, v: u16) -> &mut Reply {
        self.bytes.extend_from_slice(&v.to_le_bytes());
        self
    }

    pub fn u32(&mut self, v: u32) -> &mut Reply {
        self.bytes.extend_from_slice(&v.to_le_bytes());
        self
    }

    pub fn u64(&mut self, v: u64) -> &mut Reply {
        self.bytes.extend_from_slice(&v.to_le_bytes());
        self
    }
}
