use super::*;
use magpiewick_transport::Poll;
use std::io::Write;
use std::net::{TcpListener, TcpStream};

/// Returns a stream of responses and the peer's side of its connection.
fn connected() -> (ResponseStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let poll = Poll::new().unwrap();
    let mut stream = Stream::connect(&poll, listener.local_addr().unwrap(), 1).unwrap();
    let (peer, _) = listener.accept().unwrap();
    while stream.connecting() {
        stream.flush().unwrap();
    }
    (ResponseStream::new(stream), peer)
}

/// Guards against a cut body that is taken for whole because a limited read stops at its stated end.
#[test]
fn bytes_left_unread_by_a_limited_read_count_as_trailing() {
    let (mut responses, mut peer) = connected();
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    peer.write_all(&[response, b" and more".as_slice()].concat()).unwrap();
    while !responses.stream().has_unread() {}
    let complete = responses.receive(response.len()).unwrap().unwrap();
    assert_eq!(complete.trailing, b" and more");
    assert!(complete.last);
}

#[test]
fn limited_read_that_ends_with_the_response_finds_no_trailing_bytes() {
    let (mut responses, mut peer) = connected();
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    peer.write_all(response).unwrap();
    while !responses.stream().has_unread() {}
    let complete = responses.receive(response.len()).unwrap().unwrap();
    assert_eq!((complete.trailing.as_slice(), complete.last), (b"".as_slice(), false));
}
