//! Logins from both ends: the router's door against the router's own login at servers, whose SCRAM is another's work, and
//! against packets written by hand; and whatever bytes come, in whatever pieces.

use plovercove_pgwire::encoder::Encoder;
use plovercove_pgwire::login::{Credentials, Login, LoginError};
use plovercove_pgwire::messages::{self, Message};
use plovercove_pgwire::reply::{Reply, Shape};
use plovercove_pgwire::startup::{Method, Rules, Startup, Step};
use plovercove_pgwire::values::{Bytea, DateFormat, ValueFormats};
use plovercove_pgwire::verifier::{Users, Verifier};
use plovercove_pgwire::{SqlError, Version, statement};
use proptest::prelude::*;

const SECRET: [u8; 32] = [9; 32];
const SALT: [u8; 4] = [1, 2, 3, 4];
const NONCE: &str = "0123456789abcdef";

fn rules(methods: &[Method]) -> Rules {
    Rules {
        versions: vec![Version::V2, Version::V30, Version::V32],
        methods: methods.to_vec(),
    }
}

fn who(password: Option<&str>, clear: bool) -> Credentials {
    let (user, database) = ("app".into(), "trips".into());
    Credentials {
        user,
        database,
        password: password.map(Into::into),
        may_send_clear_text: clear,
        version: Version::V32,
        skip_authentication: false,
    }
}

/// The router as a client of its own door. What the client learns, or why it is not let in.
fn meet(
    methods: &[Method],
    kept: Option<&Verifier>,
    who: &Credentials,
) -> Result<Result<Startup, SqlError>, LoginError> {
    let rules = rules(methods);
    let (mut startup, mut to_door, mut to_client) = (Startup::default(), Vec::new(), Vec::new());
    let mut login = Login::start(who, &mut to_door);
    for _ in 0..10 {
        while !to_door.is_empty() {
            let step = match startup.read_message(&rules, &to_door, NONCE, &mut to_client) {
                Ok(Some((length, step))) => {
                    to_door.drain(..length);
                    match step {
                        Step::UserNamed => {
                            startup.identify(&rules, kept, &SECRET, SALT, &mut to_client)
                        }
                        step => Ok(step),
                    }
                }
                Ok(None) => panic!("whole packets were sent"),
                Err(fault) => Err(fault),
            };
            match step {
                Ok(Step::LoggedIn) => {
                    let encoder = Encoder {
                        version: startup.version(),
                        formats: ValueFormats::default(),
                    };
                    encoder.put_greeting(
                        &[("server_version".into(), "18.0".into())],
                        None,
                        &mut to_client,
                    );
                }
                Ok(_) => {}
                Err(fault) => return Ok(Err(fault)),
            }
        }
        let said = std::mem::take(&mut to_client);
        for message in messages::split(&said) {
            if login.read_message(who, &message, &mut to_door)? {
                return Ok(Ok(startup));
            }
        }
    }
    panic!("it never ends")
}

#[test]
fn every_method_lets_the_right_password_in_and_no_other() {
    let (md5, scram) = (
        Verifier::md5_from_password("app", b"right"),
        Verifier::scram_from_password(b"right", &[7; 16], 4_096),
    );
    for (method, kept) in [
        (Method::Password, &md5),
        (Method::Password, &scram),
        (Method::Md5, &md5),
        (Method::Scram, &scram),
    ] {
        let startup = meet(&[method], Some(kept), &who(Some("right"), true))
            .expect("they agree")
            .expect("let in");
        assert_eq!(
            (startup.user(), startup.database(), startup.version()),
            ("app", "trips", Version::V32)
        );
        let wrong = meet(&[method], Some(kept), &who(Some("wrong"), true)).expect("they agree");
        assert!(
            wrong.is_err_and(|fault| Startup::is_wrong_password(&fault)),
            "{method:?}"
        );
        // One who does not exist goes through the same steps, and no password is theirs.
        let nobody = meet(&[method], None, &who(Some("right"), true)).expect("they agree");
        assert!(
            nobody.is_err_and(|fault| Startup::is_wrong_password(&fault)),
            "{method:?}"
        );
    }
    let open = meet(&[Method::Trust], None, &who(None, false)).expect("they agree");
    assert!(open.is_ok());
}

#[test]
fn a_method_that_neither_side_can_meet_ends_at_once_with_a_text_that_names_both() {
    let scram = Verifier::scram_from_password(b"right", &[7; 16], 4_096);
    let fault = meet(&[Method::Md5], Some(&scram), &who(Some("right"), true))
        .expect("they talk")
        .err()
        .expect("no way");
    assert!(
        fault.text.contains("takes md5") && fault.text.contains("a SCRAM-SHA-256 verifier"),
        "{fault}"
    );
    let refused = meet(
        &[Method::Password],
        Some(&scram),
        &who(Some("right"), false),
    )
    .err()
    .expect("no clear text");
    assert!(refused.to_string().contains("clear text"), "{refused}");
    let refused = meet(&[Method::Scram], Some(&scram), &who(None, false))
        .err()
        .expect("no password");
    assert!(refused.to_string().contains("names none"), "{refused}");
    for (what, name) in [(7u32, "GSSAPI"), (9, "SSPI"), (2, "Kerberos")] {
        let mut out = Vec::new();
        let mut login = Login::start(&who(None, false), &mut out);
        let mut asked = Vec::new();
        messages::put(&mut asked, b'R', |out| {
            out.extend_from_slice(&what.to_be_bytes())
        });
        let message = messages::parse_message(&asked, 100)
            .expect("framed")
            .expect("whole");
        let refused = login
            .read_message(&who(None, false), &message, &mut out)
            .expect_err("no way");
        let text = refused.to_string();
        assert!(
            text.contains(name) && text.contains("SCRAM-SHA-256"),
            "{text}"
        );
    }
}

#[test]
fn a_server_that_cannot_prove_itself_is_left() {
    // Danger: whoever takes a server's place would be given bookings.
    let mut out = Vec::new();
    let who = who(Some("right"), true);
    let mut login = Login::start(&who, &mut out);
    let mut said = Vec::new();
    messages::put(&mut said, b'R', |out| {
        out.extend_from_slice(b"\0\0\0\x0aSCRAM-SHA-256\0\0")
    });
    messages::put(&mut said, b'R', |out| out.extend_from_slice(&[0; 4]));
    let mut messages = messages::split(&said);
    let first = login.read_message(&who, &messages.next().expect("one"), &mut out);
    assert_eq!(first, Ok(false));
    assert_eq!(
        login.read_message(&who, &messages.next().expect("two"), &mut out),
        Err(LoginError::Malformed)
    );
}

#[test]
fn where_everyone_is_welcome_a_spoilt_greeting_is_no_harm() {
    // Danger: on a network that spoils bytes, each connection lost to a greeting that nobody reads costs its request.
    let who = Credentials {
        skip_authentication: true,
        ..who(None, false)
    };
    let mut out = Vec::new();
    let mut login = Login::start(&who, &mut out);
    let mut said = Vec::new();
    for (kind, body) in [
        (b'R', &b"\xff\x7f"[..]),
        (b'S', b"no end"),
        (b'K', b""),
        (b'v', b"?"),
        (b'N', b""),
    ] {
        messages::put(&mut said, kind, |out| out.extend_from_slice(body));
    }
    messages::put_ready(&mut said);
    let all: Vec<_> = messages::split(&said)
        .map(|m| login.read_message(&who, &m, &mut out))
        .collect();
    assert_eq!(all.last(), Some(&Ok(true)), "{all:?}");
}

#[test]
fn the_published_example_of_scram_is_met() {
    // RFC 7677, section 3.
    let kept = Verifier::scram_from_password(
        b"pencil",
        b"[m\x99h\x9d\x125\x8e\xec\xa0K\x14\x126\xfa\x81",
        4_096,
    );
    let Verifier::Scram(kept) = kept else {
        panic!("a SCRAM verifier")
    };
    let first = b"n,,n=user,r=rOprNGfwEbeRWgbNEkqO";
    let (exchange, answer) = plovercove_pgwire::verifier::ScramExchange::start(
        &kept,
        first,
        "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0",
    )
    .expect("good");
    assert_eq!(
        answer,
        "r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096"
    );
    let last = "c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=";
    assert_eq!(
        exchange.finish(last.as_bytes()).as_deref(),
        Some("v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=")
    );
    for spoilt in [
        last.replace("biws", "eSws"),
        last.replace("k0,p", "k1,p"),
        last.replace("p=dH", "p=dG"),
    ] {
        assert_eq!(exchange.finish(spoilt.as_bytes()), None, "{spoilt}");
    }
}

#[test]
fn verifiers_are_read_in_the_form_of_pg_authid_and_plain_text_is_named_by_line_only() {
    let text = "# users\napp md5f6d2ba4f1b0a1ee0e1c3c2c0e7a0b1c2\n\nold  SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$\
                WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU=\n";
    let users = Users::parse(text).expect("good");
    assert_eq!(users.len(), 2);
    assert!(
        users
            .get("old")
            .is_some_and(|v| v.matches_password("old", b"pencil"))
    );
    assert_eq!(
        format!("{:?} {users:?}", users.get("app")),
        "Some(an MD5 verifier) 2 users",
        "no secret in a log"
    );
    for (wrong, line) in [
        ("app hunter2", "line 1"),
        ("\napp", "line 2"),
        ("a md5xyz", "line 1"),
    ] {
        let said = Users::parse(wrong).expect_err(wrong).to_string();
        assert!(
            said.starts_with(line) && !said.contains("hunter2"),
            "{said}"
        );
    }
    let twice = format!("{text}app md5f6d2ba4f1b0a1ee0e1c3c2c0e7a0b1c2");
    assert!(Users::parse(&twice).is_err_and(|e| e.to_string().contains("twice")));
}

#[test]
fn the_first_packets_of_every_version_are_understood() {
    let open = |rules: &Rules, bytes: &[u8]| {
        let (mut startup, mut out) = (Startup::default(), Vec::new());
        startup
            .read_message(rules, bytes, NONCE, &mut out)
            .map(|step| (step.map(|(_, step)| step), startup, out))
    };
    let all = rules(&[Method::Password]);
    let mut old = vec![0u8; 296];
    old[..8].copy_from_slice(b"\0\0\x01\x28\0\x02\0\0");
    old[8..13].copy_from_slice(b"trips");
    old[72..75].copy_from_slice(b"app");
    let (step, startup, _) = open(&all, &old).expect("2.0");
    assert_eq!(
        (step, startup.user(), startup.database(), startup.version()),
        (Some(Step::UserNamed), "app", "trips", Version::V2)
    );
    let (step, ..) = open(&all, &old[..295]).expect("a part");
    assert_eq!(step, None);
    let only_new = Rules {
        versions: vec![Version::V30],
        methods: vec![Method::Trust],
    };
    let fault = open(&only_new, &old).err().expect("not spoken");
    assert!(
        fault.text.contains("version 2.0") && fault.text.contains("3.0"),
        "{fault}"
    );
    for packet in [
        &b"\0\0\0\x08\x04\xd2\x16\x2f"[..],
        b"\0\0\0\x08\x04\xd2\x16\x30",
    ] {
        let (step, _, out) = open(&all, packet).expect("no encryption");
        assert_eq!((step, &out[..]), (Some(Step::Continue), &b"N"[..]));
    }
    let (step, ..) = open(
        &all,
        b"\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\x07\x01\x02\x03\x04",
    )
    .expect("a cancel");
    assert!(matches!(step, Some(Step::Cancel(key)) if key.id == 7 && key.secret == [1, 2, 3, 4]));
    // A newer minor version and options that nobody knows are told what is spoken.
    let mut newer = Vec::new();
    messages::put_packet(&mut newer, |out| {
        out.extend_from_slice(b"\0\x03\0\x63user\0app\0_pq_.magic\0on\0\0")
    });
    let (mut startup, mut out) = (Startup::default(), Vec::new());
    startup
        .read_message(&all, &newer, NONCE, &mut out)
        .expect("understood");
    startup
        .identify(&all, None, &SECRET, SALT, &mut out)
        .expect("asked");
    assert_eq!(&out[..24], b"v\0\0\0\x17\0\0\0\x02\0\0\0\x01_pq_.magic\0");
}

/// A reply as a server might give it, and what an old client hears of it.
fn sample() -> Vec<u8> {
    let mut out = Vec::new();
    messages::put(&mut out, b'T', |out| {
        out.extend_from_slice(b"\0\x03");
        for (name, kind) in [("a", 17u32), ("b", 1114), ("c", 25)] {
            messages::put_text(out, name.as_bytes());
            out.extend_from_slice(&[0; 6]);
            out.extend_from_slice(&kind.to_be_bytes());
            out.extend_from_slice(b"\xff\xff\xff\xff\xff\xff\0\0");
        }
    });
    messages::put(&mut out, b'D', |out| {
        out.extend_from_slice(
            b"\0\x03\0\0\0\x06\\x9f41\0\0\0\x132026-12-01 17:20:00\xff\xff\xff\xff",
        );
    });
    messages::put(&mut out, b'N', |out| {
        out.extend_from_slice(b"SNOTICE\0VNOTICE\0C00000\0Mhello\0sseats\0\0")
    });
    messages::put_complete(&mut out, "SELECT 1");
    out
}

#[test]
fn a_reply_is_said_in_both_versions_and_in_the_forms_that_the_client_wants() {
    let formats = ValueFormats {
        bytea: Bytea::Escape,
        dates: DateFormat::default()
            .with_setting("German")
            .expect("a style"),
    };
    let mut old = Vec::new();
    Encoder {
        version: Version::V2,
        formats,
    }
    .put_reply(&sample(), &mut old)
    .expect("said");
    let mut want = b"Pblank\0T\0\x03".to_vec();
    for (name, kind) in [(b'a', 17u32), (b'b', 1114), (b'c', 25)] {
        want.extend_from_slice(&[name, 0]);
        want.extend_from_slice(&kind.to_be_bytes());
        want.extend_from_slice(b"\xff\xff\xff\xff\xff\xff");
    }
    want.extend_from_slice(
        b"D\xc0\0\0\0\x09\\237A\0\0\0\x1701.12.2026 17:20:00NNOTICE:  hello\n\0CSELECT\0",
    );
    assert_eq!(
        old.escape_ascii().to_string(),
        want.escape_ascii().to_string()
    );
    let mut new = Vec::new();
    Encoder {
        version: Version::V30,
        formats: ValueFormats::default(),
    }
    .put_reply(&sample(), &mut new)
    .expect("said");
    let kinds: Vec<u8> = messages::split(&new).map(|m| m.kind).collect();
    assert_eq!(kinds, b"TDNC");
    assert!(
        !new.windows(7).any(|w| w == b"sseats\0"),
        "a field that 3.0 did not have when it was young"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(8), ..ProptestConfig::default() })]

    /// Fuzzing with a fixed seed: whatever comes, nothing panics, and nothing is taken that was not there.
    #[test]
    fn whatever_bytes_come_nothing_panics(bytes in prop::collection::vec(any::<u8>(), 0..400), kinds in prop::collection::vec(prop::sample::select(b"RKvSTDCIENAZGHWdcV123nstX".to_vec()), 0..12)) {
        let (mut startup, mut out) = (Startup::default(), Vec::new());
        let all = rules(&[Method::Scram, Method::Md5]);
        let mut rest = &bytes[..];
        while let Ok(Some((length, step))) = startup.read_message(&all, rest, NONCE, &mut out) {
            prop_assert!(length <= rest.len());
            rest = &rest[length..];
            if step == Step::UserNamed && startup.identify(&all, None, &SECRET, SALT, &mut out).is_err() {
                break;
            }
            if matches!(step, Step::LoggedIn | Step::Cancel(_)) {
                break;
            }
        }
        let mut framed = Vec::new();
        let size = bytes.len() / kinds.len().max(1);
        for (n, kind) in kinds.iter().enumerate() {
            messages::put(&mut framed, *kind, |out| out.extend_from_slice(&bytes[n * size..(n + 1) * size]));
        }
        let who = who(Some("right"), true);
        let mut login = Login::start(&who, &mut out);
        let (mut one, mut any) = (Reply::new(Shape::OneValue), Reply::new(Shape::Any));
        for message in messages::split(&framed) {
            let _ = login.read_message(&who, &message, &mut out);
            let _ = (one.read_message(&message), any.read_message(&message), any.read_ready(message.body));
        }
        let formats = ValueFormats { bytea: Bytea::Escape, dates: DateFormat::default().with_setting("Postgres").expect("a style") };
        for version in [Version::V2, Version::V30] {
            let _ = Encoder { version, formats }.put_reply(&framed, &mut Vec::new());
        }
        for kind in [17, 1082, 1114, 1184] {
            let _ = formats.rewrite(kind, &bytes);
        }
        let text = String::from_utf8_lossy(&bytes);
        let _ = (statement::classify(&text), Users::parse(&text), Verifier::parse(&text));
        let _ = messages::v2_function_call_length(&bytes, 300);
    }

    /// However the bytes of a login are split, it goes the same way.
    #[test]
    fn any_split_of_the_bytes_is_read_alike(cuts in prop::collection::vec(1..40usize, 0..30), clear in any::<bool>()) {
        let kept = Verifier::md5_from_password("app", b"right");
        let all = rules(&[if clear { Method::Password } else { Method::Md5 }]);
        let mut sent = b"\0\0\0\x08\x04\xd2\x16\x2f".to_vec();
        messages::put_packet(&mut sent, |out| out.extend_from_slice(b"\0\x03\0\0user\0app\0database\0trips\0DateStyle\0German\0\0"));
        let proof = postgres_protocol::authentication::md5_hash(b"app", b"right", SALT);
        messages::put(&mut sent, b'p', |out| messages::put_text(out, if clear { b"right" } else { proof.as_bytes() }));
        let run = |pieces: Vec<&[u8]>| {
            let (mut startup, mut out, mut held, mut is_in) = (Startup::default(), Vec::new(), Vec::new(), false);
            for piece in pieces {
                held.extend_from_slice(piece);
                while let Some((length, step)) = startup.read_message(&all, &held, NONCE, &mut out).expect("a good login") {
                    held.drain(..length);
                    if step == Step::UserNamed {
                        startup.identify(&all, Some(&kept), &SECRET, SALT, &mut out).expect("asked");
                    }
                    is_in |= step == Step::LoggedIn;
                    if is_in {
                        break;
                    }
                }
            }
            (out, is_in, startup.parameters().to_vec())
        };
        let (mut pieces, mut rest) = (Vec::new(), &sent[..]);
        for cut in cuts {
            let (piece, left) = rest.split_at(cut.min(rest.len()));
            pieces.push(piece);
            rest = left;
        }
        pieces.push(rest);
        let whole = run(vec![&sent]);
        prop_assert!(whole.1);
        prop_assert_eq!(run(pieces), whole);
    }
}

#[test]
fn any_prefix_of_a_reply_tells_no_more_than_it_says() {
    // Danger: a reply cut short that counts as whole is a booking that looks made.
    let whole = sample();
    for cut in 0..whole.len() {
        let mut reply = Reply::new(Shape::Any);
        let mut taken = 0;
        for message in messages::split(&whole[..cut]) {
            reply
                .read_message(&Message { ..message })
                .expect("in order");
            taken += message.raw.len();
        }
        assert!(taken <= cut && !reply.has_outcome(), "cut at {cut}");
    }
}
