//! Unit tests of `login_rate_limit`.

use super::*;

const SECOND: Time = 1_000_000;

fn address(number: u32) -> IpAddr {
    std::net::Ipv4Addr::from(0x7f00_0000 + number).into()
}

#[test]
fn an_address_with_failed_logins_waits_until_they_are_forgiven() {
    let mut limit = LoginRateLimit::new(Rules::default());
    for n in 0..10 {
        assert_eq!(limit.check(SECOND, address(1), &format!("u{n}")), Ok(()));
        limit.record_failure(SECOND, address(1), &format!("u{n}"));
    }
    assert_eq!(limit.check(SECOND, address(1), "other"), Err(3 * SECOND));
    assert_eq!(
        limit.check(SECOND, address(2), "other"),
        Ok(()),
        "the limit does not apply to another address"
    );
    assert_eq!(limit.check(4 * SECOND, address(1), "other"), Ok(()));
}

#[test]
fn failed_logins_of_others_do_not_lock_a_user_out_at_a_trusted_address() {
    // Without the exemption of trusted addresses, anyone who knows a user's name could lock the user out permanently by
    // failing in that name.
    let mut limit = LoginRateLimit::new(Rules::default());
    limit.record_success(0, address(1), "app");
    for n in 0..1_000 {
        limit.record_failure(SECOND, address(100 + n), "app");
    }
    assert!(
        limit.check(SECOND, address(2), "app").is_err(),
        "an address without a successful login has to wait"
    );
    assert_eq!(limit.check(SECOND, address(1), "app"), Ok(()));
}

#[test]
fn memory_is_bounded_under_a_flood_of_users_and_addresses() {
    let mut limit = LoginRateLimit::new(Rules {
        most: 100,
        ..Rules::default()
    });
    for n in 0..10_000 {
        limit.record_failure(SECOND + u64::from(n), address(n), &format!("u{n}"));
        limit.record_success(SECOND, address(n), &format!("u{n}"));
    }
    assert!(
        limit.entry_counts().iter().all(|count| *count <= 100),
        "{:?}",
        limit.entry_counts()
    );
}
