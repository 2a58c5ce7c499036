//! The head of a message: detection of its end, and its headers.

use crate::MAX_HEAD_BYTES;
use thiserror::Error;

/// Maximum number of headers.
pub(crate) const MAX_HEADERS: usize = 64;

/// Reason why bytes are not a valid head, whatever bytes follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The head is malformed.
    #[error("the head is malformed")]
    Malformed,
    /// The head is longer than [`MAX_HEAD_BYTES`].
    #[error("the head is too long")]
    TooLong,
}

/// Incremental search for the end of a head; each byte is examined once.
#[derive(Clone, Debug, Default)]
pub struct HeadReader {
    /// Number of bytes examined.
    examined: usize,
}

impl HeadReader {
    /// Returns the length of the head including the empty line; none where the head is incomplete.
    pub fn find_end(&mut self, input: &[u8]) -> Result<Option<usize>, HeadError> {
        while self.examined < input.len() {
            let (position, byte) = (self.examined, input[self.examined]);
            let previous = position.checked_sub(1).map(|i| input[i]);
            match byte {
                // A line must end with CR LF, as readers interpret a single CR or LF differently.
                b'\n' if previous != Some(b'\r') => return Err(HeadError::Malformed),
                b'\n' => {}
                _ if previous == Some(b'\r') => return Err(HeadError::Malformed),
                b'\r' | b'\t' | b' '..=b'~' | 0x80..=0xff => {}
                _ => return Err(HeadError::Malformed),
            }
            self.examined += 1;
            if input[..self.examined].ends_with(b"\r\n\r\n") {
                return Ok(Some(std::mem::take(&mut self.examined)));
            }
            if self.examined >= MAX_HEAD_BYTES {
                return Err(HeadError::TooLong);
            }
        }
        Ok(None)
    }
}

/// Error for a repeated header, or a length that is not one plain number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a header is repeated, or the length is not one plain number")]
pub struct AmbiguousHeader;

/// Headers of a message, in order.
#[derive(Clone, Debug, Default)]
pub struct Headers<'a>(Vec<(&'a str, &'a [u8])>);

impl<'a> Headers<'a> {
    pub(crate) fn from_parsed(headers: &[httparse::Header<'a>]) -> Headers<'a> {
        Headers(headers.iter().map(|h| (h.name, h.value)).collect())
    }

    /// Returns all values of a header.
    pub fn all<'b>(&'b self, name: &'b str) -> impl Iterator<Item = &'a [u8]> + 'b {
        self.0.iter().filter(move |header| header.0.eq_ignore_ascii_case(name)).map(|header| header.1)
    }

    /// Returns the value of a header that may occur at most once.
    pub fn single(&self, name: &str) -> Result<Option<&'a [u8]>, AmbiguousHeader> {
        let mut values = self.all(name);
        match (values.next(), values.next()) {
            (_, Some(_)) => Err(AmbiguousHeader),
            (first, None) => Ok(first),
        }
    }

    /// Returns whether a header that lists tokens contains a token.
    pub(crate) fn has_token(&self, name: &str, token: &str) -> bool {
        let token = token.as_bytes();
        self.all(name)
            .any(|list| list.split(|b| *b == b',').any(|t| t.trim_ascii().eq_ignore_ascii_case(token)))
    }

    /// Returns the body length that the head states.
    pub(crate) fn content_length(&self) -> Result<Option<u64>, AmbiguousHeader> {
        let Some(value) = self.single("content-length")? else { return Ok(None) };
        // Some readers would accept a sign, a list or an unlimited number of digits as a length.
        if value.is_empty() || value.len() > 18 || !value.iter().all(u8::is_ascii_digit) {
            return Err(AmbiguousHeader);
        }
        let length = value.iter().fold(0, |sum, digit| sum * 10 + u64::from(digit - b'0'));
        Ok(Some(length))
    }
}
