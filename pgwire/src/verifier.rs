//! MD5 and SCRAM-SHA-256 verifiers, by which clients are authenticated. Passwords are never stored.
//!
//! Sources: RFC 5802 and 7677 for SCRAM, the PostgreSQL manual ("Password Authentication", "pg_authid") for both formats.

use crate::Error;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hmac::{Hmac, KeyInit, Mac};
use md5::Md5;
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::fmt;
use subtle::ConstantTimeEq;

/// Allowed numbers of iterations of a verifier. Fewer protect too little; more cost the router too much, since it computes
/// one hash for each iteration when a client sends its password in clear text.
const ALLOWED_ITERATIONS: std::ops::RangeInclusive<u32> = 1_024..=100_000;
/// Number of iterations that a user who does not exist appears to have: the default of PostgreSQL.
const UNKNOWN_USER_ITERATIONS: u32 = 4_096;
/// Maximum number of users in one credentials file.
pub const MAX_USERS: usize = 100_000;

/// A SCRAM-SHA-256 verifier.
#[derive(Clone, PartialEq, Eq)]
pub struct Scram {
    /// The number of iterations of the hash.
    pub iterations: u32,
    /// The salt.
    pub salt: Vec<u8>,
    stored_key: [u8; 32],
    server_key: [u8; 32],
}

/// The verifier of one user's password.
#[derive(Clone, PartialEq, Eq)]
pub enum Verifier {
    /// Written as `md5` and 32 hex digits: the hash of password and user.
    Md5([u8; 32]),
    /// Written as `SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey`.
    Scram(Scram),
}

/// Prints only the kind, so that logs never contain a verifier.
impl fmt::Debug for Verifier {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.kind())
    }
}

fn hmac(key: &[u8], parts: &[&[u8]]) -> [u8; 32] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("a key of any length");
    parts.iter().for_each(|part| mac.update(part));
    mac.finalize().into_bytes().into()
}

fn hex_digits(bytes: &[u8]) -> [u8; 32] {
    let mut digits = [0; 32];
    for (pair, byte) in digits.chunks_exact_mut(2).zip(bytes) {
        pair.copy_from_slice(&[
            b"0123456789abcdef"[usize::from(byte >> 4)],
            b"0123456789abcdef"[usize::from(byte & 15)],
        ]);
    }
    digits
}

fn md5_hex(parts: &[&[u8]]) -> [u8; 32] {
    let mut hash = Md5::new();
    parts.iter().for_each(|part| hash.update(part));
    hex_digits(&hash.finalize())
}

fn equal_in_constant_time(left: &[u8], right: &[u8]) -> bool {
    left.ct_eq(right).into()
}

impl Verifier {
    /// Returns a description of the kind for error messages.
    pub fn kind(&self) -> &'static str {
        match self {
            Verifier::Md5(_) => "an MD5 verifier",
            Verifier::Scram(_) => "a SCRAM-SHA-256 verifier",
        }
    }

    /// Parses a verifier in the format of `pg_authid`. Returns `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        if let Some(digits) = text.strip_prefix("md5") {
            let digits: [u8; 32] = digits.as_bytes().try_into().ok()?;
            return digits
                .iter()
                .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(byte))
                .then_some(Verifier::Md5(digits));
        }
        let (head, keys) = text.strip_prefix("SCRAM-SHA-256$")?.split_once('$')?;
        let (iterations, salt) = head.split_once(':')?;
        let (stored_key, server_key) = keys.split_once(':')?;
        let key = |text: &str| <[u8; 32]>::try_from(STANDARD.decode(text).ok()?).ok();
        let iterations = iterations
            .parse()
            .ok()
            .filter(|n| ALLOWED_ITERATIONS.contains(n))?;
        let salt = STANDARD
            .decode(salt)
            .ok()
            .filter(|salt| (8..=64).contains(&salt.len()))?;
        Some(Verifier::Scram(Scram {
            iterations,
            salt,
            stored_key: key(stored_key)?,
            server_key: key(server_key)?,
        }))
    }

    /// Returns the MD5 verifier of a password.
    pub fn md5_from_password(user: &str, password: &[u8]) -> Self {
        Verifier::Md5(md5_hex(&[password, user.as_bytes()]))
    }

    /// Returns the SCRAM-SHA-256 verifier of a password.
    pub fn scram_from_password(password: &[u8], salt: &[u8], iterations: u32) -> Self {
        let salted = salted_password(password, salt, iterations);
        let stored_key = Sha256::digest(hmac(&salted, &[b"Client Key"])).into();
        let server_key = hmac(&salted, &[b"Server Key"]);
        Verifier::Scram(Scram {
            iterations,
            salt: salt.to_vec(),
            stored_key,
            server_key,
        })
    }

    /// Returns a verifier for a user who does not exist: a SCRAM verifier if `scram` is true, an MD5 verifier otherwise. No
    /// password matches it. It is the same at each attempt, so that clients cannot find out which users exist.
    pub fn for_unknown_user(user: &str, secret: &[u8], scram: bool) -> Self {
        let user_hash = hmac(secret, &[b"nobody", user.as_bytes()]);
        if scram {
            let (stored_key, server_key) = (
                hmac(secret, &[b"stored", &user_hash]),
                hmac(secret, &[b"server", &user_hash]),
            );
            return Verifier::Scram(Scram {
                iterations: UNKNOWN_USER_ITERATIONS,
                salt: user_hash[..16].to_vec(),
                stored_key,
                server_key,
            });
        }
        Verifier::Md5(hex_digits(&user_hash[..16]))
    }

    /// Returns true if a password sent in clear text is right.
    pub fn matches_password(&self, user: &str, password: &[u8]) -> bool {
        match self {
            Verifier::Md5(verifier) => {
                equal_in_constant_time(verifier, &md5_hex(&[password, user.as_bytes()]))
            }
            Verifier::Scram(verifier) => {
                let client_key = hmac(
                    &salted_password(password, &verifier.salt, verifier.iterations),
                    &[b"Client Key"],
                );
                equal_in_constant_time(&verifier.stored_key, &Sha256::digest(client_key))
            }
        }
    }

    /// Returns true if a client's response to an MD5 salt is right; always false for a SCRAM verifier.
    pub fn matches_md5_response(&self, salt: [u8; 4], response: &[u8]) -> bool {
        let Verifier::Md5(verifier) = self else {
            return false;
        };
        let expected = md5_hex(&[verifier, &salt]);
        equal_in_constant_time(&[b"md5", &expected[..]].concat(), response)
    }
}

/// Returns the SaltedPassword of SCRAM.
fn salted_password(password: &[u8], salt: &[u8], iterations: u32) -> [u8; 32] {
    // A password that is not UTF-8, or that SASLprep rejects, is used unchanged, as PostgreSQL does.
    let prepared = std::str::from_utf8(password)
        .ok()
        .and_then(|text| stringprep::saslprep(text).ok());
    let password = prepared.as_deref().map_or(password, str::as_bytes);
    let mut salted = [0; 32];
    pbkdf2::pbkdf2_hmac::<Sha256>(password, salt, iterations, &mut salted);
    salted
}

/// The server side of one SCRAM-SHA-256 exchange.
pub struct ScramExchange {
    verifier: Scram,
    /// The header of the client's first message, which its channel binding has to repeat.
    gs2_header: String,
    /// The client's first message without the header.
    client_first_bare: String,
    /// The server's first message.
    server_first: String,
    /// The nonces of client and server together.
    nonce: String,
}

impl ScramExchange {
    /// Starts an exchange with the client's first message. Returns the exchange and the server's first message, or `None` if
    /// the client's message is malformed. `nonce` is the server's part of the nonce.
    pub fn start(verifier: &Scram, client_first: &[u8], nonce: &str) -> Option<(Self, String)> {
        let client_first = std::str::from_utf8(client_first).ok()?;
        let (flag, rest) = client_first.split_once(',')?;
        let (name, bare) = rest.split_once(',')?;
        // `n`: the client does not support channel binding. `y`: it does, but knows that the server has not offered it.
        // `p=`: it uses channel binding although that was not offered.
        if !(flag == "n" || flag == "y") || !(name.is_empty() || name.starts_with("a=")) {
            return None;
        }
        let (user, rest) = bare.split_once(',')?;
        let client_nonce = rest.split(',').next()?.strip_prefix("r=")?;
        let is_valid_nonce = |text: &str| {
            (8..=256).contains(&text.len())
                && text.bytes().all(|byte| (0x21..=0x7e).contains(&byte))
        };
        if !user.starts_with("n=") || !is_valid_nonce(client_nonce) {
            return None;
        }
        let nonce = format!("{client_nonce}{nonce}");
        let server_first = format!(
            "r={nonce},s={},i={}",
            STANDARD.encode(&verifier.salt),
            verifier.iterations
        );
        let gs2_header = format!("{flag},{name},");
        let exchange = ScramExchange {
            verifier: verifier.clone(),
            gs2_header,
            client_first_bare: bare.into(),
            server_first: server_first.clone(),
            nonce,
        };
        Some((exchange, server_first))
    }

    /// Checks the client's last message. Returns the server's last message if the proof is right.
    pub fn finish(&self, client_final: &[u8]) -> Option<String> {
        let client_final = std::str::from_utf8(client_final).ok()?;
        let (without_proof, proof) = client_final.rsplit_once(",p=")?;
        let proof = <[u8; 32]>::try_from(STANDARD.decode(proof).ok()?).ok()?;
        let mut parts = without_proof.split(',');
        let binding = parts.next()?.strip_prefix("c=")?;
        let nonce = parts.next()?.strip_prefix("r=")?;
        let auth_message = [
            &self.client_first_bare,
            ",",
            &self.server_first,
            ",",
            without_proof,
        ]
        .concat();
        let signature = hmac(&self.verifier.stored_key, &[auth_message.as_bytes()]);
        let client_key: Vec<u8> = proof
            .iter()
            .zip(signature)
            .map(|(left, right)| left ^ right)
            .collect();
        let is_proof_valid =
            equal_in_constant_time(&self.verifier.stored_key, &Sha256::digest(client_key));
        let is_binding_valid = STANDARD
            .decode(binding)
            .ok()
            .is_some_and(|header| header == self.gs2_header.as_bytes());
        let server_final = format!(
            "v={}",
            STANDARD.encode(hmac(&self.verifier.server_key, &[auth_message.as_bytes()]))
        );
        (is_proof_valid && is_binding_valid && nonce == self.nonce).then_some(server_final)
    }
}

/// The users of a listener and their verifiers.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Users(HashMap<String, Verifier>);

impl fmt::Debug for Users {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} users", self.0.len())
    }
}

impl Users {
    /// Parses a credentials file. Each line has a user and a verifier, separated by blanks; `#` starts a comment.
    ///
    /// # Errors
    /// Returns an error that names the line, and does not repeat any text that may be a password.
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

    /// Returns the verifier of a user, or `None` if the user does not exist.
    pub fn get(&self, user: &str) -> Option<&Verifier> {
        self.0.get(user)
    }

    /// Returns the number of users.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns true if there are no users.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
