//! Listeners on loopback, and connections that end with a reset.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A listener on a free port.
pub(crate) fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Serves each connection on a thread of its own, as long as the process runs.
pub(crate) fn accept(listener: TcpListener, serve: impl Fn(TcpStream) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
}

/// Has the connection end with a reset once it is dropped.
pub(crate) fn reset_on_drop(stream: &TcpStream) {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
}
