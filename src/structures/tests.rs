use super::*;
use crate::types::GossipReport;
use quickcheck::quickcheck;
use std::collections::BTreeMap;

quickcheck! {
    fn total_order_keys_sort_like_their_numbers(a: f64, b: f64) -> bool {
        total_order_key(a).cmp(&total_order_key(b)) == a.total_cmp(&b)
    }

    /// The model is a map from keys to times, sorted for each check.
    fn timer_queue_matches_a_map_sorted_by_time(steps: Vec<(u8, Option<i16>)>, now: i16) -> bool {
        let (mut timers, mut model) = (TimerQueue::default(), BTreeMap::new());
        for (key, at) in steps {
            timers.set(key, at.map(f64::from));
            match at {
                Some(at) => _ = model.insert(key, at),
                None => _ = model.remove(&key),
            }
        }
        let mut due: Vec<(i16, u8)> =
            model.iter().filter(|(_, at)| **at <= now).map(|(key, at)| (*at, *key)).collect();
        due.sort_unstable();
        let due: Vec<u8> = due.into_iter().map(|(_, key)| key).collect();
        timers.due(f64::from(now)).collect::<Vec<_>>() == due && timers.is_empty() == model.is_empty()
    }

    /// The model is the latest report of each host, summed for each check.
    fn remote_load_is_the_sum_of_the_latest_reports(steps: Vec<(u8, u8, u8, bool)>) -> bool {
        let (mut gossip, mut model) = (GossipState::default(), BTreeMap::new());
        steps.into_iter().zip(0..).all(|((host, node, in_flight, has_queued), now)| {
            let (host, node, in_flight) = (usize::from(host % 5), usize::from(node % 3), u32::from(in_flight));
            let report = GossipReport { node, in_flight, has_queued, answers: 0, queueing_delay: 0.0 };
            gossip.replace(f64::from(now), host, &[report]);
            model.insert(host, (f64::from(now), report));
            gossip.expire(f64::from(now - 7));
            model.retain(|_, (received_at, _)| *received_at >= f64::from(now - 7));
            let reports_of = |node| model.values().map(|(_, report)| report).filter(move |r| r.node == node);
            (0..3).all(|node| {
                let in_flight: u32 = reports_of(node).map(|report| report.in_flight).sum();
                let competing_hosts = reports_of(node).filter(|report| report.has_queued).count() as u32;
                let load = gossip.remote_load(node);
                load.in_flight == in_flight && load.competing_hosts == competing_hosts
            })
        })
    }

    /// The model is a list of requests in the order of arrival.
    fn key_locks_are_granted_in_the_order_of_arrival(steps: Vec<(u8, u8)>) -> bool {
        let (mut locks, mut model): (KeyLocks, Vec<(usize, usize)>) = (KeyLocks::default(), Vec::new());
        let first = |model: &[(usize, usize)], key| model.iter().find(|(k, _)| *k == key).map(|(_, id)| *id);
        for (now, (action, choice)) in (0..).zip(steps) {
            let (now, key) = (f64::from(now), usize::from(choice % 3));
            if action % 3 == 0 && !model.is_empty() {
                let (key, id) = model.remove(usize::from(choice) % model.len());
                if locks.remove(now, key, id) != first(&model, key) {
                    return false;
                }
            } else {
                let id = now as usize;
                locks.enqueue(now, key, id);
                model.push((key, id));
            }
            if (0..3).any(|key| locks.holder(key).map(|(id, _)| id) != first(&model, key)) {
                return false;
            }
        }
        true
    }

    /// The model is a list in the order of arrival, from which each request takes tokens left by the
    /// earlier ones.
    fn tokens_are_granted_to_the_earliest_waiters_they_cover(
        waiting: Vec<(u8, u8)>,
        available: Vec<u8>
    ) -> bool {
        let mut waiters = TokenWaiters::default();
        let mut model: Vec<TokenWaiter> = Vec::new();
        for (id, (volume, units)) in waiting.into_iter().enumerate() {
            let (volume, units) = (usize::from(volume % 2), f64::from(units % 5) + 0.5);
            let waiter = TokenWaiter { volume, arrival: id as u64 * 7 % 256, id, units };
            model.retain(|other| (other.volume, other.arrival) != (volume, waiter.arrival));
            (0..5).for_each(|units| waiters.remove(volume, waiter.arrival, f64::from(units) + 0.5));
            waiters.add(waiter, 0.0);
            model.push(waiter);
        }
        model.sort_by_key(|waiter| waiter.arrival);
        available.into_iter().enumerate().all(|(volume, tokens)| {
            let (volume, mut remaining) = (volume % 2, f64::from(tokens % 16));
            let mut covered = Vec::new();
            model.retain(|waiter| {
                let is_covered = waiter.volume == volume && waiter.units <= remaining;
                if is_covered {
                    remaining -= waiter.units;
                    covered.push(*waiter);
                }
                !is_covered
            });
            let of_volume = || model.iter().filter(|waiter| waiter.volume == volume);
            let least = of_volume().map(|waiter| waiter.units).fold(f64::INFINITY, f64::min);
            waiters.take_covered(volume, f64::from(tokens % 16)) == covered
                && waiters.smallest(volume).map_or(f64::INFINITY, |waiter| waiter.units) == least
                && waiters.due_checks(0.0).contains(&volume) == (least < f64::INFINITY)
        })
    }
}
