//! Failures met, or traps known, each small: one defence fails one test.

mod common;

use common::*;
use magpiewick::*;

fn in_volume(volume: usize) -> Command {
    Command { volume, time_limit: 3000.0, ..command() }
}

/// A host whose first node has its window full, so that what follows waits in line.
fn full(start: Start) -> World {
    let mut w = World::new(start);
    while out(&w, 0) == w.seen.len() {
        w.take(in_volume(9));
    }
    w.give_up(w.seen.len() - 1);
    w
}

fn out(w: &World, node: usize) -> usize {
    w.seen.iter().filter(|s| s.out() && s.hand_offs.iter().any(|h| h.node == node)).count()
}

fn sends(w: &World, id: usize) -> usize {
    w.seen[id].hand_offs.len()
}

/// Settles one command after another and returns the order in which the held ones left.
fn order(w: &mut World, held: &[usize]) -> Vec<usize> {
    let mut left = Vec::new();
    for id in 0..w.seen.len() {
        w.outcome(id, Outcome::Settled);
        left.extend(held.iter().filter(|&&h| sends(w, h) > 0 && !left.contains(&h)).collect::<Vec<_>>());
    }
    left
}

#[test]
fn a_volume_is_not_charged_for_commands_that_left_unsent() {
    let mut w = full(start());
    let gone: Vec<usize> = (0..20).map(|_| w.take(in_volume(1))).collect();
    gone.into_iter().for_each(|id| w.give_up(id));
    let held = [w.take(in_volume(2)), w.take(in_volume(2)), w.take(in_volume(1))];
    assert_eq!(order(&mut w, &held), [held[0], held[2], held[1]]);
}

#[test]
fn a_marked_command_that_leaves_unsent_does_not_stall_the_frame() {
    // A counter left up would hold the potential back, and a volume that comes later would catch up on
    // service that it never asked for.
    let mut s = start();
    s.plans[0].reserve = 0.0;
    let mut w = full(s);
    let gone: Vec<usize> = (0..40).map(|_| w.take(in_volume(1))).collect();
    let held: Vec<usize> = (0..30).map(|_| w.take(in_volume(2))).collect();
    gone.into_iter().rev().for_each(|id| w.give_up(id));
    for id in 0..held[20] {
        w.outcome(id, Outcome::Settled);
    }
    let late: Vec<usize> = (0..4).map(|_| w.take(in_volume(3))).collect();
    let rest: Vec<usize> = held.iter().chain(&late).copied().filter(|&id| sends(&w, id) == 0).collect();
    let order = order(&mut w, &rest);
    let ahead = order.iter().take_while(|id| late.contains(id)).count();
    assert!(ahead < late.len(), "the latecomer went ahead with all it had: {order:?}");
}

#[test]
fn a_key_that_waits_stalls_no_other_key_of_its_volume() {
    let mut w = World::new(start());
    let keyed = |key| Command { band: 1, key: Some(key), ..command() };
    let (first, second, other) = (w.take(keyed(1)), w.take(keyed(1)), w.take(keyed(2)));
    assert_eq!([sends(&w, first), sends(&w, second), sends(&w, other)], [1, 0, 1]);
    w.outcome(first, Outcome::Reset);
    assert_eq!(sends(&w, second), 0);
}

#[test]
fn a_host_that_starts_does_not_take_its_store_for_full() {
    let mut w = World::new(start());
    let limited = Command { plan: 1, units: 4.0, time_limit: 2000.0, ..command() };
    w.pass(2000.0);
    w.restart();
    let id = w.take(limited);
    assert_eq!(sends(&w, id), 0);
    w.pass(110.0);
    assert_eq!(sends(&w, id), 1);
}

#[test]
fn units_that_wait_in_line_leave_no_room_for_the_store_to_fill() {
    let mut s = start();
    s.bands[0].soft_limit = 2000.0;
    let mut w = World::new(s);
    w.pass(2000.0);
    while out(&w, 0) == w.seen.len() {
        w.take(in_volume(9));
    }
    (0..10).for_each(|_| _ = w.take(Command { plan: 1, units: 4.0, ..in_volume(1) }));
    w.pass(500.0);
    (0..w.seen.len()).for_each(|id| w.outcome(id, Outcome::Settled));
}

#[test]
fn a_host_that_starts_leaves_a_cold_node_alone_for_one_window() {
    let mut w = World::new(start());
    w.set(0, Condition::Ready, Some(w.now - 10.0));
    w.restart();
    let id = w.take(command());
    assert_eq!(sends(&w, id), 0);
}

#[test]
fn a_cold_node_is_sent_more_as_it_settles_and_small_commands_pass_large_ones() {
    let mut w = World::new(start());
    w.pass(1100.0);
    w.set(0, Condition::Ready, Some(w.now));
    let big = |units| Command { units, time_limit: 3000.0, ..command() };
    let (first, second) = (w.take(big(4.0)), w.take(big(4.0)));
    let small = w.take(big(1.0));
    assert_eq!([sends(&w, first), sends(&w, second), sends(&w, small)], [1, 0, 1]);
    w.outcome(first, Outcome::Settled);
    assert_eq!(sends(&w, second), 1);
}

#[test]
fn what_a_node_settled_before_its_restart_proves_nothing_after_it() {
    let mut w = World::new(start());
    w.pass(1100.0);
    (0..20).for_each(|_| {
        let id = w.take(command());
        w.outcome(id, Outcome::Settled);
    });
    w.pass(950.0);
    let before = w.sent.len();
    (0..4).for_each(|_| {
        let id = w.take(command());
        w.outcome(id, Outcome::Settled);
    });
    w.set(0, Condition::Ready, Some(w.now));
    w.settled.clear();
    w.pass(100.0);
    (0..8).for_each(|_| _ = w.take(command()));
    assert_eq!(w.sent.len() - before, 6);
}

#[test]
fn a_settled_write_proves_only_half_of_its_units_at_a_cold_node() {
    let sent = |band| {
        let mut w = World::new(start());
        w.pass(1100.0);
        w.set(0, Condition::Ready, Some(w.now));
        let of = |units| Command { band, units, time_limit: 3000.0, ..command() };
        let first = w.take(of(4.0));
        w.outcome(first, Outcome::Settled);
        let (second, third) = (w.take(of(4.0)), w.take(of(1.0)));
        [sends(&w, second), sends(&w, third)]
    };
    assert_eq!((sent(0), sent(1)), ([1, 1], [1, 0]));
}

#[test]
fn a_binding_command_is_repeated_only_on_proof() {
    let mut w = World::new(start());
    let binding = || Command { band: 2, ..command() };
    let (full, reset) = (w.take(binding()), w.take(binding()));
    w.outcome(full, Outcome::Full);
    w.outcome(reset, Outcome::Reset);
    assert_eq!(w.seen[reset].answered, Some(Some(Ending::Scrapped)));
    w.pass(150.0);
    assert_eq!(sends(&w, full), 2);
}

#[test]
fn a_list_that_fails_or_falls_silent_is_asked_for_again() {
    let mut w = World::new(start());
    assert_eq!(w.asked, 1);
    w.list(News::Failed);
    w.pass(100.0);
    assert_eq!(w.asked, 2);
    w.pass(9000.0);
    assert!(w.asked >= 3);
    w.list(News::Whole);
    let asked = w.asked;
    w.pass(9500.0);
    assert_eq!(w.asked, asked + 1);
}

#[test]
fn what_can_no_longer_earn_gets_its_answer_at_once() {
    let mut w = full(start());
    let id = w.take(in_volume(1));
    w.pass(150.0);
    assert_eq!(w.seen[id].answered, None);
    w.pass(60.0);
    assert!(matches!(w.seen[id].answered, Some(Some(Ending::Bounced { back })) if back > 0.0));
    // A client's later try comes with less time left: it is late as it arrives.
    let again = w.take(Command { time_limit: 2700.0, ..in_volume(1) });
    assert!(w.seen[again].answered.is_some());
}

#[test]
fn a_hand_off_whose_answer_is_lost_gives_its_place_back_and_is_tried_again() {
    let mut s = start();
    s.bands[0].soft_limit = 500.0;
    let settled_later = |others: usize| {
        let mut w = World::new(s.clone());
        let lost = w.take(in_volume(1));
        w.pass(150.0);
        for _ in 0..others {
            let id = w.take(in_volume(1));
            w.pass(20.0);
            w.outcome(id, Outcome::Settled);
        }
        w.pass(400.0 - 20.0 * others as f64);
        (sends(&w, lost), w.seen[lost].answered.is_some())
    };
    assert_eq!((settled_later(3), settled_later(10)), ((1, false), (1, true)));
    // A silent node is tried again, each time after a longer rest.
    let mut w = full(s);
    w.pass(550.0);
    let before = w.sent.len();
    (0..60).for_each(|_| {
        w.take(in_volume(1));
        w.pass(100.0);
    });
    assert!((3..12).contains(&(w.sent.len() - before)), "{}", w.sent.len() - before);
}

#[test]
fn what_is_past_its_soft_limit_takes_no_place_at_a_jammed_node() {
    let mut w = World::new(start());
    for _ in 0..20 {
        let id = w.take(in_volume(1));
        w.pass(100.0);
        w.outcome(id, Outcome::Settled);
    }
    (0..20).for_each(|_| _ = w.take(in_volume(1)));
    w.pass(10.0);
    let late = w.take(Command { time_limit: 2700.0, ..in_volume(1) });
    assert_eq!((sends(&w, late), w.seen[late].answered.is_some()), (0, true));
    let mut calm = World::new(start());
    (0..20).for_each(|_| _ = calm.take(in_volume(1)));
    (0..20).for_each(|id| calm.outcome(id, Outcome::Settled));
    let late = calm.take(Command { time_limit: 2700.0, ..in_volume(1) });
    assert_eq!(sends(&calm, late), 1);
}

#[test]
fn time_limits_of_many_lengths_are_not_taken_for_later_tries() {
    let mut w = World::new(start());
    for n in 0..40 {
        w.take(Command { time_limit: 3000.0 - 60.0 * f64::from(n), ..in_volume(1) });
        w.give_up(w.seen.len() - 1);
        w.outcome(w.seen.len() - 1, Outcome::Cancelled);
    }
    (0..40).for_each(|n| _ = w.take(Command { time_limit: 2900.0 - f64::from(n), ..in_volume(1) }));
    let id = w.take(Command { time_limit: 2000.0, ..in_volume(1) });
    assert_eq!(w.seen[id].answered, None);
}

#[test]
fn what_waits_for_a_node_that_drains_goes_to_the_one_that_takes_its_shard() {
    let mut w = full(start());
    let id = w.take(in_volume(1));
    w.set(0, Condition::Draining, None);
    w.set(2, Condition::Ready, None);
    assert_eq!(w.seen[id].hand_offs[0].node, 2);
}

#[test]
fn a_command_that_names_no_node_goes_where_a_place_is_free() {
    let mut w = full(start());
    let id = w.take(Command { shard: None, ..in_volume(1) });
    assert_eq!(w.seen[id].hand_offs[0].node, 1);
}

#[test]
fn a_silent_node_does_not_take_the_window_again_after_time_outs() {
    let mut w = full(start());
    w.pass(4000.0);
    (0..8).for_each(|_| _ = w.take(in_volume(1)));
    assert_eq!(out(&w, 0), 1);
}

#[test]
fn slow_answers_narrow_the_window_under_its_floor_and_quick_ones_widen_it() {
    let held = |latency: Ms| {
        let mut w = World::new(start());
        for _ in 0..100 {
            (0..6).for_each(|_| _ = w.take(in_volume(1)));
            w.pass(latency);
            (0..w.seen.len()).for_each(|id| w.outcome(id, Outcome::Settled));
            (0..w.seen.len()).for_each(|id| w.give_up(id));
        }
        (0..40).for_each(|_| _ = w.take(in_volume(1)));
        out(&w, 0)
    };
    assert_eq!((held(120.0), held(10.0) > 4), (1, true));
}

#[test]
fn a_surging_volume_keeps_what_its_reserve_covers() {
    let mut w = full(start());
    let surge: Vec<usize> = (0..40).map(|_| w.take(in_volume(1))).collect();
    let other: Vec<usize> = (0..10).map(|_| w.take(in_volume(2))).collect();
    let all: Vec<usize> = surge.iter().chain(&other).copied().collect();
    let first: Vec<usize> = order(&mut w, &all).into_iter().take(10).collect();
    assert_eq!(first.iter().filter(|id| surge.contains(id)).count(), 5, "{first:?}");
}

#[test]
fn what_a_client_gives_up_is_cancelled_where_it_still_runs() {
    let mut w = World::new(start());
    let id = w.take(command());
    w.give_up(id);
    assert_eq!(w.cancelled, [id]);
}
