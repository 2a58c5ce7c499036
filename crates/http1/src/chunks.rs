//! A body in chunks, as its bytes come.

use crate::answer::Spoilt;
use crate::MOST_HEAD;

/// The longest line that says how long a chunk is.
const MOST_LINE: usize = 256;

/// Reads one body; what it used of the input is the caller's to take away.
#[derive(Clone, Debug, Default)]
pub(crate) struct Chunks {
    pub body: Vec<u8>,
    /// Behind the last chunk: how many bytes of trailing fields came so far.
    trailer: Option<usize>,
}

impl Chunks {
    /// How many bytes of the input were used, and whether the body is whole; it has `most` bytes at most.
    pub fn read(&mut self, input: &[u8], most: usize) -> Result<(usize, bool), Spoilt> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match self.trailer {
                None => {
                    let Some((line, data)) = chunk(rest, most - self.body.len())? else {
                        return Ok((used, false));
                    };
                    self.body.extend_from_slice(data);
                    used += line;
                    match data {
                        [] => self.trailer = Some(0),
                        _ => used += data.len() + 2,
                    }
                }
                Some(before) => match line(rest, MOST_HEAD - before)? {
                    Some(0) => return Ok((used + 2, true)),
                    Some(length) => {
                        used += length + 2;
                        self.trailer = Some((before + length + 2).min(MOST_HEAD));
                    }
                    None => return Ok((used, false)),
                },
            }
        }
    }
}

/// The length of a line without its end; none where that has not come.
fn line(input: &[u8], most: usize) -> Result<Option<usize>, Spoilt> {
    match input.iter().take(most + 2).position(|b| *b == b'\n') {
        Some(at) if at > 0 && input[at - 1] == b'\r' => Ok(Some(at - 1)),
        Some(_) => Err(Spoilt),
        None if input.len() >= most + 2 => Err(Spoilt),
        None => Ok(None),
    }
}

/// A whole chunk: the length of its line with the end, and its data.
fn chunk(input: &[u8], most: usize) -> Result<Option<(usize, &[u8])>, Spoilt> {
    let Some(end) = line(input, MOST_LINE)? else { return Ok(None) };
    let digits = input[..end].split(|b| *b == b';').next().unwrap_or_default().trim_ascii_end();
    let text = std::str::from_utf8(digits).map_err(|_| Spoilt)?;
    if text.is_empty() || text.len() > 8 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(Spoilt);
    }
    let size = usize::from_str_radix(text, 16).map_err(|_| Spoilt)?;
    if size > most {
        return Err(Spoilt);
    }
    let start = end + 2;
    if size == 0 {
        return Ok(Some((start, &[])));
    }
    match input.get(start..start + size + 2) {
        Some(data) if data.ends_with(b"\r\n") => Ok(Some((start, &data[..size]))),
        Some(_) => Err(Spoilt),
        None => Ok(None),
    }
}
