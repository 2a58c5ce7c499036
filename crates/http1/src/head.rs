//! The head of a message: where it ends, and its headers.

use crate::MAX_HEAD_BYTES;
use thiserror::Error;

/// The largest number of headers.
pub(crate) const MAX_HEADERS: usize = 64;

/// Why bytes are no head, however they go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// It is malformed.
    #[error("the head is malformed")]
    Malformed,
    /// It is longer than [`MAX_HEAD_BYTES`].
    #[error("the head is too long")]
    TooLong,
}

/// Finds where a head ends as its bytes arrive; each byte is examined once.
#[derive(Clone, Debug, Default)]
pub struct HeadReader {
    /// How many bytes were examined.
    seen: usize,
}

impl HeadReader {
    /// The length of the head with its empty line; none where that has not arrived yet.
    pub fn find_end(&mut self, input: &[u8]) -> Result<Option<usize>, HeadError> {
        while self.seen < input.len() {
            let (at, byte) = (self.seen, input[self.seen]);
            let before = at.checked_sub(1).map(|i| input[i]);
            match byte {
                // A line ends with both bytes: readers differ in what they make of one alone.
                b'\n' if before != Some(b'\r') => return Err(HeadError::Malformed),
                b'\n' => {}
                _ if before == Some(b'\r') => return Err(HeadError::Malformed),
                b'\r' | b'\t' | b' '..=b'~' | 0x80..=0xff => {}
                _ => return Err(HeadError::Malformed),
            }
            self.seen += 1;
            if input[..self.seen].ends_with(b"\r\n\r\n") {
                return Ok(Some(std::mem::take(&mut self.seen)));
            }
            if self.seen >= MAX_HEAD_BYTES {
                return Err(HeadError::TooLong);
            }
        }
        Ok(None)
    }
}

/// A header is repeated, or the length is not one plain number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a header is repeated, or the length is not one plain number")]
pub struct AmbiguousHeader;

/// The headers of a message, in their order.
#[derive(Clone, Debug, Default)]
pub struct Headers<'a>(Vec<(&'a str, &'a [u8])>);

impl<'a> Headers<'a> {
    pub(crate) fn from_parsed(headers: &[httparse::Header<'a>]) -> Headers<'a> {
        Headers(headers.iter().map(|h| (h.name, h.value)).collect())
    }

    /// All values of a header.
    pub fn all<'b>(&'b self, name: &'b str) -> impl Iterator<Item = &'a [u8]> + 'b {
        self.0.iter().filter(move |f| f.0.eq_ignore_ascii_case(name)).map(|f| f.1)
    }

    /// The value of a header that may be there once.
    pub fn single(&self, name: &str) -> Result<Option<&'a [u8]>, AmbiguousHeader> {
        let mut all = self.all(name);
        match (all.next(), all.next()) {
            (_, Some(_)) => Err(AmbiguousHeader),
            (first, None) => Ok(first),
        }
    }

    /// Whether a header that lists tokens names one.
    pub(crate) fn has_token(&self, name: &str, word: &str) -> bool {
        let word = word.as_bytes();
        self.all(name)
            .any(|list| list.split(|b| *b == b',').any(|w| w.trim_ascii().eq_ignore_ascii_case(word)))
    }

    /// The length of the body as the head states it.
    pub(crate) fn content_length(&self) -> Result<Option<u64>, AmbiguousHeader> {
        let Some(value) = self.single("content-length")? else { return Ok(None) };
        // A sign, a list or digits without end are lengths to some readers.
        if value.is_empty() || value.len() > 18 || !value.iter().all(u8::is_ascii_digit) {
            return Err(AmbiguousHeader);
        }
        let length = value.iter().fold(0, |sum, digit| sum * 10 + u64::from(digit - b'0'));
        Ok(Some(length))
    }
}
