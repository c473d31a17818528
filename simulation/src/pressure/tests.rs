//! Unit tests of `pressure`.

use super::*;

#[test]
fn only_the_window_counts_and_shares_are_of_work() {
    let mut pressure = Pressure::new(2_000_000);
    let request = |at, work, told| ColdRequest {
        at,
        work,
        told,
        write: false,
        again: !told,
    };
    pressure.add(7, request(0, 9.0, false));
    pressure.add(7, request(2_500_000, 3.0, true));
    pressure.add(7, request(2_600_000, 1.0, false));
    let shares = pressure.shares(7);
    assert_eq!(
        shares,
        LoadShares {
            told: 0.75,
            writes: 0.0,
            again: 0.25
        }
    );
    assert!(shares.are_mostly_informed());
    pressure.add(7, request(2_700_000, 1.0, false));
    assert!(
        !pressure.shares(7).are_mostly_informed(),
        "three of five is under two thirds"
    );
    pressure.clear(7);
    assert!(!pressure.shares(7).are_mostly_informed());
}
