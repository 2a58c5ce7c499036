//! Relay between clients and a host with a seeded defect that the audit must find.

use crate::run_config::Defect;
use crate::support::loopback::{accept, listen};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Number of messages forwarded before the defect.
const FORWARDED_BEFORE_DEFECT: u64 = 40;
/// Time for which the connection of a lost request stays open, as on a host that has lost the request.
const LOST_REQUEST_HOLD: Duration = Duration::from_secs(1);

/// Relay in front of one host.
pub(crate) struct DefectRelay {
    pub address: SocketAddr,
}

#[derive(Default)]
struct Counters {
    requests: AtomicU64,
    responses: AtomicU64,
    /// Response that was forwarded earlier.
    earlier_response: Mutex<Vec<u8>>,
}

impl DefectRelay {
    pub(crate) fn start(host: SocketAddr, defect: Defect) -> DefectRelay {
        let (listener, address) = listen();
        let counters = Arc::new(Counters::default());
        accept(listener, move |client| _ = relay_connection(&client, host, defect, &counters));
        DefectRelay { address }
    }
}

fn relay_connection(
    client: &TcpStream,
    host: SocketAddr,
    defect: Defect,
    counters: &Arc<Counters>,
) -> Option<()> {
    let host = TcpStream::connect(host).ok()?;
    _ = (client.set_nodelay(true), host.set_nodelay(true));
    let (response_from, response_to) = (host.try_clone().ok()?, client.try_clone().ok()?);
    let response_counters = counters.clone();
    std::thread::spawn(move || {
        copy_bytes(&response_from, &response_to, |bytes| {
            if defect == Defect::SwappedResponse {
                response_counters.swap(bytes);
            }
            true
        });
    });
    copy_bytes(client, &host, |bytes| defect != Defect::LostRequest || !counters.is_lost(bytes));
    Some(())
}

impl Counters {
    /// Replaces one response with an earlier one.
    fn swap(&self, bytes: &mut Vec<u8>) {
        if !bytes.starts_with(b"HTTP/1.1 200") {
            return;
        }
        let mut earlier = self.earlier_response.lock().unwrap();
        if self.responses.fetch_add(1, Ordering::SeqCst) == FORWARDED_BEFORE_DEFECT {
            std::mem::swap(&mut *earlier, bytes);
        } else if earlier.is_empty() {
            earlier.clone_from(bytes);
        }
    }

    /// Returns whether this is the request to lose.
    fn is_lost(&self, bytes: &[u8]) -> bool {
        let is_request = bytes.starts_with(b"GET /api") || bytes.starts_with(b"PUT /api");
        is_request && self.requests.fetch_add(1, Ordering::SeqCst) == FORWARDED_BEFORE_DEFECT
    }
}

/// Copies bytes in one direction until either side closes, or until `forwards` returns false.
fn copy_bytes(mut from: &TcpStream, mut to: &TcpStream, mut forwards: impl FnMut(&mut Vec<u8>) -> bool) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(length) = from.read(&mut buffer) {
        let mut bytes = buffer[..length].to_vec();
        if length == 0 {
            break;
        }
        if !forwards(&mut bytes) {
            std::thread::sleep(LOST_REQUEST_HOLD);
            break;
        }
        if to.write_all(&bytes).is_err() {
            break;
        }
    }
    _ = from.shutdown(Shutdown::Both);
    _ = to.shutdown(Shutdown::Both);
}
