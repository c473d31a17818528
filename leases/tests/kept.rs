//! The decider's file: what is torn, changed or another's is refused with what to do; and the settings' faults.
#![allow(missing_docs, reason = "a test")]

use plovercove_fencing::Token;
use plovercove_leases::{
    Ballot, Decider, Deciders, Guard, Holder, Kept, KeptFault, Rules, RulesFault, Said,
};

fn rules() -> Rules {
    let one = |n: u16| Decider {
        name: format!("n{n}"),
        address: ([127_u8, 0, 0, 1], 7_000 + n).into(),
    };
    let deciders = Deciders {
        generation: 1,
        members: (0..3).map(one).collect(),
        before: Vec::new(),
    };
    Rules {
        installation: "test".into(),
        deciders,
        ..Rules::default()
    }
}

fn kept() -> Kept {
    Kept {
        installation: "test".into(),
        name: "n0".into(),
        generation: 1,
        ceiling: Token(71_000),
        longest_ms: 30_000,
        sealed: 1,
    }
}

#[test]
fn a_file_that_is_torn_at_any_byte_or_has_any_bit_flipped_is_refused() {
    let (rules, bytes) = (rules(), kept().write());
    assert_eq!(Kept::read(&bytes, &rules, "n0"), Ok(kept()));
    for end in 0..bytes.len() {
        let fault = Kept::read(&bytes[..end], &rules, "n0").expect_err("torn");
        assert!(!fault.help().is_empty() && !fault.to_string().is_empty());
    }
    for bit in 0..bytes.len() * 8 {
        let mut bad = bytes.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert!(Kept::read(&bad, &rules, "n0").is_err(), "bit {bit}");
    }
    for more in [vec![0], bytes.clone(), vec![7; 4_000]] {
        assert!(Kept::read(&[bytes.clone(), more].concat(), &rules, "n0").is_err());
    }
}

#[test]
fn a_file_of_another_is_refused() {
    let read = |kept: Kept| Kept::read(&kept.write(), &rules(), "n0").expect_err("another's");
    assert!(matches!(
        read(Kept {
            name: "n1".into(),
            ..kept()
        }),
        KeptFault::Name { .. }
    ));
    assert!(matches!(
        read(Kept {
            installation: "x".into(),
            ..kept()
        }),
        KeptFault::Installation { .. }
    ));
    assert!(matches!(
        read(Kept {
            generation: 2,
            ..kept()
        }),
        KeptFault::Newer {
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
    assert!(fault(&|r| r.ask_ms = 10_000, 9).starts_with("ask_ms"));
    assert!(fault(&|r| r.aside_ms = 1, 9).starts_with("aside_ms"));
    assert!(fault(&|r| r.datagrams_per_s = 1, 9).starts_with("datagrams_per_s"));
    assert!(fault(&|r| r.deciders.generation = 0, 9).starts_with("deciders.generation"));
    assert!(fault(&|r| r.deciders.generation = 2, 9).starts_with("deciders.before"));
    assert!(fault(&|r| r.deciders.members.truncate(2), 9).starts_with("deciders.members"));
    assert!(fault(&|r| r.deciders.members[1].name = "n0".into(), 9).contains("n0 is listed twice"));
    assert!(
        fault(&|r| r.deciders.members[1].name = String::new(), 9).starts_with("deciders.members")
    );
    let too_short = RulesFault::LeaseTooShort {
        got: 1,
        least: rules().shortest_lease(300),
        routers: 300,
    };
    assert_eq!(
        too_short.to_string(),
        "lease_ms: 1 is too short for 300 routers: expected 28125 or more"
    );
}

#[test]
fn the_lease_is_renewed_by_the_life_that_holds_it_alone() {
    let who = |boot| Holder {
        address: ([127_u8, 0, 0, 1], 7_000).into(),
        boot,
    };
    let claims = |rules: &Rules| {
        let mut ballot = Ballot::new(Token(0));
        assert_eq!(ballot.ask(rules, 0, &who(1), Token(1), 100), Said::Voted);
        (
            ballot.ask(rules, 50, &who(2), Token(1), 100),
            ballot.ask(rules, 50, &who(2), Token(2), 100),
        )
    };
    assert_eq!(claims(&rules()), (Said::Held, Said::Held));
    let off = Rules {
        without: Some(Guard::Life),
        ..rules()
    };
    assert_eq!(
        claims(&off),
        (Said::Voted, Said::Voted),
        "the guard's removal is seen"
    );
}

#[test]
fn a_token_that_was_given_back_is_voted_for_no_more() {
    let who = |n: u16| Holder {
        address: ([127_u8, 0, 0, 1], 7_000 + n).into(),
        boot: 1,
    };
    let again = |rules: &Rules| {
        let mut ballot = Ballot::new(Token(0));
        assert_eq!(ballot.ask(rules, 0, &who(1), Token(1), 100), Said::Voted);
        assert!(ballot.release(&who(1), Token(1)) && !ballot.release(&who(1), Token(1)));
        (
            ballot.ask(rules, 1, &who(2), Token(1), 100),
            ballot.ask(rules, 1, &who(1), Token(1), 100),
        )
    };
    assert_eq!(again(&rules()), (Said::Older, Said::Older));
    assert_eq!(
        again(&Rules {
            without: Some(Guard::Once),
            ..rules()
        })
        .0,
        Said::Voted
    );
}
