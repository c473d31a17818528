//! Unit tests of `budget`.

use super::*;

#[test]
fn a_spent_budget_stops_large_buffers_until_a_share_comes_back() {
    // Danger: half messages of many clients would otherwise grow until the router is killed for memory.
    let budget = Budget::new(10 * SMALL);
    let (mut large, mut small) = (budget.buffer(), budget.buffer());
    large.write(|b| b.resize(2 * SMALL, 0));
    let share = budget.reserve(9 * SMALL).expect("there is room");
    small.write(|b| b.push(0));
    assert!(large.is_over_budget() && !small.is_over_budget() && budget.reserve(1).is_none());
    drop(share);
    assert!(!large.is_over_budget());
    large.write(Vec::clear);
    assert_eq!(
        budget.0.reserved.get(),
        small.share.bytes,
        "an empty buffer gives its bytes back"
    );
}
