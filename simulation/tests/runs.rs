//! Runs of small simulations: they are reproducible, and no rule is violated.

use plovercove_simulation::{Fault, FaultKind, Spec, Variant, run};

fn spec(faults: Vec<Fault>) -> Spec {
    let text = r#"{"seconds": 30, "window": [8, 28], "clients": {"load": 0.5}, "zones": [
        {"name": "a", "nodes": 6, "routers": 4}, {"name": "b", "nodes": 6, "routers": 4}, {"name": "c", "nodes": 6, "routers": 4}]}"#;
    Spec {
        faults,
        ..serde_json::from_str(text).expect("a good spec")
    }
}

fn down(zone: &str) -> Fault {
    Fault {
        at: 8.0,
        until: 14.0,
        what: FaultKind::ZoneDown {
            zone: zone.into(),
            part: 1.0,
        },
    }
}

#[test]
fn the_same_seed_gives_the_same_run_to_the_byte() {
    let spec = spec(vec![down("a")]);
    let report_json =
        |seed| serde_json::to_string(&run(&spec, seed).expect("it runs")).expect("JSON");
    assert_eq!(report_json(3), report_json(3));
    assert_ne!(report_json(3), report_json(4));
}

#[test]
fn without_faults_reads_stay_in_their_zone_and_no_rule_is_violated() {
    let report = run(&spec(Vec::new()), 1).expect("it runs");
    assert!(report.breaches.is_empty(), "{:?}", report.breaches);
    assert!(report.in_time > 0.97, "{} in time", report.in_time);
    let flat = run(
        &Spec {
            variant: Variant::Flat,
            ..spec(Vec::new())
        },
        1,
    )
    .expect("it runs");
    let (tiers, flat) = (report.local, flat.local);
    assert!(
        tiers > 0.75 && tiers > flat + 0.15,
        "at home with tiers {tiers}, without {flat}"
    );
}

#[test]
fn spill_stays_under_its_limit_while_a_zone_is_lost() {
    // Without the limit, the requests of a lost zone overload the next zone, and then those of both the last one.
    for seed in 1..4 {
        let report = run(&spec(vec![down("a")]), seed).expect("it runs");
        assert!(report.breaches.is_empty(), "{:?}", report.breaches);
        assert!(
            report.spill_most > 0.05,
            "nothing went round: {}",
            report.spill_most
        );
        assert!(
            report.spill_over < 0.04,
            "{} over the limit",
            report.spill_over
        );
    }
}

#[test]
fn a_drained_zone_violates_no_rule() {
    let drain = Fault {
        at: 8.0,
        until: 14.0,
        what: FaultKind::Drain {
            zone: "b".into(),
            part: 1.0,
        },
    };
    let report = run(&spec(vec![drain]), 2).expect("it runs");
    assert!(report.breaches.is_empty(), "{:?}", report.breaches);
    assert!(report.in_time > 0.85, "{}", report.in_time);
}
