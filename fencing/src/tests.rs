//! Unit tests of `fencing`.

use super::*;

fn duty(name: &str) -> Duty {
    Duty::new(name).expect("a name")
}

#[test]
fn a_fence_lets_the_newest_pass_and_refuses_what_is_older() {
    let (mut fence, watch) = (Fence::new(2), duty("positions/1"));
    assert_eq!(fence.admit(&watch, Token(3)), Ok(Passed::Newer));
    assert_eq!(fence.admit(&watch, Token(3)), Ok(Passed::Same));
    assert_eq!(fence.admit(&watch, Token(7)), Ok(Passed::Newer));
    let older = Refused::Older {
        duty: watch.clone(),
        told: Token(6),
        known: Token(7),
    };
    assert_eq!(fence.admit(&watch, Token(6)), Err(older));
    assert!(matches!(
        fence.admit(&watch, Token::NONE),
        Err(Refused::Never { .. })
    ));
    assert_eq!(
        (fence.newest(&watch), fence.newest(&duty("other"))),
        (Token(7), Token::NONE)
    );
}

#[test]
fn a_full_fence_forgets_nothing_and_says_so() {
    let mut fence = Fence::new(1);
    assert!(fence.admit(&duty("a"), Token(1)).is_ok());
    let full = fence.admit(&duty("b"), Token(9)).expect_err("full");
    assert_eq!(
        full,
        Refused::Full {
            duty: duty("b"),
            most: 1
        }
    );
    assert!(!full.help().is_empty());
    assert_eq!(fence.admit(&duty("a"), Token(2)), Ok(Passed::Newer));
    assert_eq!(fence.all().count(), 1);
}

#[test]
fn names_are_short_and_plain() {
    assert_eq!(duty("gateway/thu-duc").split(), ("gateway", "thu-duc"));
    for bad in ["", "a b", "a\n", &"x".repeat(65)] {
        assert!(
            Duty::new(bad).is_err_and(|e| !e.help().is_empty()),
            "{bad:?}"
        );
    }
    assert_eq!(Token(u64::MAX).next(), Token(u64::MAX));
}
