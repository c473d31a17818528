//! A million rows from 300 sources: streamed, and collected and sorted. Prints the memory that each takes (from the system's
//! own count of this process, since a counting allocator would need unsafe code).
//!
//! Each way runs in a process of its own for memory: `merge memory-streamed`, `merge memory-collected`, `merge memory-none`.

use criterion::{Criterion, Throughput};
use plovercove_gather::{Absent, Input, Plan, Row, Rules, Sort, Streams, Value};
use std::hint::black_box;
use std::time::Duration;

const SOURCES: i128 = 300;
const ROWS: i128 = 1_000_000;

fn plan() -> Plan {
    let sort = vec![Sort {
        by: "n".into(),
        down: true,
        absent: Absent::Last,
    }];
    let rules = Rules {
        columns: vec!["key".into(), "n".into()],
        sort,
        rows: Some(100),
        ..Rules::default()
    };
    rules.plan().expect("rules that hold")
}

/// One source's rows, the highest first, as a reader would decode them one by one.
fn source(number: i128) -> impl Iterator<Item = Row> {
    let each = ROWS / SOURCES + i128::from(number < ROWS % SOURCES);
    (0..each).map(move |n| {
        let value = 1_000_000 - n * 300 - (number * 7_919 + n * 104_729) % 300;
        Row::plain(vec![
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
        cut: None,
    };
    let streams = Streams::new(plan, (0..SOURCES).map(input).collect());
    streams.filter(|row| black_box(row).is_ok()).count()
}

fn collected(plan: &Plan) -> usize {
    let mut all: Vec<(u32, Row)> = (0..SOURCES)
        .flat_map(|n| source(n).map(move |row| (n as u32, row)))
        .collect();
    all.sort_by(|a, b| plan.streamed(&a.1, &b.1).then(a.0.cmp(&b.0)));
    black_box(all).len()
}

/// The most memory that this process has had (KB), where the system tells.
fn most_kb() -> String {
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
            return println!("streamed: {} rows, {}", streamed(&plan), most_kb());
        }
        Some("memory-collected") => {
            return println!("collected: {} rows, {}", collected(&plan), most_kb());
        }
        Some("memory-none") => return println!("neither: {}", most_kb()),
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
