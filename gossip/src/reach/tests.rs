//! Unit tests of `reach`.

use super::*;

/// So many nodes fail since 100; the others answered last at these times.
fn is_uncertain(failing: usize, last_answers: &[Time]) -> bool {
    let reach = Reach {
        failing,
        suspected: 0,
        last_answers: last_answers.to_vec(),
    };
    reach.is_uncertain_since(100)
}

#[test]
fn answers_from_before_the_failure_say_nothing_of_the_links() {
    assert!(is_uncertain(1, &[90, 91, 92, 93, 94, 95, 96, 97]));
    assert!(is_uncertain(1, &[101, 91, 92, 93, 94, 95, 96, 97]));
    assert!(!is_uncertain(1, &[101, 102, 92, 93, 94, 95, 96, 97]));
    assert!(
        is_uncertain(2, &[101, 102, 103, 93, 94, 95, 96]),
        "two fail"
    );
}

#[test]
fn a_node_of_a_small_group_is_accused_by_those_who_see_the_others_or_one_of_them() {
    assert!(!is_uncertain(1, &[]), "nothing else is known");
    assert!(!is_uncertain(1, &[90]), "of two nodes");
    assert!(is_uncertain(1, &[90, 91]), "of three, none was heard since");
    assert!(!is_uncertain(1, &[90, 101]), "of three, one was");
}

#[test]
fn who_blames_itself_has_no_doubt_any_more() {
    assert!(!is_uncertain(5, &[101, 91, 92, 93]));
    assert!(!is_uncertain(0, &[101, 102, 103]));
}

#[test]
fn nodes_that_failed_at_the_last_attempt_may_be_cut_off_as_well() {
    let reach = |suspected| Reach {
        failing: 2,
        suspected,
        last_answers: vec![101; 4],
    };
    assert!(!reach(0).is_uncertain_since(100));
    assert!(reach(2).is_uncertain_since(100));
}
