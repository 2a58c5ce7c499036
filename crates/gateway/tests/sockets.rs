//! A host on sockets whose other ends are held by the test: what it does when they misbehave.

use magpiewick_gateway::config::{host, HostConfig};
use magpiewick_gateway::{Gateway, HostEnd};
use magpiewick_hcl_settings::read_text;
use magpiewick_node_protocol::*;
use std::io::{Read as _, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::net::UnixStream;
use std::thread::JoinHandle;
use std::time::Duration;

const SETTINGS: &str = r#"
host {
  most_units = 4
  round = "5ms"
  order_rest = "300ms"
  frame_within = "300ms"
  client_buffer = 65536
  most_clients = 1100
}
band "read" {
  soft_limit = "2s"
  time_limit = "4s"
  repeats = "retriable"
}
band "order" {
  soft_limit = "2s"
  time_limit = "4s"
  repeats = "binding"
}
plan "all" {
  rate = 1000
}
volume "v" {
  id = 1
  plan = "all"
  shards = [0]
}
"#;

/// One end of a connection that the test holds.
struct End {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl End {
    fn new(stream: TcpStream) -> End {
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        End { stream, bytes: Vec::new() }
    }

    fn say(&mut self, message: &Message) {
        let mut bytes = Vec::new();
        encode(message, &mut bytes);
        self.stream.write_all(&bytes).unwrap();
    }

    /// The next message that `pick` takes, others passed over; none at the connection's end.
    fn hear<T>(&mut self, pick: impl Fn(&Message) -> Option<T>) -> Option<T> {
        loop {
            let (mut found, mut used) = (None, 0);
            while let Ok(Decoded::Frame(message, n)) = decode(&self.bytes[used..]) {
                used += n;
                found = pick(&message);
                if found.is_some() {
                    break;
                }
            }
            self.bytes.drain(..used);
            if found.is_some() {
                return found;
            }
            let mut piece = [0; 65536];
            match self.stream.read(&mut piece) {
                Ok(n) if n > 0 => self.bytes.extend_from_slice(&piece[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => panic!("nothing came"),
                _ => return None,
            }
        }
    }

    fn answer(&mut self) -> Option<(u64, FinalCode, String)> {
        self.hear(|m| match m {
            Message::FinalAnswer(f) => {
                let why = f.payload.get(..f.payload.len().min(40)).unwrap_or_default();
                Some((f.request_id, f.code, String::from_utf8_lossy(why).into_owned()))
            }
            _ => None,
        })
    }

    fn attempt(&mut self) -> Option<(u64, u16)> {
        self.hear(|m| match m {
            Message::Attempt(h) => Some((h.request_id, h.attempt)),
            _ => None,
        })
    }

    fn take(&mut self, request_id: u64, class: u16, payload: &[u8]) {
        let (volume, key, idempotency_key, units, client_timeout_us, blocks) =
            (1, 7 + request_id, request_id, 1.0, 4_000_000, 1);
        let write = !payload.is_empty();
        let take = ClientRequest {
            request_id,
            class,
            write,
            volume,
            key,
            idempotency_key,
            units,
            client_timeout_us,
            blocks,
            payload,
        };
        self.say(&Message::Request(take));
    }

    fn greet(&mut self, incarnation: u64, age_us: u64) {
        self.say(&Message::Hello(Hello::new(Role::Node, 3, incarnation, age_us)));
    }

    fn settle(&mut self, (request_id, attempt): (u64, u16), payload: &[u8]) {
        self.say(&outcome(request_id, attempt, OutcomeCode::Succeeded, payload));
    }
}

fn outcome(request_id: u64, attempt: u16, code: OutcomeCode, payload: &[u8]) -> Message<'_> {
    let (used, others, queue, busy, owner, version) = (None, 0.0, 0, 0.0, None, 0);
    Message::Outcome(Outcome {
        request_id,
        attempt,
        code,
        used,
        others,
        queue,
        busy,
        owner,
        version,
        payload,
    })
}

struct Rig {
    address: SocketAddr,
    list: End,
    node: TcpListener,
    stop: UnixStream,
    host: JoinHandle<HostEnd>,
}

impl Rig {
    /// A host that has heard of one node, of the life 1, which started so long ago.
    fn start(age_us: u64) -> Rig {
        let mut rig = Rig::unheard(TcpListener::bind("127.0.0.1:0").unwrap(), |_| ());
        rig.tell(true, 1, EntryState::Ready, 1, age_us);
        rig
    }

    /// A host that the list has told nothing yet, with other settings.
    fn unheard(node: TcpListener, change: impl FnOnce(&mut HostConfig)) -> Rig {
        let list = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut config: HostConfig = read_text("test", SETTINGS, |r| host(r, 1)).unwrap().unwrap();
        change(&mut config);
        (config.list.address, config.list.serves_map) = (list.local_addr().unwrap(), true);
        let (stop, other) = UnixStream::pair().unwrap();
        let gateway = Gateway::bind(config, other, 99).unwrap();
        let address = gateway.address();
        let host = std::thread::spawn(move || gateway.run().unwrap());
        let mut list = End::new(list.accept().unwrap().0);
        list.hear(|m| matches!(m, Message::WatchEndpoints { .. }).then_some(()));
        Rig { address, list, node, stop, host }
    }

    fn tell(&mut self, snapshot: bool, epoch: u64, state: EntryState, incarnation: u64, age_us: u64) {
        let port = self.node.local_addr().unwrap().port();
        let (node, shard, zone, address) = (3, 0, 0, [127, 0, 0, 1]);
        let entries = vec![EndpointEntry { node, shard, zone, state, incarnation, age_us, address, port }];
        self.list.say(&Message::EndpointList(EndpointListUpdate { snapshot, epoch, entries }));
    }

    fn tell_map(&mut self, snapshot: bool, epoch: u64, kind: MapEntryKind, position: u64, version: u32) {
        let entries = vec![MapEntry { kind, volume: 1, start: 0, position, shard: 0, version }];
        self.list.say(&Message::ExtentMap(MapUpdate { snapshot, epoch, part: 0, last: true, entries }));
    }

    fn client(&self) -> End {
        End::new(TcpStream::connect(self.address).unwrap())
    }

    fn accept(&self) -> End {
        End::new(self.node.accept().unwrap().0)
    }

    /// The node's end of the host's connection, greeted as the listed process.
    fn greeted(&self) -> End {
        let mut node = self.accept();
        node.greet(1, LONG_AGO);
        node
    }

    /// Ends the host with requests in hand.
    fn end_at_once(mut self) {
        self.stop.write_all(&[1, 1]).unwrap();
        self.host.join().unwrap();
    }

    fn end(mut self) -> HostEnd {
        self.stop.write_all(&[1]).unwrap();
        self.host.join().unwrap()
    }
}

#[test]
fn a_command_gets_one_answer_whatever_its_node_says_twice() {
    let rig = Rig::start(LONG_AGO);
    let mut client = rig.client();
    client.take(1, 0, &[]);
    let mut node = rig.greeted();
    let out = node.attempt().unwrap();
    node.settle(out, b"first");
    node.settle(out, b"second");
    node.say(&outcome(out.0, 9, OutcomeCode::Error, &[]));
    node.say(&outcome(12345, 0, OutcomeCode::Succeeded, &[]));
    client.take(2, 0, &[]);
    let next = node.attempt().unwrap();
    node.settle(next, b"third");
    assert_eq!(client.answer(), Some((1, FinalCode::Succeeded, "first".to_string())));
    assert_eq!(client.answer(), Some((2, FinalCode::Succeeded, "third".to_string())));
    assert_eq!(rig.end(), HostEnd::Stopped);
}

#[test]
fn an_answer_that_breaks_off_in_its_frame_may_have_run() {
    let rig = Rig::start(LONG_AGO);
    let mut client = rig.client();
    client.take(1, 1, b"paid");
    let mut node = rig.greeted();
    let (request_id, attempt) = node.attempt().unwrap();
    let mut frame = Vec::new();
    encode(&outcome(request_id, attempt, OutcomeCode::Succeeded, b"done"), &mut frame);
    node.stream.write_all(&frame[..frame.len() / 2]).unwrap();
    drop(node);
    assert_eq!(client.answer(), Some((1, FinalCode::Failed, "reset".to_string())));
    rig.end();
}

#[test]
fn a_node_that_is_not_there_never_ran_anything() {
    let mut rig = Rig::start(LONG_AGO);
    // The port is free again: connections to it are refused.
    rig.node = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = rig.client();
    client.take(1, 1, b"paid");
    let (request_id, code, _) = client.answer().unwrap();
    assert_eq!((request_id, code), (1, FinalCode::Rejected));
    rig.end();
}

#[test]
fn nothing_goes_to_a_process_that_started_before_the_listed_one() {
    let rig = Rig::start(1_000_000);
    let mut client = rig.client();
    client.take(1, 1, b"paid");
    for _ in 0..2 {
        let mut node = rig.accept();
        node.greet(2, 60_000_000);
        assert_eq!(node.attempt(), None, "a hand-off reached an old process");
    }
    let mut node = rig.accept();
    node.greet(1, 1_100_000);
    let out = node.attempt().unwrap();
    node.settle(out, &[]);
    assert_eq!(client.answer().map(|a| a.1), Some(FinalCode::Succeeded));
    rig.end();
}

#[test]
fn what_waited_for_a_process_is_decided_anew_for_its_successor() {
    let rig = Rig::start(60_000_000);
    let mut client = rig.client();
    client.take(1, 1, b"paid");
    let mut node = rig.accept();
    node.greet(2, 5_000);
    let (_, attempt) = node.attempt().unwrap();
    assert_eq!(attempt, 1, "the hand-off that was meant for the old process was counted as ended");
    rig.end();
}

#[test]
fn a_drain_takes_back_what_has_not_left() {
    let mut rig = Rig::start(LONG_AGO);
    let mut client = rig.client();
    // More than the kernel takes while the node does not read.
    let (payload, count) = (vec![5; 1 << 20], 40);
    client.take(100, 0, &[]);
    let mut node = rig.greeted();
    let first = node.attempt().unwrap();
    let writer = std::thread::spawn(move || {
        (1..=count).for_each(|request_id| client.take(request_id, 1, &payload));
        client
    });
    node.settle(first, &[]);
    // Reads now and then, so that the window opens, and never all.
    let mut whole = Vec::new();
    for _ in 0..6 {
        let out = node.attempt().unwrap();
        whole.push(out.0);
        node.settle(out, &[]);
    }
    std::thread::sleep(Duration::from_millis(100));
    rig.tell(false, 2, EntryState::Draining, 1, LONG_AGO);
    let mut client = writer.join().unwrap();
    std::thread::sleep(Duration::from_millis(300));
    // What is read from here on had left before the notice, or the connection broke in the middle of it.
    node.stream.set_read_timeout(Some(Duration::from_millis(1500))).unwrap();
    let late = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| while node.attempt().is_some() {}));
    drop(late);
    let mut ended = [0; 3];
    for _ in 0..=count {
        let (_, code, _) = client.answer().unwrap();
        ended[code as usize] += 1;
    }
    assert_eq!(ended.iter().sum::<u64>(), count + 1);
    assert!(
        ended[FinalCode::Succeeded as usize] >= 7 && ended[FinalCode::Rejected as usize] > 0,
        "{ended:?}"
    );
    rig.end();
}

#[test]
fn a_client_with_half_a_frame_is_let_go_and_idle_ones_cost_nobody() {
    let rig = Rig::start(LONG_AGO);
    let idle: Vec<End> = (0..1000).map(|_| rig.client()).collect();
    let mut half = rig.client();
    half.stream.write_all(&[9, 0, 0, 0, 9]).unwrap();
    let mut client = rig.client();
    client.take(1, 0, &[]);
    let mut node = rig.greeted();
    let out = node.attempt().unwrap();
    node.settle(out, &[]);
    assert_eq!(client.answer().map(|a| a.1), Some(FinalCode::Succeeded));
    assert_eq!(half.answer(), None, "the half frame's client was kept");
    drop(idle);
    rig.end();
}

#[test]
fn a_client_that_vanishes_leaves_its_binding_write_to_end_alone() {
    let rig = Rig::start(LONG_AGO);
    let mut client = rig.client();
    client.take(1, 1, b"paid");
    let mut node = rig.greeted();
    let out = node.attempt().unwrap();
    drop(client);
    let mut other = rig.client();
    other.take(1, 0, &[]);
    let second = node.attempt().unwrap();
    node.settle(out, &[]);
    node.settle(second, b"other");
    assert_eq!(other.answer(), Some((1, FinalCode::Succeeded, "other".to_string())));
    assert_eq!(rig.end(), HostEnd::Stopped);
}

#[test]
fn a_client_that_never_reads_is_held_back_and_others_are_served() {
    let rig = Rig::start(LONG_AGO);
    let mut deaf = rig.client();
    deaf.take(1, 0, &[]);
    let mut node = rig.greeted();
    let big = vec![1; 1 << 20];
    let out = node.attempt().unwrap();
    node.settle(out, &big);
    // Its answers fill what the kernel takes and then what the host keeps for it.
    for request_id in 2..60 {
        deaf.take(request_id, 0, &[]);
    }
    let mut served = 1;
    node.stream.set_read_timeout(Some(Duration::from_millis(700))).unwrap();
    while let Ok(Some(out)) = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| node.attempt())) {
        node.settle(out, &big);
        served += 1;
    }
    assert!(served < 60, "all was read from a client that does not read");
    node.stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut client = rig.client();
    client.take(1, 0, &[]);
    let out = node.attempt().unwrap();
    node.settle(out, b"here");
    assert_eq!(client.answer(), Some((1, FinalCode::Succeeded, "here".to_string())));
    rig.end();
}

#[test]
fn a_host_that_is_told_to_stop_answers_what_it_has_and_takes_nothing_new() {
    let mut rig = Rig::start(LONG_AGO);
    let mut client = rig.client();
    client.take(1, 0, &[]);
    let mut node = rig.greeted();
    let out = node.attempt().unwrap();
    rig.stop.write_all(&[1]).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    client.take(2, 0, &[]);
    assert_eq!(client.answer(), Some((2, FinalCode::Rejected, "stopping".to_string())));
    node.settle(out, b"last");
    assert_eq!(client.answer(), Some((1, FinalCode::Succeeded, "last".to_string())));
    assert_eq!(rig.host.join().unwrap(), HostEnd::Stopped);
}

#[test]
fn a_command_whose_data_nobody_serves_waits_for_news_and_goes_once_more() {
    let mut rig = Rig::start(LONG_AGO);
    rig.tell_map(true, 1, MapEntryKind::Extent, 1000, 1);
    let mut client = rig.client();
    // Binding: sent anew only as the node's answer proves that nothing ran.
    client.take(1, 1, b"paid");
    let mut node = rig.greeted();
    let sent = |m: &Message| match m {
        Message::Attempt(h) => Some((h.request_id, h.attempt, h.version)),
        _ => None,
    };
    let (request_id, _, version) = node.hear(sent).unwrap();
    assert_eq!(version, 1);
    node.say(&outcome(request_id, 0, OutcomeCode::ShardMoved, &[]));
    rig.tell_map(false, 2, MapEntryKind::Switch, 0, 2);
    assert_eq!(node.hear(sent), Some((request_id, 1, 2)));
    node.settle((request_id, 1), &[]);
    assert_eq!(client.answer().map(|a| a.1), Some(FinalCode::Succeeded));
    rig.end();
}

/// A free port of this machine, and a socket of another host that knows it.
fn two_hosts() -> (SocketAddr, UdpSocket) {
    let other = UdpSocket::bind("127.0.0.1:0").unwrap();
    other.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    (UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap(), other)
}

/// Settings of a host that tells the other.
fn tells(config: &mut HostConfig, own: SocketAddr, other: &UdpSocket) {
    config.start.hosts = 2.0;
    config.gossip_addresses = [(0, own), (1, other.local_addr().unwrap())].into();
}

#[test]
fn a_host_hears_what_others_have_out_and_passes_over_what_it_cannot_read() {
    let (own, other) = two_hosts();
    let mut rig =
        Rig::unheard(TcpListener::bind("127.0.0.1:0").unwrap(), |config| tells(config, own, &other));
    rig.tell(true, 1, EntryState::Ready, 1, LONG_AGO);
    let mut client = rig.client();
    client.take(1, 0, &[]);
    let mut node = rig.greeted();
    let first = node.attempt().unwrap();
    let mut bytes = [0; 300];
    let word = loop {
        let length = other.recv(&mut bytes).unwrap();
        let told = magpiewick_gossip::decode(&bytes[..length]).unwrap();
        if let Some((tag, said)) = told.first() {
            assert_eq!((told.len(), said.out), (1, 1));
            break (*tag, magpiewick::GossipReport { out: 7, waits: true, ..*said });
        }
    };
    // Of no length, of an odd one, too long, from a build to come; and what would count, from nobody it knows.
    let crowd: Vec<u8> = magpiewick_gossip::encode(&[word]).flatten().collect();
    for bad in [&[][..], &crowd[..4], &[1; 300], &[2, 0, 0, 0, 0]] {
        other.send_to(bad, own).unwrap();
    }
    UdpSocket::bind("127.0.0.1:0").unwrap().send_to(&crowd, own).unwrap();
    client.take(2, 0, &[]);
    let second = node.attempt().unwrap();
    // Seven places that another host has taken are more than the window: the next waits until that is old.
    other.send_to(&crowd, own).unwrap();
    let began = std::time::Instant::now();
    std::thread::sleep(Duration::from_millis(20));
    client.take(3, 0, &[]);
    let third = node.attempt().unwrap();
    assert!(began.elapsed() >= Duration::from_millis(200), "{:?}", began.elapsed());
    for out in [first, second, third] {
        node.settle(out, b"done");
        assert_eq!(client.answer().map(|a| a.1), Some(FinalCode::Succeeded));
    }
    rig.end();
}

#[test]
fn a_host_that_takes_over_serves_from_the_kept_list_though_old_builds_still_talk() {
    let (own, other) = two_hosts();
    let kept = std::env::temp_dir().join(format!("magpiewick-kept-{}", std::process::id()));
    let remember = |config: &mut HostConfig| config.list.cache_path = Some(kept.clone());
    let mut before = Rig::unheard(TcpListener::bind("127.0.0.1:0").unwrap(), remember);
    before.tell(true, 1, EntryState::Ready, 1, LONG_AGO);
    let mut client = before.client();
    client.take(1, 0, &[]);
    let mut node = before.greeted();
    let out = node.attempt().unwrap();
    node.settle(out, &[]);
    client.answer();
    let listener = before.node.try_clone().unwrap();
    assert_eq!(before.end(), HostEnd::Stopped);
    let after = Rig::unheard(listener, |config| {
        remember(config);
        tells(config, own, &other);
    });
    other.send_to(&[0, 1, 2, 3], own).unwrap();
    let mut client = after.client();
    client.take(1, 0, &[]);
    let mut node = after.greeted();
    let out = node.attempt().unwrap();
    node.settle(out, b"at once");
    assert_eq!(client.answer(), Some((1, FinalCode::Succeeded, "at once".to_string())));
    after.end();
    std::fs::remove_file(kept).unwrap();
}

impl End {
    fn batch(&mut self) -> Option<Vec<(u64, u16)>> {
        self.hear(|m| match m {
            Message::Batch(parts) => Some(parts.iter().map(|h| (h.request_id, h.attempt)).collect()),
            _ => None,
        })
    }

    /// Asks for a range of blocks, to read or to write.
    fn range(&mut self, request_id: u64, class: u16, key: u64, blocks: u32, payload: &[u8]) {
        let (volume, idempotency_key, units, client_timeout_us, write) =
            (1, request_id, 1.0, 4_000_000, !payload.is_empty());
        let take = ClientRequest {
            request_id,
            class,
            write,
            volume,
            key,
            idempotency_key,
            units,
            client_timeout_us,
            blocks,
            payload,
        };
        self.say(&Message::Request(take));
    }

    fn piece(&mut self) -> Option<(u64, u16, u64, u32)> {
        self.hear(|m| match m {
            Message::Attempt(h) => Some((h.request_id, h.attempt, h.key, h.blocks)),
            _ => None,
        })
    }
}

/// A request's id and attempt.
type Out = (u64, u16);

/// A host whose node has its window full of writes of a class, so that the four after them leave together once the
/// first is succeeded.
fn four_together(rig: &Rig, class: u16) -> (End, End, Vec<Out>, Vec<Out>) {
    let mut client = rig.client();
    (1..=4).for_each(|n| client.take(n, class, b"bytes"));
    let mut node = rig.greeted();
    let out: Vec<_> = (0..4).map(|_| node.attempt().unwrap()).collect();
    (5..=8).for_each(|n| client.take(n, class, b"bytes"));
    // A read behind them shows that they were taken: it cannot leave either, as its place comes after theirs.
    client.take(9, 0, &[]);
    client.range(10, 0, 0, 7, &[]);
    assert_eq!(client.answer(), Some((10, FinalCode::Rejected, "impossible-range".to_string())));
    node.settle(out[0], b"");
    assert_eq!(client.answer(), Some((1, FinalCode::Succeeded, String::new())));
    let batch = node.batch().unwrap();
    assert_eq!(batch.len(), 4);
    (client, node, out, batch)
}

#[test]
fn each_part_of_a_batch_ends_by_itself_and_only_what_is_allowed_is_sent_again() {
    let rig = Rig::start(LONG_AGO);
    let (mut client, mut node, out, batch) = four_together(&rig, 1);
    node.settle(batch[0], b"");
    node.say(&outcome(batch[1].0, batch[1].1, OutcomeCode::Error, &[]));
    node.say(&outcome(batch[2].0, batch[2].1, OutcomeCode::Overloaded, &[]));
    // The fourth gets no answer, and a second answer to the first changes nothing.
    node.say(&outcome(batch[0].0, batch[0].1, OutcomeCode::Error, &[]));
    assert_eq!(client.answer(), Some((5, FinalCode::Succeeded, String::new())));
    assert_eq!(client.answer(), Some((6, FinalCode::Failed, "error".to_string())));
    // What was turned away has not run, and is sent again once there is a place for it, as is the read behind it.
    out[1..].iter().for_each(|out| node.settle(*out, b""));
    let again = [node.attempt().unwrap(), node.attempt().unwrap()];
    assert!(again.contains(&(batch[2].0, 1)), "{again:?} holds what was turned away");
    drop(node);
    let rest: Vec<_> = (0..5).map(|_| client.answer().unwrap()).collect();
    let scrapped = |n: u64| (n, FinalCode::Failed);
    let found: Vec<_> = rest.iter().map(|(n, code, _)| (*n, *code)).filter(|f| f.0 != 9).collect();
    assert!(
        found.contains(&scrapped(8)),
        "a binding part whose fate is unknown is not sent again: {found:?}"
    );
    assert_eq!(rig.end(), HostEnd::Stopped);
}

#[test]
fn a_client_that_gives_up_takes_only_its_own_part_out_of_a_batch() {
    let rig = Rig::start(LONG_AGO);
    let (mut client, mut node, _out, batch) = four_together(&rig, 0);
    client.say(&Message::CancelRequest { request_id: 6 });
    let cancelled = node.hear(|m| match m {
        Message::CancelAttempt { request_id, attempt } => Some((*request_id, *attempt)),
        _ => None,
    });
    assert_eq!(cancelled, Some(batch[1]));
    batch.iter().for_each(|part| node.settle(*part, b""));
    let mut answered: Vec<u64> = (0..3).map(|_| client.answer().unwrap().0).collect();
    answered.sort_unstable();
    assert_eq!(answered, [5, 7, 8]);
    rig.end();
}

#[test]
fn a_write_waits_for_an_earlier_one_that_it_overlaps() {
    let rig = Rig::start(LONG_AGO);
    let mut client = rig.client();
    client.range(1, 1, 10, 4, b"aaaabbbb");
    client.range(2, 0, 13, 2, b"ccccdddd");
    client.range(3, 0, 20, 1, b"eeee");
    let mut node = rig.greeted();
    let first = node.piece().unwrap();
    let third = node.piece().unwrap();
    assert_eq!((first.2, third.2), (10, 20), "the second is held back, and nobody else");
    node.settle((first.0, first.1), b"");
    assert_eq!(node.piece().map(|p| (p.2, p.3)), Some((13, 2)));
    rig.end_at_once();
}

#[test]
fn a_write_whose_connection_broke_may_still_run_and_holds_back_who_overlaps_it() {
    let rig = Rig::start(LONG_AGO);
    let mut client = rig.client();
    client.range(1, 1, 10, 4, b"aaaabbbb");
    client.range(2, 0, 13, 2, b"ccccdddd");
    let mut node = rig.greeted();
    node.piece().unwrap();
    drop(node);
    assert_eq!(client.answer(), Some((1, FinalCode::Failed, "reset".to_string())));
    client.range(3, 0, 20, 1, b"eeee");
    let mut node = rig.greeted();
    let order = [node.piece().unwrap().2, node.piece().unwrap().2];
    assert_eq!(order, [20, 13], "the overlapping one rests first");
    rig.end_at_once();
}

#[test]
fn a_read_over_extents_is_one_answer_whatever_becomes_of_its_pieces() {
    let mut rig = Rig::start(LONG_AGO);
    let entry = |start, position| MapEntry {
        kind: MapEntryKind::Extent,
        volume: 1,
        start,
        position,
        shard: 0,
        version: 1,
    };
    let entries = vec![entry(0, 20), entry(20, 40)];
    rig.list.say(&Message::ExtentMap(MapUpdate { snapshot: true, epoch: 1, part: 0, last: true, entries }));
    let mut client = rig.client();
    // Half of a write cannot be taken back.
    client.range(99, 1, 18, 4, b"aaaabbbbccccdddd");
    assert_eq!(client.answer(), Some((99, FinalCode::Rejected, "crosses-extents".to_string())));
    client.range(1, 0, 18, 4, &[]);
    let mut node = rig.greeted();
    let pieces = [node.piece().unwrap(), node.piece().unwrap()];
    assert_eq!(pieces.map(|p| (p.2, p.3)), [(18, 2), (20, 2)]);
    // The later piece comes first, and the first one fails once: it is fetched again.
    node.settle((pieces[1].0, pieces[1].1), b"CD");
    node.say(&outcome(pieces[0].0, pieces[0].1, OutcomeCode::Error, &[]));
    let again = node.piece().unwrap();
    assert_eq!((again.0, again.1), (pieces[0].0, 1));
    node.settle((again.0, again.1), b"AB");
    assert_eq!(client.answer(), Some((1, FinalCode::Succeeded, "ABCD".to_string())));
    // Who gives up a read gives up its pieces.
    client.range(2, 0, 18, 4, &[]);
    let pieces = [node.piece().unwrap(), node.piece().unwrap()];
    client.say(&Message::CancelRequest { request_id: 2 });
    let cancel = |m: &Message| match m {
        Message::CancelAttempt { request_id, .. } => Some(*request_id),
        _ => None,
    };
    let mut cancelled = [node.hear(cancel).unwrap(), node.hear(cancel).unwrap()];
    cancelled.sort_unstable();
    assert_eq!(cancelled, pieces.map(|p| p.0));
    rig.end_at_once();
}

#[test]
fn a_list_service_that_answers_nothing_is_connected_to_anew() {
    let list = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config: HostConfig = read_text("test", SETTINGS, |r| host(r, 1)).unwrap().unwrap();
    (config.list.address, config.list.polled) = (list.local_addr().unwrap(), true);
    config.start.max_poll_interval = Some(1000.0);
    let (mut stop, other) = UnixStream::pair().unwrap();
    let gateway = Gateway::bind(config, other, 99).unwrap();
    let host = std::thread::spawn(move || gateway.run().unwrap());
    let watch = |m: &Message| matches!(m, Message::WatchEndpoints { .. }).then_some(());
    // It is asked, and its connection stands silent: the next question comes over another one.
    let mut silent = End::new(list.accept().unwrap().0);
    silent.hear(watch).expect("a question");
    assert!(silent.hear(watch).is_none(), "the silent connection is asked on");
    let mut next = End::new(list.accept().unwrap().0);
    next.hear(watch).expect("the question again");
    stop.write_all(&[1, 1]).unwrap();
    host.join().unwrap();
}

#[test]
fn what_is_held_back_when_the_host_is_told_to_stop_is_answered() {
    let node = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut rig = Rig::unheard(node, |config| config.bounds.max_pending_requests = 2);
    rig.tell(true, 1, EntryState::Ready, 1, LONG_AGO);
    let mut client = rig.client();
    (1..=6).for_each(|request_id| client.take(request_id, 1, b"block"));
    let mut node = rig.greeted();
    let out = [node.attempt().unwrap(), node.attempt().unwrap()];
    rig.stop.write_all(&[1]).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    out.into_iter().for_each(|attempt| node.settle(attempt, b"done"));
    let mut answers: Vec<(u64, FinalCode)> =
        (0..6).map_while(|_| client.answer()).map(|a| (a.0, a.1)).collect();
    answers.sort_unstable_by_key(|answer| answer.0);
    let numbers: Vec<u64> = answers.iter().map(|answer| answer.0).collect();
    assert_eq!(numbers, [1, 2, 3, 4, 5, 6]);
    assert!(answers[2..].iter().all(|answer| answer.1 == FinalCode::Rejected), "{answers:?}");
    drop(client);
    assert_eq!(rig.host.join().unwrap(), HostEnd::Stopped);
}

/// Sends requests on and on until the host ends the connection: what ended it, as the client sees it, and the highest
/// of its requests that was answered and how many were.
fn sends_until_the_end(mut client: End) -> (std::io::Result<usize>, u64, u64) {
    let mut sends = client.stream.try_clone().unwrap();
    let sending = std::thread::spawn(move || {
        for request_id in 1.. {
            let (volume, key, idempotency_key, units, client_timeout_us, blocks) =
                (1, 7 + request_id, request_id, 1.0, 4_000_000, 1);
            let (class, writes, payload) = (0, false, &[][..]);
            let take = ClientRequest {
                request_id,
                class,
                write: writes,
                volume,
                key,
                idempotency_key,
                units,
                client_timeout_us,
                blocks,
                payload,
            };
            let mut bytes = Vec::new();
            encode(&Message::Request(take), &mut bytes);
            if sends.write_all(&bytes).is_err() {
                return;
            }
            std::thread::sleep(Duration::from_micros(200));
        }
    });
    let (mut highest, mut count) = (0, 0);
    let end = loop {
        let mut used = 0;
        while let Ok(Decoded::Frame(message, n)) = decode(&client.bytes[used..]) {
            used += n;
            if let Message::FinalAnswer(answer) = message {
                (highest, count) = (highest.max(answer.request_id), count + 1);
            }
        }
        client.bytes.drain(..used);
        let mut piece = [0; 65536];
        match client.stream.read(&mut piece) {
            Ok(n) if n > 0 => client.bytes.extend_from_slice(&piece[..n]),
            end => break end,
        }
    };
    drop(client);
    sending.join().unwrap();
    (end, highest, count)
}

#[test]
fn a_host_that_stops_breaks_no_connection_and_answers_all_that_it_read() {
    for _ in 0..10 {
        let rig = Rig::start(LONG_AGO);
        let clients: Vec<_> = (0..6).map(|_| rig.client()).collect();
        let clients: Vec<_> = clients
            .into_iter()
            .map(|client| std::thread::spawn(move || sends_until_the_end(client)))
            .collect();
        let mut node = rig.greeted();
        let (mut ends, at) = (node.stream.try_clone().unwrap(), std::time::Instant::now());
        let serving = std::thread::spawn(move || {
            while let Some(attempt) = node.attempt() {
                node.settle(attempt, b"done");
            }
        });
        std::thread::sleep(Duration::from_millis(60));
        assert_eq!(rig.end(), HostEnd::Stopped);
        assert!(at.elapsed() < Duration::from_secs(3), "{:?}", at.elapsed());
        for client in clients {
            let (end, highest, count) = client.join().unwrap();
            assert!(matches!(end, Ok(0)), "a reset: {end:?}");
            assert_eq!(highest, count, "some of what came before the last answer has none");
        }
        _ = ends.flush();
        _ = ends.shutdown(std::net::Shutdown::Both);
        serving.join().unwrap();
    }
}
