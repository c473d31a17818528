//! Unit tests of `login_rate_limit`.

use super::*;

const SECOND: Time = 1_000_000;

fn at(n: u32) -> IpAddr {
    std::net::Ipv4Addr::from(0x7f00_0000 + n).into()
}

#[test]
fn an_address_that_guesses_waits_and_is_forgiven_in_time() {
    let mut limit = LoginRateLimit::new(Rules::default());
    for n in 0..10 {
        assert_eq!(limit.check(SECOND, at(1), &format!("u{n}")), Ok(()));
        limit.record_failure(SECOND, at(1), &format!("u{n}"));
    }
    assert_eq!(limit.check(SECOND, at(1), "other"), Err(3 * SECOND));
    assert_eq!(
        limit.check(SECOND, at(2), "other"),
        Ok(()),
        "another address is not held back"
    );
    assert_eq!(limit.check(4 * SECOND, at(1), "other"), Ok(()));
}

#[test]
fn failing_in_a_users_name_does_not_lock_them_out_where_they_come_from() {
    // Danger: whoever knows a name could keep its owner out for good.
    let mut limit = LoginRateLimit::new(Rules::default());
    limit.record_success(0, at(1), "app");
    for n in 0..1_000 {
        limit.record_failure(SECOND, at(100 + n), "app");
    }
    assert!(
        limit.check(SECOND, at(2), "app").is_err(),
        "a stranger waits"
    );
    assert_eq!(limit.check(SECOND, at(1), "app"), Ok(()));
}

#[test]
fn a_flood_of_names_and_addresses_does_not_grow_without_bound() {
    let mut limit = LoginRateLimit::new(Rules {
        most: 100,
        ..Rules::default()
    });
    for n in 0..10_000 {
        limit.record_failure(SECOND + u64::from(n), at(n), &format!("u{n}"));
        limit.record_success(SECOND, at(n), &format!("u{n}"));
    }
    assert!(
        limit.entry_counts().iter().all(|held| *held <= 100),
        "{:?}",
        limit.entry_counts()
    );
}
