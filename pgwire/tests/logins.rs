//! Logins on both sides: the router's startup of clients against the router's own login at servers, whose SCRAM is that of
//! another crate, and against handwritten packets; also arbitrary bytes, split arbitrarily.

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

fn credentials(password: Option<&str>, clear: bool) -> Credentials {
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

/// Logs the router in to its own startup. Returns the startup or the error that it sends, or the error of the login.
fn run_login(
    methods: &[Method],
    verifier: Option<&Verifier>,
    credentials: &Credentials,
) -> Result<Result<Startup, SqlError>, LoginError> {
    let rules = rules(methods);
    let (mut startup, mut to_server, mut to_client) = (Startup::default(), Vec::new(), Vec::new());
    let mut login = Login::start(credentials, &mut to_server);
    for _ in 0..10 {
        while !to_server.is_empty() {
            let step = match startup.read_message(&rules, &to_server, NONCE, &mut to_client) {
                Ok(Some((length, step))) => {
                    to_server.drain(..length);
                    match step {
                        Step::UserNamed => startup.begin_authentication(
                            &rules,
                            verifier,
                            &SECRET,
                            SALT,
                            &mut to_client,
                        ),
                        step => Ok(step),
                    }
                }
                Ok(None) => panic!("complete packets were sent"),
                Err(error) => Err(error),
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
                Err(error) => return Ok(Err(error)),
            }
        }
        let received = std::mem::take(&mut to_client);
        for message in messages::split(&received) {
            if login.read_message(credentials, &message, &mut to_server)? {
                return Ok(Ok(startup));
            }
        }
    }
    panic!("the login does not end")
}

#[test]
fn every_method_accepts_the_right_password_only() {
    let (md5, scram) = (
        Verifier::md5_from_password("app", b"right"),
        Verifier::scram_from_password(b"right", &[7; 16], 4_096),
    );
    for (method, verifier) in [
        (Method::Password, &md5),
        (Method::Password, &scram),
        (Method::Md5, &md5),
        (Method::Scram, &scram),
    ] {
        let startup = run_login(&[method], Some(verifier), &credentials(Some("right"), true))
            .expect("a common method")
            .expect("logged in");
        assert_eq!(
            (startup.user(), startup.database(), startup.version()),
            ("app", "trips", Version::V32)
        );
        let wrong = run_login(&[method], Some(verifier), &credentials(Some("wrong"), true))
            .expect("a common method");
        assert!(
            wrong.is_err_and(|error| Startup::is_wrong_password(&error)),
            "{method:?}"
        );
        // A user who does not exist goes through the same steps, and no password is accepted.
        let unknown_user =
            run_login(&[method], None, &credentials(Some("right"), true)).expect("a common method");
        assert!(
            unknown_user.is_err_and(|error| Startup::is_wrong_password(&error)),
            "{method:?}"
        );
    }
    let open =
        run_login(&[Method::Trust], None, &credentials(None, false)).expect("a common method");
    assert!(open.is_ok());
}

#[test]
fn without_a_common_method_the_login_fails_and_names_the_methods_of_both_sides() {
    let scram = Verifier::scram_from_password(b"right", &[7; 16], 4_096);
    let error = run_login(
        &[Method::Md5],
        Some(&scram),
        &credentials(Some("right"), true),
    )
    .expect("the login error is the server's")
    .err()
    .expect("no common method");
    assert!(
        error.text.contains("takes md5") && error.text.contains("a SCRAM-SHA-256 verifier"),
        "{error}"
    );
    let login_error = run_login(
        &[Method::Password],
        Some(&scram),
        &credentials(Some("right"), false),
    )
    .err()
    .expect("no clear text");
    assert!(
        login_error.to_string().contains("clear text"),
        "{login_error}"
    );
    let login_error = run_login(&[Method::Scram], Some(&scram), &credentials(None, false))
        .err()
        .expect("no password");
    assert!(
        login_error.to_string().contains("names none"),
        "{login_error}"
    );
    for (method_code, name) in [(7u32, "GSSAPI"), (9, "SSPI"), (2, "Kerberos")] {
        let mut out = Vec::new();
        let mut login = Login::start(&credentials(None, false), &mut out);
        let mut request = Vec::new();
        messages::put(&mut request, b'R', |out| {
            out.extend_from_slice(&method_code.to_be_bytes())
        });
        let message = messages::parse_message(&request, 100)
            .expect("a valid length")
            .expect("complete");
        let login_error = login
            .read_message(&credentials(None, false), &message, &mut out)
            .expect_err("no common method");
        let text = login_error.to_string();
        assert!(
            text.contains(name) && text.contains("SCRAM-SHA-256"),
            "{text}"
        );
    }
}

#[test]
fn a_server_that_skips_its_proof_is_rejected() {
    // Otherwise an impostor of a server would receive bookings.
    let mut out = Vec::new();
    let credentials = credentials(Some("right"), true);
    let mut login = Login::start(&credentials, &mut out);
    let mut received = Vec::new();
    messages::put(&mut received, b'R', |out| {
        out.extend_from_slice(b"\0\0\0\x0aSCRAM-SHA-256\0\0")
    });
    messages::put(&mut received, b'R', |out| out.extend_from_slice(&[0; 4]));
    let mut messages = messages::split(&received);
    let first = login.read_message(&credentials, &messages.next().expect("one"), &mut out);
    assert_eq!(first, Ok(false));
    assert_eq!(
        login.read_message(&credentials, &messages.next().expect("two"), &mut out),
        Err(LoginError::Malformed)
    );
}

#[test]
fn a_login_without_authentication_survives_a_corrupted_greeting() {
    // On a network that corrupts bytes, each connection that is closed for a greeting which unknown_user reads costs a request.
    let credentials = Credentials {
        skip_authentication: true,
        ..credentials(None, false)
    };
    let mut out = Vec::new();
    let mut login = Login::start(&credentials, &mut out);
    let mut received = Vec::new();
    for (kind, body) in [
        (b'R', &b"\xff\x7f"[..]),
        (b'S', b"no end"),
        (b'K', b""),
        (b'v', b"?"),
        (b'N', b""),
    ] {
        messages::put(&mut received, kind, |out| out.extend_from_slice(body));
    }
    messages::put_ready(&mut received);
    let all: Vec<_> = messages::split(&received)
        .map(|m| login.read_message(&credentials, &m, &mut out))
        .collect();
    assert_eq!(all.last(), Some(&Ok(true)), "{all:?}");
}

#[test]
fn the_scram_example_of_rfc_7677_is_reproduced() {
    // RFC 7677, section 3.
    let verifier = Verifier::scram_from_password(
        b"pencil",
        b"[m\x99h\x9d\x125\x8e\xec\xa0K\x14\x126\xfa\x81",
        4_096,
    );
    let Verifier::Scram(verifier) = verifier else {
        panic!("a SCRAM verifier")
    };
    let first = b"n,,n=user,r=rOprNGfwEbeRWgbNEkqO";
    let (exchange, answer) = plovercove_pgwire::verifier::ScramExchange::start(
        &verifier,
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
    for altered in [
        last.replace("biws", "eSws"),
        last.replace("k0,p", "k1,p"),
        last.replace("p=dH", "p=dG"),
    ] {
        assert_eq!(exchange.finish(altered.as_bytes()), None, "{altered}");
    }
}

#[test]
fn verifiers_are_parsed_as_in_pg_authid_and_errors_name_only_the_line() {
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
        let message = Users::parse(wrong).expect_err(wrong).to_string();
        assert!(
            message.starts_with(line) && !message.contains("hunter2"),
            "{message}"
        );
    }
    let twice = format!("{text}app md5f6d2ba4f1b0a1ee0e1c3c2c0e7a0b1c2");
    assert!(Users::parse(&twice).is_err_and(|e| e.to_string().contains("twice")));
}

#[test]
fn the_first_packets_of_every_version_are_parsed() {
    let open = |rules: &Rules, bytes: &[u8]| {
        let (mut startup, mut out) = (Startup::default(), Vec::new());
        startup
            .read_message(rules, bytes, NONCE, &mut out)
            .map(|step| (step.map(|(_, step)| step), startup, out))
    };
    let all = rules(&[Method::Password]);
    let mut v2_packet = vec![0u8; 296];
    v2_packet[..8].copy_from_slice(b"\0\0\x01\x28\0\x02\0\0");
    v2_packet[8..13].copy_from_slice(b"trips");
    v2_packet[72..75].copy_from_slice(b"app");
    let (step, startup, _) = open(&all, &v2_packet).expect("2.0");
    assert_eq!(
        (step, startup.user(), startup.database(), startup.version()),
        (Some(Step::UserNamed), "app", "trips", Version::V2)
    );
    let (step, ..) = open(&all, &v2_packet[..295]).expect("a part");
    assert_eq!(step, None);
    let only_new = Rules {
        versions: vec![Version::V30],
        methods: vec![Method::Trust],
    };
    let error = open(&only_new, &v2_packet)
        .err()
        .expect("unsupported version");
    assert!(
        error.text.contains("version 2.0") && error.text.contains("3.0"),
        "{error}"
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
    // A newer minor version and unknown options are answered with the supported version.
    let mut newer = Vec::new();
    messages::put_packet(&mut newer, |out| {
        out.extend_from_slice(b"\0\x03\0\x63user\0app\0_pq_.magic\0on\0\0")
    });
    let (mut startup, mut out) = (Startup::default(), Vec::new());
    startup
        .read_message(&all, &newer, NONCE, &mut out)
        .expect("understood");
    startup
        .begin_authentication(&all, None, &SECRET, SALT, &mut out)
        .expect("asked");
    assert_eq!(&out[..24], b"v\0\0\0\x17\0\0\0\x02\0\0\0\x01_pq_.magic\0");
}

/// Returns a reply of a server with values that differ between versions.
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
fn a_reply_is_encoded_in_both_versions_and_in_the_formats_of_the_client() {
    let formats = ValueFormats {
        bytea: Bytea::Escape,
        dates: DateFormat::default()
            .with_setting("German")
            .expect("a style"),
    };
    let mut v2_reply = Vec::new();
    Encoder {
        version: Version::V2,
        formats,
    }
    .put_reply(&sample(), &mut v2_reply)
    .expect("encoded");
    let mut expected = b"Pblank\0T\0\x03".to_vec();
    for (name, kind) in [(b'a', 17u32), (b'b', 1114), (b'c', 25)] {
        expected.extend_from_slice(&[name, 0]);
        expected.extend_from_slice(&kind.to_be_bytes());
        expected.extend_from_slice(b"\xff\xff\xff\xff\xff\xff");
    }
    expected.extend_from_slice(
        b"D\xc0\0\0\0\x09\\237A\0\0\0\x1701.12.2026 17:20:00NNOTICE:  hello\n\0CSELECT\0",
    );
    assert_eq!(
        v2_reply.escape_ascii().to_string(),
        expected.escape_ascii().to_string()
    );
    let mut v3_reply = Vec::new();
    Encoder {
        version: Version::V30,
        formats: ValueFormats::default(),
    }
    .put_reply(&sample(), &mut v3_reply)
    .expect("encoded");
    let kinds: Vec<u8> = messages::split(&v3_reply).map(|m| m.kind).collect();
    assert_eq!(kinds, b"TDNC");
    assert!(
        !v3_reply.windows(7).any(|w| w == b"sseats\0"),
        "version 3.0 did not have this field at first"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(8), ..ProptestConfig::default() })]

    /// Fuzzing with a fixed seed: nothing panics, and no more bytes are consumed than were received.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400), kinds in prop::collection::vec(prop::sample::select(b"RKvSTDCIENAZGHWdcV123nstX".to_vec()), 0..12)) {
        let (mut startup, mut out) = (Startup::default(), Vec::new());
        let all = rules(&[Method::Scram, Method::Md5]);
        let mut rest = &bytes[..];
        while let Ok(Some((length, step))) = startup.read_message(&all, rest, NONCE, &mut out) {
            prop_assert!(length <= rest.len());
            rest = &rest[length..];
            if step == Step::UserNamed && startup.begin_authentication(&all, None, &SECRET, SALT, &mut out).is_err() {
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
        let credentials = credentials(Some("right"), true);
        let mut login = Login::start(&credentials, &mut out);
        let (mut one, mut any) = (Reply::new(Shape::OneValue), Reply::new(Shape::Any));
        for message in messages::split(&framed) {
            let _ = login.read_message(&credentials, &message, &mut out);
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

    /// The result of a login does not depend on how its bytes are split.
    #[test]
    fn any_split_of_the_bytes_gives_the_same_result(cuts in prop::collection::vec(1..40usize, 0..30), clear in any::<bool>()) {
        let verifier = Verifier::md5_from_password("app", b"right");
        let all = rules(&[if clear { Method::Password } else { Method::Md5 }]);
        let mut sent = b"\0\0\0\x08\x04\xd2\x16\x2f".to_vec();
        messages::put_packet(&mut sent, |out| out.extend_from_slice(b"\0\x03\0\0user\0app\0database\0trips\0DateStyle\0German\0\0"));
        let proof = postgres_protocol::authentication::md5_hash(b"app", b"right", SALT);
        messages::put(&mut sent, b'p', |out| messages::put_text(out, if clear { b"right" } else { proof.as_bytes() }));
        let run = |pieces: Vec<&[u8]>| {
            let (mut startup, mut out, mut unread, mut is_logged_in) = (Startup::default(), Vec::new(), Vec::new(), false);
            for piece in pieces {
                unread.extend_from_slice(piece);
                while let Some((length, step)) = startup.read_message(&all, &unread, NONCE, &mut out).expect("a good login") {
                    unread.drain(..length);
                    if step == Step::UserNamed {
                        startup.begin_authentication(&all, Some(&verifier), &SECRET, SALT, &mut out).expect("asked");
                    }
                    is_logged_in |= step == Step::LoggedIn;
                    if is_logged_in {
                        break;
                    }
                }
            }
            (out, is_logged_in, startup.parameters().to_vec())
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
fn a_truncated_reply_has_no_outcome() {
    // If a truncated reply counted as complete, a booking that may not exist would look confirmed.
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

/// Guards against a router that is killed for its memory by clients that send very many parameters and don't complete their login.
#[test]
fn of_very_many_parameters_only_a_few_are_kept() {
    let parameters: Vec<u8> = (0..2_400).flat_map(|_| *b"a\0b\0").collect();
    let body = [&[0, 3, 0, 0][..], b"user\0me\0", &parameters, b"\0"].concat();
    let packet = [&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat();
    let mut startup = Startup::default();
    let read = startup.read_message(&rules(&[Method::Trust]), &packet, "", &mut Vec::new());
    assert_eq!(read, Ok(Some((packet.len(), Step::UserNamed))));
    assert!(
        startup.parameters().len() <= 64,
        "{}",
        startup.parameters().len()
    );
    let mut startup = Startup::default();
    let read = startup.read_message(&rules(&[Method::Scram]), &packet, "", &mut Vec::new());
    assert!(read.is_err(), "{read:?}");
}
