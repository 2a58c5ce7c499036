//! Tests of the client of the discovery service: the targets and times of its calls, and the answers that
//! it applies.

use magpiewick::*;

const HOLD: Ms = 2000.0;
const FIRST_HOLD: Ms = 500.0;
const GRACE: Ms = 900.0;
const FIRST_GRACE: Ms = 2000.0;

fn timing() -> PollTiming {
    PollTiming {
        hold: HOLD,
        first_hold: FIRST_HOLD,
        grace: GRACE,
        first_grace: FIRST_GRACE,
        max_calls: 3,
        max_poll_interval: 10_000.0,
    }
}

fn rules() -> FreshnessRules {
    FreshnessRules {
        binding_delay: 6000.0,
        binding_delay_after_reload: 4000.0,
        max_stall: 150.0,
        unresponsive_when_down: false,
    }
}

fn client(restored: Option<u64>) -> EndpointClient {
    EndpointClient::new(timing(), rules(), 7, 0.0, 0.0, restored)
}

/// Returns the steps that are due now.
fn steps(client: &mut EndpointClient, now: Ms) -> Vec<PollStep> {
    std::iter::from_fn(|| client.next_step(now)).collect()
}

/// Returns the one call that is due now, and its target.
fn call(client: &mut EndpointClient, now: Ms) -> (u64, PollTarget) {
    let steps = steps(client, now);
    let [PollStep::Call { call, target }] = steps[..] else { panic!("not one call: {steps:?}") };
    client.connected(call);
    (call, target)
}

/// Returns the next call, started at its due time.
fn next_call(client: &mut EndpointClient) -> (u64, PollTarget) {
    let at = client.next_call_at();
    call(client, at)
}

fn snapshot(generation: u64) -> AnswerHead {
    AnswerHead { generation, is_snapshot: true, endpoint_count: 8 }
}

fn no_changes(generation: u64) -> AnswerHead {
    AnswerHead { generation, is_snapshot: false, endpoint_count: 0 }
}

fn changes(generation: u64) -> AnswerHead {
    AnswerHead { generation, is_snapshot: false, endpoint_count: 1 }
}

/// Returns a client that has just received the list of generation 4, with its watch in flight.
fn client_with_watch() -> (EndpointClient, u64) {
    let mut client = client(None);
    let (first, target) = call(&mut client, 0.0);
    assert_eq!(target, PollTarget::Snapshot);
    assert_eq!(client.answered(10.0, first, snapshot(4)), Verdict::Apply(EndpointUpdate::Snapshot));
    let (watch, target) = call(&mut client, 10.0);
    assert_eq!(target, PollTarget::Delta { after: 4, hold: HOLD });
    (client, watch)
}

#[test]
fn a_watch_follows_generations_and_requests_a_snapshot_after_a_gap() {
    let (mut client, watch) = client_with_watch();
    assert_eq!(client.answered(20.0, watch, changes(6)), Verdict::Apply(EndpointUpdate::Delta));
    let (watch, _) = call(&mut client, 20.0);
    assert_eq!(client.answered(30.0, watch, changes(5)), Verdict::Gap, "changes to an older generation");
    assert_eq!(steps(&mut client, 30.0), [], "the next call follows after a backoff");
    let (retry, target) = next_call(&mut client);
    assert_eq!(target, PollTarget::Snapshot);
    assert_eq!(
        client.answered(200.0, retry, changes(7)),
        Verdict::Gap,
        "changes to a list that the client does not have"
    );
    let (retry, _) = next_call(&mut client);
    assert_eq!(
        client.answered(900.0, retry, snapshot(2)),
        Verdict::Apply(EndpointUpdate::Snapshot),
        "a snapshot may be of any generation if it was requested after the last answer"
    );
}

#[test]
fn the_first_call_after_a_failure_has_a_short_hold_and_a_long_grace_period() {
    let mut client = client(Some(7));
    let (first, target) = call(&mut client, 0.0);
    assert_eq!(target, PollTarget::Delta { after: 7, hold: FIRST_HOLD }, "a new process");
    assert_eq!(client.next_call_at(), FIRST_HOLD + FIRST_GRACE);
    client.answered(400.0, first, changes(8));
    let (watch, target) = call(&mut client, 400.0);
    assert_eq!(target, PollTarget::Delta { after: 8, hold: HOLD });
    assert_eq!(client.next_call_at(), 400.0 + HOLD + GRACE);
    client.failed(900.0, watch, CallFailure::ConnectionLost);
    let at = client.next_call_at();
    assert!((925.0..=975.0).contains(&at), "{at}");
    let (_, target) = call(&mut client, at);
    assert_eq!(target, PollTarget::Delta { after: 8, hold: FIRST_HOLD });
    client.reloaded(1000.0);
    let (_, target) = call(&mut client, 1000.0);
    assert_eq!(target, PollTarget::Snapshot);
    assert_eq!(
        client.next_call_at(),
        1000.0 + FIRST_HOLD + FIRST_GRACE,
        "the service may have queued the call as well"
    );
}

#[test]
fn backoff_doubles_up_to_a_fraction_of_the_poll_interval_and_is_reset_by_a_reload() {
    let (mut client, mut in_flight) = client_with_watch();
    let mut now = 100.0;
    for max_backoff in [75.0, 150.0, 300.0, 600.0, 1200.0, 1500.0, 1500.0] {
        now += 100.0;
        client.failed(now, in_flight, CallFailure::Rejected);
        let backoff = client.next_call_at() - now;
        assert!(backoff <= max_backoff, "{backoff} of {max_backoff}");
        now = client.next_call_at();
        in_flight = call(&mut client, now).0;
    }
    client.reloaded(now);
    let (first, _) = call(&mut client, now);
    client.failed(now, first, CallFailure::Unreachable);
    assert!(client.next_call_at() - now <= 75.0);
}

#[test]
fn an_answer_of_a_former_address_is_applied_without_rescheduling_the_next_call() {
    let (mut client, watch) = client_with_watch();
    client.reloaded(1000.0);
    let (first, _) = call(&mut client, 1000.0);
    client.failed(1000.0, first, CallFailure::ConnectionLost);
    let next = client.next_call_at();
    assert!(next <= 1075.0);
    assert_eq!(client.answered(1010.0, watch, changes(5)), Verdict::Apply(EndpointUpdate::Delta));
    assert_eq!(client.next_call_at(), next);
    assert_eq!(call(&mut client, next).1, PollTarget::Snapshot);
}

#[test]
fn an_answer_of_a_former_address_is_outdated_after_the_current_one_has_answered() {
    let (mut client, watch) = client_with_watch();
    client.reloaded(1000.0);
    let (first, _) = call(&mut client, 1000.0);
    assert_eq!(
        client.answered(1010.0, first, snapshot(2)),
        Verdict::Apply(EndpointUpdate::Snapshot),
        "the new address counts its own generations"
    );
    assert!(steps(&mut client, 1010.0).contains(&PollStep::Abort { call: watch }));
    assert_eq!(client.answered(1020.0, watch, snapshot(9)), Verdict::Outdated);
}

#[test]
fn many_reloads_keep_calls_bounded_and_one_of_them_timely() {
    let (mut client, _) = client_with_watch();
    let mut in_flight = 1_i32;
    for reload in 0..50 {
        client.reloaded(1000.0 + f64::from(reload));
        for step in steps(&mut client, 1000.0 + f64::from(reload)) {
            in_flight += if matches!(step, PollStep::Call { .. }) { 1 } else { -1 };
        }
        assert!(in_flight <= 5, "{in_flight} calls are in flight");
        assert!(client.next_call_at() <= 1000.0 + f64::from(reload) + FIRST_HOLD + FIRST_GRACE);
    }
}

#[test]
fn a_late_call_continues_concurrently_with_a_new_one_and_may_still_be_answered() {
    let (mut client, watch) = client_with_watch();
    let late_at = client.next_call_at();
    let (second, target) = call(&mut client, late_at);
    assert_eq!(target, PollTarget::Delta { after: 4, hold: FIRST_HOLD });
    assert_eq!(client.answered(late_at + 100.0, watch, changes(5)), Verdict::Apply(EndpointUpdate::Delta));
    assert_eq!(steps(&mut client, late_at + 100.0), [], "the new call waits for the next change");
    assert_eq!(client.answered(late_at + 400.0, second, changes(6)), Verdict::Apply(EndpointUpdate::Delta));
    assert_eq!(call(&mut client, late_at + 400.0).1, PollTarget::Delta { after: 6, hold: HOLD });
}

#[test]
fn calls_older_than_the_answered_one_are_aborted() {
    let (mut client, watch) = client_with_watch();
    let late_at = client.next_call_at();
    let (second, _) = call(&mut client, late_at);
    client.answered(late_at + 10.0, second, no_changes(4));
    assert!(steps(&mut client, late_at + 100.0).contains(&PollStep::Abort { call: watch }));
    assert_eq!(client.answered(late_at + 200.0, watch, snapshot(9)), Verdict::Outdated);
}

#[test]
fn the_number_of_calls_is_bounded_and_the_oldest_is_aborted_first() {
    let (mut client, watch) = client_with_watch();
    for _ in 0..2 {
        let at = client.next_call_at();
        call(&mut client, at);
    }
    let at = client.next_call_at();
    let steps = steps(&mut client, at);
    assert_eq!(steps[0], PollStep::Abort { call: watch });
    assert!(matches!(steps[1..], [PollStep::Call { .. }]));
    assert!(at >= 5500.0, "a call of {at} ms was aborted");
}

#[test]
fn a_late_call_is_aborted_if_only_one_call_is_allowed() {
    let timing = PollTiming { max_calls: 1, ..timing() };
    let mut client = EndpointClient::new(timing, rules(), 7, 0.0, 0.0, Some(1));
    let (first, _) = call(&mut client, 0.0);
    let late_at = client.next_call_at();
    assert_eq!(steps(&mut client, late_at), [PollStep::Abort { call: first }]);
    let backoff = client.next_call_at() - late_at;
    assert!((25.0..=75.0).contains(&backoff), "{backoff}");
}

#[test]
fn immediate_empty_answers_delay_the_next_call() {
    let (mut client, watch) = client_with_watch();
    client.answered(11.0, watch, no_changes(4));
    assert_eq!(steps(&mut client, 11.0), []);
    assert_eq!(client.next_call_at(), 11.0 + 50.0, "soon enough to continue the watch");
}

#[test]
fn a_list_is_valid_until_a_change_that_was_not_received_may_bind() {
    let (mut client, watch) = client_with_watch();
    // The service has held the watch for the whole time: the list was complete at the end of the hold.
    client.answered(10.0 + HOLD + 5.0, watch, no_changes(4));
    let complete_at = 10.0 + HOLD;
    assert_eq!(client.validity(complete_at + 5849.0), Validity::Valid);
    assert_eq!(
        client.validity(complete_at + 5850.0),
        Validity::Expired,
        "the state of the service is unknown"
    );
    assert!(client.next_wakeup_at(complete_at + 2000.0) <= complete_at + 5850.0);
}

#[test]
fn an_old_list_remains_usable_only_while_the_service_is_down() {
    let cases = [
        (CallFailure::Unreachable, Validity::ServiceDown),
        (CallFailure::ConnectTimedOut, Validity::ServiceDown),
        (CallFailure::ConnectionLost, Validity::ServiceDown),
        (CallFailure::Rejected, Validity::ServiceDown),
        (CallFailure::LocalResources, Validity::Expired),
        (CallFailure::NoAnswer, Validity::Expired),
        (CallFailure::Overloaded, Validity::Expired),
        (CallFailure::InvalidAnswer, Validity::Expired),
    ];
    for (failure, validity) in cases {
        let (mut client, watch) = client_with_watch();
        client.failed(1000.0, watch, failure);
        assert_eq!(client.validity(5000.0), Validity::Valid);
        assert_eq!(client.validity(8000.0), validity, "{failure:?}");
    }
}

#[test]
fn after_a_reload_only_an_unreachable_service_counts_as_down() {
    let cases = [
        (CallFailure::Unreachable, Validity::ServiceDown),
        (CallFailure::ConnectTimedOut, Validity::Expired),
        (CallFailure::ConnectionLost, Validity::Expired),
        (CallFailure::Rejected, Validity::Expired),
    ];
    for (failure, validity) in cases {
        let (mut client, _) = client_with_watch();
        client.reloaded(1000.0);
        let (first, _) = call(&mut client, 1000.0);
        client.failed(2000.0, first, failure);
        assert_eq!(client.validity(4849.0), Validity::Valid);
        assert_eq!(client.validity(4850.0), validity, "{failure:?}");
    }
}

#[test]
fn a_service_that_responded_since_the_last_list_does_not_count_as_down() {
    let (mut client, watch) = client_with_watch();
    client.failed(1000.0, watch, CallFailure::InvalidAnswer);
    let (retry, _) = next_call(&mut client);
    client.failed(2000.0, retry, CallFailure::Unreachable);
    assert_eq!(client.validity(8000.0), Validity::Expired);
}

#[test]
fn an_immediate_rejection_counts_as_overload_and_lengthens_the_backoff() {
    let (mut client, watch) = client_with_watch();
    client.failed(15.0, watch, CallFailure::Rejected);
    assert_eq!(client.validity(8000.0), Validity::Expired);
    let backoff = client.next_call_at() - 15.0;
    assert!((300.0..=900.0).contains(&backoff), "{backoff}");
}

#[test]
fn after_a_reload_the_list_expires_sooner_until_the_current_address_answers() {
    let (mut client, watch) = client_with_watch();
    client.reloaded(1000.0);
    let (first, _) = call(&mut client, 1000.0);
    assert_eq!(client.validity(1000.0 + 3849.0), Validity::Valid);
    assert_eq!(client.validity(1000.0 + 3850.0), Validity::Expired);
    client.failed(3000.0, first, CallFailure::Rejected);
    assert_eq!(client.validity(1000.0 + 3850.0), Validity::Expired, "the service may be overloaded");
    // The new address may already be in use while the former one still answers.
    client.answered(3100.0, watch, no_changes(4));
    assert_eq!(client.validity(1000.0 + 3850.0), Validity::Expired);
    let (retry, _) = next_call(&mut client);
    client.answered(4000.0, retry, snapshot(5));
    assert_eq!(client.validity(5000.0), Validity::Valid);
}

#[test]
fn after_an_unreadable_reload_the_list_expires_sooner() {
    let (mut client, watch) = client_with_watch();
    client.reload_rejected(1000.0);
    assert_eq!(client.validity(4850.0), Validity::Expired);
    client.answered(10.0 + HOLD, watch, no_changes(4));
    assert_eq!(client.validity(4850.0), Validity::Valid, "the former address still answers");
}
