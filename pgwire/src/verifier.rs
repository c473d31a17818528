//! What clients are checked by: MD5 and SCRAM-SHA-256 verifiers, never a password.
//!
//! Sources: RFC 5802 and 7677 for SCRAM, the PostgreSQL manual ("Password Authentication", "pg_authid") for both forms.

use crate::Error;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hmac::{Hmac, KeyInit, Mac};
use md5::Md5;
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::fmt;
use subtle::ConstantTimeEq;

/// Iterations that a verifier may ask for: fewer are worth little, and each costs the router a hash when a client sends
/// its password in clear text.
const ITERATIONS: std::ops::RangeInclusive<u32> = 1_024..=100_000;
/// What a user that does not exist is given.
const USUAL_ITERATIONS: u32 = 4_096;
/// Users that one file may hold.
pub const MAX_USERS: usize = 100_000;

/// SCRAM-SHA-256's part of a verifier.
#[derive(Clone, PartialEq, Eq)]
pub struct Scram {
    /// Rounds of the hash.
    pub iterations: u32,
    /// The salt.
    pub salt: Vec<u8>,
    stored: [u8; 32],
    server: [u8; 32],
}

/// What one user is checked by.
#[derive(Clone, PartialEq, Eq)]
pub enum Verifier {
    /// `md5` and the hash of password and user in 32 hex digits.
    Md5([u8; 32]),
    /// `SCRAM-SHA-256$iterations:salt$stored:server`.
    Scram(Scram),
}

/// It shows nothing of what it holds.
impl fmt::Debug for Verifier {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(self.kind())
    }
}

fn hmac(key: &[u8], parts: &[&[u8]]) -> [u8; 32] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("a key of any length");
    parts.iter().for_each(|part| mac.update(part));
    mac.finalize().into_bytes().into()
}

fn hex(bytes: &[u8]) -> [u8; 32] {
    let mut out = [0; 32];
    for (pair, byte) in out.chunks_exact_mut(2).zip(bytes) {
        pair.copy_from_slice(&[
            b"0123456789abcdef"[usize::from(byte >> 4)],
            b"0123456789abcdef"[usize::from(byte & 15)],
        ]);
    }
    out
}

fn md5_hex(parts: &[&[u8]]) -> [u8; 32] {
    let mut hash = Md5::new();
    parts.iter().for_each(|part| hash.update(part));
    hex(&hash.finalize())
}

fn same(a: &[u8], b: &[u8]) -> bool {
    a.ct_eq(b).into()
}

impl Verifier {
    /// What it is, for messages.
    pub fn kind(&self) -> &'static str {
        match self {
            Verifier::Md5(_) => "an MD5 verifier",
            Verifier::Scram(_) => "a SCRAM-SHA-256 verifier",
        }
    }

    /// Reads the form that `pg_authid` has.
    pub fn parse(text: &str) -> Option<Self> {
        if let Some(digits) = text.strip_prefix("md5") {
            let digits: [u8; 32] = digits.as_bytes().try_into().ok()?;
            return digits
                .iter()
                .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(b))
                .then_some(Verifier::Md5(digits));
        }
        let (head, keys) = text.strip_prefix("SCRAM-SHA-256$")?.split_once('$')?;
        let (iterations, salt) = head.split_once(':')?;
        let (stored, server) = keys.split_once(':')?;
        let key = |text: &str| <[u8; 32]>::try_from(STANDARD.decode(text).ok()?).ok();
        let iterations = iterations.parse().ok().filter(|n| ITERATIONS.contains(n))?;
        let salt = STANDARD
            .decode(salt)
            .ok()
            .filter(|salt| (8..=64).contains(&salt.len()))?;
        Some(Verifier::Scram(Scram {
            iterations,
            salt,
            stored: key(stored)?,
            server: key(server)?,
        }))
    }

    /// The MD5 verifier of a password, as `pg_authid` writes it.
    pub fn md5_from_password(user: &str, password: &[u8]) -> Self {
        Verifier::Md5(md5_hex(&[password, user.as_bytes()]))
    }

    /// The SCRAM verifier of a password.
    pub fn scram_from_password(password: &[u8], salt: &[u8], iterations: u32) -> Self {
        let salted = salted(password, salt, iterations);
        let stored = Sha256::digest(hmac(&salted, &[b"Client Key"])).into();
        let server = hmac(&salted, &[b"Server Key"]);
        Verifier::Scram(Scram {
            iterations,
            salt: salt.to_vec(),
            stored,
            server,
        })
    }

    /// What a user who does not exist is checked by: the same for each try, so that nobody learns who exists, and met by
    /// no password.
    pub fn for_unknown_user(user: &str, secret: &[u8], scram: bool) -> Self {
        let mark = hmac(secret, &[b"nobody", user.as_bytes()]);
        if scram {
            let (stored, server) = (
                hmac(secret, &[b"stored", &mark]),
                hmac(secret, &[b"server", &mark]),
            );
            return Verifier::Scram(Scram {
                iterations: USUAL_ITERATIONS,
                salt: mark[..16].to_vec(),
                stored,
                server,
            });
        }
        Verifier::Md5(hex(&mark[..16]))
    }

    /// Whether a password sent in clear text is the right one.
    pub fn matches_password(&self, user: &str, password: &[u8]) -> bool {
        match self {
            Verifier::Md5(kept) => same(kept, &md5_hex(&[password, user.as_bytes()])),
            Verifier::Scram(kept) => {
                let client = hmac(
                    &salted(password, &kept.salt, kept.iterations),
                    &[b"Client Key"],
                );
                same(&kept.stored, &Sha256::digest(client))
            }
        }
    }

    /// Whether what a client made of an MD5 salt is right; never with a SCRAM verifier.
    pub fn matches_md5_response(&self, salt: [u8; 4], said: &[u8]) -> bool {
        let Verifier::Md5(kept) = self else {
            return false;
        };
        let want = md5_hex(&[kept, &salt]);
        same(&[b"md5", &want[..]].concat(), said)
    }
}

fn salted(password: &[u8], salt: &[u8], iterations: u32) -> [u8; 32] {
    // A password that is no UTF-8, or cannot be prepared, counts as it is: so servers do.
    let prepared = std::str::from_utf8(password)
        .ok()
        .and_then(|text| stringprep::saslprep(text).ok());
    let password = prepared.as_deref().map_or(password, str::as_bytes);
    let mut out = [0; 32];
    pbkdf2::pbkdf2_hmac::<Sha256>(password, salt, iterations, &mut out);
    out
}

/// One exchange of SCRAM-SHA-256, seen from the server's side.
pub struct ScramExchange {
    kept: Scram,
    /// What the client's channel binding must repeat, and the messages so far.
    header: String,
    first: String,
    answer: String,
    nonce: String,
}

impl ScramExchange {
    /// Reads the client's first message; the exchange, and the server's first message. `nonce` is the server's own part.
    pub fn start(kept: &Scram, said: &[u8], nonce: &str) -> Option<(Self, String)> {
        let said = std::str::from_utf8(said).ok()?;
        let (flag, rest) = said.split_once(',')?;
        let (name, bare) = rest.split_once(',')?;
        // `y`: the client would bind the channel, had it been offered. `p=`: it does, and that was not offered.
        if !(flag == "n" || flag == "y") || !(name.is_empty() || name.starts_with("a=")) {
            return None;
        }
        let (user, rest) = bare.split_once(',')?;
        let theirs = rest.split(',').next()?.strip_prefix("r=")?;
        let fits = |text: &str| {
            (8..=256).contains(&text.len()) && text.bytes().all(|b| (0x21..=0x7e).contains(&b))
        };
        if !user.starts_with("n=") || !fits(theirs) {
            return None;
        }
        let nonce = format!("{theirs}{nonce}");
        let answer = format!(
            "r={nonce},s={},i={}",
            STANDARD.encode(&kept.salt),
            kept.iterations
        );
        let header = format!("{flag},{name},");
        let exchange = ScramExchange {
            kept: kept.clone(),
            header,
            first: bare.into(),
            answer: answer.clone(),
            nonce,
        };
        Some((exchange, answer))
    }

    /// Checks the client's last message; the server's last message where the proof is right.
    pub fn finish(&self, said: &[u8]) -> Option<String> {
        let said = std::str::from_utf8(said).ok()?;
        let (without, proof) = said.rsplit_once(",p=")?;
        let proof = <[u8; 32]>::try_from(STANDARD.decode(proof).ok()?).ok()?;
        let mut parts = without.split(',');
        let binding = parts.next()?.strip_prefix("c=")?;
        let nonce = parts.next()?.strip_prefix("r=")?;
        let all = [&self.first, ",", &self.answer, ",", without].concat();
        let signature = hmac(&self.kept.stored, &[all.as_bytes()]);
        let client: Vec<u8> = proof.iter().zip(signature).map(|(a, b)| a ^ b).collect();
        let right = same(&self.kept.stored, &Sha256::digest(client));
        let bound = STANDARD
            .decode(binding)
            .ok()
            .is_some_and(|b| b == self.header.as_bytes());
        let done = format!(
            "v={}",
            STANDARD.encode(hmac(&self.kept.server, &[all.as_bytes()]))
        );
        (right && bound && nonce == self.nonce).then_some(done)
    }
}

/// The users of a front, and what each is checked by.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Users(HashMap<String, Verifier>);

impl fmt::Debug for Users {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{} users", self.0.len())
    }
}

impl Users {
    /// Reads a credentials file: a user and a verifier a line, blanks between; `#` begins a comment.
    ///
    /// # Errors
    /// Names the line, and repeats nothing of what may be a password.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut users = HashMap::new();
        for (number, line) in (1..).zip(text.lines()) {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let (user, verifier) = line
                .split_once(char::is_whitespace)
                .ok_or(Error::NoPair(number))?;
            let verifier = Verifier::parse(verifier.trim()).ok_or(Error::NoVerifier(number))?;
            if users.insert(user.to_string(), verifier).is_some() {
                return Err(Error::Twice(number));
            }
            if users.len() > MAX_USERS {
                return Err(Error::TooMany(number));
            }
        }
        Ok(Users(users))
    }

    /// What a user is checked by.
    pub fn get(&self, user: &str) -> Option<&Verifier> {
        self.0.get(user)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
