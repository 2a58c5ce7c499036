//! How old the list of nodes may become: whatever fails at discovery, a node that drains or went gets nothing new
//! once the change counts as told.

use crate::proxy::{Harm, Proxy};
use crate::rig::{command, instance, Discovery, Rig};
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
    rig.discovery.mood(crate::rig::Mood::Silent);
    other.tells(both(&rig, "DRAINING"));
    kept(last_sent_after(&rig, Instant::now(), Duration::from_millis(8500)));
}
