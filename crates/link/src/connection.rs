//! One connection that carries frames over a stream of bytes.

use crate::{Ended, Poll, Stream};
use magpiewick_nodewire::{write, Message};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpStream};

/// What a frame is marked with that need not be told apart.
pub const NOTHING: u64 = 0;

/// A frame in the output: where it starts and ends, counted in bytes since the connection began, and its marks.
struct Frame {
    start: u64,
    end: u64,
    mark: u64,
    /// Further marks of a message that stands for several.
    others: Vec<u64>,
}

impl Frame {
    fn marks(&self) -> impl Iterator<Item = u64> + '_ {
        std::iter::once(self.mark).chain(self.others.iter().copied())
    }
}

pub struct Connection {
    stream: Stream,
    frames: VecDeque<Frame>,
}

impl Connection {
    pub fn accepted(poll: &Poll, stream: TcpStream, key: usize) -> io::Result<Connection> {
        Ok(Connection { stream: Stream::accepted(poll, stream, key)?, frames: VecDeque::new() })
    }

    /// Starts to connect; whether that succeeds shows at the first write or read.
    pub fn connect(poll: &Poll, address: SocketAddr, key: usize) -> io::Result<Connection> {
        Ok(Connection { stream: Stream::connect(poll, address, key)?, frames: VecDeque::new() })
    }

    pub fn key(&self) -> usize {
        self.stream.key()
    }

    pub fn connecting(&self) -> bool {
        self.stream.connecting()
    }

    /// Reads what is there, up to a bound; true where more may be waiting.
    pub fn fill(&mut self) -> Result<bool, Ended> {
        self.stream.fill()
    }

    /// Takes what was read out, so that frames can be used while the connection is written to; what was not
    /// used comes back by [`Connection::give_back`].
    pub fn take_input(&mut self) -> Vec<u8> {
        self.stream.take_input()
    }

    pub fn give_back(&mut self, input: Vec<u8>, used: usize) {
        self.stream.give_back(input, used);
    }

    /// Puts a message behind what is to be written. `mark` names it to [`Connection::never_left`].
    pub fn queue(&mut self, message: &Message, mark: u64) {
        self.queue_for(message, mark, Vec::new());
    }

    /// Puts a message that stands for several marks behind what is to be written.
    pub fn queue_for(&mut self, message: &Message, mark: u64, others: Vec<u64>) {
        let start = self.stream.queued_in_all();
        write(message, self.stream.output());
        if mark != NOTHING {
            let end = self.stream.queued_in_all();
            self.frames.push_back(Frame { start, end, mark, others });
        }
    }

    /// Puts bytes that need not be a whole frame behind what is to be written; for rigs that break off.
    pub fn queue_bytes(&mut self, bytes: &[u8]) {
        self.stream.output().extend_from_slice(bytes);
    }

    /// Bytes that wait to be written.
    pub fn pending(&self) -> usize {
        self.stream.pending()
    }

    /// Writes what the kernel takes.
    pub fn flush(&mut self) -> Result<(), Ended> {
        let done = self.stream.flush();
        let taken = self.stream.written_in_all();
        while self.frames.front().is_some_and(|f| f.end <= taken) {
            self.frames.pop_front();
        }
        done
    }

    /// Whether to read on; a peer that is not read is held back by its own buffers.
    pub fn set_reading(&mut self, reading: bool) -> Result<(), Ended> {
        self.stream.set_reading(reading)
    }

    /// Marks of the frames whose last byte the kernel has not taken: the peer cannot have read them whole, and
    /// a frame that is not whole fails its checksum.
    pub fn never_left(&self) -> Vec<u64> {
        self.frames.iter().flat_map(Frame::marks).collect()
    }

    /// Takes marked frames of which no byte was written out of the output; their marks come back. False where a
    /// marked frame is left of which a part was written.
    pub fn pull_back(&mut self) -> (Vec<u64>, bool) {
        let taken = self.stream.written_in_all();
        let begun = self.frames.front().is_some_and(|f| f.start < taken);
        let pulled: Vec<Frame> = self.frames.drain(usize::from(begun)..).collect();
        for frame in pulled.iter().rev() {
            self.stream.pull(frame.start, frame.end);
        }
        (pulled.iter().flat_map(Frame::marks).collect(), !begun)
    }

    /// Ends the connection so that the peer sees a reset, not an orderly end.
    pub fn reset(self) {
        self.stream.reset();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::listen;
    use magpiewick_nodewire::{read, Message as M, Read as R, Take};
    use std::io::ErrorKind;

    fn pair(poll: &Poll) -> (Connection, Connection) {
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut from = Connection::connect(poll, listener.local_addr().unwrap(), 1).unwrap();
        let stream = loop {
            match listener.accept() {
                Ok((stream, _)) => break stream,
                Err(e) => assert_eq!(e.kind(), ErrorKind::WouldBlock),
            }
        };
        let to = Connection::accepted(poll, stream, 2).unwrap();
        while from.connecting() {
            from.flush().unwrap();
        }
        (from, to)
    }

    fn take(command: u64, payload: &[u8]) -> M<'_> {
        let (band, volume, key, mark, units, limit_us, blocks) = (0, 1, 2, command, 1.0, 1000, 1);
        M::Take(Take { command, band, write: true, volume, key, mark, units, limit_us, blocks, payload })
    }

    /// Reads until as many frames came as wanted; the commands in their order.
    fn commands(to: &mut Connection, wanted: usize) -> Vec<u64> {
        let mut found = Vec::new();
        while found.len() < wanted {
            to.fill().unwrap();
            let (input, mut used) = (to.take_input(), 0);
            while let Ok(R::Whole(message, n)) = read(&input[used..]) {
                let M::Take(t) = message else { panic!("{message:?}") };
                found.push(t.command);
                used += n;
            }
            to.give_back(input, used);
        }
        found
    }

    #[test]
    fn a_peer_that_does_not_read_is_written_in_parts_and_what_never_left_is_known() {
        let poll = Poll::new().unwrap();
        let (mut from, mut to) = pair(&poll);
        let payload = vec![7; 1 << 20];
        for command in 1..=40 {
            from.queue(&take(command, &payload), command);
        }
        from.flush().unwrap();
        let left = from.never_left();
        assert!(!left.is_empty() && from.pending() > 0, "the kernel took 40 MiB at once");
        let (pulled, whole) = from.pull_back();
        assert!(!whole, "a frame was begun");
        assert_eq!(pulled, left[1..]);
        from.queue(&take(99, &[]), 99);
        let wanted = 40 - pulled.len() + 1;
        let mut found = Vec::new();
        while found.len() < wanted {
            from.flush().unwrap();
            to.fill().unwrap();
            let (input, mut used) = (to.take_input(), 0);
            while let Ok(R::Whole(M::Take(t), n)) = read(&input[used..]) {
                found.push(t.command);
                used += n;
            }
            to.give_back(input, used);
        }
        let expected: Vec<u64> = (1..wanted as u64).chain([99]).collect();
        assert_eq!(found, expected);
    }

    #[test]
    fn what_was_not_begun_is_pulled_back_and_the_rest_stays_in_order() {
        let poll = Poll::new().unwrap();
        let (mut from, mut to) = pair(&poll);
        from.queue(&take(1, &[1]), 1);
        from.queue(&take(2, &[2]), NOTHING);
        from.queue(&take(3, &[3]), 3);
        assert_eq!(from.pull_back(), (vec![1, 3], true));
        from.queue(&take(4, &[4]), 4);
        assert_eq!(from.never_left(), [4]);
        from.flush().unwrap();
        assert!(from.never_left().is_empty());
        assert_eq!(commands(&mut to, 2), [2, 4]);
    }

    #[test]
    fn a_refused_connection_shows_at_the_first_write() {
        let poll = Poll::new().unwrap();
        let address = listen("127.0.0.1:0".parse().unwrap()).unwrap().local_addr().unwrap();
        let mut refused = match Connection::connect(&poll, address, 1) {
            Ok(connection) => connection,
            Err(_) => return,
        };
        refused.queue(&take(1, &[]), 1);
        let ended = loop {
            match refused.flush() {
                Ok(()) => std::thread::yield_now(),
                Err(ended) => break ended,
            }
        };
        assert!(matches!(ended, Ended::Failed(_)));
        assert_eq!(refused.never_left(), [1]);
    }
}
