//! A relay between clients and a host that breaks a rule once, for the audit to find.

use crate::plan::Plant;
use crate::rig::{accept, listen};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Pieces that pass before the break.
const PASSES: u64 = 40;

/// A relay before one host.
pub struct Relay {
    pub address: SocketAddr,
}

#[derive(Default)]
struct Shared {
    requests: AtomicU64,
    answers: AtomicU64,
    /// An answer that was passed on.
    kept: Mutex<Vec<u8>>,
}

impl Relay {
    pub fn before(host: SocketAddr, plant: Plant) -> Relay {
        let (listener, address) = listen();
        let shared = Arc::new(Shared::default());
        accept(listener, move |client| _ = carry(&client, host, plant, &shared));
        Relay { address }
    }
}

fn carry(client: &TcpStream, host: SocketAddr, plant: Plant, shared: &Arc<Shared>) -> Option<()> {
    let host = TcpStream::connect(host).ok()?;
    _ = (client.set_nodelay(true), host.set_nodelay(true));
    let (back_from, back_to, counts) = (host.try_clone().ok()?, client.try_clone().ok()?, shared.clone());
    std::thread::spawn(move || {
        pump(&back_from, &back_to, |piece| {
            if plant == Plant::SwappedAnswer {
                counts.swap(piece);
            }
            true
        });
    });
    pump(client, &host, |piece| plant != Plant::SwallowedRequest || !shared.swallows(piece));
    Some(())
}

impl Shared {
    /// Puts an earlier answer in the place of one.
    fn swap(&self, piece: &mut Vec<u8>) {
        if !piece.starts_with(b"HTTP/1.1 200") {
            return;
        }
        let mut kept = self.kept.lock().unwrap();
        if self.answers.fetch_add(1, Ordering::SeqCst) == PASSES {
            std::mem::swap(&mut *kept, piece);
        } else if kept.is_empty() {
            kept.clone_from(piece);
        }
    }

    /// Whether this request is to go nowhere.
    fn swallows(&self, piece: &[u8]) -> bool {
        let begins = piece.starts_with(b"GET /api") || piece.starts_with(b"PUT /api");
        begins && self.requests.fetch_add(1, Ordering::SeqCst) == PASSES
    }
}

/// Carries bytes one way until an end, or until a piece is not to be passed on.
fn pump(mut from: &TcpStream, mut to: &TcpStream, mut passes: impl FnMut(&mut Vec<u8>) -> bool) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(length) = from.read(&mut buffer) {
        let mut piece = buffer[..length].to_vec();
        if length == 0 || !passes(&mut piece) && swallowed() || to.write_all(&piece).is_err() {
            break;
        }
    }
    _ = from.shutdown(Shutdown::Both);
    _ = to.shutdown(Shutdown::Both);
}

/// The client waits for a while before its connection ends, as it would at a host that forgot its request.
fn swallowed() -> bool {
    std::thread::sleep(std::time::Duration::from_secs(1));
    true
}
