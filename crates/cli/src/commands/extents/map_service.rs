//! A blocking client of the map service.

use magpiewick_node_protocol::{
    decode, encode, Decoded, Hello, Message, MigrationStage, Role, AGE_LONG_RUNNING,
};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const READ_TIMEOUT: Duration = Duration::from_secs(10);
const READ_BYTES: usize = 1 << 16;

/// How far the migration of an extent has come, as the service reports it.
pub(super) struct MigrationState {
    pub from: u32,
    pub to: u32,
    pub stage: MigrationStage,
}

/// A connection to the service.
pub(super) struct MapService {
    stream: TcpStream,
    received: Vec<u8>,
}

impl MapService {
    /// Connects as a client.
    pub(super) fn connect(address: SocketAddr) -> io::Result<MapService> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let mut service = MapService { stream, received: Vec::new() };
        service.send(&Message::Hello(Hello::new(Role::Client, 0, 0, AGE_LONG_RUNNING)))?;
        Ok(service)
    }

    /// How long a read waits at most.
    pub(super) fn set_read_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(timeout))
    }

    /// Asks for the map and for each change of it from now on.
    pub(super) fn watch(&mut self) -> io::Result<()> {
        self.send(&Message::WatchMap)
    }

    /// Asks for a migration, or for its end with `abandon`, and returns the state that follows.
    pub(super) fn migrate(
        &mut self,
        volume: u64,
        start: u64,
        shard: u32,
        abandon: bool,
    ) -> io::Result<MigrationState> {
        self.send(&Message::Migrate { volume, start, shard, abort: abandon })?;
        self.receive(|message| match message {
            Message::MigrationState { from, to, stage, .. } => {
                Some(MigrationState { from: *from, to: *to, stage: *stage })
            }
            _ => None,
        })
    }

    /// Passes messages to `wanted` until it returns a value.
    pub(super) fn receive<T>(&mut self, mut wanted: impl FnMut(&Message<'_>) -> Option<T>) -> io::Result<T> {
        loop {
            let decoded = decode(&self.received).map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
            match decoded {
                Decoded::Frame(message, length) => {
                    let found = wanted(&message);
                    self.received.drain(..length);
                    if let Some(found) = found {
                        return Ok(found);
                    }
                }
                Decoded::Skipped(length) => _ = self.received.drain(..length),
                Decoded::Incomplete => self.fill()?,
            }
        }
    }

    fn send(&mut self, message: &Message<'_>) -> io::Result<()> {
        let mut bytes = Vec::new();
        encode(message, &mut bytes);
        self.stream.write_all(&bytes)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buffer = [0; READ_BYTES];
        match self.stream.read(&mut buffer)? {
            0 => Err(io::Error::new(ErrorKind::UnexpectedEof, "the service closed")),
            length => {
                self.received.extend_from_slice(&buffer[..length]);
                Ok(())
            }
        }
    }
}
