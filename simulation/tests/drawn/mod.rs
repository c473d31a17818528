//! Drawn groups with cold nodes, for the test and for scans by hand.

use plovercove_simulation::{Fault, FaultKind, NodeSpec, Report, SimRng, Spec};
use rand::{RngExt, SeedableRng};

/// A group of which some members start anew at once, with lists told apart, uneven routers, bursts and restarts.
pub fn drawn(seed: u64) -> Spec {
    let rng = &mut SimRng::seed_from_u64(seed);
    let mut pick = |low: f64, high: f64| low + (high - low) * rng.random::<f64>();
    let members = pick(3.0, 8.0) as usize;
    let routers = [1, 2, 5, 20, 30, 100, 300][pick(0.0, 7.0) as usize];
    let cold = pick(1.0, members as f64) as usize;
    let node = NodeSpec {
        cores: pick(2.0, 17.0) as u32,
        cold_from: pick(0.1, 0.35),
        cold_s: pick(6.0, 15.0),
        fall_factor: pick(2.5, 5.0),
        fall_s: pick(1.0, 3.0),
        ..NodeSpec::default()
    };
    let (load, skew, spread) = (pick(0.3, 1.5), pick(1.0, 6.0), pick(0.0, 4.0));
    let burst = pick(6.0, 16.0);
    let down = FaultKind::ZoneDown {
        zone: "a".into(),
        part: cold as f64 / members as f64,
    };
    let mut faults = vec![Fault {
        at: 3.0,
        until: 6.0,
        what: down,
    }];
    if pick(0.0, 1.0) < 0.5 {
        let at = pick(7.0, 12.0);
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
        burst + pick(0.5, 4.0),
        pick(1.0, 2.5),
    );
    Spec {
        node,
        faults,
        ..serde_json::from_str(&text).expect("a good spec")
    }
}

/// The same, whose routers restart one after another within two seconds from the burst on.
pub fn restarted(seed: u64) -> Spec {
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

/// The same, whose nodes fall at twice their present capacity, as another customer's do.
pub fn early(seed: u64) -> Spec {
    let mut spec = drawn(seed);
    spec.node.fall_factor = 2.0;
    spec
}

pub fn told(seed: u64, spec: &Spec, report: &Report) -> String {
    let (zone, node) = (&spec.zones[0], &spec.node);
    let (most, theirs) = &report.cold;
    format!(
        "seed {seed}: {:.2} of what is borne ({:.2} from routers that were told), {} fell; {} routers, {} members, load {:.2}, skew {:.1}, bursts {:?}, \
         {} cores from {:.2}, {:.1} x {:.1} s; in time {:.3}; {} faults; the peak: {}",
        report.cold_peak,
        theirs.pressure,
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
        most.shares,
    )
}
