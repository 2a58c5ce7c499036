//! Each request that was read gets exactly one answer, its own, whatever arrives on a connection outside an exchange
//! and whatever ends while something is owed.

use crate::rig::{command, made_for, Client, Does, Rig, Stray};
use std::time::Duration;

/// Asks one request after the other with a rest between them; each answer must be its own.
fn asks_in_turn(rig: &Rig, name: &str, band: &str, rest: Duration) {
    let mut client = rig.client();
    for i in 0..6 {
        let id = format!("{name}-{i}");
        let answer =
            client.asks(&command(&id, band, 0, 2000)).unwrap_or_else(|| panic!("{id} has no answer"));
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        match answer.status() {
            200 => assert_eq!(body, made_for(&id), "{id} got an answer that was not made for it"),
            status => assert!(band == "once" && status == 502, "{id}: {status} {body}"),
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
        for rest in [0, 15, 250] {
            for band in ["read", "once"] {
                let rig = Rig::new(1);
                rig.nodes[0].always(Does::ServesBehind(stray));
                asks_in_turn(&rig, &format!("{band}-{rest}"), band, Duration::from_millis(rest));
            }
        }
    }
}

/// What stands between two commands in one piece: something that the host answers by itself, at once.
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
