use super::*;
use quickcheck::quickcheck;

#[test]
fn numbers_of_a_fleet_that_is_always_new_stay_few() {
    let mut numbers = EndpointNumbers::default();
    let mut highest = 0;
    for second in 0..10_000 {
        let now = f64::from(second) * 1000.0;
        let number = numbers.of(now, &format!("s-{second}"));
        assert_eq!(numbers.known(&format!("s-{second}")), Some(number));
        highest = highest.max(number);
        if second >= 10 {
            numbers.forget(now, &format!("s-{}", second - 10));
        }
    }
    assert!((70..=72).contains(&highest), "{highest}");
}

quickcheck! {
    /// A plain model: one list of what rests, in the order in which it came.
    fn a_pool_is_a_list_of_what_rests(steps: Vec<(u8, u8)>) -> bool {
        let (mut pool, mut plain): (IdlePool, Vec<(u32, usize, Ms)>) = (IdlePool::new(Some(40.0)), Vec::new());
        steps.into_iter().enumerate().all(|(key, (what, node))| {
            let (now, node) = (key as f64, u32::from(node % 4));
            let taken = |plain: &mut Vec<(u32, usize, Ms)>, at: Option<usize>| at.map(|at| plain.remove(at).1);
            match what % 6 {
                0 => {
                    let succeeded = plain.iter().rposition(|r| r.0 == node && now - r.2 >= 10.0);
                    pool.take(now, node, 10.0) == taken(&mut plain, succeeded)
                }
                1 => {
                    let first = (!plain.is_empty()).then_some(0);
                    pool.gives_way() == taken(&mut plain, first)
                }
                2 => {
                    let some = plain.iter().position(|r| r.0 == node).and_then(|at| taken(&mut plain, Some(at)));
                    some.into_iter().for_each(|key| pool.ended(node, key));
                    true
                }
                3 => {
                    let gone: Vec<usize> = plain.iter().filter(|r| r.0 == node).map(|r| r.1).collect();
                    plain.retain(|r| r.0 != node);
                    pool.leaves(node) == gone
                }
                _ => {
                    plain.push((node, key, now));
                    pool.rests(now, node, key);
                    let mut old: Vec<usize> =
                        plain.iter().filter(|r| now - r.2 >= 28.0).map(|r| r.1).collect();
                    plain.retain(|r| now - r.2 < 28.0);
                    let mut retired = pool.retired(now);
                    old.sort_unstable();
                    retired.sort_unstable();
                    retired == old
                }
            }
        })
    }
}

#[test]
fn a_connection_that_was_just_answered_on_is_not_asked_again() {
    let mut pool = IdlePool::new(None);
    pool.rests(0.0, 1, 7);
    pool.rests(100.0, 1, 8);
    pool.rests(195.0, 1, 9);
    let quiet = 50.0;
    assert_eq!(pool.take(200.0, 1, quiet), Some(8), "the last of those that were quiet for long enough");
    assert_eq!(pool.take(200.0, 1, quiet), Some(7));
    assert_eq!(pool.take(200.0, 1, quiet), None, "none is better than one on which something may still come");
    assert_eq!(pool.take(245.0, 1, quiet), Some(9));
}
