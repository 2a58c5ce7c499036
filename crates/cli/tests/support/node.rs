//! An emulated node of the platform: its behaviour follows a script, and its requests are recorded.

use super::http_message::{expected_body, HttpMessage};
use super::loopback::{accept, listen, reset_on_drop};
use super::WAIT_TIMEOUT;
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

pub(crate) const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{body}";
pub(crate) const OVERLOADED_RESPONSE: &str = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
pub(crate) const FAILED_RESPONSE: &str = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";

/// What a node does with a request.
#[derive(Clone, Debug)]
pub(crate) enum Behaviour {
    /// Writes these bytes; `{body}` stands for the body that belongs to the request.
    Write(&'static str),
    /// Writes these bytes and closes the connection.
    WriteThenClose(&'static str),
    /// Writes these bytes and resets the connection.
    WriteThenReset(&'static str),
    /// Closes the connection without a response.
    Close,
    /// Does not respond and keeps the connection.
    NoResponse,
    /// Responds with a body of so many bytes.
    WriteBody(usize),
    /// Responds after a while.
    RespondAfter(Duration),
    /// Writes all but the end of a response of so many bytes, and the rest byte by byte.
    Trickle(usize),
    /// Responds behind unsolicited bytes of an earlier exchange on the connection.
    RespondBehind(Unsolicited),
    /// Responds, and repeats the response after a while unless another request waits on the connection.
    DuplicateAfter(Duration),
}

/// Bytes that belong to no open exchange.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Unsolicited {
    /// The last response on this connection once more.
    Duplicate,
    /// The response before the last.
    EarlierDuplicate,
    /// The last response without so many of its last bytes.
    TruncatedDuplicate(usize),
    Garbage,
    /// An interim response, which is harmless.
    InterimResponse,
}

impl Unsolicited {
    fn bytes(self, responses: &[Vec<u8>]) -> Vec<u8> {
        let from_last = |back: usize| responses.iter().rev().nth(back).cloned().unwrap_or_default();
        match self {
            Unsolicited::Duplicate => from_last(0),
            Unsolicited::EarlierDuplicate => from_last(1),
            Unsolicited::TruncatedDuplicate(missing) => {
                let mut bytes = from_last(0);
                bytes.truncate(bytes.len().saturating_sub(missing));
                bytes
            }
            Unsolicited::Garbage => b"\x01\x02noise".to_vec(),
            Unsolicited::InterimResponse => b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(),
        }
    }
}

/// An emulated node.
#[derive(Default)]
pub(crate) struct Node {
    script: Mutex<VecDeque<Behaviour>>,
    /// What it does once the script is over; none responds.
    default_behaviour: Mutex<Option<Behaviour>>,
    pub received: Mutex<Vec<HttpMessage>>,
    pub connections: AtomicU64,
    request_received: Condvar,
}

impl Node {
    /// A node that serves on loopback as long as the process runs.
    pub(crate) fn start() -> (Arc<Node>, SocketAddr) {
        let (listener, address) = listen();
        let node = Arc::new(Node::default());
        let serving = node.clone();
        accept(listener, move |stream| _ = serving.serve(stream));
        (node, address)
    }

    /// Adds to the script, one behaviour per request.
    pub(crate) fn enqueue(&self, script: &[Behaviour]) {
        self.script.lock().unwrap().extend(script.iter().cloned());
    }

    /// What it does from now on once the script is over.
    pub(crate) fn set_default(&self, behaviour: Behaviour) {
        *self.default_behaviour.lock().unwrap() = Some(behaviour);
    }

    /// How many requests it has received.
    pub(crate) fn request_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }

    /// Waits until it has received so many requests in all.
    pub(crate) fn wait_for_requests(&self, n: usize) {
        let received = self.received.lock().unwrap();
        let waited = self.request_received.wait_timeout_while(received, WAIT_TIMEOUT, |all| all.len() < n);
        let (received, timeout) = waited.unwrap();
        assert!(!timeout.timed_out(), "{} of {n} requests came", received.len());
    }

    fn next_behaviour(&self) -> Behaviour {
        let scripted = self.script.lock().unwrap().pop_front();
        let behaviour = scripted.or_else(|| self.default_behaviour.lock().unwrap().clone());
        behaviour.unwrap_or(Behaviour::Write(OK_RESPONSE))
    }

    /// Serves a connection; none once it has ended.
    fn serve(&self, stream: TcpStream) -> Option<()> {
        self.connections.fetch_add(1, Ordering::SeqCst);
        let mut connection = NodeConnection {
            reader: BufReader::new(stream.try_clone().ok()?),
            stream,
            responses: Vec::new(),
        };
        loop {
            let message = HttpMessage::read(&mut connection.reader)?;
            let id = message.field("x-request-id").unwrap_or_default().to_string();
            self.received.lock().unwrap().push(message);
            self.request_received.notify_all();
            connection.respond(&id, self.next_behaviour())?;
        }
    }
}

/// A host's connection to a node.
struct NodeConnection {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
    /// The whole responses that belong to its requests so far.
    responses: Vec<Vec<u8>>,
}

impl NodeConnection {
    fn respond(&mut self, id: &str, behaviour: Behaviour) -> Option<()> {
        let for_request = |text: &str| text.replace("{body}", &expected_body(id)).into_bytes();
        let response = for_request(OK_RESPONSE);
        match behaviour {
            Behaviour::RespondBehind(unsolicited) => {
                // On a fresh connection there is nothing that could have been left.
                if !self.responses.is_empty() {
                    self.stream.write_all(&unsolicited.bytes(&self.responses)).ok()?;
                }
                // As two segments, as they would come from two writes.
                std::thread::sleep(Duration::from_millis(1));
                self.stream.write_all(&response).ok()?;
            }
            Behaviour::DuplicateAfter(delay) => {
                self.stream.write_all(&response).ok()?;
                std::thread::sleep(delay);
                if self.reader.buffer().is_empty() && no_request_waits(&self.stream) {
                    self.stream.write_all(&response).ok()?;
                }
            }
            Behaviour::Write(text) => self.stream.write_all(&for_request(text)).ok()?,
            Behaviour::WriteThenClose(text) => {
                self.stream.write_all(&for_request(text)).ok()?;
                return self.close();
            }
            Behaviour::WriteThenReset(text) => {
                self.stream.write_all(&for_request(text)).ok()?;
                reset_on_drop(&self.stream);
                return None;
            }
            Behaviour::Close => return self.close(),
            Behaviour::NoResponse => {}
            Behaviour::WriteBody(length) => {
                self.write_head(length)?;
                self.stream.write_all(&vec![b'x'; length]).ok()?;
            }
            Behaviour::Trickle(length) => self.trickle(length)?,
            Behaviour::RespondAfter(delay) => {
                std::thread::sleep(delay);
                self.stream.write_all(&response).ok()?;
            }
        }
        self.responses.push(response);
        Some(())
    }

    fn write_head(&mut self, length: usize) -> Option<()> {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        self.stream.write_all(head.as_bytes()).ok()
    }

    fn trickle(&mut self, length: usize) -> Option<()> {
        const TRICKLED_BYTES: usize = 1000;
        self.write_head(length)?;
        self.stream.write_all(&vec![b'x'; length - TRICKLED_BYTES]).ok()?;
        for _ in 0..TRICKLED_BYTES {
            std::thread::sleep(Duration::from_millis(10));
            self.stream.write_all(b"x").ok()?;
        }
        Some(())
    }

    fn close(&self) -> Option<()> {
        _ = self.stream.shutdown(Shutdown::Both);
        None
    }
}

/// Whether no byte of a further request has come.
fn no_request_waits(stream: &TcpStream) -> bool {
    _ = stream.set_nonblocking(true);
    let waits = matches!(stream.peek(&mut [0]), Ok(n) if n > 0);
    _ = stream.set_nonblocking(false);
    !waits
}
