//! A host of the platform as a process, with emulated services of the platform's nodes and discovery on loopback. They read
//! and write HTTP by hand, so that nothing of the program vouches for itself.

use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Longer than anything here takes; what is not there by then is not coming.
pub const SOON: Duration = Duration::from_secs(10);

/// One HTTP message as it came: its first line, its fields and its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// None where the peer ended before a message was whole.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut line = String::new();
        let mut next = |from: &mut dyn BufRead| {
            line.clear();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            line.strip_suffix("\r\n").map(str::to_string)
        };
        let first = next(from)?;
        let mut fields = Vec::new();
        loop {
            let field = next(from)?;
            match field.split_once(": ") {
                Some((name, value)) => fields.push((name.to_ascii_lowercase(), value.to_string())),
                None => break,
            }
        }
        let mut message = Message { line: first, fields, body: Vec::new() };
        let length = message.field("content-length").map_or(0, |n| n.parse().unwrap());
        message.body = vec![0; length];
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|f| f.0 == name).map(|f| f.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

/// What a node does with a request.
#[derive(Clone, Debug)]
pub enum Does {
    /// Writes these bytes; `{body}` stands for the answer made for the request.
    Writes(&'static str),
    /// As that, then it ends the connection.
    WritesAndEnds(&'static str),
    /// As that, then it breaks the connection.
    WritesAndBreaks(&'static str),
    /// Ends the connection without an answer.
    Resets,
    /// Nothing, and keeps the connection.
    Nothing,
    /// Serves so many bytes.
    Fills(usize),
    /// Serves after a while.
    Waits(Duration),
    /// Writes all but the end of an answer of so many bytes, and then one byte now and then.
    Dribbles(usize),
    /// Serves, but first something that belongs to an exchange before it on this connection arrives.
    ServesBehind(Stray),
    /// Serves, and so long after that writes the answer once more, where nothing else waits on the connection.
    CopiesAfter(Duration),
}

/// Bytes that belong to no open exchange.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stray {
    /// The last answer on this connection once more.
    Copy,
    /// The answer before the last.
    EarlierCopy,
    /// All but the last bytes, so many, of a copy of the last answer.
    CutCopy(usize),
    Noise,
    /// An interim answer: it is none, and harms nobody.
    Interim,
}

impl Stray {
    fn bytes(self, answers: &[Vec<u8>]) -> Vec<u8> {
        let copy = |back: usize| answers.iter().rev().nth(back).cloned().unwrap_or_default();
        match self {
            Stray::Copy => copy(0),
            Stray::EarlierCopy => copy(1),
            Stray::CutCopy(left) => {
                let mut bytes = copy(0);
                bytes.truncate(bytes.len().saturating_sub(left));
                bytes
            }
            Stray::Noise => b"\x01\x02noise".to_vec(),
            Stray::Interim => b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(),
        }
    }
}

pub const SERVED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{body}";
pub const FULL: &str = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
pub const FAILED: &str = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";

/// The answer that a node makes for a request: its id, filled up.
pub fn made_for(id: &str) -> String {
    format!("{id:-<24}")
}

/// A emulated service node: what it is to do next, and what reached it.
#[derive(Default)]
pub struct Node {
    script: Mutex<VecDeque<Does>>,
    /// What it does when the script is over, in place of serving.
    always: Mutex<Option<Does>>,
    pub got: Mutex<Vec<Message>>,
    pub connections: AtomicU64,
    came: Condvar,
}

impl Node {
    pub fn does(&self, script: &[Does]) {
        self.script.lock().unwrap().extend(script.iter().cloned());
    }

    pub fn always(&self, does: Does) {
        *self.always.lock().unwrap() = Some(does);
    }

    pub fn count(&self) -> usize {
        self.got.lock().unwrap().len()
    }

    /// Waits until so many requests have come in all.
    pub fn has_got(&self, n: usize) {
        let got = self.got.lock().unwrap();
        let (got, late) = self.came.wait_timeout_while(got, SOON, |got| got.len() < n).unwrap();
        assert!(!late.timed_out(), "{} of {n} requests came", got.len());
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        self.connections.fetch_add(1, Ordering::SeqCst);
        let (mut reader, mut stream) = (BufReader::new(stream.try_clone().ok()?), stream);
        let mut answers: Vec<Vec<u8>> = Vec::new();
        loop {
            let message = Message::read(&mut reader)?;
            let id = message.field("x-request-id").unwrap_or_default().to_string();
            self.got.lock().unwrap().push(message);
            self.came.notify_all();
            let next = self.script.lock().unwrap().pop_front();
            let does = next.or_else(|| self.always.lock().unwrap().clone()).unwrap_or(Does::Writes(SERVED));
            let filled = |bytes: &str| bytes.replace("{body}", &made_for(&id)).into_bytes();
            match does {
                Does::ServesBehind(stray) => {
                    // On a fresh connection there is nothing that could have been left.
                    if !answers.is_empty() {
                        stream.write_all(&stray.bytes(&answers)).ok()?;
                    }
                    // As two segments, as they would come from two writes.
                    std::thread::sleep(Duration::from_millis(1));
                    stream.write_all(&filled(SERVED)).ok()?;
                }
                Does::CopiesAfter(late) => {
                    stream.write_all(&filled(SERVED)).ok()?;
                    std::thread::sleep(late);
                    if reader.buffer().is_empty() && nothing_waits(&stream) {
                        stream.write_all(&filled(SERVED)).ok()?;
                    }
                }
                Does::Writes(bytes) => stream.write_all(&filled(bytes)).ok()?,
                Does::WritesAndEnds(bytes) => {
                    stream.write_all(&filled(bytes)).ok()?;
                    _ = stream.shutdown(Shutdown::Both);
                    return None;
                }
                Does::WritesAndBreaks(bytes) => {
                    stream.write_all(&filled(bytes)).ok()?;
                    breaks(&stream);
                    return None;
                }
                Does::Resets => {
                    _ = stream.shutdown(Shutdown::Both);
                    return None;
                }
                Does::Nothing => {}
                Does::Fills(length) => {
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                    stream.write_all(head.as_bytes()).ok()?;
                    stream.write_all(&vec![b'x'; length]).ok()?;
                }
                Does::Dribbles(length) => {
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                    stream.write_all(head.as_bytes()).ok()?;
                    stream.write_all(&vec![b'x'; length - 1000]).ok()?;
                    for _ in 0..1000 {
                        std::thread::sleep(Duration::from_millis(10));
                        stream.write_all(b"x").ok()?;
                    }
                }
                Does::Waits(time) => {
                    std::thread::sleep(time);
                    stream.write_all(&filled(SERVED)).ok()?;
                }
            }
            answers.push(filled(SERVED));
        }
    }
}

/// Whether no byte of a further request has come.
fn nothing_waits(stream: &TcpStream) -> bool {
    _ = stream.set_nonblocking(true);
    let waits = matches!(stream.peek(&mut [0]), Ok(n) if n > 0);
    _ = stream.set_nonblocking(false);
    !waits
}

/// Numbers that look random, the same for the same seed.
pub struct Seeded(u64);

impl Seeded {
    pub fn new(seed: u64) -> Seeded {
        Seeded(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// Has the connection end with a reset once it is let go.
fn breaks(stream: &TcpStream) {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// A node that nobody can connect to until it is let: its queue of connections to accept is full.
pub struct Walled {
    listener: Socket,
    pub address: SocketAddr,
    fills: Vec<Socket>,
}

impl Walled {
    pub fn new() -> Walled {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let mut walled = Walled { listener, address, fills: Vec::new() };
        walled.shuts();
        walled
    }

    /// Fills the queue: whoever connects now gets no word.
    pub fn shuts(&mut self) {
        loop {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            if socket.connect_timeout(&self.address.into(), Duration::from_millis(100)).is_err() {
                return;
            }
            self.fills.push(socket);
        }
    }

    /// Empties the queue: whoever connects from now on, or tries again, comes through.
    pub fn opens(&mut self) {
        for _ in self.fills.drain(..) {
            _ = self.listener.accept().unwrap();
        }
    }

    /// The next connection.
    pub fn accepts(&self) -> TcpStream {
        let stream: TcpStream = self.listener.accept().unwrap().0.into();
        stream.set_read_timeout(Some(SOON)).unwrap();
        stream
    }

    /// How many connections to it are coming up, as the kernel has them.
    pub fn knocks(&self) -> usize {
        in_table(|f| f.remote == self.address && f.state == "02")
    }
}

/// A connection in the kernel's table.
struct Row<'a> {
    local: SocketAddr,
    remote: SocketAddr,
    state: &'a str,
}

fn in_table(of: impl Fn(&Row) -> bool) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let address = |text: &str| {
        let (ip, port) = text.split_once(':').unwrap();
        let ip = u32::from_str_radix(ip, 16).unwrap().to_le_bytes();
        SocketAddr::from((ip, u16::from_str_radix(port, 16).unwrap()))
    };
    let rows = table.lines().skip(1).map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let mut next = || fields.next().unwrap();
        Row { local: address(next()), remote: address(next()), state: next() }
    });
    rows.filter(|row| of(row)).count()
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

pub fn accept(listener: TcpListener, serve: impl Fn(TcpStream) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
}

/// What discovery does with its calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mood {
    #[default]
    Good,
    /// Reads calls and answers none.
    Silent,
    Busy,
    /// Answers with what is no list.
    Odd,
}

#[derive(Default)]
pub struct List {
    generation: u64,
    instances: Vec<Value>,
    mood: Mood,
    calls: Vec<String>,
}

/// A emulated service discovery.
#[derive(Default)]
pub struct Discovery {
    list: Mutex<List>,
    changed: Condvar,
}

impl Discovery {
    pub fn new(instances: Vec<Value>) -> (Arc<Discovery>, SocketAddr) {
        let discovery = Arc::new(Discovery::default());
        discovery.tells(instances);
        let (listener, address) = listen();
        let serving = discovery.clone();
        accept(listener, move |stream| _ = serving.serve(stream));
        (discovery, address)
    }

    /// Waits until something is so of the calls that came.
    pub fn is_asked(&self, what: &str, so: impl Fn(&[String]) -> bool) {
        let until = Instant::now() + SOON;
        while !so(&self.calls()) {
            assert!(Instant::now() < until, "{what}: not by now: {:?}", self.calls());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn tells(&self, instances: Vec<Value>) {
        let mut list = self.list.lock().unwrap();
        (list.generation, list.instances) = (list.generation + 1, instances);
        self.changed.notify_all();
    }

    pub fn mood(&self, mood: Mood) {
        self.list.lock().unwrap().mood = mood;
        self.changed.notify_all();
    }

    pub fn calls(&self) -> Vec<String> {
        self.list.lock().unwrap().calls.clone()
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let (mut reader, mut stream) = (BufReader::new(stream.try_clone().ok()?), stream);
        loop {
            let message = Message::read(&mut reader)?;
            let target = message.line.split(' ').nth(1)?.to_string();
            let named =
                |name: &str| target.split(['?', '&']).find_map(|p| p.strip_prefix(name)?.parse().ok());
            let (after, wait): (Option<u64>, Option<u64>) = (named("after="), named("wait_ms="));
            let mut list = self.list.lock().unwrap();
            list.calls.push(target);
            let wait = Duration::from_millis(wait.unwrap_or(0));
            let same = |list: &mut List| Some(list.generation) == after && list.mood == Mood::Good;
            list = self.changed.wait_timeout_while(list, wait, same).unwrap().0;
            let news = if Some(list.generation) == after { &[][..] } else { &list.instances[..] };
            // A whole list each time that there is news: the simplest that the protocol allows.
            let whole = after != Some(list.generation);
            let told = json!({"generation": list.generation, "reset": whole, "instances": news}).to_string();
            let (status, body) = match list.mood {
                Mood::Silent => continue,
                Mood::Good => (200, told),
                Mood::Busy => (503, String::new()),
                Mood::Odd => (200, "[1,2".to_string()),
            };
            drop(list);
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
        }
    }
}

pub fn instance(id: &str, address: SocketAddr, shard: usize, lifecycle: &str) -> Value {
    json!({"instanceId": id, "hostPort": address.to_string(), "zone": "a", "machineType": "m", "cell": shard,
        "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

/// The limits under which a host runs.
#[derive(Clone, Copy)]
pub struct Limits {
    pub sockets: usize,
    pub memory_mb: usize,
    /// The descriptors that the system gives it, whatever the file says.
    pub given: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 512, memory_mb: 64, given: 1024 }
    }
}

/// The settings of a host, with a class of each effect.
pub fn settings() -> Value {
    json!({
        "balancers": 1, "zones": ["a"], "registry_mode": "ask", "round_ns": 2_000_000,
        "profiles": [
            {"name": "read", "slo_ns": 500_000_000u64, "hard_limit_ns": 3_000_000_000u64, "worth": 3.0,
                "semantics": "idempotent", "window_ns": 5_000_000_000u64},
            {"name": "write", "slo_ns": 500_000_000u64, "hard_limit_ns": 3_000_000_000u64, "worth": 3.0,
                "semantics": "deduplicated", "key_scope": "cell", "window_ns": 1_500_000_000u64},
            {"name": "once", "slo_ns": 500_000_000u64, "hard_limit_ns": 3_000_000_000u64, "worth": 3.0,
                "semantics": "at_most_once"},
        ],
        "service_levels": [{"name": "gold", "price": 1.0, "proportion": 1.0, "rate": 50.0}],
        "limits": {"cancelling": true, "max_attempts": 3, "retry_after": true, "max_retry_after_ns": 500_000_000u64,
            "dial_timeout_ns": 250_000_000u64, "keepalive_ns": 30_000_000_000u64},
        "safety": {"must_ask_in_ns": 10_000_000_000u64, "cold_share": 0.15, "cold_ns": 1_000_000_000u64,
            "tip_after_ns": 2_000_000_000u64, "fall_multiple": 4.0, "order_pause_ns": 100_000_000u64},
        "specifics": {"changes_data": [false, true, true], "n_shards": 16, "units_top": 6, "unit_mean": 2.0,
            "cold_bears": 34.0},
    })
}

/// One host with its world. What it started ends with it.
pub struct Rig {
    pub nodes: Vec<Arc<Node>>,
    pub addresses: Vec<SocketAddr>,
    pub discovery: Arc<Discovery>,
    pub discovery_at: SocketAddr,
    pub host: SocketAddr,
    config: Value,
    file: PathBuf,
    child: Child,
}

static RIGS: AtomicU64 = AtomicU64::new(0);

/// An address for a host, given out once.
pub fn next_address() -> (u64, SocketAddr) {
    let number = RIGS.fetch_add(1, Ordering::SeqCst);
    (number, address(number))
}

/// A host's address is its alone in this and other runs: a port that was free a moment ago on the address that all
/// others use is taken by the next of them.
fn address(rig: u64) -> SocketAddr {
    let [run, high, low] = [u64::from(std::process::id()) % 250, rig / 250, rig % 250].map(|n| n as u8 + 1);
    SocketAddr::from(([127, run, high, low], 9000))
}

impl Rig {
    /// A host that is ready, with a node for each shard.
    pub fn new(nodes: usize) -> Rig {
        Rig::with(nodes, Limits::default())
    }

    pub fn with(nodes: usize, limits: Limits) -> Rig {
        Rig::told(nodes, limits, |_| {})
    }

    /// A host whose socket calls fail now and then, as `shim.c` reads it.
    pub fn with_faults(nodes: usize, limits: Limits, faults: &str) -> Rig {
        Rig::made(nodes, limits, |_| {}, Some(faults))
    }

    /// A host whose settings are others.
    pub fn told(nodes: usize, limits: Limits, others: impl Fn(&mut Value)) -> Rig {
        Rig::made(nodes, limits, others, None)
    }

    fn made(nodes: usize, limits: Limits, others: impl Fn(&mut Value), faults: Option<&str>) -> Rig {
        let (mut stand_ins, mut addresses, mut instances) = (Vec::new(), Vec::new(), Vec::new());
        for shard in 0..nodes {
            let (node, (listener, address)) = (Arc::new(Node::default()), listen());
            let serving = node.clone();
            accept(listener, move |stream| _ = serving.serve(stream));
            instances.push(instance(&format!("s-{shard}"), address, shard, "SERVING"));
            stand_ins.push(node);
            addresses.push(address);
        }
        let (discovery, discovery_at) = Discovery::new(instances);
        let (number, host) = next_address();
        let mut settings = settings();
        others(&mut settings);
        let config = json!({
            "name": "n0", "listen": host.to_string(), "discovery": discovery_at.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "known": {"generation": 0, "reset": true, "instances": []}, "settings": settings,
        });
        let file = std::env::temp_dir().join(format!("magpiewick-{}-{number}.json", std::process::id()));
        std::fs::write(&file, config.to_string()).unwrap();
        let child = program(&file, limits.given, faults);
        let (nodes, child) = (stand_ins, child);
        let rig = Rig { nodes, addresses, discovery, discovery_at, host, config, file, child };
        rig.is_ready();
        rig
    }

    /// Ends the host by force and starts it again with the list that it has now as the one it remembers.
    pub fn comes_back(&mut self) {
        self.starts_again();
        self.is_ready();
    }

    /// As that, without a wait until it is ready.
    pub fn starts_again(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        let list = self.discovery.list.lock().unwrap();
        self.config["known"] =
            json!({"generation": list.generation, "reset": true, "instances": list.instances});
        drop(list);
        std::fs::write(&self.file, self.config.to_string()).unwrap();
        self.child = program(&self.file, Limits::default().given, None);
    }

    fn is_ready(&self) {
        self.comes_to("the host is ready", |rig| rig.says_ready() == Some(200));
    }

    /// The status of the host's word on whether it is ready.
    pub fn says_ready(&self) -> Option<u16> {
        let ready = b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";
        Some(Client::to(self.host).ok()?.asks(ready)?.status())
    }

    pub fn client(&self) -> Client {
        Client::to(self.host).unwrap()
    }

    /// Names another discovery in the file and tells the host so.
    pub fn turns_to(&mut self, discovery: SocketAddr) {
        self.names(discovery);
        self.signal("HUP");
    }

    /// Names another discovery in the file, without a word to the host.
    pub fn names(&mut self, discovery: SocketAddr) {
        self.config["discovery"] = json!(discovery.to_string());
        std::fs::write(&self.file, self.config.to_string()).unwrap();
    }

    pub fn spoils_file(&self) {
        std::fs::write(&self.file, "{").unwrap();
        self.signal("HUP");
    }

    /// Sends a signal to the host by its id.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(sent.unwrap().success());
    }

    /// The descriptors that the host holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// The clients' connections that stand at the host, as the kernel has them.
    pub fn clients(&self) -> usize {
        in_table(|row| row.local == self.host && row.state == "01")
    }

    /// Waits until something is so.
    pub fn comes_to(&self, what: &str, so: impl Fn(&Rig) -> bool) {
        let until = Instant::now() + SOON;
        while !so(self) {
            assert!(Instant::now() < until, "{what}: not by now, {} clients", self.clients());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// The most memory that the host ever took, in kilobytes.
    pub fn most_memory(&self) -> usize {
        self.kilobytes("VmHWM:")
    }

    /// The memory that it takes.
    pub fn memory(&self) -> usize {
        self.kilobytes("VmRSS:")
    }

    fn kilobytes(&self, what: &str) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix(what)).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Hundredths of a second of processor time that the host took; none where it has ended.
    pub fn ticks(&self) -> Option<u64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        let mut fields = stat.rsplit_once(") ")?.1.split(' ').skip(11);
        Some(fields.next()?.parse::<u64>().ok()? + fields.next()?.parse::<u64>().ok()?)
    }

    pub fn runs(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    pub fn ends(&mut self) -> ExitStatus {
        let until = Instant::now() + SOON;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("the host did not end");
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        // Whatever a test has found, its process and file must not outlive it.
        _ = self.child.kill();
        _ = self.child.wait();
        _ = std::fs::remove_file(&self.file);
    }
}

/// The library by which socket calls fail, built once for each run of the tests.
fn shim() -> &'static PathBuf {
    static SHIM: OnceLock<PathBuf> = OnceLock::new();
    SHIM.get_or_init(|| {
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/platform/shim.c");
        let name = format!("shim-{}.so", std::process::id());
        let library = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let mut build = Command::new("cc");
        build.args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(source).arg("-ldl");
        assert!(build.status().unwrap().success(), "the shim does not build");
        library
    })
}

/// Starts a host that is told by this file.
pub fn program(file: &std::path::Path, descriptors: usize, faults: Option<&str>) -> Child {
    let mut command = Command::new("/bin/sh");
    let preload = match faults {
        Some(faults) => format!("LD_PRELOAD={} SHIM_FAULTS={faults}", shim().display()),
        None => String::new(),
    };
    let script = format!("ulimit -n {descriptors}; {preload} exec \"$0\" platform");
    command
        .args(["-c", &script, env!("CARGO_BIN_EXE_magpiewick")])
        .env("PROXY_CONFIG", file)
        .stderr(Stdio::null())
        .stdout(Stdio::null());
    command.spawn().unwrap()
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn to(host: SocketAddr) -> std::io::Result<Client> {
        Client::over(TcpStream::connect(host)?)
    }

    /// A client for which the kernel holds few bytes that it has not read: left to itself it takes up to
    /// `tcp_rmem`'s bound, which differs by a factor of six from one machine to the next.
    pub fn that_takes(bytes: usize, host: SocketAddr) -> Client {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(bytes).unwrap();
        socket.connect(&host.into()).unwrap();
        Client::over(socket.into()).unwrap()
    }

    fn over(stream: TcpStream) -> std::io::Result<Client> {
        stream.set_read_timeout(Some(SOON))?;
        Ok(Client { reader: BufReader::new(stream.try_clone()?), stream })
    }

    pub fn sends(&mut self, bytes: &[u8]) {
        // The host may end a connection before it has read all: what it answers is what counts.
        _ = self.stream.write_all(bytes);
    }

    /// The next answer; none where the connection ended.
    pub fn hears(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    pub fn asks(&mut self, bytes: &[u8]) -> Option<Message> {
        self.sends(bytes);
        self.hears()
    }

    /// Whether the connection stands, with nothing to read, within the time that its reads are given.
    pub fn rests(&mut self) -> bool {
        let mut byte = [0];
        self.stream.peek(&mut byte).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Whether the peer has ended the connection by now, and nothing is left to read.
    pub fn is_over(&mut self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let over = matches!(self.stream.peek(&mut [0]), Ok(0));
        self.stream.set_nonblocking(false).unwrap();
        over
    }

    /// Whether the connection ends without another byte, and not with a reset.
    pub fn ends_in_order(&mut self) -> bool {
        matches!(self.reader.read(&mut [0]), Ok(0))
    }

    /// Whether the connection ends without another byte.
    pub fn ends(&mut self) -> bool {
        let mut byte = [0];
        !matches!(self.reader.read(&mut byte), Ok(n) if n > 0)
    }
}

/// A request's bytes: its id, class, shard and client timeout in milliseconds. Reads have no body.
pub fn command(id: &str, class: &str, shard: i32, limit: u32) -> Vec<u8> {
    let piece = id.bytes().fold(17u64, |sum, b| sum.wrapping_mul(31).wrapping_add(u64::from(b)));
    let (method, body) = if class == "read" { ("GET", "") } else { ("PUT", "some bytes") };
    let length = if class == "read" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /api/00000003b4d60021/{piece:016x}?v=1 HTTP/1.1\r\nHost: backend.local\r\n\
        X-Request-Id: {id}\r\nX-Class: {class}\r\nX-Qos-Policy: gold\r\nX-Deadline: {limit}m\r\n\
        Idempotency-Key: key-{id}\r\n{length}X-Placement: units=2,shard={shard},hosts=1\r\n\r\n{body}"
    )
    .into_bytes()
}
