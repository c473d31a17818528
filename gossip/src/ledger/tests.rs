//! Unit tests of `ledger`.

use super::*;
use plovercove::Endpoint;

const S: Time = 1_000_000;

fn ledger(nodes: &[&str]) -> (Ledger, Rules) {
    let rules = Rules {
        routers: 3,
        ..Rules::default()
    };
    let mut ledger = Ledger::new(&rules, 1);
    let entry = |name: &&str| Endpoint {
        node: (*name).into(),
        ..Endpoint::default()
    };
    ledger.listed(&EndpointUpdate::Full(nodes.iter().map(entry).collect()));
    (ledger, rules)
}

fn tell(ledger: &mut Ledger, rules: &Rules, now: Time, contested: bool) -> Vec<(String, Seen)> {
    let told = ledger.news(now, rules, |_| Others {
        contested,
        ..Others::default()
    });
    told.into_iter()
        .map(|(id, _, seen)| (id.to_string(), seen))
        .collect()
}

#[test]
fn only_changes_are_told_and_only_of_nodes_that_fail_or_are_accused() {
    let (mut ledger, rules) = ledger(&["x", "y"]);
    for n in 0..20 {
        ledger.ended(S + n, 0, false, &"x".into(), AttemptEnd::Success, 5_000);
    }
    assert!(
        tell(&mut ledger, &rules, S, false).is_empty(),
        "nothing is wrong"
    );
    ledger.ended(S, 0, false, &"y".into(), AttemptEnd::Unreachable, 5_000);
    let told = tell(&mut ledger, &rules, S, false);
    assert!(
        told.len() == 1 && told[0].0 == "y" && told[0].1.fails() && told[0].1.nodes == 2,
        "{told:?}"
    );
    assert!(
        tell(&mut ledger, &rules, S + HOLD, false).is_empty(),
        "it was told"
    );
    let told = tell(&mut ledger, &rules, S + HOLD, true);
    assert!(
        told.len() == 1 && told[0].0 == "x" && told[0].1.serves(),
        "others accuse: {told:?}"
    );
}

#[test]
fn what_ends_badly_while_a_router_stood_still_is_its_own() {
    // Danger: a router that was stopped for 10 s finds all its attempts overdue, and accuses every node.
    let (mut ledger, rules) = ledger(&["x"]);
    ledger.awoke(10 * S, 2 * S);
    ledger.ended(11 * S, 0, false, &"x".into(), AttemptEnd::TimedOut, 9 * S);
    assert!(tell(&mut ledger, &rules, 11 * S, true).is_empty());
    ledger.ended(13 * S, 0, false, &"x".into(), AttemptEnd::TimedOut, 9 * S);
    assert_eq!(tell(&mut ledger, &rules, 13 * S, false).len(), 1);
}

#[test]
fn another_start_of_a_node_is_another_life() {
    let (mut ledger, rules) = ledger(&["x"]);
    ledger.ended(S, 0, false, &"x".into(), AttemptEnd::Reset, 1);
    let again = Endpoint {
        node: "x".into(),
        started_at: Some(2 * S),
        ..Endpoint::default()
    };
    ledger.listed(&EndpointUpdate::Changes(vec![again]));
    assert!(tell(&mut ledger, &rules, 2 * S, true).is_empty());
}

#[test]
fn slowness_is_told_against_the_other_nodes() {
    let (mut ledger, rules) = ledger(&["x", "y"]);
    for n in 0..60 {
        ledger.ended(S + n, 0, false, &"x".into(), AttemptEnd::Success, 5_000);
        if n % 6 == 5 {
            ledger.ended(S + n, 0, false, &"y".into(), AttemptEnd::Success, 60_000);
        }
    }
    let told = tell(&mut ledger, &rules, S, false);
    assert!(
        told.len() == 1 && told[0].0 == "y" && told[0].1.slowness() > Some(3.0),
        "{told:?}"
    );
}
