//! How the router logs in to a server.

use crate::Version;
use crate::messages::{self, Fields, Malformed, Message, put, put_packet, put_text};
use postgres_protocol::authentication::md5_hash;
use postgres_protocol::authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256};
use std::fmt;

/// Who the router is to its servers.
#[derive(Clone, PartialEq, Eq)]
pub struct Credentials {
    /// The user.
    pub user: String,
    /// The database.
    pub database: String,
    /// The password, where there is one.
    pub password: Option<String>,
    /// Whether it may go out in clear text.
    pub may_send_clear_text: bool,
    /// The newest version that is asked for.
    pub version: Version,
    /// Every server lets it in, as on the platform: what one says of the login is not looked at, and where something of
    /// that was spoilt on its way the connection is as good as before.
    pub skip_authentication: bool,
}

/// It shows no password.
impl fmt::Debug for Credentials {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            to,
            "{} at {} over {}",
            self.user,
            self.database,
            self.version.name()
        )
    }
}

/// Why a login fails.
#[derive(
    Clone, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr, strum::VariantNames,
)]
pub enum LoginError {
    /// The server said so, with this code.
    #[error("the server refused the login with {0}")]
    Server(String),
    /// Neither side can do what the other wants; the text names both.
    #[error("{0}")]
    CannotMeet(String),
    /// It sent what no server sends here.
    #[error("the server does not log in as the protocol says")]
    Malformed,
}

impl LoginError {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            LoginError::Server(_) => {
                "look the code up in the server's own log: user, database, password_file and pg_hba.conf are the usual causes"
            }
            LoginError::CannotMeet(_) => {
                "change servers in the operators' file, or pg_hba.conf of the server, so that both have a method in common"
            }
            LoginError::Malformed => {
                "see whether a PostgreSQL server listens at the node's address; if one does, send in its version and what it sent"
            }
        }
    }
}

impl From<Malformed> for LoginError {
    fn from(_: Malformed) -> Self {
        LoginError::Malformed
    }
}

enum Proof {
    /// Nothing was asked for yet.
    None,
    Sent,
    Scram(Box<ScramSha256>),
    /// The server has proved itself, or did not have to.
    Done,
    In,
}

/// One login under way.
pub struct Login {
    proof: Proof,
    /// What a cancel request for this connection must show.
    key: Option<(u32, Vec<u8>)>,
    version: Version,
}

impl Login {
    /// Begins one: the first packet.
    pub fn start(who: &Credentials, out: &mut Vec<u8>) -> Self {
        put_packet(out, |out| {
            out.extend_from_slice(&who.version.protocol_number().to_be_bytes());
            for text in ["user", &who.user, "database", &who.database, ""] {
                put_text(out, text.as_bytes());
            }
        });
        Login {
            proof: Proof::None,
            key: None,
            version: who.version,
        }
    }

    /// The version that is spoken after all.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The server's number and secret for cancels.
    pub fn cancel_key(&self) -> Option<&(u32, Vec<u8>)> {
        self.key.as_ref()
    }

    /// Reads one message; true once the server is ready for a query.
    ///
    /// # Errors
    /// The connection is no good.
    pub fn read_message(
        &mut self,
        who: &Credentials,
        message: &Message<'_>,
        out: &mut Vec<u8>,
    ) -> Result<bool, LoginError> {
        let mut fields = Fields(message.body);
        match message.kind {
            b'R' | b'K' | b'v' | b'S' if who.skip_authentication => self.proof = Proof::In,
            b'R' => self.asked(who, fields.uint32()?, fields, out)?,
            b'v' => {
                let minor = fields.uint32()? & 0xffff;
                let version = if minor >= 2 {
                    Version::V32
                } else {
                    Version::V30
                };
                if version > self.version {
                    return Err(LoginError::Malformed);
                }
                self.version = version;
            }
            b'K' => {
                let id = fields.uint32()?;
                let most = if self.version >= Version::V32 { 256 } else { 4 };
                if !(4..=most).contains(&fields.0.len()) {
                    return Err(LoginError::Malformed);
                }
                self.key = Some((id, fields.0.to_vec()));
            }
            b'S' => drop(messages::parse_status(message.body)?),
            b'N' => {}
            b'E' => {
                return Err(LoginError::Server(
                    messages::parse_error_code(message.body)
                        .ok_or(Malformed)?
                        .to_string(),
                ));
            }
            b'Z' if (who.skip_authentication || matches!(self.proof, Proof::In))
                && message.body == b"I" =>
            {
                return Ok(true);
            }
            _ => return Err(LoginError::Malformed),
        }
        Ok(false)
    }

    fn asked(
        &mut self,
        who: &Credentials,
        what: u32,
        mut fields: Fields<'_>,
        out: &mut Vec<u8>,
    ) -> Result<(), LoginError> {
        let password = || {
            let none = || {
                LoginError::CannotMeet(
                    "the server asks for a password, and the operators' file names none".into(),
                )
            };
            who.password.as_deref().ok_or_else(none)
        };
        let say = |out: &mut Vec<u8>, text: &[u8]| put(out, b'p', |out| put_text(out, text));
        match (what, std::mem::replace(&mut self.proof, Proof::None)) {
            // Danger: whoever stands in the server's place could let everyone in. One that began SCRAM must end it.
            (0, Proof::None | Proof::Sent | Proof::Done) => self.proof = Proof::In,
            (3, Proof::None) if !who.may_send_clear_text => {
                let text = "the server asks for the password in clear text, and the operators' file does not allow it";
                return Err(LoginError::CannotMeet(text.into()));
            }
            (3, Proof::None) => {
                say(out, password()?.as_bytes());
                self.proof = Proof::Sent;
            }
            (5, Proof::None) => {
                let salt = fields.take(4)?.try_into().map_err(|_| Malformed)?;
                say(
                    out,
                    md5_hash(who.user.as_bytes(), password()?.as_bytes(), salt).as_bytes(),
                );
                self.proof = Proof::Sent;
            }
            (10, Proof::None) => {
                let mut methods = Vec::new();
                loop {
                    match fields.utf8()? {
                        "" => break,
                        method => methods.push(method),
                    }
                }
                if !methods.contains(&SCRAM_SHA_256) {
                    let text = format!(
                        "the server takes {}, and the router {SCRAM_SHA_256}",
                        methods.join(" and ")
                    );
                    return Err(LoginError::CannotMeet(text));
                }
                let scram = ScramSha256::new(password()?.as_bytes(), ChannelBinding::unsupported());
                put(out, b'p', |out| {
                    put_text(out, SCRAM_SHA_256.as_bytes());
                    out.extend_from_slice(&(scram.message().len() as u32).to_be_bytes());
                    out.extend_from_slice(scram.message());
                });
                self.proof = Proof::Scram(Box::new(scram));
            }
            (11, Proof::Scram(mut scram)) => {
                scram.update(fields.0).map_err(|_| Malformed)?;
                put(out, b'p', |out| out.extend_from_slice(scram.message()));
                self.proof = Proof::Scram(scram);
            }
            (12, Proof::Scram(mut scram)) => {
                scram.finish(fields.0).map_err(|_| Malformed)?;
                self.proof = Proof::Done;
            }
            (2 | 7 | 9, Proof::None) => {
                let name = [(2, "Kerberos"), (7, "GSSAPI"), (9, "SSPI")]
                    .iter()
                    .find(|(n, _)| *n == what);
                let name = name.map_or("", |(_, name)| name);
                let text = format!(
                    "the server takes {name}, and the router trust, password, md5 and {SCRAM_SHA_256}"
                );
                return Err(LoginError::CannotMeet(text));
            }
            _ => return Err(LoginError::Malformed),
        }
        Ok(())
    }
}

/// Appends the packet that asks a server to stop what a connection does.
pub fn put_cancel(out: &mut Vec<u8>, (id, secret): &(u32, Vec<u8>)) {
    put_packet(out, |out| {
        out.extend_from_slice(&80_877_102u32.to_be_bytes());
        out.extend_from_slice(&id.to_be_bytes());
        out.extend_from_slice(secret);
    });
}
