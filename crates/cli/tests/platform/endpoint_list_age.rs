//! How old the endpoint list may become: whatever fails at discovery, a node that drains or went gets nothing new
//! once the change counts as told.

use crate::proxy::{Harm, Proxy};
use crate::rig::{command, instance, Discovery, Mood, Rig};
use crate::served;
use std::time::{Duration, Instant};

/// A change counts as told so long after discovery had it and could be reached; a node may still be sent to for the
/// grace, with the slack of the platform.
const TOLD: Duration = Duration::from_secs(6);
const GRACE: Duration = Duration::from_millis(250 + 50);

/// The rig's two nodes, the first of them in this state; both hold shard 0.
fn both(rig: &Rig, first: &str) -> Vec<serde_json::Value> {
    vec![instance("s-0", rig.addresses[0], 0, first), instance("s-1", rig.addresses[1], 0, "SERVING")]
}

fn asks(rig: &Rig, id: &str) {
    _ = rig.client().asks(&command(id, "read", 0, 900));
}

/// Asks on until some time after a change, and tells how long after it the first node got its last request.
fn last_sent_after(rig: &Rig, change: Instant, until: Duration) -> Duration {
    let mut last = Duration::ZERO;
    for ask in 0.. {
        let before = rig.nodes[0].count();
        asks(rig, &format!("r{ask}"));
        if rig.nodes[0].count() > before {
            last = change.elapsed();
        }
        if change.elapsed() > until {
            return last;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    unreachable!()
}

fn kept(last: Duration) {
    assert!(last <= TOLD + GRACE, "the drained node was sent to {last:?} after the change");
}

/// A host with a watch out at its first discovery, and another discovery that it does not know yet.
fn with_another() -> (Rig, std::sync::Arc<Discovery>, std::net::SocketAddr) {
    let rig = Rig::new(2);
    rig.discovery.tells(both(&rig, "SERVING"));
    rig.discovery.is_asked("a watch is open", |all| {
        all.iter().any(|call| call.contains("after=2") && call.contains("wait_ms=2000"))
    });
    let (other, other_at) = Discovery::new(both(&rig, "SERVING"));
    (rig, other, other_at)
}

#[test]
fn an_answer_of_the_former_discovery_leaves_the_retry_at_the_new_one_in_place() {
    let (mut rig, other, other_at) = with_another();
    let proxy = Proxy::before(other_at, |number| if number == 0 { Harm::Reset } else { Harm::None });
    rig.turns_to(proxy.address);
    rig.comes_to("the first call there has failed", |_| !proxy.came().is_empty());
    // The call to the former discovery is still out, and is answered.
    rig.discovery.tells(both(&rig, "SERVING"));
    std::thread::sleep(Duration::from_millis(200));
    other.tells(both(&rig, "DRAINING"));
    kept(last_sent_after(&rig, Instant::now(), Duration::from_millis(8500)));
}

#[test]
fn calls_that_stand_in_line_for_seconds_are_not_given_up() {
    let (mut rig, other, other_at) = with_another();
    let proxy = Proxy::before(other_at, |_| Harm::Delay(Duration::from_millis(2500)));
    rig.turns_to(proxy.address);
    rig.comes_to("it is called", |_| !proxy.came().is_empty());
    std::thread::sleep(Duration::from_millis(3500));
    other.tells(both(&rig, "DRAINING"));
    kept(last_sent_after(&rig, Instant::now(), Duration::from_millis(8500)));
}

#[test]
fn a_file_that_is_half_written_at_the_signal_is_read_when_it_is_whole() {
    let (mut rig, other, other_at) = with_another();
    rig.spoils_file();
    std::thread::sleep(Duration::from_millis(300));
    rig.names(other_at);
    // The former discovery tells nothing any more.
    rig.discovery.mood(Mood::Silent);
    other.tells(both(&rig, "DRAINING"));
    kept(last_sent_after(&rig, Instant::now(), Duration::from_millis(8500)));
}

#[test]
fn answers_that_are_no_list_leave_a_drained_node_alone_once_the_drain_binds() {
    let rig = Rig::new(2);
    rig.discovery.tells(both(&rig, "SERVING"));
    served(rig.client().asks(&command("before", "read", 0, 900)), "before");
    rig.discovery.mood(Mood::Odd);
    rig.discovery.tells(both(&rig, "DRAINING"));
    kept(last_sent_after(&rig, Instant::now(), Duration::from_millis(7500)));
    // Nobody is served by a list that may be wrong; requests wait for a good one, and get it.
    assert_eq!(rig.client().asks(&command("refused", "read", 0, 300)).unwrap().status(), 503);
    let mut waits = rig.client();
    waits.sends(&command("waits", "read", 0, 3000));
    rig.discovery.mood(Mood::Good);
    served(waits.hears(), "waits");
}

#[test]
fn a_silent_discovery_after_a_reload_leaves_a_drained_node_alone_once_the_drain_binds() {
    let (mut rig, other, other_at) = with_another();
    let proxy = Proxy::before(other_at, |_| Harm::Silence);
    rig.turns_to(proxy.address);
    rig.comes_to("it is called", |_| !proxy.came().is_empty());
    other.tells(both(&rig, "DRAINING"));
    let change = Instant::now();
    kept(last_sent_after(&rig, change, Duration::from_millis(7500)));
    proxy.plans(|_| Harm::None);
    let before = rig.nodes[1].count();
    rig.comes_to("it is heard again", |rig| {
        asks(rig, &format!("again{:?}", change.elapsed()));
        rig.nodes[1].count() > before
    });
    assert!(change.elapsed() < Duration::from_millis(7500 + 3500), "{:?}", change.elapsed());
}

#[test]
fn a_host_that_stood_still_sends_nothing_by_the_list_of_before() {
    let rig = Rig::new(2);
    rig.discovery.tells(vec![instance("s-0", rig.addresses[0], 0, "SERVING")]);
    let id = |n: u32| format!("r{n}");
    served(rig.client().asks(&command(&id(0), "read", 0, 900)), &id(0));
    rig.signal("STOP");
    rig.discovery.tells(both(&rig, "DRAINING"));
    let mut waits = rig.client();
    std::thread::sleep(TOLD + GRACE);
    let before = rig.nodes[0].count();
    waits.sends(&command(&id(1), "read", 0, 3000));
    rig.signal("CONT");
    let answer = waits.hears().expect("an answer");
    assert!(matches!(answer.status(), 200 | 503), "{answer:?}");
    assert_eq!(rig.nodes[0].count(), before, "the drained node was sent to");
}

#[test]
fn an_outage_of_discovery_leaves_the_host_serving_and_its_end_is_found_out_soon() {
    let (mut rig, other, other_at) = with_another();
    let proxy = Proxy::before(other_at, |_| Harm::None);
    rig.turns_to(proxy.address);
    other.is_asked("a watch is open", |all| all.iter().any(|call| call.contains("wait_ms=2000")));
    proxy.plans(|_| Harm::Reset);
    proxy.cuts();
    std::thread::sleep(Duration::from_millis(8000));
    served(rig.client().asks(&command("through", "read", 0, 900)), "through");
    other.tells(both(&rig, "DRAINING"));
    proxy.plans(|_| Harm::None);
    let heard = last_sent_after(&rig, Instant::now(), Duration::from_millis(4000));
    assert!(heard < Duration::from_millis(3000), "{heard:?} after the outage");
}
