//! Unit tests of `random_faults`.

use super::*;

#[test]
fn the_same_seed_gives_the_same_schedule() {
    let scenario = Scenario {
        random: 5,
        peers: Some(serde_json::Map::new()),
        ..Scenario::default()
    };
    let all: Vec<_> = (0..50).map(|seed| draw_faults(&scenario, seed)).collect();
    assert_eq!(all[7], draw_faults(&scenario, 7));
    assert!(all.windows(2).all(|w| w[0] != w[1]) && all.iter().all(|f| !f.is_empty()));
}

#[test]
fn faults_that_are_not_needed_for_a_failure_are_removed() {
    let scenario = Scenario {
        random: 6,
        peers: Some(serde_json::Map::new()),
        ..Scenario::default()
    };
    let drawn = draw_faults(&scenario, 3);
    let needed = [drawn[1].clone(), drawn[drawn.len() - 1].clone()];
    let small = shrink(drawn, |faults| needed.iter().all(|n| faults.contains(n)));
    assert_eq!(small, needed);
}
