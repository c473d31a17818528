//! Unit tests of `allowance`.

use super::*;

#[test]
fn bucket_admits_its_rate_and_no_more() {
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
fn staggered_buckets_spread_the_first_requests_of_many_routers() {
    // If the buckets of 300 routers began full, a cold node would get 300 requests at the same time.
    let mut first_admissions = Vec::new();
    for router in 0..300 {
        let mut bucket = Allowance::staggered(0, f64::from(router) / 300.0, 0.06);
        bucket.refill(0, 0.0025, 0.06);
        let admitted_at = (0..40_000_000)
            .step_by(10_000)
            .find(|now| bucket.covers(*now, 0.06, 0.0));
        first_admissions.push(admitted_at.expect("the bucket fills"));
    }
    for start in (0..24_000_000).step_by(1_000_000) {
        let in_window = first_admissions
            .iter()
            .filter(|at| (start..start + 1_000_000).contains(*at))
            .count();
        assert!(in_window <= 15, "{in_window} first requests in one second");
    }
}
