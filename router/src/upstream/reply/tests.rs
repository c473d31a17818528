//! Unit tests of `reply`.

use super::*;

#[test]
fn a_report_that_cannot_be_read_tells_nothing() {
    // Danger: a position out of noise would let stale reads through, a role send writes to a replica.
    let whole = report(b"x0=1767225600.123,x1=1,inflight=7");
    assert_eq!(
        (whole.position, whole.role),
        (Some(1_767_225_600_123_000), Some(Role::Primary))
    );
    assert_eq!(
        (whole.in_flight, whole.utilization_permille),
        (Some(7), None)
    );
    // The names that the settings give, and figures with the noise of a measurement.
    let named = report(b"x0=1767225600.1,x1=0,outstanding=1.961,utilization=0.512");
    assert_eq!(
        (named.in_flight, named.utilization_permille, named.role),
        (Some(2), Some(512), Some(Role::Replica))
    );
    for noise in [
        "x0=NaN,x1=1",
        "x0=-5,x1=1",
        "x0=inf,x1=1",
        "x1=1,x0=17\u{fffd}",
        "x1=1,",
        "",
        "x1=1,x0",
    ] {
        let told = report(noise.as_bytes());
        assert_eq!((told.position, told.role), (None, None), "{noise}");
    }
}
