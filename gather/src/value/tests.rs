//! Unit tests of `value`.

use super::*;

#[test]
fn every_two_values_are_ordered_and_no_three_make_a_circle() {
    let real = |f| Value::Real(Real::new(f).expect("a number"));
    let big = 1_i128 << 53;
    let ordered = [
        Value::Absent,
        Value::Bool(false),
        Value::Bool(true),
        real(f64::NEG_INFINITY),
        Value::Int(-INT_MOST),
        real(-1.5),
        Value::Int(-1),
        Value::Int(0),
        real(-0.0),
        real(0.5),
        Value::Int(1),
        Value::Int(big),
        real(big as f64),
        Value::Int(big + 1),
        Value::Int(INT_MOST),
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
