//! Incremental reader of chunked bodies.

use crate::response::MalformedResponse;
use crate::MAX_HEAD_BYTES;

/// Maximum length of the line that states a chunk's size.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Reader of one body. The caller removes the used bytes from the input.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChunkedBodyReader {
    /// Data received so far, except for dropped data.
    pub body: Vec<u8>,
    /// Number of bytes of dropped data.
    dropped: usize,
    /// Number of trailer bytes received; none until the final chunk, which has size 0, was read.
    trailer: Option<usize>,
}

impl ChunkedBodyReader {
    /// Drops the data received so far, which continues to count towards the limit of the body.
    pub(crate) fn drop_body(&mut self) {
        self.dropped += std::mem::take(&mut self.body).len();
    }

    /// Returns the number of input bytes used, and whether the body is complete. Rejects a body of more than
    /// `limit` bytes.
    pub(crate) fn read(&mut self, input: &[u8], limit: usize) -> Result<(usize, bool), MalformedResponse> {
        let mut used = 0;
        loop {
            let unread = &input[used..];
            match self.trailer {
                None => {
                    let Some((line_length, data)) =
                        read_chunk(unread, limit - self.dropped - self.body.len())?
                    else {
                        return Ok((used, false));
                    };
                    self.body.extend_from_slice(data);
                    used += line_length;
                    match data {
                        [] => self.trailer = Some(0),
                        _ => used += data.len() + 2,
                    }
                }
                Some(trailer_bytes) => match read_line_length(unread, MAX_HEAD_BYTES - trailer_bytes)? {
                    Some(0) => return Ok((used + 2, true)),
                    Some(length) => {
                        used += length + 2;
                        self.trailer = Some((trailer_bytes + length + 2).min(MAX_HEAD_BYTES));
                    }
                    None => return Ok((used, false)),
                },
            }
        }
    }
}

/// Returns the length of a line without its line break; none where the line is incomplete.
fn read_line_length(input: &[u8], limit: usize) -> Result<Option<usize>, MalformedResponse> {
    match input.iter().take(limit + 2).position(|b| *b == b'\n') {
        Some(position) if position > 0 && input[position - 1] == b'\r' => Ok(Some(position - 1)),
        Some(_) => Err(MalformedResponse),
        None if input.len() >= limit + 2 => Err(MalformedResponse),
        None => Ok(None),
    }
}

/// Returns a complete chunk: the length of its size line with the line break, and its data.
fn read_chunk(input: &[u8], limit: usize) -> Result<Option<(usize, &[u8])>, MalformedResponse> {
    let Some(end) = read_line_length(input, MAX_CHUNK_LINE_BYTES)? else { return Ok(None) };
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
