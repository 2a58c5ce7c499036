//! One byte stream over a socket of an event loop, with its input and output buffers.

use crate::errors::connect_goes_on;
use crate::{Poll, Registered};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// The most bytes that one call of [`Stream::fill`] reads, so that one peer cannot hold up a loop.
const MAX_BYTES_PER_FILL: usize = 256 << 10;
/// Buffers that are empty give memory beyond this back.
const MAX_IDLE_CAPACITY: usize = 256 << 10;
/// Written bytes are removed from the output once they are more than this.
const MAX_WRITTEN_KEPT: usize = 256 << 10;

/// Why a stream is over.
#[derive(Debug, thiserror::Error)]
pub enum StreamEnd {
    /// The peer closed it in order.
    #[error("closed by the other side")]
    Closed,
    /// A call on the socket failed.
    #[error("{0}")]
    Failed(#[from] io::Error),
}

/// A TCP stream that does not block, with what was read and not yet used, and what is to be written.
pub struct Stream {
    socket: Registered<TcpStream>,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Bytes at the start of the output that the kernel has taken.
    written: usize,
    /// Bytes that were removed from the output since the stream began.
    removed: u64,
    reading: bool,
    /// Set until the connection is established.
    connecting: bool,
}

impl Stream {
    /// Takes over a connection that a listener accepted.
    pub fn accepted(poll: &Poll, stream: TcpStream, key: usize) -> io::Result<Stream> {
        Stream::over(poll, stream, key, false)
    }

    /// Starts to connect; whether that succeeds shows at the first write or read.
    pub fn connect(poll: &Poll, address: SocketAddr, key: usize) -> io::Result<Stream> {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            Err(e) if !connect_goes_on(&e) => return Err(e),
            _ => {}
        }
        let mut stream = Stream::over(poll, socket.into(), key, true)?;
        stream.socket.set_interest(true, true)?;
        Ok(stream)
    }

    fn over(poll: &Poll, stream: TcpStream, key: usize, connecting: bool) -> io::Result<Stream> {
        stream.set_nonblocking(true)?;
        // The loop itself writes in one call what belongs together.
        stream.set_nodelay(true)?;
        Ok(Stream {
            socket: poll.register(stream, key)?,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            removed: 0,
            reading: true,
            connecting,
        })
    }

    /// The key under which it is registered at the poller.
    pub fn key(&self) -> usize {
        self.socket.key()
    }

    /// Whether the connection is not established yet.
    pub fn connecting(&self) -> bool {
        self.connecting
    }

    /// Reads what is there, up to a bound; true where more may be waiting.
    pub fn fill(&mut self) -> Result<bool, StreamEnd> {
        self.fill_to(self.input.len() + MAX_BYTES_PER_FILL)
    }

    /// Reads what is there until the input holds so many bytes; true where more may be waiting.
    fn fill_to(&mut self, bound: usize) -> Result<bool, StreamEnd> {
        let mut chunk = [0; 16 << 10];
        while self.input.len() < bound {
            match self.socket.read(&mut chunk) {
                Ok(0) => return Err(StreamEnd::Closed),
                Ok(n) => {
                    self.input.extend_from_slice(&chunk[..n]);
                    if n < chunk.len() {
                        return Ok(false);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e.into()),
            }
        }
        Ok(true)
    }

    /// What was read and not yet used.
    pub fn input(&self) -> &[u8] {
        &self.input
    }

    /// Whether an idle stream can carry another exchange: it is open, and the peer sent nothing in between.
    pub fn is_reusable(&mut self) -> bool {
        matches!(self.fill_to(1), Ok(false)) && self.input.is_empty()
    }

    /// Takes out what was read, so that it can be used while the stream is written to; the caller returns it by
    /// [`Stream::return_input`].
    pub fn take_input(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.input)
    }

    /// Returns what [`Stream::take_input`] took; its first `used` bytes are dropped.
    pub fn return_input(&mut self, mut input: Vec<u8>, used: usize) {
        input.drain(..used);
        debug_assert!(self.input.is_empty(), "input was read while it was taken out");
        if input.is_empty() && input.capacity() > MAX_IDLE_CAPACITY {
            input = Vec::new();
        }
        self.input = input;
    }

    /// The memory that both buffers take.
    pub fn buffer_capacity(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Releases the memory of both buffers; for an idle stream, of which there may be many.
    pub fn release_buffers(&mut self) {
        if self.input.is_empty() && self.output.is_empty() {
            (self.input, self.output) = (Vec::new(), Vec::new());
        }
    }

    /// The output buffer; what is to be written is appended to it.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Removes bytes that were not written from the output; positions count from the beginning of the stream.
    pub fn remove_unwritten(&mut self, start: u64, end: u64) {
        let (start, end) = (start - self.removed, end - self.removed);
        self.output.drain(start as usize..end as usize);
    }

    /// Bytes that wait to be written.
    pub fn pending(&self) -> usize {
        self.output.len() - self.written
    }

    /// Bytes that were queued since the stream began.
    pub fn total_queued(&self) -> u64 {
        self.removed + self.output.len() as u64
    }

    /// Bytes that the kernel has taken since the stream began.
    pub fn total_written(&self) -> u64 {
        self.removed + self.written as u64
    }

    /// Writes what the kernel takes.
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
        if self.pending() == 0 || self.written > MAX_WRITTEN_KEPT {
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

    /// Whether the loop reads from it.
    pub fn reading(&self) -> bool {
        self.reading
    }

    /// Sets whether to read on. A peer that is not read from is slowed down by TCP's flow control.
    pub fn set_reading(&mut self, reading: bool) -> Result<(), StreamEnd> {
        self.reading = reading;
        self.socket.set_interest(reading, self.connecting || self.pending() > 0)?;
        Ok(())
    }

    /// Whether the peer ended or broke the connection, also behind bytes that are not read.
    pub fn peer_closed(&self) -> bool {
        use rustix::event::{poll, PollFd, PollFlags, Timespec};
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut descriptors = [PollFd::new(&*self.socket, PollFlags::RDHUP)];
        let now = Timespec { tv_sec: 0, tv_nsec: 0 };
        poll(&mut descriptors, Some(&now)).is_ok_and(|_| descriptors[0].revents().intersects(ended))
    }

    /// Whether the kernel holds bytes that were not read.
    pub fn has_unread(&self) -> bool {
        matches!(self.socket.peek(&mut [0]), Ok(n) if n > 0)
    }

    /// Closes the writing half; what the peer sends can still be read.
    pub fn end_writing(&mut self) {
        // It fails only where the connection is closed already.
        _ = self.socket.shutdown(std::net::Shutdown::Write);
    }

    /// Ends the stream so that the peer sees a reset, not an orderly end.
    pub fn reset(self) {
        // Where it fails the peer sees an orderly end, which it must handle as well.
        _ = socket2::SockRef::from(&*self.socket).set_linger(Some(std::time::Duration::ZERO));
    }
}
