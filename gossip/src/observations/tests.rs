//! Unit tests of `observations`.

use super::*;
use plovercove::Endpoint;

const S: Time = 1_000_000;

fn observations(nodes: &[&str]) -> (Observations, Rules) {
    let rules = Rules {
        routers: 3,
        ..Rules::default()
    };
    let mut observations = Observations::new(&rules, 1);
    let entry = |name: &&str| Endpoint {
        node: (*name).into(),
        ..Endpoint::default()
    };
    observations.update_endpoints(&EndpointUpdate::Full(nodes.iter().map(entry).collect()));
    (observations, rules)
}

fn take_reports(
    observations: &mut Observations,
    rules: &Rules,
    now: Time,
    contested: bool,
) -> Vec<(String, Observation)> {
    let reports = observations.take_reports(now, rules, |_| PeerEvidence {
        contested,
        ..PeerEvidence::default()
    });
    reports
        .into_iter()
        .map(|(id, _, observation)| (id.to_string(), observation))
        .collect()
}

#[test]
fn only_changes_of_failing_or_accused_nodes_are_reported() {
    let (mut observations, rules) = observations(&["x", "y"]);
    for n in 0..20 {
        observations.record_end(S + n, 0, false, &"x".into(), AttemptEnd::Success, 5_000);
    }
    assert!(
        take_reports(&mut observations, &rules, S, false).is_empty(),
        "all nodes serve"
    );
    observations.record_end(S, 0, false, &"y".into(), AttemptEnd::Unreachable, 5_000);
    let reports = take_reports(&mut observations, &rules, S, false);
    assert!(
        reports.len() == 1
            && reports[0].0 == "y"
            && reports[0].1.fails()
            && reports[0].1.nodes_seen == 2,
        "{reports:?}"
    );
    assert!(
        take_reports(&mut observations, &rules, S + REPORT_INTERVAL_US, false).is_empty(),
        "the node was reported already"
    );
    let reports = take_reports(&mut observations, &rules, S + REPORT_INTERVAL_US, true);
    assert!(
        reports.len() == 1 && reports[0].0 == "x" && reports[0].1.serves(),
        "others accuse the node: {reports:?}"
    );
}

#[test]
fn failures_during_a_stall_do_not_count() {
    // After a stall of 10 s, all attempts of a router are overdue, and it would accuse every node.
    let (mut observations, rules) = observations(&["x"]);
    observations.note_stall(10 * S, 2 * S);
    observations.record_end(11 * S, 0, false, &"x".into(), AttemptEnd::TimedOut, 9 * S);
    assert!(take_reports(&mut observations, &rules, 11 * S, true).is_empty());
    observations.record_end(13 * S, 0, false, &"x".into(), AttemptEnd::TimedOut, 9 * S);
    assert_eq!(
        take_reports(&mut observations, &rules, 13 * S, false).len(),
        1
    );
}

#[test]
fn new_start_of_a_node_drops_its_observations() {
    let (mut observations, rules) = observations(&["x"]);
    observations.record_end(S, 0, false, &"x".into(), AttemptEnd::Reset, 1);
    let restarted = Endpoint {
        node: "x".into(),
        started_at: Some(2 * S),
        ..Endpoint::default()
    };
    observations.update_endpoints(&EndpointUpdate::Changes(vec![restarted]));
    assert!(take_reports(&mut observations, &rules, 2 * S, true).is_empty());
}

#[test]
fn slowness_is_relative_to_the_other_nodes() {
    let (mut observations, rules) = observations(&["x", "y"]);
    for n in 0..60 {
        observations.record_end(S + n, 0, false, &"x".into(), AttemptEnd::Success, 5_000);
        if n % 6 == 5 {
            observations.record_end(S + n, 0, false, &"y".into(), AttemptEnd::Success, 60_000);
        }
    }
    let reports = take_reports(&mut observations, &rules, S, false);
    assert!(
        reports.len() == 1 && reports[0].0 == "y" && reports[0].1.slowness() > Some(3.0),
        "{reports:?}"
    );
}

#[test]
fn further_failure_does_not_weaken_an_accusation_and_without_one_it_ends() {
    // Counts decay, so a repeated accusation could become weaker and bring a node back that still fails.
    let (mut observations, rules) = observations(&["x"]);
    let third = rules.evidence_lifetime() / 3;
    for n in 0..3 {
        observations.record_end(S + n, 0, false, &"x".into(), AttemptEnd::TimedOut, S);
    }
    let first = take_reports(&mut observations, &rules, S + 3, false);
    observations.record_end(S + third, 0, false, &"x".into(), AttemptEnd::TimedOut, S);
    let again = take_reports(&mut observations, &rules, 2 * S + third, false);
    assert_eq!(first.len(), 1);
    assert_eq!(again.len(), 1);
    assert!(
        again[0].1.failures() >= first[0].1.failures(),
        "{first:?}, then {again:?}"
    );
    let later = take_reports(&mut observations, &rules, 2 * S + 2 * third, false);
    assert!(later.is_empty(), "the node has not failed since: {later:?}");
}

#[test]
fn answers_before_two_failures_in_a_row_do_not_count() {
    // The only router of a zone that got failures from a node did not report them, since the node had answered it before.
    let (mut observations, rules) = observations(&["x"]);
    for n in 0..20 {
        observations.record_end(S + n, 0, false, &"x".into(), AttemptEnd::Success, 5_000);
    }
    observations.record_end(2 * S, 0, false, &"x".into(), AttemptEnd::TimedOut, S);
    let one = take_reports(&mut observations, &rules, 2 * S, false);
    assert!(
        one.is_empty(),
        "a single failure may be an accident: {one:?}"
    );
    observations.record_end(3 * S, 0, false, &"x".into(), AttemptEnd::TimedOut, S);
    let two = take_reports(&mut observations, &rules, 3 * S, false);
    assert!(two.len() == 1 && two[0].1.fails(), "{two:?}");
    observations.record_end(4 * S, 0, false, &"x".into(), AttemptEnd::Success, 5_000);
    let again = take_reports(&mut observations, &rules, 4 * S, false);
    assert!(again.len() == 1 && again[0].1.serves(), "{again:?}");
}

#[test]
fn router_whose_own_links_may_be_at_fault_accuses_no_node() {
    // A router that is cut off accused the node to which it sends least requests, since all other nodes still counted as
    // serving by their answers from before the cut.
    let names = ["x", "p", "q", "r", "s"];
    let (mut observations, rules) = observations(&names);
    for name in &names[1..] {
        for n in 0..20 {
            observations.record_end(S + n, 0, false, &(*name).into(), AttemptEnd::Success, 5_000);
        }
    }
    observations.record_end(2 * S, 0, false, &"x".into(), AttemptEnd::TimedOut, S);
    assert!(take_reports(&mut observations, &rules, 2 * S, false).is_empty());
    observations.record_end(3 * S, 0, false, &"p".into(), AttemptEnd::Success, 5_000);
    assert!(
        take_reports(&mut observations, &rules, 3 * S, false).is_empty(),
        "one answer may come from the only reachable node"
    );
    observations.record_end(3 * S, 0, false, &"q".into(), AttemptEnd::Success, 5_000);
    let reports = take_reports(&mut observations, &rules, 3 * S, false);
    assert!(
        reports.len() == 1 && reports[0].0 == "x" && reports[0].1.fails(),
        "{reports:?}"
    );
    // The node still fails, and no other node has answered since the report.
    observations.record_end(4 * S, 0, false, &"x".into(), AttemptEnd::TimedOut, S);
    assert!(take_reports(&mut observations, &rules, 4 * S, false).is_empty());
}

#[test]
fn old_failure_is_not_reported_as_new() {
    // Routers that did not report a busy node, since enough others did, all reported failures from seconds before once those
    // reports had expired, and the node was ejected.
    let (mut observations, rules) = observations(&["x"]);
    let enough = |_: &NodeId| PeerEvidence {
        accusers: ENOUGH_ACCUSERS,
        ..PeerEvidence::default()
    };
    observations.record_end(S, 0, false, &"x".into(), AttemptEnd::TimedOut, S);
    assert!(observations.take_reports(S, &rules, enough).is_empty());
    assert!(take_reports(&mut observations, &rules, 4 * S, false).is_empty());
    observations.record_end(5 * S, 0, false, &"x".into(), AttemptEnd::TimedOut, S);
    assert_eq!(
        take_reports(&mut observations, &rules, 5 * S, false).len(),
        1
    );
}
