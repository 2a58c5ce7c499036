//! Emulated service discovery.

use super::http_message::HttpMessage;
use super::loopback::{accept, listen};
use super::{POLL_INTERVAL, WAIT_TIMEOUT};
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Fault in the responses of discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum FaultMode {
    #[default]
    Healthy,
    /// Reads calls but does not respond.
    Unresponsive,
    /// Responds with status 503.
    Busy,
    /// Responds with a body that is not a valid list.
    Malformed,
}

#[derive(Default)]
struct State {
    generation: u64,
    instances: Vec<Value>,
    fault_mode: FaultMode,
    calls: Vec<String>,
}

/// Emulated discovery that serves a list of instances.
#[derive(Default)]
pub(crate) struct Discovery {
    state: Mutex<State>,
    changed: Condvar,
}

impl Discovery {
    /// Starts a discovery that serves on loopback until the process exits.
    pub(crate) fn start(instances: Vec<Value>) -> (Arc<Discovery>, SocketAddr) {
        let discovery = Arc::new(Discovery::default());
        discovery.publish(instances);
        let (listener, address) = listen();
        let serving = discovery.clone();
        accept(listener, move |stream| _ = serving.serve(stream));
        (discovery, address)
    }

    /// Waits until the calls received so far meet a condition.
    pub(crate) fn wait_for_calls(&self, condition: &str, is_met: impl Fn(&[String]) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !is_met(&self.calls()) {
            assert!(Instant::now() < deadline, "timed out waiting until {condition}: {:?}", self.calls());
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Replaces the list and increments its generation.
    pub(crate) fn publish(&self, instances: Vec<Value>) {
        let mut state = self.state.lock().unwrap();
        state.generation += 1;
        state.instances = instances;
        self.changed.notify_all();
    }

    /// Sets the fault mode of all further responses.
    pub(crate) fn set_fault_mode(&self, fault_mode: FaultMode) {
        self.state.lock().unwrap().fault_mode = fault_mode;
        self.changed.notify_all();
    }

    /// Returns the request targets of all calls received.
    pub(crate) fn calls(&self) -> Vec<String> {
        self.state.lock().unwrap().calls.clone()
    }

    /// Returns the list in the form of the cached list in the settings of a host.
    pub(crate) fn snapshot(&self) -> Value {
        let state = self.state.lock().unwrap();
        json!({"generation": state.generation, "reset": true, "instances": state.instances})
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let (mut reader, mut stream) = (BufReader::new(stream.try_clone().ok()?), stream);
        loop {
            let call = HttpMessage::read(&mut reader)?;
            let target = call.start_line.split(' ').nth(1)?.to_string();
            let Some((status, body)) = self.response(target) else { continue };
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
        }
    }

    /// Returns status and body of the response to a call, after the wait requested by the call; `None` if the call gets
    /// no response.
    fn response(&self, target: String) -> Option<(u16, String)> {
        let parameter =
            |name: &str| target.split(['?', '&']).find_map(|p| p.strip_prefix(name)?.parse().ok());
        let known_generation: Option<u64> = parameter("after=");
        let wait_ms: Option<u64> = parameter("wait_ms=");
        let mut state = self.state.lock().unwrap();
        state.calls.push(target);
        let wait = Duration::from_millis(wait_ms.unwrap_or(0));
        let unchanged = |state: &mut State| {
            Some(state.generation) == known_generation && state.fault_mode == FaultMode::Healthy
        };
        state = self.changed.wait_timeout_while(state, wait, unchanged).unwrap().0;
        // Each change is sent as a complete list, the simplest form that the protocol allows.
        let reset = known_generation != Some(state.generation);
        let instances = if reset { &state.instances[..] } else { &[] };
        let list = json!({"generation": state.generation, "reset": reset, "instances": instances});
        match state.fault_mode {
            FaultMode::Unresponsive => None,
            FaultMode::Healthy => Some((200, list.to_string())),
            FaultMode::Busy => Some((503, String::new())),
            FaultMode::Malformed => Some((200, "[1,2".to_string())),
        }
    }
}

/// Returns an instance in the form in which discovery lists it.
pub(crate) fn instance(id: &str, address: SocketAddr, shard: usize, lifecycle: &str) -> Value {
    json!({"instanceId": id, "hostPort": address.to_string(), "zone": "a", "machineType": "m", "cell": shard,
        "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}
