use super::*;
use quickcheck::quickcheck;

quickcheck! {
    fn ranks_are_ordered_as_their_numbers(a: f64, b: f64) -> bool {
        rank(a).cmp(&rank(b)) == a.total_cmp(&b)
    }

    /// A plain model: a map from things to times, sorted when asked.
    fn an_agenda_is_a_map_by_time(steps: Vec<(u8, Option<i16>)>, now: i16) -> bool {
        let (mut agenda, mut plain) = (TimerQueue::default(), BTreeMap::new());
        for (thing, at) in steps {
            agenda.set(thing, at.map(f64::from));
            match at {
                Some(at) => _ = plain.insert(thing, at),
                None => _ = plain.remove(&thing),
            }
        }
        let mut due: Vec<(i16, u8)> = plain.iter().filter(|p| *p.1 <= now).map(|p| (*p.1, *p.0)).collect();
        due.sort_unstable();
        let due: Vec<u8> = due.into_iter().map(|d| d.1).collect();
        agenda.due(f64::from(now)).collect::<Vec<_>>() == due && agenda.is_empty() == plain.is_empty()
    }

    /// A plain model: each host's last word, added up when asked.
    fn peers_add_up_to_what_each_said_last(words: Vec<(u8, u8, u8, bool)>) -> bool {
        let (mut peers, mut plain) = (GossipState::default(), BTreeMap::new());
        words.into_iter().zip(0..).all(|((from, node, out, waits), now)| {
            let (from, node, out) = (usize::from(from % 5), usize::from(node % 3), u32::from(out));
            let told = GossipReport { node, out, waits, answers: 0, wait: 0.0 };
            peers.tells(f64::from(now), from, &[told]);
            plain.insert(from, (f64::from(now), told));
            peers.lapse(f64::from(now - 7));
            plain.retain(|_, (at, _)| *at >= f64::from(now - 7));
            let of = |node| plain.values().filter(move |(_, t)| t.node == node);
            (0..3).all(|node| {
                let out: u32 = of(node).map(|(_, t)| t.out).sum();
                peers.at(node) == (f64::from(out), of(node).filter(|(_, t)| t.waits).count() as f64)
            })
        })
    }

    /// A plain model: one list of requests in the order taken.
    fn keys_have_the_order_taken(steps: Vec<(u8, u8)>) -> bool {
        let (mut keys, mut plain): (KeyLocks, Vec<(usize, usize)>) = (KeyLocks::default(), Vec::new());
        let first = |plain: &[(usize, usize)], key| plain.iter().find(|p| p.0 == key).map(|p| p.1);
        for (now, (what, a)) in (0..).zip(steps) {
            let (now, key) = (f64::from(now), usize::from(a % 3));
            if what % 3 == 0 && !plain.is_empty() {
                let (key, id) = plain.remove(usize::from(a) % plain.len());
                if keys.leave(now, key, id) != first(&plain, key) {
                    return false;
                }
            } else {
                let id = now as usize;
                keys.join(now, key, id);
                plain.push((key, id));
            }
            if (0..3).any(|key| keys.first(key).map(|f| f.0) != first(&plain, key)) {
                return false;
            }
        }
        true
    }
}
