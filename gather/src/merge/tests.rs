//! Unit tests of sums in a merge.

use super::*;
use crate::rules::Rules;

#[test]
fn a_sum_that_does_not_fit_is_an_error() {
    let rules = Rules {
        columns: vec!["n".into()],
        ..Rules::default()
    };
    let sum = |rules: &Rules| {
        add_ints(
            &rules.plan().expect("rules"),
            0,
            &Value::Int(i128::MAX),
            &Value::Int(1),
        )
    };
    assert!(matches!(sum(&rules), Err(Error::Overflow { column }) if column == "n"));
    #[cfg(feature = "mutations")]
    assert!(
        sum(&Rules {
            disabled_guard: Some(Guard::Overflow),
            ..rules
        })
        .is_ok()
    );
}
