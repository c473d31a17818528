//! What all routers send to a cold node together, over drawn groups: it stays under what the node surely bears.

mod drawn;

use drawn::{drawn, restarted, told};
use plovercove_fleet::{Spec, run};

/// From 1 to 300 routers; among them the nearest to the bound of those that were played, before turns and since.
const SEEDS: [u64; 7] = [4, 15, 19, 23, 28, 29, 45];
/// 20 routers, a burst of twice a load that is high already, nodes that fall early.
const HIGH: u64 = 21;

fn spares(seed: u64, spec: &Spec) {
    let report = run(spec, seed).expect("it runs");
    println!("{}", told(seed, spec, &report));
    assert!(report.cold_peak <= 1.0, "{}", told(seed, spec, &report));
}

#[test]
fn all_routers_together_spare_cold_nodes() {
    SEEDS.into_iter().for_each(|seed| spares(seed, &drawn(seed)));
}

#[test]
fn all_routers_together_spare_cold_nodes_in_a_burst_of_a_high_load() {
    spares(HIGH, &drawn(HIGH));
}

#[test]
fn all_routers_together_spare_cold_nodes_while_they_restart_one_after_another() {
    SEEDS.into_iter().chain([HIGH]).for_each(|seed| spares(seed, &restarted(seed)));
}
