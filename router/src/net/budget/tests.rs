//! Unit tests of `budget`.

use super::*;

#[test]
fn a_spent_budget_stops_large_buffers_until_bytes_are_released() {
    // Without the limit, incomplete messages of many clients grow until the system kills the router for its memory use.
    let budget = Budget::new(10 * MIN_BUFFER_BYTES);
    let (mut large, mut small) = (budget.buffer(), budget.buffer());
    large.write(|b| b.resize(2 * MIN_BUFFER_BYTES, 0));
    let reservation = budget.reserve(9 * MIN_BUFFER_BYTES).expect("there is room");
    small.write(|b| b.push(0));
    assert!(large.is_over_budget() && !small.is_over_budget() && budget.reserve(1).is_none());
    drop(reservation);
    assert!(!large.is_over_budget());
    large.write(Vec::clear);
    assert_eq!(
        budget.0.reserved.get(),
        small.reservation.bytes,
        "an empty buffer gives its bytes back"
    );
}

#[test]
fn the_last_quarter_of_the_budget_is_little_room() {
    let budget = Budget::new(8 * MIN_BUFFER_BYTES);
    let _six = budget.reserve(6 * MIN_BUFFER_BYTES).expect("there is room");
    assert!(!budget.has_little_room());
    let one_more = budget.reserve(1).expect("there is room");
    assert!(budget.has_little_room() && budget.buffer().has_little_room());
    drop(one_more);
    assert!(!budget.has_little_room());
}
