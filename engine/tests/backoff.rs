//! Pauses after failures in a row.

use plovercove::Micros;
use plovercove_engine::Backoff;

const S: Micros = 1_000_000;

#[test]
fn pauses_double_up_to_the_longest_and_begin_anew_after_an_answer() {
    let mut backoff = Backoff::new(S, 8 * S, 7);
    for (longest, round) in [S, 2 * S, 4 * S, 8 * S, 8 * S, 8 * S].into_iter().zip(0..) {
        let pause = backoff.record_failure(100 * S) - 100 * S;
        assert!(
            (longest / 2..=longest).contains(&pause),
            "failure {round}: {pause} us"
        );
    }
    backoff.record_success();
    assert!(backoff.record_failure(0) <= S);
}

#[test]
fn a_pause_keeps_to_its_room_and_is_drawn_all_the_same() {
    let pause = |seed| {
        let mut backoff = Backoff::new(S, 8 * S, seed);
        for _ in 0..4 {
            backoff.record_failure(0);
        }
        backoff.record_failure_within(7, S / 2) - 7
    };
    let (least, most) = ((0..300).map(pause).min(), (0..300).map(pause).max());
    assert!(
        least >= Some(S / 4) && most <= Some(S / 2),
        "{least:?} to {most:?}"
    );
    assert!(
        most.zip(least)
            .is_some_and(|(most, least)| most - least > S / 5),
        "{least:?} to {most:?}"
    );
    assert_eq!(Backoff::new(S, S, 1).record_failure_within(9, 0), 9);
}

#[test]
fn a_fleet_that_fails_at_once_calls_at_a_rate_that_falls_and_never_in_step() {
    // Danger: as above. Counted over 300 routers whose calls all fail, from the same moment on.
    let mut calls = vec![0; 60];
    for router in 0..300 {
        let mut backoff = Backoff::new(S, 8 * S, router * 0x1234_5677 + 1);
        let mut now = 0;
        while let Some(count) = calls.get_mut((now / S) as usize) {
            *count += 1;
            now = backoff.record_failure(now);
        }
    }
    assert!(calls[1..4].iter().all(|n| *n <= 300), "{calls:?}");
    let settled = &calls[20..];
    assert!(
        settled.iter().all(|n| (25..=90).contains(n)),
        "50 a second, give or take: {settled:?}"
    );
}
