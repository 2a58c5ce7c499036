//! Stand-ins and test driver for the cases of the second review: discovery, nodes and clients, built with the standard
//! library alone. Each case starts a host with the command of the deploy file, plays its events, and writes
//! what was sent, answered and run to a record.
//!
//! Usage: `harness CASE ROOT RUN_COMMAND TEMPORARY_FOLDER RECORD`. The variable `TROUBLE=0` leaves out the disruption.
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod cases;

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Result of a case: `Err` if the case could not run, otherwise the number of breaks of the rule.
pub type CaseResult = Result<u32, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, run, folder, record] = arguments.as_slice() else {
        eprintln!("usage: harness CASE ROOT RUN_COMMAND TEMPORARY_FOLDER RECORD");
        std::process::exit(2);
    };
    let context = Context {
        root: root.into(),
        run: run.clone(),
        folder: folder.into(),
        record: Record::create(record),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let result = cases::run(case, &context);
    let status = match &result {
        Ok(0) => 0,
        Ok(_) => 1,
        Err(_) => 2,
    };
    let verdict = match result {
        Ok(0) => "the rule held".to_string(),
        Ok(breaks) => format!("the rule was broken {breaks} times"),
        Err(error) => format!("the case could not run: {error}"),
    };
    context.record.line(&format!("verdict: {verdict}"));
    // Every host has been waited for, so that its id may belong to another process now.
    _ = std::fs::remove_file(context.folder.join("processes"));
    println!("{case}: {verdict}");
    std::process::exit(status);
}

/// Surroundings of a case.
pub struct Context {
    pub root: PathBuf,
    pub run: String,
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// Record of a case, with the time of each line.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    fn create(path: &str) -> Record {
        Record(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("the record can be written")))))
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.1} ms  {text}\n", self.now());
        _ = self.0 .1.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn sleep_ms(ms: f64) {
    std::thread::sleep(Duration::from_secs_f64(ms.max(0.0) / 1000.0));
}

/// Loopback address of its own for each party of a run.
pub fn loopback_listener() -> Result<TcpListener, String> {
    static PARTIES: AtomicU64 = AtomicU64::new(1);
    let run = u64::from(std::process::id());
    let party = PARTIES.fetch_add(1, Ordering::SeqCst);
    let ip = [127, (10 + run % 200) as u8, (1 + run / 200 % 250) as u8, (1 + party % 250) as u8];
    TcpListener::bind(SocketAddr::from((ip, 0))).map_err(|e| format!("listening on loopback: {e}"))
}

/// Request as a stand-in received it. `at`: time of its last byte.
#[derive(Clone, Debug)]
pub struct Received {
    pub at: f64,
    pub method: String,
    pub path: String,
    pub id: String,
    pub told_ms: f64,
    pub body: String,
    /// Value of `Idempotency-Key`.
    pub key: String,
    /// Number of the node that received it.
    pub node: usize,
}

/// What a node does with a request after its last byte.
#[derive(Clone, Debug)]
pub enum Deed {
    /// Answers 200 after so many milliseconds.
    Serve(f64),
    /// Resets the connection after so many milliseconds, as a process that dies with the request.
    Reset(f64),
    /// Closes the connection in order after so many milliseconds.
    Close(f64),
    /// Sends these bytes after so many milliseconds.
    Raw(f64, Vec<u8>),
    /// Never answers.
    Silent,
}

type Behaviour = dyn Fn(&Received) -> Deed + Send + Sync;

/// Storage node.
pub struct Node {
    pub address: SocketAddr,
    pub number: usize,
    pub received: Arc<Mutex<Vec<Received>>>,
}

impl Node {
    pub fn start(record: &Record, number: usize, behaviour: impl Fn(&Received) -> Deed + Send + Sync + 'static) -> Result<Node, String> {
        let listener = loopback_listener()?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let received = Arc::new(Mutex::new(Vec::new()));
        let behaviour: Arc<Behaviour> = Arc::new(behaviour);
        let (record, all) = (record.clone(), received.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, all, behaviour) = (record.clone(), all.clone(), behaviour.clone());
                std::thread::spawn(move || serve_node(stream, number, &record, &all, &*behaviour));
            }
        });
        Ok(Node { address, number, received })
    }

    pub fn all_received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }
}

fn serve_node(mut stream: TcpStream, number: usize, record: &Record, all: &Mutex<Vec<Received>>, behaviour: &Behaviour) {
    _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(message) = read_message(&mut stream, &mut buffer) {
        let mut start = message.start.split(' ');
        let (method, path) = (start.next().unwrap_or_default(), start.next().unwrap_or_default());
        let header = |name: &str| message.headers.get(name).cloned().unwrap_or_default();
        let told = header("x-deadline");
        let told_ms = match told.strip_suffix('m') {
            Some(ms) => ms.parse().unwrap_or(f64::NAN),
            None => told.trim_end_matches('u').parse::<f64>().unwrap_or(f64::NAN) / 1000.0,
        };
        let received = Received {
            at: record.now(),
            method: method.to_string(),
            path: path.to_string(),
            id: header("x-request-id"),
            told_ms,
            body: String::from_utf8_lossy(&message.body).into_owned(),
            key: header("idempotency-key"),
            node: number,
        };
        all.lock().unwrap().push(received.clone());
        let deed = behaviour(&received);
        record.line(&format!(
            "node {number} received {} of {} {}, told {} ms, and will {deed:?}",
            received.id, received.method, received.path, received.told_ms
        ));
        match deed {
            Deed::Serve(ms) => {
                sleep_ms(ms);
                let body = format!("data for {}", received.id);
                let response = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Request-Id: {}\r\n\r\n{body}",
                    body.len(),
                    received.id
                );
                if stream.write_all(response.as_bytes()).is_err() {
                    return;
                }
                record.line(&format!("node {number} served {}", received.id));
            }
            Deed::Raw(ms, bytes) => {
                sleep_ms(ms);
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
            Deed::Reset(ms) => {
                sleep_ms(ms);
                reset(stream);
                return;
            }
            Deed::Close(ms) => return sleep_ms(ms),
            Deed::Silent => {
                // The connection stays open until the host ends it.
                _ = stream.read(&mut [0; 1]);
                return;
            }
        }
    }
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: the descriptor is open, and the value has the size that is passed.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}

/// HTTP message.
pub struct Message {
    pub start: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads a message with a stated length; none at the end of the stream.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if !fill(stream, buffer) {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next()?.to_string();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let headers: HashMap<String, String> =
        fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string())).collect();
    let length: usize = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    while buffer.len() < end + length {
        if !fill(stream, buffer) {
            return None;
        }
    }
    let body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Some(Message { start, headers, body })
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut chunk = [0; 16384];
    match stream.read(&mut chunk) {
        Ok(0) | Err(_) => false,
        Ok(length) => {
            buffer.extend_from_slice(&chunk[..length]);
            true
        }
    }
}

/// Entry of the node list.
#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: usize,
    pub lifecycle: &'static str,
    pub started_at_ms: u64,
}

impl Instance {
    pub fn serving(id: &str, node: &Node, cell: usize) -> Instance {
        Instance {
            id: id.to_string(),
            address: node.address,
            zone: "a".to_string(),
            cell,
            lifecycle: "SERVING",
            started_at_ms: 0,
        }
    }

    fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"m1\",\"cell\":{},\
             \"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":{}}}",
            self.id, self.address, self.zone, self.cell, self.lifecycle, self.started_at_ms
        )
    }
}

fn list_json<'a>(generation: u64, reset: bool, instances: impl Iterator<Item = &'a Instance>) -> String {
    let entries: Vec<String> = instances.map(Instance::json).collect();
    format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{}]}}", entries.join(","))
}

#[derive(Default)]
struct ListState {
    generation: u64,
    /// Instances by id, each with the generation of its last change.
    instances: Vec<(u64, Instance)>,
}

/// Discovery service, with watches.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<ListState>, Condvar)>,
}

impl Discovery {
    pub fn start(record: &Record, instances: Vec<Instance>) -> Result<Discovery, String> {
        let listener = loopback_listener()?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let list = ListState { generation: 41, instances: instances.into_iter().map(|i| (41, i)).collect() };
        let state = Arc::new((Mutex::new(list), Condvar::new()));
        let (record, shared) = (record.clone(), state.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, shared) = (record.clone(), shared.clone());
                std::thread::spawn(move || serve_discovery(stream, &record, &shared));
            }
        });
        Ok(Discovery { address, state })
    }

    /// Changes the list; watches are answered.
    pub fn change(&self, instance: Instance) {
        let (list, changed) = &*self.state;
        let mut list = list.lock().unwrap();
        list.generation += 1;
        let generation = list.generation;
        list.instances.retain(|(_, other)| other.id != instance.id);
        list.instances.push((generation, instance));
        changed.notify_all();
    }

    /// The whole list in discovery's form.
    pub fn list(&self) -> String {
        let list = self.state.0.lock().unwrap();
        whole_list(&list)
    }
}

fn whole_list(list: &ListState) -> String {
    let listed = list.instances.iter().map(|(_, instance)| instance).filter(|i| i.lifecycle != "DELETED");
    list_json(list.generation, true, listed)
}

fn serve_discovery(mut stream: TcpStream, record: &Record, shared: &(Mutex<ListState>, Condvar)) {
    _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(message) = read_message(&mut stream, &mut buffer) {
        let target = message.start.split(' ').nth(1).unwrap_or_default();
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let parameter = |name: &str| {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<f64>().ok())
        };
        let after = parameter("after").map(|after| after as u64);
        let wait = Duration::from_secs_f64(parameter("wait_ms").unwrap_or(0.0).min(60_000.0) / 1000.0);
        let (list, changed) = shared;
        let mut list = list.lock().unwrap();
        let body = match after {
            None => whole_list(&list),
            Some(after) => {
                let is_current = |list: &mut ListState| list.generation <= after;
                (list, _) = changed.wait_timeout_while(list, wait, is_current).unwrap();
                let news = list.instances.iter().filter(|(generation, _)| *generation > after);
                list_json(list.generation, false, news.map(|(_, instance)| instance))
            }
        };
        drop(list);
        if body.contains("DRAINING") || body.contains("DELETED") {
            record.line(&format!("discovery tells {body}"));
        }
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// Host started by the command of the deploy file.
pub struct Host {
    pub address: SocketAddr,
    child: Child,
    record: Record,
}

impl Host {
    /// Starts a host and waits until it is ready.
    pub fn start(context: &Context, settings: &str, discovery: &Discovery) -> Result<Host, String> {
        let listener = loopback_listener()?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        drop(listener);
        let config = format!(
            "{{\"name\":\"n1\",\"listen\":\"{address}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"known\":{},\"settings\":{settings}}}",
            discovery.address,
            discovery.list()
        );
        let file = context.folder.join("config.json");
        std::fs::write(&file, config).map_err(|e| format!("writing the configuration: {e}"))?;
        let log = File::create(context.folder.join("host.log")).map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", &context.run])
            .current_dir(&context.root)
            .env("PROXY_NAME", "n1")
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_DISCOVERY", discovery.address.to_string())
            .env("PROXY_CONFIG", &file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|e| e.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|e| format!("starting the host: {e}"))?;
        _ = std::fs::write(context.folder.join("processes"), format!("{}\n", child.id()));
        let host = Host { address, child, record: context.record.clone() };
        for _ in 0..200 {
            sleep_ms(50.0);
            let Ok(mut client) = Client::connect(host.address) else { continue };
            client.send(b"GET /ready HTTP/1.1\r\nHost: backend.local\r\n\r\n");
            if let Reply::Response { status: 200, .. } = client.reply(500.0) {
                host.record.line("the host is ready");
                return Ok(host);
            }
        }
        Err("the host did not become ready within 10 s".to_string())
    }

    pub fn signal(&self, signal: i32) {
        let name = match signal {
            SIGHUP => "SIGHUP",
            SIGTERM => "SIGTERM",
            SIGCONT => "SIGCONT",
            SIGSTOP => "SIGSTOP",
            _ => "a signal",
        };
        self.record.line(&format!("{name} to the host"));
        // SAFETY: the call passes two numbers; the process is a child of this one that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn sigkill(&mut self) {
        self.record.line("SIGKILL to the host");
        _ = self.child.kill();
        _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// What a client saw in answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Response { status: u16, body: String, close: bool },
    /// The connection was closed in order without an answer.
    Closed,
    /// The connection was reset without an answer.
    Reset,
    /// Nothing came in time.
    Nothing,
}

/// Connection of a client.
pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Result<Client, String> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        Ok(Client { stream, buffer: Vec::new() })
    }

    /// Sends bytes; false where the connection has failed.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Waits for the next answer.
    pub fn reply(&mut self, timeout_ms: f64) -> Reply {
        let until = Instant::now() + Duration::from_secs_f64(timeout_ms / 1000.0);
        loop {
            if let Some(reply) = self.take_response() {
                return reply;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Reply::Nothing;
            }
            _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let mut chunk = [0; 16384];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Reply::Closed,
                Ok(length) => self.buffer.extend_from_slice(&chunk[..length]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Reply::Reset,
            }
        }
    }

    /// Reads answers without looking at them; returns how many heads have ended, at least `wanted` unless the connection has
    /// ended or nothing came in time.
    pub fn skip_replies(&mut self, wanted: usize, timeout_ms: f64) -> usize {
        _ = self.stream.set_read_timeout(Some(Duration::from_secs_f64(timeout_ms / 1000.0)));
        let (mut heads, mut matched, mut chunk) = (0, 0, [0; 65536]);
        while heads < wanted {
            let Ok(length @ 1..) = self.stream.read(&mut chunk) else { break };
            for byte in &chunk[..length] {
                matched = match (*byte, matched) {
                    (b'\r', 0 | 2) | (b'\n', 1 | 3) => matched + 1,
                    (b'\r', _) => 1,
                    _ => 0,
                };
                if matched == 4 {
                    (heads, matched) = (heads + 1, 0);
                }
            }
        }
        heads
    }

    fn take_response(&mut self) -> Option<Reply> {
        let end = self.buffer.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.buffer[..end]).to_ascii_lowercase();
        let status: u16 = head.split(' ').nth(1)?.parse().ok()?;
        let length = head.split("\r\n").find_map(|line| line.strip_prefix("content-length:"));
        let length: usize = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
        if self.buffer.len() < end + length {
            return None;
        }
        let body = String::from_utf8_lossy(&self.buffer[end..end + length]).into_owned();
        let close = head.contains("connection: close");
        self.buffer.drain(..end + length);
        Some(Reply::Response { status, body, close })
    }
}

/// Request of a client.
pub struct Ask<'a> {
    pub method: &'a str,
    pub class: &'a str,
    pub volume: u64,
    pub piece: u64,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub shard: i32,
    /// Value of `Idempotency-Key`, for a keyed class.
    pub key: Option<&'a str>,
    pub body: &'a str,
}

impl Ask<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "{} /api/{:016x}/{:016x} HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {}\r\nX-Class: {}\r\n\
             X-Qos-Policy: gold\r\nX-Deadline: {}m\r\nX-Placement: units=2,shard={},hosts=1\r\n",
            self.method, self.volume, self.piece, self.id, self.class, self.deadline_ms, self.shard
        );
        if let Some(key) = self.key {
            _ = write!(head, "Idempotency-Key: {key}\r\n");
        }
        if self.method == "PUT" {
            _ = write!(head, "Content-Length: {}\r\n", self.body.len());
        }
        head.push_str("\r\n");
        head.push_str(self.body);
        head.into_bytes()
    }
}

/// Flag that threads share.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
