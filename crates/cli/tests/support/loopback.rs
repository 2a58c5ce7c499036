//! Listeners on loopback, and connections that are closed with a reset.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Returns a listener on a free port, with its address.
pub(crate) fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Serves each connection on a separate thread until the process exits.
pub(crate) fn accept(listener: TcpListener, serve: impl Fn(TcpStream) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
}

/// Sets the stream to send a reset when it is dropped.
pub(crate) fn reset_on_drop(stream: &TcpStream) {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
}
