//! One byte stream over a socket of the loop: what was read and not yet used, and what is to be written.

use crate::errors::connect_goes_on;
use crate::{Poll, Registered};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// How many bytes one call of [`Stream::fill`] takes at most, so that one peer cannot hold up a loop.
pub const AT_ONCE: usize = 256 << 10;

/// Why a stream is over.
#[derive(Debug)]
pub enum Ended {
    /// The peer closed it in order.
    Closed,
    Failed(io::Error),
}

impl From<io::Error> for Ended {
    fn from(e: io::Error) -> Ended {
        Ended::Failed(e)
    }
}

pub struct Stream {
    socket: Registered<TcpStream>,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Bytes of the output that the kernel has taken, and those before it since the stream began.
    written: usize,
    before: u64,
    reading: bool,
    /// Set until the connection stands.
    connecting: bool,
}

impl Stream {
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
        stream.socket.watch(true, true)?;
        Ok(stream)
    }

    fn over(poll: &Poll, stream: TcpStream, key: usize, connecting: bool) -> io::Result<Stream> {
        stream.set_nonblocking(true)?;
        // Answers must not wait for company; the loop gathers what belongs together itself.
        stream.set_nodelay(true)?;
        Ok(Stream {
            socket: poll.register(stream, key)?,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            before: 0,
            reading: true,
            connecting,
        })
    }

    pub fn key(&self) -> usize {
        self.socket.key()
    }

    pub fn connecting(&self) -> bool {
        self.connecting
    }

    /// Reads what is there, up to a bound; true where more may be waiting.
    pub fn fill(&mut self) -> Result<bool, Ended> {
        self.fill_to(self.input.len() + AT_ONCE)
    }

    /// Reads what is there until the input holds so many bytes; true where more may be waiting.
    pub fn fill_to(&mut self, bound: usize) -> Result<bool, Ended> {
        let mut piece = [0; 16 << 10];
        while self.input.len() < bound {
            match self.socket.read(&mut piece) {
                Ok(0) => return Err(Ended::Closed),
                Ok(n) => {
                    self.input.extend_from_slice(&piece[..n]);
                    if n < piece.len() {
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

    /// Takes what was read out, so that it can be used while the stream is written to; what was not used comes
    /// back by [`Stream::give_back`].
    pub fn take_input(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.input)
    }

    pub fn give_back(&mut self, mut input: Vec<u8>, used: usize) {
        input.drain(..used);
        debug_assert!(self.input.is_empty(), "input was read while it was out");
        // A burst's room is not kept for ever by a stream that went idle.
        if input.is_empty() && input.capacity() > AT_ONCE {
            input = Vec::new();
        }
        self.input = input;
    }

    /// Throws what was read away.
    pub fn discard(&mut self) {
        self.truncate(0);
    }

    /// Throws all but the first bytes of what was read away.
    pub fn truncate(&mut self, kept: usize) {
        self.input.truncate(kept);
    }

    /// The memory that both buffers take.
    pub fn held(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Gives the room of both buffers back; for a stream that rests, of which there may be many.
    pub fn rest(&mut self) {
        if self.input.is_empty() && self.output.is_empty() {
            (self.input, self.output) = (Vec::new(), Vec::new());
        }
    }

    /// Where the next byte goes that is put behind what is to be written.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Takes bytes out of what is to be written, counted from the beginning of the stream.
    pub fn pull(&mut self, start: u64, end: u64) {
        self.output.drain((start - self.before) as usize..(end - self.before) as usize);
    }

    /// Bytes that wait to be written.
    pub fn pending(&self) -> usize {
        self.output.len() - self.written
    }

    /// Bytes since the stream began: those that were queued, and those that the kernel has taken.
    pub fn queued_in_all(&self) -> u64 {
        self.before + self.output.len() as u64
    }

    pub fn written_in_all(&self) -> u64 {
        self.before + self.written as u64
    }

    /// Writes what the kernel takes.
    pub fn flush(&mut self) -> Result<(), Ended> {
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
        if self.pending() == 0 || self.written > AT_ONCE {
            self.output.drain(..self.written);
            (self.before, self.written) = (self.written_in_all(), 0);
        }
        if self.output.is_empty() && self.output.capacity() > AT_ONCE {
            self.output = Vec::new();
        }
        self.socket.watch(self.reading, self.pending() > 0)?;
        Ok(())
    }

    pub fn reading(&self) -> bool {
        self.reading
    }

    /// Whether to read on; a peer that is not read is held back by its own buffers.
    pub fn set_reading(&mut self, reading: bool) -> Result<(), Ended> {
        self.reading = reading;
        self.socket.watch(reading, self.connecting || self.pending() > 0)?;
        Ok(())
    }

    /// Whether the peer ended or broke the connection, also behind bytes that are not read.
    pub fn peer_ended(&self) -> bool {
        use rustix::event::{poll, PollFd, PollFlags, Timespec};
        let over = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut this = [PollFd::new(&*self.socket, PollFlags::RDHUP)];
        let now = Timespec { tv_sec: 0, tv_nsec: 0 };
        poll(&mut this, Some(&now)).is_ok_and(|_| this[0].revents().intersects(over))
    }

    /// Whether the kernel holds bytes that were not read.
    pub fn unread(&self) -> bool {
        matches!(self.socket.peek(&mut [0]), Ok(n) if n > 0)
    }

    /// Tells the peer that nothing more comes, while what it sends can still be read.
    pub fn end_writing(&mut self) {
        // A peer that has gone needs no telling.
        _ = self.socket.shutdown(std::net::Shutdown::Write);
    }

    /// Ends the stream so that the peer sees a reset, not an orderly end.
    pub fn reset(self) {
        // Without it the peer sees an end in order: as good, only less plain.
        _ = socket2::SockRef::from(&*self.socket).set_linger(Some(std::time::Duration::ZERO));
    }
}
