//! Clients' connections on sockets: what is read goes into a queue, each request leaves it once, and a connection ends
//! in one place.

use crate::ask;
use crate::clients::{self, Late, Look, Standing};
use crate::floor::{Floor, Open, Peer, Timed};
use crate::memory;
use crate::request_log::Closed;
use crate::Platform;
use magpiewick::Ms;
use magpiewick_exchange::{Next, RequestQueue};
use magpiewick_http1::{self as http1, Refused};
use magpiewick_transport::Stream;

/// What a client is told that began a request and did not go on with it.
const INCOMPLETE: Refused = Refused { status: 408, why: "the request did not come whole" };
/// What a request is told that came behind more than the host keeps.
const TOO_MUCH_AHEAD: Refused = Refused { status: 503, why: "too many requests came before their answers" };
/// What a request is told for which the host that ends has no time left.
const NO_TIME_LEFT: Refused = Refused { status: 503, why: "this host has ended" };

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
    pub began: Ms,
    pub came: Ms,
    /// A timer looks at it.
    pub timed: bool,
    pub open: Option<u64>,
    /// Nothing more is read as requests: what is written goes out, then it ends.
    pub closing: bool,
    /// Bytes that came after that and were thrown away.
    pub thrown: usize,
    /// Since when the system has taken nothing of an answer, and how much it had taken then.
    pub blocked: Option<(Ms, u64)>,
    /// Since when nothing more is written and what comes is thrown away.
    pub sent_away: Option<Ms>,
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
            began: now,
            came: now,
            timed: true,
            open: None,
            closing: false,
            blocked: None,
            sent_away: None,
            thrown: 0,
            last: false,
        }
    }

    pub fn busy(&self) -> bool {
        self.open.is_some() || self.stream.pending() > 0
    }

    /// Something came that has no answer, beside the request that is open.
    pub fn has_more(&self) -> bool {
        !self.queue.is_empty()
    }

    fn look(&self) -> Look {
        Look {
            open: self.open.is_some(),
            pending: self.stream.pending() > 0,
            blocked: self.blocked.map(|(since, _)| since),
            sent_away: self.sent_away,
            partial: self.has_more().then_some(self.began),
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
        self.stream.held() + self.queue.held()
    }
}

impl Floor {
    pub fn client(&mut self, key: usize) -> Option<&mut Client> {
        match self.peers.get_mut(key) {
            Some(Peer::Client(client)) => Some(client),
            _ => None,
        }
    }

    pub fn accept(&mut self, stream: std::net::TcpStream) {
        if self.clients >= self.room.clients && !self.make_room(|_| true) {
            return;
        }
        let asked = |s: &Standing| s.asked > 0;
        if self.standing().filter(asked).count() > self.room.asked {
            self.make_room(asked);
        }
        let (now, serial) = (self.now, self.next_serial());
        let entered = self.enter(|poll, key| {
            let stream = Stream::accepted(poll, stream, key)?;
            Ok(Peer::Client(Client::accepted(stream, serial, now)))
        });
        if let Ok(key) = entered {
            self.clients += 1;
            self.timers.set(now + clients::PATIENCE, Timed::Client(key, serial));
        }
    }

    /// Bounds what is kept of requests that came early on a client's connection: a usual request always, as much as a
    /// burst of them while the memory is there. All of it is read and none is forgotten: the client's end would else
    /// stand behind bytes that are never read, and nothing must begin any more for a client that has gone.
    fn bound_early(&mut self, key: usize) {
        let least = http1::MOST_HEAD + http1::MOST_BODY;
        let Some(client) = self.client(key).filter(|c| c.busy()) else { return };
        if client.queue.buffered() <= least {
            return;
        }
        let all: usize = self.peers.iter().map(|(_, peer)| peer.held()).sum();
        let most = if memory::is_half_taken(self.most_held, all) { least } else { clients::EARLY };
        if let Some(client) = self.client(key) {
            client.queue.bound(most);
        }
    }

    /// A request has begun to come, or an answer to go: it must go on in time.
    fn client_waits(&mut self, key: usize, since: Ms) {
        let Some(client) = self.client(key).filter(|c| !c.timed) else { return };
        client.timed = true;
        let timed = Timed::Client(key, client.serial);
        self.timers.set(since + clients::PATIENCE, timed);
    }

    fn standing(&self) -> impl Iterator<Item = Standing> + '_ {
        self.peers.iter().filter_map(|(key, peer)| match peer {
            Peer::Client(c) => {
                let (busy, partial) = (c.busy(), c.has_more());
                Some(Standing { key, busy, partial, asked: c.asked, since: c.since, serial: c.serial })
            }
            _ => None,
        })
    }

    /// Ends the client's connection that gives way first of some; false where none may.
    pub fn make_room(&mut self, of: impl Fn(&Standing) -> bool) -> bool {
        let mut all: Vec<Standing> = self.standing().filter(of).collect();
        while let Some(key) = clients::gives_way(self.now, all.iter().copied()) {
            // What it has just asked would be lost with it; and the end of a connection with bytes unread is a break.
            if !self.client(key).is_some_and(|c| c.stream.has_unread()) {
                self.counts.evicted += 1;
                self.drop_client(key, Closed::Evicted);
                return true;
            }
            all.retain(|s| s.key != key);
        }
        false
    }

    /// Ends a client's connection; the request that was open on it.
    pub fn drop_client(&mut self, key: usize, why: Closed) -> Option<u64> {
        self.client(key)?;
        self.clients -= 1;
        let Peer::Client(client) = self.peers.remove(key) else { return None };
        self.request_log.closed(self.now, client.serial, client.asked, client.open, why);
        client.open
    }

    /// Writes an answer to a client, who has none coming otherwise. What the client sent behind this request is still
    /// owed an answer: its connection ends here only where nothing of it was read.
    pub fn reply(&mut self, key: usize, status: u16, fields: &[(&str, &[u8])], body: &[u8], close: bool) {
        let now = self.now;
        let leaves = self.shutdown.closed(now);
        let Some(client) = self.client(key) else { return };
        let close = close || client.last || leaves && !client.has_more();
        http1::write_answer(client.stream.output(), status, fields, body, close);
        let (serial, request_id) = (client.serial, client.open);
        (client.open, client.closing, client.since) = (None, client.closing || close, now);
        self.again.push(key);
        self.request_log.replied(serial, request_id, status, close);
    }

    /// Refuses what a client sent: nothing of it goes further.
    pub fn refuse(&mut self, key: usize, refused: Refused, close: bool) {
        *self.counts.refused.entry(refused.why).or_default() += 1;
        let serial = self.client(key).map_or(0, |c| c.serial);
        self.request_log.refused(self.now, serial, refused.status, refused.why);
        let body = format!("{}\n", refused.why);
        self.reply(key, refused.status, &[("Content-Type", b"text/plain")], body.as_bytes(), close);
    }

    /// Whether a request has its answer, or its client has ended its connection by now, whatever was read of it. One
    /// that has is ended with the next turn of the loop.
    pub fn has_ended(&mut self, request_id: u64) -> bool {
        let Some(key) = self.requests.get(&request_id).and_then(|open| open.client) else { return true };
        let left = self.client(key).is_some_and(|client| client.stream.peer_ended());
        if left {
            self.gone.push(key);
        }
        left
    }
}

impl Platform {
    /// A client's time may be over. What has come from it in this very moment is read before that is decided.
    pub(crate) fn client_late(&mut self, key: usize, serial: u64) {
        let now = self.floor.now;
        let same = |client: &&mut Client| client.serial == serial;
        let Some(client) = self.floor.client(key).filter(same) else { return };
        client.timed = false;
        if !client.closing && client.stream.reading() && client.stream.has_unread() {
            self.read_client(key);
        }
        let Some(client) = self.floor.client(key).filter(same) else { return };
        match clients::late(now, &client.look()) {
            Late::Nothing => {}
            Late::WaitsSince(since) => self.floor.client_waits(key, since),
            Late::Unread => self.end_client(key, Closed::Unread),
            Late::Finished => self.end_client(key, Closed::Finished),
            Late::Incomplete => self.floor.refuse(key, INCOMPLETE, true),
            Late::Idle => self.end_client(key, Closed::Idle),
        }
    }

    pub(crate) fn client_gone(&mut self, key: usize) {
        self.end_client(key, Closed::ByClient);
    }

    /// Ends a client's connection. What is open on it has nobody to be answered to any more.
    pub(crate) fn end_client(&mut self, key: usize, why: Closed) {
        let Some(request_id) = self.floor.drop_client(key, why) else { return };
        self.floor.counts.gone += 1;
        self.floor.log_client_gone(request_id);
        if let Some(open) = self.floor.requests.get_mut(&request_id) {
            open.client = None;
        }
        self.engine.on_client_disconnect(self.floor.now, request_id);
        self.floor.take_unwritten_back(request_id);
        self.floor.release(request_id);
    }

    /// A client whose bytes are not read may have gone behind them.
    pub(crate) fn unread(&mut self, key: usize, serial: u64) {
        let now = self.floor.now;
        let Some(client) = self.floor.client(key).filter(|c| c.serial == serial) else { return };
        if client.stream.reading() {
            return;
        }
        if client.stream.peer_ended() {
            return self.client_gone(key);
        }
        self.floor.timers.set(now + clients::LOOKS, Timed::Unread(key, serial));
    }

    /// Reads no more from a client, and looks from time to time whether it has gone.
    pub(crate) fn stop_reading(&mut self, key: usize) {
        let now = self.floor.now;
        let Some(client) = self.floor.client(key).filter(|c| c.stream.reading()) else { return };
        let serial = client.serial;
        _ = client.stream.set_reading(false);
        self.floor.timers.set(now, Timed::Unread(key, serial));
    }

    pub(crate) fn flush_client(&mut self, key: usize) {
        let now = self.floor.now;
        let Some(client) = self.floor.client(key) else { return };
        if client.stream.flush().is_err() {
            return self.client_gone(key);
        }
        if let Some(since) = client.note_written(now) {
            return self.floor.client_waits(key, since);
        }
        if client.open.is_some() {
            return;
        }
        if client.closing {
            return self.send_away(key);
        }
        // What came early waited for the answer before it to be gone.
        if client.has_more() {
            self.requests(key);
        }
    }

    /// Ends a connection on which nothing is owed. What the client still sends is read for a while and thrown away: an
    /// end with bytes unread would take the answer away from a client that has not read it yet.
    fn send_away(&mut self, key: usize) {
        let now = self.floor.now;
        let Some(client) = self.floor.client(key) else { return };
        client.stream.end_writing();
        client.sent_away.get_or_insert(now);
        _ = client.stream.set_reading(true);
        let serial = client.serial;
        self.floor.timers.set(now + clients::LINGER, Timed::Client(key, serial));
    }

    pub(crate) fn read_client(&mut self, key: usize) {
        let (now, age) = (self.floor.now, self.floor.age);
        let Some(client) = self.floor.client(key) else { return };
        let empty = !client.has_more();
        let filled = client.stream.fill();
        // A connection that is not read says only that it is over.
        if filled.is_err() || !client.stream.reading() {
            return self.client_gone(key);
        }
        let input = client.stream.take_input();
        if client.closing || client.queue.spoilt() {
            client.thrown += input.len();
            if client.thrown > clients::THROWN {
                self.stop_reading(key);
            }
            return;
        }
        client.queue.push(input);
        if empty {
            client.began = now - age;
        }
        if empty || !client.busy() {
            client.came = now - age;
        }
        self.floor.bound_early(key);
        self.requests(key);
    }

    /// Takes the next request of a client, if it is whole and nothing is open.
    fn requests(&mut self, key: usize) {
        let (now, ready) = (self.floor.now, self.ready());
        let leaves = self.floor.shutdown.closed(now);
        let Some(client) = self.floor.client(key) else { return };
        // One that does not read its answers would else have the host hold one for each request that it sent.
        if client.busy() || client.closing || !client.has_more() {
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
            Next::Overflowed => return self.floor.refuse(key, TOO_MUCH_AHEAD, false),
            Next::Refused(refused) => return self.floor.refuse(key, refused, true),
            Next::Empty | Next::Partial => return self.request_is_partial(key),
        };
        // What is left came early: it is as old as the last bytes at most.
        client.began = now;
        let request = match http1::request(&whole.head) {
            Ok(request) => request,
            Err(refused) => return self.floor.refuse(key, refused, true),
        };
        (client.asked, client.since, client.last) = (client.asked.saturating_add(1), now, request.close);
        if let Err(refused) = self.taken(key, &request, &whole.body, now - came, ready) {
            self.floor.refuse(key, refused, false);
        }
    }

    /// No request of a client is whole: the rest of one is waited for, unless the host has closed.
    fn request_is_partial(&mut self, key: usize) {
        let leaves = self.floor.shutdown.closed(self.floor.now);
        let Some(client) = self.floor.client(key) else { return };
        if leaves {
            client.closing = true;
            return self.flush_client(key);
        }
        if client.queue.expects() {
            client.stream.output().extend_from_slice(http1::CONTINUE);
            if client.stream.flush().is_err() {
                return self.client_gone(key);
            }
        }
        if client.has_more() {
            let began = client.began;
            self.floor.client_waits(key, began);
        }
    }

    /// Takes a request as a request, or answers it as a question about this host.
    fn taken(
        &mut self,
        key: usize,
        request: &http1::Request,
        body: &[u8],
        used: Ms,
        ready: bool,
    ) -> Result<(), Refused> {
        if request.target == "/ready" && request.method == "GET" {
            match ready {
                true => self.floor.reply(key, 200, &[], b"ready\n", false),
                false => self.floor.reply(key, 503, &[], b"not ready\n", false),
            }
            return Ok(());
        }
        let id = ask::id(request)?;
        self.next_command += 1;
        let number = self.next_command;
        let mut taken = ask::request(request, body.len(), &self.floor.door, used, number)?;
        if let Some(over) = self.floor.shutdown.over_at() {
            if over <= self.floor.now {
                return Err(NO_TIME_LEFT);
            }
            taken.request.client_timeout = taken.request.client_timeout.min(over - self.floor.now);
        }
        if self.floor.ids.contains_key(id) {
            return Err(Refused { status: 409, why: "the X-Request-Id is open already" });
        }
        let open = Open {
            client: Some(key),
            id: id.to_string(),
            head: upstream_head(request, body.len())?,
            body: body.to_vec(),
            out: None,
            taken_at: self.floor.now,
            attempts: 0,
            last: None,
        };
        self.floor.ids.insert(id.to_string(), number);
        self.floor.requests.insert(number, open);
        self.floor.counts.taken += 1;
        if let Some(client) = self.floor.client(key) {
            client.open = Some(number);
            let (serial, in_front) = (client.serial, client.asked.saturating_sub(1));
            self.floor.request_log.taken(serial, id, number, in_front);
        }
        self.engine.submit(self.floor.now, taken, &mut self.floor);
        Ok(())
    }

    /// All clients' connections that are not being ended already.
    pub(crate) fn standing_clients(&self) -> Vec<usize> {
        let stays = |peer: &Peer| matches!(peer, Peer::Client(client) if !client.closing);
        let clients = self.floor.peers.iter().filter(|(_, peer)| stays(peer));
        clients.map(|(key, _)| key).collect()
    }

    /// Ends clients that were found gone while something was to be sent for them.
    pub(crate) fn end_gone_clients(&mut self) {
        for key in std::mem::take(&mut self.floor.gone) {
            if self.floor.client(key).is_some_and(|client| client.stream.peer_ended()) {
                self.client_gone(key);
            }
        }
    }
}

/// The head that a node is sent, up to the deadline, which is known when it is written.
fn upstream_head(request: &http1::Request, length: usize) -> Result<Vec<u8>, Refused> {
    let once = |name, why| request.fields.one(name).map_err(|_| Refused { status: 400, why });
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
