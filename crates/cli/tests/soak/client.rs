//! Clients that send requests alone, pipelined and split, and cancel some of them; each records what it saw.

use crate::run_config::RunConfig;
use crate::support::http_message::{request_bytes, HttpMessage};
use crate::support::random::SeededRandom;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// What a client expects of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestKind {
    /// A request to a node, with the node's response to it.
    Forwarded,
    /// A readiness check, which the host answers by itself.
    Readiness,
    /// A request that the host rejects by itself.
    Rejected,
}

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub(crate) enum RequestEnd {
    Answered {
        status: u16,
        body: Vec<u8>,
        at: Instant,
    },
    /// The connection ended without a whole response.
    ConnectionClosed {
        at: Instant,
    },
    /// The client disconnected first.
    Cancelled {
        at: Instant,
    },
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub id: String,
    pub kind: RequestKind,
    pub host: usize,
    /// When its last byte was written.
    pub sent: Instant,
    pub deadline: Duration,
    /// The longest deadline of this one and those pipelined before it: responses come in their order.
    pub due: Duration,
    /// Another request of the same write was answered, so that this one was read as well.
    pub read: bool,
    pub end: RequestEnd,
}

/// What a client saw.
pub(crate) struct ClientRecord {
    pub requests: Vec<Request>,
    /// How often more arrived than the responses to the requests.
    pub unsolicited_count: u64,
}

/// A client of one host.
pub(crate) struct Client<'a> {
    pub config: &'a RunConfig,
    pub name: String,
    pub host: usize,
    pub address: SocketAddr,
    pub random: SeededRandom,
    pub over: &'a AtomicBool,
    pub request_count: u64,
    /// How often more arrived than the responses to the requests.
    pub unsolicited_count: u64,
    pub requests: Vec<Request>,
}

/// A request before its end.
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
        while !self.over.load(Ordering::SeqCst) {
            match TcpStream::connect(self.address) {
                Ok(stream) => self.use_connection(&stream),
                // The host is gone for a while.
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        }
        ClientRecord { requests: self.requests, unsolicited_count: self.unsolicited_count }
    }

    /// Sends requests on one connection until it ends.
    fn use_connection(&mut self, stream: &TcpStream) {
        _ = stream.set_nodelay(true);
        // Longer than any request may take: what is not there by then is missing.
        _ = stream.set_read_timeout(Some(self.config.longest_deadline + Duration::from_secs(3)));
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while !self.over.load(Ordering::SeqCst) {
            if !self.exchange(stream, &mut reader) {
                return;
            }
            std::thread::sleep(Duration::from_millis(self.random.below(self.config.pause_ms)));
        }
    }

    /// Writes one or several requests and reads their responses; false where the connection is over.
    fn exchange(&mut self, stream: &TcpStream, reader: &mut BufReader<TcpStream>) -> bool {
        let count = if self.random.below(4) == 0 { 2 + self.random.below(4) } else { 1 };
        let requests = self.next_requests(count);
        let bytes: Vec<u8> = requests.iter().flat_map(|request| request.bytes.clone()).collect();
        let whole = self.random.below(5) > 0;
        if !self.send(stream, &bytes, whole) {
            // The host has not read the last request whole.
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
            // What was written at once is read at once.
            self.record(request, sent, end, whole && answered > 0);
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

    fn record(&mut self, request: OpenRequest, sent: Instant, end: RequestEnd, read: bool) {
        let OpenRequest { id, kind, deadline, due, .. } = request;
        self.requests.push(Request { id, kind, host: self.host, sent, deadline, due, read, end });
    }

    /// Requests for one write, each due once all before it are.
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
        let most = longest_deadline.as_millis() as u64;
        let limit = if self.random.below(20) == 0 { 1 } else { most / 3 + self.random.below(most * 2 / 3) };
        let shard = self.random.below(self.config.shards as u64) as i32;
        let bytes = request_bytes(&id, class, shard, limit as u32);
        let deadline = Duration::from_millis(limit);
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

    /// Writes bytes, at once or split; false where the host did not accept all of them.
    fn send(&mut self, mut stream: &TcpStream, bytes: &[u8], whole: bool) -> bool {
        if whole {
            return stream.write_all(bytes).is_ok();
        }
        let mut rest = bytes;
        while !rest.is_empty() {
            let length = 1 + self.random.below(rest.len() as u64) as usize;
            let (now, later) = rest.split_at(length);
            if stream.write_all(now).is_err() {
                return false;
            }
            rest = later;
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

/// Whether the host has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    !peek(stream).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
}
