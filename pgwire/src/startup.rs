//! How a client comes in: what it says first, which version it speaks, and the proof of who it is.
//!
//! The door never waits and never reads: the front gives it what has come, writes what it says, and keeps the deadlines.
//! Between [`Step::UserNamed`] and [`Startup::identify`] the front looks the user up and asks the throttle.

use crate::cancel::CancelKey;
use crate::messages::{self, Fields, Malformed, code, put};
use crate::verifier::{ScramExchange, Verifier};
use crate::{SqlError, Version};
use serde::{Deserialize, Serialize};

const CANCEL_REQUEST: u32 = 80_877_102;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
/// The longest first packet, and the longest that may come during the login.
const LONGEST: (usize, usize) = (10_000, 2_048);
/// The width of a 2.0 startup packet after its length and version, and of its texts: database, user, options, unused, tty.
const V2_TEXTS: [usize; 5] = [64, 32, 64, 64, 64];
/// Requests for encryption that one connection may make: each may be made once.
const MOST_PLAIN: u32 = 2;

/// A way to prove who one is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Method {
    /// No proof.
    Trust,
    /// The password in clear text.
    Password,
    /// MD5 of the password, the user and a salt.
    Md5,
    /// SCRAM-SHA-256.
    Scram,
}

impl Method {
    /// For messages.
    pub fn name(self) -> &'static str {
        match self {
            Method::Trust => "trust",
            Method::Password => "password",
            Method::Md5 => "md5",
            Method::Scram => "scram",
        }
    }

    fn fits(self, version: Version, verifier: &Verifier) -> bool {
        match self {
            Method::Trust | Method::Password => true,
            Method::Md5 => matches!(verifier, Verifier::Md5(_)),
            Method::Scram => version > Version::V2 && matches!(verifier, Verifier::Scram(_)),
        }
    }
}

/// Who may come in, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Versions that are spoken.
    pub versions: Vec<Version>,
    /// Methods that clients may be asked for, best first.
    pub methods: Vec<Method>,
}

impl Rules {
    /// Those of the platform: 3.0, and everyone is welcome.
    pub fn trust_everyone() -> Self {
        Rules {
            versions: vec![Version::V30],
            methods: vec![Method::Trust],
        }
    }

    fn newest_minor(&self) -> Option<Version> {
        self.versions
            .iter()
            .copied()
            .filter(|v| *v > Version::V2)
            .max()
    }
}

/// What came of some bytes.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// It goes on; there may be something to send.
    Continue,
    /// It wants a request cancelled; nothing more comes on this connection.
    Cancel(CancelKey),
    /// It has said who it wants to be: [`Startup::identify`] is next.
    UserNamed,
    /// It is in.
    LoggedIn,
}

#[derive(Default)]
enum State {
    #[default]
    Opening,
    Named,
    Password(Verifier),
    Md5(Verifier, [u8; 4]),
    Scram(Verifier),
    Proving(Box<ScramExchange>),
    In,
}

/// One client on its way in.
pub struct Startup {
    state: State,
    version: Version,
    user: String,
    database: String,
    parameters: Vec<(String, String)>,
    /// Options of the protocol that it named and that are not known here; and whether its minor version is newer.
    unknown: Vec<String>,
    newer: bool,
    plain: u32,
    /// Whether the user is a real one.
    real: bool,
}

impl Default for Startup {
    fn default() -> Self {
        Startup {
            state: State::Opening,
            version: Version::V30,
            user: String::new(),
            database: String::new(),
            parameters: Vec::new(),
            unknown: Vec::new(),
            newer: false,
            plain: 0,
            real: false,
        }
    }
}

fn trimmed(field: &[u8]) -> String {
    let end = field.iter().position(|b| *b == 0).unwrap_or(field.len());
    String::from_utf8_lossy(&field[..end]).into_owned()
}

impl Startup {
    /// The version that it speaks, once it has said so.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Who it wants to be.
    pub fn user(&self) -> &str {
        &self.user
    }

    /// The database that it wants.
    pub fn database(&self) -> &str {
        &self.database
    }

    /// What it wants set at its start, as it said it.
    pub fn parameters(&self) -> &[(String, String)] {
        &self.parameters
    }

    /// Whether it is past its first packet.
    pub fn has_read_first_packet(&self) -> bool {
        !matches!(self.state, State::Opening)
    }

    /// Reads what has come; how many bytes it took, and what came of them. None where nothing is whole.
    ///
    /// # Errors
    /// What the client is told before its connection ends.
    pub fn read_message(
        &mut self,
        rules: &Rules,
        bytes: &[u8],
        nonce: &str,
        out: &mut Vec<u8>,
    ) -> Result<Option<(usize, Step)>, SqlError> {
        let wrong = |Malformed| {
            SqlError::new(
                code::PROTOCOL_VIOLATION,
                "the first packet is not understood",
            )
        };
        if let State::Opening = self.state {
            let Some((packet, length)) = messages::parse_packet(bytes, LONGEST.0).map_err(wrong)?
            else {
                return Ok(None);
            };
            let mut fields = Fields(packet);
            let asked = fields.uint32().map_err(wrong)?;
            return Ok(Some((length, self.open(rules, asked, fields, out)?)));
        }
        let wrong = |Malformed| {
            SqlError::new(
                code::PROTOCOL_VIOLATION,
                "a password was waited for, and something else came",
            )
        };
        let (body, length) = if self.version == Version::V2 {
            let Some((body, length)) = messages::parse_packet(bytes, LONGEST.1).map_err(wrong)?
            else {
                return Ok(None);
            };
            (body, length)
        } else {
            let Some(message) = messages::parse_message(bytes, LONGEST.1).map_err(wrong)? else {
                return Ok(None);
            };
            if message.kind != b'p' {
                return Err(wrong(Malformed));
            }
            (message.body, message.raw.len())
        };
        self.prove(body, nonce, out)
            .map(|step| Some((length, step)))
    }

    fn open(
        &mut self,
        rules: &Rules,
        asked: u32,
        mut fields: Fields<'_>,
        out: &mut Vec<u8>,
    ) -> Result<Step, SqlError> {
        let wrong = |Malformed| {
            SqlError::new(
                code::PROTOCOL_VIOLATION,
                "the first packet is not understood",
            )
        };
        match asked {
            SSL_REQUEST | GSS_REQUEST => {
                self.plain += 1;
                if self.plain > MOST_PLAIN {
                    return Err(SqlError::new(
                        code::PROTOCOL_VIOLATION,
                        "encryption was asked for over and over",
                    ));
                }
                out.push(b'N');
                return Ok(Step::Continue);
            }
            CANCEL_REQUEST => {
                let id = fields.uint32().map_err(wrong)?;
                let secret = fields.0;
                if !(4..=256).contains(&secret.len()) {
                    return Err(wrong(Malformed));
                }
                return Ok(Step::Cancel(CancelKey {
                    id,
                    secret: secret.to_vec(),
                }));
            }
            _ => {}
        }
        let (major, minor) = (asked >> 16, asked & 0xffff);
        match (major, rules.newest_minor()) {
            (2, _) if rules.versions.contains(&Version::V2) => {
                self.version = Version::V2;
                let mut texts = [const { String::new() }; V2_TEXTS.len()];
                for (text, width) in texts.iter_mut().zip(V2_TEXTS) {
                    *text = trimmed(fields.take(width).map_err(wrong)?);
                }
                fields.end().map_err(wrong)?;
                [self.database, self.user, ..] = texts;
            }
            (3, Some(newest)) => {
                self.version = if newest.protocol_number() <= asked {
                    newest
                } else {
                    Version::V30
                };
                self.newer = minor > newest.protocol_number() & 0xffff
                    || (minor != 0 && self.version == Version::V30);
                self.read_parameters(fields, rules.methods == [Method::Trust])
                    .map_err(wrong)?;
            }
            _ => {
                let spoken: Vec<&str> = rules.versions.iter().map(|v| v.name()).collect();
                let text = format!(
                    "version {major}.{minor} of the protocol is not spoken here, but {}",
                    spoken.join(" and ")
                );
                return Err(SqlError::new(code::FEATURE_NOT_SUPPORTED, text));
            }
        }
        if self.database.is_empty() {
            self.database.clone_from(&self.user);
        }
        self.state = State::Named;
        Ok(Step::UserNamed)
    }

    /// Texts in pairs up to an empty one. Where everyone is welcome, what cannot be read is let be.
    fn read_parameters(&mut self, mut fields: Fields<'_>, lenient: bool) -> Result<(), Malformed> {
        loop {
            let name = match fields.utf8() {
                Ok("") => return if lenient { Ok(()) } else { fields.end() },
                Ok(name) => name,
                Err(Malformed) if lenient => return Ok(()),
                Err(Malformed) => return Err(Malformed),
            };
            let value = match fields.utf8() {
                Ok(value) => value.to_string(),
                Err(Malformed) if lenient => return Ok(()),
                Err(Malformed) => return Err(Malformed),
            };
            match name {
                "user" => self.user = value,
                "database" => self.database = value,
                _ if name.starts_with("_pq_.") => self.unknown.push(name.to_string()),
                _ => self.parameters.push((name.to_string(), value)),
            }
        }
    }

    /// Says how the user is to prove who they are, or that nothing needs to be proved. `verifier` is none for a user who
    /// does not exist; `secret` is the router's own and never changes while it runs; `salt` is random.
    ///
    /// # Errors
    /// No method fits: the text names what both sides can do.
    pub fn identify(
        &mut self,
        rules: &Rules,
        verifier: Option<&Verifier>,
        secret: &[u8],
        salt: [u8; 4],
        out: &mut Vec<u8>,
    ) -> Result<Step, SqlError> {
        debug_assert!(matches!(self.state, State::Named));
        if self.newer || !self.unknown.is_empty() {
            put(out, b'v', |out| {
                out.extend_from_slice(&(self.version.protocol_number() & 0xffff).to_be_bytes());
                out.extend_from_slice(&(self.unknown.len() as u32).to_be_bytes());
                self.unknown
                    .iter()
                    .for_each(|name| messages::put_text(out, name.as_bytes()));
            });
        }
        if rules.methods.first() == Some(&Method::Trust) {
            self.state = State::In;
            return Ok(Step::LoggedIn);
        }
        if self.user.is_empty() {
            return Err(SqlError::new(
                code::INVALID_AUTHORIZATION,
                "no user is named",
            ));
        }
        self.real = verifier.is_some();
        let nobody = || {
            let scram = rules.methods.contains(&Method::Scram) && self.version > Version::V2;
            Verifier::for_unknown_user(
                &self.user,
                secret,
                scram || !rules.methods.contains(&Method::Md5),
            )
        };
        let verifier = verifier.cloned().unwrap_or_else(nobody);
        let Some(method) = rules
            .methods
            .iter()
            .find(|m| m.fits(self.version, &verifier))
        else {
            let asked: Vec<&str> = rules.methods.iter().map(|m| m.name()).collect();
            let text = format!(
                "no way to log in: this listener takes {} from clients of version {}, and what is kept of the user is {}",
                asked.join(" and "),
                self.version.name(),
                verifier.kind()
            );
            return Err(SqlError::new(code::INVALID_AUTHORIZATION, text));
        };
        let ask = |out: &mut Vec<u8>, number: u32, rest: &[u8]| {
            let number = number.to_be_bytes();
            match self.version {
                Version::V2 => out.extend_from_slice(&[b"R", &number[..], rest].concat()),
                _ => put(out, b'R', |out| {
                    out.extend_from_slice(&[&number[..], rest].concat())
                }),
            }
        };
        match method {
            Method::Trust => {
                self.state = State::In;
                return Ok(Step::LoggedIn);
            }
            Method::Password => {
                ask(out, 3, &[]);
                self.state = State::Password(verifier);
            }
            Method::Md5 => {
                ask(out, 5, &salt);
                self.state = State::Md5(verifier, salt);
            }
            Method::Scram => {
                ask(out, 10, b"SCRAM-SHA-256\0\0");
                self.state = State::Scram(verifier);
            }
        }
        Ok(Step::Continue)
    }

    fn prove(&mut self, body: &[u8], nonce: &str, out: &mut Vec<u8>) -> Result<Step, SqlError> {
        let refused = || {
            SqlError::new(
                code::INVALID_PASSWORD,
                "the login failed: the user or the proof is wrong",
            )
        };
        let wrong = |Malformed| {
            SqlError::new(
                code::PROTOCOL_VIOLATION,
                "a password was waited for, and something else came",
            )
        };
        // Old clients send the zero byte or leave it out.
        let text = body.strip_suffix(&[0]).unwrap_or(body);
        let proved = match std::mem::take(&mut self.state) {
            State::Password(verifier) => verifier.matches_password(&self.user, text),
            State::Md5(verifier, salt) => verifier.matches_md5_response(salt, text),
            State::Scram(Verifier::Scram(kept)) => {
                let mut fields = Fields(body);
                let method = fields.utf8().map_err(wrong)?;
                let said = fields.value().map_err(wrong)?.unwrap_or_default();
                fields.end().map_err(wrong)?;
                if method != "SCRAM-SHA-256" {
                    let text = format!("{method:?} was not offered, but SCRAM-SHA-256");
                    return Err(SqlError::new(code::PROTOCOL_VIOLATION, text));
                }
                let (exchange, answer) =
                    ScramExchange::start(&kept, said, nonce).ok_or_else(|| wrong(Malformed))?;
                put_sasl(out, 11, &answer);
                self.state = State::Proving(Box::new(exchange));
                return Ok(Step::Continue);
            }
            State::Proving(exchange) => match exchange.finish(body) {
                Some(done) => {
                    put_sasl(out, 12, &done);
                    true
                }
                None => false,
            },
            State::Opening | State::Named | State::In | State::Scram(_) => {
                return Err(wrong(Malformed));
            }
        };
        // A verifier that nobody's password meets is met by nobody; the flag stands for a change that would forget it.
        if !(proved && self.real) {
            return Err(refused());
        }
        self.state = State::In;
        Ok(Step::LoggedIn)
    }

    /// Whether a failure here was one of proof, which the throttle counts.
    pub fn is_wrong_password(fault: &SqlError) -> bool {
        fault.code == code::INVALID_PASSWORD
    }
}

fn put_sasl(out: &mut Vec<u8>, number: u32, text: &str) {
    put(out, b'R', |out| {
        out.extend_from_slice(&number.to_be_bytes());
        out.extend_from_slice(text.as_bytes());
    });
}
