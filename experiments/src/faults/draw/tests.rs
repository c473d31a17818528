//! Unit tests of `draw`.

use super::*;

#[test]
fn the_same_seed_is_the_same_schedule() {
    let trial = Trial {
        random: 5,
        peers: Some(serde_json::Map::new()),
        ..Trial::default()
    };
    let all: Vec<_> = (0..50).map(|seed| faults(&trial, seed)).collect();
    assert_eq!(all[7], faults(&trial, 7));
    assert!(all.windows(2).all(|w| w[0] != w[1]) && all.iter().all(|f| !f.is_empty()));
}

#[test]
fn what_is_not_needed_for_a_failure_is_dropped() {
    let trial = Trial {
        random: 6,
        peers: Some(serde_json::Map::new()),
        ..Trial::default()
    };
    let drawn = faults(&trial, 3);
    let needed = [drawn[1].clone(), drawn[drawn.len() - 1].clone()];
    let small = shrink(drawn, |faults| needed.iter().all(|n| faults.contains(n)));
    assert_eq!(small, needed);
}
