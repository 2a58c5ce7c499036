//! A host beside clients that send thousands of requests at once. A test program of its own: the flood would delay tests
//! with bounds on time.

// This program uses only some items of the harness.
#[allow(dead_code)]
#[path = "sockets/harness.rs"]
mod harness;

use harness::{Peer, TestHost};
use magpiewick_node_protocol::{encode, ClientRequest, FinalAnswer, FinalCode, Message, AGE_LONG_RUNNING};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Bad clients, and the number of requests that each sends at once.
const BAD_CLIENTS: usize = 300;
const BURST: u64 = 3000;
/// Client timeout of the usual requests, and the time after it by which each must have its final answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(150);
const ANSWER_SLACK: Duration = Duration::from_millis(550);
/// Time in which the flood gets to its full extent, and time of the usual requests beside it.
const FLOOD_START: Duration = Duration::from_millis(500);
const FLOOD_TIME: Duration = Duration::from_secs(4);

fn request(request_id: u64, volume: u64) -> Message<'static> {
    let client_timeout_us = CLIENT_TIMEOUT.as_micros() as u32;
    Message::Request(ClientRequest {
        request_id,
        class: 0,
        write: false,
        volume,
        key: request_id,
        idempotency_key: request_id,
        units: 1.0,
        client_timeout_us,
        blocks: 1,
        payload: &[],
    })
}

/// Returns the length of the answer to a request for an unknown volume.
fn rejection_length() -> usize {
    let mut bytes = Vec::new();
    let (request_id, code, retry_after_us, payload) =
        (1, FinalCode::Rejected, 0, b"unknown-volume".as_slice());
    encode(&Message::FinalAnswer(FinalAnswer { request_id, code, retry_after_us, payload }), &mut bytes);
    bytes.len()
}

/// Sends requests that the host rejects, and as many again when these are answered, until the flood is over.
fn run_bad_client(host: SocketAddr, is_over: &AtomicBool, answers: &AtomicU64) {
    let mut burst = Vec::new();
    (1..=BURST).for_each(|request_id| encode(&request(request_id, 999), &mut burst));
    let length = rejection_length();
    let mut stream = TcpStream::connect(host).unwrap();
    let mut piece = vec![0; 64 << 10];
    while !is_over.load(Ordering::SeqCst) && stream.write_all(&burst).is_ok() {
        let mut left = length * BURST as usize;
        while left > 0 {
            let Ok(read @ 1..) = stream.read(&mut piece) else { return };
            left = left.saturating_sub(read);
        }
        answers.fetch_add(BURST, Ordering::Relaxed);
    }
}

/// Guards against a turn of the event loop that lasts until the requests of all bad clients are rejected.
#[test]
fn rejected_requests_of_many_clients_delay_no_other_client() {
    let host = TestHost::start(AGE_LONG_RUNNING);
    let (is_over, answers) = (AtomicBool::new(false), AtomicU64::new(0));
    let mut client = host.client();
    client.send(&request(1, 1));
    let mut node = host.accept_node();
    std::thread::spawn(move || {
        while let Some(attempt) = node.receive_attempt() {
            node.succeed(attempt, b"data");
        }
    });
    assert_eq!(client.receive_answer().map(|answer| answer.1), Some(FinalCode::Succeeded));
    let (mut times, mut served) = (Vec::new(), 0);
    std::thread::scope(|scope| {
        for _ in 0..BAD_CLIENTS {
            scope.spawn(|| run_bad_client(host.address, &is_over, &answers));
        }
        std::thread::sleep(FLOOD_START);
        let start = Instant::now();
        for request_id in 2.. {
            let took = exchange(&mut client, request_id, &mut served);
            times.push(took);
            if start.elapsed() > FLOOD_TIME {
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        is_over.store(true, Ordering::SeqCst);
    });
    let longest = times.iter().max().unwrap();
    println!("{} requests, {served} served, {longest:?} at most, {answers:?} rejections", times.len());
    assert!(*longest < CLIENT_TIMEOUT + ANSWER_SLACK, "{times:?}");
    assert!(served * 2 >= times.len(), "{served} of {} requests were served", times.len());
    assert!(answers.load(Ordering::Relaxed) > 0, "the flood is answered as well");
    host.abort();
}

/// Sends a request and waits for its answer; returns the time that it took.
fn exchange(client: &mut Peer, request_id: u64, served: &mut usize) -> Duration {
    let sent = Instant::now();
    client.send(&request(request_id, 1));
    let (answered_id, code, _) = client.receive_answer().expect("each request is answered");
    assert_eq!(answered_id, request_id);
    *served += usize::from(code == FinalCode::Succeeded);
    sent.elapsed()
}
