use super::*;
use quickcheck::quickcheck;

quickcheck! {
    /// Reference model: a list of idle connections in the order in which they became idle.
    fn the_pool_behaves_like_a_list_of_idle_connections(steps: Vec<(u8, u8)>) -> bool {
        let (mut pool, mut model): (IdlePool, Vec<(u32, usize, Ms)>) = (IdlePool::new(Some(40.0)), Vec::new());
        steps.into_iter().enumerate().all(|(key, (operation, endpoint))| {
            let (now, endpoint) = (key as f64, u32::from(endpoint % 4));
            let taken = |model: &mut Vec<(u32, usize, Ms)>, position: Option<usize>| position
                .map(|position| model.remove(position).1);
            match operation % 6 {
                0 => {
                    let idle_enough = model.iter().rposition(|r| r.0 == endpoint && now - r.2 >= 10.0);
                    pool.take(now, endpoint, 10.0) == taken(&mut model, idle_enough)
                }
                1 => {
                    let first = (!model.is_empty()).then_some(0);
                    pool.evict_oldest() == taken(&mut model, first)
                }
                2 => {
                    let removed = model
                        .iter()
                        .position(|r| r.0 == endpoint)
                        .and_then(|position| taken(&mut model, Some(position)));
                    removed.into_iter().for_each(|key| pool.remove(endpoint, key));
                    true
                }
                3 => {
                    let removed: Vec<usize> = model.iter().filter(|r| r.0 == endpoint).map(|r| r.1).collect();
                    model.retain(|r| r.0 != endpoint);
                    pool.remove_endpoint(endpoint) == removed
                }
                _ => {
                    model.push((endpoint, key, now));
                    pool.put(now, endpoint, key);
                    let mut expected: Vec<usize> =
                        model.iter().filter(|r| now - r.2 >= 28.0).map(|r| r.1).collect();
                    model.retain(|r| now - r.2 < 28.0);
                    let mut expired = pool.take_expired(now);
                    expected.sort_unstable();
                    expired.sort_unstable();
                    expired == expected
                }
            }
        })
    }
}

#[test]
fn a_connection_that_has_just_become_idle_is_not_reused() {
    let mut pool = IdlePool::new(None);
    pool.put(0.0, 1, 7);
    pool.put(100.0, 1, 8);
    pool.put(195.0, 1, 9);
    let min_idle = 50.0;
    assert_eq!(pool.take(200.0, 1, min_idle), Some(8), "the most recent one that was idle for long enough");
    assert_eq!(pool.take(200.0, 1, min_idle), Some(7));
    assert_eq!(pool.take(200.0, 1, min_idle), None, "data of its last exchange may still arrive");
    assert_eq!(pool.take(245.0, 1, min_idle), Some(9));
}
