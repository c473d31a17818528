//! Unit tests of `reply`.

use super::*;

#[test]
fn a_malformed_load_report_is_ignored() {
    // A position read from a corrupted report would let stale reads pass, and a wrong role would send writes to a replica.
    let complete = parse_load_report(b"x0=1767225600.123,x1=1,inflight=7");
    assert_eq!(
        (complete.position, complete.role),
        (Some(1_767_225_600_123_000), Some(Role::Primary))
    );
    assert_eq!(
        (complete.in_flight, complete.utilization_permille),
        (Some(7), None)
    );
    // The field names of the settings, and values with measurement noise.
    let with_other_names =
        parse_load_report(b"x0=1767225600.1,x1=0,outstanding=1.961,utilization=0.512");
    assert_eq!(
        (
            with_other_names.in_flight,
            with_other_names.utilization_permille,
            with_other_names.role
        ),
        (Some(2), Some(512), Some(Role::Replica))
    );
    for malformed in [
        "x0=NaN,x1=1",
        "x0=-5,x1=1",
        "x0=inf,x1=1",
        "x1=1,x0=17\u{fffd}",
        "x1=1,",
        "",
        "x1=1,x0",
    ] {
        let report = parse_load_report(malformed.as_bytes());
        assert_eq!((report.position, report.role), (None, None), "{malformed}");
    }
}
