//! Unit tests of `verdict`.

use super::*;

const S: Micros = 1_000_000;

fn rules() -> Rules {
    Rules {
        routers: 9,
        ..Rules::default()
    }
}

fn judged(
    nodes: &[&str],
    opinions: &BTreeMap<NodeId, Vec<Opinion>>,
    zones: usize,
) -> BTreeMap<NodeId, Verdict> {
    let told = |s: Subject| {
        let said = opinions.get(&s.node).cloned().unwrap_or_default();
        (s, said)
    };
    decide_verdicts(
        &rules(),
        &subjects(nodes).into_iter().map(told).collect::<Vec<_>>(),
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

fn says(observer: &str, zone: &str, answers: u16, failures: u16) -> Opinion {
    let number = |name: &str| name.bytes().fold(0, |sum, b| sum * 256 + u32::from(b));
    let (observer, zone) = (number(observer), number(zone));
    let seen = Observation {
        answers: answers * 10,
        no_reply: failures * 10,
        nodes_seen: 9,
        nodes_failing: 1,
        ..Observation::default()
    };
    Opinion {
        observer,
        zone,
        seen,
        age: 2 * S,
    }
}

fn of(node: &str, opinions: Vec<Opinion>) -> BTreeMap<NodeId, Vec<Opinion>> {
    BTreeMap::from([(node.into(), opinions)])
}

/// The verdict on the replica x of a group of three, routers in three zones.
fn on_x(opinions: Vec<Opinion>) -> Level {
    let verdicts = judged(&["p", "x", "y"], &of("x", opinions), 3);
    verdicts.get("x").map_or(Level::InService, |v| v.level)
}

#[test]
fn what_several_see_fail_is_out_for_all() {
    assert_eq!(
        on_x(vec![says("n1", "a", 0, 4), says("n2", "b", 0, 4)]),
        Level::Ejected
    );
    let all = ["n1", "n2", "n3", "n4"].iter().zip(["a", "b", "c", "a"]);
    assert_eq!(
        on_x(all.map(|(n, z)| says(n, z, 0, 2)).collect()),
        Level::Ejected,
        "two failures each"
    );
}

#[test]
fn one_observer_takes_nobody_out_whatever_it_says() {
    assert_eq!(on_x(vec![says("n1", "a", 0, 6_000)]), Level::InService);
    assert_eq!(
        on_x(vec![says("n1", "a", 0, 6_000), says("n2", "b", 9, 0)]),
        Level::InService
    );
}

#[test]
fn observers_in_one_zone_speak_for_their_link() {
    assert_eq!(
        on_x(vec![
            says("n1", "a", 0, 9),
            says("n2", "a", 0, 9),
            says("n3", "a", 0, 9)
        ]),
        Level::InService
    );
}

#[test]
fn who_sees_most_nodes_fail_blames_itself() {
    let mut opinions = of(
        "x",
        vec![
            says("n1", "a", 0, 9),
            says("n2", "b", 0, 9),
            says("n3", "c", 0, 2),
        ],
    );
    assert_eq!(
        judged(&["p", "x", "y"], &opinions, 3)["x"].level,
        Level::Ejected
    );
    // What they say of another node, a little later, tells that they see most of them fail.
    let blind = |n: &str, z: &str| {
        let told = says(n, z, 0, 9);
        Opinion {
            seen: Observation {
                nodes_failing: 5,
                ..told.seen
            },
            age: S,
            ..told
        }
    };
    opinions.insert("y".into(), vec![blind("n1", "a"), blind("n2", "b")]);
    let verdicts = judged(&["p", "x", "y"], &opinions, 3);
    assert!(
        verdicts.values().all(|v| v.level == Level::InService),
        "{verdicts:?}"
    );
}

#[test]
fn those_who_saw_it_serve_outvote_a_few() {
    let mut told = vec![says("n1", "a", 0, 4), says("n2", "b", 0, 4)];
    told.extend(["n3", "n4", "n5", "n6"].map(|n| says(n, "c", 5, 0)));
    assert_eq!(on_x(told), Level::InService);
}

#[test]
fn an_accusation_that_was_outvoted_does_not_win_when_its_answers_grow_old() {
    // Failure: a busy node timed out once for each of several routers, was answered for by all others, and went out when
    // those were believed no more, while the accusations still were.
    let at = |age: Micros, o: Opinion| Opinion { age, ..o };
    let accusers = ["n1", "n2", "n3", "n4"].iter().zip(["a", "b", "c", "a"]);
    let accused: Vec<Opinion> = accusers.map(|(n, z)| at(8 * S, says(n, z, 0, 4))).collect();
    let served = ["n5", "n6", "n7", "n8", "n9", "o1", "o2"].map(|n| at(7 * S, says(n, "c", 5, 0)));
    assert!(rules().fresh() < 7 * S && 8 * S < rules().evidence_lifetime());
    assert_eq!(on_x(accused.clone()), Level::Ejected, "nobody answered");
    let both: Vec<Opinion> = accused.iter().copied().chain(served).collect();
    assert_eq!(on_x(both.clone()), Level::InService);
    // It dies after that: what is said since counts, and the old answers hold it up no longer.
    let dies = ["n1", "n2", "n3"].iter().zip(["a", "b", "c"]);
    let dies = dies.map(|(n, z)| at(2 * S, says(n, z, 0, 4)));
    let since: Vec<Opinion> = both.into_iter().skip(3).chain(dies).collect();
    assert_eq!(on_x(since), Level::Ejected);
}

#[test]
fn an_accusation_waits_for_its_answer() {
    let young = |n, z| Opinion {
        age: 0,
        ..says(n, z, 0, 4)
    };
    assert_eq!(
        on_x(vec![young("n1", "a"), young("n2", "b")]),
        Level::InService
    );
}

#[test]
fn a_third_of_a_group_at_the_most_is_out_and_the_one_that_is_bad_for_longest() {
    let mut opinions = BTreeMap::new();
    for (node, lasted) in [("p", 10), ("x", 90), ("y", 20)] {
        let long = |o: Opinion| Opinion {
            seen: Observation {
                duration_tenths_s: lasted,
                ..o.seen
            },
            ..o
        };
        opinions.insert(
            node.into(),
            vec![long(says("n1", "a", 0, 4)), says("n2", "b", 0, 4)],
        );
    }
    let verdicts = judged(&["p", "x", "y"], &opinions, 3);
    let levels: Vec<Level> = verdicts.values().map(|v| v.level).collect();
    assert_eq!(
        levels,
        [Level::ReducedWeight, Level::Ejected, Level::ReducedWeight]
    );
    let pair = judged(&["p", "x"], &opinions, 3);
    assert_eq!(
        pair["x"].level,
        Level::ReducedWeight,
        "of two none can be spared"
    );
}

#[test]
fn slowness_takes_a_replica_out_and_never_a_primary() {
    let slow = |n: &str, z: &str| {
        let told = says(n, z, 9, 0);
        Opinion {
            seen: Observation {
                slowness_tenths: 100,
                ..told.seen
            },
            ..told
        }
    };
    assert_eq!(on_x(vec![slow("n1", "a"), slow("n2", "b")]), Level::Ejected);
    let told = of("p", vec![slow("n1", "a"), slow("n2", "b")]);
    assert_eq!(
        judged(&["p", "x", "y"], &told, 3)["p"].level,
        Level::ReducedWeight
    );
}
