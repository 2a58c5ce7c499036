//! A byte stream over a socket of an event loop, with its input and output buffers.

use crate::errors::connect_in_progress;
use crate::{Poll, Registered};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Maximum number of bytes that one call of [`Stream::fill`] reads, so that one peer cannot delay a loop.
pub const MAX_BYTES_PER_FILL: usize = 256 << 10;
/// Number of bytes that one system call reads.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Capacity above which an empty buffer is released: a process has many idle streams.
const MAX_IDLE_CAPACITY: usize = 4 << 10;
/// Number of written bytes above which they are removed from the output.
const MAX_WRITTEN_RETAINED: usize = 256 << 10;

/// Reason why a stream ended.
#[derive(Debug, thiserror::Error)]
pub enum StreamEnd {
    /// The peer closed the stream in order.
    #[error("closed by the peer")]
    Closed,
    /// A socket call failed.
    #[error("{0}")]
    Failed(#[from] io::Error),
}

/// A non-blocking TCP stream, with the bytes that were read and not yet used, and the bytes to be written.
pub struct Stream {
    socket: Registered<TcpStream>,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Number of bytes at the start of the output that have been written to the kernel.
    written: usize,
    /// Number of bytes that have been removed from the output since the start of the stream.
    removed: u64,
    /// Number of bytes read since the start of the stream.
    total_read: u64,
    reading: bool,
    /// Set until the connection is established.
    connecting: bool,
}

impl Stream {
    /// Creates a stream from a connection that a listener accepted.
    pub fn accepted(poll: &Poll, stream: TcpStream, key: usize) -> io::Result<Stream> {
        Stream::from_socket(poll, stream, key, false)
    }

    /// Starts to connect; the result is reported by the first write or read.
    pub fn connect(poll: &Poll, address: SocketAddr, key: usize) -> io::Result<Stream> {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            Err(e) if !connect_in_progress(&e) => return Err(e),
            _ => {}
        }
        let mut stream = Stream::from_socket(poll, socket.into(), key, true)?;
        stream.socket.set_interest(true, true)?;
        Ok(stream)
    }

    fn from_socket(poll: &Poll, stream: TcpStream, key: usize, connecting: bool) -> io::Result<Stream> {
        stream.set_nonblocking(true)?;
        // Nagle's algorithm is not needed, as the loop writes related output in one call.
        stream.set_nodelay(true)?;
        Ok(Stream {
            socket: poll.register(stream, key)?,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            removed: 0,
            total_read: 0,
            reading: true,
            connecting,
        })
    }

    /// Returns the key under which the stream is registered at the poller.
    pub fn key(&self) -> usize {
        self.socket.key()
    }

    /// Returns whether the connection is not established yet.
    pub fn connecting(&self) -> bool {
        self.connecting
    }

    /// Reads available bytes, up to [`MAX_BYTES_PER_FILL`]; returns true where more may be available.
    pub fn fill(&mut self) -> Result<bool, StreamEnd> {
        self.fill_up_to(MAX_BYTES_PER_FILL)
    }

    /// Reads at most `max` available bytes; returns true where more may be available.
    pub fn fill_up_to(&mut self, max: usize) -> Result<bool, StreamEnd> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let end = self.input.len() + max;
        while self.input.len() < end {
            let room = (end - self.input.len()).min(chunk.len());
            let (length, ended) = self.read_available(&mut chunk[..room]);
            self.input.extend_from_slice(&chunk[..length]);
            match ended {
                Some(ended) => return Err(ended),
                None if length < room => return Ok(false),
                None => {}
            }
        }
        Ok(true)
    }

    /// Reads available bytes once into a buffer of the caller. Returns their number, and the reason where the stream has
    /// ended.
    pub fn read_available(&mut self, buffer: &mut [u8]) -> (usize, Option<StreamEnd>) {
        loop {
            return match self.socket.read(buffer) {
                Ok(0) => (0, Some(StreamEnd::Closed)),
                Ok(length) => {
                    self.total_read += length as u64;
                    (length, None)
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => (0, None),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => (0, Some(e.into())),
            };
        }
    }

    /// Returns the number of bytes read since the start of the stream.
    pub fn total_read(&self) -> u64 {
        self.total_read
    }

    /// Returns the bytes that were read and not yet used.
    pub fn input(&self) -> &[u8] {
        &self.input
    }

    /// Returns whether an idle stream can carry another exchange: the stream is open, and the peer has sent
    /// no bytes since the last exchange.
    pub fn is_reusable(&mut self) -> bool {
        matches!(self.fill_up_to(READ_CHUNK_BYTES), Ok(false)) && self.input.is_empty()
    }

    /// Takes out the bytes that were read, so that they can be used while output is queued. The caller
    /// returns the bytes by [`Stream::return_input`].
    pub fn take_input(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.input)
    }

    /// Returns the bytes from [`Stream::take_input`]; drops the first `used` bytes.
    pub fn return_input(&mut self, mut input: Vec<u8>, used: usize) {
        input.drain(..used);
        debug_assert!(self.input.is_empty(), "input was read while it was taken out");
        if input.is_empty() && input.capacity() > MAX_IDLE_CAPACITY {
            input = Vec::new();
        }
        self.input = input;
    }

    /// Returns the memory that the input buffer takes.
    pub fn input_capacity(&self) -> usize {
        self.input.capacity()
    }

    /// Returns the memory that the output buffer takes.
    pub fn output_capacity(&self) -> usize {
        self.output.capacity()
    }

    /// Releases the memory of both buffers, for idle streams, which may be numerous.
    pub fn release_buffers(&mut self) {
        if self.input.is_empty() && self.output.is_empty() {
            (self.input, self.output) = (Vec::new(), Vec::new());
        }
    }

    /// Returns the output buffer, to which new output is appended.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Removes unwritten bytes from the output. Positions count from the start of the stream.
    pub fn remove_unwritten(&mut self, start: u64, end: u64) {
        let (start, end) = (start - self.removed, end - self.removed);
        self.output.drain(start as usize..end as usize);
    }

    /// Returns the number of bytes that have not been written.
    pub fn pending(&self) -> usize {
        self.output.len() - self.written
    }

    /// Returns the number of bytes queued since the start of the stream.
    pub fn total_queued(&self) -> u64 {
        self.removed + self.output.len() as u64
    }

    /// Returns the number of bytes written to the kernel since the start of the stream.
    pub fn total_written(&self) -> u64 {
        self.removed + self.written as u64
    }

    /// Writes as many bytes as the kernel accepts.
    pub fn flush(&mut self) -> Result<(), StreamEnd> {
        if self.connecting {
            match self.socket.take_error()? {
                Some(e) => return Err(e.into()),
                None if self.socket.peer_addr().is_ok() => self.connecting = false,
                None => return Ok(()),
            }
        }
        while self.pending() > 0 {
            match self.socket.write(&self.output[self.written..]) {
                Ok(0) => return Err(io::Error::from(ErrorKind::WriteZero).into()),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e.into()),
            }
        }
        if self.pending() == 0 || self.written > MAX_WRITTEN_RETAINED {
            self.output.drain(..self.written);
            self.removed = self.total_written();
            self.written = 0;
        }
        if self.output.is_empty() && self.output.capacity() > MAX_IDLE_CAPACITY {
            self.output = Vec::new();
        }
        self.socket.set_interest(self.reading, self.pending() > 0)?;
        Ok(())
    }

    /// Returns whether the loop reads from the stream.
    pub fn reading(&self) -> bool {
        self.reading
    }

    /// Sets whether to read from the peer. TCP's flow control slows down a peer that is not read from.
    pub fn set_reading(&mut self, reading: bool) -> Result<(), StreamEnd> {
        self.reading = reading;
        self.socket.set_interest(reading, self.connecting || self.pending() > 0)?;
        Ok(())
    }

    /// Returns whether the peer closed or broke the connection, even if unread bytes precede the close.
    pub fn peer_closed(&self) -> bool {
        use rustix::event::{poll, PollFd, PollFlags, Timespec};
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut descriptors = [PollFd::new(&*self.socket, PollFlags::RDHUP)];
        let now = Timespec { tv_sec: 0, tv_nsec: 0 };
        poll(&mut descriptors, Some(&now)).is_ok_and(|_| descriptors[0].revents().intersects(ended))
    }

    /// Returns whether the kernel holds unread bytes.
    pub fn has_unread(&self) -> bool {
        matches!(self.socket.peek(&mut [0]), Ok(n) if n > 0)
    }

    /// Closes the writing half; the peer's bytes can still be read.
    pub fn end_writing(&mut self) {
        // Shutdown fails only where the connection is already closed.
        _ = self.socket.shutdown(std::net::Shutdown::Write);
    }

    /// Closes the stream with a reset instead of an orderly close.
    pub fn reset(self) {
        // Where this fails, the peer receives an orderly close, which it must handle as well.
        _ = socket2::SockRef::from(&*self.socket).set_linger(Some(std::time::Duration::ZERO));
    }
}
