//! A voter's file that is truncated, altered or of another router is rejected, with help for the operator. Faults of the
//! settings name their key, and a ballot grants a token once.
#![allow(missing_docs, reason = "a test")]

use plovercove_fencing::Token;
use plovercove_leases::{
    Ballot, Guard, Holder, PersistedState, PersistedStateFault, Rules, RulesFault, VoteOutcome,
    VoterConfig, VoterSet,
};

fn rules() -> Rules {
    let voter = |n: u16| VoterConfig {
        name: format!("n{n}"),
        address: ([127_u8, 0, 0, 1], 7_000 + n).into(),
    };
    let voters = VoterSet {
        generation: 1,
        members: (0..3).map(voter).collect(),
        previous: Vec::new(),
    };
    Rules {
        installation: "test".into(),
        voters,
        ..Rules::default()
    }
}

fn state() -> PersistedState {
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
fn a_file_truncated_at_any_byte_or_with_any_bit_flipped_is_rejected() {
    let (rules, bytes) = (rules(), state().encode());
    assert_eq!(PersistedState::decode(&bytes, &rules, "n0"), Ok(state()));
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
fn a_file_of_another_router_installation_or_generation_is_rejected() {
    let decode_fault = |state: PersistedState| {
        PersistedState::decode(&state.encode(), &rules(), "n0").expect_err("another's")
    };
    assert!(matches!(
        decode_fault(PersistedState {
            name: "n1".into(),
            ..state()
        }),
        PersistedStateFault::Name { .. }
    ));
    assert!(matches!(
        decode_fault(PersistedState {
            installation: "x".into(),
            ..state()
        }),
        PersistedStateFault::Installation { .. }
    ));
    assert!(matches!(
        decode_fault(PersistedState {
            generation: 2,
            ..state()
        }),
        PersistedStateFault::Newer {
            got: 2,
            expected: 1
        }
    ));
}

#[test]
fn faults_of_settings_name_their_key() {
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
fn a_lease_is_renewed_only_by_the_incarnation_that_holds_it() {
    let holder = |incarnation| Holder {
        address: ([127_u8, 0, 0, 1], 7_000).into(),
        incarnation,
    };
    let second_incarnation_requests = |rules: &Rules| {
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
        second_incarnation_requests(&rules()),
        (VoteOutcome::HeldByOther, VoteOutcome::HeldByOther)
    );
    let unguarded = Rules {
        disabled_guard: Some(Guard::Incarnation),
        ..rules()
    };
    assert_eq!(
        second_incarnation_requests(&unguarded),
        (VoteOutcome::Granted, VoteOutcome::Granted),
        "the test detects the missing guard"
    );
}

#[test]
fn a_released_token_is_not_granted_again() {
    let holder = |n: u16| Holder {
        address: ([127_u8, 0, 0, 1], 7_000 + n).into(),
        incarnation: 1,
    };
    let requests_after_release = |rules: &Rules| {
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
        requests_after_release(&rules()),
        (VoteOutcome::StaleToken, VoteOutcome::StaleToken)
    );
    assert_eq!(
        requests_after_release(&Rules {
            disabled_guard: Some(Guard::VoteOnce),
            ..rules()
        })
        .0,
        VoteOutcome::Granted
    );
}

/// Scripts and settings name guards by these words, whatever the variants are called.
#[test]
fn guards_keep_their_names_in_settings() {
    let names = [
        ("clock", Guard::Clock),
        ("stood", Guard::Stalled),
        ("drift", Guard::Drift),
        ("asked", Guard::CountFromRequest),
        ("once", Guard::VoteOnce),
        ("held", Guard::RunningLease),
        ("wait", Guard::WaitAfterStart),
        ("ceiling", Guard::Ceiling),
        ("catch-up", Guard::CatchUp),
        ("majority", Guard::Majority),
        ("life", Guard::Incarnation),
        ("seal", Guard::Seal),
        ("pass", Guard::Transfer),
        ("aside", Guard::Suspend),
    ];
    assert_eq!(names.map(|(_, guard)| guard), Guard::ALL);
    for (name, guard) in names {
        assert_eq!(Guard::named(name), Some(guard), "{name}");
    }
    assert_eq!(Guard::named("stalled"), None);
}
