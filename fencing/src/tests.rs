//! Unit tests of the crate `fencing`.

use super::*;

fn lease(name: &str) -> LeaseName {
    LeaseName::new(name).expect("a valid name")
}

#[test]
fn a_fence_admits_the_newest_token_and_rejects_older_ones() {
    let (mut fence, name) = (Fence::new(2), lease("positions/1"));
    assert_eq!(fence.admit(&name, Token(3)), Ok(Admitted::Newer));
    assert_eq!(fence.admit(&name, Token(3)), Ok(Admitted::Current));
    assert_eq!(fence.admit(&name, Token(7)), Ok(Admitted::Newer));
    let older = FenceError::Older {
        lease: name.clone(),
        token: Token(6),
        newest: Token(7),
    };
    assert_eq!(fence.admit(&name, Token(6)), Err(older));
    assert!(matches!(
        fence.admit(&name, Token::NONE),
        Err(FenceError::Never { .. })
    ));
    assert_eq!(
        (fence.newest(&name), fence.newest(&lease("other"))),
        (Token(7), Token::NONE)
    );
}

#[test]
fn a_full_fence_keeps_its_tokens_and_rejects_another_lease() {
    let mut fence = Fence::new(1);
    assert!(fence.admit(&lease("a"), Token(1)).is_ok());
    let full = fence.admit(&lease("b"), Token(9)).expect_err("full");
    assert_eq!(
        full,
        FenceError::Full {
            lease: lease("b"),
            max_leases: 1
        }
    );
    assert!(!full.help().is_empty());
    assert_eq!(fence.admit(&lease("a"), Token(2)), Ok(Admitted::Newer));
    assert_eq!(fence.tokens().count(), 1);
}

#[test]
fn names_that_are_empty_too_long_or_have_other_characters_are_rejected() {
    assert_eq!(
        lease("gateway/thu-duc").split_kind(),
        ("gateway", "thu-duc")
    );
    for bad in ["", "a b", "a\n", &"x".repeat(65)] {
        assert!(
            LeaseName::new(bad).is_err_and(|e| !e.help().is_empty()),
            "{bad:?}"
        );
    }
    assert_eq!(Token(u64::MAX).next(), Token(u64::MAX));
}
