//! Cost of writing steps (encoder, compressor and index together) and of reading them.

#![allow(missing_docs)] // `criterion_main!` generates undocumented items.

use std::hint::black_box;
use std::io::Cursor;

#[path = "../tests/common/mod.rs"]
mod common;

use badgergauge_trace::{Header, Reader, Record, Writer};
use common::{servers, source, step};
use criterion::{Criterion, Throughput, criterion_group, criterion_main};

fn steps() -> Vec<Record> {
    (1..=10_000).map(step).collect()
}

fn write(criterion: &mut Criterion) {
    let (records, servers) = (steps(), servers());
    let file = || {
        let mut writer = Writer::new(Vec::with_capacity(4 << 20), Header::new(vec![source("n1", 9)], false))
            .expect("written");
        records.iter().for_each(|record| writer.add(record, &servers).expect("written"));
        writer.finish().expect("written")
    };
    let bytes = file();
    println!("{} bytes for {} steps of 19 events and actions", bytes.len(), records.len());
    let mut group = criterion.benchmark_group("steps");
    group.throughput(Throughput::Elements(records.len() as u64)).sample_size(20);
    group.bench_function("write", |bencher| bencher.iter(|| black_box(file()).len()));
    group.bench_function("read", |bencher| {
        bencher.iter(|| {
            let mut reader = Reader::open(Cursor::new(&bytes)).expect("valid");
            let mut count = 0;
            while let Some(block) = reader.next_block().expect("reads from memory") {
                count += black_box(block).len();
            }
            count
        });
    });
    group.finish();
}

criterion_group!(benches, write);
criterion_main!(benches);
