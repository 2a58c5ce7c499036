//! Clients that send a part of a request, or send it slowly, again and again until they are stopped.

use super::http_client::HttpClient;
use super::http_message::sized_request_bytes;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Length of the body of a large request.
const BODY_BYTES: usize = 60_000;
/// Number of short fields of a head, and the length of the pieces and the pause of a client that sends slowly.
const FIELDS: usize = 3_500;
const PIECE_BYTES: usize = 600;
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Pause before a client connects again after its connection was refused.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// What a client sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SlowRequest {
    /// Half of a large request.
    Half,
    /// A large request without its last byte.
    AllButTheLastByte,
    /// A head of thousands of short fields, which does not end.
    ManyFields,
    /// A large request in small pieces with pauses.
    SmallPieces,
}

pub(crate) const SLOW_REQUESTS: [SlowRequest; 4] =
    [SlowRequest::Half, SlowRequest::AllButTheLastByte, SlowRequest::ManyFields, SlowRequest::SmallPieces];

impl SlowRequest {
    fn bytes(self, id: &str) -> Vec<u8> {
        let mut whole = sized_request_bytes(id, 0, 1000, BODY_BYTES);
        match self {
            SlowRequest::Half => whole.truncate(BODY_BYTES / 2),
            SlowRequest::AllButTheLastByte => whole.truncate(whole.len() - 1),
            SlowRequest::ManyFields => {
                whole = b"GET /many HTTP/1.1\r\n".to_vec();
                (0..FIELDS).for_each(|n| whole.extend_from_slice(format!("a{}:\r\n", n % 10).as_bytes()));
            }
            SlowRequest::SmallPieces => {}
        }
        whole
    }
}

/// Running clients. Dropping the value ends them.
pub(crate) struct SlowSenders {
    stop: Arc<AtomicBool>,
    answers: Arc<AtomicU64>,
    clients: Vec<JoinHandle<()>>,
}

impl SlowSenders {
    /// Starts this number of clients, which send the requests in turn.
    pub(crate) fn start(host: SocketAddr, requests: &[SlowRequest], clients: usize) -> SlowSenders {
        let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let start_client = |number: usize| {
            let (stop, answers, request) = (stop.clone(), answers.clone(), requests[number % requests.len()]);
            std::thread::spawn(move || run_client(host, number, request, &stop, &answers))
        };
        let clients = (0..clients).map(start_client).collect();
        SlowSenders { stop, answers, clients }
    }

    /// Returns the number of errors that the clients have got.
    pub(crate) fn answers(&self) -> u64 {
        self.answers.load(Ordering::Relaxed)
    }
}

impl Drop for SlowSenders {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.drain(..).for_each(|client| _ = client.join());
    }
}

fn run_client(host: SocketAddr, number: usize, request: SlowRequest, stop: &AtomicBool, answers: &AtomicU64) {
    for round in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let Ok(mut client) = HttpClient::connect(host) else {
            std::thread::sleep(RECONNECT_PAUSE);
            continue;
        };
        let bytes = request.bytes(&format!("slow{number}-{round}"));
        if request == SlowRequest::SmallPieces {
            for piece in bytes.chunks(PIECE_BYTES) {
                client.send(piece);
                std::thread::sleep(PIECE_PAUSE);
            }
        } else {
            client.send(&bytes);
        }
        if client.receive().is_some_and(|response| response.status() >= 400) {
            answers.fetch_add(1, Ordering::Relaxed);
        }
    }
}
