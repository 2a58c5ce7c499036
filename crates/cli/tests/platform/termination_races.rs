//! Instants in which something ends while something is still owed, each forced: a side is held at one point, and the
//! other acts.

use crate::rig::{command, instance, made_for, Client, Discovery, Does, Limits, Mood, Rig, Walled};
use crate::served;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Settings under which a connection may take long to come up, and nothing may be cancelled.
fn patient(settings: &mut Value) {
    settings["limits"]["dial_timeout_ns"] = json!(30_000_000_000u64);
    settings["limits"]["cancelling"] = json!(false);
    settings["profiles"][1]["window_ns"] = json!(600_000_000u64);
}

/// A host whose only shard is on a node that nobody can connect to yet.
fn walled() -> (Rig, Walled) {
    let (rig, walled) = (Rig::told(1, Limits::default(), patient), Walled::new());
    let calls = rig.discovery.calls().len();
    rig.discovery.tells(vec![instance("s-walled", walled.address, 0, "SERVING")]);
    rig.discovery.is_asked("the host has the list", |all| all.len() > calls);
    (rig, walled)
}

fn reads_request(stream: &mut TcpStream) -> String {
    let (mut text, mut piece) = (String::new(), [0; 4096]);
    while !text.contains("\r\n\r\n") {
        let n = stream.read(&mut piece).unwrap();
        assert!(n > 0, "it ended after {text:?}");
        text.push_str(std::str::from_utf8(&piece[..n]).unwrap());
    }
    text
}

#[test]
fn an_attempt_whose_connection_is_coming_up_is_taken_back_when_its_client_goes() {
    let (rig, walled) = walled();
    let mut client = rig.client();
    client.sends(&command("c1", "once", 0, 3000));
    rig.comes_to("the connection is coming up", |_| walled.knocks() == 1);
    let left = Instant::now();
    drop(client);
    rig.comes_to("the attempt is taken back", |_| walled.knocks() == 0);
    assert!(left.elapsed() < Duration::from_millis(1500), "only its deadline ended it: {:?}", left.elapsed());
}

#[test]
fn an_attempt_whose_connection_is_coming_up_goes_elsewhere_when_its_node_drains() {
    let (rig, walled) = walled();
    let mut client = rig.client();
    client.sends(&command("c1", "once", 0, 3000));
    rig.comes_to("the connection is coming up", |_| walled.knocks() == 1);
    rig.discovery.tells(vec![
        instance("s-walled", walled.address, 0, "DRAINING"),
        instance("s-0", rig.addresses[0], 0, "SERVING"),
    ]);
    served(client.hears(), "c1");
    assert_eq!((walled.knocks(), rig.nodes[0].count()), (0, 1));
}

#[test]
fn a_node_is_told_what_is_left_when_its_connection_stands() {
    let (rig, mut walled) = walled();
    let (mut client, asked) = (rig.client(), Instant::now());
    client.sends(&command("c1", "once", 0, 2900));
    rig.comes_to("the connection is coming up", |_| walled.knocks() == 1);
    walled.opens();
    // The kernel knocks again after a second.
    let mut node = walled.accepts();
    let text = reads_request(&mut node);
    let came = asked.elapsed().as_secs_f64() * 1000.0;
    let told = text.split("X-Deadline: ").nth(1).unwrap().split('m').next().unwrap().parse::<f64>().unwrap();
    assert!(came > 900.0, "the connection was there at once: {came}");
    assert!(told <= 2900.0 - 900.0, "it was told {told} ms, {came} ms after the client asked");
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{}", made_for("c1"));
    node.write_all(answer.as_bytes()).unwrap();
    served(client.hears(), "c1");
}

#[test]
fn a_repeat_whose_connection_came_up_after_the_memory_of_repeats_is_not_sent() {
    let (rig, mut walled) = walled();
    let mut client = rig.client();
    walled.opens();
    client.sends(&command("w1", "write", 0, 2900));
    let mut first = walled.accepts();
    reads_request(&mut first);
    walled.shuts();
    // It may have run; the next one finds nobody to accept it until the nodes have forgotten the first.
    first.shutdown(Shutdown::Both).unwrap();
    rig.comes_to("the repeat's connection is coming up", |_| walled.knocks() == 1);
    walled.opens();
    let mut bytes = Vec::new();
    _ = walled.accepts().read_to_end(&mut bytes);
    assert!(bytes.is_empty(), "it was sent: {:?}", String::from_utf8_lossy(&bytes));
    assert_eq!(client.hears().unwrap().status(), 502, "it may have run, and may not be repeated any more");
}

#[test]
fn a_client_that_goes_behind_bytes_that_are_not_read_is_gone() {
    // The module itself gives nothing up for half a minute.
    let rig = Rig::told(1, Limits::default(), |settings| {
        settings["profiles"].as_array_mut().unwrap().iter_mut().for_each(|profile| {
            profile["slo_ns"] = json!(30_000_000_000u64);
            profile["hard_limit_ns"] = json!(30_000_000_000u64);
        });
    });
    rig.nodes[0].does(&[Does::Nothing]);
    let mut client = rig.client();
    client.sends(&command("c1", "once", 0, 29_000));
    rig.nodes[0].has_got(1);
    // More than the host keeps of what comes early.
    let early: Vec<u8> = (0..1200).flat_map(|i| command(&format!("e{i}"), "read", 0, 29_000)).collect();
    assert!(early.len() > 200 << 10);
    client.sends(&early);
    drop(client);
    rig.comes_to("its id is free", |rig| {
        rig.client().asks(&command("c1", "once", 0, 900)).unwrap().status() != 409
    });
}

fn pushed(settings: &mut Value) {
    settings["registry_mode"] = json!("push");
    settings["safety"]["must_ask_in_ns"] = Value::Null;
    settings["safety"]["stop_sending_within_ns"] = json!(500_000_000u64);
}

#[test]
fn a_list_that_is_pushed_is_followed_from_the_first_moment_and_through_a_silence() {
    let mut rig = Rig::told(2, Limits::default(), pushed);
    served(rig.client().asks(&command("r1", "read", 0, 900)), "r1");
    let turns = |rig: &Rig, from: usize, to: usize, id: &str| {
        let at = |node: usize, condition| instance(&format!("s-{node}"), rig.addresses[node], 0, condition);
        rig.discovery.tells(vec![at(from, "DRAINING"), at(to, "SERVING")]);
        let (told, before) = (Instant::now(), rig.nodes[to].count());
        for ask in 0.. {
            let answer = rig.client().asks(&command(&format!("{id}-{ask}"), "read", 0, 900)).unwrap();
            if answer.status() == 200 && rig.nodes[to].count() > before {
                break;
            }
            assert!(told.elapsed() < Duration::from_secs(2), "the drain is not heard of");
        }
    };
    turns(&rig, 0, 1, "a");
    // The agent falls silent under a watch, and what it learns meanwhile is news the moment it speaks again.
    let calls = rig.discovery.calls().len();
    rig.discovery.mood(Mood::Silent);
    rig.discovery.is_asked("calls go on", |all| all.len() > calls + 2);
    rig.discovery.mood(Mood::Good);
    turns(&rig, 1, 0, "b");
    // A new process is not used before it has the agent's word, however old what it remembers is.
    rig.discovery.mood(Mood::Silent);
    rig.starts_again();
    rig.comes_to("it listens", |rig| rig.says_ready().is_some());
    assert_eq!(rig.says_ready(), Some(503));
    rig.discovery.mood(Mood::Good);
    rig.comes_to("it is ready", |rig| rig.says_ready() == Some(200));
}

#[test]
fn what_the_old_discovery_still_tells_counts_until_the_new_one_is_heard() {
    let mut rig = Rig::new(2);
    let (new, new_at) = Discovery::new(Vec::new());
    new.mood(Mood::Silent);
    rig.discovery.is_asked("a watch is open", |all| all.iter().any(|call| call.contains("wait_ms=2000")));
    rig.turns_to(new_at);
    new.is_asked("the new one is asked", |all| !all.is_empty());
    rig.discovery.tells(vec![
        instance("s-0", rig.addresses[0], 0, "DRAINING"),
        instance("s-1", rig.addresses[1], 0, "SERVING"),
    ]);
    let told = Instant::now();
    rig.comes_to("the drain is heard of", |rig| {
        _ = rig.client().asks(&command(&format!("r{:?}", told.elapsed()), "read", 0, 900));
        rig.nodes[1].count() > 0
    });
}

#[test]
fn requests_in_chunks_and_bodies_that_wait_for_a_word_are_served() {
    let rig = Rig::new(1);
    let plain = String::from_utf8(command("w1", "write", 0, 900)).unwrap();
    let chunked = plain.replace("Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n");
    let chunked = chunked.replace("some bytes", "4\r\nsome\r\n6;x=y\r\n bytes\r\n0\r\nT: u\r\n\r\n");
    served(rig.client().asks(chunked.as_bytes()), "w1");
    let waits = plain.replace("w1", "w2").replace("Host: ", "Expect: 100-continue\r\nHost: ");
    let (head, body) = waits.split_at(waits.len() - 10);
    let mut client = rig.client();
    assert_eq!(client.asks(head.as_bytes()).unwrap().status(), 100);
    served(client.asks(body.as_bytes()), "w2");
    let got = rig.nodes[0].got.lock().unwrap();
    for message in got.iter() {
        assert_eq!(
            (message.body.as_slice(), message.field("content-length")),
            (&b"some bytes"[..], Some("10"))
        );
        assert!(message.field("transfer-encoding").is_none() && message.field("expect").is_none());
    }
}

#[test]
fn a_second_request_to_end_costs_no_answer() {
    let mut rig = Rig::new(1);
    rig.nodes[0].does(&[Does::Waits(Duration::from_millis(300))]);
    let mut client = rig.client();
    client.sends(&command("a", "once", 0, 2000));
    rig.nodes[0].has_got(1);
    rig.signal("TERM");
    rig.comes_to("it is asked to end", |rig| rig.says_ready() == Some(503));
    rig.signal("TERM");
    served(client.hears(), "a");
    assert!(rig.ends().success());
}

#[test]
fn what_has_longer_than_the_host_has_is_answered_before_its_end_by_force() {
    let mut rig = Rig::told(1, Limits::default(), |settings| {
        settings["profiles"][2]["hard_limit_ns"] = json!(60_000_000_000u64);
        settings["profiles"][2]["slo_ns"] = json!(30_000_000_000u64);
    });
    rig.nodes[0].always(Does::Nothing);
    let (mut out, mut held) = (rig.client(), rig.client());
    out.sends(&command("a", "once", 0, 60_000));
    rig.nodes[0].has_got(1);
    // Its shard has no node: it waits, and was never sent on.
    held.sends(&command("b", "once", 5, 60_000));
    rig.comes_to("both are there", |rig| rig.clients() >= 2);
    let asked = Instant::now();
    rig.signal("TERM");
    let answers = [out.hears().unwrap(), held.hears().unwrap()];
    assert_eq!(answers.each_ref().map(|a| a.status()), [502, 503]);
    assert!(answers.iter().all(|a| a.field("connection") == Some("close")));
    assert!(
        asked.elapsed() < Duration::from_millis(3700),
        "the end by force came first: {:?}",
        asked.elapsed()
    );
    assert!(rig.ends().success());
}

#[test]
fn a_host_that_ends_rests_while_a_client_does_not_read_its_answer() {
    let mut rig = Rig::new(1);
    rig.nodes[0].always(Does::Fills(1_000_000));
    rig.signal("TERM");
    // Its answers come to stand before the host closes, and do so still when the host would end.
    let all: Vec<u8> = (0..60).flat_map(|i| command(&format!("c{i}"), "read", 0, 3000)).collect();
    std::thread::sleep(Duration::from_millis(2500));
    let mut client = Client::that_takes(16 << 10, rig.host);
    client.sends(&all);
    std::thread::sleep(Duration::from_millis(1250));
    let before = rig.ticks();
    std::thread::sleep(Duration::from_millis(500));
    if let (Some(before), Some(after)) = (before, rig.ticks()) {
        assert!(after - before < 10, "it spins: {} hundredths of half a second", after - before);
    }
    assert!(rig.ends().success());
}

#[test]
fn connections_that_the_kernel_took_before_the_host_closed_are_answered() {
    let mut rig = Rig::new(1);
    let mut resting = rig.client();
    served(resting.asks(&command("r", "read", 0, 900)), "r");
    let asked = Instant::now();
    rig.signal("TERM");
    rig.comes_to("it is asked to end", |rig| rig.says_ready() == Some(503));
    // The host stands still while it is to close: more come than one turn of its loop takes, and a request comes on a
    // connection that rests.
    rig.signal("STOP");
    let mut all: Vec<Client> = (0..100).map(|_| rig.client()).collect();
    for (i, client) in all.iter_mut().enumerate() {
        client.sends(&command(&format!("c{i}"), "read", 0, 900));
    }
    resting.sends(&command("last", "read", 0, 900));
    std::thread::sleep(Duration::from_millis(3450).saturating_sub(asked.elapsed()));
    rig.signal("CONT");
    for (i, client) in all.iter_mut().enumerate() {
        let answer = client.hears().unwrap_or_else(|| panic!("c{i} has no answer"));
        assert!(matches!(answer.status(), 200 | 503), "{answer:?}");
        assert!(client.ends_in_order(), "c{i}: a reset");
    }
    assert!(matches!(resting.hears().unwrap().status(), 200 | 503));
    assert!(rig.ends().success());
}

#[test]
fn a_request_that_crosses_the_close_is_not_sent_on_and_takes_no_answer_with_it() {
    let mut rig = Rig::new(1);
    rig.nodes[0].always(Does::Waits(Duration::from_millis(30)));
    let (mut busy, mut resting) = (rig.client(), rig.client());
    served(resting.asks(&command("r", "read", 0, 900)), "r");
    busy.sends(&command("b0", "read", 0, 900));
    rig.signal("TERM");
    // There is always one request behind the one that is open: the last of all crosses the close.
    let mut answered = 0;
    loop {
        busy.sends(&command(&format!("b{}", answered + 1), "read", 0, 900));
        let answer = busy.hears().unwrap_or_else(|| panic!("b{answered} has no answer"));
        let last = answer.field("connection") == Some("close");
        served(Some(answer), &format!("b{answered}"));
        answered += 1;
        if last {
            break;
        }
    }
    busy.sends(&command("later", "read", 0, 900));
    assert!(busy.ends_in_order() && resting.ends_in_order(), "a reset");
    resting.sends(&command("late", "read", 0, 900));
    assert!(rig.ends().success());
    assert_eq!(rig.nodes[0].count(), 1 + answered, "something was sent on that came after the close");
}

#[test]
fn what_was_read_before_the_close_is_answered_also_where_it_waits_behind_another() {
    let mut rig = Rig::new(1);
    rig.nodes[0].always(Does::Waits(Duration::from_millis(100)));
    let mut client = rig.client();
    rig.signal("TERM");
    // Four at a time in one piece: the close falls between them, and they are read as one.
    for batch in 0.. {
        let ids: Vec<String> = (0..4).map(|i| format!("b{batch}-{i}")).collect();
        client.sends(&ids.iter().flat_map(|id| command(id, "read", 0, 2000)).collect::<Vec<u8>>());
        let answers: Vec<u16> = ids.iter().map_while(|_| client.hears()).map(|a| a.status()).collect();
        assert!(
            matches!(answers.len(), 0 | 4) && answers.iter().all(|s| matches!(s, 200 | 503)),
            "{answers:?}"
        );
        if answers.is_empty() || client.is_over() {
            break;
        }
    }
    assert!(rig.ends().success());
}

#[test]
fn an_attempt_whose_connection_is_coming_up_ends_with_its_request() {
    let (rig, mut walled) = walled();
    let answer = rig.client().asks(&command("c1", "once", 0, 700)).unwrap();
    assert_eq!(answer.status(), 503, "{answer:?}");
    rig.comes_to("the attempt is taken back", |_| walled.knocks() == 0);
    walled.opens();
    std::thread::sleep(Duration::from_millis(1200));
    assert_eq!(walled.knocks(), 0);
}
