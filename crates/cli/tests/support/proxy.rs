//! TCP proxy on loopback that injects faults into connections.

use super::loopback::{listen, reset_on_drop};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Fault injected into a connection through the proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ConnectionFault {
    None,
    /// Resets the connection as soon as it is established.
    Reset,
    /// Delays each part of a response by this duration.
    Delay(Duration),
    /// Reads the bytes of the client but never forwards or answers them.
    Unresponsive,
}

/// Function that returns the fault for a connection number.
type FaultPlan = Box<dyn Fn(usize) -> ConnectionFault + Send>;

/// Proxy for a single server. Connections are numbered from 0 in the order in which they were accepted.
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
        let (current_plan, times, open_clients) = (plan.clone(), connection_times.clone(), clients.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = {
                    let mut times = times.lock().unwrap();
                    times.push(Instant::now());
                    times.len() - 1
                };
                let fault = current_plan.lock().unwrap()(number);
                if fault != ConnectionFault::Reset {
                    open_clients.lock().unwrap().push(stream.try_clone().unwrap());
                }
                std::thread::spawn(move || forward(stream, server, fault));
            }
        });
        Proxy { address, plan, connection_times, clients }
    }

    /// Sets the fault plan for all further connections.
    pub(crate) fn set_plan(&self, plan: impl Fn(usize) -> ConnectionFault + Send + 'static) {
        *self.plan.lock().unwrap() = Box::new(plan);
    }

    /// Closes all open connections.
    pub(crate) fn close_all(&self) {
        for client in self.clients.lock().unwrap().drain(..) {
            _ = client.shutdown(Shutdown::Both);
        }
    }

    /// Returns the time at which each connection was accepted.
    pub(crate) fn connection_times(&self) -> Vec<Instant> {
        self.connection_times.lock().unwrap().clone()
    }
}

fn forward(client: TcpStream, server: SocketAddr, fault: ConnectionFault) {
    let delay = match fault {
        ConnectionFault::Reset => {
            reset_on_drop(&client);
            return;
        }
        ConnectionFault::Unresponsive => {
            copy_bytes(&client, None, Duration::ZERO);
            return;
        }
        ConnectionFault::None => Duration::ZERO,
        ConnectionFault::Delay(delay) => delay,
    };
    let Ok(upstream) = TcpStream::connect(server) else { return };
    let (response_from, response_to) = (upstream.try_clone().unwrap(), client.try_clone().unwrap());
    std::thread::spawn(move || copy_bytes(&response_from, Some(&response_to), delay));
    copy_bytes(&client, Some(&upstream), Duration::ZERO);
}

/// Copies bytes in one direction until either side closes.
fn copy_bytes(mut from: &TcpStream, to: Option<&TcpStream>, delay: Duration) {
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
