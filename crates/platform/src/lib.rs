//! The operators' platform as a door of magpiewick: one host, told by its environment and a JSON file, that speaks
//! HTTP/1.1 with clients, nodes and discovery. One poll loop on one thread drives the desk; what only sockets ask
//! is decided in small modules without I/O.

mod ask;
mod clients;
mod config;
mod discovery;
mod discovery_calls;
mod discovery_log;
mod floor;
mod log_limit;
mod memory;
mod nodes;
mod outcome;
mod reload;
mod request_log;
mod shutdown;
mod wall_clock;

use config::Told;
use discovery_log::CallFailure;
use floor::{Floor, Open, Peer, Timed, FIRST_KEY};
use magpiewick::{Failure, Ms, News, Validity};
use magpiewick_desk::{Desk, Stood};
use magpiewick_http1::{self as http1, Refused};
use magpiewick_link::{accept_error, AcceptError, Clock, Poll, Registered, Woken};
use outcome::Sign;
use reload::Reload;
use request_log::{Closed, UpstreamClosed};
use serde_json::Value;
use std::io::{self, Read};
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::SystemTime;
use wall_clock::WallClock;

const LISTENER: usize = 0;
const TERM: usize = 1;
const HANG_UP: usize = 2;
/// The loop never sleeps longer: what came while the process stood still is told from what just came by it.
const MOST_SLEEP: Ms = 100.0;
/// Connections accepted a turn, and rest for the listener when there is no descriptor left.
const ACCEPTS: usize = 64;
const ACCEPT_REST: Ms = 50.0;
/// What a connection seldom holds: below it all of them together need no look.
const SELDOM: usize = 32 << 10;
/// How often the counters are told.
const TELL_EVERY: Ms = 5000.0;
/// A host that remembers no list and that discovery does not answer is ready after this time all the same.
const READY_WITHOUT_LIST: Ms = 1500.0;

/// Why the platform's door does not open: what the environment or the file has wrong, or the system refused.
#[derive(Debug)]
pub enum Fault {
    Told(String),
    System(io::Error),
}

impl From<io::Error> for Fault {
    fn from(e: io::Error) -> Fault {
        Fault::System(e)
    }
}

struct Platform {
    desk: Desk,
    floor: Floor,
    stood: Stood,
    listener: Option<Registered<TcpListener>>,
    accepts_from: Ms,
    term: Registered<UnixStream>,
    hang_up: Registered<UnixStream>,
    path: PathBuf,
    /// What the file says that only a start takes in.
    fixed: Value,
    reload: Reload,
    /// What the list was worth when it was last looked at.
    validity: Validity,
    ready_at: Ms,
    next_command: u64,
    tells_at: Ms,
}

fn signal(poll: &Poll, number: i32, key: usize) -> io::Result<Registered<UnixStream>> {
    let (from, to) = UnixStream::pair()?;
    from.set_nonblocking(true)?;
    signal_hook::low_level::pipe::register(number, to)?;
    poll.register(from, key)
}

/// Runs a host until it has ended in order.
pub fn run() -> Result<(), Fault> {
    let path = config::path().map_err(Fault::Told)?;
    let told = config::read(&path).map_err(Fault::Told)?;
    Platform::new(told, &path)?.serve()?;
    Ok(())
}

impl Platform {
    fn new(told: Told, path: &Path) -> io::Result<Platform> {
        let (poll, clock) = (Poll::new()?, Clock::start());
        let now = clock.now();
        let wall_clock = WallClock::new(unix_time(), now);
        let term = signal(&poll, signal_hook::consts::SIGTERM, TERM)?;
        let hang_up = signal(&poll, signal_hook::consts::SIGHUP, HANG_UP)?;
        let listener = poll.register(magpiewick_link::listen(told.listen)?, LISTENER)?;
        let (round, pushed) = (told.start.round, told.pushed());
        tracing::info!(name = told.name, listen = %told.listen, discovery = %told.discovery, "serves");
        let seed = told.start.seed;
        let floor = Floor::new(poll, clock, wall_clock, &told);
        let mut platform = Platform {
            desk: Desk::new(told.start, now),
            floor,
            stood: Stood::new(now, round),
            listener: Some(listener),
            accepts_from: now,
            term,
            hang_up,
            path: path.to_path_buf(),
            fixed: told.fixed,
            reload: Reload::new(seed),
            validity: Validity::Valid,
            ready_at: now + READY_WITHOUT_LIST,
            next_command: 0,
            tells_at: now + TELL_EVERY,
        };
        if let Some(known) = told.known {
            let entries = platform.floor.listed(&known, unix_time());
            platform.desk.listed(now, News::Remembered, &entries);
            // Clients wait for a host that has come back, a quarter of a second for discovery's answer alone, and the
            // module knows that what is remembered may be old. Where lists are pushed, what the agent has counts as
            // told from the first moment, so that its answer is waited for.
            if !entries.is_empty() && !pushed {
                platform.ready_at = now;
            }
        }
        Ok(platform)
    }

    fn serve(&mut self) -> io::Result<()> {
        let mut woken = Woken::default();
        loop {
            self.settle_all();
            if self.ended() {
                tracing::info!(counts = ?self.floor.counts, "ended");
                return Ok(());
            }
            let now = self.floor.clock.now();
            let sleep = (self.wakes_at() - now).clamp(0.0, MOST_SLEEP);
            self.stood.sleeps(now, sleep);
            self.floor.poll.wait(&mut woken, Some(Clock::until(now, now + sleep)))?;
            self.floor.now = self.floor.clock.now();
            self.stood.woke(self.floor.now);
            self.floor.age = self.stood.age();
            // Before anything is sent: the process may have stood still for long.
            self.look_at_validity();
            for key in woken.writable.drain(..) {
                if let Some(key) = key.checked_sub(FIRST_KEY) {
                    self.writable(key);
                }
            }
            for key in woken.readable.drain(..) {
                match key {
                    LISTENER => self.accept(),
                    TERM => {
                        // A second request to end changes nothing: whoever would not wait has SIGKILL, and an end at
                        // once would take answers away that are owed.
                        if signalled(&mut self.term) {
                            self.floor.shutdown.asked(self.floor.now);
                            tracing::info!(in_hand = self.desk.in_hand(), "asked to end");
                        }
                    }
                    HANG_UP => {
                        signalled(&mut self.hang_up);
                        self.reload_announced();
                    }
                    key => {
                        self.readable(key - FIRST_KEY);
                        self.sheds(key - FIRST_KEY);
                    }
                }
            }
            self.timed();
        }
    }

    /// Keeps what waits in memory within its bound, where a connection that was just read holds more than usual.
    fn sheds(&mut self, key: usize) {
        if self.floor.held(key) < SELDOM {
            return;
        }
        for key in self.floor.too_large() {
            self.floor.counts.crowded += 1;
            match self.floor.peers.get(key) {
                Some(Peer::Client(_)) => self.end_client(key, Closed::OverMemory),
                Some(Peer::Link(_)) => self.floor.end_link(key, Sign::Spoilt),
                Some(Peer::Call(_)) => self.call_ended(key, CallFailure::TooLarge, Failure::Unusable),
                None => {}
            }
        }
    }

    fn wakes_at(&self) -> Ms {
        let floor = &self.floor;
        let closes = floor.shutdown.closes_at().filter(|_| self.listener.is_some());
        let over = floor.shutdown.over_at().filter(|_| !floor.commands.is_empty());
        // Past it a client that does not read its answer is waited for, as by its own timer.
        let out = floor.shutdown.out_at().filter(|at| *at > floor.now);
        let list = Some(floor.list_client.wakes_at(floor.now));
        let retry = self.reload.retry_at();
        let times = [floor.timers.next_at(), list, retry, Some(self.tells_at), closes, over, out];
        let listens =
            self.listener.as_ref().filter(|_| self.accepts_from > floor.now).map(|_| self.accepts_from);
        times.into_iter().flatten().chain(listens).fold(floor.wakes_at, f64::min)
    }

    /// Whether the host has closed and nothing is owed any more. Clients that were sent away are heard out as long as
    /// there is time: the end of the process would break their connections, and take with it what they have not read.
    fn ended(&self) -> bool {
        let (floor, shutdown) = (&self.floor, &self.floor.shutdown);
        if self.listener.is_some() || !shutdown.closed(floor.now) || !floor.commands.is_empty() {
            return false;
        }
        let out = shutdown.out_at().is_some_and(|at| floor.now >= at);
        floor.peers.iter().all(|(_, peer)| match peer {
            Peer::Client(client) => out && !client.busy(),
            _ => true,
        })
    }

    /// Stops to accept, and sends away all clients that are owed nothing.
    fn close(&mut self) {
        // Those that the kernel has accepted for this host already are its own.
        let mut peers = usize::MAX;
        while std::mem::replace(&mut peers, self.floor.peers.len()) != self.floor.peers.len() {
            self.accept();
        }
        self.listener = None;
        let stays = |peer: &Peer| matches!(peer, Peer::Client(client) if !client.closing);
        let clients = self.floor.peers.iter().filter(|(_, peer)| stays(peer));
        let clients: Vec<usize> = clients.map(|(key, _)| key).collect();
        for key in clients {
            // What has come by now is still taken; nothing is after that.
            self.read_client(key);
            let Some(client) = self.floor.client(key) else { continue };
            if client.busy() {
                let serial = client.serial;
                _ = client.stream.set_reading(false);
                self.floor.timers.set(self.floor.now, Timed::Unread(key, serial));
            } else {
                client.closing = true;
                self.flush_client(key);
            }
        }
    }

    /// All that is owed is answered now: the end by force comes next.
    fn finish(&mut self) {
        let now = self.floor.now;
        let out: Vec<(u64, u32)> =
            self.floor.commands.iter().filter_map(|(id, open)| Some((*id, open.out?.0))).collect();
        out.into_iter().for_each(|(command, hand_off)| self.floor.give_up(command, hand_off, Sign::Late));
        self.settle_all();
        let mut held: Vec<u64> = self.floor.commands.keys().copied().collect();
        held.sort_unstable();
        held.into_iter().for_each(|command| self.desk.finish(now, command, &mut self.floor));
    }

    /// Tells the desk what is owed to it and does what it wants, until nothing is left to do now.
    fn settle_all(&mut self) {
        self.run_list_client();
        loop {
            for (command, answer) in std::mem::take(&mut self.floor.owed) {
                self.desk.outcome(self.floor.now, command, answer, &mut self.floor);
                self.floor.release(command);
            }
            self.desk.run(self.floor.now, &mut self.floor);
            for key in std::mem::take(&mut self.floor.again) {
                self.flush_client(key);
            }
            if self.floor.owed.is_empty() && self.floor.again.is_empty() {
                return;
            }
        }
    }

    fn accept(&mut self) {
        for _ in 0..ACCEPTS {
            let Some(listener) = &mut self.listener else { return };
            match listener.accept() {
                Ok((stream, _)) => self.floor.accept(stream),
                Err(error) => match accept_error(&error) {
                    AcceptError::Empty => return,
                    AcceptError::Next => {}
                    // A newcomer takes the place of one that waits for nothing.
                    AcceptError::OutOfDescriptors if self.floor.make_room(|_| true) => {}
                    // Nobody gives way, or that would not help: without a rest the loop would spin.
                    AcceptError::OutOfDescriptors | AcceptError::Short => return self.rest_listener(&error),
                },
            }
        }
    }

    fn rest_listener(&mut self, error: &io::Error) {
        self.accepts_from = self.floor.now + ACCEPT_REST;
        self.floor.request_log.accept_failed(self.floor.now, error);
        if let Some(listener) = &mut self.listener {
            _ = listener.watch(false, false);
        }
    }

    fn timed(&mut self) {
        let now = self.floor.now;
        while let Some(timed) = self.floor.timers.due(now) {
            match timed {
                Timed::Dial(key, serial) => {
                    let late = |l: &mut floor::Link| l.serial == serial && l.stream.connecting();
                    if self.floor.link(key).is_some_and(late) {
                        self.floor.end_link(key, Sign::Late);
                    }
                }
                Timed::Answer(key, serial) => self.floor.look_at_answer(key, serial),
                Timed::HandOff(command, hand_off) => self.floor.give_up(command, hand_off, Sign::Late),
                Timed::Client(key, serial) => self.client_late(key, serial),
                Timed::Unread(key, serial) => self.unread(key, serial),
            }
        }
        if self.reload.is_due(now) {
            self.read_anew();
        }
        for key in self.floor.pool.retired(now) {
            self.floor.drop_link(key, UpstreamClosed::Retired);
        }
        if now >= self.accepts_from {
            if let Some(listener) = &mut self.listener {
                _ = listener.watch(true, false);
            }
        }
        if self.floor.shutdown.closed(now) && self.listener.is_some() {
            self.close();
        }
        if self.floor.shutdown.over_at().is_some_and(|at| now >= at) && !self.floor.commands.is_empty() {
            self.finish();
        }
        if now >= self.tells_at {
            self.tells_at = now + TELL_EVERY;
            self.tell_counters();
        }
    }

    fn tell_counters(&self) {
        let (floor, client) = (&self.floor, &self.floor.list_client);
        tracing::info!(
            in_hand = floor.commands.len(), clients = floor.clients, peers = floor.peers.len(),
            nodes = floor.nodes.len(), counts = ?floor.counts, "counters"
        );
        tracing::info!(
            address = %floor.discovery, generation = client.generation(), validity = ?self.validity,
            age_ms = client.age(floor.now).round(),
            next_call_in_ms = (client.next_call_at() - floor.now).round(),
            calls_out = client.calls_out(), former_calls_out = client.former_calls_out(),
            counts = ?floor.discovery_log.counts, "discovery counters"
        );
        tracing::info!(counts = ?floor.request_log.counts, "request counters");
    }

    /// A client's time is over: one that sent nothing whole is told so, or let go.
    fn client_late(&mut self, key: usize, serial: u64) {
        let now = self.floor.now;
        let Some(client) = self.floor.client(key).filter(|c| c.serial == serial) else { return };
        client.timed = false;
        let ends = client.began + clients::PATIENCE;
        let written = client.stream.written_in_all();
        if client.stream.pending() > 0 && written > client.written {
            client.written = written;
            self.floor.client_waits(key, now);
        } else if client.closing || client.stream.pending() > 0 {
            // A client that does not read its answer would keep it, and its place, for ever.
            let why = if client.stream.pending() > 0 { Closed::Unread } else { Closed::Finished };
            self.end_client(key, why);
        } else if client.open.is_some() {
            // It is owed something and is not looked at until that is done.
        } else if client.partial() && now < ends - 1.0 {
            let began = client.began;
            self.floor.client_waits(key, began);
        } else if client.partial() {
            self.floor.refuse(key, Refused { status: 408, why: "the request did not come whole" }, true);
        } else if client.asked == 0 {
            self.end_client(key, Closed::Idle);
        }
    }

    fn writable(&mut self, key: usize) {
        match self.floor.peers.get_mut(key) {
            Some(Peer::Client(_)) => self.flush_client(key),
            Some(Peer::Link(_)) => self.floor.flush_link(key),
            Some(Peer::Call(_)) => self.flush_call(key),
            None => {}
        }
    }

    fn readable(&mut self, key: usize) {
        match self.floor.peers.get(key) {
            Some(Peer::Client(_)) => self.read_client(key),
            Some(Peer::Link(_)) => self.floor.read_link(key),
            Some(Peer::Call(_)) => self.read_call(key),
            None => {}
        }
    }

    fn client_gone(&mut self, key: usize) {
        self.end_client(key, Closed::ByClient);
    }

    /// Ends a client's connection. What is open on it has nobody to be answered to any more.
    fn end_client(&mut self, key: usize, why: Closed) {
        if let Some(command) = self.floor.drop_client(key, why) {
            self.floor.counts.gone += 1;
            self.floor.log_client_gone(command);
            if let Some(open) = self.floor.commands.get_mut(&command) {
                open.client = None;
            }
            self.desk.abandoned(self.floor.now, command);
            self.floor.client_left(command);
            self.floor.release(command);
        }
    }

    /// A client whose bytes are not read, as the host has closed, may have gone behind them.
    fn unread(&mut self, key: usize, serial: u64) {
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

    fn flush_client(&mut self, key: usize) {
        let now = self.floor.now;
        let Some(client) = self.floor.client(key) else { return };
        if client.stream.flush().is_err() {
            return self.client_gone(key);
        }
        if client.stream.pending() > 0 {
            return self.floor.client_waits(key, now);
        }
        // What came early waited for the answer before it to be gone.
        if client.open.is_none() && !client.closing && client.partial() {
            return self.requests(key);
        }
        if client.closing && client.open.is_none() {
            // What it still sends is read for a while and thrown away: an end with bytes unread would take the
            // answer away from a client that has not read it yet.
            client.stream.end_writing();
            _ = client.stream.set_reading(true);
            let serial = client.serial;
            self.floor.timers.set(now + clients::LINGER, Timed::Client(key, serial));
        }
    }

    fn read_client(&mut self, key: usize) {
        let (now, age) = (self.floor.now, self.floor.age);
        let Some(client) = self.floor.client(key) else { return };
        let (empty, before) = (!client.partial(), client.stream.input().len());
        let filled = client.stream.fill();
        // A connection that is not read says only that it is over.
        if filled.is_err() || !client.stream.reading() {
            return self.client_gone(key);
        }
        if client.closing {
            client.thrown += client.stream.input().len();
            client.stream.discard();
            if client.thrown > clients::THROWN {
                _ = client.stream.set_reading(false);
            }
            return;
        }
        if empty {
            client.began = now - age;
        }
        if empty || !client.busy() {
            client.came = now - age;
        }
        self.floor.keep_early(key, before);
        match self.floor.client(key).is_some_and(|c| c.thrown > clients::THROWN) {
            true => self.client_gone(key),
            false => self.requests(key),
        }
    }

    /// Takes the next request of a client, if it is whole and nothing is open.
    fn requests(&mut self, key: usize) {
        let (now, ready) = (self.floor.now, self.ready());
        let leaves = self.floor.shutdown.closed(now);
        let Some(client) = self.floor.client(key) else { return };
        // One that does not read its answers would else have the host hold one for each request that it sent.
        if client.busy() || client.closing || !client.partial() {
            return;
        }
        let began = client.began;
        // Once the host has closed nothing more is read but what came before: a client whose request crossed the end
        // of its connection unread asks elsewhere.
        if !leaves {
            _ = client.stream.set_reading(true);
        }
        let input = client.stream.take_input();
        let (used, whole) = match client.requests.read(&input) {
            Ok(read) => read,
            Err(refused) => return self.floor.refuse(key, refused, true),
        };
        let Some(whole) = whole else {
            client.stream.give_back(input, used);
            if leaves || client.thrown > 0 {
                client.closing = true;
                return self.flush_client(key);
            }
            if client.requests.expects() {
                client.stream.output().extend_from_slice(http1::CONTINUE);
                if client.stream.flush().is_err() {
                    return self.client_gone(key);
                }
            }
            return self.floor.client_waits(key, began);
        };
        let request = match http1::request(&whole.head) {
            Ok(request) => request,
            Err(refused) => return self.floor.refuse(key, refused, true),
        };
        let came = client.came;
        (client.asked, client.since, client.last) = (client.asked.saturating_add(1), now, request.close);
        if !http1::begins_like_a_request(&input[used..]) {
            let why = "the length is not that of the body";
            return self.floor.refuse(key, Refused { status: 400, why }, true);
        }
        if let Err(refused) = self.taken(key, &request, &whole.body, now - came, ready) {
            self.floor.refuse(key, refused, false);
        }
        if let Some(client) = self.floor.client(key) {
            client.stream.give_back(input, used);
            // What is left came early: it is as old as the last bytes at most.
            client.began = now;
        }
    }

    /// Takes a request as a command, or answers it as a question about this host.
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
        let mut taken = ask::command(request, body.len(), &self.floor.door, used, number)?;
        if let Some(over) = self.floor.shutdown.over_at() {
            taken.command.time_limit = taken.command.time_limit.min(over - self.floor.now);
        }
        if self.floor.ids.contains_key(id) {
            return Err(Refused { status: 409, why: "the X-Request-Id is open already" });
        }
        let once = |name, why| request.fields.one(name).map_err(|_| Refused { status: 400, why });
        let fingerprint = once("idempotency-key", "there may be one Idempotency-Key")?;
        let mut head = Vec::with_capacity(256);
        let length = body.len().to_string();
        let mut fields: Vec<(&str, &[u8])> = Vec::new();
        for name in ["Host", "X-Request-Id", "X-Class", "X-Qos-Policy", "X-Placement"] {
            let value = once(name, "a field stands twice")?;
            fields.extend(value.map(|value| (name, value)));
        }
        fields.extend(fingerprint.map(|value| ("Idempotency-Key", value)));
        fields.extend((request.method != "GET").then_some(("Content-Length", length.as_bytes())));
        http1::write_request_head(&mut head, request.method, request.target, &fields);
        let open = Open {
            client: Some(key),
            id: id.to_string(),
            head,
            body: body.to_vec(),
            out: None,
            taken_at: self.floor.now,
            attempts: 0,
            last: None,
        };
        self.floor.ids.insert(id.to_string(), number);
        self.floor.commands.insert(number, open);
        self.floor.counts.taken += 1;
        if let Some(client) = self.floor.client(key) {
            client.open = Some(number);
            let (serial, in_front) = (client.serial, client.asked.saturating_sub(1));
            self.floor.request_log.taken(serial, id, number, in_front);
        }
        self.desk.take(self.floor.now, taken, &mut self.floor);
        Ok(())
    }

    fn ready(&self) -> bool {
        self.floor.now >= self.ready_at && !self.floor.shutdown.goes()
    }
}

/// The wall clock's Unix time in milliseconds.
fn unix_time() -> f64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0.0, |time| time.as_secs_f64() * 1000.0)
}

/// Takes what a signal left; whether one came.
fn signalled(from: &mut Registered<UnixStream>) -> bool {
    let mut marks = [0; 64];
    let mut any = false;
    while matches!(from.read(&mut marks), Ok(n) if n > 0) {
        any = true;
    }
    any
}
