use super::*;
use quickcheck::quickcheck;

quickcheck! {
    /// A plain model: one list of idle connections, in the order in which they became idle.
    fn the_pool_behaves_like_a_plain_list_of_idle_connections(steps: Vec<(u8, u8)>) -> bool {
        let (mut pool, mut model): (IdlePool, Vec<(u32, usize, Ms)>) = (IdlePool::new(Some(40.0)), Vec::new());
        steps.into_iter().enumerate().all(|(key, (what, node))| {
            let (now, node) = (key as f64, u32::from(node % 4));
            let taken = |model: &mut Vec<(u32, usize, Ms)>, at: Option<usize>| at.map(|at| model.remove(at).1);
            match what % 6 {
                0 => {
                    let idle_enough = model.iter().rposition(|r| r.0 == node && now - r.2 >= 10.0);
                    pool.take(now, node, 10.0) == taken(&mut model, idle_enough)
                }
                1 => {
                    let first = (!model.is_empty()).then_some(0);
                    pool.evict_oldest() == taken(&mut model, first)
                }
                2 => {
                    let some = model.iter().position(|r| r.0 == node).and_then(|at| taken(&mut model, Some(at)));
                    some.into_iter().for_each(|key| pool.remove(node, key));
                    true
                }
                3 => {
                    let gone: Vec<usize> = model.iter().filter(|r| r.0 == node).map(|r| r.1).collect();
                    model.retain(|r| r.0 != node);
                    pool.remove_endpoint(node) == gone
                }
                _ => {
                    model.push((node, key, now));
                    pool.put(now, node, key);
                    let mut old: Vec<usize> =
                        model.iter().filter(|r| now - r.2 >= 28.0).map(|r| r.1).collect();
                    model.retain(|r| now - r.2 < 28.0);
                    let mut expired = pool.take_expired(now);
                    old.sort_unstable();
                    expired.sort_unstable();
                    expired == old
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
    assert_eq!(pool.take(200.0, 1, min_idle), Some(8), "the last of those that were quiet for long enough");
    assert_eq!(pool.take(200.0, 1, min_idle), Some(7));
    assert_eq!(
        pool.take(200.0, 1, min_idle),
        None,
        "none is better than one on which something may still come"
    );
    assert_eq!(pool.take(245.0, 1, min_idle), Some(9));
}
