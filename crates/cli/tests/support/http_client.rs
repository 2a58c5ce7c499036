//! A client's connection to a host.

use super::http_message::HttpMessage;
use super::WAIT_TIMEOUT;
use socket2::{Domain, Socket, Type};
use std::io::{self, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A connection whose reads wait for [`WAIT_TIMEOUT`] at most.
pub(crate) struct HttpClient {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl HttpClient {
    /// Connects to a host.
    pub(crate) fn connect(host: SocketAddr) -> io::Result<HttpClient> {
        HttpClient::over(TcpStream::connect(host)?)
    }

    /// Connects with a small receive buffer: left to itself the kernel holds up to the bound of `tcp_rmem`, which differs
    /// by a factor of six from one machine to the next.
    pub(crate) fn with_receive_buffer(bytes: usize, host: SocketAddr) -> HttpClient {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(bytes).unwrap();
        socket.connect(&host.into()).unwrap();
        HttpClient::over(socket.into()).unwrap()
    }

    fn over(stream: TcpStream) -> io::Result<HttpClient> {
        stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
        Ok(HttpClient { reader: BufReader::new(stream.try_clone()?), stream })
    }

    /// Writes bytes. The host may close before it has read all of them: its response is what counts.
    pub(crate) fn send(&mut self, bytes: &[u8]) {
        _ = self.stream.write_all(bytes);
    }

    /// The next response; none where the connection ended.
    pub(crate) fn receive(&mut self) -> Option<HttpMessage> {
        HttpMessage::read(&mut self.reader)
    }

    /// Sends a request and waits for its response.
    pub(crate) fn request(&mut self, bytes: &[u8]) -> Option<HttpMessage> {
        self.send(bytes);
        self.receive()
    }

    /// Whether the connection stays open without a byte to read for the length of the read timeout.
    pub(crate) fn is_idle(&mut self) -> bool {
        let mut byte = [0];
        self.stream.peek(&mut byte).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the host has closed the connection by now, and nothing is left to read.
    pub(crate) fn is_closed(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let closed = matches!(self.stream.peek(&mut [0]), Ok(0));
        self.stream.set_nonblocking(false).unwrap();
        closed
    }

    /// Whether the connection ends without another byte, and not with a reset.
    pub(crate) fn closes_cleanly(&mut self) -> bool {
        matches!(self.reader.read(&mut [0]), Ok(0))
    }

    /// Whether the connection ends without another byte.
    pub(crate) fn closes_without_response(&mut self) -> bool {
        let mut byte = [0];
        !matches!(self.reader.read(&mut byte), Ok(n) if n > 0)
    }
}
