//! Unit tests of `cold_load`.

use super::*;

#[test]
fn only_the_window_counts_and_shares_are_of_work() {
    let mut cold_loads = ColdLoads::new(2_000_000);
    let request = |at, work, from_informed| ColdRequest {
        at,
        work,
        from_informed,
        is_write: false,
        is_further_attempt: !from_informed,
    };
    cold_loads.add(7, request(0, 9.0, false));
    cold_loads.add(7, request(2_500_000, 3.0, true));
    cold_loads.add(7, request(2_600_000, 1.0, false));
    let shares = cold_loads.shares(7);
    assert_eq!(
        shares,
        LoadShares {
            told: 0.75,
            writes: 0.0,
            again: 0.25
        }
    );
    assert!(shares.are_mostly_informed());
    cold_loads.add(7, request(2_700_000, 1.0, false));
    assert!(
        !cold_loads.shares(7).are_mostly_informed(),
        "three of five is under two thirds"
    );
    cold_loads.clear(7);
    assert!(!cold_loads.shares(7).are_mostly_informed());
}
