//! Startup and login of a client: its first packet, the choice of the protocol version, and the authentication.
//!
//! [`Startup`] does no I/O: the front passes it the received bytes, sends its replies, and keeps the deadlines. Between
//! [`Step::UserNamed`] and [`Startup::begin_authentication`] the front looks up the user and checks the login rate limit.

use crate::cancel::CancelKey;
use crate::messages::{self, CANCEL_REQUEST, Fields, Malformed, auth, code, put};
use crate::verifier::{ScramExchange, Verifier};
use crate::{SqlError, Version};
use serde::{Deserialize, Serialize};

const SSL_REQUEST: u32 = 80_877_103;
const GSSENC_REQUEST: u32 = 80_877_104;
/// Maximum length of the first packet.
const MAX_FIRST_PACKET_BYTES: usize = 10_000;
/// Maximum number of parameters in the first packet. Each is kept until the login is complete, and needs many times its length.
const MAX_PARAMETERS: usize = 64;
/// Maximum length of a message during the login.
const MAX_LOGIN_MESSAGE_BYTES: usize = 2_048;
/// Widths of the text fields of a startup packet of version 2.0, which follow its length and version: database, user,
/// options, unused, tty.
const V2_FIELD_WIDTHS: [usize; 5] = [64, 32, 64, 64, 64];
/// Maximum number of requests for encryption on one connection: one SSLRequest and one GSSENCRequest.
const MAX_ENCRYPTION_REQUESTS: u32 = 2;

/// An authentication method.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Method {
    /// No authentication.
    Trust,
    /// The client sends the password in clear text.
    Password,
    /// The client sends an MD5 hash of the password, the user and a salt.
    Md5,
    /// The client and the router run a SCRAM-SHA-256 exchange.
    Scram,
}

impl Method {
    /// Returns the name for error messages.
    pub fn name(self) -> &'static str {
        match self {
            Method::Trust => "trust",
            Method::Password => "password",
            Method::Md5 => "md5",
            Method::Scram => "scram",
        }
    }

    /// Returns true if this method works with a client's version and the verifier of its user.
    fn can_authenticate(self, version: Version, verifier: &Verifier) -> bool {
        match self {
            Method::Trust | Method::Password => true,
            Method::Md5 => matches!(verifier, Verifier::Md5(_)),
            Method::Scram => version > Version::V2 && matches!(verifier, Verifier::Scram(_)),
        }
    }
}

/// The protocol versions and authentication methods of a listener.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Supported protocol versions.
    pub versions: Vec<Version>,
    /// Allowed methods, in order of preference.
    pub methods: Vec<Method>,
}

impl Rules {
    /// Returns the rules of the platform's listener: version 3.0 without authentication.
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

/// The result of reading a message.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// The startup continues; there may be a reply to send.
    Continue,
    /// The client requests that the query of another session is cancelled. It sends nothing more on this connection.
    Cancel(CancelKey),
    /// The client has named its user; the front has to call [`Startup::begin_authentication`] next.
    UserNamed,
    /// The client is logged in.
    LoggedIn,
}

#[derive(Default)]
enum State {
    /// The first packet has not been received.
    #[default]
    AwaitingFirstPacket,
    /// The user is known, and no authentication has been requested yet.
    UserNamed,
    /// The client has been asked for its password in clear text.
    AwaitingPassword(Verifier),
    /// The client has been asked for an MD5 hash with this salt.
    AwaitingMd5(Verifier, [u8; 4]),
    /// The client has been offered SCRAM-SHA-256.
    AwaitingScram(Verifier),
    /// The server's first SCRAM message has been sent.
    ScramStarted(Box<ScramExchange>),
    LoggedIn,
}

/// The startup of one client.
pub struct Startup {
    state: State,
    version: Version,
    user: String,
    database: String,
    parameters: Vec<(String, String)>,
    /// Protocol options in the startup packet, none of which is supported.
    unknown_options: Vec<String>,
    /// Whether the client requested a newer minor version than the negotiated one.
    requested_newer_minor: bool,
    /// Number of requests for encryption so far.
    encryption_requests: u32,
    /// Whether the user exists.
    user_exists: bool,
}

impl Default for Startup {
    fn default() -> Self {
        Startup {
            state: State::AwaitingFirstPacket,
            version: Version::V30,
            user: String::new(),
            database: String::new(),
            parameters: Vec::new(),
            unknown_options: Vec::new(),
            requested_newer_minor: false,
            encryption_requests: 0,
            user_exists: false,
        }
    }
}

/// Returns the text of a field of fixed width, which ends at the first zero byte.
fn fixed_width_text(field: &[u8]) -> String {
    let end = field
        .iter()
        .position(|byte| *byte == 0)
        .unwrap_or(field.len());
    String::from_utf8_lossy(&field[..end]).into_owned()
}

impl Startup {
    /// Returns the negotiated version; version 3.0 before the first packet.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the user that the client named.
    pub fn user(&self) -> &str {
        &self.user
    }

    /// Returns the database that the client named; the user's name by default.
    pub fn database(&self) -> &str {
        &self.database
    }

    /// Returns the settings in the startup packet, as names and values.
    pub fn parameters(&self) -> &[(String, String)] {
        &self.parameters
    }

    /// Returns true once the first packet with a protocol version has been read.
    pub fn has_read_first_packet(&self) -> bool {
        !matches!(self.state, State::AwaitingFirstPacket)
    }

    /// Reads one message from the front of `bytes`. Returns its length and the result, or `None` if it is not complete yet.
    /// `nonce` is the router's part of the SCRAM nonce.
    ///
    /// # Errors
    /// Returns the error to send to the client before the connection is closed.
    pub fn read_message(
        &mut self,
        rules: &Rules,
        bytes: &[u8],
        nonce: &str,
        out: &mut Vec<u8>,
    ) -> Result<Option<(usize, Step)>, SqlError> {
        if let State::AwaitingFirstPacket = self.state {
            let Some((packet, length)) = messages::parse_packet(bytes, MAX_FIRST_PACKET_BYTES)
                .map_err(malformed_first_packet)?
            else {
                return Ok(None);
            };
            let mut fields = Fields(packet);
            let requested = fields.uint32().map_err(malformed_first_packet)?;
            return Ok(Some((
                length,
                self.read_first_packet(rules, requested, fields, out)?,
            )));
        }
        let (body, length) = if self.version == Version::V2 {
            let Some((body, length)) = messages::parse_packet(bytes, MAX_LOGIN_MESSAGE_BYTES)
                .map_err(unexpected_message)?
            else {
                return Ok(None);
            };
            (body, length)
        } else {
            let Some(message) = messages::parse_message(bytes, MAX_LOGIN_MESSAGE_BYTES)
                .map_err(unexpected_message)?
            else {
                return Ok(None);
            };
            if message.kind != b'p' {
                return Err(unexpected_message(Malformed));
            }
            (message.body, message.raw.len())
        };
        self.verify_proof(body, nonce, out)
            .map(|step| Some((length, step)))
    }

    fn read_first_packet(
        &mut self,
        rules: &Rules,
        requested: u32,
        mut fields: Fields<'_>,
        out: &mut Vec<u8>,
    ) -> Result<Step, SqlError> {
        match requested {
            SSL_REQUEST | GSSENC_REQUEST => {
                self.encryption_requests += 1;
                if self.encryption_requests > MAX_ENCRYPTION_REQUESTS {
                    return Err(SqlError::new(
                        code::PROTOCOL_VIOLATION,
                        "encryption was asked for over and over",
                    ));
                }
                out.push(b'N');
                return Ok(Step::Continue);
            }
            CANCEL_REQUEST => {
                let id = fields.uint32().map_err(malformed_first_packet)?;
                let secret = fields.0;
                if !(4..=256).contains(&secret.len()) {
                    return Err(malformed_first_packet(Malformed));
                }
                return Ok(Step::Cancel(CancelKey {
                    id,
                    secret: secret.to_vec(),
                }));
            }
            _ => {}
        }
        let (major, minor) = (requested >> 16, requested & 0xffff);
        match (major, rules.newest_minor()) {
            (2, _) if rules.versions.contains(&Version::V2) => {
                self.version = Version::V2;
                let mut texts = [const { String::new() }; V2_FIELD_WIDTHS.len()];
                for (text, width) in texts.iter_mut().zip(V2_FIELD_WIDTHS) {
                    *text = fixed_width_text(fields.take(width).map_err(malformed_first_packet)?);
                }
                fields.end().map_err(malformed_first_packet)?;
                [self.database, self.user, ..] = texts;
            }
            (3, Some(newest)) => {
                self.version = if newest.protocol_number() <= requested {
                    newest
                } else {
                    Version::V30
                };
                self.requested_newer_minor = minor > newest.protocol_number() & 0xffff
                    || (minor != 0 && self.version == Version::V30);
                self.read_parameters(fields, rules.methods == [Method::Trust])
                    .map_err(malformed_first_packet)?;
            }
            _ => {
                let supported: Vec<&str> = rules.versions.iter().map(|v| v.name()).collect();
                let text = format!(
                    "version {major}.{minor} of the protocol is not spoken here, but {}",
                    supported.join(" and ")
                );
                return Err(SqlError::new(code::FEATURE_NOT_SUPPORTED, text));
            }
        }
        if self.database.is_empty() {
            self.database.clone_from(&self.user);
        }
        self.state = State::UserNamed;
        Ok(Step::UserNamed)
    }

    /// Reads pairs of name and value up to an empty name. With `lenient`, the first parameter that cannot be read or is one too
    /// many and all that follow it are ignored, instead of returning an error.
    fn read_parameters(&mut self, mut fields: Fields<'_>, lenient: bool) -> Result<(), Malformed> {
        for _ in 0..=MAX_PARAMETERS {
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
                _ if name.starts_with("_pq_.") => self.unknown_options.push(name.to_string()),
                _ => self.parameters.push((name.to_string(), value)),
            }
        }
        if lenient { Ok(()) } else { Err(Malformed) }
    }

    /// Starts the authentication of the user, or skips it if the rules trust everyone. `verifier` is `None` if the user does
    /// not exist. `secret` is a secret of the router that stays the same while it runs; `salt` is random.
    ///
    /// # Errors
    /// Returns an error if no user is named or no method is possible; the text then names the methods of both sides.
    pub fn begin_authentication(
        &mut self,
        rules: &Rules,
        verifier: Option<&Verifier>,
        secret: &[u8],
        salt: [u8; 4],
        out: &mut Vec<u8>,
    ) -> Result<Step, SqlError> {
        debug_assert!(matches!(self.state, State::UserNamed));
        if self.requested_newer_minor || !self.unknown_options.is_empty() {
            put(out, b'v', |out| {
                out.extend_from_slice(&(self.version.protocol_number() & 0xffff).to_be_bytes());
                out.extend_from_slice(&(self.unknown_options.len() as u32).to_be_bytes());
                self.unknown_options
                    .iter()
                    .for_each(|name| messages::put_text(out, name.as_bytes()));
            });
        }
        if rules.methods.first() == Some(&Method::Trust) {
            self.state = State::LoggedIn;
            return Ok(Step::LoggedIn);
        }
        if self.user.is_empty() {
            return Err(SqlError::new(
                code::INVALID_AUTHORIZATION,
                "no user is named",
            ));
        }
        self.user_exists = verifier.is_some();
        let unknown_user = || {
            let scram = rules.methods.contains(&Method::Scram) && self.version > Version::V2;
            Verifier::for_unknown_user(
                &self.user,
                secret,
                scram || !rules.methods.contains(&Method::Md5),
            )
        };
        let verifier = verifier.cloned().unwrap_or_else(unknown_user);
        let Some(method) = rules
            .methods
            .iter()
            .find(|m| m.can_authenticate(self.version, &verifier))
        else {
            let allowed: Vec<&str> = rules.methods.iter().map(|m| m.name()).collect();
            let text = format!(
                "no way to log in: this listener takes {} from clients of version {}, and what is kept of the user is {}",
                allowed.join(" and "),
                self.version.name(),
                verifier.kind()
            );
            return Err(SqlError::new(code::INVALID_AUTHORIZATION, text));
        };
        let put_authentication_request = |out: &mut Vec<u8>, method_code: u32, data: &[u8]| {
            let method_code = method_code.to_be_bytes();
            match self.version {
                Version::V2 => out.extend_from_slice(&[b"R", &method_code[..], data].concat()),
                _ => put(out, b'R', |out| {
                    out.extend_from_slice(&[&method_code[..], data].concat())
                }),
            }
        };
        match method {
            Method::Trust => {
                self.state = State::LoggedIn;
                return Ok(Step::LoggedIn);
            }
            Method::Password => {
                put_authentication_request(out, auth::CLEARTEXT_PASSWORD, &[]);
                self.state = State::AwaitingPassword(verifier);
            }
            Method::Md5 => {
                put_authentication_request(out, auth::MD5_PASSWORD, &salt);
                self.state = State::AwaitingMd5(verifier, salt);
            }
            Method::Scram => {
                put_authentication_request(out, auth::SASL, b"SCRAM-SHA-256\0\0");
                self.state = State::AwaitingScram(verifier);
            }
        }
        Ok(Step::Continue)
    }

    fn verify_proof(
        &mut self,
        body: &[u8],
        nonce: &str,
        out: &mut Vec<u8>,
    ) -> Result<Step, SqlError> {
        let wrong_password = || {
            SqlError::new(
                code::INVALID_PASSWORD,
                "the login failed: the user or the proof is wrong",
            )
        };
        // Some old clients omit the zero byte at the end.
        let text = body.strip_suffix(&[0]).unwrap_or(body);
        let is_proved = match std::mem::take(&mut self.state) {
            State::AwaitingPassword(verifier) => verifier.matches_password(&self.user, text),
            State::AwaitingMd5(verifier, salt) => verifier.matches_md5_response(salt, text),
            State::AwaitingScram(Verifier::Scram(verifier)) => {
                let mut fields = Fields(body);
                let method = fields.utf8().map_err(unexpected_message)?;
                let client_first = fields
                    .value()
                    .map_err(unexpected_message)?
                    .unwrap_or_default();
                fields.end().map_err(unexpected_message)?;
                if method != "SCRAM-SHA-256" {
                    let text = format!("{method:?} was not offered, but SCRAM-SHA-256");
                    return Err(SqlError::new(code::PROTOCOL_VIOLATION, text));
                }
                let (exchange, answer) = ScramExchange::start(&verifier, client_first, nonce)
                    .ok_or_else(|| unexpected_message(Malformed))?;
                put_sasl(out, auth::SASL_CONTINUE, &answer);
                self.state = State::ScramStarted(Box::new(exchange));
                return Ok(Step::Continue);
            }
            State::ScramStarted(exchange) => match exchange.finish(body) {
                Some(server_final) => {
                    put_sasl(out, auth::SASL_FINAL, &server_final);
                    true
                }
                None => false,
            },
            State::AwaitingFirstPacket
            | State::UserNamed
            | State::LoggedIn
            | State::AwaitingScram(_) => {
                return Err(unexpected_message(Malformed));
            }
        };
        // No password matches the verifier of an unknown user. The flag is a second safeguard, in case a later change
        // breaks this property.
        if !(is_proved && self.user_exists) {
            return Err(wrong_password());
        }
        self.state = State::LoggedIn;
        Ok(Step::LoggedIn)
    }

    /// Returns true if the error is a failed authentication, which counts against the login rate limit.
    pub fn is_wrong_password(error: &SqlError) -> bool {
        error.code == code::INVALID_PASSWORD
    }
}

fn malformed_first_packet(Malformed: Malformed) -> SqlError {
    SqlError::new(
        code::PROTOCOL_VIOLATION,
        "the first packet is not understood",
    )
}

fn unexpected_message(Malformed: Malformed) -> SqlError {
    SqlError::new(
        code::PROTOCOL_VIOLATION,
        "a password was waited for, and something else came",
    )
}

/// Appends an authentication request of version 3 with a SCRAM message.
fn put_sasl(out: &mut Vec<u8>, method_code: u32, text: &str) {
    put(out, b'R', |out| {
        out.extend_from_slice(&method_code.to_be_bytes());
        out.extend_from_slice(text.as_bytes());
    });
}
