//! Cost of coalescing as a function of the number of pending writes. Each iteration dispatches a write with the writes
//! that join its batch, and inserts all of them again.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use magpiewick_coalescing::{BatchLimits, Coalescer, OverlapLock, PendingWrite, WriteRange};

const BLOCKS: u64 = 1 << 20;

fn pending_write(request_id: u64) -> PendingWrite {
    // The starts neither repeat soon nor are consecutive.
    let start = request_id.wrapping_mul(2_654_435_761) % BLOCKS;
    let (volume, shard, class) = (1 + request_id % 4, (request_id % 16) as u32, 0);
    PendingWrite { volume, shard, class, start, end: start + 1, bytes: 64, units: 1.0 }
}

fn planning(c: &mut Criterion) {
    let mut group = c.benchmark_group("planning");
    for pending in [10_u64, 1_000, 10_000] {
        let mut coalescer = Coalescer::new(BatchLimits {
            max_parts: 8,
            max_units: 8.0,
            max_bytes: 64 << 10,
            max_gap: BLOCKS / pending.max(1),
        });
        (0..pending).for_each(|request_id| coalescer.insert(request_id, pending_write(request_id)));
        let mut next = 0;
        group.bench_function(BenchmarkId::new("batch", pending), |b| {
            b.iter(|| {
                next = (next + 7) % pending;
                let mut parts = vec![next];
                while let Some(candidate) = coalescer.next_candidate(parts.iter().copied()) {
                    parts.push(candidate);
                }
                coalescer.on_dispatched(parts.iter().copied());
                parts.iter().for_each(|request_id| coalescer.insert(*request_id, pending_write(*request_id)));
                parts.len()
            });
        });
        let write = |request_id: u64| {
            let p = pending_write(request_id);
            WriteRange { volume: p.volume, start: p.start, end: p.end, ordering_key: None }
        };
        let mut lock = OverlapLock::default();
        (0..pending).for_each(|request_id| _ = lock.acquire(request_id, write(request_id)));
        let mut next = pending;
        group.bench_function(BenchmarkId::new("lock", pending), |b| {
            b.iter(|| {
                let is_acquired = lock.acquire(next, write(next));
                lock.release(next - pending);
                next += 1;
                is_acquired
            });
        });
    }
    group.finish();
}

criterion_group!(benches, planning);
criterion_main!(benches);
