//! A run of the soak: hosts as processes, their nodes, discoveries and clients, and what is done to them.

use crate::client::{Client, Request};
use crate::lateness::Lateness;
use crate::node::{Attempt, Node};
use crate::plan::Plan;
use crate::relay::Relay;
use crate::rig::{instance, next_address, program, settings, Discovery, Seeded};
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The end by force comes so long after the longest deadline that the page heeds.
const KILL_BEHIND: Duration = Duration::from_millis(700);
const MOST_HEEDED: Duration = Duration::from_secs(3);
/// How long hosts serve before the first is told to end, and how much later the next one is.
const SERVES: Duration = Duration::from_millis(1200);
const NEXT_END: Duration = Duration::from_millis(250);
const STALL: Duration = Duration::from_millis(140);
/// A host must be ready by then.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// How a process of a host ended.
#[derive(Clone, Debug)]
pub struct Exit {
    pub host: usize,
    /// When it was told to end; none where nobody had told it.
    pub told: Option<Instant>,
    pub at: Instant,
    /// What it ended with by itself; none where it was killed.
    pub status: Option<ExitStatus>,
}

struct Host {
    number: usize,
    address: SocketAddr,
    file: PathBuf,
    config: Value,
    child: Child,
}

impl Host {
    fn start(plan: &Plan, number: usize, discovery: SocketAddr, known: &[Value]) -> Host {
        let (file_number, address) = next_address();
        let mut settings = settings();
        settings["balancers"] = json!(plan.hosts);
        for profile in settings["profiles"].as_array_mut().unwrap() {
            let longest = plan.longest.as_nanos() as u64;
            profile["hard_limit_ns"] = json!(longest);
            profile["slo_ns"] = json!(longest / 2);
        }
        let config = json!({
            "name": format!("n{number}"), "listen": address.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{:016x}", plan.seed * 64 + number as u64 + 1),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
            "known": {"generation": 1, "reset": true, "instances": known}, "settings": settings,
        });
        let name = format!("magpiewick-soak-{}-{file_number}.json", std::process::id());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, config.to_string()).unwrap();
        let child = program(&file, 1024, None);
        let host = Host { number, address, file, config, child };
        host.is_ready();
        host
    }

    fn is_ready(&self) {
        let until = Instant::now() + READY_WITHIN;
        while TcpStream::connect(self.address).is_err() {
            assert!(Instant::now() < until, "host {} is not ready", self.number);
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    /// Names another discovery in its file and tells it so.
    fn turns_to(&mut self, discovery: SocketAddr) {
        self.config["discovery"] = json!(discovery.to_string());
        std::fs::write(&self.file, self.config.to_string()).unwrap();
        self.signal("HUP");
    }

    /// Waits until it ends by itself, and kills it at that time where it has not.
    fn ends_by(&mut self, told: Instant, kill: Instant) -> Exit {
        while Instant::now() < kill {
            if let Some(status) = self.child.try_wait().unwrap() {
                return Exit {
                    host: self.number,
                    told: Some(told),
                    at: Instant::now(),
                    status: Some(status),
                };
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        _ = self.child.kill();
        _ = self.child.wait();
        Exit { host: self.number, told: Some(told), at: Instant::now(), status: None }
    }

    fn starts_again(&mut self) {
        self.child = program(&self.file, 1024, None);
        self.is_ready();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // Whatever a run has found, its process and file must not outlive it.
        _ = self.child.kill();
        _ = self.child.wait();
        _ = std::fs::remove_file(&self.file);
    }
}

/// Requests as their clients saw them, with how often they got more than they asked for.
pub struct Seen {
    pub requests: Vec<Request>,
    pub unasked: u64,
    pub lateness: Lateness,
}

/// Plays a run; what clients and nodes saw, and how hosts ended.
pub fn play(plan: &Plan) -> (Seen, Vec<Attempt>, Vec<Exit>) {
    let nodes: Vec<Node> = (0..plan.shards).map(|shard| Node::new(plan, shard as u64)).collect();
    let listed =
        |(shard, node): (usize, &Node)| instance(&format!("s-{shard}"), node.address, shard, "SERVING");
    let instances: Vec<Value> = nodes.iter().enumerate().map(listed).collect();
    let discoveries: Vec<SocketAddr> = (0..2).map(|_| Discovery::new(instances.clone()).1).collect();
    let start = |number| Host::start(plan, number, discoveries[0], &instances);
    let mut hosts: Vec<Host> = (0..plan.hosts).map(start).collect();
    let relays: Vec<Option<Relay>> =
        hosts.iter().map(|host| plan.plant.map(|plant| Relay::before(host.address, plant))).collect();
    let crowd: Vec<TcpStream> =
        (0..plan.crowd).map_while(|_| TcpStream::connect(hosts[0].address).ok()).collect();
    let over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let watch = scope.spawn(|| Lateness::watched(&over));
        let mut clients = Vec::new();
        for host in &hosts {
            for number in 0..plan.clients {
                let address = relays[host.number].as_ref().map_or(host.address, |relay| relay.address);
                let client = Client {
                    plan,
                    name: format!("h{}c{number}", host.number),
                    host: host.number,
                    address,
                    draw: Seeded::new(plan.seed * 7919 + (host.number * 100 + number) as u64),
                    over: &over,
                    asked: 0,
                    unasked: 0,
                    seen: Vec::new(),
                };
                clients.push(scope.spawn(move || client.run()));
            }
        }
        let exits = troubles(plan, &mut hosts, &discoveries);
        over.store(true, Ordering::SeqCst);
        let lateness = watch.join().unwrap();
        let mut seen = Seen { requests: Vec::new(), unasked: 0, lateness };
        for client in clients {
            let (requests, unasked) = client.join().unwrap();
            seen.requests.extend(requests);
            seen.unasked += unasked;
        }
        drop(crowd);
        let attempts = nodes.iter().flat_map(Node::attempts).collect();
        (seen, attempts, exits)
    })
}

/// Reloads, stalls and planned ends, one host after the other, each killed as early as the page allows.
fn troubles(plan: &Plan, hosts: &mut [Host], discoveries: &[SocketAddr]) -> Vec<Exit> {
    std::thread::sleep(SERVES);
    std::thread::scope(|scope| {
        let ending: Vec<_> = hosts
            .iter_mut()
            .enumerate()
            .map(|(place, host)| {
                let first = NEXT_END * (place % 6) as u32;
                scope.spawn(move || ends_one(plan, host, discoveries, first))
            })
            .collect();
        ending.into_iter().flat_map(|host| host.join().unwrap()).collect()
    })
}

fn ends_one(plan: &Plan, host: &mut Host, discoveries: &[SocketAddr], first: Duration) -> Vec<Exit> {
    let mut draw = Seeded::new(plan.seed * 31 + host.number as u64);
    std::thread::sleep(first);
    for _ in 0..draw.below(3) {
        host.turns_to(discoveries[draw.below(2) as usize]);
        std::thread::sleep(Duration::from_millis(draw.below(60)));
    }
    host.signal("TERM");
    let told = Instant::now();
    let kill = told + plan.longest.min(MOST_HEEDED) + KILL_BEHIND;
    for _ in 0..draw.below(3) {
        std::thread::sleep(Duration::from_millis(draw.below(400)));
        match draw.below(3) {
            0 => host.signal("TERM"),
            1 => host.turns_to(discoveries[draw.below(2) as usize]),
            _ if plan.stalls => {
                host.signal("STOP");
                std::thread::sleep(STALL);
                host.signal("CONT");
            }
            _ => {}
        }
    }
    let exit = host.ends_by(told, kill);
    host.starts_again();
    std::thread::sleep(Duration::from_millis(400));
    let runs = host.child.try_wait().unwrap();
    let crash =
        runs.map(|status| Exit { host: host.number, told: None, at: Instant::now(), status: Some(status) });
    [Some(exit), crash].into_iter().flatten().collect()
}
