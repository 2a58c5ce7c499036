use super::*;
use quickcheck::quickcheck;

quickcheck! {
    /// A plain model: a busy client is never closed; of the others by hand the one that is cheapest to lose.
    fn the_evicted_client_is_not_busy_and_has_sent_fewest_requests(all: Vec<(bool, bool, u8, u16)>) -> bool {
        let now = 500.0;
        let candidate = |(key, (busy, partial, requests, since)): (usize, &(bool, bool, u8, u16))| {
            let (requests, idle_since) = (u32::from(requests % 4), f64::from(since % 4 * 100));
            // Keys are used again: a low one may be the last that came.
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
        let mut free: Vec<EvictionCandidate> = all.iter().copied().filter(|s| !s.busy).collect();
        free.sort_by_key(|s| (s.has_partial_request, s.requests > 1 || now - s.idle_since < 300.0, s.idle_since as u64, s.serial));
        select_for_eviction(now, all.into_iter()) == free.first().map(|s| s.key)
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
    assert_eq!(select_for_eviction(1000.0, all.into_iter()), Some(3), "it asked once and stayed");
    assert_eq!(select_for_eviction(1000.0, all.into_iter().take(2)), Some(1));
}

#[test]
fn a_response_that_nobody_has_tried_to_write_does_not_count_as_unread() {
    let queued =
        ClientActivity { response_pending: true, has_sent_request: true, ..ClientActivity::default() };
    assert_eq!(timeout_action(5000.0, &queued), TimeoutAction::RearmFrom(5000.0));
    let refused = ClientActivity { write_blocked_since: Some(4000.0), ..queued };
    assert_eq!(timeout_action(5000.0, &refused), TimeoutAction::RearmFrom(4000.0));
    assert_eq!(timeout_action(4000.0 + CLIENT_TIMEOUT_MS, &refused), TimeoutAction::CloseResponseNotRead);
}

#[test]
fn an_earlier_timer_does_not_cut_the_time_to_read_the_last_response() {
    let leaves =
        ClientActivity { lingering_since: Some(1000.0), has_sent_request: true, ..ClientActivity::default() };
    assert_eq!(timeout_action(1001.0, &leaves), TimeoutAction::None);
    assert_eq!(timeout_action(1000.0 + LINGER_MS, &leaves), TimeoutAction::CloseLingering);
}

quickcheck! {
    /// A plain model: a client that is owed a response is never closed, unless the system has taken nothing of it for long.
    fn no_connection_that_is_owed_a_response_is_closed(open: bool, pending: bool, since: [Option<u16>; 3], asked: bool) -> bool {
        let [blocked, lingering_since, partial] = since.map(|at| at.map(f64::from));
        let activity = ClientActivity {
            request_open: open,
            response_pending: pending,
            write_blocked_since: blocked,
            lingering_since,
            partial_request_since: partial,
            has_sent_request: asked,
        };
        let now = 70_000.0;
        let unread = pending && blocked.is_some_and(|at| now - at >= CLIENT_TIMEOUT_MS);
        match timeout_action(now, &activity) {
            TimeoutAction::CloseResponseNotRead => unread,
            TimeoutAction::CloseLingering => !pending && lingering_since.is_some(),
            TimeoutAction::RejectIncomplete => !pending && !open && partial.is_some(),
            TimeoutAction::CloseIdle => !pending && !open && partial.is_none() && !asked,
            TimeoutAction::RearmFrom(_) | TimeoutAction::None => true,
        }
    }
}
