//! Unit tests of `evidence`.

use super::*;

fn node(name: &str) -> NodeId {
    name.into()
}

fn conditions(
    observations: &[ZoneObservations],
    now: Time,
    list_updated_at: Time,
) -> Vec<ZoneCondition> {
    let zones: Vec<ZoneEvidence<'_>> = observations
        .iter()
        .map(|observations| ZoneEvidence {
            observations,
            serving_nodes: 3,
            listed_share: 1.0,
        })
        .collect();
    let mut conditions = Vec::new();
    classify_zones(now, &zones, list_updated_at, &mut conditions);
    conditions
}

/// Records a failure at each of these nodes, 10 ms apart.
fn record_failures(zone: &mut ZoneObservations, from: Time, nodes: &[&str]) {
    for (n, name) in (0..).zip(nodes) {
        zone.record(from + n * 10_000, &node(name), AttemptSignal::NoAnswer);
    }
}

#[test]
fn one_failing_node_does_not_make_a_zone_dark() {
    let mut zones = [ZoneObservations::default(), ZoneObservations::default()];
    record_failures(&mut zones[0], 0, &["a1"; 20]);
    assert_eq!(
        conditions(&zones, 300_000, 0),
        [ZoneCondition::Well, ZoneCondition::Well],
        "one node only"
    );
    record_failures(&mut zones[0], 300_000, &["a2", "a1"]);
    zones[0].record(330_000, &node("a3"), AttemptSignal::InTime);
    record_failures(&mut zones[0], 340_000, &["a1", "a2", "a1"]);
    assert_eq!(
        conditions(&zones, 400_000, 0)[0],
        ZoneCondition::Well,
        "another of its nodes answers"
    );
}

#[test]
fn zone_without_answers_is_dark_or_a_lost_link_if_a_later_list_has_it_serving() {
    let mut zones = [ZoneObservations::default(), ZoneObservations::default()];
    record_failures(&mut zones[0], 0, &["a1", "a2", "a3", "a1"]);
    zones[1].record(50_000, &node("b1"), AttemptSignal::InTime);
    assert_eq!(
        conditions(&zones, 60_000, 0),
        [ZoneCondition::Well, ZoneCondition::Well],
        "one burst of failures is not enough"
    );
    assert_eq!(
        conditions(&zones, 260_000, 0),
        [ZoneCondition::Dark, ZoneCondition::Well]
    );
    assert_eq!(
        conditions(&zones, 9_000_000, 8_000_000),
        [ZoneCondition::Link, ZoneCondition::Well]
    );
    zones[0].record(9_000_000, &node("a2"), AttemptSignal::Slow);
    assert_eq!(
        conditions(&zones, 9_000_001, 8_000_000),
        [ZoneCondition::Well, ZoneCondition::Well],
        "a slow answer is an answer"
    );
}

#[test]
fn failures_in_every_zone_are_a_common_cause() {
    // Otherwise a router that lost its own link would consider every zone lost, reject all requests and never try again.
    let mut zones = [ZoneObservations::default(), ZoneObservations::default()];
    record_failures(&mut zones[0], 0, &["a1", "a2", "a3", "a1"]);
    assert_eq!(
        conditions(&zones, 260_000, 0)[0],
        ZoneCondition::Dark,
        "the other zone was not tried yet"
    );
    record_failures(&mut zones[1], 250_000, &["b1", "b2", "b3", "b1"]);
    assert_eq!(
        conditions(&zones, 500_000, 0),
        [ZoneCondition::Common, ZoneCondition::Common]
    );
    zones[1].record(600_000, &node("b1"), AttemptSignal::InTime);
    assert_eq!(
        conditions(&zones, 600_001, 0),
        [ZoneCondition::Dark, ZoneCondition::Well]
    );
}

#[test]
fn strain_is_common_only_if_other_zones_are_strained() {
    let mut zones = [ZoneObservations::default(), ZoneObservations::default()];
    for n in 0..10 {
        zones[0].record(n * 1_000, &node("a1"), AttemptSignal::Slow);
    }
    assert_eq!(zones[0].is_strained(), Some(true));
    assert!(
        !is_strain_common(zones[1..].iter()),
        "nothing is known about the other zone"
    );
    for n in 0..10 {
        zones[1].record(n * 1_000, &node("b1"), AttemptSignal::Slow);
    }
    assert!(is_strain_common(zones[1..].iter()));
}

#[test]
fn each_end_of_an_attempt_is_classified() {
    for (ending, elapsed, expected) in [
        (AttemptEnd::Success, 100, AttemptSignal::InTime),
        (AttemptEnd::Success, 101, AttemptSignal::Slow),
        (AttemptEnd::Overloaded, 1, AttemptSignal::Slow),
        (AttemptEnd::Misdirected, 900, AttemptSignal::InTime),
        (AttemptEnd::TimedOut, 900, AttemptSignal::NoAnswer),
        (AttemptEnd::Unreachable, 1, AttemptSignal::NoAnswer),
        (AttemptEnd::Cancelled, 10, AttemptSignal::Inconclusive),
        (AttemptEnd::Cancelled, 900, AttemptSignal::NoAnswer),
        (AttemptEnd::NeverSent, 900, AttemptSignal::Inconclusive),
    ] {
        assert_eq!(
            classify_attempt(ending, elapsed, 100, 50),
            expected,
            "{ending:?} after {elapsed}"
        );
    }
}
