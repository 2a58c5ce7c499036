use super::*;
use quickcheck::quickcheck;

/// Returns an idle connection that lets the other fields be set.
fn candidate(key: usize, requests: u32, idle_since: Ms) -> EvictionCandidate {
    EvictionCandidate {
        key,
        busy: false,
        lingering: false,
        partial_since: None,
        requests,
        idle_since,
        serial: 0,
    }
}

fn first_to_evict(now: Ms, candidates: &[EvictionCandidate]) -> Option<usize> {
    eviction_order(now, candidates.iter().copied()).next().map(|candidate| candidate.key)
}

/// Generated fields of a connection: busy, lingering, start of a partial request, requests, start of the idle time.
type CandidateFields = (bool, bool, Option<u8>, u8, u16);

fn generated_candidate(key: usize, fields: &CandidateFields) -> EvictionCandidate {
    let (busy, lingering, partial, requests, since) = *fields;
    let partial_since = partial.map(|since| f64::from(since % 5) * 100.0);
    // Keys are reused: a low key may belong to the latest connection.
    let serial = 1000 - key as u64;
    EvictionCandidate {
        busy,
        lingering,
        partial_since,
        serial,
        ..candidate(key, u32::from(requests % 4), f64::from(since % 4) * 100.0)
    }
}

quickcheck! {
    /// Reference model: a busy client is never closed; the others are sorted by the cost of closing them.
    fn evicts_the_idle_client_that_costs_least_to_close(all: Vec<CandidateFields>) -> bool {
        let now = 500.0;
        let all: Vec<EvictionCandidate> =
            all.iter().enumerate().map(|(key, fields)| generated_candidate(key, fields)).collect();
        let mut idle: Vec<EvictionCandidate> = all.iter().copied().filter(|s| !s.busy).collect();
        idle.sort_by_key(|s| {
            let is_recent = |since: f64| now - since < 300.0;
            let cost = match (s.lingering, s.partial_since) {
                (true, _) => 0,
                (false, Some(since)) => if is_recent(since) { 5 } else { 3 },
                (false, None) => if is_recent(s.idle_since) { 4 } else if s.requests > 1 { 2 } else { 1 },
            };
            (cost, s.idle_since as u64, s.serial)
        });
        eviction_order(now, all.into_iter()).collect::<Vec<_>>() == idle
    }
}

#[test]
fn a_new_client_is_not_evicted_before_it_can_send_a_request() {
    let all = [candidate(1, 9, 500.0), candidate(2, 0, 990.0), candidate(3, 1, 300.0)];
    assert_eq!(first_to_evict(1000.0, &all), Some(3), "it sent one request and stayed");
    assert_eq!(first_to_evict(1000.0, &all[..2]), Some(1));
}

/// Guards against ordinary clients that are closed for the sake of clients that never complete their requests.
#[test]
fn a_slow_request_is_evicted_before_clients_that_have_just_connected_or_got_a_response() {
    let slow = EvictionCandidate { partial_since: Some(600.0), ..candidate(1, 0, 590.0) };
    let incoming = EvictionCandidate { partial_since: Some(950.0), ..candidate(2, 0, 940.0) };
    let all = [candidate(3, 0, 990.0), candidate(4, 9, 980.0), incoming, slow];
    assert_eq!(first_to_evict(1000.0, &all), Some(1));
    assert_eq!(first_to_evict(1000.0, &all[..3]), Some(4));
}

/// Guards against finished connections that occupy the places of clients.
#[test]
fn a_lingering_connection_is_evicted_first() {
    let lingering = EvictionCandidate { lingering: true, ..candidate(1, 9, 999.0) };
    assert_eq!(first_to_evict(1000.0, &[candidate(2, 0, 0.0), lingering]), Some(1));
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
