//! Randomly drawn groups with cold nodes, for the tests and for the example `slow_start`, which scans many seeds.

use plovercove_simulation::{Fault, FaultKind, NodeSpec, Report, SimRng, Spec};
use rand::{RngExt, SeedableRng};

/// Draws a group of which several members restart at once. Routers receive the list at different times and have uneven
/// traffic; there is a burst and in half of the cases a restart of all routers.
pub fn drawn(seed: u64) -> Spec {
    let rng = &mut SimRng::seed_from_u64(seed);
    let mut uniform = |low: f64, high: f64| low + (high - low) * rng.random::<f64>();
    let members = uniform(3.0, 8.0) as usize;
    let routers = [1, 2, 5, 20, 30, 100, 300][uniform(0.0, 7.0) as usize];
    let cold = uniform(1.0, members as f64) as usize;
    let node = NodeSpec {
        cores: uniform(2.0, 17.0) as u32,
        cold_from: uniform(0.1, 0.35),
        cold_s: uniform(6.0, 15.0),
        fall_factor: uniform(2.5, 5.0),
        fall_s: uniform(1.0, 3.0),
        ..NodeSpec::default()
    };
    let (load, skew, spread) = (uniform(0.3, 1.5), uniform(1.0, 6.0), uniform(0.0, 4.0));
    let burst = uniform(6.0, 16.0);
    let down = FaultKind::ZoneDown {
        zone: "a".into(),
        part: cold as f64 / members as f64,
    };
    let mut faults = vec![Fault {
        at: 3.0,
        until: 6.0,
        what: down,
    }];
    if uniform(0.0, 1.0) < 0.5 {
        let at = uniform(7.0, 12.0);
        faults.push(Fault {
            at,
            until: at + 0.3,
            what: FaultKind::RoutersDown { zone: "a".into() },
        });
    }
    let text = format!(
        r#"{{"seconds": 22, "zones": [{{"name": "a", "nodes": {members}, "routers": {routers}}}],
        "replication": {{"members": {members}}}, "list": {{"spread_s": {spread}}}, "variant": "flat",
        "clients": {{"load": {load}, "skew": {skew}, "bursts": [[{burst}, {}, {}]]}}}}"#,
        burst + uniform(0.5, 4.0),
        uniform(1.0, 2.5),
    );
    Spec {
        node,
        faults,
        ..serde_json::from_str(&text).expect("a good spec")
    }
}

/// Draws the same group with a rolling restart of the routers within two seconds from the start of the burst.
pub fn drawn_with_rolling_restart(seed: u64) -> Spec {
    let mut spec = drawn(seed);
    let at = spec.clients.bursts[0].0;
    let what = FaultKind::Rollout { down_s: 0.3 };
    spec.faults.push(Fault {
        at,
        until: at + 2.0,
        what,
    });
    spec
}

/// Draws the same group with nodes that crash at twice their current capacity, as those of another customer do.
pub fn drawn_with_early_crashes(seed: u64) -> Spec {
    let mut spec = drawn(seed);
    spec.node.fall_factor = 2.0;
    spec
}

/// Describes the spec and the report in a line.
pub fn describe(seed: u64, spec: &Spec, report: &Report) -> String {
    let (zone, node) = (&spec.zones[0], &spec.node);
    let (largest, informed) = &report.cold;
    format!(
        "seed {seed}: load {:.2} of what a cold node withstands ({:.2} for loads from informed routers), {} crashed; {} routers, {} members, load {:.2}, skew {:.1}, bursts {:?}, \
         {} cores from {:.2}, {:.1} x {:.1} s; in time {:.3}; {} faults; the peak: {}",
        report.cold_peak,
        informed.pressure,
        report.fallen,
        zone.routers,
        zone.nodes,
        spec.clients.load,
        spec.clients.skew,
        spec.clients.bursts,
        node.cores,
        node.cold_from,
        node.fall_factor,
        node.fall_s,
        report.in_time,
        spec.faults.len(),
        largest.shares,
    )
}
