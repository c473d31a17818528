//! What a router's talk costs at 300 routers and 120 db nodes: a second of all of them, in calm and while eight nodes are bad.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Net, S};
use criterion::Criterion;
use plovercove::AttemptEnd;
use plovercove_gossip::Rules;
use std::time::Duration;

/// Routers; the time of one router's second is this part of what is printed.
const ROUTERS: usize = 300;

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(100))
        .measurement_time(Duration::from_secs(4))
        .configure_from_args();
    for bad in [false, true] {
        let mut net = Net::new(ROUTERS, 40, 1, Rules::default());
        net.joined();
        net.fate = Box::new(move |_, _, node, _| {
            let number = node[1..].parse::<usize>().unwrap_or(0);
            if bad && number % 15 == 4 {
                (AttemptEnd::TimedOut, 200_000)
            } else {
                (AttemptEnd::Success, 5_000)
            }
        });
        net.run(5 * S);
        let name = if bad {
            "a second of 300 routers, 8 nodes bad"
        } else {
            "a second of 300 routers, calm"
        };
        criterion.bench_function(name, |bench| bench.iter(|| net.run(S)));
    }
    criterion.final_summary();
}
