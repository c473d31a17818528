//! Unit tests of `replication`.

use super::*;

#[test]
fn a_replica_lags_while_its_apply_thread_is_paused_and_catches_up() {
    let mut group = Group::new(2, 0, 5_000, 10_000);
    assert_eq!(
        group.position(1, 100_000),
        95_000,
        "nothing to apply: as new as the log comes"
    );
    for n in 0..10 {
        group.commit(100_000 + n * 20_000);
    }
    assert_eq!(
        group.position(1, 125_000),
        119_999,
        "the second commit has come and is not applied"
    );
    group.pause_apply(1, 130_000, 500_000);
    let paused = group.position(1, 450_000);
    assert!(paused < 160_000, "{paused}");
    assert!(group.position(1, 1_000_000) == 995_000);
}

#[test]
fn positions_do_not_grow_without_a_primary_and_never_decrease() {
    let mut group = Group::new(3, 0, 5_000, 1_000);
    group.commit(100_000);
    group.commit(200_000);
    group.disconnect(2, 150_000);
    let last = group.position(1, 300_000);
    group.lose_primary(300_000);
    assert!(group.position(1, 900_000) <= 300_000);
    assert_eq!(
        group.elect(&[1, 2], 900_000),
        Some(1),
        "it has more of the log"
    );
    assert_eq!(group.position(1, 1_000_000), 1_000_000);
    assert!(group.position(2, 1_000_000) <= 150_000 && last <= 300_000);
    group.reconnect(2, 1_000_000);
    assert!(group.position(2, 1_200_000) > 1_000_000);
    assert!(group.position(0, 1_200_000) >= 300_000);
}
