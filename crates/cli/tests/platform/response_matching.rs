//! Each request that was read gets exactly one answer, its own, whatever arrives on a connection outside an exchange
//! and whatever ends while something is owed.

use crate::proxy::{Harm, Proxy};
use crate::rig::{command, instance, made_for, Client, Does, Limits, Rig, Seeded, Stray, SERVED};
use crate::served;
use serde_json::json;
use std::time::{Duration, Instant};

/// Asks one request after the other with a rest between them; each answer must be its own.
fn asks_in_turn(rig: &Rig, name: &str, class: &str, rest: Duration) {
    let mut client = rig.client();
    for i in 0..6 {
        let id = format!("{name}-{i}");
        let answer =
            client.asks(&command(&id, class, 0, 2000)).unwrap_or_else(|| panic!("{id} has no answer"));
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        match answer.status() {
            200 => assert_eq!(body, made_for(&id), "{id} got an answer that was not made for it"),
            status => assert!(class == "once" && status == 502, "{id}: {status} {body}"),
        }
        std::thread::sleep(rest);
    }
}

#[test]
fn what_belongs_to_the_exchange_before_is_never_the_answer_to_the_next_request() {
    for stray in [
        Stray::Copy,
        Stray::EarlierCopy,
        Stray::CutCopy(1),
        Stray::CutCopy(7),
        Stray::CutCopy(12),
        Stray::CutCopy(30),
        Stray::CutCopy(50),
        Stray::Noise,
        Stray::Interim,
    ] {
        // A connection is taken again at once where it is, or after a rest.
        std::thread::scope(|scope| {
            for (rest, class) in [0, 15, 250].into_iter().flat_map(|rest| [(rest, "read"), (rest, "once")]) {
                scope.spawn(move || {
                    let rig = Rig::new(1);
                    rig.nodes[0].always(Does::ServesBehind(stray));
                    asks_in_turn(&rig, &format!("{class}-{rest}"), class, Duration::from_millis(rest));
                });
            }
        });
    }
}

/// Five clients that ask one request after the other, while one answer in three is written twice, with 2 ms of
/// network between host and node: how many got an answer that was not made for their request.
fn misled_by_copies(seed: u64, late: &[u64]) -> usize {
    let rig = Rig::new(1);
    let network = Proxy::before(rig.addresses[0], |_| Harm::Delay(Duration::from_millis(2)));
    rig.discovery.tells(vec![instance("s-near", network.address, 0, "SERVING")]);
    let mut seeded = Seeded::new(seed);
    let script: Vec<Does> = (0..4000)
        .map(|_| match seeded.below(3) {
            0 => Does::CopiesAfter(Duration::from_millis(late[seeded.below(late.len() as u64) as usize])),
            _ => Does::Writes(SERVED),
        })
        .collect();
    rig.nodes[0].does(&script);
    std::thread::sleep(Duration::from_millis(100));
    let asks = |client: usize| {
        let mut connection = rig.client();
        let misled = |i: usize| {
            let id = format!("c{client}-{i}");
            let answer = connection.asks(&command(&id, "read", 0, 2000)).unwrap();
            answer.status() == 200 && answer.body != made_for(&id).into_bytes()
        };
        (0..120).map(misled).filter(|misled| *misled).count()
    };
    std::thread::scope(|scope| {
        let all: Vec<_> = (0..5).map(|client| scope.spawn(move || asks(client))).collect();
        all.into_iter().map(|client| client.join().unwrap()).sum()
    })
}

#[test]
fn late_copies_of_answers_mislead_nobody() {
    for (seed, late) in [(1, &[1, 2, 3, 4, 5, 6][..]), (2, &[12, 20][..]), (3, &[40, 70, 120, 200][..])] {
        assert_eq!(misled_by_copies(seed, late), 0, "copies that are {late:?} ms late");
    }
}

/// What stands between two requests in one piece: something that the host answers by itself, at once.
fn answered_at_once(form: usize, id: &str) -> Vec<u8> {
    let plain = String::from_utf8(command(id, "read", 0, 900)).unwrap();
    match form {
        0 => b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n".to_vec(),
        1 => plain.replace("X-Class: read", "X-Class: unheard-of").into_bytes(),
        _ => plain.replace("X-Deadline: 900m", "X-Deadline: 1m").into_bytes(),
    }
}

/// Sends three requests in one piece again and again until the connection ends; the answers to each piece.
fn pieces_of_three(mut client: Client, name: &str, form: usize) -> Vec<usize> {
    let mut answers = Vec::new();
    for batch in 0.. {
        let [first, second, third] = ["a", "b", "c"].map(|part| format!("{name}-{batch}-{part}"));
        let piece = [
            command(&first, "read", 0, 2500),
            answered_at_once(form, &second),
            command(&third, "read", 0, 2500),
        ];
        client.sends(&piece.concat());
        let came = (0..3).map_while(|_| client.hears()).count();
        answers.push(came);
        if came < 3 || client.is_over() {
            break;
        }
    }
    answers
}

#[test]
fn a_request_behind_one_that_is_answered_at_once_is_answered_at_the_planned_end() {
    for form in 0..3 {
        let mut rig = Rig::new(1);
        rig.nodes[0].always(Does::Waits(Duration::from_millis(120)));
        rig.signal("TERM");
        std::thread::sleep(Duration::from_millis(2800));
        let all: Vec<_> = (0..6)
            .map(|client| {
                std::thread::sleep(Duration::from_millis(21));
                let connection = rig.client();
                std::thread::spawn(move || pieces_of_three(connection, &format!("c{client}"), form))
            })
            .collect();
        for client in all {
            let answers = client.join().unwrap();
            assert!(answers.iter().all(|came| matches!(came, 0 | 3)), "form {form}: {answers:?}");
        }
        assert!(rig.ends().success());
    }
}

#[test]
fn requests_behind_one_that_hangs_are_answered_at_the_end_of_all_time() {
    let mut rig = Rig::new(1);
    rig.nodes[0].always(Does::Nothing);
    rig.signal("TERM");
    std::thread::sleep(Duration::from_millis(3000));
    let mut client = rig.client();
    let all: Vec<u8> = (0..4).flat_map(|i| command(&format!("r{i}"), "once", 0, 3000)).collect();
    let asked = Instant::now();
    client.sends(&all);
    for i in 0..4 {
        let answer = client.hears().unwrap_or_else(|| panic!("r{i} was read and has no answer"));
        assert!(matches!(answer.status(), 502 | 503), "{answer:?}");
    }
    assert!(
        asked.elapsed() < Duration::from_millis(700),
        "the end by force came first: {:?}",
        asked.elapsed()
    );
    assert!(rig.ends().success());
}

#[test]
fn however_much_comes_early_each_request_gets_its_answer() {
    let rig = Rig::new(1);
    rig.nodes[0].does(&[Does::Waits(Duration::from_millis(300))]);
    let mut client = rig.client();
    let many = 8000;
    let all: Vec<u8> = (0..many).flat_map(|i| command(&format!("r{i}"), "read", 0, 3000)).collect();
    assert!(all.len() > 3 << 19, "{} bytes", all.len());
    let mut sends = client.stream.try_clone().unwrap();
    let sending = std::thread::spawn(move || std::io::Write::write_all(&mut sends, &all));
    for i in 0..many {
        let answer = client.hears().unwrap_or_else(|| panic!("r{i} was read and has no answer"));
        match answer.status() {
            200 => served(Some(answer), &format!("r{i}")),
            status => assert_eq!(status, 503, "{answer:?}"),
        }
    }
    sending.join().unwrap().unwrap();
}

#[test]
fn a_flood_in_a_small_memory_is_answered_one_by_one() {
    let rig = Rig::with(1, Limits { memory_mb: 16, ..Limits::default() });
    rig.nodes[0].always(Does::Waits(Duration::from_millis(1)));
    let floods: Vec<_> = (0..8)
        .map(|flood| {
            let mut client = rig.client();
            let all: Vec<u8> =
                (0..2500).flat_map(|i| command(&format!("f{flood}-{i}"), "read", 0, 3000)).collect();
            std::thread::spawn(move || {
                let mut sends = client.stream.try_clone().unwrap();
                let sending = std::thread::spawn(move || std::io::Write::write_all(&mut sends, &all).is_ok());
                let answers = (0..2500).map_while(|_| client.hears()).count();
                (answers, sending.join().unwrap())
            })
        })
        .collect();
    for flood in floods {
        assert_eq!(flood.join().unwrap(), (2500, true), "answers, and whether all could be sent");
    }
    assert!(rig.most_memory() < 16 << 10, "{} KB", rig.most_memory());
}

#[test]
fn an_answer_that_comes_as_its_clients_time_to_ask_is_over_reaches_it() {
    // The module itself gives nothing up before.
    let rig = Rig::told(1, Limits::default(), |settings| {
        settings["limits"]["cancelling"] = json!(false);
        settings["profiles"][0]["slo_ns"] = json!(3_000_000_000u64);
    });
    // A connection is looked at 2.2 s after it came. The host is held up then, so that the look and the first answer
    // come to it in one moment.
    rig.nodes[0].always(Does::Waits(Duration::from_millis(2180)));
    let mut all: Vec<Client> = (0..8).map(|_| rig.client()).collect();
    for (i, client) in all.iter_mut().enumerate() {
        client.sends(&command(&format!("r{i}"), "read", 0, 2900));
    }
    std::thread::sleep(Duration::from_millis(2120));
    rig.signal("STOP");
    std::thread::sleep(Duration::from_millis(140));
    rig.signal("CONT");
    for (i, client) in all.iter_mut().enumerate() {
        let answer = client.hears().unwrap_or_else(|| panic!("r{i} has no answer"));
        match answer.status() {
            200 => served(Some(answer), &format!("r{i}")),
            // The module may have given the attempt up meanwhile.
            status => assert_eq!(status, 503, "{answer:?}"),
        }
    }
}
