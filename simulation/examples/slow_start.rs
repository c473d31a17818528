//! Plays the drawn groups of `tests/slow_start.rs` over a range of seeds, by hand: FIRST LAST [THREADS] [1: routers
//! restart; 2: nodes fall at twice their capacity].

#[path = "../tests/drawn/mod.rs"]
mod drawn;

use drawn::{drawn, early, restarted, told};
use plovercove_simulation::run;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

fn main() {
    let number = |place, usual| {
        std::env::args()
            .nth(place)
            .map_or(usual, |a| a.parse().expect("a number"))
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
                        1 => restarted(seed),
                        _ => early(seed),
                    };
                    let since = Instant::now();
                    let report = run(&spec, seed).expect("it runs");
                    println!(
                        "{}; {:.1} s",
                        told(seed, &spec, &report),
                        since.elapsed().as_secs_f64()
                    );
                }
            });
        }
    });
}
