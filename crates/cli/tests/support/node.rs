//! Emulated node of the platform that follows a script and records the requests received.

use super::http_message::{expected_body, HttpMessage};
use super::loopback::{accept, listen, reset_on_drop};
use super::WAIT_TIMEOUT;
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

pub(crate) const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{body}";
pub(crate) const OVERLOADED_RESPONSE: &str = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
pub(crate) const FAILED_RESPONSE: &str = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";

/// Reaction of a node to a request.
#[derive(Clone, Debug)]
pub(crate) enum Behaviour {
    /// Writes these bytes; `{body}` is replaced by the expected body for the request.
    Write(&'static str),
    /// Writes the first bytes and, after a pause, the others, whether or not a request has arrived meanwhile.
    WriteInParts(&'static str, Duration, &'static str),
    /// Writes these bytes and closes the connection.
    WriteThenClose(&'static str),
    /// Writes these bytes and resets the connection.
    WriteThenReset(&'static str),
    /// Closes the connection without a response.
    Close,
    /// Does not respond and keeps the connection open.
    NoResponse,
    /// Responds with a body of this number of bytes.
    WriteBody(usize),
    /// Responds after this delay.
    RespondAfter(Duration),
    /// Responds with a body of this number of bytes, of which the last 1000 are written one at a time with pauses.
    Trickle(usize),
    /// Responds with a body of this number of bytes, of which the last 20 are written one at a time with pauses.
    SlowBody(usize),
    /// Writes unsolicited bytes on a connection with an earlier exchange, then responds.
    RespondBehind(Unsolicited),
    /// Responds, and repeats the response after this delay unless another request is pending on the connection.
    DuplicateAfter(Duration),
}

/// Bytes that do not belong to an open exchange.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Unsolicited {
    /// Copy of the latest response on this connection.
    Duplicate,
    /// Copy of the second to last response on this connection.
    EarlierDuplicate,
    /// Copy of the latest response without this number of bytes at the end.
    TruncatedDuplicate(usize),
    Garbage,
    /// Interim response, which HTTP permits before a final response.
    InterimResponse,
}

impl Unsolicited {
    fn bytes(self, responses: &[Vec<u8>]) -> Vec<u8> {
        let nth_last = |n: usize| responses.iter().rev().nth(n).cloned().unwrap_or_default();
        match self {
            Unsolicited::Duplicate => nth_last(0),
            Unsolicited::EarlierDuplicate => nth_last(1),
            Unsolicited::TruncatedDuplicate(truncated_bytes) => {
                let mut bytes = nth_last(0);
                bytes.truncate(bytes.len().saturating_sub(truncated_bytes));
                bytes
            }
            Unsolicited::Garbage => b"\x01\x02noise".to_vec(),
            Unsolicited::InterimResponse => b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(),
        }
    }
}

/// Emulated node of the platform.
#[derive(Default)]
pub(crate) struct Node {
    script: Mutex<VecDeque<Behaviour>>,
    /// Behaviour after the end of the script; `None` responds normally.
    default_behaviour: Mutex<Option<Behaviour>>,
    pub received: Mutex<Vec<HttpMessage>>,
    /// Times at which the requests were received, in the same order.
    received_at: Mutex<Vec<Instant>>,
    pub connections: AtomicU64,
    request_received: Condvar,
}

impl Node {
    /// Starts a node that serves on loopback until the process exits.
    pub(crate) fn start() -> (Arc<Node>, SocketAddr) {
        let (listener, address) = listen();
        let node = Arc::new(Node::default());
        let serving = node.clone();
        accept(listener, move |stream| _ = serving.serve(stream));
        (node, address)
    }

    /// Appends behaviours to the script, one per request.
    pub(crate) fn enqueue(&self, script: &[Behaviour]) {
        self.script.lock().unwrap().extend(script.iter().cloned());
    }

    /// Sets the behaviour after the end of the script.
    pub(crate) fn set_default(&self, behaviour: Behaviour) {
        *self.default_behaviour.lock().unwrap() = Some(behaviour);
    }

    /// Returns the number of requests received.
    pub(crate) fn request_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }

    /// Returns the id and the time of each request received.
    pub(crate) fn arrivals(&self) -> Vec<(String, Instant)> {
        let received = self.received.lock().unwrap();
        let ids =
            received.iter().map(|message| message.field("x-request-id").unwrap_or_default().to_string());
        ids.zip(self.received_at.lock().unwrap().iter().copied()).collect()
    }

    /// Waits until `n` requests have been received in total.
    pub(crate) fn wait_for_requests(&self, n: usize) {
        let received = self.received.lock().unwrap();
        let waited = self.request_received.wait_timeout_while(received, WAIT_TIMEOUT, |all| all.len() < n);
        let (received, timeout) = waited.unwrap();
        assert!(!timeout.timed_out(), "{} of {n} requests arrived", received.len());
    }

    fn next_behaviour(&self) -> Behaviour {
        let scripted = self.script.lock().unwrap().pop_front();
        let behaviour = scripted.or_else(|| self.default_behaviour.lock().unwrap().clone());
        behaviour.unwrap_or(Behaviour::Write(OK_RESPONSE))
    }

    /// Serves a connection; returns `None` when the connection has ended.
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
            {
                let mut received = self.received.lock().unwrap();
                received.push(message);
                self.received_at.lock().unwrap().push(Instant::now());
            }
            self.request_received.notify_all();
            connection.respond(&id, self.next_behaviour())?;
        }
    }
}

/// Connection from a host to a node.
struct NodeConnection {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
    /// Complete responses to the requests received so far on the connection.
    responses: Vec<Vec<u8>>,
}

impl NodeConnection {
    fn respond(&mut self, id: &str, behaviour: Behaviour) -> Option<()> {
        let fill_body = |text: &str| text.replace("{body}", &expected_body(id)).into_bytes();
        let response = fill_body(OK_RESPONSE);
        match behaviour {
            Behaviour::RespondBehind(unsolicited) => {
                // On a new connection there is no earlier exchange to which unsolicited bytes could belong.
                if !self.responses.is_empty() {
                    self.stream.write_all(&unsolicited.bytes(&self.responses)).ok()?;
                }
                // The pause lets the bytes arrive as two segments, as from two separate writes.
                std::thread::sleep(Duration::from_millis(1));
                self.stream.write_all(&response).ok()?;
            }
            Behaviour::DuplicateAfter(delay) => {
                self.stream.write_all(&response).ok()?;
                std::thread::sleep(delay);
                if self.reader.buffer().is_empty() && has_no_pending_request(&self.stream) {
                    self.stream.write_all(&response).ok()?;
                }
            }
            Behaviour::Write(text) => self.stream.write_all(&fill_body(text)).ok()?,
            Behaviour::WriteInParts(first, pause, second) => {
                self.stream.write_all(&fill_body(first)).ok()?;
                std::thread::sleep(pause);
                self.stream.write_all(&fill_body(second)).ok()?;
            }
            Behaviour::WriteThenClose(text) => {
                self.stream.write_all(&fill_body(text)).ok()?;
                return self.close();
            }
            Behaviour::WriteThenReset(text) => {
                self.stream.write_all(&fill_body(text)).ok()?;
                reset_on_drop(&self.stream);
                return None;
            }
            Behaviour::Close => return self.close(),
            Behaviour::NoResponse => {}
            Behaviour::WriteBody(length) => {
                self.write_head(length)?;
                self.stream.write_all(&vec![b'x'; length]).ok()?;
            }
            Behaviour::Trickle(length) => self.trickle(length, 1000)?,
            Behaviour::SlowBody(length) => self.trickle(length, 20)?,
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

    /// Writes a body, the last `trickled` bytes of it one at a time with pauses.
    fn trickle(&mut self, length: usize, trickled: usize) -> Option<()> {
        self.write_head(length)?;
        self.stream.write_all(&vec![b'x'; length - trickled]).ok()?;
        for _ in 0..trickled {
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

/// Returns whether no byte of a further request has arrived.
fn has_no_pending_request(stream: &TcpStream) -> bool {
    _ = stream.set_nonblocking(true);
    let has_bytes = matches!(stream.peek(&mut [0]), Ok(n) if n > 0);
    _ = stream.set_nonblocking(false);
    !has_bytes
}
