//! What planning a write costs, by how many are held: it is held, leaves with its company, and those are held anew.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use magpiewick_coalescing::{Bounds, Coalescer, OverlapLock, Piece, Write};

const BLOCKS: u64 = 1 << 20;

fn piece(request_id: u64) -> Piece {
    // Steps that neither repeat soon nor follow each other.
    let start = request_id.wrapping_mul(2_654_435_761) % BLOCKS;
    let (volume, shard, class) = (1 + request_id % 4, (request_id % 16) as u32, 0);
    Piece { volume, shard, class, start, end: start + 1, bytes: 64, units: 1.0 }
}

fn planning(c: &mut Criterion) {
    let mut group = c.benchmark_group("planning");
    for held in [10_u64, 1_000, 10_000] {
        let mut coalescer =
            Coalescer::new(Bounds { parts: 8, units: 8.0, bytes: 64 << 10, reach: BLOCKS / held.max(1) });
        (0..held).for_each(|request_id| coalescer.hold(request_id, piece(request_id)));
        let mut next = 0;
        group.bench_function(BenchmarkId::new("company", held), |b| {
            b.iter(|| {
                next = (next + 7) % held;
                let mut parts = vec![next];
                while let Some(other) = coalescer.beside(parts.iter().copied()) {
                    parts.push(other);
                }
                coalescer.left(parts.iter().copied());
                parts.iter().for_each(|request_id| coalescer.hold(*request_id, piece(*request_id)));
                parts.len()
            });
        });
        let write = |request_id: u64| {
            let p = piece(request_id);
            Write { volume: p.volume, start: p.start, end: p.end, line: None }
        };
        let mut gate = OverlapLock::default();
        (0..held).for_each(|request_id| _ = gate.enter(request_id, write(request_id)));
        let mut next = held;
        group.bench_function(BenchmarkId::new("gate", held), |b| {
            b.iter(|| {
                let free = gate.enter(next, write(next));
                gate.leave(next - held);
                next += 1;
                free
            });
        });
    }
    group.finish();
}

criterion_group!(benches, planning);
criterion_main!(benches);
