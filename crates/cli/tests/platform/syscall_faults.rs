//! System calls that fail as they may: each errno is taken for what it says and for nothing else.

use crate::rig::{command, Client, Limits, Rig};
use crate::served;
use std::time::Duration;

const ENETUNREACH: i32 = 101;
const ECONNABORTED: i32 = 103;
const ENOBUFS: i32 = 105;
const ECONNREFUSED: i32 = 111;
const EADDRNOTAVAIL: i32 = 99;
const EPROTO: i32 = 71;
const EINTR: i32 = 4;

/// Asks on and on over new connections, and tells how many requests were served.
fn served_of(rig: &Rig, requests: usize) -> usize {
    let ask = |i| {
        let bytes = command(&format!("r{i}"), "read", 0, 900);
        Client::to(rig.host).ok()?.asks(&bytes).filter(|answer| answer.status() == 200)
    };
    (0..requests).filter_map(ask).count()
}

#[test]
fn an_accept_that_fails_ends_no_client_that_rests() {
    for errno in [ECONNABORTED, ENOBUFS, EPROTO] {
        let rig = Rig::with_faults(1, Limits::default(), &format!("accept4={errno}/4"));
        let mut resting: Vec<Client> = (0..8).map(|_| rig.client()).collect();
        let mut stays: Vec<usize> = Vec::new();
        for (i, client) in resting.iter_mut().enumerate() {
            if client.asks(&command(&format!("s{i}"), "read", 0, 900)).is_some_and(|a| a.status() == 200) {
                stays.push(i);
            }
        }
        assert!(stays.len() >= 4, "errno {errno}: {stays:?}");
        served_of(&rig, 40);
        std::thread::sleep(Duration::from_millis(400));
        served_of(&rig, 40);
        let ended: Vec<&usize> = stays.iter().filter(|i| resting[**i].is_over()).collect();
        assert!(ended.is_empty(), "errno {errno}: the connections of {ended:?} were ended");
    }
}

#[test]
fn want_of_sockets_is_not_taken_for_a_sign_of_a_node() {
    // Each request needs a connection of its own, as its node ends the one before.
    for fault in ["socket=105/3", "connect=99/3", "connect=4/3"] {
        let rig = Rig::with_faults(1, Limits::default(), fault);
        rig.nodes[0].always(crate::rig::Does::WritesAndEnds(crate::rig::SERVED));
        let mut client = rig.client();
        for i in 0..30 {
            let id = format!("r{i}");
            served(client.asks(&command(&id, "read", 0, 900)), &id);
        }
    }
}

#[test]
fn a_node_that_cannot_be_reached_now_and_then_ends_no_client_that_rests() {
    for errno in [ENETUNREACH, ECONNREFUSED, EADDRNOTAVAIL, EINTR] {
        let rig = Rig::with_faults(1, Limits::default(), &format!("connect={errno}/2"));
        rig.nodes[0].always(crate::rig::Does::WritesAndEnds(crate::rig::SERVED));
        let mut resting = rig.client();
        served(resting.asks(&command("first", "read", 0, 2900)), "first");
        std::thread::sleep(Duration::from_millis(400));
        served_of(&rig, 20);
        assert!(!resting.is_over(), "errno {errno}");
    }
}
