//! Failures met, or traps known, each small: one defence fails one test.

mod common;

use common::*;
use magpiewick::*;
use std::collections::BTreeMap;

fn in_volume(volume: usize) -> Request {
    Request { volume, client_timeout: 3000.0, ..request() }
}

/// A host whose first node has its window full, so that what follows waits in line.
fn full(start: SchedulerConfig) -> World {
    let mut w = World::new(start);
    while out(&w, 0) == w.seen.len() {
        w.take(in_volume(9));
    }
    w.give_up(w.seen.len() - 1);
    w
}

fn out(w: &World, node: usize) -> usize {
    w.seen.iter().filter(|s| s.out() && s.attempts.iter().any(|h| h.node == node)).count()
}

fn sends(w: &World, id: usize) -> usize {
    w.seen[id].attempts.len()
}

fn order(w: &mut World, held: &[usize]) -> Vec<usize> {
    let mut left = Vec::new();
    for id in 0..w.seen.len() {
        w.outcome(id, Outcome::Succeeded);
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
        w.outcome(id, Outcome::Succeeded);
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
    let keyed = |key| Request { class: 1, key: Some(key), ..request() };
    let (first, second, other) = (w.take(keyed(1)), w.take(keyed(1)), w.take(keyed(2)));
    assert_eq!([sends(&w, first), sends(&w, second), sends(&w, other)], [1, 0, 1]);
    w.outcome(first, Outcome::Reset);
    assert_eq!(sends(&w, second), 0);
}

#[test]
fn a_host_that_starts_does_not_take_its_store_for_full() {
    let mut w = World::new(start());
    let limited = Request { plan: 1, units: 4.0, client_timeout: 2000.0, ..request() };
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
    s.classes[0].latency_objective = 2000.0;
    let mut w = World::new(s);
    w.pass(2000.0);
    while out(&w, 0) == w.seen.len() {
        w.take(in_volume(9));
    }
    (0..10).for_each(|_| _ = w.take(Request { plan: 1, units: 4.0, ..in_volume(1) }));
    w.pass(500.0);
    (0..w.seen.len()).for_each(|id| w.outcome(id, Outcome::Succeeded));
}

/// Forty hosts at a node that starts anew while demand trebles: the most of its bound that a rule's window
/// held, and all that was sent over what the node could do.
fn many_hosts_at_a_cold_node(restarts: bool) -> (f64, f64) {
    let s = SchedulerConfig { hosts: 40.0, ..start() };
    let mut hosts: Vec<World> =
        (0..40).map(|n| World::new(SchedulerConfig { seed: 7 + n, ..s.clone() })).collect();
    let ask = |w: &mut World, turn: usize| {
        let id = w.take(Request { units: 1.0 + (turn % 4) as f64, ..in_volume(1) });
        w.outcome(id, Outcome::Succeeded);
    };
    for turn in 0..520 {
        hosts.iter_mut().for_each(|w| w.pass(25.0));
        ask(&mut hosts[turn % 40], turn / 40);
    }
    let (restart, capacity) = (hosts[0].now, 2.5 / 25.0);
    for turn in 0..160 {
        for (n, w) in hosts.iter_mut().enumerate() {
            w.pass(25.0);
            if turn == n {
                w.set(0, EndpointState::Ready, Some(restart));
            }
            if restarts && turn == 40 + 3 * n {
                w.restart();
            }
            if turn > n && (turn + n) % 10 == 0 {
                ask(w, turn / 10);
            }
        }
    }
    let sent = |from: Ms, to: Ms| -> f64 {
        let known = |n: usize| from.max(restart + 25.0 * (n + 1) as f64);
        let all = hosts.iter().enumerate().flat_map(|(n, w)| w.sent.iter().filter(move |s| s.0 > known(n)));
        all.filter(|s| s.0 <= to).map(|s| s.2).sum()
    };
    let able = |from: Ms, to: Ms| {
        capacity * (to - from) * (s.slow_start_share + 0.4 * (from + to) / s.slow_start_duration)
    };
    let over = (0..60).map(|k| {
        let to = s.overload_window + 50.0 * f64::from(k);
        sent(restart + to - s.overload_window, restart + to)
            / (s.overload_multiple * able(to - s.overload_window, to))
    });
    (
        over.fold(0.0, f64::max),
        sent(restart, restart + s.slow_start_duration) / able(0.0, s.slow_start_duration),
    )
}

#[test]
fn many_hosts_together_neither_push_a_cold_node_over_nor_leave_it_idle() {
    for restarts in [false, true] {
        let (over, used) = many_hosts_at_a_cold_node(restarts);
        assert!(over <= 1.0 && used > 0.5, "bound used {over}, node used {used}, {restarts}");
    }
}

#[test]
fn under_a_jam_only_what_the_reserve_covers_and_pays_well_leaves_without_rests() {
    let left = |priority_weight: f64| {
        let mut s = SchedulerConfig { hosts: 40.0, ..start() };
        s.classes[1].priority_weight = priority_weight;
        let mut w = World::new(s);
        for _ in 0..80 {
            let id = w.take(in_volume(1));
            w.pass(150.0);
            w.outcome(id, Outcome::Succeeded);
        }
        for _ in 0..20 {
            let id = w.take(in_volume(2));
            w.outcome(id, Outcome::Succeeded);
        }
        let (excess, reserved) = (w.take(in_volume(2)), w.take(in_volume(3)));
        [sends(&w, excess), sends(&w, reserved)]
    };
    assert_eq!((left(1.0), left(3.0)), ([0, 1], [0, 0]));
}

#[test]
fn a_binding_command_is_repeated_only_on_proof() {
    let mut w = World::new(start());
    let binding = || Request { class: 2, ..request() };
    let (full, reset) = (w.take(binding()), w.take(binding()));
    w.outcome(full, Outcome::Overloaded);
    w.outcome(reset, Outcome::Reset);
    assert_eq!(w.seen[reset].answered, Some(Some(FinalStatus::Failed)));
    w.pass(150.0);
    assert_eq!(sends(&w, full), 2);
}

#[test]
fn a_list_that_fails_or_falls_silent_is_asked_for_again() {
    let mut w = World::new(start());
    assert_eq!(w.asked, 1);
    w.list(EndpointUpdate::PollFailed);
    w.pass(100.0);
    assert_eq!(w.asked, 2);
    w.pass(9000.0);
    assert!(w.asked >= 3);
    w.list(EndpointUpdate::Snapshot);
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
    assert!(
        matches!(w.seen[id].answered, Some(Some(FinalStatus::Rejected { retry_after })) if retry_after > 0.0)
    );
    let again = w.take(Request { client_timeout: 2700.0, ..in_volume(1) });
    assert!(w.seen[again].answered.is_some());
}

#[test]
fn clients_turned_away_together_are_told_to_come_back_one_after_the_other() {
    let mut w = full(start());
    let all: Vec<usize> = (0..200).map(|_| w.take(in_volume(1))).collect();
    w.pass(210.0);
    let longest = start().max_retry_after;
    let mut tenths = [0; 10];
    for id in all {
        let Some(Some(FinalStatus::Rejected { retry_after })) = w.seen[id].answered else {
            panic!("{id} is not bounced")
        };
        assert!(retry_after >= 0.75 * longest && retry_after <= longest, "{retry_after} of {longest}");
        tenths[((retry_after / longest - 0.75) * 39.99) as usize] += 1;
    }
    assert!(tenths.iter().all(|n| (5..40).contains(n)), "{tenths:?}");
}

#[test]
fn a_hand_off_whose_answer_is_lost_gives_its_place_back_and_is_tried_again() {
    let mut s = start();
    s.classes[0].latency_objective = 500.0;
    let settled_later = |others: usize| {
        let mut w = World::new(s.clone());
        let lost = w.take(in_volume(1));
        w.pass(150.0);
        for _ in 0..others {
            let id = w.take(in_volume(1));
            w.pass(20.0);
            w.outcome(id, Outcome::Succeeded);
        }
        w.pass(400.0 - 20.0 * others as f64);
        (sends(&w, lost), w.seen[lost].answered.is_some())
    };
    assert_eq!((settled_later(3), settled_later(10)), ((1, false), (2, false)));
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
fn time_limits_of_many_lengths_are_not_taken_for_later_tries() {
    let mut w = World::new(start());
    for n in 0..40 {
        w.take(Request { client_timeout: 3000.0 - 60.0 * f64::from(n), ..in_volume(1) });
        w.give_up(w.seen.len() - 1);
        w.outcome(w.seen.len() - 1, Outcome::Cancelled);
    }
    (0..40).for_each(|n| _ = w.take(Request { client_timeout: 2900.0 - f64::from(n), ..in_volume(1) }));
    let id = w.take(Request { client_timeout: 2000.0, ..in_volume(1) });
    assert_eq!(w.seen[id].answered, None);
}

#[test]
fn what_waits_for_a_node_that_drains_goes_to_the_one_that_takes_its_shard() {
    let mut w = full(start());
    let id = w.take(in_volume(1));
    w.set(0, EndpointState::Draining, None);
    w.set(2, EndpointState::Ready, None);
    assert_eq!(w.seen[id].attempts[0].node, 2);
}

#[test]
fn a_cold_successor_waits_until_the_node_before_it_goes_or_fails() {
    let mut w = World::new(start());
    w.pass(1100.0);
    w.set(2, EndpointState::Ready, Some(w.now));
    let before = w.take(in_volume(1));
    assert_eq!(w.seen[before].attempts[0].node, 0);
    w.outcome(before, Outcome::ConnectFailed);
    w.give_up(before);
    w.pass(600.0);
    let after = w.take(in_volume(1));
    w.pass(150.0);
    assert_eq!(w.seen[after].attempts[0].node, 2);
}

#[test]
fn past_the_soft_limit_reserved_commands_rest_as_well() {
    let mut w = World::new(SchedulerConfig { hosts: 40.0, ..start() });
    for _ in 0..80 {
        let id = w.take(in_volume(1));
        w.pass(300.0);
        w.outcome(id, Outcome::Succeeded);
    }
    let (first, second) = (w.take(in_volume(2)), w.take(in_volume(3)));
    w.outcome(first, Outcome::Succeeded);
    w.pass(10.0);
    assert_eq!(sends(&w, first) + sends(&w, second), 0);
}

#[test]
fn a_command_that_names_no_node_goes_where_a_place_is_free() {
    let mut w = full(start());
    let id = w.take(Request { shard: None, ..in_volume(1) });
    assert_eq!(w.seen[id].attempts[0].node, 1);
}

#[test]
fn hosts_spread_their_new_objects_over_the_nodes() {
    let first = |seed| {
        let mut w = World::new(SchedulerConfig { seed, ..start() });
        let id = w.take(Request { shard: None, ..in_volume(1) });
        w.seen[id].attempts[0].node
    };
    let at_first = (0..40).filter(|&seed| first(seed) == 0).count();
    assert!((10..30).contains(&at_first), "{at_first} of 40 hosts chose the same node");
}

fn told(node: usize, out: u32, waits: bool) -> GossipReport {
    GossipReport { node, out, waits, answers: 0, wait: 0.0 }
}

/// Leaves four of a volume out at a node; its reserve covers none for some time.
fn spend_reserve(w: &mut World, of: &Request) {
    (0..4).for_each(|_| _ = w.take(of.clone()));
}

#[test]
fn what_others_have_out_takes_places_until_their_word_is_old() {
    let mut s = SchedulerConfig { hosts: 3.0, peer: Some(0), ..start() };
    s.classes[0].latency_objective = 1000.0;
    let mut w = World::new(s);
    let excess = || Request { units: 4.0, client_timeout: 2000.0, ..in_volume(2) };
    spend_reserve(&mut w, &excess());
    (0..4).for_each(|id| w.outcome(id, Outcome::Succeeded));
    let word = [told(0, 12, false)];
    w.scheduler.on_gossip(w.now, 1, &word);
    w.scheduler.on_gossip(w.now, 1, &word);
    let id = w.take(excess());
    w.pass(50.0);
    assert_eq!(sends(&w, id), 0, "its places are taken");
    w.scheduler.on_gossip(w.now, 2, &[told(0, 1, false)]);
    w.scheduler.on_gossip(w.now, 1, &[told(0, 1, false)]);
    w.pass(2.0);
    assert_eq!(sends(&w, id), 1, "said twice, it counted twice");
    w.scheduler.on_gossip(w.now, 1, &word);
    let id = w.take(excess());
    w.pass(150.0);
    assert_eq!(sends(&w, id), 0);
    w.pass(250.0);
    assert_eq!(sends(&w, id), 1, "an old word holds it back");
}

#[test]
fn a_host_where_nothing_waits_tells_half_as_often() {
    let words = |waiting: usize| {
        let mut s = SchedulerConfig { peer: Some(0), ..start() };
        s.classes[0].latency_objective = 3000.0;
        let mut w = World::new(s);
        (0..4 + waiting).for_each(|_| _ = w.take(Request { units: 4.0, ..in_volume(2) }));
        w.pass(1000.0);
        w.told_others.len()
    };
    let (calm, busy) = (words(0), words(4));
    assert!((4..7).contains(&calm) && busy > 8, "{calm} and {busy} words in a second");
}

#[test]
fn hosts_that_wait_for_the_same_node_do_not_take_its_free_place_together() {
    let left = |rivals: usize| {
        let at_once = |seed: u64| {
            let mut w = World::new(SchedulerConfig { hosts: 20.0, peer: Some(0), seed, ..start() });
            let excess = Request { units: 4.0, ..in_volume(2) };
            spend_reserve(&mut w, &excess);
            w.pass(10.0);
            (0..4).for_each(|id| w.outcome(id, Outcome::Succeeded));
            (1..=rivals).for_each(|from| w.scheduler.on_gossip(w.now, from, &[told(0, 0, true)]));
            let id = w.take(excess);
            sends(&w, id)
        };
        (0..20).map(at_once).sum::<usize>()
    };
    assert!(left(0) >= 2 * left(10), "{} leave at once alone, {} beside ten hosts", left(0), left(10));
}

#[test]
fn one_hand_off_without_an_answer_closes_no_node_that_others_tell_of() {
    let sent = |lost: usize, hears: bool| {
        let mut w = World::new(SchedulerConfig { peer: Some(0), ..start() });
        for _ in 0..lost {
            w.take(in_volume(1));
            for _ in 0..25 * usize::from(hears) {
                w.pass(10.0);
                w.hear(1, &[told(1, 1, false)]);
            }
            w.pass(250.0 * f64::from(!hears));
        }
        let id = w.take(in_volume(2));
        sends(&w, id)
    };
    assert_eq!([sent(1, true), sent(3, true), sent(1, false)], [1, 0, 0]);
}

#[test]
fn slow_answers_narrow_the_window_under_its_floor_and_quick_ones_widen_it() {
    let held = |latency: Ms| {
        let mut w = World::new(start());
        for _ in 0..100 {
            (0..6).for_each(|_| _ = w.take(in_volume(1)));
            w.pass(latency);
            (0..w.seen.len()).for_each(|id| w.outcome(id, Outcome::Succeeded));
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
    let id = w.take(request());
    w.give_up(id);
    assert_eq!(w.cancelled, [id]);
}

#[test]
fn what_waits_follows_its_data_and_is_not_charged_where_it_left() {
    let mut w = full(start());
    let held: Vec<usize> = (0..3).map(|_| w.take(in_volume(1))).collect();
    assert!(held.iter().all(|&id| sends(&w, id) == 0));
    w.moved(held[1], 1);
    assert_eq!(w.seen[held[1]].attempts.iter().map(|h| h.node).collect::<Vec<_>>(), [1]);
    assert!(sends(&w, held[0]) == 0 && sends(&w, held[2]) == 0);
}

#[test]
fn a_moved_command_is_sent_anew_within_the_budget_and_its_limit_is_not_drawn_twice() {
    let mut w = World::new(start());
    w.pass(2000.0);
    // Binding, with a limit that holds for one such request only.
    let limited = |shard| Request { class: 2, plan: 1, units: 4.0, shard: Some(shard), ..in_volume(5) };
    let id = w.take(limited(0));
    assert_eq!(sends(&w, id), 1);
    w.outcome(id, Outcome::ShardMoved);
    assert_eq!(sends(&w, id), 1, "sent again where the data is no more");
    w.moved(id, 1);
    assert_eq!(w.seen[id].attempts.iter().map(|h| h.node).collect::<Vec<_>>(), [0, 1]);
    w.outcome(id, Outcome::Succeeded);
    // The model of the rules has counted one draw; a second one would leave less than is there.
    let next = w.take(Request { units: 1.0, ..limited(1) });
    w.pass(60.0);
    assert_eq!(sends(&w, next), 1);
}

#[test]
fn a_fingerprinted_command_that_may_have_run_does_not_follow_its_data_out_of_its_group() {
    let mut w = World::new(start());
    let id = w.take(Request { class: 1, key: Some(3), ..in_volume(1) });
    w.outcome(id, Outcome::Reset);
    w.moved(id, 1);
    w.pass(500.0);
    assert!(w.seen[id].attempts.iter().all(|h| h.node == 0));
    assert_eq!(w.seen[id].answered, Some(Some(FinalStatus::Failed)));
}

#[test]
fn a_node_that_gave_data_away_is_no_worse_for_it() {
    let mut w = World::new(start());
    for _ in 0..2 {
        let id = w.take(in_volume(1));
        w.outcome(id, Outcome::ShardMoved);
        w.moved(id, 1);
    }
    let other = w.take(in_volume(2));
    assert_eq!(sends(&w, other), 1, "the node rests though nothing ails it");
}

#[test]
fn a_connection_that_breaks_holds_its_node_back_no_more_than_one_that_serves() {
    let mut w = World::new(start());
    let (reset, other) = (w.take(in_volume(1)), w.take(in_volume(2)));
    w.outcome(reset, Outcome::Reset);
    assert_eq!(sends(&w, reset), 2, "the node rests though it serves");
    w.outcome(other, Outcome::ConnectFailed);
    let next = w.take(in_volume(3));
    assert_eq!(sends(&w, next), 0, "a node that refuses connections rests");
}

/// Ends each of these with proof that nothing ran.
fn turn_away(w: &mut World, ids: &[usize]) {
    ids.iter().for_each(|id| w.outcome(*id, Outcome::DeadlineExceeded));
}

#[test]
fn what_leaves_together_takes_one_place_until_its_last_part_ends() {
    let mut w = full(start());
    let held: Vec<usize> = (0..40).map(|_| w.take(in_volume(1))).collect();
    w.together = true;
    turn_away(&mut w, &[0]);
    let left = |w: &World| held.iter().copied().filter(|&id| sends(w, id) > 0).collect::<Vec<_>>();
    let first = left(&w);
    assert!(first.len() > 3, "a frame holds several of them: {}", first.len());
    assert!(first.len() < 30, "no more than a frame holds leave together: {}", first.len());
    turn_away(&mut w, &[1]);
    let second = left(&w);
    assert!(second.len() > first.len(), "all of the first take one place");
    turn_away(&mut w, &second[1..first.len()]);
    assert_eq!(left(&w), second, "a place is not free while a part is out");
    turn_away(&mut w, &second[..1]);
    assert!(left(&w).len() > second.len(), "the place is free");
}

#[test]
fn a_batch_is_judged_by_what_all_of_it_weighs() {
    let mut w = World::new(start());
    // Nodes whose work takes as long as their units say; windows are read off what is out.
    let turn = |w: &mut World, together: bool| {
        w.together = together;
        (0..60).for_each(|n| _ = w.take(in_volume(1 + n % 3)));
        let mut batches: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for id in (0..w.seen.len()).filter(|id| w.seen[*id].out()) {
            batches.entry(w.seen[id].attempts.last().unwrap().first).or_default().push(id);
        }
        let mut parts: Vec<(usize, usize)> =
            batches.values().flat_map(|b| b.iter().map(|id| (b.len(), *id))).collect();
        parts.sort_unstable();
        let began = w.now;
        for (weight, id) in &parts {
            w.now = began + 2.0 + *weight as f64;
            w.outcome(*id, Outcome::Succeeded);
        }
        w.pass(100.0);
        batches.len()
    };
    (0..30).for_each(|_| _ = turn(&mut w, false));
    (0..30).for_each(|_| _ = turn(&mut w, true));
    let after = turn(&mut w, false);
    assert!(after > 4, "the window is {after} after batches");
}

#[test]
fn a_companion_is_held_to_its_key_its_limit_and_its_node() {
    let mut w = full(start());
    w.together = true;
    let line = Request { class: 1, key: Some(3), ..in_volume(1) };
    let ordered = [w.take(line.clone()), w.take(line)];
    let limited: Vec<usize> = (0..60).map(|_| w.take(Request { plan: 1, ..in_volume(3) })).collect();
    let elsewhere = w.take(Request { shard: Some(1), ..in_volume(1) });
    let away = sends(&w, elsewhere);
    turn_away(&mut w, &[0]);
    // The model of the rules sees that none breaks its key's order or its volume's limit.
    assert!(sends(&w, ordered[1]) == 0 || !w.seen[ordered[0]].out());
    assert!(limited.iter().filter(|id| sends(&w, **id) > 0).count() < 60);
    assert_eq!(sends(&w, elsewhere), away, "its node is another");
}
