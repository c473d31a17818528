//! Runs the randomly drawn groups of `tests/slow_start.rs` over a range of seeds. Arguments: FIRST LAST [THREADS]
//! [1: with a rolling restart of the routers; 2: with nodes that crash at twice their capacity].

#[path = "../tests/drawn/mod.rs"]
mod drawn;

use drawn::{describe, drawn, drawn_with_early_crashes, drawn_with_rolling_restart};
use plovercove_simulation::run;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

fn main() {
    let number = |position, default| {
        std::env::args()
            .nth(position)
            .map_or(default, |a| a.parse().expect("a number"))
    };
    let (first, last) = (number(1, 1), number(2, 50));
    let next = AtomicU64::new(first);
    std::thread::scope(|scope| {
        for _ in 0..number(3, 1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed > last {
                        break;
                    }
                    let spec = match number(4, 0) {
                        0 => drawn(seed),
                        1 => drawn_with_rolling_restart(seed),
                        _ => drawn_with_early_crashes(seed),
                    };
                    let since = Instant::now();
                    let report = run(&spec, seed).expect("it runs");
                    println!(
                        "{}; {:.1} s",
                        describe(seed, &spec, &report),
                        since.elapsed().as_secs_f64()
                    );
                }
            });
        }
    });
}
