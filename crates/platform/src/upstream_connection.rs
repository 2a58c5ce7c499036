//! One connection to an endpoint, which carries one exchange at a time.

use crate::response_stream::{CompleteResponse, ReceiveError, ResponseStream};
use magpiewick::Ms;
use magpiewick_exchange::{CommonResponses, ExchangeHistory, ReceivedResponse, ResponseMismatch};
use magpiewick_transport::Stream;

/// A response that has begun and made no progress for so long does not become complete any more. Endpoints write a
/// response at once, and this is what the platform's protocol allows the network.
pub(crate) const RESPONSE_STALL_MS: Ms = 50.0;

/// An attempt that is written as soon as its connection is established.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AssignedAttempt {
    /// The request.
    pub request_id: u64,
    /// Until when its client waits.
    pub deadline: Ms,
    /// By when it must have left this host.
    pub send_by: Ms,
}

/// What a connection is doing.
#[derive(Clone, Copy)]
enum UpstreamState {
    Idle,
    /// An attempt waits for the connection to be established.
    Assigned(AssignedAttempt),
    /// An attempt was queued: up to which byte of the stream, and when the last of these was written.
    InFlight {
        request_id: u64,
        end_offset: u64,
        written_at: Option<Ms>,
    },
}

/// The attempt that a connection carries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CarriedAttempt {
    /// The request.
    pub request_id: u64,
    /// Whether the system took its last byte.
    pub written: bool,
    /// When that was noticed.
    pub written_at: Option<Ms>,
}

/// What writing to a connection came to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FlushEvent {
    /// Nothing is to be done.
    None,
    /// The connection broke.
    ConnectionLost,
    /// It is established: the attempt is to be written now.
    ReadyToWrite(AssignedAttempt),
}

/// What has arrived on a connection.
pub(crate) enum ReceiveEvent {
    /// The connection may have been established, or failed; flushing tells.
    MayBeEstablished,
    /// Bytes or an end, although nothing was requested.
    Unsolicited,
    /// A part of a response; whether it is the first.
    Partial { first: bool },
    /// A complete response.
    Response(CompleteResponse),
    /// No response will come.
    Failed(ReceiveError),
}

/// A connection to an endpoint.
pub(crate) struct UpstreamConnection {
    responses: ResponseStream,
    endpoint: u32,
    serial: u64,
    /// When the latest bytes of an incomplete response arrived.
    partial_since: Option<Ms>,
    state: UpstreamState,
    history: ExchangeHistory,
}

impl UpstreamConnection {
    /// A connection that is being established.
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

    /// The endpoint's number.
    pub(crate) fn endpoint(&self) -> u32 {
        self.endpoint
    }

    /// The number by which the log names this connection.
    pub(crate) fn serial(&self) -> u64 {
        self.serial
    }

    /// Exchanges that ended with a complete response.
    pub(crate) fn exchanges(&self) -> u32 {
        self.history.exchanges()
    }

    /// How long ago the last exchange ended.
    pub(crate) fn idle_for(&self, now: Ms) -> Ms {
        self.history.idle_for(now)
    }

    /// The memory that its buffers take.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.responses.memory_bytes()
    }

    /// Bytes that arrived and were not used.
    pub(crate) fn unread_bytes(&self) -> usize {
        self.responses.buffered_bytes()
    }

    /// Whether the connection is still being established.
    pub(crate) fn is_connecting(&self) -> bool {
        self.responses.stream().connecting()
    }

    /// Whether it carries no attempt.
    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.state, UpstreamState::Idle)
    }

    /// Whether it carries an attempt of which no byte was written.
    pub(crate) fn has_unwritten_attempt(&self) -> bool {
        matches!(self.state, UpstreamState::Assigned(_))
    }

    /// Whether neither bytes nor an end have arrived while it was idle.
    pub(crate) fn is_quiet(&mut self) -> bool {
        self.responses.is_quiet()
    }

    /// Whether the system took the last byte of the attempt.
    pub(crate) fn is_written(&self) -> bool {
        let written = self.responses.stream().total_written();
        matches!(self.state, UpstreamState::InFlight { end_offset, .. } if written >= end_offset)
    }

    /// The attempt that it carries.
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

    /// When the latest bytes of an incomplete response arrived.
    pub(crate) fn partial_since(&self) -> Option<Ms> {
        self.partial_since
    }

    /// Gives it an attempt to write when it is established.
    pub(crate) fn assign(&mut self, attempt: AssignedAttempt) {
        self.state = UpstreamState::Assigned(attempt);
    }

    /// Queues the assigned attempt. `head` lacks the deadline, which is told as the time that is left.
    pub(crate) fn queue_attempt(&mut self, request_id: u64, head: &[u8], time_left: Ms, body: &[u8]) {
        let deadline = format!("X-Deadline: {time_left}m\r\n\r\n");
        let stream = self.responses.stream_mut();
        let output = stream.output();
        [head, deadline.as_bytes(), body].iter().for_each(|part| output.extend_from_slice(part));
        let end_offset = stream.total_queued();
        self.state = UpstreamState::InFlight { request_id, end_offset, written_at: None };
    }

    /// Writes what is queued. `clock` is read after that.
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

    /// Reads what has arrived.
    pub(crate) fn receive(&mut self, now: Ms) -> ReceiveEvent {
        match self.state {
            UpstreamState::InFlight { .. } => {}
            UpstreamState::Assigned(_) => return ReceiveEvent::MayBeEstablished,
            UpstreamState::Idle => {
                self.responses.read_unsolicited();
                return ReceiveEvent::Unsolicited;
            }
        }
        match self.responses.receive() {
            Ok(Some(complete)) => {
                self.partial_since = None;
                ReceiveEvent::Response(complete)
            }
            Ok(None) => ReceiveEvent::Partial { first: self.partial_since.replace(now).is_none() },
            Err(error) => ReceiveEvent::Failed(error),
        }
    }

    /// Whether a response is that of the request in flight. `common`: responses that may be the same as an earlier one;
    /// that excuses none that came before the request was written completely.
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

    /// The exchange has ended with a response of its own.
    pub(crate) fn record_exchange(&mut self, now: Ms, response: &ReceivedResponse<'_>) {
        self.history.record(now, response);
    }

    /// It carries no attempt any more, and may be used again.
    pub(crate) fn become_idle(&mut self) {
        self.state = UpstreamState::Idle;
        self.responses.stream_mut().release_buffers();
    }
}
