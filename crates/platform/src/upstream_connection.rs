//! Connection to an endpoint, which carries one exchange at a time.

use crate::buffer_table::Buffers;
use crate::response_stream::{CompleteResponse, ReceiveError, ResponseStream};
use magpiewick::Ms;
use magpiewick_exchange::{CommonResponses, ExchangeHistory, ReceivedResponse, ResponseMismatch};
use magpiewick_transport::Stream;

/// Time after which a partial response without progress is considered stalled. Endpoints write a response at once, and
/// this is the network delay that the platform's protocol permits.
pub(crate) const RESPONSE_STALL_MS: Ms = 50.0;

/// Attempt that is written as soon as its connection is established.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AssignedAttempt {
    /// Number of the request.
    pub request_id: u64,
    /// Time until which the client waits.
    pub deadline: Ms,
    /// Latest time at which the attempt may be sent.
    pub send_by: Ms,
}

/// State of a connection.
#[derive(Clone, Copy)]
enum UpstreamState {
    Idle,
    /// An attempt waits for the connection to be established.
    Assigned(AssignedAttempt),
    /// An attempt was queued. `end_offset`: position of its end in the byte stream; `written_at`: time at which its
    /// last byte was written.
    InFlight {
        request_id: u64,
        end_offset: u64,
        written_at: Option<Ms>,
    },
}

/// Attempt that a connection carries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CarriedAttempt {
    /// Number of the request.
    pub request_id: u64,
    /// True if the operating system accepted the last byte of the request.
    pub written: bool,
    /// Time at which the completed write was detected.
    pub written_at: Option<Ms>,
}

/// Result of writing to a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FlushEvent {
    /// No action is required.
    None,
    /// The connection failed.
    ConnectionLost,
    /// The connection is established: the attempt must be written now.
    ReadyToWrite(AssignedAttempt),
}

/// Result of reading from a connection.
pub(crate) enum ReceiveEvent {
    /// The connection may have been established or may have failed; a flush shows which.
    MayBeEstablished,
    /// Bytes or the end of the stream arrived without a request.
    Unsolicited,
    /// A part of a response arrived. `first`: whether this is the first part.
    Partial { first: bool },
    /// A complete response arrived.
    Response(CompleteResponse),
    /// No further response can arrive.
    Failed(ReceiveError),
}

/// Connection to an endpoint.
pub(crate) struct UpstreamConnection {
    responses: ResponseStream,
    endpoint: u32,
    serial: u64,
    /// Time at which the latest bytes of an incomplete response arrived.
    partial_since: Option<Ms>,
    state: UpstreamState,
    history: ExchangeHistory,
}

impl UpstreamConnection {
    /// Creates the state of a connection that is being established.
    pub(crate) fn new(stream: Stream, endpoint: u32, serial: u64) -> UpstreamConnection {
        UpstreamConnection {
            responses: ResponseStream::new(stream),
            endpoint,
            serial,
            partial_since: None,
            state: UpstreamState::Idle,
            history: ExchangeHistory::default(),
        }
    }

    /// Returns the number of the endpoint.
    pub(crate) fn endpoint(&self) -> u32 {
        self.endpoint
    }

    /// Returns the number that identifies this connection in the log.
    pub(crate) fn serial(&self) -> u64 {
        self.serial
    }

    /// Returns the number of exchanges that ended with a complete response.
    pub(crate) fn exchanges(&self) -> u32 {
        self.history.exchanges()
    }

    /// Returns the time since the last exchange ended.
    pub(crate) fn idle_for(&self, now: Ms) -> Ms {
        self.history.idle_for(now)
    }

    /// Returns the number of bytes that arrived and were not consumed.
    pub(crate) fn unread_bytes(&self) -> usize {
        self.responses.buffered_bytes()
    }

    /// Returns whether the connection is still being established.
    pub(crate) fn is_connecting(&self) -> bool {
        self.responses.stream().connecting()
    }

    /// Returns whether the connection carries no attempt.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.state, UpstreamState::Idle)
    }

    /// Returns whether the connection carries an attempt of which no byte was written.
    pub(crate) fn has_unwritten_attempt(&self) -> bool {
        matches!(self.state, UpstreamState::Assigned(_))
    }

    /// Returns whether neither bytes nor the end of the stream have arrived while the connection was idle.
    pub(crate) fn is_quiet(&mut self) -> bool {
        self.responses.is_quiet()
    }

    /// Returns whether the operating system accepted the last byte of the attempt.
    pub(crate) fn is_written(&self) -> bool {
        let written = self.responses.stream().total_written();
        matches!(self.state, UpstreamState::InFlight { end_offset, .. } if written >= end_offset)
    }

    /// Returns the number of bytes read since the start of the connection.
    pub(crate) fn total_read(&self) -> u64 {
        self.responses.stream().total_read()
    }

    /// Returns whether bytes of a response have arrived that were not read yet.
    pub(crate) fn has_unread(&self) -> bool {
        self.responses.stream().has_unread()
    }

    /// Returns the attempt that the connection carries.
    pub(crate) fn attempt(&self) -> Option<CarriedAttempt> {
        match self.state {
            UpstreamState::Idle => None,
            UpstreamState::Assigned(AssignedAttempt { request_id, .. }) => {
                Some(CarriedAttempt { request_id, written: false, written_at: None })
            }
            UpstreamState::InFlight { request_id, written_at, .. } => {
                Some(CarriedAttempt { request_id, written: self.is_written(), written_at })
            }
        }
    }

    /// Returns the time at which the latest bytes of an incomplete response arrived.
    pub(crate) fn partial_since(&self) -> Option<Ms> {
        self.partial_since
    }

    /// Assigns an attempt to write once the connection is established.
    pub(crate) fn assign(&mut self, attempt: AssignedAttempt) {
        self.state = UpstreamState::Assigned(attempt);
    }

    /// Queues the assigned attempt. `head` lacks the deadline, which is sent as the remaining time.
    pub(crate) fn queue_attempt(&mut self, request_id: u64, head: &[u8], time_left: Ms, body: &[u8]) {
        let deadline = format!("X-Deadline: {time_left}m\r\n\r\n");
        let stream = self.responses.stream_mut();
        let output = stream.output();
        [head, deadline.as_bytes(), body].iter().for_each(|part| output.extend_from_slice(part));
        let end_offset = stream.total_queued();
        self.state = UpstreamState::InFlight { request_id, end_offset, written_at: None };
    }

    /// Writes the queued output. `clock` is read after the write.
    pub(crate) fn flush(&mut self, clock: impl FnOnce() -> Ms) -> FlushEvent {
        if self.responses.stream_mut().flush().is_err() {
            return FlushEvent::ConnectionLost;
        }
        if let UpstreamState::Assigned(attempt) = self.state {
            if !self.is_connecting() {
                return FlushEvent::ReadyToWrite(attempt);
            }
        }
        let (written, now) = (self.is_written(), clock());
        if let UpstreamState::InFlight { written_at, .. } = &mut self.state {
            if written {
                written_at.get_or_insert(now);
            }
        }
        FlushEvent::None
    }

    /// Returns whether the connection waits to read a response until memory is available.
    pub(crate) fn is_read_paused(&self) -> bool {
        !self.responses.stream().reading()
    }

    /// Pauses reading of a response, or resumes it. A response does not stall while reading is paused.
    pub(crate) fn set_read_paused(&mut self, now: Ms, paused: bool) {
        // A connection whose events cannot be changed is broken and ends at its next read.
        _ = self.responses.stream_mut().set_reading(!paused);
        self.partial_since = self.partial_since.map(|_| now);
    }

    /// Reads at most `max_bytes` of input.
    pub(crate) fn receive(&mut self, now: Ms, max_bytes: usize) -> ReceiveEvent {
        match self.state {
            UpstreamState::InFlight { .. } => {}
            UpstreamState::Assigned(_) => return ReceiveEvent::MayBeEstablished,
            UpstreamState::Idle => {
                self.responses.read_unsolicited();
                return ReceiveEvent::Unsolicited;
            }
        }
        match self.responses.receive(max_bytes) {
            Ok(Some(complete)) => {
                self.partial_since = None;
                ReceiveEvent::Response(complete)
            }
            Ok(None) => ReceiveEvent::Partial { first: self.partial_since.replace(now).is_none() },
            Err(error) => ReceiveEvent::Failed(error),
        }
    }

    /// Checks that a response belongs to the request in flight. `common`: responses that may equal an earlier one; the
    /// exception does not apply to a response that arrived before the request was written completely.
    pub(crate) fn verify(
        &self,
        response: &ReceivedResponse<'_>,
        request_id: &str,
        common: Option<&CommonResponses>,
    ) -> Result<(), ResponseMismatch> {
        match common.filter(|_| self.is_written()) {
            Some(common) => self.history.verify_allowing_common(response, request_id, common),
            None => self.history.verify(response, request_id),
        }
    }

    /// Records an exchange that ended with a verified response.
    pub(crate) fn record_exchange(&mut self, now: Ms, response: &ReceivedResponse<'_>) {
        self.history.record(now, response);
    }

    /// Marks the connection as idle and reusable.
    pub(crate) fn become_idle(&mut self) {
        self.state = UpstreamState::Idle;
        self.responses.stream_mut().release_buffers();
    }
}

impl Buffers for UpstreamConnection {
    fn memory_bytes(&self) -> usize {
        self.responses.memory_bytes()
    }
}
