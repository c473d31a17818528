//! Unit tests of `reach`.

use super::*;

/// Returns whether it is uncertain that this many nodes, which fail since time 100, are at fault. The others answered last at
/// these times.
fn is_uncertain(failing: usize, last_answers: &[Time]) -> bool {
    let reach = Reach {
        failing,
        suspected: 0,
        last_answers: last_answers.to_vec(),
    };
    reach.is_uncertain_since(100)
}

#[test]
fn answers_before_the_failure_do_not_prove_working_links() {
    assert!(is_uncertain(1, &[90, 91, 92, 93, 94, 95, 96, 97]));
    assert!(is_uncertain(1, &[101, 91, 92, 93, 94, 95, 96, 97]));
    assert!(!is_uncertain(1, &[101, 102, 92, 93, 94, 95, 96, 97]));
    assert!(
        is_uncertain(2, &[101, 102, 103, 93, 94, 95, 96]),
        "two nodes fail"
    );
}

#[test]
fn with_few_nodes_one_later_answer_is_enough() {
    assert!(!is_uncertain(1, &[]), "no other node is known");
    assert!(!is_uncertain(1, &[90]), "one of two nodes fails");
    assert!(
        is_uncertain(1, &[90, 91]),
        "one of three nodes fails, and none has answered since"
    );
    assert!(
        !is_uncertain(1, &[90, 101]),
        "one of three nodes fails, and one has answered since"
    );
}

#[test]
fn nothing_is_uncertain_once_the_own_links_are_at_fault() {
    assert!(!is_uncertain(5, &[101, 91, 92, 93]));
    assert!(!is_uncertain(0, &[101, 102, 103]));
}

#[test]
fn suspected_nodes_may_be_unreachable_as_well() {
    let reach = |suspected| Reach {
        failing: 2,
        suspected,
        last_answers: vec![101; 4],
    };
    assert!(!reach(0).is_uncertain_since(100));
    assert!(reach(2).is_uncertain_since(100));
}
