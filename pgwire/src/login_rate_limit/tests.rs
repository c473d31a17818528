//! Unit tests of `login_rate_limit`.

use super::*;

const SECOND: Time = 1_000_000;

fn at(n: u32) -> IpAddr {
    std::net::Ipv4Addr::from(0x7f00_0000 + n).into()
}

#[test]
fn an_address_that_guesses_waits_and_is_forgiven_in_time() {
    let mut throttle = LoginRateLimit::new(Rules::default());
    for n in 0..10 {
        assert_eq!(throttle.may(SECOND, at(1), &format!("u{n}")), Ok(()));
        throttle.failed(SECOND, at(1), &format!("u{n}"));
    }
    assert_eq!(throttle.may(SECOND, at(1), "other"), Err(3 * SECOND));
    assert_eq!(
        throttle.may(SECOND, at(2), "other"),
        Ok(()),
        "another address is not held back"
    );
    assert_eq!(throttle.may(4 * SECOND, at(1), "other"), Ok(()));
}

#[test]
fn failing_in_a_users_name_does_not_lock_them_out_where_they_come_from() {
    // Danger: whoever knows a name could keep its owner out for good.
    let mut throttle = LoginRateLimit::new(Rules::default());
    throttle.succeeded(0, at(1), "app");
    for n in 0..1_000 {
        throttle.failed(SECOND, at(100 + n), "app");
    }
    assert!(
        throttle.may(SECOND, at(2), "app").is_err(),
        "a stranger waits"
    );
    assert_eq!(throttle.may(SECOND, at(1), "app"), Ok(()));
}

#[test]
fn a_flood_of_names_and_addresses_does_not_grow_without_bound() {
    let mut throttle = LoginRateLimit::new(Rules {
        most: 100,
        ..Rules::default()
    });
    for n in 0..10_000 {
        throttle.failed(SECOND + u64::from(n), at(n), &format!("u{n}"));
        throttle.succeeded(SECOND, at(n), &format!("u{n}"));
    }
    assert!(
        throttle.held().iter().all(|held| *held <= 100),
        "{:?}",
        throttle.held()
    );
}
