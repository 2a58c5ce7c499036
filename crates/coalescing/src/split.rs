//! How a large read is cut along the map, and put together again.

/// Cuts the blocks from `start` to `end` at the edges of extents, and into pieces of at most `most` blocks.
/// `edges` rise; those outside are passed over.
pub fn cut(start: u64, end: u64, edges: impl Iterator<Item = u64>, most: u64) -> Vec<(u64, u64)> {
    let mut pieces = Vec::new();
    let mut from = start;
    for edge in edges.filter(|e| *e > start && *e < end).chain([end]) {
        // Equal pieces, so that none is a crumb that costs a request of its own.
        let count = (edge - from).div_ceil(most.max(1)).max(1);
        let length = (edge - from).div_ceil(count);
        while from < edge {
            let to = (from + length).min(edge);
            pieces.push((from, to));
            from = to;
        }
    }
    pieces
}

enum Stage {
    Held,
    Out,
    Brought(Vec<u8>),
}

/// What a piece that came made of the whole.
#[derive(Debug, PartialEq)]
pub enum Progress {
    /// Others are still to come, or the whole is over already.
    Pending,
    Whole(Vec<u8>),
    /// More than may be buffered for one read.
    TooLarge,
}

/// A read in pieces: which are out, which came. Once it is over it takes nothing any more.
pub struct SplitRead {
    pieces: Vec<Stage>,
    at_once: usize,
    next: usize,
    out: usize,
    left: usize,
    bytes: usize,
    most_bytes: usize,
    over: bool,
}

impl SplitRead {
    /// `at_once` pieces are out at a time, and `most_bytes` are kept.
    pub fn new(pieces: usize, at_once: usize, most_bytes: usize) -> SplitRead {
        SplitRead {
            pieces: (0..pieces).map(|_| Stage::Held).collect(),
            at_once: at_once.max(1),
            next: 0,
            out: 0,
            left: pieces,
            bytes: 0,
            most_bytes,
            over: false,
        }
    }

    /// The next piece to ask for, where one more may be out.
    pub fn begin(&mut self) -> Option<usize> {
        if self.over || self.out >= self.at_once || self.next >= self.pieces.len() {
            return None;
        }
        let piece = self.next;
        self.pieces[piece] = Stage::Out;
        (self.next, self.out) = (piece + 1, self.out + 1);
        Some(piece)
    }

    pub fn brought(&mut self, piece: usize, payload: Vec<u8>) -> Progress {
        if self.over || !matches!(self.pieces[piece], Stage::Out) {
            return Progress::Pending;
        }
        self.bytes += payload.len();
        (self.out, self.left) = (self.out - 1, self.left - 1);
        self.pieces[piece] = Stage::Brought(payload);
        if self.bytes > self.most_bytes {
            return Progress::TooLarge;
        }
        if self.left > 0 {
            return Progress::Pending;
        }
        self.over = true;
        let mut whole = Vec::with_capacity(self.bytes);
        for stage in self.pieces.drain(..) {
            if let Stage::Brought(payload) = stage {
                whole.extend_from_slice(&payload);
            }
        }
        Progress::Whole(whole)
    }

    /// The first failure decides the rest: the pieces that are out, and not to be waited for any more.
    pub fn end(&mut self) -> Vec<usize> {
        if std::mem::replace(&mut self.over, true) {
            return Vec::new();
        }
        let out = self.pieces.iter().enumerate().filter(|(_, s)| matches!(s, Stage::Out));
        let out = out.map(|(piece, _)| piece).collect();
        self.pieces.clear();
        out
    }
}
