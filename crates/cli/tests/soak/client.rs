//! Clients that send single, pipelined and split requests, cancel some of them, and record the results.

use crate::run_config::RunConfig;
use crate::support::http_message::{request_bytes, HttpMessage};
use crate::support::random::SeededRandom;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Kind of a request, which determines the response expected by the client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestKind {
    /// Request that is forwarded to a node and gets the response of the node.
    Forwarded,
    /// Readiness check, which the host answers without a node.
    Readiness,
    /// Request that the host rejects without a node.
    Rejected,
}

/// End of a request as observed by its client.
#[derive(Clone, Debug)]
pub(crate) enum RequestEnd {
    Answered {
        status: u16,
        body: Vec<u8>,
        at: Instant,
    },
    /// The connection ended without a complete response.
    ConnectionClosed {
        at: Instant,
    },
    /// The client disconnected before the response.
    Cancelled {
        at: Instant,
    },
}

/// Request as recorded by its client.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub id: String,
    pub kind: RequestKind,
    pub host: usize,
    /// Time at which the last byte of the request was written.
    pub sent: Instant,
    pub deadline: Duration,
    /// Longest deadline of this request and the requests pipelined before it, since responses are sent in request
    /// order.
    pub due: Duration,
    /// Set if another request of the same write was answered, which shows that the host has read this request too.
    pub is_read: bool,
    pub end: RequestEnd,
}

/// Results recorded by a client.
pub(crate) struct ClientRecord {
    pub requests: Vec<Request>,
    /// Number of times that bytes arrived beyond the responses to the requests.
    pub unsolicited_count: u64,
}

/// Client of one host.
pub(crate) struct Client<'a> {
    pub config: &'a RunConfig,
    pub name: String,
    pub host: usize,
    pub address: SocketAddr,
    pub random: SeededRandom,
    pub is_over: &'a AtomicBool,
    pub request_count: u64,
    /// Number of times that bytes arrived beyond the responses to the requests.
    pub unsolicited_count: u64,
    pub requests: Vec<Request>,
}

/// Request that has not ended yet.
struct OpenRequest {
    id: String,
    kind: RequestKind,
    deadline: Duration,
    due: Duration,
    bytes: Vec<u8>,
}

impl Client<'_> {
    /// Sends requests until the run is over.
    pub(crate) fn run(mut self) -> ClientRecord {
        while !self.is_over.load(Ordering::SeqCst) {
            match TcpStream::connect(self.address) {
                Ok(stream) => self.use_connection(&stream),
                // The host is not running at the moment.
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        }
        ClientRecord { requests: self.requests, unsolicited_count: self.unsolicited_count }
    }

    /// Sends requests on one connection until it ends.
    fn use_connection(&mut self, stream: &TcpStream) {
        _ = stream.set_nodelay(true);
        // Longer than any request may take; a response that has not arrived by then is missing.
        _ = stream.set_read_timeout(Some(self.config.longest_deadline + Duration::from_secs(3)));
        let Ok(read_stream) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read_stream);
        while !self.is_over.load(Ordering::SeqCst) {
            if !self.exchange(stream, &mut reader) {
                return;
            }
            std::thread::sleep(Duration::from_millis(self.random.below(self.config.pause_ms)));
        }
    }

    /// Writes one or several requests and reads their responses; returns whether the connection is still usable.
    fn exchange(&mut self, stream: &TcpStream, reader: &mut BufReader<TcpStream>) -> bool {
        let count = if self.random.below(4) == 0 { 2 + self.random.below(4) } else { 1 };
        let requests = self.next_requests(count);
        let bytes: Vec<u8> = requests.iter().flat_map(|request| request.bytes.clone()).collect();
        let is_single_write = self.random.below(5) > 0;
        if !self.send(stream, &bytes, is_single_write) {
            // The host has not read the last request completely.
            return false;
        }
        let sent = Instant::now();
        if self.random.below(100) < self.config.cancelled_percent {
            std::thread::sleep(Duration::from_millis(self.random.below(30)));
            _ = stream.shutdown(Shutdown::Both);
            let at = Instant::now();
            let end = RequestEnd::Cancelled { at };
            requests.into_iter().for_each(|request| self.record(request, sent, end.clone(), false));
            return false;
        }
        let receive = |_: &OpenRequest| HttpMessage::read(reader).map(|response| (response, Instant::now()));
        let responses: Vec<_> = requests.iter().map_while(receive).collect();
        let (answered, at) = (responses.len(), Instant::now());
        let mut responses = responses.into_iter();
        for request in requests {
            let end = match responses.next() {
                Some((response, at)) => {
                    RequestEnd::Answered { status: response.status(), body: response.body, at }
                }
                None => RequestEnd::ConnectionClosed { at },
            };
            // Requests sent in a single write are read together.
            self.record(request, sent, end, is_single_write && answered > 0);
        }
        if answered as u64 != count {
            return false;
        }
        if !reader.buffer().is_empty() || has_unread_bytes(stream) {
            self.unsolicited_count += 1;
            return false;
        }
        !is_closed(stream)
    }

    fn record(&mut self, request: OpenRequest, sent: Instant, end: RequestEnd, is_read: bool) {
        let OpenRequest { id, kind, deadline, due, .. } = request;
        self.requests.push(Request { id, kind, host: self.host, sent, deadline, due, is_read, end });
    }

    /// Returns requests for one write, each due no earlier than the requests before it.
    fn next_requests(&mut self, count: u64) -> Vec<OpenRequest> {
        let mut requests: Vec<OpenRequest> = (0..count).map(|_| self.next_request()).collect();
        for i in 1..requests.len() {
            requests[i].due = requests[i].deadline.max(requests[i - 1].due);
        }
        requests
    }

    fn next_request(&mut self) -> OpenRequest {
        self.request_count += 1;
        let id = format!("{}-{}", self.name, self.request_count);
        let class = ["read", "read", "write", "once"][self.random.below(4) as usize];
        let longest_deadline = self.config.longest_deadline;
        let max_ms = longest_deadline.as_millis() as u64;
        let deadline_ms =
            if self.random.below(20) == 0 { 1 } else { max_ms / 3 + self.random.below(max_ms * 2 / 3) };
        let shard = self.random.below(self.config.shards as u64) as i32;
        let bytes = request_bytes(&id, class, shard, deadline_ms as u32);
        let deadline = Duration::from_millis(deadline_ms);
        match self.random.below(16) {
            0 => {
                let bytes = b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n".to_vec();
                OpenRequest {
                    id,
                    kind: RequestKind::Readiness,
                    deadline: longest_deadline,
                    due: longest_deadline,
                    bytes,
                }
            }
            1 => {
                let text = String::from_utf8(bytes).unwrap().replace("X-Class: ", "X-Class: un");
                OpenRequest {
                    id,
                    kind: RequestKind::Rejected,
                    deadline: longest_deadline,
                    due: longest_deadline,
                    bytes: text.into_bytes(),
                }
            }
            _ => OpenRequest { id, kind: RequestKind::Forwarded, deadline, due: deadline, bytes },
        }
    }

    /// Writes bytes in a single write or split; returns whether the host accepted all of them.
    fn send(&mut self, mut stream: &TcpStream, bytes: &[u8], is_single_write: bool) -> bool {
        if is_single_write {
            return stream.write_all(bytes).is_ok();
        }
        let mut remaining = bytes;
        while !remaining.is_empty() {
            let length = 1 + self.random.below(remaining.len() as u64) as usize;
            let (part, tail) = remaining.split_at(length);
            if stream.write_all(part).is_err() {
                return false;
            }
            remaining = tail;
            std::thread::sleep(Duration::from_millis(self.random.below(8)));
        }
        true
    }
}

fn peek(stream: &TcpStream) -> std::io::Result<usize> {
    _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    _ = stream.set_nonblocking(false);
    peeked
}

fn has_unread_bytes(stream: &TcpStream) -> bool {
    peek(stream).is_ok_and(|bytes| bytes > 0)
}

/// Returns whether the host has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    !peek(stream).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
}
