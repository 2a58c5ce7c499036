use super::*;
use quickcheck::quickcheck;

quickcheck! {
    /// A plain model: one after the other, the largest of the cheapest kind is closed while there is too much.
    fn the_largest_are_closed_until_the_rest_fits(all: Vec<(u8, u8)>, bound: u16) -> bool {
        let owners = [BufferOwner::Upstream, BufferOwner::SendingResponse, BufferOwner::AwaitingResponse];
        let buffers = |(key, (owner, bytes)): (usize, &(u8, u8))| {
            BufferUse { owner: owners[usize::from(owner % 3)], bytes: usize::from(*bytes), key }
        };
        let all: Vec<BufferUse> = all.iter().enumerate().map(buffers).collect();
        let (mut model, mut closed) = (all.clone(), Vec::new());
        while model.iter().map(|b| b.bytes).sum::<usize>() > usize::from(bound) {
            let rank = |b: &BufferUse| (std::cmp::Reverse(b.owner), b.bytes, std::cmp::Reverse(b.key));
            let free = (0..model.len())
                .filter(|at| model[*at].owner != BufferOwner::AwaitingResponse && model[*at].bytes > 0);
            let Some(most) = free.max_by_key(|at| rank(&model[*at])) else { break };
            closed.push(model.remove(most).key);
        }
        MemoryLimit { bytes: usize::from(bound) }.select_to_close(all.into_iter()) == closed
    }
}
