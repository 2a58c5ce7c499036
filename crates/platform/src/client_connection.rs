//! Connection of one client: its input forms a queue of requests, each of which is taken from the queue once.

use crate::buffer_table::Buffers;
use crate::client_policy::{ClientActivity, EvictionCandidate, MAX_DISCARDED_BYTES};
use crate::memory_report::MemoryByOwner;
use crate::reactor::ConnectionKey;
use crate::request_stages::AnsweredRequest;
use crate::turn_budget::ClientKind;
use magpiewick::Ms;
use magpiewick_exchange::{NextRequest, RequestQueue};
use magpiewick_http1::{self as http1, CompleteRequest, Rejection};
use magpiewick_transport::Stream;

/// Response to a request that exceeds the limit of pipelined bytes.
const TOO_MANY_PIPELINED: Rejection =
    Rejection { status: 503, reason: "too many requests came before their answers" };

/// The client reset or closed its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Disconnected;

/// Result of reading from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InputEvent {
    /// The client reset or closed its connection.
    Disconnected,
    /// The connection reads no further requests, and the input was discarded.
    Discarded,
    /// The limit of discarded bytes was exceeded, and reading stops.
    DiscardedTooMuch,
    /// The queue has new input.
    Queued,
}

/// Result of writing to a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FlushEvent {
    /// The client reset or closed its connection.
    Disconnected,
    /// The operating system accepts no more output, and has accepted none since this time.
    Blocked(Ms),
    /// All output is written, and a request is open.
    RequestOpen,
    /// All output is written, and the connection is to be closed.
    Closing,
    /// All output is written, and no request is open.
    Idle,
}

/// Next step of a client's queue.
pub(crate) enum QueueEvent {
    /// The connection is busy, closing, or has no input.
    None,
    /// Complete request. `waited`: upper bound of the time since its last bytes arrived. `read_at`: time at which they
    /// were read.
    Request { request: CompleteRequest, waited: Ms, read_at: Ms },
    /// The next input cannot be served. `close`: whether the connection is closed after the response.
    Rejected { rejection: Rejection, close: bool },
    /// The queue holds only a part of a request, or no input.
    Incomplete,
}

/// Time since which the operating system has accepted no output, and the number of bytes it had accepted until then.
#[derive(Clone, Copy)]
struct WriteBlocked {
    since: Ms,
    written: u64,
}

/// Connection of a client.
pub(crate) struct ClientConnection {
    stream: Stream,
    /// Input without a response, except for the open request.
    queue: RequestQueue,
    serial: u64,
    idle_since: Ms,
    requests: u32,
    /// Earliest times at which the first and the last byte of the next request may have arrived.
    first_byte_at: Ms,
    last_byte_at: Ms,
    /// Time of the last read.
    read_at: Ms,
    /// Request whose answer is not written completely.
    answered: Option<AnsweredRequest>,
    timer_armed: bool,
    open_request: Option<u64>,
    /// Memory that the open request takes.
    open_request_bytes: usize,
    /// True if the next request waits for a later turn of the event loop.
    awaits_turn: bool,
    /// Time since which input has been left unread for a later turn of the event loop.
    unread_since: Option<Ms>,
    /// True if the connection reads no further requests and closes once its output is written.
    closing: bool,
    discarded_bytes: usize,
    write_blocked: Option<WriteBlocked>,
    lingering_since: Option<Ms>,
    /// True if the client requested that the connection is closed after the response to the open request.
    close_requested: bool,
}

impl ClientConnection {
    /// Creates the state of a newly accepted connection, whose timer is set.
    pub(crate) fn new(stream: Stream, serial: u64, now: Ms) -> ClientConnection {
        ClientConnection {
            stream,
            queue: RequestQueue::default(),
            serial,
            idle_since: now,
            requests: 0,
            first_byte_at: now,
            last_byte_at: now,
            read_at: now,
            answered: None,
            timer_armed: true,
            open_request: None,
            open_request_bytes: 0,
            awaits_turn: false,
            unread_since: None,
            closing: false,
            discarded_bytes: 0,
            write_blocked: None,
            lingering_since: None,
            close_requested: false,
        }
    }

    /// Returns the number that identifies this connection in the log.
    pub(crate) fn serial(&self) -> u64 {
        self.serial
    }

    /// Returns the number of complete requests that the client has sent.
    pub(crate) fn requests(&self) -> u32 {
        self.requests
    }

    /// Returns the request that awaits its response.
    pub(crate) fn open_request(&self) -> Option<u64> {
        self.open_request
    }

    /// Returns whether a request is open or waits for its turn, or a response is not written completely.
    pub(crate) fn is_busy(&self) -> bool {
        self.open_request.is_some() || self.awaits_turn || self.stream.pending() > 0
    }

    /// Returns the kind by which a turn of the event loop orders and limits its reads.
    pub(crate) fn kind(&self) -> ClientKind {
        match (self.closing, self.is_busy()) {
            (true, _) => ClientKind::Closing,
            (false, false) => ClientKind::Free,
            (false, true) => ClientKind::Busy,
        }
    }

    /// Returns the time of the last read; before the first one, that of the acceptance.
    pub(crate) fn read_at(&self) -> Ms {
        self.read_at
    }

    /// Returns whether the next request waits for a later turn of the event loop.
    pub(crate) fn awaits_turn(&self) -> bool {
        self.awaits_turn
    }

    /// Leaves the next request to a later turn of the event loop; returns false where it was left before.
    #[must_use = "the client has to be queued for its turn"]
    pub(crate) fn await_turn(&mut self) -> bool {
        !std::mem::replace(&mut self.awaits_turn, true)
    }

    /// Ends the wait for a turn; returns whether the connection was waiting.
    pub(crate) fn end_await_turn(&mut self) -> bool {
        std::mem::take(&mut self.awaits_turn)
    }

    /// Records that input is left unread for a later turn of the event loop.
    pub(crate) fn leave_unread(&mut self, now: Ms) {
        self.unread_since.get_or_insert(now);
    }

    /// Returns the time since which the connection has had input that is not read, if that began before this turn.
    pub(crate) fn unread_since(&self) -> Option<Ms> {
        self.unread_since
    }

    /// Records the request to which the queued response belongs.
    pub(crate) fn on_answered(&mut self, request: AnsweredRequest) {
        self.answered = Some(request);
    }

    /// Returns and clears the answered request once its response is written completely.
    pub(crate) fn take_written_answer(&mut self) -> Option<AnsweredRequest> {
        if self.stream.pending() > 0 {
            return None;
        }
        self.answered.take()
    }

    /// Returns the number of bytes read since the start of the connection.
    pub(crate) fn total_read(&self) -> u64 {
        self.stream.total_read()
    }

    /// Returns whether the connection closes as soon as its output is written.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing
    }

    /// Returns whether there is input without a response, except for the open request.
    pub(crate) fn has_pipelined_input(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Returns whether there is input behind a request that is not answered.
    pub(crate) fn has_request_behind(&self) -> bool {
        self.is_busy() && self.has_pipelined_input()
    }

    /// Adds the memory that the buffers take to the owners of the memory.
    pub(crate) fn add_memory_to(&self, owners: &mut MemoryByOwner) {
        owners.pipelined_input += self.queue.memory_bytes();
        owners.open_requests += self.open_request_bytes;
        owners.queued_responses += self.stream.output_capacity();
    }

    /// Returns whether the socket has unread input.
    pub(crate) fn has_unread_input(&self) -> bool {
        self.unread_since.is_some() || self.stream.has_unread()
    }

    /// Returns whether the client has closed its connection, even where input before the end is unread.
    pub(crate) fn has_disconnected(&self) -> bool {
        self.stream.peer_closed()
    }

    /// Returns whether input is read.
    pub(crate) fn is_reading(&self) -> bool {
        self.stream.reading()
    }

    /// Returns the earliest time at which the first byte of the next request may have arrived.
    pub(crate) fn first_byte_at(&self) -> Ms {
        self.first_byte_at
    }

    /// Records that a timer is set; returns false where one was set already.
    #[must_use = "the timer has to be set"]
    pub(crate) fn arm_timer(&mut self) -> bool {
        !std::mem::replace(&mut self.timer_armed, true)
    }

    /// Handles the expiry of the timer. Returns whether input must be read before the timeout is evaluated.
    pub(crate) fn on_timer(&mut self) -> bool {
        self.timer_armed = false;
        !self.closing && self.stream.reading() && self.stream.has_unread()
    }

    /// Returns the state that decides about the timeout.
    pub(crate) fn activity(&self) -> ClientActivity {
        ClientActivity {
            request_open: self.open_request.is_some() || self.awaits_turn,
            response_pending: self.stream.pending() > 0,
            write_blocked_since: self.write_blocked.map(|blocked| blocked.since),
            lingering_since: self.lingering_since,
            partial_request_since: self.has_pipelined_input().then_some(self.first_byte_at),
            has_sent_request: self.requests > 0,
        }
    }

    /// Returns the state that decides about eviction.
    pub(crate) fn eviction_candidate(&self, key: ConnectionKey) -> EvictionCandidate {
        EvictionCandidate {
            key,
            busy: self.is_busy(),
            lingering: self.lingering_since.is_some(),
            partial_since: self.has_pipelined_input().then_some(self.first_byte_at),
            requests: self.requests,
            idle_since: self.idle_since,
            serial: self.serial,
        }
    }

    /// Reads the input that has arrived, by means of `buffer`. `input_age`: upper bound of its age; `read_at`: current
    /// time, which is later than the begin of the turn.
    pub(crate) fn receive(&mut self, now: Ms, input_age: Ms, read_at: Ms, buffer: &mut [u8]) -> InputEvent {
        let was_empty = !self.has_pipelined_input();
        let input_age = self.unread_since.take().map_or(input_age, |since| input_age.max(now - since));
        let (length, ended) = self.stream.read_available(buffer);
        // The poller reports an event on a connection that is not read only when the connection has ended.
        if ended.is_some() || !self.stream.reading() {
            return InputEvent::Disconnected;
        }
        self.read_at = read_at;
        let input = &buffer[..length];
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

    /// Limits the input without a response to `limit` bytes. Requests beyond the limit are counted, and each is rejected
    /// in order.
    pub(crate) fn limit_input(&mut self, limit: usize) {
        self.queue.limit_buffered(limit);
    }

    /// Stores further requests again after requests were rejected for their size or number.
    pub(crate) fn resume_storing(&mut self) {
        self.queue.resume_storing();
    }

    /// Rejects input beyond the limit of which more than `limit` bytes cannot be dropped yet, such as a long head.
    pub(crate) fn limit_undroppable_input(&mut self, limit: usize) {
        self.queue.limit_unskipped(limit);
    }

    /// Takes the next step of the queue. `host_closed`: reading is not resumed, and only input that was already read is
    /// served.
    pub(crate) fn next_request(&mut self, now: Ms, host_closed: bool) -> QueueEvent {
        // Serves one request at a time: otherwise a client that does not read its responses would make the host buffer
        // one response for each request that the client sent.
        if self.is_busy() || self.closing || !self.has_pipelined_input() {
            return QueueEvent::None;
        }
        let waited = now - self.last_byte_at;
        if !host_closed {
            _ = self.stream.set_reading(true);
        }
        match self.queue.take_next() {
            NextRequest::Complete(request) => {
                // The remaining input was pipelined: it is no older than the last bytes.
                self.first_byte_at = now;
                QueueEvent::Request { request, waited, read_at: self.read_at }
            }
            NextRequest::Overflowed => {
                self.first_byte_at = now;
                QueueEvent::Rejected { rejection: TOO_MANY_PIPELINED, close: false }
            }
            NextRequest::Rejected(rejection) => QueueEvent::Rejected { rejection, close: true },
            NextRequest::Empty | NextRequest::Partial => QueueEvent::Incomplete,
        }
    }

    /// Counts a request with a valid head. `close`: whether the client requested that the connection is closed after
    /// the response.
    pub(crate) fn on_request_parsed(&mut self, now: Ms, close: bool) {
        self.requests = self.requests.saturating_add(1);
        self.idle_since = now;
        self.close_requested = close;
    }

    /// Records the open request, which is now in the registry and takes `bytes` of memory.
    pub(crate) fn on_request_opened(&mut self, number: u64, bytes: usize) {
        (self.open_request, self.open_request_bytes) = (Some(number), bytes);
    }

    /// Sends "100 Continue" to a client that awaits this response before sending a body.
    pub(crate) fn send_continue(&mut self) -> Result<(), Disconnected> {
        if !self.queue.expects_continue() {
            return Ok(());
        }
        self.stream.output().extend_from_slice(http1::CONTINUE_RESPONSE);
        self.stream.flush().map_err(|_| Disconnected)
    }

    /// Queues the response to the open request, or to a request that was not opened. Returns whether the connection
    /// closes after the response, and the request that was open.
    ///
    /// `host_closed`: the connection closes after this response, unless the client has already sent more input.
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
        self.open_request_bytes = 0;
        QueuedResponse { request: self.open_request.take(), close }
    }

    /// Writes the queued output.
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

    /// Updates and returns the time since which the operating system has accepted no output; none where no output is
    /// pending.
    fn note_written(&mut self, now: Ms) -> Option<Ms> {
        let written = self.stream.total_written();
        self.write_blocked = match self.write_blocked {
            _ if self.stream.pending() == 0 => None,
            Some(blocked) if blocked.written == written => Some(blocked),
            _ => Some(WriteBlocked { since: now, written }),
        };
        self.write_blocked.map(|blocked| blocked.since)
    }

    /// Stops reading further requests.
    pub(crate) fn begin_closing(&mut self) {
        self.closing = true;
    }

    /// Shuts down the writing side of the connection. Input is still read and discarded for a while: closing a
    /// connection with unread input resets it, and the client would lose a response that it has not yet read.
    pub(crate) fn linger(&mut self, now: Ms) {
        self.stream.end_writing();
        self.lingering_since.get_or_insert(now);
        _ = self.stream.set_reading(true);
    }

    /// Stops reading; returns false where reading had already stopped.
    #[must_use = "a client that is not read has to be checked for a disconnect"]
    pub(crate) fn stop_reading(&mut self) -> bool {
        if !self.stream.reading() {
            return false;
        }
        _ = self.stream.set_reading(false);
        true
    }
}

impl Buffers for ClientConnection {
    fn memory_bytes(&self) -> usize {
        self.queue.memory_bytes() + self.open_request_bytes + self.stream.output_capacity()
    }
}

/// Result of queueing a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuedResponse {
    /// Request that was open.
    pub request: Option<u64>,
    /// True if the connection closes after this response.
    pub close: bool,
}
