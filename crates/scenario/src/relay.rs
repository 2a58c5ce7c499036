//! A plain relay with the same connections and poller as a host, but without engine and scheduler: the baseline for
//! the latency and processor time of a host.

use magpiewick_node_protocol::{
    Attempt, FinalAnswer, FinalCode, Frames, Hello, Message, OutcomeCode, Role, AGE_LONG_RUNNING,
};
use magpiewick_transport::{listen, Connection, Poll, PollEvents, UNTRACKED};
use slab::Slab;
use std::io::{self, Write};
use std::net::SocketAddr;

/// Poller key of the listener; the keys of nodes follow.
const LISTENER: usize = 0;
/// First poller key of client connections.
const CLIENTS: usize = 1 << 32;

struct Relay {
    poll: Poll,
    nodes: Vec<Connection>,
    clients: Slab<Connection>,
    /// Client connection and request number of the client, for each request in flight.
    in_flight: Slab<(usize, u64)>,
}

/// Prints `ready` and the address, then relays requests to nodes by key until the process is killed.
pub fn relay(nodes: &[SocketAddr]) -> io::Result<()> {
    let poll = Poll::new()?;
    let listener = poll.register(listen(SocketAddr::from(([127, 0, 0, 1], 0)))?, LISTENER)?;
    let connect = |(i, address): (usize, &SocketAddr)| Connection::connect(&poll, *address, 1 + i);
    let connections = nodes.iter().enumerate().map(connect).collect::<io::Result<Vec<_>>>()?;
    let mut relay =
        Relay { poll: poll.clone(), nodes: connections, clients: Slab::new(), in_flight: Slab::new() };
    println!("ready {}", listener.local_addr()?);
    io::stdout().flush()?;
    let mut poll_events = PollEvents::default();
    loop {
        poll.wait(&mut poll_events, None)?;
        for key in poll_events.readable.iter().copied() {
            if key == LISTENER {
                while let Ok((stream, _)) = listener.accept() {
                    relay.accept(stream)?;
                }
            } else {
                relay.on_readable(key)?;
            }
        }
        let waiting = relay.nodes.iter_mut().chain(relay.clients.iter_mut().map(|(_, c)| c));
        for connection in waiting.filter(|c| c.pending() > 0 || c.connecting()) {
            // A failed connection is detected at its next read.
            _ = connection.flush();
        }
    }
}

impl Relay {
    fn accept(&mut self, stream: std::net::TcpStream) -> io::Result<()> {
        let entry = self.clients.vacant_entry();
        let key = CLIENTS + entry.key();
        let mut connection = Connection::accepted(&self.poll, stream, key)?;
        connection.queue(&Message::Hello(Hello::new(Role::Host, 0, 1, AGE_LONG_RUNNING)), UNTRACKED);
        entry.insert(connection);
        Ok(())
    }

    fn connection(&mut self, key: usize) -> Option<&mut Connection> {
        match key.checked_sub(CLIENTS) {
            Some(client) => self.clients.get_mut(client),
            None => self.nodes.get_mut(key - 1),
        }
    }

    fn on_readable(&mut self, key: usize) -> io::Result<()> {
        let Some(connection) = self.connection(key) else { return Ok(()) };
        let ended = connection.fill().is_err();
        let input = connection.take_input();
        let mut frames = Frames::new(&input);
        while let Some(Ok(message)) = frames.next() {
            self.forward(key, &message);
        }
        let consumed = frames.consumed();
        if let Some(connection) = self.connection(key) {
            connection.return_input(input, consumed);
        }
        match key.checked_sub(CLIENTS) {
            Some(client) if ended => _ = self.clients.try_remove(client),
            None if ended => return Err(io::Error::other("a node closed its connection")),
            _ => {}
        }
        Ok(())
    }

    fn forward(&mut self, key: usize, message: &Message<'_>) {
        match message {
            Message::Request(request) => {
                let request_id = self.in_flight.insert((key, request.request_id)) as u64;
                let node = (request.key % self.nodes.len() as u64) as usize;
                let attempt = Attempt {
                    request_id,
                    attempt: 0,
                    class: request.class,
                    write: request.write,
                    volume: request.volume,
                    key: request.key,
                    idempotency_key: request.idempotency_key,
                    units: request.units,
                    shard: node as u32,
                    remaining_us: request.client_timeout_us,
                    version: 0,
                    blocks: request.blocks,
                    payload: request.payload,
                };
                self.nodes[node].queue(&Message::Attempt(attempt), UNTRACKED);
            }
            Message::Outcome(outcome) => {
                let Some((client, request_id)) = self.in_flight.try_remove(outcome.request_id as usize)
                else {
                    return;
                };
                let code = if outcome.code == OutcomeCode::Succeeded {
                    FinalCode::Succeeded
                } else {
                    FinalCode::Rejected
                };
                let answer = FinalAnswer { request_id, code, retry_after_us: 0, payload: outcome.payload };
                if let Some(client) = self.connection(client) {
                    client.queue(&Message::FinalAnswer(answer), UNTRACKED);
                }
            }
            _ => {}
        }
    }
}
