//! One client's connection: its input becomes a queue of requests, each of which leaves the queue once.

use crate::client_policy::{ClientActivity, EvictionCandidate, MAX_DISCARDED_BYTES};
use crate::reactor::ConnectionKey;
use magpiewick::Ms;
use magpiewick_exchange::{NextRequest, RequestQueue};
use magpiewick_http1::{self as http1, CompleteRequest, Rejection};
use magpiewick_transport::Stream;

/// The response to a request that came behind more than is kept.
const TOO_MANY_PIPELINED: Rejection =
    Rejection { status: 503, reason: "too many requests came before their answers" };

/// The client broke or ended its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Disconnected;

/// What reading from a client came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InputEvent {
    /// The client broke or ended its connection.
    Disconnected,
    /// Nothing is read as requests any more, and the input was discarded.
    Discarded,
    /// So much was discarded that nothing more is read.
    DiscardedTooMuch,
    /// There is new input in the queue.
    Queued,
}

/// What writing to a client came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FlushEvent {
    /// The client broke or ended its connection.
    Disconnected,
    /// The system takes no more, and has taken nothing since this time.
    Blocked(Ms),
    /// Everything is written, and a request is open.
    RequestOpen,
    /// Everything is written, and the connection is to be closed.
    Closing,
    /// Everything is written, and nothing is open.
    Idle,
}

/// The next step of a client's queue.
pub(crate) enum QueueEvent {
    /// It is not this connection's turn.
    None,
    /// A complete request; how long ago its last bytes may have arrived.
    Request { request: CompleteRequest, waited: Ms },
    /// What is next cannot be served; whether the connection is to be closed after the response.
    Rejected { rejection: Rejection, close: bool },
    /// A part of a request, or nothing.
    Incomplete,
}

/// Since when the system has taken nothing of the output, and how much it had taken by then.
#[derive(Clone, Copy)]
struct WriteBlocked {
    since: Ms,
    written: u64,
}

/// A client's connection.
pub(crate) struct ClientConnection {
    stream: Stream,
    /// Input that has no response yet, apart from the open request.
    queue: RequestQueue,
    serial: u64,
    idle_since: Ms,
    requests: u32,
    /// When the first and the last byte of the next request may have arrived.
    first_byte_at: Ms,
    last_byte_at: Ms,
    timer_armed: bool,
    open_request: Option<u64>,
    /// No more requests are read: the output is written, then the connection ends.
    closing: bool,
    discarded_bytes: usize,
    write_blocked: Option<WriteBlocked>,
    lingering_since: Option<Ms>,
    /// The client asked to close after the response to the open request.
    close_requested: bool,
}

impl ClientConnection {
    /// A connection that was just accepted, with its timer armed.
    pub(crate) fn new(stream: Stream, serial: u64, now: Ms) -> ClientConnection {
        ClientConnection {
            stream,
            queue: RequestQueue::default(),
            serial,
            idle_since: now,
            requests: 0,
            first_byte_at: now,
            last_byte_at: now,
            timer_armed: true,
            open_request: None,
            closing: false,
            discarded_bytes: 0,
            write_blocked: None,
            lingering_since: None,
            close_requested: false,
        }
    }

    /// The number by which the log names this connection.
    pub(crate) fn serial(&self) -> u64 {
        self.serial
    }

    /// How many complete requests it has sent.
    pub(crate) fn requests(&self) -> u32 {
        self.requests
    }

    /// The request that waits for its response.
    pub(crate) fn open_request(&self) -> Option<u64> {
        self.open_request
    }

    /// Whether a request is open or a response is not written.
    pub(crate) fn is_busy(&self) -> bool {
        self.open_request.is_some() || self.stream.pending() > 0
    }

    /// Whether it ends as soon as its output is written.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing
    }

    /// Whether there is input without a response, apart from the open request.
    pub(crate) fn has_pipelined_input(&self) -> bool {
        !self.queue.is_empty()
    }

    /// How much of that input there is.
    pub(crate) fn pipelined_bytes(&self) -> usize {
        self.queue.buffered()
    }

    /// The memory that its buffers take, without the open request.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.stream.buffer_capacity() + self.queue.memory_bytes()
    }

    /// Whether there is input that was not read yet.
    pub(crate) fn has_unread_input(&self) -> bool {
        self.stream.has_unread()
    }

    /// Whether the client has ended its connection, whatever was read of it.
    pub(crate) fn has_disconnected(&self) -> bool {
        self.stream.peer_closed()
    }

    /// Whether input is read.
    pub(crate) fn is_reading(&self) -> bool {
        self.stream.reading()
    }

    /// Since when the first byte of the next request may be there.
    pub(crate) fn first_byte_at(&self) -> Ms {
        self.first_byte_at
    }

    /// Notes that a timer is set; false where one is set already.
    #[must_use = "the timer has to be set"]
    pub(crate) fn arm_timer(&mut self) -> bool {
        !std::mem::replace(&mut self.timer_armed, true)
    }

    /// Its timer is due. Whether input is to be read before anything is decided.
    pub(crate) fn on_timer(&mut self) -> bool {
        self.timer_armed = false;
        !self.closing && self.stream.reading() && self.stream.has_unread()
    }

    /// What it is doing, as far as its timer is concerned.
    pub(crate) fn activity(&self) -> ClientActivity {
        ClientActivity {
            request_open: self.open_request.is_some(),
            response_pending: self.stream.pending() > 0,
            write_blocked_since: self.write_blocked.map(|blocked| blocked.since),
            lingering_since: self.lingering_since,
            partial_request_since: self.has_pipelined_input().then_some(self.first_byte_at),
            has_sent_request: self.requests > 0,
        }
    }

    /// What eviction has to know of it.
    pub(crate) fn eviction_candidate(&self, key: ConnectionKey) -> EvictionCandidate {
        EvictionCandidate {
            key,
            busy: self.is_busy(),
            has_partial_request: self.has_pipelined_input(),
            requests: self.requests,
            idle_since: self.idle_since,
            serial: self.serial,
        }
    }

    /// Reads what has arrived. `input_age`: how old it may be at most.
    pub(crate) fn receive(&mut self, now: Ms, input_age: Ms) -> InputEvent {
        let was_empty = !self.has_pipelined_input();
        let filled = self.stream.fill();
        // An event on a connection that is not read says only that it has ended.
        if filled.is_err() || !self.stream.reading() {
            return InputEvent::Disconnected;
        }
        let input = self.stream.take_input();
        if self.closing || self.queue.is_malformed() {
            self.discarded_bytes += input.len();
            return match self.discarded_bytes > MAX_DISCARDED_BYTES {
                true => InputEvent::DiscardedTooMuch,
                false => InputEvent::Discarded,
            };
        }
        self.queue.push(input);
        if was_empty {
            self.first_byte_at = now - input_age;
        }
        if was_empty || !self.is_busy() {
            self.last_byte_at = now - input_age;
        }
        InputEvent::Queued
    }

    /// Keeps at most so many bytes of pipelined requests; those behind them are counted and rejected in their turn.
    pub(crate) fn bound_pipelined(&mut self, limit: usize) {
        self.queue.limit_buffered(limit);
    }

    /// Takes the next step of the queue. `host_closed`: only what has already been read is served.
    pub(crate) fn next_request(&mut self, now: Ms, host_closed: bool) -> QueueEvent {
        // A client that does not read its responses must not make the host keep one for each request that it sent.
        if self.is_busy() || self.closing || !self.has_pipelined_input() {
            return QueueEvent::None;
        }
        let waited = now - self.last_byte_at;
        if !host_closed {
            _ = self.stream.set_reading(true);
        }
        match self.queue.take_next() {
            NextRequest::Complete(request) => {
                // What is left was pipelined: it is as old as the last bytes at most.
                self.first_byte_at = now;
                QueueEvent::Request { request, waited }
            }
            NextRequest::Overflowed => QueueEvent::Rejected { rejection: TOO_MANY_PIPELINED, close: false },
            NextRequest::Rejected(rejection) => QueueEvent::Rejected { rejection, close: true },
            NextRequest::Empty | NextRequest::Partial => QueueEvent::Incomplete,
        }
    }

    /// Counts a request whose head was good. `close`: the client wants the connection closed after its response.
    pub(crate) fn on_request_parsed(&mut self, now: Ms, close: bool) {
        self.requests = self.requests.saturating_add(1);
        self.idle_since = now;
        self.close_requested = close;
    }

    /// The request is in the registry from now on.
    pub(crate) fn on_request_opened(&mut self, number: u64) {
        self.open_request = Some(number);
    }

    /// Tells a client to continue that waits for this before it sends a body.
    pub(crate) fn send_continue(&mut self) -> Result<(), Disconnected> {
        if !self.queue.expects_continue() {
            return Ok(());
        }
        self.stream.output().extend_from_slice(http1::CONTINUE_RESPONSE);
        self.stream.flush().map_err(|_| Disconnected)
    }

    /// Queues the response to the open request, or to a request that was not opened. Whether the connection ends with
    /// it, and the request that was open.
    ///
    /// `host_closed`: it ends with this response, unless the client has already sent more.
    pub(crate) fn queue_response(
        &mut self,
        now: Ms,
        response: &http1::OutgoingResponse<'_>,
        host_closed: bool,
    ) -> QueuedResponse {
        let close = response.close || self.close_requested || host_closed && !self.has_pipelined_input();
        http1::write_response(self.stream.output(), &http1::OutgoingResponse { close, ..*response });
        self.closing |= close;
        self.idle_since = now;
        QueuedResponse { request: self.open_request.take(), close }
    }

    /// Writes what is queued.
    pub(crate) fn flush(&mut self, now: Ms) -> FlushEvent {
        if self.stream.flush().is_err() {
            return FlushEvent::Disconnected;
        }
        if let Some(since) = self.note_written(now) {
            return FlushEvent::Blocked(since);
        }
        match (self.open_request, self.closing) {
            (Some(_), _) => FlushEvent::RequestOpen,
            (None, true) => FlushEvent::Closing,
            (None, false) => FlushEvent::Idle,
        }
    }

    /// Since when the system has taken nothing of the output, where some is left.
    fn note_written(&mut self, now: Ms) -> Option<Ms> {
        let written = self.stream.total_written();
        self.write_blocked = match self.write_blocked {
            _ if self.stream.pending() == 0 => None,
            Some(blocked) if blocked.written == written => Some(blocked),
            _ => Some(WriteBlocked { since: now, written }),
        };
        self.write_blocked.map(|blocked| blocked.since)
    }

    /// No more requests are read.
    pub(crate) fn begin_closing(&mut self) {
        self.closing = true;
    }

    /// Ends this side of the connection. Input is still read and discarded for a while: closing a connection with
    /// unread input would take the response away from a client that has not read it yet.
    pub(crate) fn linger(&mut self, now: Ms) {
        self.stream.end_writing();
        self.lingering_since.get_or_insert(now);
        _ = self.stream.set_reading(true);
    }

    /// Reads no more; false where nothing was read before.
    #[must_use = "a client that is not read has to be checked for a disconnect"]
    pub(crate) fn stop_reading(&mut self) -> bool {
        if !self.stream.reading() {
            return false;
        }
        _ = self.stream.set_reading(false);
        true
    }
}

/// What was done to queue a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuedResponse {
    /// The request that was open.
    pub request: Option<u64>,
    /// The connection ends with this response.
    pub close: bool,
}
