//! What planning a write costs, by how many are held: it is held, leaves with its company, and those are held anew.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use magpiewick_coalescing::{Bounds, Company, Gate, Piece, Write};

const BLOCKS: u64 = 1 << 20;

fn piece(command: u64) -> Piece {
    // Steps that neither repeat soon nor follow each other.
    let start = command.wrapping_mul(2_654_435_761) % BLOCKS;
    let (volume, shard, band) = (1 + command % 4, (command % 16) as u32, 0);
    Piece { volume, shard, band, start, end: start + 1, bytes: 64, units: 1.0 }
}

fn planning(c: &mut Criterion) {
    let mut group = c.benchmark_group("planning");
    for held in [10_u64, 1_000, 10_000] {
        let mut company =
            Company::new(Bounds { parts: 8, units: 8.0, bytes: 64 << 10, reach: BLOCKS / held.max(1) });
        (0..held).for_each(|command| company.hold(command, piece(command)));
        let mut next = 0;
        group.bench_function(BenchmarkId::new("company", held), |b| {
            b.iter(|| {
                next = (next + 7) % held;
                let mut parts = vec![next];
                while let Some(other) = company.beside(parts.iter().copied()) {
                    parts.push(other);
                }
                company.left(parts.iter().copied());
                parts.iter().for_each(|command| company.hold(*command, piece(*command)));
                parts.len()
            });
        });
        let write = |command: u64| {
            let p = piece(command);
            Write { volume: p.volume, start: p.start, end: p.end, line: None }
        };
        let mut gate = Gate::default();
        (0..held).for_each(|command| _ = gate.enter(command, write(command)));
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
