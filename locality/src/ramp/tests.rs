//! Unit tests of `ramp`.

use super::*;

const SECOND: Time = 1_000_000;

#[test]
fn ramp_rises_with_answers_and_never_by_time_alone() {
    let rules = RampRules::default();
    let mut ramp = RecoveryRamp::default();
    ramp.start(0, rules.start_share);
    for second in 1..1_000 {
        assert_eq!(
            ramp.share(),
            rules.start_share,
            "after {second} s without an answer"
        );
    }
    let mut now = 0;
    while !ramp.is_complete() {
        now += 10_000;
        ramp.record_in_time(now, &rules, 1.0);
        assert!(now < 10 * SECOND);
    }
    // The ramp needs four doublings from 0.1, and a burst of answers does not shorten them.
    assert!(now >= 4 * 700_000, "{now}");
}

#[test]
fn ramp_falls_on_slow_answers_and_one_burst_counts_once() {
    let rules = RampRules::default();
    let mut ramp = RecoveryRamp::default();
    ramp.start(0, 0.8);
    for _ in 0..50 {
        ramp.record_slow(SECOND, &rules);
    }
    assert!((ramp.share() - 0.8 * rules.fall_factor).abs() < 1e-9);
    for n in 0..100 {
        ramp.record_slow(SECOND * (2 + n), &rules);
    }
    assert!(
        ramp.share() >= rules.start_share / 4.0,
        "the share stays above 0, or the zone would get no request and show no answer"
    );
}

#[test]
fn occasional_slow_answers_do_not_stop_a_ramp() {
    // One answer in twenty is slow only because of its work. At a hundred answers per second, a ramp that falls for each
    // of them would never complete.
    let rules = RampRules::default();
    let mut ramp = RecoveryRamp::default();
    ramp.start(0, rules.start_share);
    let end = (1..1_000).find(|n| {
        let now = n * 10_000;
        if n % 20 == 0 {
            ramp.record_slow(now, &rules)
        } else {
            ramp.record_in_time(now, &rules, 1.0)
        }
        ramp.is_complete()
    });
    assert!(end.is_some_and(|n| n < 400), "{end:?}");
}

#[test]
fn flapping_zone_is_suppressed_until_its_penalty_decays() {
    let rules = FlapRules::default();
    let mut flap = FlapPenalty::default();
    for n in 0..2 {
        flap.record_loss(n * 4 * SECOND, &rules);
        assert!(
            !flap.update_suppression(n * 4 * SECOND, &rules),
            "two losses are not flapping"
        );
    }
    for n in 2..8 {
        flap.record_loss(n * 4 * SECOND, &rules);
    }
    let last = 28 * SECOND;
    assert!(flap.update_suppression(last, &rules));
    let reused_after_s = (0..200)
        .find(|s| !flap.update_suppression(last + s * SECOND, &rules))
        .expect("the penalty decays");
    assert!((8..=16).contains(&reused_after_s), "{reused_after_s} s");
    let mut slow = FlapPenalty::default();
    for n in 0..20 {
        slow.record_loss(n * 60 * SECOND, &rules);
        assert!(
            !slow.update_suppression(n * 60 * SECOND, &rules),
            "one loss per minute is not flapping"
        );
    }
}
