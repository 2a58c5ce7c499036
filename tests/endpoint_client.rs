//! The client of the list's service: what it asks, when, and which answers it takes in.

use magpiewick::*;

const WAIT: Ms = 2000.0;
const FIRST_WAIT: Ms = 500.0;
const LATE: Ms = 900.0;
const FIRST_LATE: Ms = 2000.0;

fn pace() -> Pace {
    Pace {
        wait: WAIT,
        first_wait: FIRST_WAIT,
        late: LATE,
        first_late: FIRST_LATE,
        most_calls: 3,
        max_poll_interval: 10_000.0,
    }
}

fn rules() -> FreshnessRules {
    FreshnessRules { binds_after: 6000.0, binds_after_reload: 4000.0, stall: 150.0, silent_when_down: false }
}

fn client(remembered: Option<u64>) -> EndpointClient {
    EndpointClient::new(pace(), rules(), 7, 0.0, 0.0, remembered)
}

/// The steps that are due now.
fn steps(client: &mut EndpointClient, now: Ms) -> Vec<Step> {
    std::iter::from_fn(|| client.due(now)).collect()
}

/// The one call that is due now, and what it asks for.
fn call(client: &mut EndpointClient, now: Ms) -> (u64, Target) {
    let steps = steps(client, now);
    let [Step::Call { call, target }] = steps[..] else { panic!("not one call: {steps:?}") };
    client.connected(call);
    (call, target)
}

/// The next call, at its time.
fn next_call(client: &mut EndpointClient) -> (u64, Target) {
    let at = client.next_call_at();
    call(client, at)
}

fn whole(generation: u64) -> Answered {
    Answered { generation, whole: true, lines: 8 }
}

fn nothing_new(generation: u64) -> Answered {
    Answered { generation, whole: false, lines: 0 }
}

fn changes(generation: u64) -> Answered {
    Answered { generation, whole: false, lines: 1 }
}

/// A client whose list of generation 4 was just told, with a watch out.
fn watching() -> (EndpointClient, u64) {
    let mut client = client(None);
    let (first, target) = call(&mut client, 0.0);
    assert_eq!(target, Target::Whole);
    assert_eq!(client.answered(10.0, first, whole(4)), Verdict::Take(EndpointUpdate::Snapshot));
    let (watch, target) = call(&mut client, 10.0);
    assert_eq!(target, Target::Changes { after: 4, wait: WAIT });
    (client, watch)
}

#[test]
fn a_watch_follows_its_generations_and_begins_anew_where_it_cannot() {
    let (mut client, watch) = watching();
    assert_eq!(client.answered(20.0, watch, changes(6)), Verdict::Take(EndpointUpdate::Delta));
    let (watch, _) = call(&mut client, 20.0);
    assert_eq!(client.answered(30.0, watch, changes(5)), Verdict::Gap, "changes that lead back");
    assert_eq!(steps(&mut client, 30.0), [], "it is asked again after a wait");
    let (again, target) = next_call(&mut client);
    assert_eq!(target, Target::Whole);
    assert_eq!(client.answered(200.0, again, changes(7)), Verdict::Gap, "changes to nothing");
    let (again, _) = next_call(&mut client);
    assert_eq!(
        client.answered(900.0, again, whole(2)),
        Verdict::Take(EndpointUpdate::Snapshot),
        "a whole list may be of any age where it was asked for after the last one was told"
    );
}

#[test]
fn after_a_failure_the_first_call_is_answered_soon_and_has_time_for_callers_before_it() {
    let mut client = client(Some(7));
    let (first, target) = call(&mut client, 0.0);
    assert_eq!(target, Target::Changes { after: 7, wait: FIRST_WAIT }, "a new process");
    assert_eq!(client.next_call_at(), FIRST_WAIT + FIRST_LATE);
    client.answered(400.0, first, changes(8));
    let (watch, target) = call(&mut client, 400.0);
    assert_eq!(target, Target::Changes { after: 8, wait: WAIT });
    assert_eq!(client.next_call_at(), 400.0 + WAIT + LATE);
    client.failed(900.0, watch, Failure::Broken);
    let at = client.next_call_at();
    assert!((925.0..=975.0).contains(&at), "{at}");
    let (_, target) = call(&mut client, at);
    assert_eq!(target, Target::Changes { after: 8, wait: FIRST_WAIT });
    client.reloaded(1000.0);
    let (_, target) = call(&mut client, 1000.0);
    assert_eq!(target, Target::Whole);
    assert_eq!(client.next_call_at(), 1000.0 + FIRST_WAIT + FIRST_LATE, "it stands in line as well");
}

#[test]
fn waits_after_failures_double_up_to_a_part_of_the_time_and_begin_anew_after_a_reload() {
    let (mut client, mut out) = watching();
    let mut now = 100.0;
    for most in [75.0, 150.0, 300.0, 600.0, 1200.0, 1500.0, 1500.0] {
        now += 100.0;
        client.failed(now, out, Failure::TurnedAway);
        let wait = client.next_call_at() - now;
        assert!(wait <= most, "{wait} of {most}");
        now = client.next_call_at();
        out = call(&mut client, now).0;
    }
    client.reloaded(now);
    let (first, _) = call(&mut client, now);
    client.failed(now, first, Failure::Unreachable);
    assert!(client.next_call_at() - now <= 75.0);
}

#[test]
fn an_answer_of_a_former_address_is_news_and_leaves_the_next_call_as_it_is() {
    let (mut client, watch) = watching();
    client.reloaded(1000.0);
    let (first, _) = call(&mut client, 1000.0);
    client.failed(1000.0, first, Failure::Broken);
    let next = client.next_call_at();
    assert!(next <= 1075.0);
    assert_eq!(client.answered(1010.0, watch, changes(5)), Verdict::Take(EndpointUpdate::Delta));
    assert_eq!(client.next_call_at(), next);
    assert_eq!(call(&mut client, next).1, Target::Whole);
}

#[test]
fn what_a_former_address_tells_does_not_count_once_the_present_one_is_heard() {
    let (mut client, watch) = watching();
    client.reloaded(1000.0);
    let (first, _) = call(&mut client, 1000.0);
    assert_eq!(
        client.answered(1010.0, first, whole(2)),
        Verdict::Take(EndpointUpdate::Snapshot),
        "its own generations"
    );
    assert!(steps(&mut client, 1010.0).contains(&Step::Drop { call: watch }));
    assert_eq!(client.answered(1020.0, watch, whole(9)), Verdict::Outdated);
}

#[test]
fn many_reloads_leave_a_bounded_number_of_calls_and_one_that_is_not_late() {
    let (mut client, _) = watching();
    let mut out = 1_i32;
    for reload in 0..50 {
        client.reloaded(1000.0 + f64::from(reload));
        for step in steps(&mut client, 1000.0 + f64::from(reload)) {
            out += if matches!(step, Step::Call { .. }) { 1 } else { -1 };
        }
        assert!(out <= 5, "{out} calls are out");
        assert!(client.next_call_at() <= 1000.0 + f64::from(reload) + FIRST_WAIT + FIRST_LATE);
    }
}

#[test]
fn a_late_call_keeps_its_place_beside_a_new_one_and_may_still_answer() {
    let (mut client, watch) = watching();
    let late_at = client.next_call_at();
    let (beside, target) = call(&mut client, late_at);
    assert_eq!(target, Target::Changes { after: 4, wait: FIRST_WAIT });
    assert_eq!(client.answered(late_at + 100.0, watch, changes(5)), Verdict::Take(EndpointUpdate::Delta));
    assert_eq!(steps(&mut client, late_at + 100.0), [], "the new one stands in line for what comes next");
    assert_eq!(client.answered(late_at + 400.0, beside, changes(6)), Verdict::Take(EndpointUpdate::Delta));
    assert_eq!(call(&mut client, late_at + 400.0).1, Target::Changes { after: 6, wait: WAIT });
}

#[test]
fn calls_before_the_one_that_was_answered_are_ended() {
    let (mut client, watch) = watching();
    let late_at = client.next_call_at();
    let (beside, _) = call(&mut client, late_at);
    client.answered(late_at + 10.0, beside, nothing_new(4));
    assert!(steps(&mut client, late_at + 100.0).contains(&Step::Drop { call: watch }));
    assert_eq!(client.answered(late_at + 200.0, watch, whole(9)), Verdict::Outdated);
}

#[test]
fn no_more_calls_are_out_than_may_be_and_the_oldest_gives_way() {
    let (mut client, watch) = watching();
    for _ in 0..2 {
        let at = client.next_call_at();
        call(&mut client, at);
    }
    let at = client.next_call_at();
    let steps = steps(&mut client, at);
    assert_eq!(steps[0], Step::Drop { call: watch });
    assert!(matches!(steps[1..], [Step::Call { .. }]));
    assert!(at >= 5500.0, "a call of {at} ms was given up");
}

#[test]
fn where_one_call_may_be_out_a_late_one_is_given_up() {
    let pace = Pace { most_calls: 1, ..pace() };
    let mut client = EndpointClient::new(pace, rules(), 7, 0.0, 0.0, Some(1));
    let (first, _) = call(&mut client, 0.0);
    let late_at = client.next_call_at();
    assert_eq!(steps(&mut client, late_at), [Step::Drop { call: first }]);
    let wait = client.next_call_at() - late_at;
    assert!((25.0..=75.0).contains(&wait), "{wait}");
}

#[test]
fn a_service_that_answers_watches_at_once_with_nothing_is_not_asked_without_pause() {
    let (mut client, watch) = watching();
    client.answered(11.0, watch, nothing_new(4));
    assert_eq!(steps(&mut client, 11.0), []);
    assert_eq!(client.next_call_at(), 11.0 + 50.0, "within the time in which a watch goes on");
}

#[test]
fn a_list_is_valid_until_a_change_may_bind_that_was_not_heard() {
    let (mut client, watch) = watching();
    // The watch waited all of its time and told nothing: the list was complete at its end.
    client.answered(10.0 + WAIT + 5.0, watch, nothing_new(4));
    let complete_at = 10.0 + WAIT;
    assert_eq!(client.validity(complete_at + 5849.0), Validity::Valid);
    assert_eq!(client.validity(complete_at + 5850.0), Validity::Expired, "nothing is known of the service");
    assert!(client.wakes_at(complete_at + 2000.0) <= complete_at + 5850.0);
}

#[test]
fn a_list_outlives_its_time_only_while_the_service_is_down() {
    let cases = [
        (Failure::Unreachable, Validity::ServiceDown),
        (Failure::NeverUp, Validity::ServiceDown),
        (Failure::Broken, Validity::ServiceDown),
        (Failure::TurnedAway, Validity::ServiceDown),
        (Failure::Local, Validity::Expired),
        (Failure::Silent, Validity::Expired),
        (Failure::Busy, Validity::Expired),
        (Failure::Unusable, Validity::Expired),
    ];
    for (failure, validity) in cases {
        let (mut client, watch) = watching();
        client.failed(1000.0, watch, failure);
        assert_eq!(client.validity(5000.0), Validity::Valid);
        assert_eq!(client.validity(8000.0), validity, "{failure:?}");
    }
}

#[test]
fn after_a_reload_only_a_refusal_shows_that_the_service_is_down() {
    let cases = [
        (Failure::Unreachable, Validity::ServiceDown),
        (Failure::NeverUp, Validity::Expired),
        (Failure::Broken, Validity::Expired),
        (Failure::TurnedAway, Validity::Expired),
    ];
    for (failure, validity) in cases {
        let (mut client, _) = watching();
        client.reloaded(1000.0);
        let (first, _) = call(&mut client, 1000.0);
        client.failed(2000.0, first, failure);
        assert_eq!(client.validity(4849.0), Validity::Valid);
        assert_eq!(client.validity(4850.0), validity, "{failure:?}");
    }
}

#[test]
fn a_service_that_was_seen_up_since_the_last_list_is_not_taken_for_down() {
    let (mut client, watch) = watching();
    client.failed(1000.0, watch, Failure::Unusable);
    let (again, _) = next_call(&mut client);
    client.failed(2000.0, again, Failure::Unreachable);
    assert_eq!(client.validity(8000.0), Validity::Expired);
}

#[test]
fn a_call_that_is_turned_away_at_once_shows_a_busy_service_which_is_given_time() {
    let (mut client, watch) = watching();
    client.failed(15.0, watch, Failure::TurnedAway);
    assert_eq!(client.validity(8000.0), Validity::Expired);
    let wait = client.next_call_at() - 15.0;
    assert!((300.0..=900.0).contains(&wait), "{wait}");
}

#[test]
fn after_a_reload_the_list_is_valid_for_less_until_the_present_address_tells() {
    let (mut client, watch) = watching();
    client.reloaded(1000.0);
    let (first, _) = call(&mut client, 1000.0);
    assert_eq!(client.validity(1000.0 + 3849.0), Validity::Valid);
    assert_eq!(client.validity(1000.0 + 3850.0), Validity::Expired);
    client.failed(3000.0, first, Failure::TurnedAway);
    assert_eq!(client.validity(1000.0 + 3850.0), Validity::Expired, "it may be a crowd");
    // The service may have gone on at its new address without the former one.
    client.answered(3100.0, watch, nothing_new(4));
    assert_eq!(client.validity(1000.0 + 3850.0), Validity::Expired);
    let (again, _) = next_call(&mut client);
    client.answered(4000.0, again, whole(5));
    assert_eq!(client.validity(5000.0), Validity::Valid);
}

#[test]
fn a_reload_that_was_refused_leaves_the_list_less_time_as_well() {
    let (mut client, watch) = watching();
    client.reload_refused(1000.0);
    assert_eq!(client.validity(4850.0), Validity::Expired);
    client.answered(10.0 + WAIT, watch, nothing_new(4));
    assert_eq!(client.validity(4850.0), Validity::Valid, "the address of before still tells");
}
