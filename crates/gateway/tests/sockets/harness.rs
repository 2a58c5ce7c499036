//! A host on sockets, with the test's ends of its connections.

use magpiewick_gateway::config::{read_host_config, HostConfig};
use magpiewick_gateway::{Gateway, HostExit};
use magpiewick_hcl_settings::read_text;
use magpiewick_node_protocol::{
    decode, encode, ClientRequest, Decoded, EndpointEntry, EndpointListUpdate, EntryState, FinalCode, Hello,
    MapEntry, MapEntryKind, MapUpdate, Message, Outcome, OutcomeCode, Role, AGE_LONG_RUNNING,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::thread::JoinHandle;
use std::time::Duration;

pub(crate) const SETTINGS: &str = r#"
host {
  most_units = 4
  round = "5ms"
  order_rest = "300ms"
  frame_within = "300ms"
  client_buffer = 65536
  most_clients = 1100
}
band "read" {
  soft_limit = "2s"
  time_limit = "4s"
  repeats = "retriable"
}
band "order" {
  soft_limit = "2s"
  time_limit = "4s"
  repeats = "binding"
}
plan "all" {
  rate = 1000
}
volume "v" {
  id = 1
  plan = "all"
  shards = [0]
}
"#;

/// The test's end of a connection.
pub(crate) struct Peer {
    pub stream: TcpStream,
    pub bytes: Vec<u8>,
}

impl Peer {
    pub(crate) fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        Peer { stream, bytes: Vec::new() }
    }

    pub(crate) fn send(&mut self, message: &Message<'_>) {
        let mut bytes = Vec::new();
        encode(message, &mut bytes);
        self.stream.write_all(&bytes).unwrap();
    }

    /// Returns the next message that `pick` accepts, and skips others; none at the connection's end.
    pub(crate) fn receive<T>(&mut self, pick: impl Fn(&Message<'_>) -> Option<T>) -> Option<T> {
        loop {
            let (mut found, mut used) = (None, 0);
            while let Ok(Decoded::Frame(message, n)) = decode(&self.bytes[used..]) {
                used += n;
                found = pick(&message);
                if found.is_some() {
                    break;
                }
            }
            self.bytes.drain(..used);
            if found.is_some() {
                return found;
            }
            let mut piece = [0; 65536];
            match self.stream.read(&mut piece) {
                Ok(n) if n > 0 => self.bytes.extend_from_slice(&piece[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => panic!("timed out"),
                _ => return None,
            }
        }
    }

    pub(crate) fn receive_answer(&mut self) -> Option<(u64, FinalCode, String)> {
        self.receive(|m| match m {
            Message::FinalAnswer(answer) => {
                let reason = answer.payload.get(..answer.payload.len().min(40)).unwrap_or_default();
                Some((answer.request_id, answer.code, String::from_utf8_lossy(reason).into_owned()))
            }
            _ => None,
        })
    }

    pub(crate) fn receive_attempt(&mut self) -> Option<(u64, u16)> {
        self.receive(|m| match m {
            Message::Attempt(attempt) => Some((attempt.request_id, attempt.attempt)),
            _ => None,
        })
    }

    pub(crate) fn send_request(&mut self, request_id: u64, class: u16, payload: &[u8]) {
        let (volume, key, idempotency_key, units, client_timeout_us, blocks) =
            (1, 7 + request_id, request_id, 1.0, 4_000_000, 1);
        let write = !payload.is_empty();
        let request = ClientRequest {
            request_id,
            class,
            write,
            volume,
            key,
            idempotency_key,
            units,
            client_timeout_us,
            blocks,
            payload,
        };
        self.send(&Message::Request(request));
    }

    pub(crate) fn send_hello(&mut self, incarnation: u64, age_us: u64) {
        self.send(&Message::Hello(Hello::new(Role::Node, 3, incarnation, age_us)));
    }

    pub(crate) fn succeed(&mut self, (request_id, attempt): (u64, u16), payload: &[u8]) {
        self.send(&outcome(request_id, attempt, OutcomeCode::Succeeded, payload));
    }
}

pub(crate) fn outcome(request_id: u64, attempt: u16, code: OutcomeCode, payload: &[u8]) -> Message<'_> {
    let (used, remote_units, queue, busy, owner, version) = (None, 0.0, 0, 0.0, None, 0);
    Message::Outcome(Outcome {
        request_id,
        attempt,
        code,
        used,
        remote_units,
        queue,
        busy,
        owner,
        version,
        payload,
    })
}

pub(crate) struct TestHost {
    pub address: SocketAddr,
    pub list_service: Peer,
    pub node: TcpListener,
    pub shutdown_signal: UnixStream,
    pub thread: JoinHandle<HostExit>,
}

impl TestHost {
    /// Starts a host whose endpoint list contains one node, of incarnation 1 and this age.
    pub(crate) fn start(age_us: u64) -> TestHost {
        let mut host = TestHost::without_endpoints(TcpListener::bind("127.0.0.1:0").unwrap(), |_| ());
        host.send_endpoint(true, 1, EntryState::Ready, 1, age_us);
        host
    }

    /// Starts a host without an endpoint list, with changed settings.
    pub(crate) fn without_endpoints(node: TcpListener, change: impl FnOnce(&mut HostConfig)) -> TestHost {
        let list = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut config: HostConfig =
            read_text("test", SETTINGS, |r| read_host_config(r, 1)).unwrap().unwrap();
        change(&mut config);
        (config.list_service.address, config.list_service.serves_map) = (list.local_addr().unwrap(), true);
        let (signal_sender, signal_receiver) = UnixStream::pair().unwrap();
        let gateway = Gateway::bind(config, signal_receiver, 99).unwrap();
        let address = gateway.address();
        let thread = std::thread::spawn(move || gateway.run().unwrap());
        let mut list = Peer::new(list.accept().unwrap().0);
        list.receive(|m| matches!(m, Message::WatchEndpoints { .. }).then_some(()));
        TestHost { address, list_service: list, node, shutdown_signal: signal_sender, thread }
    }

    pub(crate) fn send_endpoint(
        &mut self,
        snapshot: bool,
        epoch: u64,
        state: EntryState,
        incarnation: u64,
        age_us: u64,
    ) {
        let port = self.node.local_addr().unwrap().port();
        let (node, shard, zone, address) = (3, 0, 0, [127, 0, 0, 1]);
        let entries = vec![EndpointEntry { node, shard, zone, state, incarnation, age_us, address, port }];
        self.list_service.send(&Message::EndpointList(EndpointListUpdate { snapshot, epoch, entries }));
    }

    pub(crate) fn send_map(
        &mut self,
        snapshot: bool,
        epoch: u64,
        kind: MapEntryKind,
        position: u64,
        version: u32,
    ) {
        let entries = vec![MapEntry { kind, volume: 1, start: 0, position, shard: 0, version }];
        self.list_service.send(&Message::ExtentMap(MapUpdate {
            snapshot,
            epoch,
            part: 0,
            last: true,
            entries,
        }));
    }

    pub(crate) fn client(&self) -> Peer {
        Peer::new(TcpStream::connect(self.address).unwrap())
    }

    pub(crate) fn accept(&self) -> Peer {
        Peer::new(self.node.accept().unwrap().0)
    }

    /// Returns the node's end of the host's connection, after the greeting of the listed process.
    pub(crate) fn accept_node(&self) -> Peer {
        let mut node = self.accept();
        node.send_hello(1, AGE_LONG_RUNNING);
        node
    }

    /// Stops the host immediately, with requests pending.
    pub(crate) fn abort(mut self) {
        self.shutdown_signal.write_all(&[1, 1]).unwrap();
        self.thread.join().unwrap();
    }

    pub(crate) fn shut_down(mut self) -> HostExit {
        self.shutdown_signal.write_all(&[1]).unwrap();
        self.thread.join().unwrap()
    }
}

impl Peer {
    pub(crate) fn receive_batch(&mut self) -> Option<Vec<(u64, u16)>> {
        self.receive(|m| match m {
            Message::Batch(parts) => Some(parts.iter().map(|part| (part.request_id, part.attempt)).collect()),
            _ => None,
        })
    }

    /// Requests a range of blocks, to read or to write.
    pub(crate) fn send_range_request(
        &mut self,
        request_id: u64,
        class: u16,
        key: u64,
        blocks: u32,
        payload: &[u8],
    ) {
        let (volume, idempotency_key, units, client_timeout_us, write) =
            (1, request_id, 1.0, 4_000_000, !payload.is_empty());
        let request = ClientRequest {
            request_id,
            class,
            write,
            volume,
            key,
            idempotency_key,
            units,
            client_timeout_us,
            blocks,
            payload,
        };
        self.send(&Message::Request(request));
    }

    pub(crate) fn receive_range_attempt(&mut self) -> Option<(u64, u16, u64, u32)> {
        self.receive(|m| match m {
            Message::Attempt(attempt) => {
                Some((attempt.request_id, attempt.attempt, attempt.key, attempt.blocks))
            }
            _ => None,
        })
    }
}

/// A request's id and attempt number.
pub(crate) type AttemptId = (u64, u16);
