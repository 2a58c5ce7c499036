//! Clients' connections on sockets: what is read goes into a queue, each request leaves it once, and a connection ends
//! in one place.

use crate::client_policy::{self, ClientActivity, EvictionCandidate, TimeoutAction};
use crate::host::{Connection, Host, OpenRequest, Timer};
use crate::incoming_request;
use crate::memory_limit;
use crate::request_log::ClientCloseReason;
use crate::EventLoop;
use magpiewick::Ms;
use magpiewick_exchange::{Next, RequestQueue};
use magpiewick_http1::{self as http1, Rejection};
use magpiewick_transport::Stream;

/// What a client is config that started_at a request and did not go on with it.
const INCOMPLETE: Rejection = Rejection { status: 408, reason: "the request did not come whole" };
/// What a request is config that came behind more than the host keeps.
const TOO_MUCH_AHEAD: Rejection =
    Rejection { status: 503, reason: "too many requests came before their answers" };
/// What a request is config for which the host that ends has no time left.
const NO_TIME_LEFT: Rejection = Rejection { status: 503, reason: "this host has ended" };

/// A client's connection.
pub struct Client {
    pub stream: Stream,
    /// What it sent that has no answer yet, but for the request that is open.
    pub queue: RequestQueue,
    pub serial: u64,
    pub since: Ms,
    /// How many whole requests it sent.
    pub asked: u32,
    /// When the first and the last byte of the request that is next may have come.
    pub started_at: Ms,
    pub came: Ms,
    /// A timer looks at it.
    pub timed: bool,
    pub open: Option<u64>,
    /// Nothing more is read as requests: what is written goes out, then it ends.
    pub closing: bool,
    /// Bytes that came after that and were discarded_bytes away.
    pub discarded_bytes: usize,
    /// Since when the system has taken nothing of an answer, and how much it had taken then.
    pub blocked: Option<(Ms, u64)>,
    /// Since when nothing more is written and what comes is discarded_bytes away.
    pub lingering_since: Option<Ms>,
    /// The client asked for the end after the open request's answer.
    pub last: bool,
}

impl Client {
    fn accepted(stream: Stream, serial: u64, now: Ms) -> Client {
        Client {
            stream,
            queue: RequestQueue::default(),
            serial,
            since: now,
            asked: 0,
            started_at: now,
            came: now,
            timed: true,
            open: None,
            closing: false,
            blocked: None,
            lingering_since: None,
            discarded_bytes: 0,
            last: false,
        }
    }

    pub fn busy(&self) -> bool {
        self.open.is_some() || self.stream.pending() > 0
    }

    /// Something came that has no answer, beside the request that is open.
    pub fn has_pipelined(&self) -> bool {
        !self.queue.is_empty()
    }

    fn activity(&self) -> ClientActivity {
        ClientActivity {
            open: self.open.is_some(),
            pending: self.stream.pending() > 0,
            blocked: self.blocked.map(|(since, _)| since),
            lingering_since: self.lingering_since,
            partial: self.has_pipelined().then_some(self.started_at),
            asked: self.asked > 0,
        }
    }

    /// Notes what the system took of the output by now; since when it has taken nothing, where some is left.
    fn note_written(&mut self, now: Ms) -> Option<Ms> {
        let written = self.stream.written_in_all();
        self.blocked = match self.blocked {
            _ if self.stream.pending() == 0 => None,
            Some(before) if before.1 == written => Some(before),
            _ => Some((now, written)),
        };
        self.blocked.map(|(since, _)| since)
    }

    /// The memory that it takes, without the request that is open on it.
    pub fn held(&self) -> usize {
        self.stream.held() + self.queue.memory_bytes()
    }
}

impl Host {
    pub fn client(&mut self, key: usize) -> Option<&mut Client> {
        match self.connections.get_mut(key) {
            Some(Connection::Client(client)) => Some(client),
            _ => None,
        }
    }

    pub fn accept(&mut self, stream: std::net::TcpStream) {
        if self.clients >= self.limits.clients && !self.evict_client(|_| true) {
            return;
        }
        let asked = |s: &EvictionCandidate| s.asked > 0;
        if self.eviction_candidates().filter(asked).count() > self.limits.asked {
            self.evict_client(asked);
        }
        let (now, serial) = (self.now, self.next_serial());
        let entered = self.register_connection(|poll, key| {
            let stream = Stream::accepted(poll, stream, key)?;
            Ok(Connection::Client(Client::accepted(stream, serial, now)))
        });
        if let Ok(key) = entered {
            self.clients += 1;
            self.timers.set(now + client_policy::CLIENT_TIMEOUT_MS, Timer::Client(key, serial));
        }
    }

    /// Bounds what is kept of requests that came early on a client's connection: a usual request always, as much as a
    /// burst of them while the memory is there. All of it is read and none is forgotten: the client's end would else
    /// stand behind bytes that are never read, and nothing must begin any more for a client that has gone.
    fn limit_pipelined(&mut self, key: usize) {
        let least = http1::MAX_HEAD_BYTES + http1::MAX_REQUEST_BODY_BYTES;
        let Some(client) = self.client(key).filter(|c| c.busy()) else { return };
        if client.queue.buffered() <= least {
            return;
        }
        let all: usize = self.connections.iter().map(|(_, peer)| peer.held()).sum();
        let most = if memory_limit::is_half_taken(self.buffer_limit, all) {
            least
        } else {
            client_policy::MAX_PIPELINED_BYTES
        };
        if let Some(client) = self.client(key) {
            client.queue.bound(most);
        }
    }

    /// A request has begun to come, or an answer to go: it must go on in time.
    fn arm_client_timeout(&mut self, key: usize, since: Ms) {
        let Some(client) = self.client(key).filter(|c| !c.timed) else { return };
        client.timed = true;
        let timed = Timer::Client(key, client.serial);
        self.timers.set(since + client_policy::CLIENT_TIMEOUT_MS, timed);
    }

    fn eviction_candidates(&self) -> impl Iterator<Item = EvictionCandidate> + '_ {
        self.connections.iter().filter_map(|(key, peer)| match peer {
            Connection::Client(c) => {
                let (busy, partial) = (c.busy(), c.has_pipelined());
                Some(EvictionCandidate {
                    key,
                    busy,
                    partial,
                    asked: c.asked,
                    since: c.since,
                    serial: c.serial,
                })
            }
            _ => None,
        })
    }

    /// Ends the client's connection that gives way first of some; false where none may.
    pub fn evict_client(&mut self, of: impl Fn(&EvictionCandidate) -> bool) -> bool {
        let mut all: Vec<EvictionCandidate> = self.eviction_candidates().filter(of).collect();
        while let Some(key) = client_policy::gives_way(self.now, all.iter().copied()) {
            // What it has just asked would be lost with it; and the end of a connection with bytes unread is a break.
            if !self.client(key).is_some_and(|c| c.stream.unread()) {
                self.counts.evicted += 1;
                self.remove_client(key, ClientCloseReason::Evicted);
                return true;
            }
            all.retain(|s| s.key != key);
        }
        false
    }

    /// Ends a client's connection; the request that was open on it.
    pub fn remove_client(&mut self, key: usize, why: ClientCloseReason) -> Option<u64> {
        self.client(key)?;
        self.clients -= 1;
        let Connection::Client(client) = self.connections.remove(key) else { return None };
        self.request_log.closed(self.now, client.serial, client.asked, client.open, why);
        client.open
    }

    /// Writes an answer to a client, who has none coming otherwise. What the client sent behind this request is still
    /// owed an answer: its connection ends here only where nothing of it was read.
    pub fn send_response(
        &mut self,
        key: usize,
        status: u16,
        fields: &[(&str, &[u8])],
        body: &[u8],
        close: bool,
    ) {
        let now = self.now;
        let leaves = self.shutdown.closed(now);
        let Some(client) = self.client(key) else { return };
        let close = close || client.last || leaves && !client.has_pipelined();
        http1::write_response(client.stream.output(), status, fields, body, close);
        let (serial, request_id) = (client.serial, client.open);
        (client.open, client.closing, client.since) = (None, client.closing || close, now);
        self.again.push(key);
        self.request_log.replied(serial, request_id, status, close);
    }

    /// Refuses what a client sent: nothing of it goes further.
    pub fn reject(&mut self, key: usize, refused: Rejection, close: bool) {
        *self.counts.refused.entry(refused.reason).or_default() += 1;
        let serial = self.client(key).map_or(0, |c| c.serial);
        self.request_log.refused(self.now, serial, refused.status, refused.reason);
        let body = format!("{}\n", refused.reason);
        self.send_response(key, refused.status, &[("Content-Type", b"text/plain")], body.as_bytes(), close);
    }

    /// Whether a request has its answer, or its client has ended its connection by now, whatever was read of it. One
    /// that has is ended with the next turn of the loop.
    pub fn is_request_over(&mut self, request_id: u64) -> bool {
        let Some(key) = self.requests.get(&request_id).and_then(|open| open.client) else { return true };
        let left = self.client(key).is_some_and(|client| client.stream.peer_ended());
        if left {
            self.gone.push(key);
        }
        left
    }
}

impl EventLoop {
    /// A client's time may be over. What has come from it in this very moment is read before that is decided.
    pub(crate) fn on_client_timeout(&mut self, key: usize, serial: u64) {
        let now = self.host.now;
        let same = |client: &&mut Client| client.serial == serial;
        let Some(client) = self.host.client(key).filter(same) else { return };
        client.timed = false;
        if !client.closing && client.stream.reading() && client.stream.unread() {
            self.read_client(key);
        }
        let Some(client) = self.host.client(key).filter(same) else { return };
        match client_policy::late(now, &client.activity()) {
            TimeoutAction::Nothing => {}
            TimeoutAction::RearmFrom(since) => self.host.arm_client_timeout(key, since),
            TimeoutAction::Unread => self.close_client(key, ClientCloseReason::Unread),
            TimeoutAction::Finished => self.close_client(key, ClientCloseReason::Finished),
            TimeoutAction::Incomplete => self.host.reject(key, INCOMPLETE, true),
            TimeoutAction::Idle => self.close_client(key, ClientCloseReason::Idle),
        }
    }

    pub(crate) fn on_client_disconnect(&mut self, key: usize) {
        self.close_client(key, ClientCloseReason::ByClient);
    }

    /// Ends a client's connection. What is open on it has nobody to be answered to any more.
    pub(crate) fn close_client(&mut self, key: usize, why: ClientCloseReason) {
        let Some(request_id) = self.host.remove_client(key, why) else { return };
        self.host.counts.gone += 1;
        self.host.log_client_gone(request_id);
        if let Some(open) = self.host.requests.get_mut(&request_id) {
            open.client = None;
        }
        self.engine.on_client_disconnect(self.host.now, request_id);
        self.host.withdraw_if_unwritten(request_id);
        self.host.release(request_id);
    }

    /// A client whose bytes are not read may have gone behind them.
    pub(crate) fn unread(&mut self, key: usize, serial: u64) {
        let now = self.host.now;
        let Some(client) = self.host.client(key).filter(|c| c.serial == serial) else { return };
        if client.stream.reading() {
            return;
        }
        if client.stream.peer_ended() {
            return self.on_client_disconnect(key);
        }
        self.host.timers.set(now + client_policy::DISCONNECT_CHECK_MS, Timer::Unread(key, serial));
    }

    /// Reads no more from a client, and looks from time to time whether it has gone.
    pub(crate) fn stop_reading(&mut self, key: usize) {
        let now = self.host.now;
        let Some(client) = self.host.client(key).filter(|c| c.stream.reading()) else { return };
        let serial = client.serial;
        _ = client.stream.set_reading(false);
        self.host.timers.set(now, Timer::Unread(key, serial));
    }

    pub(crate) fn flush_client(&mut self, key: usize) {
        let now = self.host.now;
        let Some(client) = self.host.client(key) else { return };
        if client.stream.flush().is_err() {
            return self.on_client_disconnect(key);
        }
        if let Some(since) = client.note_written(now) {
            return self.host.arm_client_timeout(key, since);
        }
        if client.open.is_some() {
            return;
        }
        if client.closing {
            return self.close_gracefully(key);
        }
        // What came early waited for the answer before it to be gone.
        if client.has_pipelined() {
            self.requests(key);
        }
    }

    /// Ends a connection on which nothing is owed. What the client still sends is read for a while and discarded_bytes away: an
    /// end with bytes unread would take the answer away from a client that has not read it yet.
    fn close_gracefully(&mut self, key: usize) {
        let now = self.host.now;
        let Some(client) = self.host.client(key) else { return };
        client.stream.end_writing();
        client.lingering_since.get_or_insert(now);
        _ = client.stream.set_reading(true);
        let serial = client.serial;
        self.host.timers.set(now + client_policy::LINGER_MS, Timer::Client(key, serial));
    }

    pub(crate) fn read_client(&mut self, key: usize) {
        let (now, age) = (self.host.now, self.host.age);
        let Some(client) = self.host.client(key) else { return };
        let empty = !client.has_pipelined();
        let filled = client.stream.fill();
        // A connection that is not read says only that it is over.
        if filled.is_err() || !client.stream.reading() {
            return self.on_client_disconnect(key);
        }
        let input = client.stream.take_input();
        if client.closing || client.queue.is_malformed() {
            client.discarded_bytes += input.len();
            if client.discarded_bytes > client_policy::MAX_DISCARDED_BYTES {
                self.stop_reading(key);
            }
            return;
        }
        client.queue.push(input);
        if empty {
            client.started_at = now - age;
        }
        if empty || !client.busy() {
            client.came = now - age;
        }
        self.host.limit_pipelined(key);
        self.requests(key);
    }

    /// Takes the next request of a client, if it is whole and nothing is open.
    fn requests(&mut self, key: usize) {
        let (now, ready) = (self.host.now, self.ready());
        let leaves = self.host.shutdown.closed(now);
        let Some(client) = self.host.client(key) else { return };
        // One that does not read its answers would else have the host hold one for each request that it sent.
        if client.busy() || client.closing || !client.has_pipelined() {
            return;
        }
        let came = client.came;
        // Once the host has closed nothing more is read but what came before: a client whose request crossed the end
        // of its connection unread asks elsewhere.
        if !leaves {
            _ = client.stream.set_reading(true);
        }
        let whole = match client.queue.take_next() {
            Next::Request(whole) => whole,
            Next::Overflowed => return self.host.reject(key, TOO_MUCH_AHEAD, false),
            Next::Rejected(refused) => return self.host.reject(key, refused, true),
            Next::Empty | Next::Partial => return self.await_rest_of_request(key),
        };
        // What is left came early: it is as old as the last bytes at most.
        client.started_at = now;
        let request = match http1::parse_request_head(&whole.head) {
            Ok(request) => request,
            Err(refused) => return self.host.reject(key, refused, true),
        };
        (client.asked, client.since, client.last) = (client.asked.saturating_add(1), now, request.close);
        if let Err(refused) = self.taken(key, &request, &whole.body, now - came, ready) {
            self.host.reject(key, refused, false);
        }
    }

    /// No request of a client is whole: the rest of one is waited for, unless the host has closed.
    fn await_rest_of_request(&mut self, key: usize) {
        let leaves = self.host.shutdown.closed(self.host.now);
        let Some(client) = self.host.client(key) else { return };
        if leaves {
            client.closing = true;
            return self.flush_client(key);
        }
        if client.queue.expects_continue() {
            client.stream.output().extend_from_slice(http1::CONTINUE_RESPONSE);
            if client.stream.flush().is_err() {
                return self.on_client_disconnect(key);
            }
        }
        if client.has_pipelined() {
            let started_at = client.started_at;
            self.host.arm_client_timeout(key, started_at);
        }
    }

    /// Takes a request as a request, or answers it as a question about this host.
    fn taken(
        &mut self,
        key: usize,
        request: &http1::RequestHead,
        body: &[u8],
        used: Ms,
        ready: bool,
    ) -> Result<(), Rejection> {
        if request.target == "/ready" && request.method == "GET" {
            match ready {
                true => self.host.send_response(key, 200, &[], b"ready\n", false),
                false => self.host.send_response(key, 503, &[], b"not ready\n", false),
            }
            return Ok(());
        }
        let id = incoming_request::id(request)?;
        self.last_request_id += 1;
        let number = self.last_request_id;
        let mut taken = incoming_request::request(request, body.len(), &self.host.settings, used, number)?;
        if let Some(over) = self.host.shutdown.over_at() {
            if over <= self.host.now {
                return Err(NO_TIME_LEFT);
            }
            taken.request.client_timeout = taken.request.client_timeout.min(over - self.host.now);
        }
        if self.host.ids.contains_key(id) {
            return Err(Rejection { status: 409, reason: "the X-Request-Id is open already" });
        }
        let open = OpenRequest {
            client: Some(key),
            id: id.to_string(),
            head: upstream_request_head(request, body.len())?,
            body: body.to_vec(),
            out: None,
            taken_at: self.host.now,
            attempts: 0,
            last: None,
        };
        self.host.ids.insert(id.to_string(), number);
        self.host.requests.insert(number, open);
        self.host.counts.taken += 1;
        if let Some(client) = self.host.client(key) {
            client.open = Some(number);
            let (serial, requests_before) = (client.serial, client.asked.saturating_sub(1));
            self.host.request_log.taken(serial, id, number, requests_before);
        }
        self.engine.submit(self.host.now, taken, &mut self.host);
        Ok(())
    }

    /// All clients' connections that are not being ended already.
    pub(crate) fn clients_not_closing(&self) -> Vec<usize> {
        let stays = |peer: &Connection| matches!(peer, Connection::Client(client) if !client.closing);
        let clients = self.host.connections.iter().filter(|(_, peer)| stays(peer));
        clients.map(|(key, _)| key).collect()
    }

    /// Ends clients that were found gone while something was to be sent for them.
    pub(crate) fn close_disconnected_clients(&mut self) {
        for key in std::mem::take(&mut self.host.gone) {
            if self.host.client(key).is_some_and(|client| client.stream.peer_ended()) {
                self.on_client_disconnect(key);
            }
        }
    }
}

/// The head that a node is sent, up to the deadline, which is known when it is written.
fn upstream_request_head(request: &http1::RequestHead, length: usize) -> Result<Vec<u8>, Rejection> {
    let once = |name, reason| request.headers.single(name).map_err(|_| Rejection { status: 400, reason });
    let fingerprint = once("idempotency-key", "there may be one Idempotency-Key")?;
    let length = length.to_string();
    let mut fields: Vec<(&str, &[u8])> = Vec::new();
    for name in ["Host", "X-Request-Id", "X-Class", "X-Qos-Policy", "X-Placement"] {
        let value = once(name, "a field stands twice")?;
        fields.extend(value.map(|value| (name, value)));
    }
    fields.extend(fingerprint.map(|value| ("Idempotency-Key", value)));
    fields.extend((request.method != "GET").then_some(("Content-Length", length.as_bytes())));
    let mut head = Vec::with_capacity(256);
    http1::write_request_head(&mut head, request.method, request.target, &fields);
    Ok(head)
}
