//! Unit tests of `ramp`.

use super::*;

const SECOND: Time = 1_000_000;

#[test]
fn a_ramp_rises_on_answers_and_never_on_the_clock_alone() {
    let rules = RampRules::default();
    let mut ramp = Ramp::default();
    ramp.begin(0, rules.start);
    for second in 1..1_000 {
        assert_eq!(
            ramp.share(),
            rules.start,
            "after {second} s without an answer"
        );
    }
    let mut now = 0;
    while !ramp.done() {
        now += 10_000;
        ramp.good(now, &rules, 1.0);
        assert!(now < 10 * SECOND);
    }
    // Four doublings from 0.1: no burst of answers shortens them.
    assert!(now >= 4 * 700_000, "{now}");
}

#[test]
fn a_ramp_falls_back_when_answers_slow_and_one_jam_counts_once() {
    let rules = RampRules::default();
    let mut ramp = Ramp::default();
    ramp.begin(0, 0.8);
    for _ in 0..50 {
        ramp.slow(SECOND, &rules);
    }
    assert!((ramp.share() - 0.8 * rules.back).abs() < 1e-9);
    for n in 0..100 {
        ramp.slow(SECOND * (2 + n), &rules);
    }
    assert!(
        ramp.share() >= rules.start / 4.0,
        "it never closes: a closed ramp would see no answer"
    );
}

#[test]
fn the_tail_of_long_work_does_not_hold_a_ramp_down() {
    // Danger: one answer in twenty is slow by its work alone; at a hundred answers a second a ramp that fell for
    // each would never end.
    let rules = RampRules::default();
    let mut ramp = Ramp::default();
    ramp.begin(0, rules.start);
    let end = (1..1_000).find(|n| {
        let now = n * 10_000;
        if n % 20 == 0 {
            ramp.slow(now, &rules)
        } else {
            ramp.good(now, &rules, 1.0)
        }
        ramp.done()
    });
    assert!(end.is_some_and(|n| n < 400), "{end:?}");
}

#[test]
fn a_zone_that_flaps_is_suppressed_and_comes_back() {
    let rules = FlapRules::default();
    let mut flap = Flap::default();
    for n in 0..2 {
        flap.lost(n * 4 * SECOND, &rules);
        assert!(
            !flap.suppressed(n * 4 * SECOND, &rules),
            "two losses are no flapping"
        );
    }
    for n in 2..8 {
        flap.lost(n * 4 * SECOND, &rules);
    }
    let last = 28 * SECOND;
    assert!(flap.suppressed(last, &rules));
    let back = (0..200)
        .find(|s| !flap.suppressed(last + s * SECOND, &rules))
        .expect("it fades");
    assert!((8..=16).contains(&back), "{back} s");
    let mut slow = Flap::default();
    for n in 0..20 {
        slow.lost(n * 60 * SECOND, &rules);
        assert!(
            !slow.suppressed(n * 60 * SECOND, &rules),
            "a loss a minute is no flapping"
        );
    }
}
