//! The load that all routers together send to a cold node stays under what the node certainly withstands, in randomly
//! drawn groups.

mod drawn;

use drawn::{describe, drawn, drawn_with_early_crashes, drawn_with_rolling_restart};
use plovercove_simulation::{Spec, run};

/// Seeds with 1 to 300 routers. Among them are those that came closest to the bound, both before routers used time slots
/// for cold nodes and since then.
const TYPICAL_SEEDS: [u64; 12] = [4, 15, 19, 23, 28, 29, 45, 65, 87, 101, 103, 145];
/// A seed with 20 routers, a burst of twice a load that is already high, and nodes that crash early.
const HIGH_LOAD_SEED: u64 = 21;

/// Seeds with 30 routers and nodes that crash early: those of seeds 1 to 2,500 in which a node crashed before routers used
/// time slots.
const EARLY_CRASH_SEEDS: [u64; 5] = [181, 735, 1843, 2026, 2068];

/// Seeds in which a cold node receives more than it withstands, but only from routers that do not know of the start.
const UNINFORMED_SEEDS: [u64; 2] = [49, 52];

fn assert_no_overload(seed: u64, spec: &Spec) {
    let report = run(spec, seed).expect("it runs");
    println!("{}", describe(seed, spec, &report));
    assert!(report.cold_peak <= 1.0, "{}", describe(seed, spec, &report));
}

#[test]
fn all_routers_together_do_not_overload_cold_nodes() {
    TYPICAL_SEEDS
        .into_iter()
        .for_each(|seed| assert_no_overload(seed, &drawn(seed)));
}

#[test]
fn all_routers_together_do_not_overload_cold_nodes_in_a_burst_at_high_load() {
    assert_no_overload(HIGH_LOAD_SEED, &drawn(HIGH_LOAD_SEED));
}

#[test]
fn thirty_routers_together_do_not_overload_cold_nodes_that_crash_early() {
    EARLY_CRASH_SEEDS
        .into_iter()
        .for_each(|seed| assert_no_overload(seed, &drawn_with_early_crashes(seed)));
}

#[test]
fn all_routers_together_do_not_overload_cold_nodes_during_a_rolling_restart() {
    TYPICAL_SEEDS
        .into_iter()
        .chain([HIGH_LOAD_SEED])
        .for_each(|seed| assert_no_overload(seed, &drawn_with_rolling_restart(seed)));
}

#[test]
fn overload_of_a_cold_node_comes_only_from_routers_that_do_not_know_of_its_start() {
    for seed in UNINFORMED_SEEDS {
        let spec = drawn(seed);
        let report = run(&spec, seed).expect("it runs");
        let ((largest, informed), line) = (report.cold, describe(seed, &spec, &report));
        println!("{line}");
        assert!(
            informed.pressure <= 1.0 && report.breaches.is_empty(),
            "{line}; {:?}",
            report.breaches
        );
        assert!(
            largest.pressure <= 1.0 || !largest.shares.are_mostly_informed(),
            "{line}"
        );
    }
}
