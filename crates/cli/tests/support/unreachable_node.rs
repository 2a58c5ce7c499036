//! Node to which connections cannot be established.

use super::kernel_connections::{count_connections, SYN_SENT};
use super::WAIT_TIMEOUT;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Node to which no connection can be established while its accept backlog is full.
pub(crate) struct UnreachableNode {
    listener: Socket,
    pub address: SocketAddr,
    backlog: Vec<Socket>,
}

impl UnreachableNode {
    /// Returns a node with a full backlog.
    pub(crate) fn new() -> UnreachableNode {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let mut node = UnreachableNode { listener, address, backlog: Vec::new() };
        node.fill_backlog();
        node
    }

    /// Fills the backlog, so that further connection attempts get no answer.
    pub(crate) fn fill_backlog(&mut self) {
        loop {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            if socket.connect_timeout(&self.address.into(), Duration::from_millis(100)).is_err() {
                return;
            }
            self.backlog.push(socket);
        }
    }

    /// Empties the backlog, so that new connection attempts and repeated ones succeed.
    pub(crate) fn empty_backlog(&mut self) {
        for _ in self.backlog.drain(..) {
            _ = self.listener.accept().unwrap();
        }
    }

    /// Accepts the next connection.
    pub(crate) fn accept(&self) -> TcpStream {
        let stream: TcpStream = self.listener.accept().unwrap().0.into();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream
    }

    /// Returns the number of connections to the node that are being established.
    pub(crate) fn connecting_count(&self) -> usize {
        count_connections(|c| c.remote == self.address && c.state == SYN_SENT)
    }
}
