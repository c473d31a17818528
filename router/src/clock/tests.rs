//! Unit tests of `clock`.

use super::*;

#[test]
fn conversions_never_claim_fresher_data_or_shorter_waits() {
    assert_eq!(from_ms(1_767_225_600_123), 1_767_225_600_123_000);
    assert_eq!(from_ms(u64::MAX), u64::MAX);
    for ms in 1_767_225_600_000..1_767_225_601_000_u64 {
        let converted = from_seconds(ms as f64 / 1e3).expect("positive");
        assert!(
            converted <= from_ms(ms) && converted + 1 >= from_ms(ms),
            "{ms} ms came back as {converted} us"
        );
    }
    assert_eq!(
        (
            from_seconds(0.0),
            from_seconds(-1.0),
            from_seconds(f64::NAN)
        ),
        (None, None, None)
    );
    assert_eq!(
        (to_ms(0), to_ms(1), to_ms(1_000), to_ms(1_001)),
        (0, 1, 1, 2)
    );
    assert_eq!((age(5, 3), age(3, 5)), (2, 0));
}
