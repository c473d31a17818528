//! Unit tests of `outlier_vote`.

use super::*;

const S: Micros = 1_000_000;

fn rules() -> Rules {
    Rules {
        routers: 9,
        ..Rules::default()
    }
}

fn verdicts_on(
    nodes: &[&str],
    opinions: &BTreeMap<NodeId, Vec<Opinion>>,
    zones: usize,
) -> BTreeMap<NodeId, Verdict> {
    let case = |subject: Subject| {
        let opinions = opinions.get(&subject.node).cloned().unwrap_or_default();
        (subject, opinions)
    };
    decide_verdicts(
        &rules(),
        &subjects(nodes).into_iter().map(case).collect::<Vec<_>>(),
        zones,
    )
}

fn subjects(nodes: &[&str]) -> Vec<Subject> {
    let subject = |(n, name): (usize, &&str)| Subject {
        node: (*name).into(),
        group: 1,
        primary: n == 0,
    };
    nodes.iter().enumerate().map(subject).collect()
}

fn opinion(observer: &str, zone: &str, answers: u16, failures: u16) -> Opinion {
    let number = |name: &str| name.bytes().fold(0, |sum, b| sum * 256 + u32::from(b));
    let (observer, zone) = (number(observer), number(zone));
    let observation = Observation {
        answers: answers * 10,
        no_reply: failures * 10,
        nodes_seen: 9,
        nodes_failing: 1,
        ..Observation::default()
    };
    Opinion {
        observer,
        zone,
        observation,
        age: 2 * S,
    }
}

fn opinions_on(node: &str, opinions: Vec<Opinion>) -> BTreeMap<NodeId, Vec<Opinion>> {
    BTreeMap::from([(node.into(), opinions)])
}

/// Returns the level of the replica x in a group of three, with routers in three zones.
fn level_of_x(opinions: Vec<Opinion>) -> Level {
    let verdicts = verdicts_on(&["p", "x", "y"], &opinions_on("x", opinions), 3);
    verdicts.get("x").map_or(Level::InService, |v| v.level)
}

#[test]
fn node_that_several_observers_see_fail_is_ejected() {
    assert_eq!(
        level_of_x(vec![opinion("n1", "a", 0, 4), opinion("n2", "b", 0, 4)]),
        Level::Ejected
    );
    let all = ["n1", "n2", "n3", "n4"].iter().zip(["a", "b", "c", "a"]);
    assert_eq!(
        level_of_x(all.map(|(n, z)| opinion(n, z, 0, 2)).collect()),
        Level::Ejected,
        "two failures each"
    );
}

#[test]
fn one_observer_alone_ejects_no_node() {
    assert_eq!(
        level_of_x(vec![opinion("n1", "a", 0, 6_000)]),
        Level::InService
    );
    assert_eq!(
        level_of_x(vec![opinion("n1", "a", 0, 6_000), opinion("n2", "b", 9, 0)]),
        Level::InService
    );
}

#[test]
fn observers_in_one_zone_alone_eject_no_node() {
    assert_eq!(
        level_of_x(vec![
            opinion("n1", "a", 0, 9),
            opinion("n2", "a", 0, 9),
            opinion("n3", "a", 0, 9)
        ]),
        Level::InService
    );
}

#[test]
fn observers_that_see_most_nodes_fail_do_not_count() {
    let mut opinions = opinions_on(
        "x",
        vec![
            opinion("n1", "a", 0, 9),
            opinion("n2", "b", 0, 9),
            opinion("n3", "c", 0, 2),
        ],
    );
    assert_eq!(
        verdicts_on(&["p", "x", "y"], &opinions, 3)["x"].level,
        Level::Ejected
    );
    // Their later opinions about another node show that they see most nodes fail.
    let distrusted = |n: &str, z: &str| {
        let base = opinion(n, z, 0, 9);
        Opinion {
            observation: Observation {
                nodes_failing: 5,
                ..base.observation
            },
            age: S,
            ..base
        }
    };
    opinions.insert(
        "y".into(),
        vec![distrusted("n1", "a"), distrusted("n2", "b")],
    );
    let verdicts = verdicts_on(&["p", "x", "y"], &opinions, 3);
    assert!(
        verdicts.values().all(|v| v.level == Level::InService),
        "{verdicts:?}"
    );
}

#[test]
fn supporters_outvote_a_few_accusers() {
    let mut opinions = vec![opinion("n1", "a", 0, 4), opinion("n2", "b", 0, 4)];
    opinions.extend(["n3", "n4", "n5", "n6"].map(|n| opinion(n, "c", 5, 0)));
    assert_eq!(level_of_x(opinions), Level::InService);
}

#[test]
fn outvoted_accusations_do_not_win_when_supporting_opinions_expire() {
    // A busy node timed out once for each of several routers, and served all others. It was ejected when the reports of the
    // others had expired, while the accusations had not.
    let aged = |age: Micros, o: Opinion| Opinion { age, ..o };
    let accusers = ["n1", "n2", "n3", "n4"].iter().zip(["a", "b", "c", "a"]);
    let accused: Vec<Opinion> = accusers
        .map(|(n, z)| aged(8 * S, opinion(n, z, 0, 4)))
        .collect();
    let served =
        ["n5", "n6", "n7", "n8", "n9", "o1", "o2"].map(|n| aged(7 * S, opinion(n, "c", 5, 0)));
    assert!(rules().support_lifetime() < 7 * S && 8 * S < rules().evidence_lifetime());
    assert_eq!(
        level_of_x(accused.clone()),
        Level::Ejected,
        "no router reports that the node serves"
    );
    let both: Vec<Opinion> = accused.iter().copied().chain(served).collect();
    assert_eq!(level_of_x(both.clone()), Level::InService);
    // After that the node fails. New accusations count, and the old reports do not protect it any more.
    let new_accusers = ["n1", "n2", "n3"].iter().zip(["a", "b", "c"]);
    let new_accusations = new_accusers.map(|(n, z)| aged(2 * S, opinion(n, z, 0, 4)));
    let later: Vec<Opinion> = both.into_iter().skip(3).chain(new_accusations).collect();
    assert_eq!(level_of_x(later), Level::Ejected);
}

#[test]
fn accusations_count_after_the_settle_time() {
    let young = |n, z| Opinion {
        age: 0,
        ..opinion(n, z, 0, 4)
    };
    assert_eq!(
        level_of_x(vec![young("n1", "a"), young("n2", "b")]),
        Level::InService
    );
}

#[test]
fn at_most_a_third_of_a_group_is_ejected_and_the_longest_bad_node_first() {
    let mut opinions = BTreeMap::new();
    for (node, duration_tenths_s) in [("p", 10), ("x", 90), ("y", 20)] {
        let bad_for_long = |o: Opinion| Opinion {
            observation: Observation {
                duration_tenths_s,
                ..o.observation
            },
            ..o
        };
        opinions.insert(
            node.into(),
            vec![
                bad_for_long(opinion("n1", "a", 0, 4)),
                opinion("n2", "b", 0, 4),
            ],
        );
    }
    let verdicts = verdicts_on(&["p", "x", "y"], &opinions, 3);
    let levels: Vec<Level> = verdicts.values().map(|v| v.level).collect();
    assert_eq!(
        levels,
        [Level::ReducedWeight, Level::Ejected, Level::ReducedWeight]
    );
    let pair = verdicts_on(&["p", "x"], &opinions, 3);
    assert_eq!(
        pair["x"].level,
        Level::ReducedWeight,
        "a group of two cannot spare a member"
    );
}

#[test]
fn slowness_ejects_a_replica_but_never_a_primary() {
    let slow = |n: &str, z: &str| {
        let base = opinion(n, z, 9, 0);
        Opinion {
            observation: Observation {
                slowness_tenths: 100,
                ..base.observation
            },
            ..base
        }
    };
    assert_eq!(
        level_of_x(vec![slow("n1", "a"), slow("n2", "b")]),
        Level::Ejected
    );
    let opinions = opinions_on("p", vec![slow("n1", "a"), slow("n2", "b")]);
    assert_eq!(
        verdicts_on(&["p", "x", "y"], &opinions, 3)["p"].level,
        Level::ReducedWeight
    );
}
