//! A TCP proxy on loopback that does harm to connections on a plan.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What happens to a connection through the proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Harm {
    None,
    /// The connection is reset as soon as it stands.
    Reset,
    /// Each piece of an answer is passed on so long after it came.
    Delay(Duration),
    /// What the caller sends is read, and nothing is ever answered.
    Silence,
}

type Plan = Box<dyn Fn(usize) -> Harm + Send>;

/// A proxy before one server. Connections are counted from 0 in the order in which they came.
pub struct Proxy {
    pub address: SocketAddr,
    plan: Arc<Mutex<Plan>>,
    came: Arc<Mutex<Vec<Instant>>>,
    callers: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn before(server: SocketAddr, plan: impl Fn(usize) -> Harm + Send + 'static) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let plan: Arc<Mutex<Plan>> = Arc::new(Mutex::new(Box::new(plan)));
        let (came, callers) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
        let (planned, counted, kept) = (plan.clone(), came.clone(), callers.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = {
                    let mut came = counted.lock().unwrap();
                    came.push(Instant::now());
                    came.len() - 1
                };
                let harm = planned.lock().unwrap()(number);
                if harm != Harm::Reset {
                    kept.lock().unwrap().push(stream.try_clone().unwrap());
                }
                std::thread::spawn(move || carry(stream, server, harm));
            }
        });
        Proxy { address, plan, came, callers }
    }

    /// Connections that come from now on are treated by another plan.
    pub fn plans(&self, plan: impl Fn(usize) -> Harm + Send + 'static) {
        *self.plan.lock().unwrap() = Box::new(plan);
    }

    /// Ends all connections that stand.
    pub fn cuts(&self) {
        for caller in self.callers.lock().unwrap().drain(..) {
            _ = caller.shutdown(Shutdown::Both);
        }
    }

    /// When each connection came.
    pub fn came(&self) -> Vec<Instant> {
        self.came.lock().unwrap().clone()
    }
}

fn carry(caller: TcpStream, server: SocketAddr, harm: Harm) {
    let delay = match harm {
        Harm::Reset => {
            socket2::SockRef::from(&caller).set_linger(Some(Duration::ZERO)).unwrap();
            return;
        }
        Harm::Silence => {
            pump(&caller, None, Duration::ZERO);
            return;
        }
        Harm::None => Duration::ZERO,
        Harm::Delay(delay) => delay,
    };
    let Ok(served) = TcpStream::connect(server) else { return };
    let (back_from, back_to) = (served.try_clone().unwrap(), caller.try_clone().unwrap());
    std::thread::spawn(move || pump(&back_from, Some(&back_to), delay));
    pump(&caller, Some(&served), Duration::ZERO);
}

/// Carries bytes one way until an end.
fn pump(mut from: &TcpStream, to: Option<&TcpStream>, delay: Duration) {
    let mut piece = [0; 16 << 10];
    loop {
        let length = match from.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        std::thread::sleep(delay);
        if to.is_some_and(|mut to| to.write_all(&piece[..length]).is_err()) {
            break;
        }
    }
    for stream in [Some(from), to].into_iter().flatten() {
        _ = stream.shutdown(Shutdown::Both);
    }
}
