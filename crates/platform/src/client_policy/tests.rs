use super::*;
use quickcheck::quickcheck;

quickcheck! {
    /// Reference model: a busy client is never closed; the others are sorted by the cost of closing them.
    fn evicts_the_idle_client_that_costs_least_to_close(all: Vec<(bool, bool, u8, u16)>) -> bool {
        let now = 500.0;
        let candidate = |(key, (busy, partial, requests, since)): (usize, &(bool, bool, u8, u16))| {
            let (requests, idle_since) = (u32::from(requests % 4), f64::from(since % 4 * 100));
            // Keys are reused: a low key may belong to the latest connection.
            EvictionCandidate {
                key,
                busy: *busy,
                has_partial_request: *partial,
                requests,
                idle_since,
                serial: 1000 - key as u64,
            }
        };
        let all: Vec<EvictionCandidate> = all.iter().enumerate().map(candidate).collect();
        let mut idle: Vec<EvictionCandidate> = all.iter().copied().filter(|s| !s.busy).collect();
        idle.sort_by_key(|s| (s.has_partial_request, s.requests > 1 || now - s.idle_since < 300.0, s.idle_since as u64, s.serial));
        select_for_eviction(now, all.into_iter()) == idle.first().map(|s| s.key)
    }
}

#[test]
fn a_new_client_is_not_evicted_before_it_can_send_a_request() {
    let candidate = |key, requests, idle_since| EvictionCandidate {
        key,
        busy: false,
        has_partial_request: false,
        requests,
        idle_since,
        serial: 0,
    };
    let all = [candidate(1, 9, 500.0), candidate(2, 0, 990.0), candidate(3, 1, 300.0)];
    assert_eq!(select_for_eviction(1000.0, all.into_iter()), Some(3), "it sent one request and stayed");
    assert_eq!(select_for_eviction(1000.0, all.into_iter().take(2)), Some(1));
}

#[test]
fn a_response_without_a_write_attempt_does_not_count_as_unread() {
    let queued =
        ClientActivity { response_pending: true, has_sent_request: true, ..ClientActivity::default() };
    assert_eq!(timeout_action(5000.0, &queued), TimeoutAction::RearmFrom(5000.0));
    let blocked = ClientActivity { write_blocked_since: Some(4000.0), ..queued };
    assert_eq!(timeout_action(5000.0, &blocked), TimeoutAction::RearmFrom(4000.0));
    assert_eq!(timeout_action(4000.0 + CLIENT_TIMEOUT_MS, &blocked), TimeoutAction::CloseResponseNotRead);
}

#[test]
fn an_earlier_timer_does_not_shorten_the_linger_time() {
    let lingering =
        ClientActivity { lingering_since: Some(1000.0), has_sent_request: true, ..ClientActivity::default() };
    assert_eq!(timeout_action(1001.0, &lingering), TimeoutAction::None);
    assert_eq!(timeout_action(1000.0 + LINGER_MS, &lingering), TimeoutAction::CloseLingering);
}

quickcheck! {
    /// Reference model: a client that awaits a response is closed only when the operating system has accepted no output
    /// for the client timeout.
    fn a_connection_awaiting_a_response_closes_only_when_writing_is_blocked(open: bool, pending: bool, since: [Option<u16>; 3], served: bool) -> bool {
        let [blocked, lingering_since, partial] = since.map(|at| at.map(f64::from));
        let activity = ClientActivity {
            request_open: open,
            response_pending: pending,
            write_blocked_since: blocked,
            lingering_since,
            partial_request_since: partial,
            has_sent_request: served,
        };
        let now = 70_000.0;
        let unread = pending && blocked.is_some_and(|at| now - at >= CLIENT_TIMEOUT_MS);
        match timeout_action(now, &activity) {
            TimeoutAction::CloseResponseNotRead => unread,
            TimeoutAction::CloseLingering => !pending && lingering_since.is_some(),
            TimeoutAction::RejectIncomplete => !pending && !open && partial.is_some(),
            TimeoutAction::CloseIdle => !pending && !open && partial.is_none() && !served,
            TimeoutAction::RearmFrom(_) | TimeoutAction::None => true,
        }
    }
}
