//! Unit tests of the order of values.

use super::*;

#[test]
fn values_have_a_total_order() {
    let real = |f| Value::Real(Real::new(f).expect("a number"));
    let beyond_53_bits = 1_i128 << 53;
    let ordered = [
        Value::Absent,
        Value::Bool(false),
        Value::Bool(true),
        real(f64::NEG_INFINITY),
        Value::Int(-MAX_INT_MAGNITUDE),
        real(-1.5),
        Value::Int(-1),
        Value::Int(0),
        real(-0.0),
        real(0.5),
        Value::Int(1),
        Value::Int(beyond_53_bits),
        real(beyond_53_bits as f64),
        Value::Int(beyond_53_bits + 1),
        Value::Int(MAX_INT_MAGNITUDE),
        real(f64::INFINITY),
        "".into(),
        "a".into(),
        Value::Bytes(Box::new([])),
    ];
    for (i, a) in ordered.iter().enumerate() {
        for (j, b) in ordered.iter().enumerate() {
            assert_eq!(a.cmp(b), i.cmp(&j), "{a:?} {b:?}");
        }
    }
    assert_eq!(real(0.0), real(-0.0));
    assert!(Real::new(f64::NAN).is_none());
}
