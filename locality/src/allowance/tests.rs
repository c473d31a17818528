//! Unit tests of `allowance`.

use super::*;

#[test]
fn a_bucket_lets_through_its_rate_and_no_more() {
    let mut bucket = Allowance::default();
    bucket.refill(0, 2.0, 0.05);
    let (mut sent, mut now) = (0.0, 0);
    while now < 10_000_000 {
        now += 1_000;
        bucket.refill(now, 2.0, 0.05);
        while bucket.covers(now, 0.05, 0.0) {
            bucket.take(now, 0.05);
            sent += 0.05;
        }
    }
    assert!((19.0..=20.3).contains(&sent), "{sent}");
}

#[test]
fn many_thin_buckets_do_not_begin_together() {
    // Danger: 300 routers whose buckets began full would send a cold node 300 requests in one instant.
    let mut first = Vec::new();
    for n in 0..300 {
        let mut bucket = Allowance::staggered(0, f64::from(n) / 300.0, 0.06);
        bucket.refill(0, 0.0025, 0.06);
        let at = (0..40_000_000)
            .step_by(10_000)
            .find(|now| bucket.covers(*now, 0.06, 0.0));
        first.push(at.expect("it fills"));
    }
    for from in (0..24_000_000).step_by(1_000_000) {
        let inside = first
            .iter()
            .filter(|at| (from..from + 1_000_000).contains(*at))
            .count();
        assert!(inside <= 15, "{inside} first requests in one second");
    }
}
