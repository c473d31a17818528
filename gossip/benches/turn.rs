//! Cost of gossip with 300 routers and 120 database nodes: one second of all routers, while all nodes serve and while eight
//! fail.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Net, S};
use criterion::Criterion;
use plovercove::AttemptEnd;
use plovercove_gossip::Rules;
use std::time::Duration;

/// Number of routers. The printed time divided by this number is the time of one router.
const ROUTERS: usize = 300;

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(100))
        .measurement_time(Duration::from_secs(4))
        .configure_from_args();
    for bad in [false, true] {
        let mut net = Net::new(ROUTERS, 40, 1, Rules::default());
        net.run_until_joined();
        net.attempt_result = Box::new(move |_, _, node, _| {
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
