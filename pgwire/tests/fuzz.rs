//! Fuzzes every decoder with mutations of a corpus of valid inputs, from fixed seeds. CI runs 200,000 inputs;
//! PLOVERCOVE_FUZZ sets another number:
//!
//!     PLOVERCOVE_FUZZ=10000000 cargo test --release -p plovercove-pgwire --test fuzz -- --nocapture

use plovercove_pgwire::encoder::Encoder;
use plovercove_pgwire::login::{Credentials, Login};
use plovercove_pgwire::reply::{Outcome, Reply, Shape};
use plovercove_pgwire::session::Session;
use plovercove_pgwire::startup::{Method, Rules, Startup, Step};
use plovercove_pgwire::statement::{self, Kind};
use plovercove_pgwire::values::{Bytea, DateFormat, ValueFormats};
use plovercove_pgwire::verifier::{Users, Verifier};
use plovercove_pgwire::{Version, messages};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::sync::LazyLock;

/// Runs one decoder on an input. Returns how many bytes the decoder retains or has produced.
type Target = fn(&[u8]) -> usize;

/// Verifiers of `app`. They are computed only once, because the hash iterations of SCRAM are expensive.
static VERIFIERS: LazyLock<[Verifier; 2]> = LazyLock::new(|| {
    [
        Verifier::md5_from_password("app", b"right"),
        Verifier::scram_from_password(b"right", b"0123456789abcdef", 1_024),
    ]
});

fn fuzz_startup(bytes: &[u8]) -> usize {
    let rules = Rules {
        versions: vec![Version::V2, Version::V30, Version::V32],
        methods: vec![Method::Scram, Method::Md5, Method::Password],
    };
    let (mut startup, mut out, mut rest) = (Startup::default(), Vec::new(), bytes);
    while let Ok(Some((length, step))) =
        startup.read_message(&rules, rest, "0123456789abcdef", &mut out)
    {
        assert!(
            length > 0 && length <= rest.len(),
            "it consumes received bytes only"
        );
        rest = &rest[length..];
        match step {
            Step::UserNamed => {
                let verifier = VERIFIERS.get(bytes.len() % 3);
                if startup
                    .begin_authentication(&rules, verifier, &[1; 32], [1; 4], &mut out)
                    .is_err()
                {
                    break;
                }
            }
            Step::LoggedIn | Step::Cancel(_) => break,
            Step::Continue => {}
        }
    }
    // What is retained of a startup is bounded by the input.
    startup.user().len()
        + startup
            .parameters()
            .iter()
            .map(|(n, v)| n.len() + v.len())
            .sum::<usize>()
}

fn fuzz_login(bytes: &[u8]) -> usize {
    let credentials = Credentials {
        user: "app".into(),
        database: "trips".into(),
        password: Some("right".into()),
        may_send_clear_text: true,
        version: Version::V32,
        skip_authentication: false,
    };
    let mut out = Vec::new();
    let mut login = Login::start(&credentials, &mut out);
    let sent_before = out.len();
    for message in messages::split(bytes) {
        if login.read_message(&credentials, &message, &mut out) != Ok(false) {
            break;
        }
    }
    // The longest output is one proof, and a message of a server causes at most one.
    (out.len() - sent_before).min(bytes.len() + 400)
}

fn fuzz_reply(bytes: &[u8]) -> usize {
    let (mut reply, mut retained_bytes) = (Reply::new(Shape::Any), Vec::new());
    for message in messages::split(bytes) {
        if message.kind == b'Z' {
            if reply.read_ready(message.body).is_err() {
                break;
            }
            continue;
        }
        if reply.read_message(&message).is_err() {
            break;
        }
        retained_bytes.extend_from_slice(message.raw);
        // An error of the server is never taken for success, whatever the input.
        assert!(!(reply.is_error() && reply.outcome() == Outcome::Served));
    }
    let formats = ValueFormats {
        bytea: Bytea::Escape,
        dates: DateFormat::default()
            .with_setting("Postgres, DMY")
            .expect("a style"),
    };
    let mut longest = retained_bytes.len();
    for version in [Version::V2, Version::V30] {
        let mut out = Vec::new();
        let _ = Encoder { version, formats }.put_reply(&retained_bytes, &mut out);
        // A byte of bytea takes two characters in hex and up to four in escape format. Each field of an error gains a label.
        assert!(
            out.len() <= retained_bytes.len() * 12 + 64,
            "{} from {}",
            out.len(),
            retained_bytes.len()
        );
        longest = longest.max(out.len() / 12);
    }
    longest
}

fn fuzz_text(bytes: &[u8]) -> usize {
    let text = String::from_utf8_lossy(bytes);
    let mut session = Session::new(ValueFormats::default());
    if let Kind::Setting(name, value) = statement::classify(&text) {
        let _ = session.set(&name, value.as_deref());
    }
    let _ = (
        Users::parse(&text),
        Verifier::parse(&text),
        DateFormat::default().with_setting(&text),
    );
    let _ = (
        messages::v2_function_call_length(bytes, 100),
        messages::parse_error_code(bytes),
        messages::parse_status(bytes),
        messages::parse_row(bytes),
    );
    let formats = ValueFormats {
        bytea: Bytea::Escape,
        dates: DateFormat::default().with_setting("SQL").expect("a style"),
    };
    [17, 1082, 1114, 1184]
        .iter()
        .filter_map(|kind| formats.rewrite(*kind, bytes))
        .map(|v| v.len() / 2)
        .max()
        .unwrap_or(0)
}

fn corpus() -> Vec<(Target, Vec<Vec<u8>>)> {
    let packet = |body: &[u8]| {
        let mut out = Vec::new();
        messages::put_packet(&mut out, |out| out.extend_from_slice(body));
        out
    };
    let message = |kind: u8, body: &[u8]| {
        let mut out = Vec::new();
        messages::put(&mut out, kind, |out| out.extend_from_slice(body));
        out
    };
    let mut v2_startup = vec![0u8; 296];
    v2_startup[..8].copy_from_slice(b"\0\0\x01\x28\0\x02\0\0");
    v2_startup[72..75].copy_from_slice(b"app");
    v2_startup.extend(packet(b"right\0"));
    let startup_packet =
        packet(b"\0\x03\0\x02user\0app\0database\0trips\0DateStyle\0ISO\0_pq_.x\0y\0\0");
    let scram_client_first = b"SCRAM-SHA-256\0\0\0\0\x20n,,n=,r=0123456789abcdefghijklmn";
    let scram_client_final =
        b"c=biws,r=0123456789abcdefghijklmn0123456789abcdef,p=AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=";
    let startups = vec![
        v2_startup,
        [
            startup_packet.clone(),
            message(b'p', b"md50123456789abcdef0123456789abcdef\0"),
        ]
        .concat(),
        [
            startup_packet,
            message(b'p', scram_client_first),
            message(b'p', scram_client_final),
        ]
        .concat(),
        [
            packet(b"\x04\xd2\x16\x2f"),
            packet(b"\x04\xd2\x16\x2e\0\0\0\x07abcd"),
        ]
        .concat(),
    ];
    let scram_login = [
        message(b'v', b"\0\0\0\0\0\0\0\x01_pq_.x\0"),
        message(b'R', b"\0\0\0\x0aSCRAM-SHA-256\0\0"),
        message(b'R', b"\0\0\0\x0br=x,s=c2FsdA==,i=4096"),
        message(b'R', b"\0\0\0\x0cv=x"),
    ]
    .concat();
    let logins = vec![
        scram_login,
        [
            message(b'R', b"\0\0\0\x05salt"),
            message(b'R', &[0; 4]),
            message(b'S', b"a\0b\0"),
            message(b'K', &[7; 60]),
            message(b'Z', b"I"),
        ]
        .concat(),
        [
            message(b'R', b"\0\0\0\x03"),
            message(b'E', b"SFATAL\0C28P01\0Mno\0\0"),
        ]
        .concat(),
    ];
    let mut described = b"\0\x03".to_vec();
    for kind in [17u32, 1114, 1082] {
        described.extend_from_slice(b"a\0\0\0\0\0\0\0");
        described.extend_from_slice(&kind.to_be_bytes());
        described.extend_from_slice(b"\xff\xff\xff\xff\xff\xff\0\0");
    }
    let result = [
        message(b'T', &described),
        message(
            b'D',
            b"\0\x03\0\0\0\x06\\x9f41\0\0\0\x132026-12-01 17:20:00\0\0\0\x0a2026-12-01",
        ),
        message(b'D', b"\0\x03\xff\xff\xff\xff\0\0\0\0\xff\xff\xff\xff"),
        message(b'C', b"SELECT 2\0"),
    ]
    .concat();
    let replies = vec![
        [result.clone(), message(b'Z', b"I")].concat(),
        [
            message(b'N', b"SNOTICE\0C00000\0Mhm\0Dmore\0\0"),
            result,
            message(b'E', b"SERROR\0C23505\0Mtwice\0Hask\0\0"),
        ]
        .concat(),
        [
            message(b'H', b"\0\0\0"),
            message(b'd', b"1\n"),
            message(b'c', b""),
            message(b'C', b"COPY 1\0"),
        ]
        .concat(),
        [
            message(b'I', b""),
            message(b'G', b"\0\0\0"),
            message(b'E', b"SERROR\0C57014\0Mno\0\0"),
        ]
        .concat(),
    ];
    let texts = [
        "WITH a AS (DELETE FROM seats RETURNING *) SELECT $$x$$, E'\\'' FROM a -- b\n; /* c /* d */ */ SET DateStyle = 'SQL, DMY'",
        "app SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU=\nb md50123456789abcdef0123456789abcdef",
        "0044-03-15 12:00:00.5+07:30 BC",
        "\\x0123456789abcdef",
    ];
    let texts = texts.map(|t| t.as_bytes().to_vec()).to_vec();
    vec![
        (fuzz_startup, startups),
        (fuzz_login, logins),
        (fuzz_reply, replies),
        (fuzz_text, texts),
    ]
}

fn mutate(input: &mut Vec<u8>, other: &[u8], random: &mut Pcg64Mcg) {
    for _ in 0..random.random_range(0..5) {
        let position = random.random_range(0..=input.len());
        match random.random_range(0..7) {
            0 if position < input.len() => input[position] ^= 1 << random.random_range(0..8),
            1 if position < input.len() => {
                input[position] = [0, 1, 0x7f, 0x80, 0xff, b'\\', b','][random.random_range(0..7)]
            }
            2 => input.truncate(position),
            3 => input.insert(position, random.random()),
            4 if position < input.len() => drop(input.remove(position)),
            5 => {
                let from = random.random_range(0..=other.len());
                input.truncate(position);
                input.extend_from_slice(&other[from..]);
            }
            6 if position + 4 <= input.len() => {
                let length = [0u32, 3, 4, 5, 255, 65_536, 0x7fff_ffff, 0xffff_ffff]
                    [random.random_range(0..8)];
                input[position..position + 4].copy_from_slice(&length.to_be_bytes());
            }
            _ => {}
        }
    }
}

#[test]
fn mutated_inputs_neither_panic_nor_grow_memory() {
    let inputs: u64 = std::env::var("PLOVERCOVE_FUZZ")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(200_000);
    let corpus = corpus();
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get() as u64);
    std::thread::scope(|scope| {
        for thread in 0..threads {
            let corpus = &corpus;
            scope.spawn(move || {
                let mut random = Pcg64Mcg::new(u128::from(thread) << 1 | 1);
                for n in 0..inputs.div_ceil(threads) {
                    let (target, seeds) = &corpus[n as usize % corpus.len()];
                    let seed = &seeds[random.random_range(0..seeds.len())];
                    let other = &seeds[random.random_range(0..seeds.len())];
                    let mut input = seed.clone();
                    mutate(&mut input, other, &mut random);
                    let retained_bytes = target(&input);
                    assert!(
                        retained_bytes <= input.len() + 400,
                        "{retained_bytes} bytes retained of {}: {}",
                        input.len(),
                        input.escape_ascii()
                    );
                }
            });
        }
    });
    println!("{inputs} inputs");
}
