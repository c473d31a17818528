//! Merges a million rows of 300 sources, once as streams and once by collecting and sorting them.
//!
//! To print the peak memory of one way, run it in a separate process: `merge memory-streamed`,
//! `merge memory-collected`, `merge memory-none`. The figure is that of the operating system, since a counting allocator
//! would need unsafe code.

use criterion::{Criterion, Throughput};
use plovercove_gather::{AbsentOrder, Input, Plan, Row, Rules, SortKey, StreamMerge, Value};
use std::hint::black_box;
use std::time::Duration;

const SOURCES: i128 = 300;
const ROWS: i128 = 1_000_000;

fn plan() -> Plan {
    let sort = vec![SortKey {
        by: "n".into(),
        descending: true,
        absent: AbsentOrder::Last,
    }];
    let rules = Rules {
        columns: vec!["key".into(), "n".into()],
        sort,
        max_rows: Some(100),
        ..Rules::default()
    };
    rules.plan().expect("valid rules")
}

/// Returns the rows of one source with the highest first, made one by one as a decoder would return them.
fn source(number: i128) -> impl Iterator<Item = Row> {
    let row_count = ROWS / SOURCES + i128::from(number < ROWS % SOURCES);
    (0..row_count).map(move |n| {
        let value = 1_000_000 - n * 300 - (number * 7_919 + n * 104_729) % 300;
        Row::from_values(vec![
            Value::text("tenant of usual length"),
            Value::Int(value),
        ])
    })
}

fn streamed(plan: &Plan) -> usize {
    let input = |n| Input {
        name: format!("s{n}"),
        rows: source(n),
        combined: false,
        withheld_prefix: None,
    };
    let streams = StreamMerge::new(plan, (0..SOURCES).map(input).collect());
    streams.filter(|row| black_box(row).is_ok()).count()
}

fn collected(plan: &Plan) -> usize {
    let mut all: Vec<(u32, Row)> = (0..SOURCES)
        .flat_map(|n| source(n).map(move |row| (n as u32, row)))
        .collect();
    all.sort_by(|a, b| plan.cmp_stream_order(&a.1, &b.1).then(a.0.cmp(&b.0)));
    black_box(all).len()
}

/// Returns the line with the peak memory of this process (KB), if the operating system reports it.
fn peak_memory() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find(|l| l.starts_with("VmHWM"))
        .unwrap_or("VmHWM: unknown");
    line.to_owned()
}

fn main() {
    let plan = plan();
    match std::env::args().nth(1).as_deref() {
        Some("memory-streamed") => {
            return println!("streamed: {} rows, {}", streamed(&plan), peak_memory());
        }
        Some("memory-collected") => {
            return println!("collected: {} rows, {}", collected(&plan), peak_memory());
        }
        Some("memory-none") => return println!("neither: {}", peak_memory()),
        _ => {}
    }
    let mut criterion = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(8))
        .configure_from_args();
    let mut group = criterion.benchmark_group("a million rows from 300 sources");
    group.throughput(Throughput::Elements(ROWS as u64));
    group.bench_function("made and dropped", |b| {
        b.iter(|| (0..SOURCES).flat_map(source).map(black_box).count());
    });
    group.bench_function("streamed", |b| b.iter(|| streamed(&plan)));
    group.bench_function("collected and sorted", |b| b.iter(|| collected(&plan)));
    group.finish();
    criterion.final_summary();
}
