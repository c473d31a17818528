//! The decider's file: what is torn, changed or another's is refused with what to do; and the settings' faults.
#![allow(missing_docs, reason = "a test")]

use plovercove_fencing::Token;
use plovercove_leases::{
    Ballot, Guard, Holder, PersistedState, PersistedStateFault, Rules, RulesFault, VoteOutcome,
    VoterConfig, VoterSet,
};

fn rules() -> Rules {
    let one = |n: u16| VoterConfig {
        name: format!("n{n}"),
        address: ([127_u8, 0, 0, 1], 7_000 + n).into(),
    };
    let voters = VoterSet {
        generation: 1,
        members: (0..3).map(one).collect(),
        previous: Vec::new(),
    };
    Rules {
        installation: "test".into(),
        voters,
        ..Rules::default()
    }
}

fn kept() -> PersistedState {
    PersistedState {
        installation: "test".into(),
        name: "n0".into(),
        generation: 1,
        token_ceiling: Token(71_000),
        max_lease_ms: 30_000,
        sealed_below: 1,
    }
}

#[test]
fn a_file_that_is_torn_at_any_byte_or_has_any_bit_flipped_is_refused() {
    let (rules, bytes) = (rules(), kept().encode());
    assert_eq!(PersistedState::decode(&bytes, &rules, "n0"), Ok(kept()));
    for end in 0..bytes.len() {
        let fault = PersistedState::decode(&bytes[..end], &rules, "n0").expect_err("torn");
        assert!(!fault.help().is_empty() && !fault.to_string().is_empty());
    }
    for bit in 0..bytes.len() * 8 {
        let mut bad = bytes.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert!(
            PersistedState::decode(&bad, &rules, "n0").is_err(),
            "bit {bit}"
        );
    }
    for more in [vec![0], bytes.clone(), vec![7; 4_000]] {
        assert!(PersistedState::decode(&[bytes.clone(), more].concat(), &rules, "n0").is_err());
    }
}

#[test]
fn a_file_of_another_is_refused() {
    let read = |kept: PersistedState| {
        PersistedState::decode(&kept.encode(), &rules(), "n0").expect_err("another's")
    };
    assert!(matches!(
        read(PersistedState {
            name: "n1".into(),
            ..kept()
        }),
        PersistedStateFault::Name { .. }
    ));
    assert!(matches!(
        read(PersistedState {
            installation: "x".into(),
            ..kept()
        }),
        PersistedStateFault::Installation { .. }
    ));
    assert!(matches!(
        read(PersistedState {
            generation: 2,
            ..kept()
        }),
        PersistedStateFault::Newer {
            got: 2,
            expected: 1
        }
    ));
}

#[test]
fn settings_that_cannot_be_meant_name_their_key() {
    assert_eq!(rules().check(300), Ok(()));
    let fault = |change: &dyn Fn(&mut Rules), routers| {
        let mut rules = rules();
        change(&mut rules);
        let fault = rules.check(routers).expect_err("a fault");
        assert!(!fault.help().is_empty());
        fault.to_string()
    };
    assert!(
        fault(&|r| r.lease_ms = 20_000, 300)
            .starts_with("lease_ms: 20000 is too short for 300 routers")
    );
    assert!(fault(&|r| r.drift = 0.5, 9).starts_with("drift"));
    assert!(fault(&|r| r.retry_ms = 10_000, 9).starts_with("ask_ms"));
    assert!(fault(&|r| r.suspend_ms = 1, 9).starts_with("aside_ms"));
    assert!(fault(&|r| r.datagrams_per_s = 1, 9).starts_with("datagrams_per_s"));
    assert!(fault(&|r| r.voters.generation = 0, 9).starts_with("deciders.generation"));
    assert!(fault(&|r| r.voters.generation = 2, 9).starts_with("deciders.before"));
    assert!(fault(&|r| r.voters.members.truncate(2), 9).starts_with("deciders.members"));
    assert!(fault(&|r| r.voters.members[1].name = "n0".into(), 9).contains("n0 is listed twice"));
    assert!(
        fault(&|r| r.voters.members[1].name = String::new(), 9).starts_with("deciders.members")
    );
    let too_short = RulesFault::LeaseTooShort {
        got: 1,
        least: rules().min_lease_ms(300),
        routers: 300,
    };
    assert_eq!(
        too_short.to_string(),
        "lease_ms: 1 is too short for 300 routers: expected 28125 or more"
    );
}

#[test]
fn the_lease_is_renewed_by_the_life_that_holds_it_alone() {
    let holder = |incarnation| Holder {
        address: ([127_u8, 0, 0, 1], 7_000).into(),
        incarnation,
    };
    let claims = |rules: &Rules| {
        let mut ballot = Ballot::new(Token(0));
        assert_eq!(
            ballot.request_vote(rules, 0, &holder(1), Token(1), 100),
            VoteOutcome::Granted
        );
        (
            ballot.request_vote(rules, 50, &holder(2), Token(1), 100),
            ballot.request_vote(rules, 50, &holder(2), Token(2), 100),
        )
    };
    assert_eq!(
        claims(&rules()),
        (VoteOutcome::HeldByOther, VoteOutcome::HeldByOther)
    );
    let off = Rules {
        disabled_guard: Some(Guard::Incarnation),
        ..rules()
    };
    assert_eq!(
        claims(&off),
        (VoteOutcome::Granted, VoteOutcome::Granted),
        "the guard's removal is seen"
    );
}

#[test]
fn a_token_that_was_given_back_is_voted_for_no_more() {
    let holder = |n: u16| Holder {
        address: ([127_u8, 0, 0, 1], 7_000 + n).into(),
        incarnation: 1,
    };
    let again = |rules: &Rules| {
        let mut ballot = Ballot::new(Token(0));
        assert_eq!(
            ballot.request_vote(rules, 0, &holder(1), Token(1), 100),
            VoteOutcome::Granted
        );
        assert!(ballot.release(&holder(1), Token(1)) && !ballot.release(&holder(1), Token(1)));
        (
            ballot.request_vote(rules, 1, &holder(2), Token(1), 100),
            ballot.request_vote(rules, 1, &holder(1), Token(1), 100),
        )
    };
    assert_eq!(
        again(&rules()),
        (VoteOutcome::StaleToken, VoteOutcome::StaleToken)
    );
    assert_eq!(
        again(&Rules {
            disabled_guard: Some(Guard::VoteOnce),
            ..rules()
        })
        .0,
        VoteOutcome::Granted
    );
}
