//! Measures the lookup of an extent, by the number of extents in the map.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use magpiewick_extents::{ExtentMap, VolumeMap};
use std::collections::BTreeMap;

fn lookup(c: &mut Criterion) {
    let mut group = c.benchmark_group("lookup");
    for count in [1_000_u64, 100_000, 1_000_000] {
        let rows: Vec<(u64, u32, u32)> = (0..count).map(|i| (i * 4096, (i % 60) as u32, 1)).collect();
        let volume = VolumeMap::new(1, count * 4096, &rows).expect("the starts of the rows rise");
        let map = ExtentMap::new(1, BTreeMap::from([(1, volume)]));
        let mut offset = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                // Offsets that repeat only after many lookups and are not adjacent in memory.
                offset = (offset + 2_654_435_761) % (count * 4096);
                map.find(1, offset)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, lookup);
criterion_main!(benches);
