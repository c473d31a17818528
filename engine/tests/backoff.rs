//! Tests of the pauses after consecutive failures.

use plovercove::Micros;
use plovercove_engine::Backoff;

const S: Micros = 1_000_000;

#[test]
fn pauses_double_up_to_the_maximum_and_reset_after_a_success() {
    let mut backoff = Backoff::new(S, 8 * S, 7);
    for (longest, number) in [S, 2 * S, 4 * S, 8 * S, 8 * S, 8 * S].into_iter().zip(0..) {
        let pause = backoff.record_failure(100 * S) - 100 * S;
        assert!(
            (longest / 2..=longest).contains(&pause),
            "failure {number}: {pause} us"
        );
    }
    backoff.record_success();
    assert!(backoff.record_failure(0) <= S);
}

#[test]
fn a_bounded_pause_is_still_random() {
    let pause = |seed| {
        let mut backoff = Backoff::new(S, 8 * S, seed);
        for _ in 0..4 {
            backoff.record_failure(0);
        }
        backoff.record_failure_within(7, S / 2) - 7
    };
    let (shortest, longest_drawn) = ((0..300).map(pause).min(), (0..300).map(pause).max());
    assert!(
        shortest >= Some(S / 4) && longest_drawn <= Some(S / 2),
        "{shortest:?} to {longest_drawn:?}"
    );
    assert!(
        longest_drawn
            .zip(shortest)
            .is_some_and(|(longest_drawn, shortest)| longest_drawn - shortest > S / 5),
        "{shortest:?} to {longest_drawn:?}"
    );
    assert_eq!(Backoff::new(S, S, 1).record_failure_within(9, 0), 9);
}

#[test]
fn a_failing_fleet_calls_ever_more_rarely_and_not_in_step() {
    // Without growing random pauses, all routers retry together and overload a service that fails for all of them.
    // Counted over 300 routers whose calls all fail, from the same moment on.
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
        "50 a second, within random variation: {settled:?}"
    );
}
