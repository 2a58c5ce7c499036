use super::*;
use quickcheck::quickcheck;

quickcheck! {
    /// A plain model: whoever is owed something stays; then by hand, those that are cheap to lose first.
    fn who_gives_way_is_owed_nothing_and_asked_least(all: Vec<(bool, bool, u8, u16)>) -> bool {
        let now = 500.0;
        let eviction_candidates = |(key, (busy, partial, asked, since)): (usize, &(bool, bool, u8, u16))| {
            let (asked, since) = (u32::from(asked % 4), f64::from(since % 4 * 100));
            // Keys are used again: a low one may be the last that came.
            EvictionCandidate { key, busy: *busy, partial: *partial, asked, since, serial: 1000 - key as u64 }
        };
        let all: Vec<EvictionCandidate> = all.iter().enumerate().map(eviction_candidates).collect();
        let mut free: Vec<EvictionCandidate> = all.iter().copied().filter(|s| !s.busy).collect();
        free.sort_by_key(|s| (s.partial, s.asked > 1 || now - s.since < 300.0, s.since as u64, s.serial));
        gives_way(now, all.into_iter()) == free.first().map(|s| s.key)
    }
}

#[test]
fn a_newcomer_does_not_give_way_to_the_next_before_it_can_ask() {
    let eviction_candidates =
        |key, asked, since| EvictionCandidate { key, busy: false, partial: false, asked, since, serial: 0 };
    let all = [
        eviction_candidates(1, 9, 500.0),
        eviction_candidates(2, 0, 990.0),
        eviction_candidates(3, 1, 300.0),
    ];
    assert_eq!(gives_way(1000.0, all.into_iter()), Some(3), "it asked once and stayed");
    assert_eq!(gives_way(1000.0, all.into_iter().take(2)), Some(1));
}

#[test]
fn an_answer_that_nobody_has_tried_to_write_is_not_one_that_is_not_read() {
    let queued = ClientActivity { pending: true, asked: true, ..ClientActivity::default() };
    assert_eq!(late(5000.0, &queued), TimeoutAction::RearmFrom(5000.0));
    let refused = ClientActivity { blocked: Some(4000.0), ..queued };
    assert_eq!(late(5000.0, &refused), TimeoutAction::RearmFrom(4000.0));
    assert_eq!(late(4000.0 + CLIENT_TIMEOUT_MS, &refused), TimeoutAction::Unread);
}

#[test]
fn an_earlier_look_does_not_cut_the_time_to_read_the_last_answer() {
    let leaves = ClientActivity { lingering_since: Some(1000.0), asked: true, ..ClientActivity::default() };
    assert_eq!(late(1001.0, &leaves), TimeoutAction::Nothing);
    assert_eq!(late(1000.0 + LINGER_MS, &leaves), TimeoutAction::Finished);
}

quickcheck! {
    /// A plain model: what is owed something is never ended, but for an answer that the system did not take for long.
    fn nothing_that_is_owed_ends(open: bool, pending: bool, since: [Option<u16>; 3], asked: bool) -> bool {
        let [blocked, lingering_since, partial] = since.map(|at| at.map(f64::from));
        let activity = ClientActivity { open, pending, blocked, lingering_since, partial, asked };
        let now = 70_000.0;
        let unread = pending && blocked.is_some_and(|at| now - at >= CLIENT_TIMEOUT_MS);
        match late(now, &activity) {
            TimeoutAction::Unread => unread,
            TimeoutAction::Finished => !pending && lingering_since.is_some(),
            TimeoutAction::Incomplete => !pending && !open && partial.is_some(),
            TimeoutAction::Idle => !pending && !open && partial.is_none() && !asked,
            TimeoutAction::RearmFrom(_) | TimeoutAction::Nothing => true,
        }
    }
}
