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
    observations.listed(&EndpointUpdate::Full(nodes.iter().map(entry).collect()));
    (observations, rules)
}

fn tell(
    observations: &mut Observations,
    rules: &Rules,
    now: Time,
    contested: bool,
) -> Vec<(String, Observation)> {
    let told = observations.news(now, rules, |_| PeerEvidence {
        contested,
        ..PeerEvidence::default()
    });
    told.into_iter()
        .map(|(id, _, seen)| (id.to_string(), seen))
        .collect()
}

#[test]
fn only_changes_are_told_and_only_of_nodes_that_fail_or_are_accused() {
    let (mut observations, rules) = observations(&["x", "y"]);
    for n in 0..20 {
        observations.ended(S + n, 0, false, &"x".into(), AttemptEnd::Success, 5_000);
    }
    assert!(
        tell(&mut observations, &rules, S, false).is_empty(),
        "nothing is wrong"
    );
    observations.ended(S, 0, false, &"y".into(), AttemptEnd::Unreachable, 5_000);
    let told = tell(&mut observations, &rules, S, false);
    assert!(
        told.len() == 1 && told[0].0 == "y" && told[0].1.fails() && told[0].1.nodes_seen == 2,
        "{told:?}"
    );
    assert!(
        tell(&mut observations, &rules, S + HOLD, false).is_empty(),
        "it was told"
    );
    let told = tell(&mut observations, &rules, S + HOLD, true);
    assert!(
        told.len() == 1 && told[0].0 == "x" && told[0].1.serves(),
        "others accuse: {told:?}"
    );
}

#[test]
fn what_ends_badly_while_a_router_stood_still_is_its_own() {
    // Danger: a router that was stopped for 10 s finds all its attempts overdue, and accuses every node.
    let (mut observations, rules) = observations(&["x"]);
    observations.awoke(10 * S, 2 * S);
    observations.ended(11 * S, 0, false, &"x".into(), AttemptEnd::TimedOut, 9 * S);
    assert!(tell(&mut observations, &rules, 11 * S, true).is_empty());
    observations.ended(13 * S, 0, false, &"x".into(), AttemptEnd::TimedOut, 9 * S);
    assert_eq!(tell(&mut observations, &rules, 13 * S, false).len(), 1);
}

#[test]
fn another_start_of_a_node_is_another_life() {
    let (mut observations, rules) = observations(&["x"]);
    observations.ended(S, 0, false, &"x".into(), AttemptEnd::Reset, 1);
    let again = Endpoint {
        node: "x".into(),
        started_at: Some(2 * S),
        ..Endpoint::default()
    };
    observations.listed(&EndpointUpdate::Changes(vec![again]));
    assert!(tell(&mut observations, &rules, 2 * S, true).is_empty());
}

#[test]
fn slowness_is_told_against_the_other_nodes() {
    let (mut observations, rules) = observations(&["x", "y"]);
    for n in 0..60 {
        observations.ended(S + n, 0, false, &"x".into(), AttemptEnd::Success, 5_000);
        if n % 6 == 5 {
            observations.ended(S + n, 0, false, &"y".into(), AttemptEnd::Success, 60_000);
        }
    }
    let told = tell(&mut observations, &rules, S, false);
    assert!(
        told.len() == 1 && told[0].0 == "y" && told[0].1.slowness() > Some(3.0),
        "{told:?}"
    );
}

#[test]
fn a_further_failure_makes_an_accusation_no_weaker_and_without_one_it_ends() {
    // Failure: counts fade, and an accusation that was told again took a node back in that still failed.
    let (mut observations, rules) = observations(&["x"]);
    let third = rules.evidence_lifetime() / 3;
    for n in 0..3 {
        observations.ended(S + n, 0, false, &"x".into(), AttemptEnd::TimedOut, S);
    }
    let first = tell(&mut observations, &rules, S + 3, false);
    observations.ended(S + third, 0, false, &"x".into(), AttemptEnd::TimedOut, S);
    let again = tell(&mut observations, &rules, 2 * S + third, false);
    assert_eq!(first.len(), 1);
    assert_eq!(again.len(), 1);
    assert!(
        again[0].1.failures() >= first[0].1.failures(),
        "{first:?}, then {again:?}"
    );
    let later = tell(&mut observations, &rules, 2 * S + 2 * third, false);
    assert!(later.is_empty(), "nothing came of it since: {later:?}");
}

#[test]
fn what_a_node_answered_before_it_died_does_not_speak_for_it() {
    // Failure: the only router of its zone that met a dead node told nobody, since the node had answered it before.
    let (mut observations, rules) = observations(&["x"]);
    for n in 0..20 {
        observations.ended(S + n, 0, false, &"x".into(), AttemptEnd::Success, 5_000);
    }
    observations.ended(2 * S, 0, false, &"x".into(), AttemptEnd::TimedOut, S);
    let one = tell(&mut observations, &rules, 2 * S, false);
    assert!(one.is_empty(), "one failure may be chance: {one:?}");
    observations.ended(3 * S, 0, false, &"x".into(), AttemptEnd::TimedOut, S);
    let two = tell(&mut observations, &rules, 3 * S, false);
    assert!(two.len() == 1 && two[0].1.fails(), "{two:?}");
    observations.ended(4 * S, 0, false, &"x".into(), AttemptEnd::Success, 5_000);
    let again = tell(&mut observations, &rules, 4 * S, false);
    assert!(again.len() == 1 && again[0].1.serves(), "{again:?}");
}

#[test]
fn who_cannot_tell_yet_whether_its_own_links_fail_accuses_nobody() {
    // Failure: a router that is cut off accuses the node that it asks least, since it takes all others for serving by their
    // answers from before the cut.
    let names = ["x", "p", "q", "r", "s"];
    let (mut observations, rules) = observations(&names);
    for name in &names[1..] {
        for n in 0..20 {
            observations.ended(S + n, 0, false, &(*name).into(), AttemptEnd::Success, 5_000);
        }
    }
    observations.ended(2 * S, 0, false, &"x".into(), AttemptEnd::TimedOut, S);
    assert!(tell(&mut observations, &rules, 2 * S, false).is_empty());
    observations.ended(3 * S, 0, false, &"p".into(), AttemptEnd::Success, 5_000);
    assert!(
        tell(&mut observations, &rules, 3 * S, false).is_empty(),
        "one answer may come from the only node that is not cut off"
    );
    observations.ended(3 * S, 0, false, &"q".into(), AttemptEnd::Success, 5_000);
    let told = tell(&mut observations, &rules, 3 * S, false);
    assert!(
        told.len() == 1 && told[0].0 == "x" && told[0].1.fails(),
        "{told:?}"
    );
    // It fails on, and nobody has answered since that was told.
    observations.ended(4 * S, 0, false, &"x".into(), AttemptEnd::TimedOut, S);
    assert!(tell(&mut observations, &rules, 4 * S, false).is_empty());
}

#[test]
fn an_old_failure_is_not_told_as_if_it_were_new() {
    // Failure: routers that kept silent, since enough others accused a busy node, all told of failures from seconds before once
    // those accusations had grown old, and the node went out.
    let (mut observations, rules) = observations(&["x"]);
    let enough = |_: &NodeId| PeerEvidence {
        accusers: ENOUGH.0,
        ..PeerEvidence::default()
    };
    observations.ended(S, 0, false, &"x".into(), AttemptEnd::TimedOut, S);
    assert!(observations.news(S, &rules, enough).is_empty());
    assert!(tell(&mut observations, &rules, 4 * S, false).is_empty());
    observations.ended(5 * S, 0, false, &"x".into(), AttemptEnd::TimedOut, S);
    assert_eq!(tell(&mut observations, &rules, 5 * S, false).len(), 1);
}
