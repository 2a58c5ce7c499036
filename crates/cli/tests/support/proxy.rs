//! A TCP proxy on loopback that injects faults into connections.

use super::loopback::{listen, reset_on_drop};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What is wrong with a connection through the proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ConnectionFault {
    None,
    /// The connection is reset as soon as it is established.
    Reset,
    /// Each part of a response is forwarded so long after it came.
    Delay(Duration),
    /// What the client sends is read, and nothing is ever answered.
    Unresponsive,
}

/// The fault of each connection, by its number.
type FaultPlan = Box<dyn Fn(usize) -> ConnectionFault + Send>;

/// A proxy in front of one server. Connections are counted from 0 in the order in which they came.
pub(crate) struct Proxy {
    pub address: SocketAddr,
    plan: Arc<Mutex<FaultPlan>>,
    connection_times: Arc<Mutex<Vec<Instant>>>,
    clients: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub(crate) fn start(
        server: SocketAddr,
        plan: impl Fn(usize) -> ConnectionFault + Send + 'static,
    ) -> Proxy {
        let (listener, address) = listen();
        let plan: Arc<Mutex<FaultPlan>> = Arc::new(Mutex::new(Box::new(plan)));
        let connection_times = Arc::new(Mutex::new(Vec::new()));
        let clients = Arc::new(Mutex::new(Vec::new()));
        let (current_plan, times, open) = (plan.clone(), connection_times.clone(), clients.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = {
                    let mut times = times.lock().unwrap();
                    times.push(Instant::now());
                    times.len() - 1
                };
                let fault = current_plan.lock().unwrap()(number);
                if fault != ConnectionFault::Reset {
                    open.lock().unwrap().push(stream.try_clone().unwrap());
                }
                std::thread::spawn(move || carry(stream, server, fault));
            }
        });
        Proxy { address, plan, connection_times, clients }
    }

    /// Connections from now on follow another plan.
    pub(crate) fn set_plan(&self, plan: impl Fn(usize) -> ConnectionFault + Send + 'static) {
        *self.plan.lock().unwrap() = Box::new(plan);
    }

    /// Closes all open connections.
    pub(crate) fn close_all(&self) {
        for client in self.clients.lock().unwrap().drain(..) {
            _ = client.shutdown(Shutdown::Both);
        }
    }

    /// When each connection came.
    pub(crate) fn connection_times(&self) -> Vec<Instant> {
        self.connection_times.lock().unwrap().clone()
    }
}

fn carry(client: TcpStream, server: SocketAddr, fault: ConnectionFault) {
    let delay = match fault {
        ConnectionFault::Reset => {
            reset_on_drop(&client);
            return;
        }
        ConnectionFault::Unresponsive => {
            pump(&client, None, Duration::ZERO);
            return;
        }
        ConnectionFault::None => Duration::ZERO,
        ConnectionFault::Delay(delay) => delay,
    };
    let Ok(upstream) = TcpStream::connect(server) else { return };
    let (back_from, back_to) = (upstream.try_clone().unwrap(), client.try_clone().unwrap());
    std::thread::spawn(move || pump(&back_from, Some(&back_to), delay));
    pump(&client, Some(&upstream), Duration::ZERO);
}

/// Copies bytes one way until either side ends.
fn pump(mut from: &TcpStream, to: Option<&TcpStream>, delay: Duration) {
    let mut buffer = [0; 16 << 10];
    loop {
        let length = match from.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        std::thread::sleep(delay);
        if to.is_some_and(|mut to| to.write_all(&buffer[..length]).is_err()) {
            break;
        }
    }
    for stream in [Some(from), to].into_iter().flatten() {
        _ = stream.shutdown(Shutdown::Both);
    }
}
