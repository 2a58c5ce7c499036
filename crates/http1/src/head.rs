//! The head of a message: where it ends, and its fields.

use crate::MAX_HEAD_BYTES;

/// More fields than any message of ours has.
pub(crate) const MAX_HEADERS: usize = 64;

/// Why a head cannot be one, however it goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    Malformed,
    TooLong,
}

/// Finds where a head ends as its bytes come; each byte is looked at once.
#[derive(Clone, Debug, Default)]
pub struct HeadReader {
    seen: usize,
}

impl HeadReader {
    /// The length of the head with its empty line; none where that has not come yet.
    pub fn end(&mut self, input: &[u8]) -> Result<Option<usize>, HeadError> {
        while self.seen < input.len() {
            let (at, byte) = (self.seen, input[self.seen]);
            let before = at.checked_sub(1).map(|i| input[i]);
            match byte {
                // A line's end is both bytes or none: readers differ in what they make of one alone.
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

/// A field that stands twice, or a length that is not one plain number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AmbiguousHeader;

/// A head's fields in their order.
#[derive(Clone, Debug, Default)]
pub struct Headers<'a>(Vec<(&'a str, &'a [u8])>);

impl<'a> Headers<'a> {
    pub(crate) fn from_parsed(headers: &[httparse::Header<'a>]) -> Headers<'a> {
        Headers(headers.iter().map(|h| (h.name, h.value)).collect())
    }

    pub fn all<'b>(&'b self, name: &'b str) -> impl Iterator<Item = &'a [u8]> + 'b {
        self.0.iter().filter(move |f| f.0.eq_ignore_ascii_case(name)).map(|f| f.1)
    }

    /// A field that may stand once; an error where it stands twice.
    pub fn single(&self, name: &str) -> Result<Option<&'a [u8]>, AmbiguousHeader> {
        let mut all = self.all(name);
        match (all.next(), all.next()) {
            (_, Some(_)) => Err(AmbiguousHeader),
            (first, None) => Ok(first),
        }
    }

    /// Whether a list of words names one.
    pub(crate) fn has_token(&self, name: &str, word: &str) -> bool {
        let word = word.as_bytes();
        self.all(name)
            .any(|list| list.split(|b| *b == b',').any(|w| w.trim_ascii().eq_ignore_ascii_case(word)))
    }

    /// The body's stated length: an error where that is not one plain number.
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
