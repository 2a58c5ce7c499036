//! One connection that carries frames of the node protocol over a byte stream.

use crate::{Poll, Stream, StreamEnd};
use magpiewick_node_protocol::{encode, Message};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpStream};

/// The token of a frame that is not tracked.
pub const UNTRACKED: u64 = 0;

/// A tracked frame in the output: where it starts and ends, in bytes since the connection began, and its tokens.
struct TrackedFrame {
    start: u64,
    end: u64,
    token: u64,
    /// Further tokens, of a frame that carries several attempts.
    more_tokens: Vec<u64>,
}

impl TrackedFrame {
    fn tokens(&self) -> impl Iterator<Item = u64> + '_ {
        std::iter::once(self.token).chain(self.more_tokens.iter().copied())
    }
}

/// What [`Connection::withdraw_unwritten`] found.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Withdrawn {
    /// Tokens of the frames that will not be sent.
    pub tokens: Vec<u64>,
    /// Whether a tracked frame is left of which a part was written.
    pub partly_written: bool,
}

/// A connection that carries frames, and knows which of them left whole.
pub struct Connection {
    stream: Stream,
    /// Tracked frames whose last byte the kernel has not taken.
    unwritten: VecDeque<TrackedFrame>,
}

impl Connection {
    /// Takes over a connection that a listener accepted.
    pub fn accepted(poll: &Poll, stream: TcpStream, key: usize) -> io::Result<Connection> {
        Ok(Connection { stream: Stream::accepted(poll, stream, key)?, unwritten: VecDeque::new() })
    }

    /// Starts to connect; whether that succeeds shows at the first write or read.
    pub fn connect(poll: &Poll, address: SocketAddr, key: usize) -> io::Result<Connection> {
        Ok(Connection { stream: Stream::connect(poll, address, key)?, unwritten: VecDeque::new() })
    }

    /// The key under which it is registered at the poller.
    pub fn key(&self) -> usize {
        self.stream.key()
    }

    /// Whether the connection is not established yet.
    pub fn connecting(&self) -> bool {
        self.stream.connecting()
    }

    /// Reads what is there, up to a bound; true where more may be waiting.
    pub fn fill(&mut self) -> Result<bool, StreamEnd> {
        self.stream.fill()
    }

    /// Takes out what was read, so that frames can be used while the connection is written to; the caller returns
    /// it by [`Connection::return_input`].
    pub fn take_input(&mut self) -> Vec<u8> {
        self.stream.take_input()
    }

    /// Returns what [`Connection::take_input`] took; its first `used` bytes are dropped.
    pub fn return_input(&mut self, input: Vec<u8>, used: usize) {
        self.stream.return_input(input, used);
    }

    /// Queues a message. `token` names it to [`Connection::unwritten`], unless it is [`UNTRACKED`].
    pub fn queue(&mut self, message: &Message<'_>, token: u64) {
        self.queue_with_tokens(message, token, Vec::new());
    }

    /// Queues a message that has several tokens.
    pub fn queue_with_tokens(&mut self, message: &Message<'_>, token: u64, more_tokens: Vec<u64>) {
        let start = self.stream.total_queued();
        encode(message, self.stream.output());
        if token != UNTRACKED {
            let end = self.stream.total_queued();
            self.unwritten.push_back(TrackedFrame { start, end, token, more_tokens });
        }
    }

    /// Queues bytes that need not be a whole frame; for emulated peers that break off.
    pub fn queue_bytes(&mut self, bytes: &[u8]) {
        self.stream.output().extend_from_slice(bytes);
    }

    /// Bytes that wait to be written.
    pub fn pending(&self) -> usize {
        self.stream.pending()
    }

    /// Writes what the kernel takes.
    pub fn flush(&mut self) -> Result<(), StreamEnd> {
        let flushed = self.stream.flush();
        let written = self.stream.total_written();
        while self.unwritten.front().is_some_and(|frame| frame.end <= written) {
            self.unwritten.pop_front();
        }
        flushed
    }

    /// Sets whether to read on. A peer that is not read from is slowed down by TCP's flow control.
    pub fn set_reading(&mut self, reading: bool) -> Result<(), StreamEnd> {
        self.stream.set_reading(reading)
    }

    /// Closes the writing half; what the peer sends can still be read.
    pub fn end_writing(&mut self) {
        self.stream.end_writing();
    }

    /// Tokens of the frames whose last byte the kernel has not taken: the peer cannot have read them whole, and
    /// a frame that is not whole fails its checksum.
    #[must_use]
    pub fn unwritten(&self) -> Vec<u64> {
        self.unwritten.iter().flat_map(TrackedFrame::tokens).collect()
    }

    /// Withdraws the tracked frames of which no byte was written.
    pub fn withdraw_unwritten(&mut self) -> Withdrawn {
        let written = self.stream.total_written();
        let partly_written = self.unwritten.front().is_some_and(|frame| frame.start < written);
        let withdrawn: Vec<TrackedFrame> = self.unwritten.drain(usize::from(partly_written)..).collect();
        for frame in withdrawn.iter().rev() {
            self.stream.remove_unwritten(frame.start, frame.end);
        }
        Withdrawn { tokens: withdrawn.iter().flat_map(TrackedFrame::tokens).collect(), partly_written }
    }

    /// Ends the connection so that the peer sees a reset, not an orderly end.
    pub fn reset(self) {
        self.stream.reset();
    }
}

#[cfg(test)]
mod tests;
