//! One connection that carries frames over a stream of bytes.

use crate::{Ended, Poll, Stream};
use magpiewick_node_protocol::{encode, Message};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpStream};

/// What a frame is marked with that need not be told apart.
pub const NOTHING: u64 = 0;

/// A frame in the output: where it starts and ends, counted in bytes since the connection began, and its marks.
struct Frame {
    start: u64,
    end: u64,
    mark: u64,
    /// Further marks of a message that stands for several.
    others: Vec<u64>,
}

impl Frame {
    fn marks(&self) -> impl Iterator<Item = u64> + '_ {
        std::iter::once(self.mark).chain(self.others.iter().copied())
    }
}

pub struct Connection {
    stream: Stream,
    frames: VecDeque<Frame>,
}

impl Connection {
    pub fn accepted(poll: &Poll, stream: TcpStream, key: usize) -> io::Result<Connection> {
        Ok(Connection { stream: Stream::accepted(poll, stream, key)?, frames: VecDeque::new() })
    }

    /// Starts to connect; whether that succeeds shows at the first write or read.
    pub fn connect(poll: &Poll, address: SocketAddr, key: usize) -> io::Result<Connection> {
        Ok(Connection { stream: Stream::connect(poll, address, key)?, frames: VecDeque::new() })
    }

    pub fn key(&self) -> usize {
        self.stream.key()
    }

    pub fn connecting(&self) -> bool {
        self.stream.connecting()
    }

    /// Reads what is there, up to a bound; true where more may be waiting.
    pub fn fill(&mut self) -> Result<bool, Ended> {
        self.stream.fill()
    }

    /// Takes what was read out, so that frames can be used while the connection is written to; what was not
    /// used comes back by [`Connection::give_back`].
    pub fn take_input(&mut self) -> Vec<u8> {
        self.stream.take_input()
    }

    pub fn give_back(&mut self, input: Vec<u8>, used: usize) {
        self.stream.give_back(input, used);
    }

    /// Puts a message behind what is to be written. `mark` names it to [`Connection::never_left`].
    pub fn queue(&mut self, message: &Message, mark: u64) {
        self.queue_for(message, mark, Vec::new());
    }

    /// Puts a message that stands for several marks behind what is to be written.
    pub fn queue_for(&mut self, message: &Message, mark: u64, others: Vec<u64>) {
        let start = self.stream.queued_in_all();
        encode(message, self.stream.output());
        if mark != NOTHING {
            let end = self.stream.queued_in_all();
            self.frames.push_back(Frame { start, end, mark, others });
        }
    }

    /// Puts bytes that need not be a whole frame behind what is to be written; for rigs that break off.
    pub fn queue_bytes(&mut self, bytes: &[u8]) {
        self.stream.output().extend_from_slice(bytes);
    }

    /// Bytes that wait to be written.
    pub fn pending(&self) -> usize {
        self.stream.pending()
    }

    /// Writes what the kernel takes.
    pub fn flush(&mut self) -> Result<(), Ended> {
        let done = self.stream.flush();
        let taken = self.stream.written_in_all();
        while self.frames.front().is_some_and(|f| f.end <= taken) {
            self.frames.pop_front();
        }
        done
    }

    /// Whether to read on; a peer that is not read is held back by its own buffers.
    pub fn set_reading(&mut self, reading: bool) -> Result<(), Ended> {
        self.stream.set_reading(reading)
    }

    /// Tells the peer that nothing more comes, while what it sends can still be read.
    pub fn end_writing(&mut self) {
        self.stream.end_writing();
    }

    /// Marks of the frames whose last byte the kernel has not taken: the peer cannot have read them whole, and
    /// a frame that is not whole fails its checksum.
    pub fn never_left(&self) -> Vec<u64> {
        self.frames.iter().flat_map(Frame::marks).collect()
    }

    /// Takes marked frames of which no byte was written out of the output; their marks come back. False where a
    /// marked frame is left of which a part was written.
    pub fn pull_back(&mut self) -> (Vec<u64>, bool) {
        let taken = self.stream.written_in_all();
        let begun = self.frames.front().is_some_and(|f| f.start < taken);
        let pulled: Vec<Frame> = self.frames.drain(usize::from(begun)..).collect();
        for frame in pulled.iter().rev() {
            self.stream.pull(frame.start, frame.end);
        }
        (pulled.iter().flat_map(Frame::marks).collect(), !begun)
    }

    /// Ends the connection so that the peer sees a reset, not an orderly end.
    pub fn reset(self) {
        self.stream.reset();
    }
}

#[cfg(test)]
mod tests;
