//! Splits a large read along the extent map and reassembles it.

/// Splits the blocks from `start` to `end` at the starts of extents, and into pieces of at most `max_blocks`.
/// `extent_starts` rise; those outside the range are ignored.
pub fn split_range(
    start: u64,
    end: u64,
    extent_starts: impl Iterator<Item = u64>,
    max_blocks: u64,
) -> Vec<(u64, u64)> {
    let mut pieces = Vec::new();
    let mut piece_start = start;
    for edge in extent_starts.filter(|edge| *edge > start && *edge < end).chain([end]) {
        // Pieces of equal length, so that no short one costs a request of its own.
        let count = (edge - piece_start).div_ceil(max_blocks.max(1)).max(1);
        let length = (edge - piece_start).div_ceil(count);
        while piece_start < edge {
            let piece_end = (piece_start + length).min(edge);
            pieces.push((piece_start, piece_end));
            piece_start = piece_end;
        }
    }
    pieces
}

enum PieceState {
    Pending,
    InFlight,
    Received(Vec<u8>),
}

/// What a piece that arrived made of the read.
#[derive(Debug, PartialEq)]
pub enum SplitReadProgress {
    /// Other pieces are outstanding, or the read is over already.
    Pending,
    /// The read is complete: its payload.
    Complete(Vec<u8>),
    /// More bytes than one read may buffer.
    TooLarge,
}

/// A read in pieces. Once it is over, further pieces are ignored.
pub struct SplitRead {
    pieces: Vec<PieceState>,
    max_in_flight: usize,
    next_piece: usize,
    in_flight: usize,
    outstanding: usize,
    bytes: usize,
    max_bytes: usize,
    over: bool,
}

impl SplitRead {
    /// A read of so many pieces, of which `max_in_flight` are requested at a time and `max_bytes` buffered.
    pub fn new(pieces: usize, max_in_flight: usize, max_bytes: usize) -> SplitRead {
        SplitRead {
            pieces: (0..pieces).map(|_| PieceState::Pending).collect(),
            max_in_flight: max_in_flight.max(1),
            next_piece: 0,
            in_flight: 0,
            outstanding: pieces,
            bytes: 0,
            max_bytes,
            over: false,
        }
    }

    /// The next piece to request, where one more may be in flight.
    pub fn start_next(&mut self) -> Option<usize> {
        if self.over || self.in_flight >= self.max_in_flight || self.next_piece >= self.pieces.len() {
            return None;
        }
        let piece = self.next_piece;
        self.pieces[piece] = PieceState::InFlight;
        self.next_piece += 1;
        self.in_flight += 1;
        Some(piece)
    }

    /// The payload of a piece arrived.
    pub fn on_received(&mut self, piece: usize, payload: Vec<u8>) -> SplitReadProgress {
        if self.over || !matches!(self.pieces[piece], PieceState::InFlight) {
            return SplitReadProgress::Pending;
        }
        self.bytes += payload.len();
        self.in_flight -= 1;
        self.outstanding -= 1;
        self.pieces[piece] = PieceState::Received(payload);
        if self.bytes > self.max_bytes {
            return SplitReadProgress::TooLarge;
        }
        if self.outstanding > 0 {
            return SplitReadProgress::Pending;
        }
        self.over = true;
        SplitReadProgress::Complete(self.reassemble())
    }

    fn reassemble(&mut self) -> Vec<u8> {
        let mut payload = Vec::with_capacity(self.bytes);
        for piece in self.pieces.drain(..) {
            if let PieceState::Received(bytes) = piece {
                payload.extend_from_slice(&bytes);
            }
        }
        payload
    }

    /// Ends the read after the failure of a piece; returns the pieces in flight, which need not be waited for.
    pub fn cancel(&mut self) -> Vec<usize> {
        if std::mem::replace(&mut self.over, true) {
            return Vec::new();
        }
        let states = std::mem::take(&mut self.pieces);
        let in_flight = states.iter().enumerate().filter(|(_, state)| matches!(state, PieceState::InFlight));
        in_flight.map(|(piece, _)| piece).collect()
    }
}
