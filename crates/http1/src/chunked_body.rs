//! A body in chunks, as its bytes arrive.

use crate::response::MalformedResponse;
use crate::MAX_HEAD_BYTES;

/// The longest line that states the size of a chunk.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Reads one body. The caller removes what was used of the input.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChunkedBodyReader {
    /// The data so far.
    pub body: Vec<u8>,
    /// After the last chunk: how many bytes of trailers have arrived.
    trailer: Option<usize>,
}

impl ChunkedBodyReader {
    /// How many bytes of the input were used, and whether the body is complete. It has `limit` bytes at most.
    pub(crate) fn read(&mut self, input: &[u8], limit: usize) -> Result<(usize, bool), MalformedResponse> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match self.trailer {
                None => {
                    let Some((line, data)) = chunk(rest, limit - self.body.len())? else {
                        return Ok((used, false));
                    };
                    self.body.extend_from_slice(data);
                    used += line;
                    match data {
                        [] => self.trailer = Some(0),
                        _ => used += data.len() + 2,
                    }
                }
                Some(before) => match line(rest, MAX_HEAD_BYTES - before)? {
                    Some(0) => return Ok((used + 2, true)),
                    Some(length) => {
                        used += length + 2;
                        self.trailer = Some((before + length + 2).min(MAX_HEAD_BYTES));
                    }
                    None => return Ok((used, false)),
                },
            }
        }
    }
}

/// The length of a line without its end; none where that has not arrived.
fn line(input: &[u8], limit: usize) -> Result<Option<usize>, MalformedResponse> {
    match input.iter().take(limit + 2).position(|b| *b == b'\n') {
        Some(at) if at > 0 && input[at - 1] == b'\r' => Ok(Some(at - 1)),
        Some(_) => Err(MalformedResponse),
        None if input.len() >= limit + 2 => Err(MalformedResponse),
        None => Ok(None),
    }
}

/// A complete chunk: the length of its line with the end, and its data.
fn chunk(input: &[u8], limit: usize) -> Result<Option<(usize, &[u8])>, MalformedResponse> {
    let Some(end) = line(input, MAX_CHUNK_LINE_BYTES)? else { return Ok(None) };
    let digits = input[..end].split(|b| *b == b';').next().unwrap_or_default().trim_ascii_end();
    let text = std::str::from_utf8(digits).map_err(|_| MalformedResponse)?;
    if text.is_empty() || text.len() > 8 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(MalformedResponse);
    }
    let size = usize::from_str_radix(text, 16).map_err(|_| MalformedResponse)?;
    if size > limit {
        return Err(MalformedResponse);
    }
    let start = end + 2;
    if size == 0 {
        return Ok(Some((start, &[])));
    }
    match input.get(start..start + size + 2) {
        Some(data) if data.ends_with(b"\r\n") => Ok(Some((start, &data[..size]))),
        Some(_) => Err(MalformedResponse),
        None => Ok(None),
    }
}
