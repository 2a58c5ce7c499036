//! One connection that carries frames of the node protocol over a byte stream.

use crate::{Poll, Stream, StreamEnd};
use magpiewick_node_protocol::{encode, Message};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpStream};

/// Token of frames that are not tracked.
pub const UNTRACKED: u64 = 0;

/// A tracked frame in the output: its start and end in bytes since the start of the connection, and its
/// tokens.
struct TrackedFrame {
    start: u64,
    end: u64,
    token: u64,
    /// Further tokens of a frame that carries several attempts.
    more_tokens: Vec<u64>,
}

impl TrackedFrame {
    fn tokens(&self) -> impl Iterator<Item = u64> + '_ {
        std::iter::once(self.token).chain(self.more_tokens.iter().copied())
    }
}

/// Result of [`Connection::withdraw_unwritten`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Withdrawn {
    /// Tokens of the frames that will not be sent.
    pub tokens: Vec<u64>,
    /// True if part of a tracked frame has been written, so that the frame remains in the output.
    pub partly_written: bool,
}

/// A connection that carries frames and tracks which of them have been written completely.
pub struct Connection {
    stream: Stream,
    /// Tracked frames whose last byte has not been written to the kernel.
    unwritten: VecDeque<TrackedFrame>,
}

impl Connection {
    /// Creates a connection from a stream that a listener accepted.
    pub fn accepted(poll: &Poll, stream: TcpStream, key: usize) -> io::Result<Connection> {
        Ok(Connection { stream: Stream::accepted(poll, stream, key)?, unwritten: VecDeque::new() })
    }

    /// Starts to connect; the result is reported by the first write or read.
    pub fn connect(poll: &Poll, address: SocketAddr, key: usize) -> io::Result<Connection> {
        Ok(Connection { stream: Stream::connect(poll, address, key)?, unwritten: VecDeque::new() })
    }

    /// Returns the key under which the connection is registered at the poller.
    pub fn key(&self) -> usize {
        self.stream.key()
    }

    /// Returns whether the connection is not established yet.
    pub fn connecting(&self) -> bool {
        self.stream.connecting()
    }

    /// Reads available bytes, up to a limit; returns true where more may be available.
    pub fn fill(&mut self) -> Result<bool, StreamEnd> {
        self.stream.fill()
    }

    /// Reads at most `max` available bytes; returns true where more may be available.
    pub fn fill_up_to(&mut self, max: usize) -> Result<bool, StreamEnd> {
        self.stream.fill_up_to(max)
    }

    /// Returns the memory that the buffers take.
    pub fn memory_bytes(&self) -> usize {
        self.stream.input_capacity() + self.stream.output_capacity()
    }

    /// Returns the number of bytes written to the kernel since the start of the connection.
    pub fn total_written(&self) -> u64 {
        self.stream.total_written()
    }

    /// Takes out the bytes that were read, so that their frames can be used while output is queued. The
    /// caller returns the bytes by [`Connection::return_input`].
    pub fn take_input(&mut self) -> Vec<u8> {
        self.stream.take_input()
    }

    /// Returns the bytes from [`Connection::take_input`]; drops the first `used` bytes.
    pub fn return_input(&mut self, input: Vec<u8>, used: usize) {
        self.stream.return_input(input, used);
    }

    /// Queues a message. `token` identifies the message in [`Connection::unwritten`], unless the token is
    /// [`UNTRACKED`].
    pub fn queue(&mut self, message: &Message<'_>, token: u64) {
        self.queue_with_tokens(message, token, Vec::new());
    }

    /// Queues a message with several tokens.
    pub fn queue_with_tokens(&mut self, message: &Message<'_>, token: u64, more_tokens: Vec<u64>) {
        let start = self.stream.total_queued();
        encode(message, self.stream.output());
        if token != UNTRACKED {
            let end = self.stream.total_queued();
            self.unwritten.push_back(TrackedFrame { start, end, token, more_tokens });
        }
    }

    /// Queues bytes that may be an incomplete frame, for emulated peers that disconnect within a frame.
    pub fn queue_bytes(&mut self, bytes: &[u8]) {
        self.stream.output().extend_from_slice(bytes);
    }

    /// Returns the number of bytes that have not been written.
    pub fn pending(&self) -> usize {
        self.stream.pending()
    }

    /// Writes as many bytes as the kernel accepts.
    pub fn flush(&mut self) -> Result<(), StreamEnd> {
        let result = self.stream.flush();
        let written = self.stream.total_written();
        while self.unwritten.front().is_some_and(|frame| frame.end <= written) {
            self.unwritten.pop_front();
        }
        result
    }

    /// Sets whether to read from the peer. TCP's flow control slows down a peer that is not read from.
    pub fn set_reading(&mut self, reading: bool) -> Result<(), StreamEnd> {
        self.stream.set_reading(reading)
    }

    /// Closes the writing half; the peer's bytes can still be read.
    pub fn end_writing(&mut self) {
        self.stream.end_writing();
    }

    /// Returns the tokens of the frames whose last byte has not been written to the kernel. The peer cannot
    /// have read these frames completely, and a partial frame fails its checksum.
    #[must_use]
    pub fn unwritten(&self) -> Vec<u64> {
        self.unwritten.iter().flat_map(TrackedFrame::tokens).collect()
    }

    /// Withdraws the tracked frames of which no byte has been written.
    pub fn withdraw_unwritten(&mut self) -> Withdrawn {
        let written = self.stream.total_written();
        let partly_written = self.unwritten.front().is_some_and(|frame| frame.start < written);
        let withdrawn: Vec<TrackedFrame> = self.unwritten.drain(usize::from(partly_written)..).collect();
        for frame in withdrawn.iter().rev() {
            self.stream.remove_unwritten(frame.start, frame.end);
        }
        Withdrawn { tokens: withdrawn.iter().flat_map(TrackedFrame::tokens).collect(), partly_written }
    }

    /// Closes the connection with a reset instead of an orderly close.
    pub fn reset(self) {
        self.stream.reset();
    }
}

#[cfg(test)]
mod tests;
