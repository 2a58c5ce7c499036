use super::*;

#[test]
fn a_refusal_by_chance_delays_no_connection() {
    let mut backoff = AcceptBackoff::default();
    for _ in 0..100 {
        assert!((0..IMMEDIATE_RETRIES).all(|_| backoff.next_pause().is_none()));
        backoff.reset();
    }
}

#[test]
fn pauses_grow_while_the_system_goes_on_refusing() {
    let mut backoff = AcceptBackoff::default();
    let pauses: Vec<Option<Ms>> = (0..100).map(|_| backoff.next_pause()).collect();
    let first: Vec<Ms> = pauses.iter().flatten().copied().take(6).collect();
    assert_eq!(first, [2.0, 4.0, 8.0, 16.0, 32.0, 50.0]);
    assert_eq!(pauses.last(), Some(&Some(MAX_PAUSE_MS)));
    backoff.reset();
    assert_eq!(backoff.next_pause(), None);
}
