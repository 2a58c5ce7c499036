use super::*;
use quickcheck::quickcheck;

quickcheck! {
    /// A plain model: one after the other, whoever holds most of the cheapest kind goes while there is too much.
    fn the_largest_go_until_the_rest_fits(all: Vec<(u8, u8)>, bound: u16) -> bool {
        let kinds = [BufferOwner::Upstream, BufferOwner::SendingResponse, BufferOwner::AwaitingResponse];
        let all = all.iter().enumerate();
        let all: Vec<_> =
            all.map(|(key, (kind, b))| (kinds[usize::from(kind % 3)], usize::from(*b), key)).collect();
        let (mut plain, mut gone) = (all.clone(), Vec::new());
        while plain.iter().map(|p| p.1).sum::<usize>() > usize::from(bound) {
            let rank = |p: &(BufferOwner, usize, usize)| (std::cmp::Reverse(p.0), p.1, std::cmp::Reverse(p.2));
            let free = (0..plain.len()).filter(|at| plain[*at].0 != BufferOwner::AwaitingResponse && plain[*at].1 > 0);
            let Some(most) = free.max_by_key(|at| rank(&plain[*at])) else { break };
            gone.push(plain.remove(most).2);
        }
        select_to_close(usize::from(bound), all.into_iter()) == gone
    }
}
