//! Clients that send requests at full speed until they are stopped, under names that are new each time.

use super::http_message::request_bytes;
use super::WAIT_TIMEOUT;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Pause before a client connects again after its connection was refused.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Number of requests that a continuous client writes at once.
const WRITTEN_AT_ONCE: usize = 64;
/// Client timeout that the requests state, in milliseconds.
const CLIENT_TIMEOUT_MS: u32 = 400;
/// Start of each response.
const RESPONSE_START: &[u8] = b"HTTP/1.1 ";

/// Request that a flood repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FloodRequest {
    /// Valid request without a request id, which is refused.
    WithoutId,
    /// Valid read with a new id, volume and object.
    Read,
    /// Valid write with a new id, volume, object and idempotency key.
    Write,
    /// Read with a new class, which is unknown.
    UnknownClass,
    /// Read with a new QoS policy, which is unknown.
    UnknownPolicy,
    /// Read with a field of a new name.
    NewField,
    /// Bytes that are no request.
    Unsound,
}

impl FloodRequest {
    /// Returns the bytes of request `number`.
    fn bytes(self, number: u64) -> Vec<u8> {
        let class = if self == FloodRequest::Write { "write" } else { "read" };
        let valid =
            String::from_utf8(request_bytes(&format!("f{number:x}"), class, 0, CLIENT_TIMEOUT_MS)).unwrap();
        let with_volume = valid.replace("00000003b4d60021", &format!("{:016x}", number + 1));
        let text = match self {
            FloodRequest::Read | FloodRequest::Write => with_volume,
            FloodRequest::WithoutId => valid.replace("X-Request-Id", "X-Other-Id"),
            FloodRequest::UnknownClass => valid.replace("X-Class: read", &format!("X-Class: c{number:x}")),
            FloodRequest::UnknownPolicy => valid.replace("Policy: gold", &format!("Policy: p{number:x}")),
            FloodRequest::NewField => valid.replace("Host:", &format!("X-N{number:x}: 1\r\nHost:")),
            FloodRequest::Unsound => "GET /\0\r\n\r\n".to_string(),
        };
        text.into_bytes()
    }
}

/// How a client of a flood sends its requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Pace {
    /// This number of requests at once, and as many again when these are answered.
    Bursts(usize),
    /// As many requests as the connection takes, whether or not earlier ones are answered.
    Continuous,
}

/// State that the threads of a flood share.
#[derive(Default)]
struct Shared {
    stop: AtomicBool,
    next_number: AtomicU64,
    answers: AtomicU64,
}

impl Shared {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    fn burst(&self, request: FloodRequest, count: usize) -> Vec<u8> {
        (0..count).flat_map(|_| request.bytes(self.next_number.fetch_add(1, Ordering::Relaxed))).collect()
    }
}

/// Running flood. Dropping the value ends it.
pub(crate) struct EndlessFlood {
    shared: Arc<Shared>,
    clients: Vec<JoinHandle<()>>,
}

impl EndlessFlood {
    /// Starts a flood of this number of clients.
    pub(crate) fn start(host: SocketAddr, request: FloodRequest, pace: Pace, clients: usize) -> EndlessFlood {
        let shared = Arc::new(Shared::default());
        let start_client = |_| {
            let shared = shared.clone();
            std::thread::spawn(move || run_client(&shared, host, request, pace))
        };
        EndlessFlood { clients: (0..clients).map(start_client).collect(), shared }
    }

    /// Returns the number of answers so far.
    pub(crate) fn answers(&self) -> u64 {
        self.shared.answers.load(Ordering::Relaxed)
    }
}

impl Drop for EndlessFlood {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        self.clients.drain(..).for_each(|client| _ = client.join());
    }
}

/// Connects again and again, and sends requests on each connection until it ends.
fn run_client(shared: &Shared, host: SocketAddr, request: FloodRequest, pace: Pace) {
    while !shared.is_stopped() {
        let Ok(stream) = TcpStream::connect(host) else {
            std::thread::sleep(RECONNECT_PAUSE);
            continue;
        };
        _ = stream.set_read_timeout(Some(WAIT_TIMEOUT));
        match pace {
            Pace::Bursts(count) => send_bursts(shared, &stream, request, count),
            Pace::Continuous => send_continuously(shared, &stream, request),
        }
    }
}

fn send_bursts(shared: &Shared, mut stream: &TcpStream, request: FloodRequest, count: usize) {
    let mut counter = ResponseCounter::default();
    while !shared.is_stopped() && stream.write_all(&shared.burst(request, count)).is_ok() {
        let wanted = counter.responses + count;
        while counter.responses < wanted {
            if !counter.read(shared, stream) {
                return;
            }
        }
    }
}

fn send_continuously(shared: &Shared, stream: &TcpStream, request: FloodRequest) {
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut writer = stream;
            while !shared.is_stopped() && writer.write_all(&shared.burst(request, WRITTEN_AT_ONCE)).is_ok() {}
            _ = stream.shutdown(Shutdown::Both);
        });
        let mut counter = ResponseCounter::default();
        while counter.read(shared, stream) {}
    });
}

/// Counter of the responses on one connection.
#[derive(Default)]
struct ResponseCounter {
    /// Number of bytes of a response's start that end the input so far.
    matched: usize,
    responses: usize,
}

impl ResponseCounter {
    /// Reads once; returns false where the connection has ended.
    fn read(&mut self, shared: &Shared, mut stream: &TcpStream) -> bool {
        let mut chunk = [0; 16 << 10];
        let Ok(length @ 1..) = stream.read(&mut chunk) else { return false };
        let before = self.responses;
        for byte in &chunk[..length] {
            self.matched = match (*byte == RESPONSE_START[self.matched], *byte == RESPONSE_START[0]) {
                (true, _) => self.matched + 1,
                (false, is_first) => usize::from(is_first),
            };
            if self.matched == RESPONSE_START.len() {
                (self.matched, self.responses) = (0, self.responses + 1);
            }
        }
        shared.answers.fetch_add((self.responses - before) as u64, Ordering::Relaxed);
        true
    }
}
