//! A bare relay over the same connections and poller as the host's, without desk and module: what a host's
//! latency and processor time are measured against.

use magpiewick_node_protocol::{
    Attempt, FinalAnswer, FinalCode, Frames, Hello, Message, OutcomeCode, Role, LONG_AGO,
};
use magpiewick_transport::{listen, Connection, Poll, Woken, NOTHING};
use slab::Slab;
use std::io::{self, Write};
use std::net::SocketAddr;

const DOOR: usize = 0;
const CLIENTS: usize = 1 << 32;

struct Relay {
    poll: Poll,
    nodes: Vec<Connection>,
    clients: Slab<Connection>,
    /// Whose request it is, and its number there.
    out: Slab<(usize, u64)>,
}

/// Relays requests to nodes by their keys until it is killed; says `ready` and its address first.
pub fn relay(nodes: &[SocketAddr]) -> io::Result<()> {
    let poll = Poll::new()?;
    let door = poll.register(listen(SocketAddr::from(([127, 0, 0, 1], 0)))?, DOOR)?;
    let connect = |(i, address): (usize, &SocketAddr)| Connection::connect(&poll, *address, 1 + i);
    let connections = nodes.iter().enumerate().map(connect).collect::<io::Result<Vec<_>>>()?;
    let mut relay = Relay { poll: poll.clone(), nodes: connections, clients: Slab::new(), out: Slab::new() };
    println!("ready {}", door.local_addr()?);
    io::stdout().flush()?;
    let mut woken = Woken::default();
    loop {
        poll.wait(&mut woken, None)?;
        for key in woken.readable.iter().copied() {
            if key == DOOR {
                while let Ok((stream, _)) = door.accept() {
                    relay.accept(stream)?;
                }
            } else {
                relay.readable(key)?;
            }
        }
        let waiting = relay.nodes.iter_mut().chain(relay.clients.iter_mut().map(|(_, c)| c));
        for connection in waiting.filter(|c| c.pending() > 0 || c.connecting()) {
            // A connection that broke shows at its next read.
            _ = connection.flush();
        }
    }
}

impl Relay {
    fn accept(&mut self, stream: std::net::TcpStream) -> io::Result<()> {
        let entry = self.clients.vacant_entry();
        let key = CLIENTS + entry.key();
        let mut connection = Connection::accepted(&self.poll, stream, key)?;
        connection.queue(&Message::Hello(Hello::new(Role::Host, 0, 1, LONG_AGO)), NOTHING);
        entry.insert(connection);
        Ok(())
    }

    fn connection(&mut self, key: usize) -> Option<&mut Connection> {
        match key.checked_sub(CLIENTS) {
            Some(client) => self.clients.get_mut(client),
            None => self.nodes.get_mut(key - 1),
        }
    }

    fn readable(&mut self, key: usize) -> io::Result<()> {
        let Some(connection) = self.connection(key) else { return Ok(()) };
        let ended = connection.fill().is_err();
        let input = connection.take_input();
        let mut frames = Frames::new(&input);
        while let Some(Ok(message)) = frames.next() {
            self.pass(key, &message);
        }
        let used = frames.consumed();
        if let Some(connection) = self.connection(key) {
            connection.give_back(input, used);
        }
        match key.checked_sub(CLIENTS) {
            Some(client) if ended => _ = self.clients.try_remove(client),
            None if ended => return Err(io::Error::other("a node went")),
            _ => {}
        }
        Ok(())
    }

    fn pass(&mut self, key: usize, message: &Message) {
        match message {
            Message::Request(t) => {
                let request_id = self.out.insert((key, t.request_id)) as u64;
                let node = (t.key % self.nodes.len() as u64) as usize;
                let handed = Attempt {
                    request_id,
                    attempt: 0,
                    class: t.class,
                    write: t.write,
                    volume: t.volume,
                    key: t.key,
                    idempotency_key: t.idempotency_key,
                    units: t.units,
                    shard: node as u32,
                    remaining_us: t.client_timeout_us,
                    version: 0,
                    blocks: t.blocks,
                    payload: t.payload,
                };
                self.nodes[node].queue(&Message::Attempt(handed), NOTHING);
            }
            Message::Outcome(o) => {
                let Some((client, request_id)) = self.out.try_remove(o.request_id as usize) else { return };
                let verdict =
                    if o.code == OutcomeCode::Succeeded { FinalCode::Succeeded } else { FinalCode::Rejected };
                let answer = FinalAnswer { request_id, code: verdict, retry_after_us: 0, payload: o.payload };
                if let Some(client) = self.connection(client) {
                    client.queue(&Message::FinalAnswer(answer), NOTHING);
                }
            }
            _ => {}
        }
    }
}
